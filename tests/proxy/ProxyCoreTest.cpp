#include "decision/proxy/SessionToken.h"
#include "proxy/ProxyFleet.h"

#include <doctest/doctest.h>

using namespace almondpier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool hasKind(const ReplyToCaller &Reply, ErrorKind Kind, Ran Ran) {
  return Reply.m_Error && Reply.m_Error->m_Kind == Kind &&
         Reply.m_Error->m_Ran == Ran;
}

/// One replica is up to date, the other never gets a write.
void makeReplicaStale(ProxyFleet &Fleet) {
  Fleet.m_Group.m_ReplicationLags = {Duration(), milliseconds(5),
                                     seconds(1'000)};
}

/// Reads through every host, several at a time so that every instance is used;
/// returns how many reads miss the text.
size_t countStaleReads(ProxyFleet &Fleet, const std::string &Text,
                       const CallerRequest &Pattern) {
  constexpr int kReadsPerHost = 8;
  std::vector<std::pair<size_t, CallerRequestId>> Sent;
  for (int Round = 0; Round < kReadsPerHost; ++Round)
    for (size_t Host = 0; Host < Fleet.m_Hosts.size(); ++Host) {
      CallerRequest Request = Fleet.request(RequestKind::Read);
      Request.m_SessionToken = Pattern.m_SessionToken;
      Request.m_MaxAgeMs = Pattern.m_MaxAgeMs;
      Sent.emplace_back(Host, Fleet.submit(Host, Request));
    }
  Fleet.run(milliseconds(500));
  size_t Stale = 0;
  for (const auto &[Host, Id] : Sent) {
    const ReplyToCaller *Reply = Fleet.replyTo(Host, Id);
    REQUIRE(Reply != nullptr);
    REQUIRE(!Reply->m_Error);
    Stale += Reply->m_Body == Text ? 0 : 1;
  }
  return Stale;
}

} // namespace

TEST_CASE("a session reads its own write through every proxy; without the "
          "requirement of its token the stale replica answers") {
  ProxyFleet Fleet(3);
  makeReplicaStale(Fleet);
  REQUIRE(Fleet.start());
  ReplyToCaller Written =
      Fleet.call(0, Fleet.request(RequestKind::Write, "\"a\""));
  REQUIRE(!Written.m_Error);
  CallerRequest Pattern;
  Pattern.m_SessionToken = Written.m_SessionToken;
  CHECK(countStaleReads(Fleet, "\"a\"", Pattern) == 0);

  // A valid session that wrote nothing has no requirement.
  SessionTokenCodec Codec("a secret of the whole test fleet");
  Pattern.m_SessionToken =
      Codec.seal(Session::withoutWrites(Fleet.m_Organisation));
  CHECK(countStaleReads(Fleet, "\"a\"", Pattern) > 0);
}

TEST_CASE("missing, foreign and damaged session tokens lead to a confirmed "
          "read; guards against stale reads of sessions whose past is lost") {
  ProxyFleet Fleet(3);
  makeReplicaStale(Fleet);
  REQUIRE(Fleet.start());
  ReplyToCaller Written =
      Fleet.call(0, Fleet.request(RequestKind::Write, "\"a\""));
  REQUIRE(!Written.m_Error);
  SessionTokenCodec Codec("a secret of the whole test fleet");
  SessionTokenCodec OtherFleet("a secret of some other fleet");
  std::string Damaged = Written.m_SessionToken;
  Damaged[3] = Damaged[3] == 'A' ? 'B' : 'A';
  for (const std::string &Token :
       {std::string(), Damaged, Written.m_SessionToken + "AAAA",
        std::string("?"), std::string(10'000, 'A'),
        Codec.seal(Session::withoutWrites(Fleet.m_OtherOrganisation)),
        OtherFleet.seal(Session::withoutWrites(Fleet.m_Organisation))}) {
    CallerRequest Pattern;
    Pattern.m_SessionToken = Token;
    CHECK(countStaleReads(Fleet, "\"a\"", Pattern) == 0);
    // The token that comes with the answer must not forget the unknown past.
    Pattern.m_SessionToken =
        Fleet.call(1, Fleet.request(RequestKind::Read, "", Token))
            .m_SessionToken;
    CHECK(countStaleReads(Fleet, "\"a\"", Pattern) == 0);
    std::optional<Session> Opened =
        Codec.open(Pattern.m_SessionToken, Fleet.m_Organisation);
    REQUIRE(Opened);
    CHECK(Opened->requirementFor(DatabaseName{"another"}).m_ConfirmedPrimary);
  }
}

TEST_CASE("a revoked key stops working at every host within 3 s, also for a "
          "transaction in progress; an open connection gives no exemption") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  size_t Entry = Fleet.nonOwner();
  ReplyToCaller Begun = Fleet.call(Entry, Fleet.request(RequestKind::Begin));
  REQUIRE(!Begun.m_Error);
  Fleet.m_Control.accept(RevokeKey{KeyId{"key-1"}});
  Fleet.run(milliseconds(600));
  CallerRequest Step = Fleet.request(RequestKind::Execute, "\"a\"");
  Step.m_Transaction = Begun.m_Transaction;
  CHECK(hasKind(Fleet.call(Entry, Step), ErrorKind::UnknownKey, Ran::No));
  for (size_t Host = 0; Host < 3; ++Host)
    CHECK(hasKind(Fleet.call(Host, Fleet.request(RequestKind::Read)),
                  ErrorKind::UnknownKey, Ran::No));
}

TEST_CASE("requests that wait for a token are refused when their key is "
          "revoked meanwhile") {
  ProxyFleet Fleet(1);
  REQUIRE(Fleet.start());
  Fleet.m_Control.m_LendsTokens = false;
  Fleet.run(seconds(1));
  CallerRequestId Id =
      Fleet.submit(0, Fleet.request(RequestKind::Write, "\"a\""));
  Fleet.run(milliseconds(300));
  Fleet.m_Control.accept(RevokeKey{KeyId{"key-1"}});
  Fleet.run(milliseconds(600));
  Fleet.m_Control.m_LendsTokens = true;
  Fleet.run(seconds(3));
  REQUIRE(Fleet.replyTo(0, Id) != nullptr);
  CHECK(hasKind(*Fleet.replyTo(0, Id), ErrorKind::UnknownKey, Ran::No));
  CHECK(Fleet.m_Group.countOf("\"a\"") == 0);
}

TEST_CASE("without proof of freshness requests are held for 2 s and then "
          "refused; guards against acting on an old configuration") {
  ProxyFleet Fleet(1);
  REQUIRE(Fleet.start());
  for (uint16_t Port = 0; Port < ProxyFleet::kControlHosts; ++Port)
    Fleet.m_Control.m_SilentPorts.insert(
        static_cast<uint16_t>(ProxyFleet::kControlPort + Port));
  Time Silent = Fleet.m_Now;
  // Control hosts accept the revocation, but the proxy cannot learn of it.
  Fleet.m_Control.accept(RevokeKey{KeyId{"key-1"}});
  Fleet.run(milliseconds(1'300));
  CHECK(isFresh(Fleet.m_Hosts[0].m_Core->blackboard(), Fleet.m_Now));
  Fleet.run(milliseconds(300));
  CHECK(!isFresh(Fleet.m_Hosts[0].m_Core->blackboard(), Fleet.m_Now));
  Time Sent = Fleet.m_Now;
  ReplyToCaller Held = Fleet.call(0, Fleet.request(RequestKind::Read));
  CHECK(hasKind(Held, ErrorKind::ConfigurationStale, Ran::No));
  CHECK((Fleet.m_Now - Sent >= seconds(2)));
  CHECK((Fleet.m_Now - Sent <= milliseconds(2'050)));
  CHECK((Fleet.m_Now - Silent <= seconds(4)));
  CHECK(!Fleet.m_Hosts[0].m_Core->isReady(Fleet.m_Now));
}

TEST_CASE("an isolated control host is left for another one; held requests go "
          "on as soon as the configuration is fresh again") {
  ProxyFleet Fleet(1);
  REQUIRE(Fleet.start());
  Fleet.m_Control.m_SilentPorts.insert(ProxyFleet::kControlPort);
  Fleet.run(seconds(3));
  CHECK(isFresh(Fleet.m_Hosts[0].m_Core->blackboard(), Fleet.m_Now));
  for (uint16_t Port = 0; Port < ProxyFleet::kControlHosts; ++Port)
    Fleet.m_Control.m_SilentPorts.insert(
        static_cast<uint16_t>(ProxyFleet::kControlPort + Port));
  Fleet.run(seconds(2));
  CallerRequestId Id = Fleet.submit(0, Fleet.request(RequestKind::Read));
  Fleet.run(milliseconds(500));
  CHECK(Fleet.replyTo(0, Id) == nullptr);
  Fleet.m_Control.m_SilentPorts.clear();
  Fleet.run(milliseconds(1'400));
  REQUIRE(Fleet.replyTo(0, Id) != nullptr);
  CHECK(!Fleet.replyTo(0, Id)->m_Error);
}

TEST_CASE("a host suspended for 10 s acts on nothing old after it resumes") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  size_t Owner = Fleet.owner();
  size_t Entry = Fleet.nonOwner();
  Fleet.suspend(Owner);
  // Forwarded before the link is known to be down.
  CallerRequestId Write =
      Fleet.submit(Entry, Fleet.request(RequestKind::Write, "\"old\""));
  Fleet.m_Control.accept(RevokeKey{KeyId{"key-1"}});
  Fleet.deliver(Owner, Fleet.request(RequestKind::Write, "\"own\""));
  Fleet.run(seconds(10));
  REQUIRE(Fleet.replyTo(Entry, Write) != nullptr);
  CHECK(hasKind(*Fleet.replyTo(Entry, Write), ErrorKind::OutcomeUnknown,
                Ran::Unknown));
  Fleet.resume(Owner);
  Fleet.run(seconds(3));
  CHECK(Fleet.m_Group.countOf("\"old\"") == 0);
  CHECK(Fleet.m_Group.countOf("\"own\"") == 0);
}

TEST_CASE("a lost owner link ends a write as unknown and repeats a read at the "
          "next candidate") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  size_t Owner = Fleet.owner();
  size_t Entry = Fleet.candidate(2);
  Fleet.m_Group.m_IsUnresponsive = true;
  CallerRequestId Write =
      Fleet.submit(Entry, Fleet.request(RequestKind::Write, "\"a\""));
  CallerRequestId Read = Fleet.submit(Entry, Fleet.request(RequestKind::Read));
  Fleet.run(milliseconds(20));
  CHECK(Fleet.replyTo(Entry, Write) == nullptr);
  Fleet.m_Group.m_IsUnresponsive = false;
  Fleet.kill(Owner);
  Fleet.run(milliseconds(300));
  REQUIRE(Fleet.replyTo(Entry, Write) != nullptr);
  CHECK(hasKind(*Fleet.replyTo(Entry, Write), ErrorKind::OutcomeUnknown,
                Ran::Unknown));
  REQUIRE(Fleet.replyTo(Entry, Read) != nullptr);
  CHECK(!Fleet.replyTo(Entry, Read)->m_Error);
  // The session of the unknown write needs a confirmed primary.
  SessionTokenCodec Codec("a secret of the whole test fleet");
  std::optional<Session> Opened = Codec.open(
      Fleet.replyTo(Entry, Write)->m_SessionToken, Fleet.m_Organisation);
  REQUIRE(Opened);
  CHECK(Opened->requirementFor(Fleet.m_Group.m_Name).m_ConfirmedPrimary);
  // New writes do not wait until control notices the loss.
  CHECK(!Fleet.call(Entry, Fleet.request(RequestKind::Write, "\"b\"")).m_Error);
}

TEST_CASE("a silent link is left within 400 ms without any error reported") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  size_t Entry = Fleet.candidate(2);
  Fleet.partition(Entry, Fleet.owner());
  Fleet.run(milliseconds(450));
  Time Sent = Fleet.m_Now;
  CHECK(!Fleet.call(Entry, Fleet.request(RequestKind::Write, "\"a\"")).m_Error);
  CHECK((Fleet.m_Now - Sent <= milliseconds(100)));
}

TEST_CASE("duplicate and late replies answer nobody twice and nobody else") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  size_t Entry = Fleet.nonOwner();
  Fleet.m_MessageCopies = 3;
  constexpr int kWrites = 20;
  std::vector<CallerRequestId> Writes;
  Writes.reserve(kWrites);
  for (int Number = 0; Number < kWrites; ++Number)
    Writes.push_back(Fleet.submit(
        Entry, Fleet.request(RequestKind::Write, std::to_string(Number))));
  Fleet.run(seconds(2));
  for (int Number = 0; Number < kWrites; ++Number) {
    const std::vector<ReplyToCaller> &Replies =
        Fleet.m_Hosts[Entry].m_Replies[Writes[Number].m_Value];
    REQUIRE(Replies.size() == 1);
    CHECK(!Replies[0].m_Error);
    CHECK(Fleet.m_Group.countOf(std::to_string(Number)) == 1);
  }
  // An answer that comes after the deadline of its request is dropped.
  Fleet.m_MessageCopies = 1;
  Fleet.m_Group.m_IsUnresponsive = true;
  CallerRequest Late = Fleet.request(RequestKind::Write, "\"late\"");
  Late.m_TimeoutMs = 100;
  CHECK(hasKind(Fleet.call(Entry, Late), ErrorKind::OutcomeUnknown,
                Ran::Unknown));
  Fleet.m_Group.m_IsUnresponsive = false;
  Fleet.run(seconds(1));
  CHECK(Fleet.m_Hosts[Entry].m_Replies[Late.m_Id.m_Value].size() == 1);
}

// Guards against the loss of an answer with a long error text: the message that
// carried it to the entry host exceeded the limit of messages.
TEST_CASE("an error text of any size reaches callers of every host") {
  constexpr size_t kMebibyte = size_t{1} << 20U;
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  Fleet.m_EncodesMessages = true;
  for (size_t Bytes : {size_t{300}, kMebibyte / 2, kMebibyte - 5'000,
                       kMebibyte - 4'096, kMebibyte, 3 * kMebibyte})
    for (int Status : {400, 422})
      for (RequestKind Kind : {RequestKind::Read, RequestKind::Write})
        for (size_t Host : {Fleet.owner(), Fleet.nonOwner()}) {
          INFO(Bytes << " bytes, status " << Status << ", host " << Host);
          InstanceAnswer Failure;
          Failure.m_HttpStatus = Status;
          Failure.m_Body = std::string(Bytes, 'e');
          Failure.m_Ran = false;
          Fleet.m_Group.m_Failure = Failure;
          ReplyToCaller Reply = Fleet.call(Host, Fleet.request(Kind, "\"a\""));
          REQUIRE(Reply.m_Error);
          CHECK(Reply.m_Error->m_Kind == (Status == 400
                                              ? ErrorKind::BadRequest
                                              : ErrorKind::StatementFailed));
          CHECK(Reply.m_Error->m_Ran == Ran::No);
          if (Bytes <= kMebibyte - 4'096)
            CHECK(Reply.m_Error->m_Message == Failure.m_Body);
          else
            CHECK(Reply.m_Error->m_Message.starts_with("eee"));
        }
}

TEST_CASE("shutdown of an owner cuts off no request and no transaction, and "
          "returns the tokens") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  size_t Owner = Fleet.owner();
  size_t Entry = Fleet.candidate(1);
  ReplyToCaller Begun = Fleet.call(Entry, Fleet.request(RequestKind::Begin));
  REQUIRE(!Begun.m_Error);
  std::vector<std::pair<size_t, CallerRequestId>> Sent;
  Fleet.deliver(Owner, ShutdownRequested());
  constexpr int kRounds = 60;
  for (int Round = 0; Round < kRounds; ++Round) {
    for (size_t Host : {Owner, Entry})
      Sent.emplace_back(
          Host, Fleet.submit(Host, Fleet.request(RequestKind::Write,
                                                 std::to_string(Round))));
    // Control learns from the heartbeat that the owner is not ready.
    constexpr int kNoticed = 10;
    if (Round == kNoticed) {
      std::vector<LiveHost> Live;
      for (size_t Host = 0; Host < 3; ++Host)
        Live.push_back(
            LiveHost{Fleet.m_Hosts[Host].m_Record.m_Name, Host != Owner});
      Fleet.m_Control.setLive(Live);
    }
    Fleet.run(milliseconds(30));
  }
  CHECK(!Fleet.m_Hosts[Owner].m_HasEnded);
  for (RequestKind Kind : {RequestKind::Execute, RequestKind::Commit}) {
    CallerRequest Step = Fleet.request(Kind, "\"step\"");
    Step.m_Transaction = Begun.m_Transaction;
    CHECK(!Fleet.call(Entry, Step).m_Error);
  }
  CHECK(Fleet.runUntil([&] { return Fleet.m_Hosts[Owner].m_HasEnded; }));
  Fleet.run(milliseconds(100));
  for (const auto &[Host, Id] : Sent) {
    const ReplyToCaller *Reply = Fleet.replyTo(Host, Id);
    REQUIRE(Reply != nullptr);
    bool IsRefusedAsNew =
        Host == Owner && hasKind(*Reply, ErrorKind::ShuttingDown, Ran::No);
    CHECK((!Reply->m_Error || IsRefusedAsNew));
  }
  CHECK(Fleet.m_Group.countOf("\"step\"") == 1);
  CHECK(!Fleet.m_Hosts[Owner].m_Heartbeats.back().m_Ready);
  CHECK(Fleet.m_Control.m_Returned > 0);
}

TEST_CASE("a transaction token of another organisation or key, or a damaged "
          "one, is refused") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  ReplyToCaller Begun = Fleet.call(0, Fleet.request(RequestKind::Begin));
  REQUIRE(!Begun.m_Error);
  CallerRequest Step = Fleet.request(RequestKind::Execute, "\"a\"");
  Step.m_Transaction = Begun.m_Transaction;
  Step.m_Key = digestOfKey("secret-2");
  CHECK(hasKind(Fleet.call(1, Step), ErrorKind::ForeignTransaction, Ran::No));
  Step = Fleet.request(RequestKind::Execute, "\"a\"");
  Step.m_Transaction = Begun.m_Transaction;
  Step.m_Transaction[2] = Step.m_Transaction[2] == 'A' ? 'B' : 'A';
  CHECK(hasKind(Fleet.call(1, Step), ErrorKind::UnknownTransaction, Ran::No));
  Step = Fleet.request(RequestKind::Execute, "\"a\"");
  Step.m_Transaction = Begun.m_Transaction;
  CHECK(!Fleet.call(2, Step).m_Error);
}

TEST_CASE("a caller that leaves rolls its transaction back at the owner") {
  ProxyFleet Fleet(3);
  REQUIRE(Fleet.start());
  size_t Entry = Fleet.nonOwner();
  ReplyToCaller Begun = Fleet.call(Entry, Fleet.request(RequestKind::Begin));
  REQUIRE(!Begun.m_Error);
  Fleet.m_Group.m_IsUnresponsive = true;
  CallerRequest Step = Fleet.request(RequestKind::Execute, "\"a\"");
  Step.m_Transaction = Begun.m_Transaction;
  Fleet.submit(Entry, Step);
  // Long enough for a token and the way to the instance.
  Fleet.run(milliseconds(100));
  Fleet.deliver(Entry, CallerDisconnected{Step.m_Id});
  Fleet.run(milliseconds(10));
  Fleet.m_Group.m_IsUnresponsive = false;
  CallerRequest Commit = Fleet.request(RequestKind::Commit);
  Commit.m_Transaction = Begun.m_Transaction;
  CHECK(Fleet.call(Entry, Commit).m_Error);
  CHECK(Fleet.replyTo(Entry, Step.m_Id) == nullptr);
  CHECK(Fleet.m_Group.countOf("\"a\"") == 0);
}

TEST_CASE("an older or repeated poll reply never takes the configuration "
          "back") {
  ProxyFleet Fleet(1);
  REQUIRE(Fleet.start());
  uint64_t Index = Fleet.m_Hosts[0].m_Core->blackboard().m_AppliedIndex;
  CHECK(Index == Fleet.m_Control.m_Log.size());
  FakeControl Old = Fleet.m_Control;
  Fleet.m_Control.accept(RevokeKey{KeyId{"key-1"}});
  Fleet.run(seconds(1));
  std::swap(Old.m_Log, Fleet.m_Control.m_Log);
  std::swap(Old.m_Configuration, Fleet.m_Control.m_Configuration);
  Fleet.run(seconds(1));
  CHECK(Fleet.m_Hosts[0].m_Core->blackboard().m_AppliedIndex == Index + 1);
  CHECK(hasKind(Fleet.call(0, Fleet.request(RequestKind::Read)),
                ErrorKind::UnknownKey, Ran::No));
}

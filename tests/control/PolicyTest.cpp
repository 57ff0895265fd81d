#include "control/Simulation.h"

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

InstallPolicy policyOf(uint64_t Version, const std::string &Source) {
  InstallPolicy Install;
  Install.m_Policy.m_Version = Version;
  Install.m_Policy.m_Organisations[OrganisationName{"ann"}] =
      OrganisationPolicy{{digestOfKey(Source)}, Limit{10, 10}};
  Install.m_Source = Source;
  return Install;
}

OperationId submit(Simulation &Sim, size_t Index, uint64_t Number,
                   const InstallPolicy &Install) {
  OperationId Id{Number};
  Sim.handle(Index, PolicySubmitted{Id, Install});
  return Id;
}

Change changeOf(const ChangeBody &Body) {
  Change Made;
  Made.m_Body = Body;
  return Made;
}

bool isAccepted(Simulation &Sim, size_t Index, OperationId Id) {
  std::optional<ReplyToOperation> Reply = Sim.reply(Index, Id);
  return Reply && Reply->m_Outcome && Reply->m_Outcome->m_Accepted;
}

} // namespace

TEST_CASE("policy: founders that start together form one cluster, also without "
          "one of them") {
  Simulation Sim = Simulation::withFounders(3);
  Sim.start(0);
  Sim.run(milliseconds(300));
  CHECK(!Sim.leader());
  Sim.start(1);
  REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
  Sim.start(2);
  Sim.run(std::chrono::seconds(2));
  std::set<uint64_t> Terms;
  for (size_t Index = 0; Index < 3; ++Index) {
    CHECK(Sim.board(Index).m_Membership.m_Voters.size() == 3);
    Terms.insert(Sim.board(Index).m_Term);
  }
  CHECK(Terms.size() == 1);
}

TEST_CASE("policy: a host with an empty folder joins founders and never forms "
          "a cluster") {
  Simulation Sim = Simulation::withFounders(3, 1);
  Sim.start(3);
  Sim.run(std::chrono::seconds(3));
  CHECK(!Sim.m_Controls[3].m_Core->isReady());
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.start(Index);
  REQUIRE(Sim.awaitVoters(4));
}

TEST_CASE("policy: the highest version counts, an older one is acknowledged "
          "and changes nothing") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  OperationId New = submit(Sim, Leader, 1'001, policyOf(7, "seven"));
  REQUIRE(Sim.runUntil([&] { return isAccepted(Sim, Leader, New); }));
  OperationId Old = submit(Sim, Leader, 1'002, policyOf(5, "five"));
  OperationId Same = submit(Sim, Leader, 1'003, policyOf(7, "other"));
  REQUIRE(Sim.runUntil([&] {
    return isAccepted(Sim, Leader, Old) && isAccepted(Sim, Leader, Same);
  }));
  Sim.run(milliseconds(500));
  for (size_t Index = 0; Index < 3; ++Index) {
    CHECK(Sim.board(Index).m_State.policySource() == "seven");
    CHECK(Sim.board(Index).configuration().policy().m_Version == 7);
    CHECK(Sim.board(Index).configuration().findKey(digestOfKey("five")) ==
          nullptr);
  }
}

TEST_CASE("policy: of versions that race, the highest is in force everywhere "
          "and after a restart") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  for (uint64_t Version : {9, 4, 12, 11})
    submit(Sim, Leader, 2'000 + Version,
           policyOf(Version, std::to_string(Version)));
  Sim.run(milliseconds(500));
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.stop(Index);
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.start(Index);
  REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
  CHECK(Sim.board(*Sim.leader()).m_State.policySource() == "12");
}

TEST_CASE("policy: proxies get the decoded policy without its source") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  Sim.addHost("h1");
  Sim.poll(Leader, HostName{"h1"});
  REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
  uint64_t Applied = Sim.lastPollReply(Leader)->m_AppliedIndex;
  submit(Sim, Leader, 3'001, policyOf(3, "secret key text"));
  Sim.run(milliseconds(300));
  Sim.poll(Leader, HostName{"h1"}, Applied);
  REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
  bool HasPolicy = false;
  for (const Change &Sent : Sim.lastPollReply(Leader)->m_Changes)
    if (const InstallPolicy *Install =
            std::get_if<InstallPolicy>(&Sent.m_Body)) {
      HasPolicy = true;
      CHECK(Install->m_Source.empty());
      CHECK(Install->m_Policy.m_Version == 3);
    }
  CHECK(HasPolicy);
}

TEST_CASE("policy: an isolated host proves nothing and accepts nothing new") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  Sim.m_Controls[Leader].m_IsIsolated = true;
  OperationId Id = submit(Sim, Leader, 4'001, policyOf(3, "three"));
  Sim.handle(Leader, OperatorRead{OperationId{4'002}});
  Sim.run(std::chrono::seconds(4));
  CHECK(!isAccepted(Sim, Leader, Id));
  std::optional<ReplyToOperation> Read = Sim.reply(Leader, OperationId{4'002});
  CHECK((!Read || Read->m_Error));
}

TEST_CASE("policy: a limit that counts over a window lends at most rate x "
          "window + burst in it") {
  Limit Spread = bucketLimitFor(Limit{100, 100}, std::chrono::seconds(5));
  double InUse = Spread.m_RatePerSecond * 0.3;
  double AtOnce = Spread.m_Burst - InUse;
  CHECK(AtOnce + 5 * Spread.m_RatePerSecond <= doctest::Approx(600));
  CHECK(Spread.m_RatePerSecond > 100);
  Limit Same = bucketLimitFor(Limit{100, 50}, Duration{});
  CHECK((Same == Limit{100, 50}));
}

TEST_CASE("membership: a voter that is gone makes room once another one took "
          "its place") {
  // Pattern: a control machine is replaced at another address. With the old one
  // still counted, the next loss would have stopped the cluster.
  Simulation Sim(4);
  REQUIRE(Sim.awaitVoters(4));
  size_t Gone = (*Sim.leader() + 1) % 4;
  MemberId Id = Sim.m_Controls[Gone].m_Member.m_Id;
  Sim.stop(Gone);
  REQUIRE(Sim.runUntil([&] {
    return Sim.leader() &&
           Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 3;
  }));
  CHECK(Sim.board(*Sim.leader()).findMember(Id) == nullptr);
  // It joins again when it returns.
  Sim.start(Gone);
  REQUIRE(Sim.awaitVoters(4));
}

// Guards against consensus that starves behind the snapshots of a fleet that
// has restarted, and against a snapshot for each of many changes.
TEST_CASE("policy: control hosts offer one snapshot during a series of changes "
          "and limit the rate of its parts") {
  constexpr size_t kProxies = 300;
  constexpr Duration kSpan = milliseconds(200);
  InstallPolicy Install;
  for (int Index = 0; Index < 3'000; ++Index)
    Install.m_Policy
        .m_Organisations[OrganisationName{"o" + std::to_string(Index)}] =
        OrganisationPolicy{{digestOfKey(std::to_string(Index))}, Limit{9, 9}};
  Install.m_Policy.m_Version = 1;
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  Sim.addHost("h1");
  submit(Sim, Leader, 5'001, Install);
  Sim.run(milliseconds(500));
  auto Offered = [&] {
    Sim.pollForAmendments(Leader, HostName{"h1"}, 0, kRequestsSnapshotParts);
    REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
    return *Sim.lastPollReply(Leader);
  };
  PollReply First = Offered();
  CHECK(First.m_Snapshot.empty());
  CHECK(First.m_SnapshotBytes > kMaxSnapshotPartBytes);
  Install.m_Policy.m_Version = 2;
  submit(Sim, Leader, 5'002, Install);
  Sim.run(milliseconds(500));
  CHECK(Offered().m_AppliedIndex == First.m_AppliedIndex);
  Sim.m_Controls[Leader].m_SentToProxies.clear();
  for (size_t Proxy = 0; Proxy < kProxies; ++Proxy)
    Sim.handle(Leader, MessageReceived{
                           LinkId{2'000'000 + 2 * Proxy},
                           ConfigurationPartRequest{First.m_AppliedIndex, 0}});
  Sim.run(kSpan);
  size_t Bytes = 0;
  for (const Message &Sent : Sim.m_Controls[Leader].m_SentToProxies)
    if (const ConfigurationPart *Part = std::get_if<ConfigurationPart>(&Sent))
      Bytes += Part->m_Bytes.size();
  // Half of a link of 100 Mbit/s, and two parts at once after an idle time.
  size_t Allowed = 6'250 * static_cast<size_t>(kSpan / milliseconds(1)) +
                   3 * kMaxSnapshotPartBytes;
  CHECK(Bytes <= Allowed);
  CHECK(Bytes >= Allowed / 2);
  // A snapshot that the host does not hold is answered without bytes.
  Sim.m_Controls[Leader].m_SentToProxies.clear();
  Sim.handle(Leader, MessageReceived{Simulation::kProxyLink,
                                     ConfigurationPartRequest{1, 0}});
  REQUIRE(Sim.runUntil([&] {
    for (const Message &Sent : Sim.m_Controls[Leader].m_SentToProxies)
      if (const ConfigurationPart *Part = std::get_if<ConfigurationPart>(&Sent);
          Part != nullptr && Part->m_Index == 1)
        return Part->m_Bytes.empty();
    return false;
  }));
  Sim.run(std::chrono::seconds(4));
  CHECK(Offered().m_AppliedIndex > First.m_AppliedIndex);
}

// Guards against a proxy that is offered what it already holds, over and over,
// while its proof of a current configuration runs out.
TEST_CASE(
    "policy: a proxy that holds the offered snapshot gets a later one when "
    "the changes since do not fit into a reply") {
  InstallPolicy Install;
  auto InstallNext = [&](Simulation &Sim, uint64_t Number) {
    ++Install.m_Policy.m_Version;
    for (int Index = 0; Index < 1'000; ++Index) {
      std::string Name = "o" + std::to_string(Index);
      Install.m_Policy.m_Organisations[OrganisationName{Name}] =
          OrganisationPolicy{
              {digestOfKey(Name)},
              Limit{static_cast<double>(Install.m_Policy.m_Version), 9}};
    }
    submit(Sim, *Sim.leader(), Number, Install);
    Sim.run(milliseconds(300));
  };
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  Sim.addHost("h1");
  InstallNext(Sim, 5'001);
  auto OfferTo = [&](uint64_t Applied) {
    Sim.pollForAmendments(Leader, HostName{"h1"}, Applied,
                          kRequestsSnapshotParts);
    REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
    return *Sim.lastPollReply(Leader);
  };
  PollReply First = OfferTo(0);
  InstallNext(Sim, 5'002);
  PollReply Second = OfferTo(First.m_AppliedIndex);
  REQUIRE(Second.m_SnapshotBytes > 0);
  CHECK(Second.m_AppliedIndex > First.m_AppliedIndex);
}

// Guards against proxies that poll without pause while a new cluster holds no
// change: an offered index of 0 stands for no configuration.
TEST_CASE("policy: the snapshot of a cluster without changes has an index") {
  Simulation Sim = Simulation::withFounders(3);
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.start(Index);
  REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
  size_t Leader = *Sim.leader();
  Sim.addHost("h1");
  Sim.pollForAmendments(Leader, HostName{"h1"}, 0, kRequestsSnapshotParts);
  REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
  CHECK(Sim.lastPollReply(Leader)->m_SnapshotBytes > 0);
  CHECK(Sim.lastPollReply(Leader)->m_AppliedIndex > 0);
}

TEST_CASE("policy: eight changes in a row cost each of 300 hosts bytes in "
          "proportion to the changes") {
  // The whole policy of 190 organisations went to every host for each change.
  // Links of 2 Mbit/s and the control hosts' buffers filled, and all hosts
  // refused for lack of a proof that their configuration was current.
  constexpr size_t kHosts = 300;
  constexpr size_t kChanges = 8;
  InstallPolicy Install;
  for (int Index = 0; Index < 190; ++Index) {
    std::string Name = "organisation" + std::to_string(Index);
    Install.m_Policy.m_Organisations[OrganisationName{Name}] =
        OrganisationPolicy{{digestOfKey(Name + "a"), digestOfKey(Name + "b")},
                           Limit{100, 100}};
  }
  for (int Index = 0; Index < 60; ++Index)
    Install.m_Policy.m_Routes[RouteName{"route" + std::to_string(Index)}]
        .m_Database = Simulation::kDatabase;
  Install.m_Policy.m_Version = 10;
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  Sim.addHost("h1");
  submit(Sim, Leader, 5'001, Install);
  Sim.run(milliseconds(500));
  Sim.pollForAmendments(Leader, HostName{"h1"}, 0);
  REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
  uint64_t Applied = Sim.lastPollReply(Leader)->m_AppliedIndex;
  FleetPolicy Known = Install.m_Policy;
  size_t WholeBytes = encode(changeOf(Install)).size();
  size_t Bytes = 0;
  for (size_t Count = 0; Count < kChanges; ++Count) {
    Install.m_Policy.m_Version += 3;
    Install.m_Policy.m_Routes[RouteName{"route7"}].m_StatementTimeoutMs += 10;
    if (Count == 4)
      Install.m_Policy.m_Organisations.erase(OrganisationName{"organisation3"});
    submit(Sim, Leader, 5'010 + Count, Install);
    Sim.run(milliseconds(375));
    Sim.pollForAmendments(Leader, HostName{"h1"}, Applied);
    REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
    const PollReply &Reply = *Sim.lastPollReply(Leader);
    Bytes += encode(Message(Reply)).size();
    Applied = Reply.m_AppliedIndex;
    for (const Change &Sent : Reply.m_Changes)
      if (const AmendPolicy *Amendment = std::get_if<AmendPolicy>(&Sent.m_Body))
        Known = applyAmendment(Known, *Amendment);
  }
  CHECK(Known == Install.m_Policy);
  // One change of a route takes less than a hundredth of the policy.
  CHECK(Bytes * kHosts < WholeBytes * kHosts * kChanges / 20);
  // A host of an earlier version gets the newest policy, once.
  Sim.poll(Leader, HostName{"h1"}, Applied - 5);
  REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Leader) != nullptr; }));
  size_t Policies = 0;
  for (const Change &Sent : Sim.lastPollReply(Leader)->m_Changes) {
    CHECK(!std::holds_alternative<AmendPolicy>(Sent.m_Body));
    if (const InstallPolicy *Whole = std::get_if<InstallPolicy>(&Sent.m_Body)) {
      ++Policies;
      CHECK(Whole->m_Policy == Install.m_Policy);
    }
  }
  CHECK(Policies == 1);
}

TEST_CASE("policy: an amendment of another version is refused and changes "
          "nothing") {
  Configuration Target;
  REQUIRE(Target.apply(changeOf(policyOf(5, "five"))).m_Accepted);
  AmendPolicy Amendment;
  Amendment.m_BaseVersion = 4;
  Amendment.m_Version = 6;
  Amendment.m_RemovedOrganisations = {OrganisationName{"ann"}};
  CHECK(!Target.apply(changeOf(Amendment)).m_Accepted);
  CHECK(Target.policy() == policyOf(5, "five").m_Policy);
  Amendment.m_BaseVersion = 5;
  REQUIRE(Target.apply(changeOf(Amendment)).m_Accepted);
  CHECK(Target.policy().m_Version == 6);
  CHECK(Target.findKey(digestOfKey("five")) == nullptr);
}

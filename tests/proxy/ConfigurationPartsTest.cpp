#include "decision/proxy/ConfigurationController.h"
#include "decision/proxy/ProxyCore.h"

#include <doctest/doctest.h>

using namespace almondpier;
using std::chrono::milliseconds;

namespace {

/// A proxy that polls two control hosts. Links open at once; the test answers.
class PolledProxy {
public:
  PolledProxy() {
    FleetPolicy Policy;
    Policy.m_Version = 3;
    Policy.m_Organisations[OrganisationName{"races"}] = OrganisationPolicy{
        {digestOfKey("key-1"), digestOfKey("key-2")}, Limit{10, 10}};
    Change Install;
    Install.m_Body = InstallPolicy{Policy, ""};
    if (!m_Configuration.apply(Install).m_Accepted)
      throw std::logic_error("the policy is refused");
    m_Encoded = encode(m_Configuration);
    run(milliseconds(20));
  }

  void run(Duration Time) {
    for (almondpier::Time End = m_Now + Time; m_Now < End;) {
      m_Now += milliseconds(5);
      m_Links.tick(m_Now);
      m_Controller.tick(m_Now);
      takeActions();
    }
  }
  template <typename Sent> std::vector<Sent> takeSent() {
    std::vector<Sent> Result;
    for (const SendMessage &Action : std::exchange(m_Sent, {}))
      if (const Sent *Found = std::get_if<Sent>(&Action.m_Message)) {
        Result.push_back(*Found);
        m_Link = Action.m_Link;
      }
    return Result;
  }
  /// Answers the last poll with an offer of the snapshot.
  void offer(uint64_t Index) {
    std::vector<PollRequest> Polls = takeSent<PollRequest>();
    REQUIRE(!Polls.empty());
    CHECK(Polls.back().m_LiveHostsTerm == kRequestsSnapshotParts);
    PollReply Offer;
    Offer.m_Sequence = Polls.back().m_Sequence;
    Offer.m_AppliedIndex = Index;
    Offer.m_SnapshotBytes = m_Encoded.size();
    m_Controller.onPollReply(m_Link, Offer, m_Now);
    takeActions();
  }
  ConfigurationPartRequest takeRequest() {
    std::vector<ConfigurationPartRequest> Requests =
        takeSent<ConfigurationPartRequest>();
    REQUIRE(Requests.size() == 1);
    return Requests[0];
  }
  void sendPart(uint64_t Index, uint64_t Offset, const std::string &Bytes) {
    m_Controller.onConfigurationPart(
        m_Link, ConfigurationPart{Index, Offset, Bytes}, m_Now);
    takeActions();
  }

  /// The polled host names other hosts as the members.
  void nameMembers(const std::vector<Endpoint> &Peers) {
    REQUIRE(!takeSent<PollRequest>().empty());
    MembersReply Reply;
    for (const Endpoint &Peer : Peers)
      Reply.m_Voters.push_back(ControlMember{
          MemberId{Peer.m_Port}, HostName{"c"}, {"z2"}, Peer, {}});
    m_Controller.onMembersReply(m_Link, Reply, m_Now);
    takeActions();
  }
  void setSeeds(const std::vector<Endpoint> &Seeds) {
    m_Controller.setSeeds(Seeds);
  }

  Time m_Now{std::chrono::hours(1)};
  /// Hosts to which links were opened.
  std::set<Endpoint> m_OpenedPeers;
  ProxyBlackboard m_Board;
  Configuration m_Configuration;
  std::string m_Encoded;
  LinkId m_Link;

private:
  static ProxyOptions options() {
    ProxyOptions Options;
    Options.m_Host = HostRecord{HostName{"h1"}, {"z1"}, {"127.0.0.1", 9'000}};
    Options.m_ControlPeers = {{"127.0.0.1", 7'000}, {"127.0.0.1", 7'001}};
    Options.m_RoutesByLiveHosts = false;
    return Options;
  }
  void takeActions() {
    for (const ProxyAction &Action : std::exchange(m_Actions, {})) {
      if (const OpenLink *Open = std::get_if<OpenLink>(&Action)) {
        m_OpenedPeers.insert(Open->m_Peer);
        m_Links.onOpened(Open->m_Link, m_Now);
      }
      if (const SendMessage *Send = std::get_if<SendMessage>(&Action))
        m_Sent.push_back(*Send);
    }
  }

  ProxyActions m_Actions;
  LinkTable m_Links{m_Actions};
  std::vector<SendMessage> m_Sent;
  ConfigurationController m_Controller{options(), m_Board, m_Links, m_Actions};
};

constexpr uint64_t kIndex = 42;

} // namespace

// Guards against transfers that begin anew after each lost control host, so
// that a slow link never carries the whole configuration.
TEST_CASE(
    "configuration parts: a transfer goes on at another control host that "
    "offers the same snapshot") {
  PolledProxy Proxy;
  Proxy.offer(kIndex);
  CHECK((Proxy.takeRequest() == ConfigurationPartRequest{kIndex, 0}));
  Proxy.sendPart(kIndex, 0, Proxy.m_Encoded.substr(0, 40));
  CHECK((Proxy.takeRequest() == ConfigurationPartRequest{kIndex, 40}));
  // A part that takes as long as the slowest link needs does not end it.
  Proxy.run(milliseconds(1'000));
  CHECK(Proxy.takeSent<PollRequest>().empty());
  Proxy.run(milliseconds(600));
  Proxy.offer(kIndex);
  CHECK((Proxy.takeRequest() == ConfigurationPartRequest{kIndex, 40}));
  Proxy.sendPart(kIndex, 40, Proxy.m_Encoded.substr(40));
  CHECK(Proxy.m_Board.m_Configuration == Proxy.m_Configuration);
  CHECK(Proxy.m_Board.m_AppliedIndex == kIndex);
}

// Guards against a configuration made of parts of two snapshots.
TEST_CASE("configuration parts: an offer of another snapshot begins a new "
          "transfer") {
  PolledProxy Proxy;
  Proxy.offer(kIndex);
  Proxy.takeRequest();
  Proxy.sendPart(kIndex, 0, Proxy.m_Encoded.substr(0, 40));
  Proxy.takeRequest();
  Proxy.run(milliseconds(1'600));
  Proxy.offer(kIndex + 1);
  CHECK((Proxy.takeRequest() == ConfigurationPartRequest{kIndex + 1, 0}));
  // A late part of the former transfer.
  Proxy.sendPart(kIndex, 0, Proxy.m_Encoded);
  CHECK(Proxy.m_Board.m_AppliedIndex == 0);
}

// Guards against a key that was withdrawn while the snapshot travelled: the
// snapshot may be some seconds old, so it does not make a restarted host ready.
TEST_CASE("configuration parts: a complete snapshot is not taken for current "
          "until the next poll is answered") {
  PolledProxy Proxy;
  Proxy.offer(kIndex);
  Proxy.takeRequest();
  Proxy.sendPart(kIndex, 0, Proxy.m_Encoded);
  CHECK(Proxy.m_Board.m_AppliedIndex == kIndex);
  CHECK(!Proxy.m_Board.m_FreshAt);
  std::vector<PollRequest> Polls = Proxy.takeSent<PollRequest>();
  REQUIRE(Polls.size() == 1);
  CHECK(Polls[0].m_AppliedIndex == kIndex);
}

// Guards against malformed parts that end the process or stop the transfer.
TEST_CASE("configuration parts: parts that do not fit are ignored or make the "
          "proxy poll again") {
  PolledProxy Proxy;
  Proxy.offer(kIndex);
  Proxy.takeRequest();
  Proxy.sendPart(kIndex, 7, "gap");
  Proxy.sendPart(kIndex + 9, 0, "foreign");
  CHECK(Proxy.takeSent<PollRequest>().empty());
  Proxy.sendPart(kIndex, 0, Proxy.m_Encoded + "surplus");
  CHECK(Proxy.m_Board.m_AppliedIndex == 0);
  Proxy.run(kPollInterval);
  Proxy.offer(kIndex);
  Proxy.takeRequest();
  Proxy.sendPart(kIndex, 0, "");
  Proxy.run(kPollInterval);
  Proxy.offer(kIndex);
  Proxy.takeRequest();
  Proxy.sendPart(kIndex, 0, std::string(Proxy.m_Encoded.size(), '\xff'));
  CHECK(Proxy.m_Board.m_AppliedIndex == 0);
  Proxy.run(kPollInterval);
  Proxy.offer(kIndex);
  Proxy.takeRequest();
  Proxy.sendPart(kIndex, 0, Proxy.m_Encoded);
  CHECK(Proxy.m_Board.m_Configuration == Proxy.m_Configuration);
}

// A proxy that was cut off while every member was replaced polled the former
// members for good.
TEST_CASE("configuration: a proxy asks the seeds of its settings again when no "
          "member answers") {
  PolledProxy Proxy;
  Proxy.nameMembers({{"127.0.0.1", 8'000}, {"127.0.0.1", 8'001}});
  Proxy.m_OpenedPeers.clear();
  Proxy.setSeeds({{"127.0.0.1", 7'005}});
  Proxy.run(std::chrono::seconds(5));
  CHECK(Proxy.m_OpenedPeers.contains({"127.0.0.1", 7'005}));
  // The members that a seed names take its place.
  Proxy.takeSent<PollRequest>();
  Proxy.run(std::chrono::seconds(2));
  Proxy.nameMembers({{"127.0.0.1", 8'002}});
  CHECK(Proxy.m_OpenedPeers.contains({"127.0.0.1", 8'002}));
}

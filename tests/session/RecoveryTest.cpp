#include "session/SessionFleet.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

namespace {

/// Time from the return of power until service must have recovered.
constexpr Duration kRecoveryLimit = std::chrono::seconds(15);

/// 300 hosts with a share of 0.12 of a core and links of 2 Mbit/s, of which
/// five have a control host beside them, and 190 organisations.
FleetShape largeFleet() {
  FleetShape Shape;
  Shape.m_Hosts = 300;
  Shape.m_Groups = 20;
  Shape.m_Organisations = 190;
  Shape.m_Slots = 4;
  Shape.m_ConnectionLimit = 216;
  Shape.m_KeysPerOrganisation = 2;
  Shape.m_IdleRoutes = 100;
  Shape.m_ControlHosts = 5;
  Shape.m_HostCapacity = NodeCapacity{250, 0.12};
  return Shape;
}

} // namespace

// Guards against a restart after which hosts never obtain the configuration: a
// snapshot that took longer than the timeout of a poll was requested again from
// the next control host, all of it, by 300 hosts at the same time.
TEST_CASE("session recovery: all hosts return with empty memory behind slow "
          "links") {
  SessionFleet Fleet(largeFleet());
  REQUIRE(Fleet.readyHosts() == Fleet.m_Shape.m_Hosts);
  MESSAGE("bytes of the configuration: ",
          encode(Fleet.m_Cluster.board(0).configuration()).size());
  size_t Elections = Fleet.m_Cluster.elections();
  Fleet.losePower(milliseconds(840), milliseconds(300));
  Time Lost = Fleet.m_Now;
  bool IsBack = Fleet.runUntil(
      [&] { return Fleet.readyHosts() == Fleet.m_Shape.m_Hosts; },
      kRecoveryLimit);
  MESSAGE("ready hosts: ", Fleet.readyHosts(), " after ",
          (Fleet.m_Now - Lost) / milliseconds(1), " ms, elections ",
          Fleet.m_Cluster.elections() - Elections);
  double Timeouts = 0;
  double Snapshots = 0;
  for (size_t Index = 0; Index < Fleet.m_Shape.m_Hosts; ++Index) {
    Timeouts += Fleet.counter(Index, "almondpier_poll_timeouts_total");
    Snapshots += Fleet.counter(Index, "almondpier_snapshots_applied_total");
  }
  MESSAGE("poll timeouts: ", Timeouts, ", snapshots applied: ", Snapshots);
  for (size_t Index = 0; Index < Fleet.m_Cluster.size(); ++Index)
    MESSAGE("control host ", Index, " sent ",
            Fleet.m_Network.sentBytes(SessionFleet::kControlBase + Index),
            " bytes");
  CHECK(IsBack);
}

// Guards against a recovery that only an undisturbed fleet completes.
TEST_CASE("session recovery: power is lost again while hosts obtain the "
          "configuration") {
  SessionFleet Fleet(largeFleet());
  REQUIRE(Fleet.readyHosts() == Fleet.m_Shape.m_Hosts);
  Fleet.losePower(milliseconds(840), milliseconds(300));
  Fleet.run(milliseconds(2'500));
  size_t ReadyBefore = Fleet.readyHosts();
  CHECK(ReadyBefore < Fleet.m_Shape.m_Hosts);
  Fleet.losePower(milliseconds(840), milliseconds(300));
  Time Lost = Fleet.m_Now;
  CHECK(Fleet.runUntil(
      [&] { return Fleet.readyHosts() == Fleet.m_Shape.m_Hosts; },
      kRecoveryLimit));
  MESSAGE("ready hosts: ", ReadyBefore, " before the second loss, ",
          Fleet.readyHosts(), " after ", (Fleet.m_Now - Lost) / milliseconds(1),
          " ms");
}

namespace {

/// Callers of a fleet. Each sends single statements in turn, and opens a
/// session at another host when its session has ended.
class Callers {
public:
  Callers(SessionFleet &Fleet, size_t Count) : m_Fleet(Fleet) {
    for (size_t Index = 0; Index < Count; ++Index)
      m_Callers.push_back(Caller{Index % Fleet.m_Shape.m_Groups,
                                 m_Random() % Fleet.m_Shape.m_Organisations,
                                 open(Index % Fleet.m_Shape.m_Groups,
                                      Index % Fleet.m_Shape.m_Organisations),
                                 std::nullopt, Fleet.m_Now});
  }

  /// Sends PerSecond statements for Length.
  void run(size_t PerSecond, Duration Length) {
    m_Sent = m_Served = 0;
    double Due = 0;
    for (Time End = m_Fleet.m_Now + Length; m_Fleet.m_Now < End;) {
      for (Due += static_cast<double>(PerSecond) / 1'000; Due >= 1; Due -= 1)
        sendNext();
      m_Fleet.run(milliseconds(1));
      collectReplies();
    }
  }

  size_t m_Sent = 0;
  size_t m_Served = 0;

private:
  struct Caller {
    size_t m_Group = 0;
    size_t m_Organisation = 0;
    size_t m_Session = 0;
    std::optional<Time> m_SentAt;
    Time m_OpenAfter;
  };
  static constexpr Duration kReopenDelay = milliseconds(200);

  size_t open(size_t Group, size_t Organisation) {
    return m_Fleet.open(m_Random() % m_Fleet.m_Shape.m_Hosts, "own", Group,
                        Organisation);
  }
  void sendNext() {
    m_Next = (m_Next + 1) % m_Callers.size();
    Caller &Sender = m_Callers[m_Next];
    if (Sender.m_SentAt || m_Fleet.m_Sessions[Sender.m_Session].m_IsClosed)
      return;
    Sender.m_SentAt = m_Fleet.m_Now;
    ++m_Sent;
    m_Fleet.send(Sender.m_Session, m_Random() % 4 == 0 ? StatementKind::Write
                                                       : StatementKind::Read);
  }
  void collectReplies() {
    for (Caller &Sender : m_Callers) {
      SessionFleet::Session &Session = m_Fleet.m_Sessions[Sender.m_Session];
      if (!Session.m_Replies.empty()) {
        m_Served += Session.m_Replies.back().m_Error ? 0 : 1;
        Session.m_Replies.clear();
        Sender.m_SentAt.reset();
      }
      if (!Session.m_IsClosed || m_Fleet.m_Now < Sender.m_OpenAfter)
        continue;
      Sender.m_SentAt.reset();
      Sender.m_OpenAfter = m_Fleet.m_Now + kReopenDelay;
      Sender.m_Session = open(Sender.m_Group, Sender.m_Organisation);
    }
  }

  SessionFleet &m_Fleet;
  std::mt19937 m_Random{5};
  std::vector<Caller> m_Callers;
  size_t m_Next = 0;
};

size_t rejectedConnections(SessionFleet &Fleet) {
  size_t Sum = 0;
  for (size_t Index = 0; Index < Fleet.instanceCount(); ++Index)
    Sum += Fleet.instanceAt(Index).m_RefusedOverLimit;
  return Sum;
}

/// Returns how many connections instances reject as too many in a second under
/// load that begins 4 s after hosts have reached one another again.
size_t rejectionsAfterPartition(const FleetShape &Shape, size_t PerSecond) {
  SessionFleet Fleet(Shape);
  Callers Load(Fleet, 3 * Shape.m_Hosts);
  Load.run(PerSecond, std::chrono::seconds(2));
  Fleet.m_IsPartitioned = true;
  Load.run(PerSecond, std::chrono::seconds(2));
  MESSAGE("partition: sent ", Load.m_Sent, ", served ", Load.m_Served,
          ", connections rejected ", rejectedConnections(Fleet));
  Fleet.m_IsPartitioned = false;
  Load.run(PerSecond, std::chrono::seconds(4));
  size_t Before = rejectedConnections(Fleet);
  MESSAGE("the 4 s after: sent ", Load.m_Sent, ", served ", Load.m_Served,
          ", connections rejected so far ", Before);
  Load.run(PerSecond, std::chrono::seconds(1));
  MESSAGE("the next second: sent ", Load.m_Sent, ", served ", Load.m_Served,
          ", connections rejected ", rejectedConnections(Fleet) - Before);
  // Statements in flight at both ends are not counted as served.
  CHECK(Load.m_Served + Load.m_Sent / 20 >= Load.m_Sent);
  return rejectedConnections(Fleet) - Before;
}

} // namespace

// Guards against connections that are kept after their use: hosts that ran
// statements themselves while they reached no owner kept their connections, and
// owners found instances full until the next restart.
TEST_CASE("session recovery: hosts that reach their owners again give their "
          "connections back, few hosts") {
  FleetShape Shape;
  Shape.m_Hosts = 11;
  Shape.m_Groups = 3;
  Shape.m_Organisations = 8;
  CHECK(rejectionsAfterPartition(Shape, 200) == 0);
}

// As above, with more hosts than an instance admits connections.
TEST_CASE("session recovery: hosts that reach their owners again give their "
          "connections back, more hosts than connections") {
  FleetShape Shape;
  Shape.m_Hosts = 84;
  Shape.m_Groups = 4;
  Shape.m_Organisations = 82;
  Shape.m_ConnectionLimit = 59;
  CHECK(rejectionsAfterPartition(Shape, 300) == 0);
}

// Guards against throttling statements when an instance admits no further
// connection: the rejection was taken for an overload, which halved the number
// of statements on the open connections down to one and kept it there under
// load.
TEST_CASE(
    "session recovery: an instance that admits no further connection goes "
    "on to serve those that are open") {
  FleetShape Shape;
  Shape.m_Organisations = 12;
  SessionFleet Fleet(Shape);
  Callers Load(Fleet, 24);
  Load.run(100, std::chrono::seconds(2));
  // Connections that are not this fleet's, such as those of lost hosts.
  for (size_t Index = 0; Index < Fleet.instanceCount(); ++Index)
    Fleet.instanceAt(Index).m_Connections =
        Shape.m_ConnectionLimit + Fleet.instanceAt(Index).m_Connections / 2;
  Load.run(100, std::chrono::seconds(3));
  MESSAGE("sent ", Load.m_Sent, ", served ", Load.m_Served,
          ", connections rejected ", rejectedConnections(Fleet));
  // Statements in flight at both ends are not counted as served.
  CHECK(Load.m_Served + Load.m_Sent / 20 >= Load.m_Sent);
  // One attempt for each pause and instance.
  CHECK(rejectedConnections(Fleet) <= 60);
}

// Guards against an instance that is full being taken for lost: an owner whose
// connections had broken off was told "too many connections" and passed its
// statements on, so that all hosts opened connections and kept the instance
// full.
TEST_CASE(
    "session recovery: an owner that an instance rejects as too many does "
    "not take the instance for lost") {
  SessionFleet Fleet({.m_Hosts = 5});
  std::vector<size_t> Writers;
  for (size_t Host = 0; Host < 5; ++Host) {
    Writers.push_back(Fleet.open(Host, "own"));
    REQUIRE(!Fleet.sendAndWait(Writers.back(), StatementKind::Write).m_Error);
  }
  size_t Owner = Fleet.busiestOwner();
  for (size_t Id : Writers)
    Fleet.send(Id, StatementKind::Write);
  Fleet.run(milliseconds(5));
  // The connections break off, and others take their places.
  for (uint64_t Id = 1; Id < 30; ++Id)
    Fleet.handle(Owner, ConnectionClosed{ConnectionId{Id}});
  Fleet.instance(0, 0).m_Connections = Fleet.m_Shape.m_ConnectionLimit;
  Fleet.run(milliseconds(50));
  for (int Round = 0; Round < 10; ++Round) {
    for (size_t Id : Writers)
      Fleet.send(Id, StatementKind::Write);
    Fleet.run(milliseconds(100));
  }
  CHECK(Fleet.counter(Owner, "almondpier_connections_over_limit_total") > 0);
  for (size_t Host = 0; Host < 5; ++Host)
    if (Host != Owner)
      CHECK(Fleet.counter(Host, "almondpier_connections_over_limit_total") ==
            0);
}

#include "session/SessionFleet.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

namespace {

/// Limits of SessionFleet: 5 s for revocations and evacuations.
constexpr Duration kEvacuationLimit = milliseconds(5'000);
/// A host that polls learns of an order within two polls.
constexpr Duration kLearningTime = milliseconds(600);
constexpr Duration kGrace = milliseconds(4'500);

const AvailabilityZone kFirstZone{"z0"};

size_t executedIn(SessionFleet &Fleet, const AvailabilityZone &Zone) {
  size_t Count = 0;
  for (size_t Index = 0; Index < Fleet.instanceCount(); ++Index)
    if (Fleet.instanceAt(Index).m_Description.m_Zone == Zone)
      Count += Fleet.instanceAt(Index).m_Executed;
  return Count;
}

void order(SessionFleet &Fleet, const AvailabilityZone &Zone,
           bool IsEvacuated) {
  Fleet.m_Control.accept(EvacuateZone{Zone, IsEvacuated});
}

} // namespace

// Guards against reads that go on at a replica whose zone was evacuated, and
// against one that is never used again.
TEST_CASE("evacuation: reads leave the zone at once and return after the "
          "restoration") {
  SessionFleet Fleet(FleetShape{});
  const AvailabilityZone Zone{"z1"};
  std::vector<size_t> Sessions;
  for (size_t Host = 0; Host < 3; ++Host)
    for (int Count = 0; Count < 4; ++Count)
      Sessions.push_back(Fleet.open(Host, "bounded"));
  auto ReadAll = [&](int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (size_t Session : Sessions)
        Fleet.send(Session, StatementKind::Read);
      Fleet.run(milliseconds(100));
    }
    Fleet.run(milliseconds(300));
  };
  ReadAll(5);
  CHECK(executedIn(Fleet, Zone) > 0);
  order(Fleet, Zone, true);
  Fleet.run(kLearningTime);
  size_t Before = executedIn(Fleet, Zone);
  ReadAll(5);
  CHECK(executedIn(Fleet, Zone) == Before);
  CHECK(!Fleet.sendAndWait(Sessions[0], StatementKind::Read).m_Error);
  order(Fleet, Zone, false);
  Fleet.run(kLearningTime);
  ReadAll(5);
  CHECK(executedIn(Fleet, Zone) > Before);
}

// Guards against refusals while a promotion is under way, and against a primary
// that is used although its zone must receive nothing more.
TEST_CASE("evacuation: a primary serves until another one leads, for the grace "
          "time at most, and then its statements are refused at once") {
  SessionFleet Fleet(FleetShape{});
  size_t Session = Fleet.open(1, "primary");
  CHECK(!Fleet.sendAndWait(Session, StatementKind::Write).m_Error);
  order(Fleet, kFirstZone, true);
  Fleet.run(kLearningTime);
  CHECK(!Fleet.sendAndWait(Session, StatementKind::Write).m_Error);
  Fleet.run(kGrace);
  size_t Before = executedIn(Fleet, kFirstZone);
  Time SentAt = Fleet.m_Now;
  StatementReply Refused = Fleet.sendAndWait(Session, StatementKind::Write);
  CHECK(Refused.m_Error == SessionError::Busy);
  CHECK(Fleet.m_Now - SentAt <= milliseconds(50));
  CHECK(executedIn(Fleet, kFirstZone) == Before);
  Fleet.promote(0, 1);
  Fleet.run(kLearningTime);
  CHECK(!Fleet.sendAndWait(Session, StatementKind::Write).m_Error);
  CHECK(executedIn(Fleet, kFirstZone) == Before);
}

// Guards against a transaction that keeps its connection to an evacuated zone,
// and against a COMMIT that is sent there after the limit.
TEST_CASE("evacuation: a transaction that is open in the zone is rolled back "
          "when the zone is closed") {
  SessionFleet Fleet(FleetShape{});
  size_t Session = Fleet.open(2, "primary");
  REQUIRE(!Fleet.sendAndWait(Session, StatementKind::Begin).m_Error);
  REQUIRE(!Fleet.sendAndWait(Session, StatementKind::Write).m_Error);
  order(Fleet, kFirstZone, true);
  Fleet.run(kLearningTime);
  CHECK(!Fleet.sendAndWait(Session, StatementKind::Write).m_Error);
  Fleet.run(kGrace);
  size_t Before = executedIn(Fleet, kFirstZone);
  StatementReply End = Fleet.sendAndWait(Session, StatementKind::Commit);
  CHECK(End.m_Error == SessionError::Aborted);
  CHECK(End.m_State == TransactionState::None);
  CHECK(executedIn(Fleet, kFirstZone) == Before);
  CHECK(Fleet.instance(0, 0).m_Connections == 0);
}

// Guards against a caller that sends its statements without waiting for
// replies: its connection was at rest at no check of open transactions.
TEST_CASE(
    "evacuation: a transaction of pipelined statements ends when the zone "
    "is closed") {
  SessionFleet Fleet(FleetShape{});
  size_t Session = Fleet.open(2, "primary");
  REQUIRE(!Fleet.sendAndWait(Session, StatementKind::Begin).m_Error);
  order(Fleet, kFirstZone, true);
  Time OrderedAt = Fleet.m_Now;
  size_t Late = 0;
  Fleet.m_OnStatement = [&](size_t /*Host*/,
                            const SessionFleet::Instance &Target,
                            const Statement & /*Sent*/) {
    Late += Target.m_Description.m_Zone == kFirstZone &&
                    Fleet.m_Now - OrderedAt > kEvacuationLimit
                ? 1
                : 0;
  };
  size_t Sent = 1;
  while (Fleet.m_Now - OrderedAt < kEvacuationLimit + milliseconds(1'000)) {
    // A failed transaction refuses each statement as soon as it is sent.
    if (Sent < Fleet.m_Sessions[Session].m_Replies.size() + 3) {
      Fleet.send(Session, StatementKind::Write);
      ++Sent;
    }
    Fleet.run(milliseconds(2));
  }
  CHECK(Late == 0);
}

// Guards against a host that was cut off from control and gives an old order
// the grace time of a new one.
TEST_CASE("evacuation: a host that learns of an order late closes the zone at "
          "once") {
  SessionFleet Fleet(FleetShape{});
  size_t Session = Fleet.open(0, "primary");
  CHECK(!Fleet.sendAndWait(Session, StatementKind::Write).m_Error);
  for (size_t Host = 0; Host < 3; ++Host)
    Fleet.m_CutFromControl.insert(Host);
  Fleet.run(milliseconds(100));
  order(Fleet, kFirstZone, true);
  Fleet.run(std::chrono::seconds(8));
  size_t Before = executedIn(Fleet, kFirstZone);
  Fleet.m_CutFromControl.clear();
  Fleet.run(kLearningTime);
  CHECK(Fleet.sendAndWait(Session, StatementKind::Write).m_Error ==
        SessionError::Busy);
  CHECK(executedIn(Fleet, kFirstZone) == Before);
}

// Guards against a host that starts during an evacuation and takes the order
// for a new one.
TEST_CASE("evacuation: a host that starts later does not use the zone") {
  SessionFleet Fleet(FleetShape{});
  order(Fleet, kFirstZone, true);
  Fleet.run(kLearningTime + kGrace);
  for (size_t Host = 0; Host < 3; ++Host) {
    Fleet.kill(Host);
    Fleet.start(Host);
  }
  size_t Before = executedIn(Fleet, kFirstZone);
  REQUIRE(Fleet.runUntil([&] { return Fleet.readyHosts() == 3; }));
  size_t Session = Fleet.open(0, "primary");
  CHECK(Fleet.sendAndWait(Session, StatementKind::Write).m_Error ==
        SessionError::Busy);
  CHECK(executedIn(Fleet, kFirstZone) == Before);
}

namespace {

/// Random orders, promotions, lost control links and killed hosts under load.
/// Returns the number of statements that reached an evacuated zone after the
/// limit, from hosts that were in touch with control all the time.
size_t countLateStatements(uint32_t Seed) {
  std::mt19937 Random(Seed);
  SessionFleet Fleet(FleetShape{.m_Hosts = 4, .m_Groups = 2});
  std::map<AvailabilityZone, Time> EvacuatedAt;
  std::map<size_t, Time> TouchedAt;
  size_t Late = 0;
  Fleet.m_OnStatement = [&](size_t Host, const SessionFleet::Instance &Target,
                            const Statement & /*Sent*/) {
    auto Since = EvacuatedAt.find(Target.m_Description.m_Zone);
    bool IsInTouch = Fleet.m_Now - TouchedAt[Host] >= milliseconds(5'000);
    if (Since != EvacuatedAt.end() && IsInTouch &&
        Fleet.m_Now - Since->second > kEvacuationLimit)
      ++Late;
  };
  std::vector<size_t> Sessions;
  auto OpenSessions = [&] {
    Sessions.clear();
    for (size_t Host = 0; Host < 4; ++Host)
      for (const char *Guarantee : {"primary", "bounded", "own"})
        Sessions.push_back(Fleet.open(Host, Guarantee, Random() % 2));
  };
  OpenSessions();
  constexpr StatementKind kKinds[] = {
      StatementKind::Begin, StatementKind::Write, StatementKind::Read,
      StatementKind::Read, StatementKind::Commit};
  for (int Step = 0; Step < 240; ++Step) {
    for (size_t Session : Sessions)
      if (Random() % 2 == 0)
        Fleet.send(Session, kKinds[Random() % 5]);
    Fleet.run(milliseconds(100));
    AvailabilityZone Zone{"z" + std::to_string(Random() % 3)};
    size_t Host = Random() % 4;
    switch (Random() % 24) {
    case 0:
      if (EvacuatedAt.size() < 2 || EvacuatedAt.contains(Zone)) {
        order(Fleet, Zone, true);
        EvacuatedAt.try_emplace(Zone, Fleet.m_Now);
      }
      break;
    case 1:
      order(Fleet, Zone, false);
      EvacuatedAt.erase(Zone);
      break;
    case 2:
      for (size_t Member = 0; Member < 3; ++Member)
        if (!EvacuatedAt.contains(
                Fleet.instance(0, Member).m_Description.m_Zone))
          Fleet.promote(0, Member);
      break;
    case 3:
      Fleet.m_CutFromControl.insert(Host);
      break;
    case 4:
      Fleet.m_CutFromControl.erase(Host);
      break;
    case 5:
      Fleet.kill(Host);
      Fleet.start(Host);
      TouchedAt[Host] = Fleet.m_Now;
      OpenSessions();
      break;
    default:
      break;
    }
    for (size_t Cut : Fleet.m_CutFromControl)
      TouchedAt[Cut] = Fleet.m_Now;
  }
  return Late;
}

} // namespace

// Guards against any path by which a statement of a host in touch with control
// reaches an evacuated zone after the limit: forwarded, pinned, retried, after
// a restart or a promotion.
TEST_CASE("evacuation: no host that is in touch sends anything to an evacuated "
          "zone after the limit, whatever else happens") {
  for (uint32_t Seed = 1; Seed <= 100; ++Seed) {
    CAPTURE(Seed);
    CHECK(countLateStatements(Seed) == 0);
  }
}

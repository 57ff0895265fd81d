#include "decision/proxy/HeartbeatController.h"

#include <doctest/doctest.h>

using namespace almondpier;
using std::chrono::milliseconds;

TEST_CASE("heartbeats stay below the datagram limit and name every report in "
          "turn; guards against datagrams that cannot be sent") {
  ProxyBlackboard Board;
  constexpr uint64_t kReports = 50;
  for (uint64_t Number = 0; Number < kReports; ++Number) {
    InstanceReport Report;
    Report.m_Database.m_Value = std::string(kMaxNameBytes, 'd');
    Report.m_Instance.m_Value = std::string(kMaxNameBytes, 'i');
    Report.m_Position.m_Index = Number;
    Board.m_Reports.push_back(Report);
  }
  ProxyActions Actions;
  HeartbeatController Heartbeats(HostName{std::string(kMaxNameBytes, 'h')}, {},
                                 Board, Actions);
  Time Now{std::chrono::seconds(1)};
  std::set<uint64_t> Named;
  constexpr int kRounds = 10;
  for (int Round = 0; Round < kRounds; ++Round) {
    Heartbeats.tick({Endpoint{"10.0.0.1", 1}}, true, Now);
    Now += kHeartbeatInterval;
  }
  REQUIRE(Actions.size() == kRounds);
  constexpr size_t kHeaderAndHashBytes = 48;
  for (const ProxyAction &Action : Actions) {
    const Message &Sent = std::get<SendDatagram>(Action).m_Message;
    CHECK(encode(Sent).size() + kHeaderAndHashBytes <= kMaxDatagramBytes);
    for (const InstanceReport &Report : std::get<Heartbeat>(Sent).m_Reports)
      Named.insert(Report.m_Position.m_Index);
  }
  CHECK(Named.size() == kReports);
}

TEST_CASE("a heartbeat is sent at once when the readiness changes, and else "
          "every 250 ms") {
  ProxyBlackboard Board;
  ProxyActions Actions;
  HeartbeatController Heartbeats(HostName{"host"}, {}, Board, Actions);
  Time Now{std::chrono::seconds(1)};
  Heartbeats.tick({Endpoint{"10.0.0.1", 1}}, true, Now);
  Heartbeats.tick({Endpoint{"10.0.0.1", 1}}, true, Now + milliseconds(5));
  CHECK(Actions.size() == 1);
  Heartbeats.tick({Endpoint{"10.0.0.1", 1}}, false, Now + milliseconds(10));
  CHECK(Actions.size() == 2);
}

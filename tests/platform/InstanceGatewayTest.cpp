#include "platform/src/InstanceGateway.h"

#include "almondpier/Net.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::platform;

TEST_CASE("instance gateway: a call to an instance with an unreadable address "
          "fails alone") {
  // Guards against an exception from connecting: the control host that asks
  // the instance for its position would end.
  EventLoop Loop;
  InstanceGateway Gateway(Loop, "c0", std::nullopt);
  CallGroup Call;
  Call.m_Call = GroupCallId{7};
  Call.m_Instance.m_Name = InstanceName{"i-1"};
  Call.m_Instance.m_Database = DatabaseName{"races"};
  Call.m_Instance.m_StatementEndpoint = Endpoint{"127.1.101.02", 7'000};
  Call.m_TimeoutMs = 200;
  std::vector<GroupCallAnswered> Answers;
  Gateway.call(Call, [&](const GroupCallAnswered &Answer) {
    Answers.push_back(Answer);
    Loop.stop();
  });
  Loop.run();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].m_Call == GroupCallId{7});
  CHECK(Answers[0].m_Outcome == GroupCallAnswered().m_Outcome);
}

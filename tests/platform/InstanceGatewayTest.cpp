#include "platform/src/InstanceGateway.h"

#include "almondpier/Net.h"

#include "FreeEndpoint.h"

#include <doctest/doctest.h>

#include <functional>

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

// Guards against an answer of an instance to the opening of the connection that
// is taken for its answer to the request, so that no failover could complete.
TEST_CASE("instance gateway: an instance that answers twice is understood") {
  const std::string Ready = "READY I -\r\n";
  const std::string Status =
      "ROW primary 3 3.9 3 0 0 1\r\nCOMPLETE -\r\nREADY I 3.9\r\n";
  EventLoop Loop;
  Endpoint Local = freeEndpoint();
  std::vector<std::unique_ptr<LineStream>> Streams;
  LineListener Instance(Loop, Local, LineStream::Limits(),
                        [&](std::unique_ptr<LineStream> Accepted) {
                          LineStream *Raw = Accepted.get();
                          Streams.push_back(std::move(Accepted));
                          Raw->setCallbacks({{},
                                             [&, Raw](std::string_view Line) {
                                               const std::string &Reply =
                                                   Line.starts_with("QUERY")
                                                       ? Status
                                                       : Ready;
                                               Raw->write(Reply + Reply);
                                             },
                                             {}});
                        });
  InstanceGateway Gateway(Loop, "c0", std::nullopt);
  for (GroupCallKind Kind :
       {GroupCallKind::ReadPosition, GroupCallKind::SealReplica,
        GroupCallKind::DemotePrimary}) {
    CallGroup Call;
    Call.m_Call = GroupCallId{static_cast<uint64_t>(Kind) + 1};
    Call.m_Kind = Kind;
    Call.m_Instance.m_Name = InstanceName{"i-1"};
    Call.m_Instance.m_Database = DatabaseName{"races"};
    Call.m_Instance.m_StatementEndpoint = Local;
    Call.m_TimeoutMs = 2'000;
    std::vector<GroupCallAnswered> Answers;
    Gateway.call(Call, [&](const GroupCallAnswered &Answer) {
      Answers.push_back(Answer);
      Loop.stop();
    });
    Loop.run();
    REQUIRE(Answers.size() == 1);
    CHECK(Answers[0].m_Call == Call.m_Call);
    CHECK(Answers[0].m_Outcome == GroupCallOutcome::Done);
    CHECK(Answers[0].m_Received == Position{3, 9});
    CHECK(Answers[0].m_IsPrimary);
  }
}

// The stream of the first call was destroyed inside its own callback when its
// answer led to the next call; the sanitized build shows it.
TEST_CASE("instance gateway: the answer to a call may lead to the next one") {
  EventLoop Loop;
  Endpoint Local = freeEndpoint();
  std::vector<std::unique_ptr<LineStream>> Streams;
  std::vector<std::string> Received;
  LineListener Instance(
      Loop, Local, LineStream::Limits(),
      [&](std::unique_ptr<LineStream> Accepted) {
        LineStream *Raw = Accepted.get();
        Streams.push_back(std::move(Accepted));
        Raw->setCallbacks({{},
                           [&, Raw](std::string_view Line) {
                             if (!Line.starts_with("QUERY"))
                               return Raw->write("READY I -\r\n");
                             Received.emplace_back(Line);
                             Raw->write(
                                 "ROW replica 3 3.9 4 0 0 1\r\nCOMPLETE -\r\n"
                                 "READY I 3.9\r\n");
                           },
                           {}});
      });
  InstanceGateway Gateway(Loop, "c0", std::nullopt);
  CallGroup Call;
  Call.m_Instance.m_Name = InstanceName{"i-1"};
  Call.m_Instance.m_Database = DatabaseName{"races"};
  Call.m_Instance.m_StatementEndpoint = Local;
  Call.m_SealTerm = 4;
  Call.m_TimeoutMs = 2'000;
  std::vector<GroupCallAnswered> Answers;
  std::vector<GroupCallKind> Left{GroupCallKind::ResumeReplica,
                                  GroupCallKind::SealReplica,
                                  GroupCallKind::DemotePrimary};
  std::function<void()> CallNext = [&] {
    if (Left.empty())
      return Loop.stop();
    Call.m_Call = GroupCallId{Call.m_Call.m_Value + 1};
    Call.m_Kind = Left.back();
    Left.pop_back();
    Gateway.call(Call, [&](const GroupCallAnswered &Answer) {
      Answers.push_back(Answer);
      CallNext();
    });
  };
  CallNext();
  Loop.run();
  CHECK(Received == std::vector<std::string>{"QUERY - DEMOTE 4",
                                             "QUERY - PAUSE 4",
                                             "QUERY - RESUME"});
  REQUIRE(Answers.size() == 3);
  for (const GroupCallAnswered &Answer : Answers) {
    CHECK(Answer.m_Outcome == GroupCallOutcome::Done);
    CHECK(Answer.m_HeldTerm == 4);
  }
}

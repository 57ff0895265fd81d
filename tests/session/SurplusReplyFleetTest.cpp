#include "session/SessionFleet.h"

#include <doctest/doctest.h>

#include <random>

using namespace almondpier;
using namespace almondpier::sessiontest;

// MIXED, TWICE, REFUSED: copies of all replies reach the owners of groups,
// which forward the wrong ones to entry hosts.
TEST_CASE("owner: with copies of all replies each forwarded statement gets its "
          "own reply and no write runs twice") {
  for (uint32_t Seed = 1; Seed <= 40; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    SessionFleet Fleet({.m_Hosts = 5});
    std::vector<size_t> Sessions;
    for (size_t Host = 0; Host < 5; ++Host)
      for (const char *Route : {"primary", "own", "bounded"})
        Sessions.push_back(Fleet.open(Host, Route));
    Fleet.m_Repeats = [&](const Statement & /*Sent*/) {
      std::vector<Duration> Delays;
      for (uint32_t Left = Random() % 3; Left > 0; --Left)
        Delays.emplace_back(milliseconds(Random() % 30));
      return Delays;
    };
    Fleet.m_IsRejectedAsBusy = [&](const Statement &Sent) {
      return hasReceipt(Sent.m_Kind) && Random() % 6 == 0;
    };
    std::map<std::string, StatementReply> Writes;
    for (int Step = 0; Step < 200; ++Step) {
      if (Step % 40 == 20)
        Fleet.m_Control.accept(
            EvacuateZone{AvailabilityZone{"z1"}, Step % 80 == 20});
      size_t Session = Sessions[Random() % Sessions.size()];
      StatementKind Kind =
          Random() % 2 == 0 ? StatementKind::Read : StatementKind::Write;
      bool IsTransaction = Random() % 5 == 0;
      if (IsTransaction)
        Fleet.sendAndWait(Session, StatementKind::Begin);
      StatementReply Reply = Fleet.sendAndWait(Session, Kind);
      std::string Request = Fleet.lastRequestId();
      INFO(Request);
      if (!Reply.m_Error)
        CHECK(Fleet.m_RequestOfReceipt[Reply.m_Receipt] == Request);
      if (Kind == StatementKind::Write && !IsTransaction)
        Writes[Request] = Reply;
      if (IsTransaction)
        Fleet.sendAndWait(Session, Random() % 2 == 0 ? StatementKind::Commit
                                                     : StatementKind::Rollback);
    }
    std::map<std::string, int> Executed;
    for (const std::string &Request : Fleet.m_ExecutedRequests)
      ++Executed[Request];
    for (const std::pair<const std::string, StatementReply> &Entry : Writes) {
      const std::string &Request = Entry.first;
      const StatementReply &Reply = Entry.second;
      INFO(Request);
      CHECK(Executed[Request] <= 1);
      if (Reply.m_Error && provesNotExecuted(*Reply.m_Error))
        CHECK(Executed[Request] == 0);
    }
  }
}

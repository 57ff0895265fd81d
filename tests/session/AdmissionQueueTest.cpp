#include "decision/session/AdmissionQueue.h"
#include "decision/session/RoutePriorities.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

const DatabaseName kGroup{"races"};

/// Starts the next Free statements and returns them in order.
std::vector<uint64_t> start(AdmissionQueue &Queue, size_t Free) {
  std::vector<uint64_t> Order;
  Queue.visit([&](SessionId Id) {
    if (Free == 0)
      return AdmissionQueue::Verdict::Kept;
    --Free;
    Order.push_back(Id.m_Value);
    return AdmissionQueue::Verdict::Dispatched;
  });
  return Order;
}

} // namespace

TEST_CASE("session load: a burst of one organisation delays the statement of "
          "another by one turn") {
  // One hundred statements of one organisation arrive before one of another.
  // In order of arrival, the other one waited for all of them.
  AdmissionQueue Queue;
  for (uint64_t Id = 1; Id <= 100; ++Id)
    Queue.push(0, kGroup, OrganisationName{"large"}, SessionId{Id});
  Queue.push(0, kGroup, OrganisationName{"small"}, SessionId{500});
  CHECK(start(Queue, 3) == std::vector<uint64_t>{1, 500, 2});
  CHECK(Queue.size() == 98);
  // Slots that become free one at a time are shared by turns as well.
  Queue.push(0, kGroup, OrganisationName{"small"}, SessionId{501});
  Queue.push(0, kGroup, OrganisationName{"small"}, SessionId{502});
  std::vector<uint64_t> Order;
  for (int Round = 0; Round < 4; ++Round)
    for (uint64_t Id : start(Queue, 1))
      Order.push_back(Id);
  CHECK(std::count(Order.begin(), Order.end(), 501) == 1);
  CHECK(std::count(Order.begin(), Order.end(), 502) == 1);
}

TEST_CASE("admission queue: a statement that cannot start does not stop those "
          "behind it") {
  AdmissionQueue Queue;
  for (uint64_t Id = 1; Id <= 4; ++Id)
    Queue.push(0, kGroup, OrganisationName{"one"}, SessionId{Id});
  std::vector<uint64_t> Order;
  Queue.visit([&](SessionId Id) {
    if (Id.m_Value == 1)
      return AdmissionQueue::Verdict::Kept;
    if (Id.m_Value == 2)
      return AdmissionQueue::Verdict::Obsolete;
    Order.push_back(Id.m_Value);
    return AdmissionQueue::Verdict::Dispatched;
  });
  CHECK(Order == std::vector<uint64_t>{3, 4});
  CHECK(Queue.size() == 1);
}

TEST_CASE("session load: a crowd of low priority delays no statement of a "
          "higher one") {
  // Guards against a result that may not be lost waiting behind lookups that
  // may be stale.
  AdmissionQueue Queue;
  for (uint64_t Id = 1; Id <= 50; ++Id)
    Queue.push(2, kGroup, OrganisationName{"one"}, SessionId{Id});
  Queue.push(1, kGroup, OrganisationName{"one"}, SessionId{100});
  Queue.push(0, kGroup, OrganisationName{"one"}, SessionId{200});
  CHECK(Queue.countAhead(0, kGroup) == 1);
  CHECK(Queue.countAhead(1, kGroup) == 2);
  CHECK(Queue.countAhead(2, kGroup) == 52);
  CHECK(Queue.countAhead(2, DatabaseName{"visits"}) == 0);
  CHECK(start(Queue, 3) == std::vector<uint64_t>{200, 100, 1});
  CHECK(Queue.countAhead(2, kGroup) == 49);
}

TEST_CASE("session load: a steady crowd of high priority leaves a share to "
          "lower ones") {
  AdmissionQueue Queue;
  for (uint64_t Id = 1; Id <= 100; ++Id)
    Queue.push(0, kGroup, OrganisationName{"one"}, SessionId{Id});
  for (uint64_t Id = 1'001; Id <= 1'100; ++Id)
    Queue.push(1, kGroup, OrganisationName{"two"}, SessionId{Id});
  size_t Lower = 0;
  constexpr size_t kRounds = 90;
  for (size_t Round = 0; Round < kRounds; ++Round)
    for (uint64_t Id : start(Queue, 1))
      Lower += Id > 1'000 ? 1 : 0;
  CHECK(Lower == kRounds / (AdmissionQueue::kStartsPerLowerTurn + 1));
}

TEST_CASE("route priorities: a forwarded statement has the priority of the "
          "route with its settings") {
  FleetPolicy Policy;
  Policy.m_Version = 1;
  RoutePolicy Results;
  Results.m_Database = kGroup;
  Results.m_StatementTimeoutMs = 800;
  Results.m_Priority = 0;
  RoutePolicy Lookups = Results;
  Lookups.m_MaxReadAgeMs = 1'500;
  Lookups.m_Priority = 2;
  Policy.m_Routes = {{RouteName{"results"}, Results},
                     {RouteName{"lookups"}, Lookups}};
  RoutePriorities Priorities;
  RoutePolicy Forwarded = Lookups;
  Forwarded.m_Priority = 0;
  CHECK(Priorities.find(Policy, Forwarded) == 2);
  Forwarded.m_MaxReadAgeMs = 0;
  CHECK(Priorities.find(Policy, Forwarded) == 0);
  Forwarded.m_StatementTimeoutMs = 1'000;
  CHECK(Priorities.find(Policy, Forwarded) == 2);
  Policy.m_Version = 2;
  Policy.m_Routes.at(RouteName{"results"}).m_StatementTimeoutMs = 1'000;
  CHECK(Priorities.find(Policy, Forwarded) == 0);
}

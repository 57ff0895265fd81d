#include "decision/session/WaitQueue.h"

#include <doctest/doctest.h>

using namespace almondpier;

TEST_CASE("session load: a burst of one organisation delays the statement of "
          "another by one turn") {
  // One hundred statements of one organisation arrive before one of another.
  // In order of arrival, the other one waited for all of them.
  WaitQueue Queue;
  for (uint64_t Id = 1; Id <= 100; ++Id)
    Queue.push(OrganisationName{"large"}, SessionId{Id});
  Queue.push(OrganisationName{"small"}, SessionId{500});
  std::vector<uint64_t> Order;
  size_t Free = 3;
  auto Dispatch = [&](SessionId Id) {
    if (Free == 0)
      return WaitQueue::Verdict::Kept;
    --Free;
    Order.push_back(Id.m_Value);
    return WaitQueue::Verdict::Dispatched;
  };
  Queue.visit(Dispatch);
  CHECK(Order == std::vector<uint64_t>{1, 500, 2});
  CHECK(Queue.size() == 98);
  // Slots that become free one at a time are shared by turns as well.
  Order.clear();
  Queue.push(OrganisationName{"small"}, SessionId{501});
  Queue.push(OrganisationName{"small"}, SessionId{502});
  for (int Round = 0; Round < 4; ++Round) {
    Free = 1;
    Queue.visit(Dispatch);
  }
  CHECK(std::count(Order.begin(), Order.end(), 501) == 1);
  CHECK(std::count(Order.begin(), Order.end(), 502) == 1);
}

TEST_CASE("wait queue: a statement that cannot start does not stop those "
          "behind it") {
  WaitQueue Queue;
  for (uint64_t Id = 1; Id <= 4; ++Id)
    Queue.push(OrganisationName{"one"}, SessionId{Id});
  std::vector<uint64_t> Order;
  Queue.visit([&](SessionId Id) {
    if (Id.m_Value == 1)
      return WaitQueue::Verdict::Kept;
    if (Id.m_Value == 2)
      return WaitQueue::Verdict::Obsolete;
    Order.push_back(Id.m_Value);
    return WaitQueue::Verdict::Dispatched;
  });
  CHECK(Order == std::vector<uint64_t>{3, 4});
  CHECK(Queue.size() == 1);
}

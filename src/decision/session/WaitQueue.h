/// \file
/// Queue of the statements that wait for an instance, fair to organisations.
#pragma once

#include "decision/session/SessionEvents.h"

#include <algorithm>
#include <concepts>
#include <deque>
#include <utility>

namespace almondpier {

/// Organisations take turns, and the statements of one organisation keep their
/// order of arrival, so that a burst of one delays the others by one statement
/// each. A session is in the queue at most once.
class WaitQueue {
public:
  enum class Verdict : uint8_t {
    /// Started; the organisation's next statement waits for its next turn.
    Dispatched,
    /// Cannot start now.
    Kept,
    /// No longer waits.
    Obsolete,
  };

  void push(const OrganisationName &Organisation, SessionId Session) {
    auto Found =
        std::find_if(m_Turns.begin(), m_Turns.end(), [&](const Turn &Known) {
          return Known.m_Organisation == Organisation;
        });
    if (Found == m_Turns.end())
      Found = m_Turns.insert(m_Turns.end(), Turn{Organisation, {}});
    Found->m_Sessions.push_back(Session);
    ++m_Size;
  }

  /// Offers the waiting sessions to Dispatch until none can start. Dispatch
  /// must not call push().
  template <typename Function>
  requires std::same_as<std::invoke_result_t<Function, SessionId>, Verdict>
  void visit(Function Dispatch) {
    std::deque<Turn> Offered = std::exchange(m_Turns, {});
    std::deque<Turn> Served;
    for (Turn &Next : Offered) {
      bool HasDispatched = offer(Next, Dispatch);
      if (Next.m_Sessions.empty())
        continue;
      (HasDispatched ? Served : m_Turns).push_back(std::move(Next));
    }
    // Those that were served go behind those that were not, and take another
    // turn.
    while (!Served.empty()) {
      Turn Next = std::move(Served.front());
      Served.pop_front();
      bool HasDispatched = offer(Next, Dispatch);
      if (Next.m_Sessions.empty())
        continue;
      (HasDispatched ? Served : m_Turns).push_back(std::move(Next));
    }
  }

  size_t size() const { return m_Size; }

private:
  struct Turn {
    OrganisationName m_Organisation;
    std::deque<SessionId> m_Sessions;
  };

  /// Starts the first session that can start. Returns whether one did.
  template <typename Function> bool offer(Turn &Next, Function &Dispatch) {
    for (auto Entry = Next.m_Sessions.begin();
         Entry != Next.m_Sessions.end();) {
      Verdict Result = Dispatch(*Entry);
      if (Result == Verdict::Kept) {
        ++Entry;
        continue;
      }
      Entry = Next.m_Sessions.erase(Entry);
      --m_Size;
      if (Result == Verdict::Dispatched)
        return true;
    }
    return false;
  }

  /// The organisation whose turn is next comes first.
  std::deque<Turn> m_Turns;
  size_t m_Size = 0;
};

} // namespace almondpier

/// \file
/// Queue of the statements that wait for an instance, by priority and fair to
/// organisations.
#pragma once

#include "decision/session/SessionEvents.h"

#include <algorithm>
#include <concepts>
#include <deque>
#include <utility>

namespace almondpier {

/// Statements of a higher priority start first. Within a priority organisations
/// take turns, and the statements of one organisation keep their order of
/// arrival, so that a burst of one delays the others by one statement each. A
/// lower priority gets one of kStartsPerLowerTurn starts, so that it goes on
/// however much of the higher ones waits. A session is in the queue at most
/// once.
class AdmissionQueue {
public:
  enum class Verdict : uint8_t {
    /// Started; the organisation's next statement waits for its next turn.
    Dispatched,
    /// Cannot start now.
    Kept,
    /// No longer waits.
    Obsolete,
  };

  /// 0 is the highest priority.
  using Priority = uint32_t;
  static constexpr size_t kStartsPerLowerTurn = 8;

  void push(Priority Class, const DatabaseName &Database,
            const OrganisationName &Organisation, SessionId Session) {
    std::deque<Turn> &Turns = m_Classes[Class];
    auto Found =
        std::find_if(Turns.begin(), Turns.end(), [&](const Turn &Known) {
          return Known.m_Organisation == Organisation;
        });
    if (Found == Turns.end())
      Found = Turns.insert(Turns.end(), Turn{Organisation, {}});
    Found->m_Entries.push_back(Entry{Session, Database});
    ++m_Size;
    ++m_Waiting[{Database, Class}];
  }

  /// Offers the waiting sessions to Dispatch until none can start. Dispatch
  /// must not call push().
  template <typename Function>
  requires std::same_as<std::invoke_result_t<Function, SessionId>, Verdict>
  void visit(Function Dispatch) {
    std::vector<Priority> Order;
    for (const auto &[Class, Turns] : m_Classes)
      Order.push_back(Class);
    if (m_HigherStarts >= kStartsPerLowerTurn && Order.size() > 1) {
      std::rotate(Order.begin(), Order.end() - 1, Order.end());
      m_HigherStarts = 0;
    }
    for (Priority Class : Order) {
      size_t Started = visitClass(Class, Dispatch);
      bool HasLower = m_Classes.upper_bound(Class) != m_Classes.end();
      m_HigherStarts += HasLower ? Started : 0;
    }
    std::erase_if(m_Classes,
                  [](const auto &Entry) { return Entry.second.empty(); });
    if (m_Classes.size() < 2)
      m_HigherStarts = 0;
  }

  size_t size() const { return m_Size; }
  /// Returns how many statements of the group wait that start before a new one
  /// of this priority.
  size_t countAhead(Priority Class, const DatabaseName &Database) const {
    size_t Count = 0;
    for (auto Known = m_Waiting.lower_bound({Database, 0});
         Known != m_Waiting.end() && Known->first.first == Database &&
         Known->first.second <= Class;
         ++Known)
      Count += Known->second;
    return Count;
  }

private:
  struct Entry {
    SessionId m_Session;
    DatabaseName m_Database;
  };
  struct Turn {
    OrganisationName m_Organisation;
    std::deque<Entry> m_Entries;
  };

  /// Returns the number of statements that started.
  template <typename Function>
  size_t visitClass(Priority Class, Function &Dispatch) {
    std::deque<Turn> &Turns = m_Classes.at(Class);
    std::deque<Turn> Offered = std::exchange(Turns, {});
    std::deque<Turn> Served;
    size_t Started = 0;
    auto Offer = [&](Turn &Next) {
      bool HasDispatched = offer(Class, Next, Dispatch);
      Started += HasDispatched ? 1 : 0;
      if (!Next.m_Entries.empty())
        (HasDispatched ? Served : Turns).push_back(std::move(Next));
    };
    for (Turn &Next : Offered)
      Offer(Next);
    // Those that were served go behind those that were not, and take another
    // turn.
    while (!Served.empty()) {
      Turn Next = std::move(Served.front());
      Served.pop_front();
      Offer(Next);
    }
    return Started;
  }

  /// Starts the first session that can start. Returns whether one did.
  template <typename Function>
  bool offer(Priority Class, Turn &Next, Function &Dispatch) {
    for (auto Position = Next.m_Entries.begin();
         Position != Next.m_Entries.end();) {
      Verdict Result = Dispatch(Position->m_Session);
      if (Result == Verdict::Kept) {
        ++Position;
        continue;
      }
      forget(Class, Position->m_Database);
      Position = Next.m_Entries.erase(Position);
      if (Result == Verdict::Dispatched)
        return true;
    }
    return false;
  }

  void forget(Priority Class, const DatabaseName &Database) {
    --m_Size;
    auto Known = m_Waiting.find({Database, Class});
    if (--Known->second == 0)
      m_Waiting.erase(Known);
  }

  /// In each class the organisation whose turn is next comes first.
  std::map<Priority, std::deque<Turn>> m_Classes;
  std::map<std::pair<DatabaseName, Priority>, size_t> m_Waiting;
  size_t m_Size = 0;
  /// Statements that started while ones of a lower priority waited.
  size_t m_HigherStarts = 0;
};

} // namespace almondpier

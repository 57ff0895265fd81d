/// \file
/// Copies the log of the primary to a replica.
#pragma once

#include "standin/Context.h"

namespace almondpier {

class Replicator {
public:
  /// OnChange is called after the log changed.
  Replicator(StandInContext &Context, std::function<void()> OnChange);

  /// Follows the source of the instance; called often.
  void run();

private:
  void ask();
  void
  take(uint64_t Term,
       const std::variant<HttpResponse, HttpClientConnection::Failure> &Result);

  StandInContext &m_Context;
  std::function<void()> m_OnChange;
  std::optional<StandInSource> m_Source;
  std::unique_ptr<HttpClientConnection> m_Connection;
  Time m_RetryAt{};
};

} // namespace almondpier

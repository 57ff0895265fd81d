/// \file
/// Counters that the cores report for /metrics.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondpier {

struct Counter {
  /// Prometheus name; names of values that only rise end in "_total".
  std::string m_Name;
  std::string m_Help;
  double m_Value = 0;

  friend auto operator<=>(const Counter &, const Counter &) = default;
};

using CounterList = std::vector<Counter>;

} // namespace almondpier

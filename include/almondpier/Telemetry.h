/// \file
/// Structured log lines, latency histograms, and the text of /metrics.
#pragma once

#include "almondpier/Model.h"
#include "decision/Counter.h"

#include <memory>

namespace almondpier {

enum class LogLevel : uint8_t { Info, Warning, Error };

/// Sets up logging to standard output, which never blocks: one line a record,
/// as time=... level=... program=... host=... message="...". Call once.
void initializeLogging(std::string_view Program, std::string_view Host);

/// Writes one line about a change of state. Never pass keys or secrets.
void writeLog(LogLevel Level, std::string_view Text);

/// Bounds the lines about single requests, so that a flood of failures costs
/// neither the disk nor the processor of a small host.
class LogRateLimiter {
public:
  /// Whether a line may be written now. Failures use the whole budget, other
  /// lines half of it.
  bool tryAcquire(Time Now, bool IsFailure);
  /// Lines left out since the last call, once per second at most.
  uint64_t takeDroppedCount(Time Now);

private:
  Time m_WindowStart;
  uint32_t m_Written = 0;
  uint64_t m_Dropped = 0;
  Time m_ReportedAt;
};

/// Durations from 1 us to 100 s in buckets that grow by about 12%.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &Other);
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  void record(Duration Value);
  /// Adds the counts of another histogram.
  void merge(const LatencyHistogram &Other);
  uint64_t count() const;
  Duration sum() const;
  Duration max() const;
  /// Upper bound of the bucket that holds the quantile, for Fraction from 0
  /// to 1; zero when nothing was recorded.
  Duration quantile(double Fraction) const;

private:
  friend std::string formatHistogram(std::string_view Name,
                                     std::string_view Help,
                                     const LatencyHistogram &Histogram);
  struct State;
  std::unique_ptr<State> m_State;
};

/// Prometheus text format, in seconds.
std::string formatHistogram(std::string_view Name, std::string_view Help,
                            const LatencyHistogram &Histogram);
std::string formatCounters(const CounterList &Counters);

/// Processor time and resident memory of this process, from getrusage and
/// /proc/self.
CounterList processCounters();

} // namespace almondpier

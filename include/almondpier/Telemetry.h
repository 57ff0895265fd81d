/// \file
/// Structured logging, latency histograms, and formatting of /metrics.
#pragma once

#include "almondpier/Model.h"
#include "decision/Counter.h"

#include <memory>

namespace almondpier {

enum class LogLevel : uint8_t { Info, Warning, Error };

/// Sets up non-blocking logging to standard output, with one line per record:
/// time=... level=... program=... host=... message="...". Call it once.
void initializeLogging(std::string_view Program, std::string_view Host);

/// Logs one line about a change of state. Before logging a single request, ask
/// LogRateLimiter. Text must not contain keys or secrets.
void writeLog(LogLevel Level, std::string_view Text);

/// Limits the rate of log lines about single requests, so that many failures do
/// not exhaust the disk or the processor of a small host.
class LogRateLimiter {
public:
  /// Returns whether a line may be written now, and counts it. Lines about
  /// failures may use the whole limit per second, other lines half of it.
  bool tryAcquire(Time Now, bool IsFailure);
  /// Returns and resets the number of lines dropped, at most once per second;
  /// otherwise returns 0.
  uint64_t takeDroppedCount(Time Now);

private:
  Time m_WindowStart;
  uint32_t m_Written = 0;
  uint64_t m_Dropped = 0;
  Time m_ReportedAt;
};

/// Histogram of durations from 1 us to 100 s. Each bucket is about 12% wider
/// than the one before.
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
  /// Returns the upper bound of the bucket that contains the quantile, for
  /// Fraction from 0 to 1; zero when nothing has been recorded.
  Duration quantile(double Fraction) const;

private:
  friend std::string formatHistogram(std::string_view Name,
                                     std::string_view Help,
                                     const LatencyHistogram &Histogram);
  struct State;
  std::unique_ptr<State> m_State;
};

/// Formats a histogram in the Prometheus text format, in seconds.
std::string formatHistogram(std::string_view Name, std::string_view Help,
                            const LatencyHistogram &Histogram);
std::string formatCounters(const CounterList &Counters);

/// Returns the processor time and resident memory of this process, read from
/// getrusage and /proc/self.
CounterList processCounters();

} // namespace almondpier

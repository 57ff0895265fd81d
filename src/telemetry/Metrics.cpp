#include "almondpier/Telemetry.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include <boost/histogram.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace almondpier {

namespace {

constexpr unsigned kBuckets = 160;
constexpr double kMinSeconds = 1e-6;
constexpr double kMaxSeconds = 100;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using Counts =
    decltype(boost::histogram::make_histogram(Axis(1, kMinSeconds, 1)));

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::string formatNumber(double Value) {
  std::ostringstream Text;
  Text.precision(12);
  Text << Value;
  return Text.str();
}

void writeHeader(std::string &Text, std::string_view Name,
                 std::string_view Help, std::string_view Type) {
  Text.append("# HELP ").append(Name).append(" ").append(Help).append("\n");
  Text.append("# TYPE ").append(Name).append(" ").append(Type).append("\n");
}

} // namespace

struct LatencyHistogram::State {
  Counts m_Counts = boost::histogram::make_histogram(
      Axis(kBuckets, kMinSeconds, kMaxSeconds));
  uint64_t m_Count = 0;
  Duration m_Sum{0};
  Duration m_Max{0};
};

LatencyHistogram::LatencyHistogram() : m_State(std::make_unique<State>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(const LatencyHistogram &Other)
    : m_State(std::make_unique<State>(*Other.m_State)) {}

void LatencyHistogram::record(Duration Value) {
  m_State->m_Counts(std::max(secondsOf(Value), kMinSeconds));
  ++m_State->m_Count;
  m_State->m_Sum += Value;
  m_State->m_Max = std::max(m_State->m_Max, Value);
}

void LatencyHistogram::merge(const LatencyHistogram &Other) {
  m_State->m_Counts += Other.m_State->m_Counts;
  m_State->m_Count += Other.m_State->m_Count;
  m_State->m_Sum += Other.m_State->m_Sum;
  m_State->m_Max = std::max(m_State->m_Max, Other.m_State->m_Max);
}

uint64_t LatencyHistogram::count() const { return m_State->m_Count; }
Duration LatencyHistogram::sum() const { return m_State->m_Sum; }
Duration LatencyHistogram::max() const { return m_State->m_Max; }

Duration LatencyHistogram::quantile(double Fraction) const {
  double Wanted = Fraction * static_cast<double>(m_State->m_Count);
  double Seen = 0;
  for (unsigned Bucket = 0; Bucket < kBuckets; ++Bucket) {
    Seen += m_State->m_Counts.at(static_cast<int>(Bucket));
    if (Seen >= Wanted && Seen > 0) {
      double Upper = m_State->m_Counts.axis().value(Bucket + 1);
      Duration Bound = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Upper));
      return std::min(Bound, m_State->m_Max);
    }
  }
  return m_State->m_Max;
}

std::string formatHistogram(std::string_view Name, std::string_view Help,
                            const LatencyHistogram &Histogram) {
  // Every tenth bound keeps the page small; the counts are cumulative.
  constexpr unsigned kStride = 10;
  const Counts &Source = Histogram.m_State->m_Counts;
  std::string Text;
  writeHeader(Text, Name, Help, "histogram");
  double Seen = 0;
  for (unsigned Bucket = 0; Bucket < kBuckets; ++Bucket) {
    Seen += Source.at(static_cast<int>(Bucket));
    if ((Bucket + 1) % kStride != 0)
      continue;
    std::string Bound = formatNumber(Source.axis().value(Bucket + 1));
    Text.append(Name).append("_bucket{le=\"").append(Bound).append("\"} ");
    Text.append(formatNumber(Seen)).append("\n");
  }
  std::string Count = std::to_string(Histogram.count());
  Text.append(Name).append("_bucket{le=\"+Inf\"} ").append(Count).append("\n");
  Text.append(Name).append("_sum ");
  Text.append(formatNumber(secondsOf(Histogram.sum()))).append("\n");
  Text.append(Name).append("_count ").append(Count).append("\n");
  return Text;
}

std::string formatCounters(const CounterList &Counters) {
  std::string Text;
  std::string_view Previous;
  for (const Counter &Entry : Counters) {
    // Counters of one name differ in labels, which follow the name in braces.
    std::string_view Name =
        std::string_view(Entry.m_Name).substr(0, Entry.m_Name.find('{'));
    if (Name != Previous)
      writeHeader(Text, Name, Entry.m_Help,
                  Name.ends_with("_total") ? "counter" : "gauge");
    Previous = Name;
    Text.append(Entry.m_Name).append(" ");
    Text.append(formatNumber(Entry.m_Value)).append("\n");
  }
  return Text;
}

CounterList processCounters() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  double Seconds =
      static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
      static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec) /
          kMicrosecondsPerSecond;
  std::ifstream Statm("/proc/self/statm");
  double TotalPages = 0;
  double ResidentPages = 0;
  Statm >> TotalPages >> ResidentPages;
  double PageBytes = static_cast<double>(sysconf(_SC_PAGESIZE));
  return {{"process_cpu_seconds_total", "Processor time used.", Seconds},
          {"process_resident_memory_bytes", "Resident memory.",
           ResidentPages * PageBytes}};
}

} // namespace almondpier

#include "almondpier/Load.h"

#include <algorithm>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

static double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

static double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

std::string_view nameOf(LoadRequestKind Kind) {
  constexpr std::array<std::string_view, kLoadRequestKindCount> kNames{
      "read", "write", "booking", "split", "transaction", "lookup"};
  return kNames.at(static_cast<size_t>(Kind));
}

LoadMeasures::LoadMeasures(std::map<OrganisationName, Limit> Limits)
    : m_Limits(std::move(Limits)) {}

bool LoadMeasures::recordOffered(const OrganisationName &Organisation,
                                 Time Now) {
  OrganisationState &State = m_Organisations[Organisation];
  ++State.m_Offered;
  auto Found = m_Limits.find(Organisation);
  if (Found == m_Limits.end()) {
    ++m_OfferedInsideRate;
    return true;
  }
  const Limit &Voted = Found->second;
  if (State.m_Offered == 1)
    State.m_Tokens = Voted.m_Burst;
  else
    State.m_Tokens =
        std::min(Voted.m_Burst,
                 State.m_Tokens + Voted.m_RatePerSecond *
                                      toSeconds(Now - State.m_RefilledAt));
  State.m_RefilledAt = Now;
  if (State.m_Tokens < 1)
    return false;
  State.m_Tokens -= 1;
  ++m_OfferedInsideRate;
  return true;
}

void LoadMeasures::record(const LoadSample &Sample) {
  OrganisationState &State = m_Organisations[Sample.m_Organisation];
  ++m_Results.at(static_cast<size_t>(Sample.m_Result));
  if (!Sample.m_ErrorKind.empty())
    ++m_Errors[Sample.m_ErrorKind];
  if (Sample.m_Result == LoadResult::Refused) {
    ++State.m_Refused;
    m_RefusedInsideRate += Sample.m_WasInsideRate ? 1 : 0;
  }
  if (Sample.m_Result != LoadResult::Served)
    return;
  ++State.m_Served;
  m_Latencies.at(static_cast<size_t>(Sample.m_Kind))
      .record(Sample.m_DoneAt - Sample.m_SentAt);
  if (Sample.m_Kind == LoadRequestKind::Read) {
    ++m_Reads;
    m_EligibleReads += Sample.m_MayUseReplica ? 1 : 0;
    m_ReplicaReads +=
        Sample.m_MayUseReplica && Sample.m_WasServedByReplica ? 1 : 0;
  }
  if (!Sample.m_IsAcknowledgedWrite)
    return;
  DatabaseState &Database = m_Databases[Sample.m_Database];
  Time Previous = Database.m_Writes == 0 ? m_StartedAt : Database.m_LastWriteAt;
  Database.m_LongestWriteGap =
      std::max(Database.m_LongestWriteGap, Sample.m_DoneAt - Previous);
  Database.m_LastWriteAt = Sample.m_DoneAt;
  ++Database.m_Writes;
}

double LoadMeasures::replicaShare() const {
  return m_EligibleReads == 0 ? 0
                              : static_cast<double>(m_ReplicaReads) /
                                    static_cast<double>(m_EligibleReads);
}

std::map<DatabaseName, Duration> LoadMeasures::longestWriteGaps() const {
  std::map<DatabaseName, Duration> Gaps;
  for (const std::pair<const DatabaseName, DatabaseState> &Entry : m_Databases)
    Gaps[Entry.first] = std::max(Entry.second.m_LongestWriteGap,
                                 m_StoppedAt - Entry.second.m_LastWriteAt);
  return Gaps;
}

double LoadMeasures::fairShareOf(const OrganisationName &Organisation,
                                 const OrganisationState &State) const {
  double Offered = static_cast<double>(State.m_Offered);
  auto Found = m_Limits.find(Organisation);
  if (Found == m_Limits.end())
    return Offered;
  return std::min(Offered, Found->second.m_Burst +
                               Found->second.m_RatePerSecond *
                                   toSeconds(m_StoppedAt - m_StartedAt));
}

std::pair<OrganisationName, double> LoadMeasures::lowestServedShare() const {
  std::pair<OrganisationName, double> Worst{{}, 1};
  for (const std::pair<const OrganisationName, OrganisationState> &Entry :
       m_Organisations) {
    double Share = static_cast<double>(Entry.second.m_Served) /
                   fairShareOf(Entry.first, Entry.second);
    if (Worst.first.empty() || Share < Worst.second)
      Worst = {Entry.first, Share};
  }
  return Worst;
}

static Json latencyOf(const LatencyHistogram &Latency) {
  return Json{{"count", Latency.count()},
              {"p50_ms", toMilliseconds(Latency.quantile(0.5))},
              {"p90_ms", toMilliseconds(Latency.quantile(0.9))},
              {"p99_ms", toMilliseconds(Latency.quantile(0.99))},
              {"max_ms", toMilliseconds(Latency.max())}};
}

std::string LoadMeasures::toJson() const {
  Json Gaps = Json::object();
  for (const std::pair<const DatabaseName, Duration> &Gap : longestWriteGaps())
    Gaps[Gap.first.m_Value] = toMilliseconds(Gap.second);
  Json Latencies = Json::object();
  for (size_t Kind = 0; Kind < kLoadRequestKindCount; ++Kind)
    if (m_Latencies.at(Kind).count() != 0)
      Latencies[std::string(nameOf(static_cast<LoadRequestKind>(Kind)))] =
          latencyOf(m_Latencies.at(Kind));
  Json Organisations = Json::object();
  for (const std::pair<const OrganisationName, OrganisationState> &Entry :
       m_Organisations)
    Organisations[Entry.first.m_Value] = {
        {"offered", Entry.second.m_Offered},
        {"served", Entry.second.m_Served},
        {"refused", Entry.second.m_Refused},
        {"fair_share", fairShareOf(Entry.first, Entry.second)}};
  std::pair<OrganisationName, double> Worst = lowestServedShare();
  return Json{
      {"seconds", toSeconds(m_StoppedAt - m_StartedAt)},
      {"served", m_Results[0]},
      {"refused", m_Results[1]},
      {"unknown", m_Results[2]},
      {"unreachable", m_Results[3]},
      {"reads", m_Reads},
      {"replica_share", replicaShare()},
      {"replica_eligible_reads", m_EligibleReads},
      {"longest_write_gap_ms", Gaps},
      {"worst_served",
       {{"organisation", Worst.first.m_Value}, {"share", Worst.second}}},
      {"offered_inside_rate", m_OfferedInsideRate},
      {"refused_inside_rate", m_RefusedInsideRate},
      {"errors", m_Errors},
      {"latency", Latencies},
      {"organisations", Organisations}}
      .dump(2);
}

template <typename... Arguments>
static std::string format(const char *Pattern, Arguments... Values) {
  std::array<char, 256> Line{};
  std::snprintf(Line.data(), Line.size(), Pattern, Values...);
  return Line.data();
}

std::string LoadMeasures::toText() const {
  double Seconds = toSeconds(m_StoppedAt - m_StartedAt);
  std::string Text = format(
      "requests: %llu served, %llu refused, %llu unknown, %llu unreachable in "
      "%.1f s (%.0f/s)\n",
      static_cast<unsigned long long>(m_Results[0]),
      static_cast<unsigned long long>(m_Results[1]),
      static_cast<unsigned long long>(m_Results[2]),
      static_cast<unsigned long long>(m_Results[3]), Seconds,
      static_cast<double>(m_Results[0]) / std::max(Seconds, 0.001));
  Text += format("reads served by replicas: %.1f%% of %llu that allow it\n",
                 100 * replicaShare(),
                 static_cast<unsigned long long>(m_EligibleReads));
  for (const std::pair<const DatabaseName, Duration> &Gap : longestWriteGaps())
    Text += format("longest gap without a write: %.0f ms (%s)\n",
                   toMilliseconds(Gap.second), Gap.first.m_Value.c_str());
  std::pair<OrganisationName, double> Worst = lowestServedShare();
  Text += format("worst-served organisation: %.3f of its fair share (%s)\n",
                 Worst.second, Worst.first.m_Value.c_str());
  Text += format("refused within the rate: %llu of %llu\n",
                 static_cast<unsigned long long>(m_RefusedInsideRate),
                 static_cast<unsigned long long>(m_OfferedInsideRate));
  for (const std::pair<const std::string, uint64_t> &Entry : m_Errors)
    Text += format("error %s: %llu\n", Entry.first.c_str(),
                   static_cast<unsigned long long>(Entry.second));
  for (size_t Kind = 0; Kind < kLoadRequestKindCount; ++Kind) {
    const LatencyHistogram &Latency = m_Latencies.at(Kind);
    if (Latency.count() != 0)
      Text += format(
          "latency of %s: median %.2f ms, 99%% %.2f ms, max %.2f "
          "ms\n",
          std::string(nameOf(static_cast<LoadRequestKind>(Kind))).c_str(),
          toMilliseconds(Latency.quantile(0.5)),
          toMilliseconds(Latency.quantile(0.99)),
          toMilliseconds(Latency.max()));
  }
  return Text;
}

} // namespace almondpier

#include "almondpier/Telemetry.h"

#include <doctest/doctest.h>

#include <array>
#include <climits>
#include <random>
#include <sys/wait.h>
#include <unistd.h>

using namespace almondpier;

TEST_CASE("quantiles are bounded by the bucket width and the maximum") {
  LatencyHistogram Histogram;
  CHECK(Histogram.quantile(0.5) == Duration(0));
  for (int Value = 1; Value <= 1'000; ++Value)
    Histogram.record(std::chrono::milliseconds(Value));
  CHECK(Histogram.count() == 1'000);
  CHECK(Histogram.quantile(0.5) >= std::chrono::milliseconds(500));
  CHECK(Histogram.quantile(0.5) <= std::chrono::milliseconds(570));
  CHECK(Histogram.quantile(1) == std::chrono::milliseconds(1'000));
  LatencyHistogram Sum(Histogram);
  Sum.merge(Histogram);
  CHECK(Sum.count() == 2'000);
}

TEST_CASE("metrics are cumulative and have one header for each name") {
  LatencyHistogram Histogram;
  Histogram.record(std::chrono::milliseconds(3));
  std::string Text = formatHistogram("request_seconds", "Time.", Histogram);
  CHECK(Text.find("request_seconds_bucket{le=\"+Inf\"} 1") !=
        std::string::npos);
  CHECK(Text.find("request_seconds_count 1") != std::string::npos);
  std::string Counters =
      formatCounters({{"reads_total{by=\"a\"}", "Reads.", 1},
                      {"reads_total{by=\"b\"}", "Reads.", 2}});
  CHECK(Counters == "# HELP reads_total Reads.\n# TYPE reads_total counter\n"
                    "reads_total{by=\"a\"} 1\nreads_total{by=\"b\"} 2\n");
  CHECK(processCounters().size() == 2);
}

namespace {

/// Returns what a process writes to standard output for one log record.
std::string loggedBy(const std::string &Text) {
  std::array<int, 2> Pipe{};
  REQUIRE(::pipe(Pipe.data()) == 0);
  pid_t Child = ::fork();
  REQUIRE(Child >= 0);
  if (Child == 0) {
    ::dup2(Pipe[1], STDOUT_FILENO);
    initializeLogging("test", "host-1");
    writeLog(LogLevel::Warning, Text);
    ::_exit(0);
  }
  ::close(Pipe[1]);
  std::string Output;
  std::array<char, 8'192> Bytes{};
  ssize_t Count = 0;
  while ((Count = ::read(Pipe[0], Bytes.data(), Bytes.size())) > 0)
    Output.append(Bytes.data(), static_cast<size_t>(Count));
  ::close(Pipe[0]);
  ::waitpid(Child, nullptr, 0);
  return Output;
}

/// Whether Record is one line whose last field is a complete quoted text.
bool isWellFormed(const std::string &Record) {
  size_t Start = Record.find(" message=\"");
  if (Start == std::string::npos || Record.find('\n') + 1 != Record.size())
    return false;
  size_t Index = Start + std::string_view(" message=\"").size();
  while (Index < Record.size() && Record[Index] != '"')
    Index += Record[Index] == '\\' ? 2 : 1;
  return Index + 2 == Record.size();
}

} // namespace

// Guards against a text of a caller that adds a line to the log, ends its field
// or cuts the end of the record off.
TEST_CASE("a log record of any text is one line with one complete message") {
  constexpr uint32_t kSeed = 11;
  constexpr int kRounds = 60;
  constexpr size_t kMaxTextBytes = size_t{2} * PIPE_BUF;
  std::mt19937 Random(kSeed);
  const std::string Special = "\"\\\n\r\t =";
  for (int Round = 0; Round < kRounds; ++Round) {
    std::string Text(Random() % kMaxTextBytes, 'x');
    for (char &Character : Text)
      if (Random() % 2 == 0)
        Character = Random() % 2 == 0
                        ? Special[Random() % Special.size()]
                        : static_cast<char>(Random() % (UINT8_MAX + 1));
    INFO("round " << Round << ", " << Text.size() << " bytes");
    std::string Record = loggedBy(Text);
    CHECK(Record.size() <= PIPE_BUF);
    CHECK(isWellFormed(Record));
  }
}

#include "almondpier/Telemetry.h"

#include <algorithm>
#include <climits>
#include <ostream>
#include <streambuf>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

namespace almondpier {

namespace {

using Logger = boost::log::sources::severity_logger<LogLevel>;
using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;

std::string_view textOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

std::string currentTime() {
  constexpr int64_t kMillisecondsPerSecond = 1'000;
  std::chrono::system_clock::time_point Now = std::chrono::system_clock::now();
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  int64_t Milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
                             Now.time_since_epoch())
                             .count() %
                         kMillisecondsPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::string Fraction = std::to_string(kMillisecondsPerSecond + Milliseconds);
  return std::string(Text.data()) + "." + Fraction.substr(1) + "Z";
}

/// Keeps a record on one line and its quotes balanced. A text that would take
/// more than MaxBytes with its quotes is cut and ends with an ellipsis.
std::string quoted(std::string_view Text, size_t MaxBytes) {
  constexpr std::string_view kEllipsis = "...\"";
  constexpr size_t kEscapedBytes = 2;
  size_t Whole = 2 + Text.size() +
                 static_cast<size_t>(std::count_if(
                     Text.begin(), Text.end(), [](char Character) {
                       return Character == '"' || Character == '\\';
                     }));
  std::string Result = "\"";
  for (char Character : Text) {
    if (Whole > MaxBytes &&
        Result.size() + kEscapedBytes + kEllipsis.size() > MaxBytes)
      return Result.append(kEllipsis);
    if (Character == '"' || Character == '\\')
      Result += '\\';
    bool IsControl = static_cast<unsigned char>(Character) < ' ';
    Result += IsControl ? ' ' : Character;
  }
  return Result + "\"";
}

/// Writes whole lines to standard output and drops them while nobody reads it,
/// so that a stuck reader of the log does not stop the host.
class NonBlockingOutput : public std::streambuf {
protected:
  int overflow(int Character) override {
    if (Character != traits_type::eof())
      m_Line += static_cast<char>(Character);
    return Character;
  }
  std::streamsize xsputn(const char *Bytes, std::streamsize Count) override {
    m_Line.append(Bytes, static_cast<size_t>(Count));
    return Count;
  }
  int sync() override {
    // A pipe that is ready takes this many bytes without blocking.
    m_Line = m_Line.size() > PIPE_BUF ? m_Line.substr(0, PIPE_BUF - 1) + "\n"
                                      : std::move(m_Line);
    pollfd Ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&Ready, 1, 0) == 1 && (Ready.revents & POLLOUT) != 0)
      // A line that cannot be written has nowhere else to go.
      static_cast<void>(::write(STDOUT_FILENO, m_Line.data(), m_Line.size()) <
                        0);
    m_Line.clear();
    return 0;
  }

private:
  std::string m_Line;
};

std::ostream &nonBlockingOutput() {
  static NonBlockingOutput Buffer;
  static std::ostream Stream(&Buffer);
  return Stream;
}

Logger &logger() {
  static Logger Instance;
  return Instance;
}

} // namespace

void initializeLogging(std::string_view Program, std::string_view Host) {
  std::string Origin =
      " program=" + std::string(Program) + " host=" + std::string(Host);
  boost::shared_ptr<Backend> Target = boost::make_shared<Backend>();
  Target->add_stream(boost::shared_ptr<std::ostream>(&nonBlockingOutput(),
                                                     [](std::ostream *) {}));
  Target->auto_flush(true);
  boost::shared_ptr<Sink> Output = boost::make_shared<Sink>(Target);
  Output->set_formatter([Origin](const boost::log::record_view &Record,
                                 boost::log::formatting_ostream &Stream) {
    boost::log::value_ref<LogLevel> Level =
        boost::log::extract<LogLevel>("Severity", Record);
    boost::log::value_ref<std::string> Text =
        boost::log::extract<std::string>("Message", Record);
    std::string Fields = "time=" + currentTime() + " level=";
    Fields.append(textOf(Level ? *Level : LogLevel::Error));
    Fields.append(Origin).append(" message=");
    // One byte is left for the end of the line.
    size_t MaxBytes =
        PIPE_BUF - 1 - std::min<size_t>(Fields.size(), PIPE_BUF / 2);
    Stream << Fields << quoted(Text ? *Text : std::string(), MaxBytes);
  });
  boost::log::core::get()->add_sink(Output);
}

bool LogRateLimiter::tryAcquire(Time Now, bool IsFailure) {
  // A line takes about 20 us, so the budget is a thousandth of a core.
  constexpr uint32_t kLinesPerSecond = 50;
  if (Now - m_WindowStart >= std::chrono::seconds(1)) {
    m_WindowStart = Now;
    m_Written = 0;
  }
  if (m_Written >= (IsFailure ? kLinesPerSecond : kLinesPerSecond / 2)) {
    ++m_Dropped;
    return false;
  }
  ++m_Written;
  return true;
}

uint64_t LogRateLimiter::takeDroppedCount(Time Now) {
  if (m_Dropped == 0 || Now - m_ReportedAt < std::chrono::seconds(1))
    return 0;
  m_ReportedAt = Now;
  return std::exchange(m_Dropped, 0);
}

void writeLog(LogLevel Level, std::string_view Text) {
  boost::log::record Record =
      logger().open_record(boost::log::keywords::severity = Level);
  if (!Record)
    return;
  boost::log::record_ostream Stream(Record);
  Stream << Text;
  Stream.flush();
  logger().push_record(std::move(Record));
}

} // namespace almondpier

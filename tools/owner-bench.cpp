/// \file
/// Measures the CPU time of simple reads through submit, send and answer at
/// the owner. Usage: owner-bench [READS [WAITING]]
#include "decision/proxy/OwnerController.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace almondpier;

namespace {

double cpuSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(Now.tv_sec) +
         static_cast<double>(Now.tv_nsec) * kNanosecond;
}

class Bench {
public:
  explicit Bench(size_t Groups) {
    change(CreateOrganisation{{"org"}});
    change(IssueKey{{"key"}, {{"org"}, digestOfKey("key")}});
    for (size_t Index = 0; Index < Groups; ++Index)
      addGroup({"db" + std::to_string(Index)});
    m_Board.m_FreshAt = m_Now;
    m_Owner.onConfigurationChanged(m_Now);
    for (int Step = 0; Step < 4; ++Step)
      advance();
  }

  /// Reads of a session that wrote; returns the CPU time.
  double run(size_t Reads, size_t Waiting) {
    AdmittedRequest Read;
    Read.m_Organisation = {"org"};
    Read.m_Key = {"key"};
    Read.m_Statement = R"({"op":"get","key":"standings"})";
    Read.m_Requirement.m_Position = {1, 1};
    Read.m_TimeLeftMs = 5'000;
    size_t Submitted = 0;
    size_t Done = 0;
    double Start = cpuSeconds();
    while (Done < Reads) {
      while (Submitted < Reads && Submitted - Done < Waiting) {
        Read.m_Database = {"db" + std::to_string(Submitted % m_Groups)};
        m_Owner.submit({++m_Ticket}, Read, m_Now);
        ++Submitted;
      }
      answerAll();
      m_Now += std::chrono::microseconds(50);
      if (++m_Rounds % 100 == 0)
        advance();
      Done += m_Owner.takeCompleted().size();
    }
    return cpuSeconds() - Start;
  }

private:
  void change(const ChangeBody &Body) {
    m_Board.m_Configuration.apply(
        {"", m_Board.m_Configuration.version(), "bench", 0, Body});
  }
  void addGroup(const DatabaseName &Database) {
    ++m_Groups;
    for (const char *Suffix : {"a", "b", "c"}) {
      InstanceRecord Record;
      Record.m_Database = Database;
      Record.m_Name = {Database.m_Value + Suffix};
      Record.m_StatementEndpoint = {"127.0.0.1", ++m_Port};
      Record.m_PlatformEndpoint = Record.m_StatementEndpoint;
      m_Names[m_Port] = Record.m_Name;
      change(RegisterInstance{Record});
    }
    change(BeginTerm{Database, 1});
    change(ElectPrimary{Database, {Database.m_Value + "a"}, {1, 0}});
    m_Board.m_Observers[Database] = {{"host"}};
  }
  void advance() {
    m_Board.m_FreshAt = m_Now;
    m_Owner.tick(m_Now);
    answerAll();
  }
  void answerAll() {
    for (const ProxyAction &Action : m_Owner.takeActions()) {
      if (const SendStatement *Sent = std::get_if<SendStatement>(&Action)) {
        InstanceAnswer Answer;
        Answer.m_HttpStatus = Sent->m_Kind == RequestKind::Read ? 200 : 404;
        Answer.m_Position = {1, 5};
        Answer.m_Body = R"({"value":"1. Ann 12:04"})";
        m_Owner.handle(InstanceAnswered{Sent->m_Connection, Answer}, m_Now);
      } else if (const ProbeInstance *Probe =
                     std::get_if<ProbeInstance>(&Action)) {
        const InstanceName &Name = m_Names.at(Probe->m_Platform.m_Port);
        InstanceStatus Status{Name, {1, 5}, 1, Name.m_Value.back() == 'a'};
        m_Owner.handle(ProbeAnswered{Probe->m_Probe, Status}, m_Now);
      }
    }
  }

  Time m_Now{std::chrono::seconds(100)};
  ProxyBlackboard m_Board;
  OwnerController m_Owner{{{"host"}, {"zone"}, 1}, m_Board};
  std::map<uint16_t, InstanceName> m_Names;
  size_t m_Groups = 0;
  uint16_t m_Port = 0;
  uint64_t m_Ticket = 0;
  size_t m_Rounds = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  constexpr size_t kReads = 1'000'000;
  size_t Reads = Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : kReads;
  constexpr double kMicroseconds = 1e6;
  for (size_t Waiting : {size_t{1}, size_t{24}, size_t{1'000}}) {
    Bench Measured(3);
    double Seconds = Measured.run(Reads, Waiting);
    std::printf("%zu waiting: %.2f us of CPU per read\n", Waiting,
                Seconds * kMicroseconds / static_cast<double>(Reads));
  }
  return 0;
}

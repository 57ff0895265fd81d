/// \file
/// Measures how many reads a second the proxy core decides on one core, with
/// instances that answer at once. Usage: proxy-core-rate [READS]
#include "decision/proxy/ProxyCore.h"
#include "proxy/FakeControl.h"
#include "proxy/FakeGroup.h"

#include <cstdio>
#include <cstdlib>
#include <deque>

using namespace almondpier;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// One proxy whose events are answered without delay.
class Driver {
public:
  Driver() : m_Group("races", 9000, 3) {
    HostRecord Host{HostName{"host"}, AvailabilityZone{"zone-0"},
                    Endpoint{"10.0.0.2", 8000}};
    ControlMember Member{MemberId{1},
                         HostName{"control"},
                         AvailabilityZone{"zone-0"},
                         Endpoint{"10.0.0.1", 7000},
                         {}};
    m_Control.m_Members.push_back(Member);
    m_Control.m_Leader = Member.m_Host;
    m_Control.m_Tokens = UINT32_MAX;
    m_Control.accept(CreateOrganisation{{"climbers"}});
    m_Control.accept(IssueKey{
        KeyId{"key-1"}, KeyRecord{{"climbers"}, digestOfKey("secret-1")}});
    for (const ChangeBody &Body : m_Group.registrationChanges())
      m_Control.accept(Body);
    m_Control.accept(RegisterHost{Host});
    m_Control.setLive({LiveHost{Host.m_Name, true}});
    ProxyOptions Options;
    Options.m_Host = Host;
    Options.m_Incarnation = 1;
    Options.m_FleetSecret = "the fleet secret of the benchmark";
    Options.m_ControlPeers = {Member.m_Peer};
    m_Core = std::make_unique<ProxyCore>(Options, m_Now);
  }

  void advance(Duration Step) {
    m_Now += Step;
    if (m_Now - m_LastTick < milliseconds(5))
      return;
    m_LastTick = m_Now;
    handle(Tick());
  }
  void handle(ProxyEvent Event) {
    m_Events.push_back(std::move(Event));
    while (!m_Events.empty()) {
      ProxyEvent Next = std::move(m_Events.front());
      m_Events.pop_front();
      ProxyActions Actions;
      m_Core->handle(Next, m_Now, Actions);
      for (const ProxyAction &Action : Actions)
        std::visit([&](const auto &Typed) { execute(Typed); }, Action);
    }
  }

  uint64_t m_Answers = 0;
  uint64_t m_Errors = 0;
  std::string m_Token;

private:
  template <typename Action> void execute(const Action & /*Action*/) {}
  void execute(const ReplyToCaller &Action) {
    ++m_Answers;
    m_Errors += Action.m_Error ? 1 : 0;
    m_Token = Action.m_SessionToken;
  }
  void execute(const OpenLink &Action) {
    m_Events.emplace_back(LinkOpened{Action.m_Link});
  }
  void execute(const SendMessage &Action) {
    if (const PollRequest *Poll = std::get_if<PollRequest>(&Action.m_Message))
      for (const PollReply &Reply : m_Control.answer(*Poll))
        m_Events.emplace_back(MessageReceived{Action.m_Link, Reply});
    if (const TokenRequest *Ask = std::get_if<TokenRequest>(&Action.m_Message))
      m_Events.emplace_back(
          MessageReceived{Action.m_Link, m_Control.lend(*Ask)});
  }
  void execute(const SendStatement &Action) {
    InstanceAnswer Answer;
    Answer.m_HttpStatus = 200;
    Answer.m_Position = Position{1, 1};
    Answer.m_Body = "{\"value\":\"a\"}";
    m_Events.emplace_back(InstanceAnswered{Action.m_Connection, Answer});
  }
  void execute(const ProbeInstance &Action) {
    m_Events.emplace_back(ProbeAnswered{
        Action.m_Probe,
        m_Group.statusOf(m_Group.find(Action.m_Platform).value(), m_Now)});
  }

  Time m_Now{std::chrono::seconds(1'000)};
  Time m_LastTick;
  FakeControl m_Control;
  FakeGroup m_Group;
  std::unique_ptr<ProxyCore> m_Core;
  std::deque<ProxyEvent> m_Events;
};

} // namespace

int main(int Count, char **Arguments) {
  constexpr uint64_t kDefaultReads = 500'000;
  uint64_t Reads =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : kDefaultReads;
  Driver Proxy;
  constexpr int kWarmUpSteps = 200;
  for (int Step = 0; Step < kWarmUpSteps; ++Step)
    Proxy.advance(milliseconds(5));
  CallerRequest Request;
  Request.m_Key = digestOfKey("secret-1");
  Request.m_Database.m_Value = "races";
  Request.m_Statement = R"({"op":"get","key":"a"})";
  std::chrono::steady_clock::time_point Begin =
      std::chrono::steady_clock::now();
  for (uint64_t Read = 0; Read < Reads; ++Read) {
    Request.m_Id = CallerRequestId{Read + 1};
    Request.m_SessionToken = Proxy.m_Token;
    Proxy.handle(Request);
    Proxy.advance(microseconds(10));
  }
  double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
          .count();
  std::printf("%llu reads, %llu answers, %llu errors in %.3f s: %.0f reads/s\n",
              static_cast<unsigned long long>(Reads),
              static_cast<unsigned long long>(Proxy.m_Answers),
              static_cast<unsigned long long>(Proxy.m_Errors), Seconds,
              static_cast<double>(Reads) / Seconds);
  return EXIT_SUCCESS;
}

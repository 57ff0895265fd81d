#include "decision/proxy/TokenController.h"

#include <doctest/doctest.h>

using namespace almondpier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t kValidityMs = 300;

/// A token controller with a link to a leader that the test plays.
class Borrower {
public:
  Borrower() {
    m_Tokens.setLeader(m_Leader, m_Now);
    m_Link = std::get<OpenLink>(m_Actions.at(0)).m_Link;
    m_Links.onOpened(m_Link, m_Now);
    m_Actions.clear();
  }

  void run(Duration Length) {
    Time End = m_Now + Length;
    while (m_Now < End) {
      m_Now += milliseconds(5);
      m_Links.tick(m_Now);
      m_Tokens.tick(m_Now);
    }
  }
  std::vector<TokenRequest> takeRequests() {
    std::vector<TokenRequest> Requests;
    for (const ProxyAction &Action : m_Actions)
      if (const SendMessage *Sent = std::get_if<SendMessage>(&Action)) {
        if (const TokenRequest *Request =
                std::get_if<TokenRequest>(&Sent->m_Message))
          Requests.push_back(*Request);
        if (const TokenReturn *Return =
                std::get_if<TokenReturn>(&Sent->m_Message))
          m_Returned += Return->m_Tokens;
      }
    m_Actions.clear();
    return Requests;
  }
  void grant(const TokenRequest &Request, uint32_t Tokens,
             uint32_t ValidityMs = kValidityMs) {
    TokenGrant Grant{Request.m_Sequence, m_LeaderTerm, {}};
    Grant.m_Loans.push_back(
        TokenLoan{m_Organisation, Tokens, ValidityMs, kRetryAfterMs});
    m_Tokens.onGrant(m_Link, Grant, m_Now);
  }
  void wait(uint64_t Id, Duration Timeout = seconds(5)) {
    m_Tokens.enqueueWaiter(m_Organisation, CallerRequestId{Id}, m_Now + Timeout,
                           m_Now);
  }
  /// Borrows tokens that no request waits for any more.
  void borrow(uint32_t Tokens, uint32_t ValidityMs = kValidityMs) {
    wait(kPlaceholder);
    TokenRequest Request = takeRequests().at(0);
    m_Tokens.removeWaiter(m_Organisation, CallerRequestId{kPlaceholder});
    grant(Request, Tokens, ValidityMs);
  }
  bool trySpend() { return m_Tokens.trySpend(m_Organisation, m_Now); }

  static constexpr uint32_t kRetryAfterMs = 40;
  static constexpr uint64_t kPlaceholder = 999;
  Time m_Now{seconds(1'000)};
  OrganisationName m_Organisation{"climbers"};
  Endpoint m_Leader{"10.0.0.1", 7000};
  LinkId m_Link;
  uint32_t m_Returned = 0;
  uint64_t m_LeaderTerm = 1;
  ProxyActions m_Actions;
  LinkTable m_Links{m_Actions};
  TokenController m_Tokens{HostName{"host"}, m_Links, m_Actions};
};

} // namespace

TEST_CASE("tokens: never more are spent than were lent, also when a grant "
          "comes twice or for no request") {
  Borrower Host;
  Host.wait(1);
  TokenRequest Request = Host.takeRequests().at(0);
  CHECK(Request.m_Demands.at(0).m_Waiting == 1);
  Host.m_Tokens.removeWaiter(Host.m_Organisation, CallerRequestId{1});
  constexpr uint32_t kLent = 3;
  Host.grant(Request, kLent);
  Host.grant(Request, kLent);
  TokenRequest Invented = Request;
  Invented.m_Sequence += 1;
  Host.grant(Invented, kLent);
  uint32_t Spent = 0;
  while (Host.trySpend())
    ++Spent;
  CHECK(Spent == kLent);
}

TEST_CASE("tokens: validity counts from the send time of the request; guards "
          "against use after the leader counts them as expired") {
  Borrower Host;
  Host.wait(1);
  TokenRequest Request = Host.takeRequests().at(0);
  Host.m_Tokens.removeWaiter(Host.m_Organisation, CallerRequestId{1});
  Host.m_Now += milliseconds(200);
  Host.grant(Request, 2);
  CHECK(Host.trySpend());
  Host.m_Now += milliseconds(100);
  CHECK(!Host.trySpend());
}

TEST_CASE("tokens: a grant that arrives after its validity is not used") {
  Borrower Host;
  Host.wait(1);
  TokenRequest Request = Host.takeRequests().at(0);
  Host.m_Now += milliseconds(kValidityMs);
  Host.grant(Request, 2);
  CHECK(Host.m_Tokens.takeServableWaiters(Host.m_Now).empty());
  CHECK(!Host.m_Tokens.trySpendForWaiter(Host.m_Organisation, Host.m_Now));
}

TEST_CASE("tokens: unused ones are returned before they expire, once, and "
          "cannot be spent afterwards") {
  Borrower Host;
  constexpr uint32_t kLent = 5;
  Host.borrow(kLent);
  CHECK(Host.trySpend());
  Host.run(milliseconds(kValidityMs - 20));
  Host.takeRequests();
  CHECK(Host.m_Returned == kLent - 1);
  CHECK(!Host.trySpend());
  Host.run(milliseconds(kValidityMs));
  Host.takeRequests();
  CHECK(Host.m_Returned == kLent - 1);
}

TEST_CASE("tokens: all are returned at shutdown") {
  Borrower Host;
  constexpr uint32_t kLent = 5;
  Host.borrow(kLent);
  Host.m_Tokens.returnAll(Host.m_Now);
  Host.takeRequests();
  CHECK(Host.m_Returned == kLent);
  CHECK(!Host.trySpend());
}

TEST_CASE("tokens: a request waits for a grant, in order of arrival, and new "
          "requests do not overtake it") {
  Borrower Host;
  Host.wait(1);
  Host.wait(2);
  TokenRequest First = Host.takeRequests().at(0);
  Host.grant(First, 1);
  CHECK(!Host.trySpend());
  CHECK((Host.m_Tokens.takeServableWaiters(Host.m_Now) ==
         std::vector<CallerRequestId>{CallerRequestId{1}}));
  CHECK(Host.m_Tokens.trySpendForWaiter(Host.m_Organisation, Host.m_Now));
  Host.run(milliseconds(25));
  std::vector<TokenRequest> Next = Host.takeRequests();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].m_Demands.at(0).m_Waiting == 1);
  CHECK(Host.m_Tokens.takeRefusedWaiters(Host.m_Now).empty());
}

TEST_CASE("tokens: a request above the rate is refused after 250 ms while the "
          "leader answers, with the time of the next token") {
  Borrower Host;
  Host.wait(1);
  Time Began = Host.m_Now;
  std::vector<TokenController::RefusedWaiter> Refused;
  while (Refused.empty() && Host.m_Now < Began + seconds(5)) {
    Host.run(milliseconds(5));
    for (const TokenRequest &Request : Host.takeRequests())
      Host.grant(Request, 0);
    Refused = Host.m_Tokens.takeRefusedWaiters(Host.m_Now);
  }
  REQUIRE(Refused.size() == 1);
  CHECK((Refused[0].m_Error.m_Kind == ErrorKind::RateLimited));
  CHECK((Refused[0].m_Error.m_Ran == Ran::No));
  CHECK(Refused[0].m_Error.m_RetryAfterMs == Borrower::kRetryAfterMs);
  CHECK((Host.m_Now - Began == kMaxTokenWait));
}

TEST_CASE("tokens: a silent leader refuses nothing before 2 s; guards against "
          "refusals within the rate while a leader is elected") {
  Borrower Host;
  Host.wait(1);
  Host.wait(2, milliseconds(700));
  Time Began = Host.m_Now;
  std::vector<TokenController::RefusedWaiter> Refused;
  while (Refused.size() < 2 && Host.m_Now < Began + seconds(5)) {
    Host.run(milliseconds(5));
    for (const TokenController::RefusedWaiter &Next :
         Host.m_Tokens.takeRefusedWaiters(Host.m_Now)) {
      CHECK((Next.m_Error.m_Kind == ErrorKind::ConfigurationStale));
      CHECK((Host.m_Now - Began ==
             (Next.m_Id.m_Value == 2 ? milliseconds(700) : kMaxLeaderWait)));
      Refused.push_back(Next);
    }
  }
  CHECK(Refused.size() == 2);
}

TEST_CASE("tokens: a waiting request is asked for again at a new leader") {
  Borrower Host;
  Host.wait(1);
  REQUIRE(Host.takeRequests().size() == 1);
  Host.m_Tokens.setLeader(Endpoint{"10.0.0.1", 7001}, Host.m_Now);
  LinkId Link;
  for (const ProxyAction &Action : Host.m_Actions)
    if (const OpenLink *Opened = std::get_if<OpenLink>(&Action))
      Link = Opened->m_Link;
  Host.m_Links.onOpened(Link, Host.m_Now);
  Host.run(milliseconds(25));
  std::vector<TokenRequest> Requests = Host.takeRequests();
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].m_Demands.at(0).m_Waiting == 1);
  // The old leader's late grant is not used.
  Host.grant(TokenRequest{{}, Requests[0].m_Sequence, {}}, 1);
  CHECK(Host.m_Tokens.takeServableWaiters(Host.m_Now).empty());
}

TEST_CASE("tokens: are borrowed ahead in proportion to recent use, and no "
          "longer once the use ends") {
  Borrower Host;
  constexpr uint32_t kLoad = 50;
  uint32_t Ahead = 0;
  for (int Round = 0; Round < 20; ++Round) {
    Host.run(milliseconds(50));
    for (const TokenRequest &Request : Host.takeRequests()) {
      Ahead = Request.m_Demands.at(0).m_Prefetch;
      Host.grant(Request, kLoad);
    }
    for (uint32_t Used = 0; Used < kLoad && Host.trySpend(); ++Used) {
    }
    if (Round == 0)
      Host.borrow(kLoad);
  }
  CHECK(Ahead >= kLoad);
  CHECK(Ahead <= 3 * kLoad);
  Host.run(seconds(5));
  Host.takeRequests();
  Host.run(seconds(1));
  CHECK(Host.takeRequests().empty());
}

TEST_CASE("tokens: a caller that begins to send one request after the other "
          "waits for few of them; guards against one wait a token") {
  Borrower Host;
  constexpr int kRequests = 1'000;
  int Waits = 0;
  for (int Number = 0; Number < kRequests; ++Number) {
    Host.m_Now += milliseconds(1);
    if (Host.trySpend())
      continue;
    ++Waits;
    Host.wait(1);
    while (Host.m_Tokens.takeServableWaiters(Host.m_Now).empty()) {
      Host.run(milliseconds(5));
      for (const TokenRequest &Request : Host.takeRequests())
        Host.grant(Request, Request.m_Demands.at(0).m_Waiting +
                                Request.m_Demands.at(0).m_Prefetch);
    }
    CHECK(Host.m_Tokens.trySpendForWaiter(Host.m_Organisation, Host.m_Now));
  }
  constexpr int kMaxWaits = 20;
  CHECK(Waits <= kMaxWaits);
  MESSAGE("waits: " << Waits);
}

TEST_CASE("tokens: after a change of leader a request waits for the new bucket "
          "to fill; guards against refusals inside the rate (17 of 6,273 "
          "requests in a run that killed the leader)") {
  Borrower Host;
  Host.borrow(1);
  CHECK(Host.trySpend());
  Host.m_LeaderTerm = 2;
  Host.wait(1);
  // The new leader has nothing to lend for a second.
  for (int Step = 0; Step < 10; ++Step) {
    for (const TokenRequest &Request : Host.takeRequests())
      Host.grant(Request, 0);
    Host.run(milliseconds(100));
    CHECK(Host.m_Tokens.takeRefusedWaiters(Host.m_Now).empty());
  }
  for (int Step = 0; Step < 12; ++Step) {
    for (const TokenRequest &Request : Host.takeRequests())
      Host.grant(Request, 0);
    Host.run(milliseconds(100));
  }
  CHECK(Host.m_Tokens.takeRefusedWaiters(Host.m_Now).size() == 1);
}

#include "control/Simulation.h"
#include "decision/control/RateLimitController.h"

#include <random>

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

const OrganisationName kOrganisation{"one"};

/// A token that a proxy may use from the time of its request until it expires.
struct LentToken {
  Time m_RequestedAt;
  Time m_ValidUntil;
};

/// Collects loans, and either uses each token at a pseudo-random time within
/// its validity or returns it.
class SimulatedBorrower {
public:
  SimulatedBorrower(Simulation &Sim, uint64_t Seed)
      : m_Sim(Sim), m_Random(Seed) {}

  void requestTokens(size_t Leader, uint32_t Waiting, uint32_t Prefetch) {
    m_RequestedAt[++m_Sequence] = m_Sim.m_Now;
    m_Sim.handle(
        Leader,
        MessageReceived{Simulation::kProxyLink,
                        TokenRequest{{"h" + std::to_string(m_Sequence % 5)},
                                     m_Sequence,
                                     {{kOrganisation, Waiting, Prefetch}}}});
    collectGrants(Leader);
  }

  void collectGrants(size_t Leader) {
    std::vector<Message> &Sent = m_Sim.m_Controls[Leader].m_SentToProxies;
    for (const Message &Message : Sent)
      if (const TokenGrant *Grant = std::get_if<TokenGrant>(&Message))
        useLoans(Leader, *Grant);
    Sent.clear();
  }

  const std::vector<Time> &useTimes() const { return m_UseTimes; }

private:
  void useLoans(size_t Leader, const TokenGrant &Grant) {
    Time RequestedAt = m_RequestedAt.at(Grant.m_Sequence);
    for (const TokenLoan &Loan : Grant.m_Loans)
      for (uint32_t Token = 0; Token < Loan.m_Tokens; ++Token) {
        if (m_Random() % 4 == 0) {
          m_Sim.handle(Leader, MessageReceived{Simulation::kProxyLink,
                                               TokenReturn{Grant.m_LeaderTerm,
                                                           kOrganisation, 1}});
          continue;
        }
        Time ExpiresAt = RequestedAt + milliseconds(Loan.m_ValidityMs);
        if (ExpiresAt < m_Sim.m_Now)
          continue;
        // Using a token at the end of its validity is the worst case.
        m_UseTimes.push_back(m_Random() % 2 == 0 ? ExpiresAt : m_Sim.m_Now);
      }
  }

  Simulation &m_Sim;
  std::mt19937_64 m_Random;
  uint64_t m_Sequence = 0;
  std::map<uint64_t, Time> m_RequestedAt;
  std::vector<Time> m_UseTimes;
};

void checkRateInAllWindows(std::vector<Time> UseTimes, const Limit &Limit) {
  std::sort(UseTimes.begin(), UseTimes.end());
  REQUIRE(!UseTimes.empty());
  double WorstExcess = -1e9;
  for (size_t First = 0; First < UseTimes.size(); ++First)
    for (size_t Last = First; Last < UseTimes.size(); ++Last) {
      double Seconds =
          std::chrono::duration<double>(UseTimes[Last] - UseTimes[First])
              .count();
      double Allowed = Limit.m_Burst + Limit.m_RatePerSecond * Seconds;
      WorstExcess = std::max(WorstExcess,
                             static_cast<double>(Last - First + 1) - Allowed);
    }
  CHECK(WorstExcess <= 1e-6);
}

void setLimit(Simulation &Sim, const Limit &Limit, PresetKind Kind,
              const std::string &Id) {
  DefinePreset Define;
  Define.m_Kind = Kind;
  Define.m_Preset.m_DefaultLimit = Limit;
  REQUIRE(Sim.change(Define, Id).m_Accepted);
}

} // namespace

TEST_CASE("control: a bucket whose borrowers use, hold and give back tokens at "
          "the worst moments lends no more than burst + rate x window") {
  struct OutstandingLoan {
    Time m_ExpiresAt;
    uint32_t m_Tokens = 0;
  };
  for (uint64_t Seed = 1; Seed <= 300; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    Limit Limit{50, 1 + 50 * (0.05 + static_cast<double>(Random() % 80) / 100)};
    Duration Validity = loanParametersOf(Limit).m_Validity;
    TokenBucket Bucket{Time{}};
    Time Now{};
    std::vector<Time> UseTimes;
    std::vector<OutstandingLoan> Loans;
    for (int Step = 0; Step < 400; ++Step) {
      // Several borrowers often act at the same time.
      if (Random() % 3 == 0)
        Now += Random() % 4 == 0
                   ? 4 * Validity
                   : Validity / static_cast<int64_t>(1 + Random() % 3);
      // Tokens that were not returned are used when they expire.
      std::erase_if(Loans, [&](const OutstandingLoan &Loan) {
        if (Loan.m_ExpiresAt >= Now)
          return false;
        UseTimes.insert(UseTimes.end(), Loan.m_Tokens, Loan.m_ExpiresAt);
        return true;
      });
      Bucket.refill(Limit, Now);
      if (Random() % 4 == 0 && !Loans.empty()) {
        Bucket.returnTokens(Loans.front().m_Tokens, Now);
        Loans.erase(Loans.begin());
        continue;
      }
      uint32_t Requested = Random() % 2 == 0 ? 1'000 : 1 + Random() % 20;
      if (uint32_t Granted = Bucket.lend(Requested, Now); Granted > 0)
        Loans.push_back(OutstandingLoan{Now + Validity, Granted});
    }
    checkRateInAllWindows(UseTimes, Limit);
  }
}

TEST_CASE("control: random asks and returns never get more than burst + rate x "
          "window, also across leader changes") {
  for (uint64_t Seed = 1; Seed <= 12; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    Simulation Sim(3);
    REQUIRE(Sim.awaitVoters(3));
    REQUIRE(Sim.change(CreateOrganisation{kOrganisation}, "c").m_Accepted);
    Limit Limit{20.0 + static_cast<double>(Random() % 200), 0};
    Limit.m_Burst = 1 + Limit.m_RatePerSecond *
                            (0.05 + static_cast<double>(Random() % 100) / 100);
    setLimit(Sim, Limit, PresetKind::Ordinary, "p");
    SimulatedBorrower Proxies(Sim, Seed);
    for (int Step = 0; Step < 1'500; ++Step) {
      // Idle periods fill the bucket, so that the run includes bursts.
      if (Step % 300 == 299)
        Sim.run(milliseconds(Random() % 1'500));
      if (Step % 500 == 250) {
        size_t Old = *Sim.leader();
        Sim.stop(Old);
        Sim.start(Old);
        REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
      }
      Sim.run(milliseconds(1 + Random() % 5));
      if (!Sim.leader())
        continue;
      Proxies.requestTokens(*Sim.leader(), static_cast<uint32_t>(Random() % 20),
                            static_cast<uint32_t>(Random() % 10));
      Proxies.collectGrants(*Sim.leader());
    }
    checkRateInAllWindows(Proxies.useTimes(), Limit);
  }
}

TEST_CASE("control: a change to a smaller preset leaves at most the new depth "
          "in the bucket") {
  TokenBucket Bucket{Time{}};
  Limit Large{100, 1'000};
  Limit Small{10, 11};
  Time Now = Time{} + std::chrono::seconds(100);
  Bucket.refill(Large, Now);
  CHECK(Bucket.tokens() == doctest::Approx(970));
  Bucket.refill(Small, Now);
  CHECK(Bucket.tokens() == doctest::Approx(8));
  Bucket.refill(Large, Now);
  CHECK(Bucket.tokens() == doctest::Approx(8));
}

TEST_CASE("control: a new leader lends nothing at first, an isolated one "
          "nothing after its lease, and returns of another term count for "
          "nothing") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  REQUIRE(Sim.change(CreateOrganisation{kOrganisation}, "c").m_Accepted);
  setLimit(Sim, {1, 100}, PresetKind::Ordinary, "p");
  size_t Old = *Sim.leader();
  uint64_t OldTerm = Sim.board(Old).m_Term;
  SimulatedBorrower BorrowerBeforeIsolation(Sim, 4);
  BorrowerBeforeIsolation.requestTokens(Old, 1, 0);
  Sim.run(milliseconds(20));
  Sim.m_Controls[Old].m_IsIsolated = true;
  Sim.run(milliseconds(350));
  Sim.m_Controls[Old].m_SentToProxies.clear();
  SimulatedBorrower BorrowerAtOldLeader(Sim, 1);
  BorrowerAtOldLeader.requestTokens(Old, 1, 0);
  Sim.run(milliseconds(50));
  BorrowerAtOldLeader.collectGrants(Old);
  CHECK(BorrowerAtOldLeader.useTimes().empty());
  REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
  size_t New = *Sim.leader();
  Sim.handle(New, MessageReceived{Simulation::kProxyLink,
                                  TokenReturn{OldTerm, kOrganisation, 50}});
  SimulatedBorrower BorrowerAtNewLeader(Sim, 2);
  BorrowerAtNewLeader.requestTokens(New, 10, 0);
  Sim.run(milliseconds(50));
  BorrowerAtNewLeader.collectGrants(New);
  CHECK(BorrowerAtNewLeader.useTimes().empty());
  // The old leader leads again; it must not reuse the bucket of its earlier
  // term.
  Sim.m_Controls[Old].m_IsIsolated = false;
  Sim.run(std::chrono::seconds(30));
  while (*Sim.leader() != Old) {
    size_t Other = *Sim.leader();
    Sim.m_Controls[Other].m_IsIsolated = true;
    REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
    Sim.m_Controls[Other].m_IsIsolated = false;
    Sim.run(std::chrono::seconds(2));
  }
  REQUIRE(Sim.m_Now - Sim.board(Old).m_LeaderSince < std::chrono::seconds(3));
  Sim.m_Controls[Old].m_SentToProxies.clear();
  SimulatedBorrower BorrowerAfterReelection(Sim, 3);
  BorrowerAfterReelection.requestTokens(Old, 50, 0);
  Sim.run(milliseconds(20));
  BorrowerAfterReelection.collectGrants(Old);
  CHECK(BorrowerAfterReelection.useTimes().size() <= 3);
}

TEST_CASE("control: hosts that request scarce tokens at the same time get "
          "equal shares and a retry time") {
  Simulation Sim(1);
  REQUIRE(Sim.awaitVoters(1));
  REQUIRE(Sim.change(CreateOrganisation{kOrganisation}, "c").m_Accepted);
  setLimit(Sim, {10, 21}, PresetKind::Ordinary, "p");
  Sim.run(std::chrono::seconds(10));
  Sim.m_Controls[0].m_SentToProxies.clear();
  // The first host asks for far more than an equal share.
  for (uint32_t Host = 0; Host < 3; ++Host)
    Sim.handle(0, MessageReceived{Simulation::kProxyLink,
                                  TokenRequest{{"h" + std::to_string(Host)},
                                               Host,
                                               {{kOrganisation,
                                                 Host == 0 ? 100U : 6U, 0}}}});
  Sim.run(milliseconds(30));
  std::vector<TokenLoan> Loans;
  for (const Message &Message : Sim.m_Controls[0].m_SentToProxies)
    if (const TokenGrant *Grant = std::get_if<TokenGrant>(&Message))
      Loans.push_back(Grant->m_Loans.at(0));
  REQUIRE(Loans.size() == 3);
  CHECK(Loans[0].m_Tokens == 6);
  CHECK(Loans[1].m_Tokens == 6);
  CHECK(Loans[2].m_Tokens == 6);
  CHECK(Loans[0].m_RetryAfterMs > 0);
  CHECK(Loans[1].m_RetryAfterMs == 0);
  CHECK(Loans[0].m_ValidityMs == 300);
}

TEST_CASE("control: a preset whose tokens would expire before use is refused") {
  Simulation Sim(1);
  REQUIRE(Sim.awaitVoters(1));
  DefinePreset Define;
  Define.m_Preset.m_DefaultLimit = {100, 5};
  ChangeOutcome Outcome = Sim.change(Define, "p");
  REQUIRE(!Outcome.m_Accepted);
  CHECK(Outcome.m_Error->m_Message.find("burst") != std::string::npos);
  Define.m_Preset.m_DefaultLimit = {100, 6};
  CHECK(Sim.change(Define, "q").m_Accepted);
}

TEST_CASE("load: small organisations below their limits are hardly ever "
          "refused although each request comes to another host") {
  // Guards against refusals below the limit when the requests of one
  // organisation are spread over many hosts. Requests arrive at two thirds of
  // the rate, each at another host, which waits up to 250 ms for a token,
  // prefetches a second one if at least two remain, and returns it after 240
  // ms. When a third of a small burst could be lent at once, one or two such
  // hosts emptied the bucket.
  enum class Step : uint8_t { Request, RequestAgain, ReturnToken };
  for (double Rate : {3.0, 5.0, 9.0, 16.0, 30.0}) {
    CAPTURE(Rate);
    Limit BucketLimit =
        bucketLimitFor(Limit{Rate, Rate}, std::chrono::seconds(5));
    TokenBucket Bucket{Time(std::chrono::seconds(1))};
    std::mt19937_64 Random(7);
    std::exponential_distribution<double> Gap(Rate / 1.6);
    std::multimap<Time, Step> Steps;
    Time Arrival{std::chrono::seconds(10)};
    constexpr size_t kRequests = 5'000;
    for (size_t Count = 0; Count < kRequests; ++Count) {
      Arrival += Duration(static_cast<int64_t>(Gap(Random) * 1e6));
      Steps.emplace(Arrival, Step::Request);
    }
    // Counts the requests that the limit itself would refuse if all of them
    // came to one host.
    size_t RefusedByLimit = 0;
    double SingleHostTokens = Rate;
    Time FilledAt = Steps.begin()->first;
    for (const std::pair<const Time, Step> &Entry : Steps) {
      Duration Since = Entry.first - FilledAt;
      FilledAt = Entry.first;
      SingleHostTokens = std::min(
          Rate, SingleHostTokens +
                    Rate * std::chrono::duration<double>(Since).count());
      if (SingleHostTokens < 1)
        ++RefusedByLimit;
      else
        SingleHostTokens -= 1;
    }
    size_t Refused = 0;
    for (; !Steps.empty(); Steps.erase(Steps.begin())) {
      auto [Now, Kind] = *Steps.begin();
      Bucket.refill(BucketLimit, Now);
      if (Kind == Step::ReturnToken) {
        Bucket.returnTokens(1, Now);
      } else if (Bucket.lend(1, Now) == 1) {
        if (Bucket.tokens() >= 2 && Bucket.lend(1, Now) == 1)
          Steps.emplace(Now + milliseconds(240), Step::ReturnToken);
      } else if (Kind == Step::Request) {
        Steps.emplace(Now + milliseconds(250), Step::RequestAgain);
      } else {
        ++Refused;
      }
    }
    CHECK(Refused <= RefusedByLimit + kRequests / 100);
  }
}

TEST_CASE("policy: small limits too are spread within rate x window + burst") {
  for (double Rate : {1.0, 4.0, 8.0, 9.0, 24.0, 100.0}) {
    CAPTURE(Rate);
    Limit BucketLimit =
        bucketLimitFor(Limit{Rate, Rate}, std::chrono::seconds(5));
    double Capacity = BucketLimit.m_Burst - BucketLimit.m_RatePerSecond * 0.3;
    CHECK(Capacity + 5 * BucketLimit.m_RatePerSecond <=
          doctest::Approx(6 * Rate));
  }
}

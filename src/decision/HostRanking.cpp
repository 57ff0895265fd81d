#include "decision/HostRanking.h"

#include <algorithm>

namespace almondpier {

uint64_t hashOfName(std::string_view Text) {
  // FNV-1a, followed by the SplitMix64 finalizer so that similar names differ
  // in all bits.
  constexpr uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr uint64_t kPrime = 0x100000001b3U;
  uint64_t Hash = kOffset;
  for (char Character : Text)
    Hash = (Hash ^ static_cast<uint8_t>(Character)) * kPrime;
  return Hash;
}

static uint64_t mix(uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

uint64_t rendezvousHash(uint64_t DatabaseHash, uint64_t HostHash) {
  return mix(mix(DatabaseHash) + HostHash);
}

std::vector<RankedHost> candidateHosts(const Configuration &Configuration,
                                       const LiveHosts &Live) {
  std::vector<RankedHost> Candidates;
  for (const LiveHost &Host : Live.m_Hosts) {
    auto Found = Configuration.hosts().find(Host.m_Host);
    if (Host.m_Ready && Found != Configuration.hosts().end())
      Candidates.push_back(RankedHost{Host.m_Host, Found->second.m_Zone});
  }
  return Candidates;
}

namespace {

struct Score {
  uint64_t m_Hash = 0;
  const RankedHost *m_Host = nullptr;
};

bool isBefore(const Score &Left, const Score &Right) {
  if (Left.m_Hash != Right.m_Hash)
    return Left.m_Hash > Right.m_Hash;
  return Left.m_Host->m_Name < Right.m_Host->m_Name;
}

/// Moves the best host in a zone that Chosen lacks to the end of the chosen
/// ones; any host when there is no such zone.
void chooseNext(std::vector<Score> &Scores, size_t Chosen) {
  auto Begin = Scores.begin() + static_cast<ptrdiff_t>(Chosen);
  auto IsInNewZone = [&](const Score &Candidate) {
    return std::none_of(Scores.begin(), Begin, [&](const Score &Other) {
      return Other.m_Host->m_Zone == Candidate.m_Host->m_Zone;
    });
  };
  auto Best = std::min_element(
      Begin, Scores.end(), [&](const Score &Left, const Score &Right) {
        bool IsLeftNew = IsInNewZone(Left);
        bool IsRightNew = IsInNewZone(Right);
        return IsLeftNew != IsRightNew ? IsLeftNew : isBefore(Left, Right);
      });
  std::iter_swap(Begin, Best);
}

} // namespace

std::vector<HostName> rankHosts(const DatabaseName &Database,
                                const std::vector<RankedHost> &Hosts,
                                size_t Count) {
  uint64_t DatabaseHash = hashOfName(Database.m_Value);
  std::vector<Score> Scores;
  Scores.reserve(Hosts.size());
  for (const RankedHost &Host : Hosts)
    Scores.push_back(Score{
        rendezvousHash(DatabaseHash, hashOfName(Host.m_Name.m_Value)), &Host});
  Count = std::min(Count, Scores.size());
  size_t Observers = std::min(kObserverCount, Count);
  for (size_t Chosen = 0; Chosen < Observers; ++Chosen)
    chooseNext(Scores, Chosen);
  if (Count > Observers)
    std::sort(Scores.begin() + static_cast<ptrdiff_t>(Observers), Scores.end(),
              isBefore);
  std::vector<HostName> Ranked;
  Ranked.reserve(Count);
  for (size_t Index = 0; Index < Count; ++Index)
    Ranked.push_back(Scores[Index].m_Host->m_Name);
  return Ranked;
}

} // namespace almondpier

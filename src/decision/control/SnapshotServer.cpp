#include "decision/control/SnapshotServer.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Half of a link of 100 Mbit/s; consensus, polls and rate tokens need the
/// rest.
constexpr double kMaxBytesPerMs = 6'000;
/// Parts that are sent at once after an idle time.
constexpr size_t kBurstParts = 2;
/// Changes come in series. A snapshot is offered for this time although it is
/// not the latest, and the changes since follow it.
constexpr Duration kSnapshotLifetime = std::chrono::seconds(4);
constexpr size_t kKeptSnapshots = 2;

double millisecondsOf(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

SnapshotServer::Offer SnapshotServer::offer(const Configuration &Current,
                                            uint64_t ChangedAt, uint64_t Known,
                                            Time Now) {
  bool IsOutdated =
      m_Snapshots.empty() ||
      (m_Snapshots.back().m_Index != ChangedAt &&
       (Now - m_Snapshots.back().m_EncodedAt >= kSnapshotLifetime ||
        m_Snapshots.back().m_Index <= Known));
  if (IsOutdated) {
    m_Snapshots.push_back(EncodedSnapshot{ChangedAt, Now, encode(Current)});
    if (m_Snapshots.size() > kKeptSnapshots)
      m_Snapshots.pop_front();
  }
  return Offer{m_Snapshots.back().m_Index, m_Snapshots.back().m_Bytes.size()};
}

void SnapshotServer::onRequest(LinkId Link,
                               const ConfigurationPartRequest &Request,
                               ControlContext &Context) {
  // A proxy that requests again has given up its earlier request.
  onLinkClosed(Link);
  m_Waiting.push_back(WaitingRequest{Link, Request});
  tick(Context);
}

void SnapshotServer::onLinkClosed(LinkId Link) {
  std::erase_if(m_Waiting, [&](const WaitingRequest &Waiting) {
    return Waiting.m_Link == Link;
  });
}

ConfigurationPart
SnapshotServer::makePart(const ConfigurationPartRequest &Request) const {
  ConfigurationPart Part{Request.m_Index, Request.m_Offset, {}};
  for (const EncodedSnapshot &Kept : m_Snapshots)
    if (Kept.m_Index == Request.m_Index &&
        Request.m_Offset < Kept.m_Bytes.size())
      Part.m_Bytes =
          Kept.m_Bytes.substr(Request.m_Offset, kMaxSnapshotPartBytes);
  return Part;
}

void SnapshotServer::tick(ControlContext &Context) {
  constexpr double kMaxAllowance = kBurstParts * kMaxSnapshotPartBytes;
  m_Allowance =
      std::min(kMaxAllowance,
               m_Allowance + kMaxBytesPerMs *
                                 millisecondsOf(Context.m_Now - m_AllowanceAt));
  m_AllowanceAt = Context.m_Now;
  while (!m_Waiting.empty() && m_Allowance > 0) {
    WaitingRequest Next = m_Waiting.front();
    m_Waiting.pop_front();
    ConfigurationPart Part = makePart(Next.m_Request);
    m_Allowance -= static_cast<double>(Part.m_Bytes.size());
    m_BytesSent += Part.m_Bytes.size();
    Context.m_Actions.push_back(SendMessage{Next.m_Link, std::move(Part)});
  }
}

} // namespace almondpier

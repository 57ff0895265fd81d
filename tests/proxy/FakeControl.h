/// \file
/// Control hosts for tests of the proxy core: a log of changes, live hosts and
/// a lender of rate tokens.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

class FakeControl {
public:
  void accept(const ChangeBody &Body) {
    Change Added;
    Added.m_ChangeId = std::to_string(m_Log.size());
    Added.m_ExpectedVersion = m_Configuration.version();
    Added.m_Body = Body;
    if (!m_Configuration.apply(Added).m_Accepted)
      throw std::logic_error("the test made a change that is refused: " +
                             describe(Body));
    m_Log.push_back(Added);
  }

  void setLive(const std::vector<LiveHost> &Hosts) {
    m_Live.m_Term = 1;
    ++m_Live.m_Version;
    m_Live.m_Hosts = Hosts;
  }

  std::vector<PollReply> answer(const PollRequest &Poll) const {
    PollReply Reply;
    Reply.m_Sequence = Poll.m_Sequence;
    Reply.m_AppliedIndex = m_Log.size();
    Reply.m_Leader = m_Leader;
    Reply.m_ControlMembers = m_Members;
    if (Poll.m_LiveHostsVersion != m_Live.m_Version)
      Reply.m_LiveHosts = m_Live;
    if (m_Directory.m_Version != 0 &&
        Poll.m_DirectoryVersion != m_Directory.m_Version)
      Reply.m_Directory = m_Directory;
    if (Poll.m_AppliedIndex >= m_Log.size())
      return {Reply};
    if (Poll.m_AppliedIndex != 0) {
      Reply.m_Changes.assign(m_Log.begin() +
                                 static_cast<ptrdiff_t>(Poll.m_AppliedIndex),
                             m_Log.end());
      return {Reply};
    }
    std::string Whole = encode(m_Configuration);
    std::vector<PollReply> Parts;
    for (size_t Offset = 0; Offset < Whole.size(); Offset += m_ChunkBytes) {
      Reply.m_Snapshot = Whole.substr(Offset, m_ChunkBytes);
      Reply.m_SnapshotOffset = Offset;
      Reply.m_SnapshotBytes = Whole.size();
      Parts.push_back(Reply);
      Reply.m_Directory.reset();
    }
    return Parts;
  }

  /// Lends out of m_Tokens.
  TokenGrant lend(const TokenRequest &Request) {
    TokenGrant Grant{Request.m_Sequence, 1, {}};
    for (const TokenDemand &Ask : Request.m_Demands) {
      uint32_t Lent = std::min(m_Tokens, Ask.m_Waiting + Ask.m_Prefetch);
      m_Tokens -= Lent;
      m_Lent += Lent;
      Grant.m_Loans.push_back(
          TokenLoan{Ask.m_Organisation, Lent, m_ValidityMs, 40});
    }
    return Grant;
  }

  Configuration m_Configuration;
  std::vector<Change> m_Log;
  LiveHosts m_Live;
  InstanceDirectory m_Directory;
  std::vector<ControlMember> m_Members;
  HostName m_Leader;
  size_t m_ChunkBytes = 700;
  uint32_t m_Tokens = 1'000'000;
  uint32_t m_ValidityMs = 300;
  uint64_t m_Lent = 0;
  uint64_t m_Returned = 0;
  /// Control hosts that take messages but prove nothing, by port.
  std::set<uint16_t> m_SilentPorts;
  bool m_LendsTokens = true;
};

} // namespace almondpier

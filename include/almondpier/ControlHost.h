/// \file
/// A control host: the control core with its sockets, files and HTTP endpoints.
#pragma once

#include "almondpier/Net.h"
#include "decision/control/ControlCore.h"

namespace almondpier {

/// Carries out calls to instances and to the platform about them. OnAnswer is
/// called exactly once, at the latest when the timeout of the call has passed.
using GroupGateway = std::function<void(
    const CallGroup &Call, std::function<void(const GroupCallAnswered &)>)>;

struct ControlHostSettings {
  HostName m_Host;
  AvailabilityZone m_Zone;
  /// TCP and UDP endpoint for proxies and other control hosts.
  Endpoint m_Peer;
  /// HTTP endpoint for operators, announcements and metrics.
  Endpoint m_Operations;
  FleetSecret m_FleetSecret;
  std::string m_AnnouncementSecret;
  /// Name of each operator by the digest of the operator's key.
  std::map<KeyDigest, std::string> m_Operators;
  /// Empty on a host without a disk: it takes part as a founder until hosts
  /// with a disk have taken over, and otherwise only relays to the members.
  std::string m_DataFolder;
  /// Disks of control hosts that may be lost at the same time.
  uint32_t m_ToleratedDiskLosses = 1;
  /// Forms a new cluster of one when the data folder is empty.
  bool m_Bootstrap = false;
  /// Peer endpoints of control hosts that an empty data folder joins.
  std::vector<Endpoint> m_Join;
  /// Operations endpoint that other processes see; m_Operations when empty.
  std::optional<Endpoint> m_PublicOperations;
  /// Peer endpoints of all founders. When set and this host is one of them, an
  /// empty data folder forms the cluster with the others; no founder waits for
  /// another one. Every founder must get the same list, and only before the
  /// cluster exists.
  std::vector<Endpoint> m_Founders;
  /// Without one, instances are reached by the product's own interface only.
  GroupGateway m_Gateway;
};

/// Parses NAME:HEXDIGEST pairs separated by commas. Throws
/// std::invalid_argument whose message names the remedy.
std::map<KeyDigest, std::string> parseOperatorKeys(std::string_view Text);

class ControlHost {
public:
  /// Throws Error when the data folder cannot be used or an endpoint cannot be
  /// bound.
  ControlHost(EventLoop &Loop, const ControlHostSettings &Settings);
  ~ControlHost();
  ControlHost(const ControlHost &) = delete;
  ControlHost &operator=(const ControlHost &) = delete;

  /// Runs the loop until the host has shut down. Throws what ended it
  /// otherwise, such as InvariantViolation.
  void run();
  /// Takes the reply to one operation; called at most once.
  using OnReply = std::function<void(const ReplyToOperation &)>;

  void installPolicy(InstallPolicy Install, OnReply Reply);
  /// Replies without an error once core() holds everything accepted before.
  void readBarrier(OnReply Reply);
  void checkIn(InstanceCheckIn CheckIn, OnReply Reply);
  const ControlCore &core() const;

  /// Hands over leadership, finishes answers in flight and ends run().
  void shutDown();

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier

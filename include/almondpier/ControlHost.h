/// \file
/// A control host: runs ControlCore and provides its sockets, data folder and
/// HTTP endpoints.
#pragma once

#include "almondpier/Net.h"
#include "decision/control/ControlCore.h"

namespace almondpier {

/// Performs calls to database instances, and calls to the platform that concern
/// them. Calls OnAnswer exactly once, no later than the timeout of the call.
using GroupGateway = std::function<void(
    const CallGroup &Call, std::function<void(const GroupCallAnswered &)>)>;

struct ControlHostSettings {
  HostName m_Host;
  AvailabilityZone m_Zone;
  /// TCP and UDP endpoint on which proxies and other control hosts reach this
  /// host.
  Endpoint m_Peer;
  /// HTTP endpoint for operator requests, instance announcements and metrics.
  Endpoint m_Operations;
  FleetSecret m_FleetSecret;
  std::string m_AnnouncementSecret;
  /// Operator names, keyed by the digest of the operator's key.
  std::map<KeyDigest, std::string> m_Operators;
  /// Empty on a host without a disk. Such a host votes only as a founder, until
  /// hosts with a disk have replaced it as members; otherwise it only relays
  /// requests to the members.
  std::string m_DataFolder;
  /// Number of control hosts whose disks may be lost at the same time without
  /// loss of data; it determines the number of members.
  uint32_t m_ToleratedDiskLosses = 1;
  /// Creates a new single-member cluster when the data folder is empty.
  bool m_Bootstrap = false;
  /// Peer endpoints of the cluster to join when the data folder is empty.
  std::vector<Endpoint> m_Join;
  /// Operations endpoint advertised to other processes; m_Operations when not
  /// set.
  std::optional<Endpoint> m_PublicOperations;
  /// Peer endpoints of the initial members. When this host is in the list and
  /// its data folder is empty, it forms the cluster with the others, without
  /// waiting for any of them to start. Every founder must be given the same
  /// list, and only before the cluster exists.
  std::vector<Endpoint> m_Founders;
  /// When not set, instances are called through the built-in interface only.
  GroupGateway m_Gateway;
};

/// Parses comma-separated NAME:HEXDIGEST pairs. Throws std::invalid_argument
/// with a message that says how to correct the text.
std::map<KeyDigest, std::string> parseOperatorKeys(std::string_view Text);

class ControlHost {
public:
  /// Throws StorageError when the data folder cannot be used, and Error when an
  /// endpoint cannot be bound. A full disk or one with I/O errors throws
  /// nothing: the host is not ready until the data folder can be written.
  ControlHost(EventLoop &Loop, const ControlHostSettings &Settings);
  ~ControlHost();
  ControlHost(const ControlHost &) = delete;
  ControlHost &operator=(const ControlHost &) = delete;

  /// Runs the loop until the host has shut down. Rethrows the exception that
  /// stopped it early, such as InvariantViolation.
  void run();
  /// Receives the reply to one operation; called at most once.
  using OnReply = std::function<void(const ReplyToOperation &)>;

  void installPolicy(InstallPolicy Install, OnReply Reply);
  void evacuateZone(const EvacuateZone &Order, const std::string &Actor,
                    OnReply Reply);
  /// Replies without an error once core() reflects every change accepted
  /// before this call.
  void readBarrier(OnReply Reply);
  void checkIn(InstanceCheckIn CheckIn, OnReply Reply);
  const ControlCore &core() const;

  /// Transfers leadership, sends the outstanding replies and makes run()
  /// return.
  void shutDown();
  /// Replaces ControlHostSettings::m_Join, after a change of the settings.
  void setSeeds(std::vector<Endpoint> Seeds);

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier

/// The leader's duties towards the entry daemons during one term: it answers
/// heartbeats, tracks membership, reassigns endpoints and distributes the
/// configuration.
#pragma once

#include "control/config_distributor.h"
#include "control/lease_table.h"
#include "control/membership_tracker.h"
#include "control/state_machine.h"

#include <map>

namespace bulrush::control {

/// A heartbeat reply and the daemon that receives it.
struct addressed_reply {
  daemon_id To;
  heartbeat_reply Reply;
};

/// State of one leader term. A heartbeat is answered only once a majority of
/// voters has acknowledged messages that were sent at or after the heartbeat's
/// arrival, so that a deposed leader that hasn't noticed it yet renews no
/// leases.
class leader_term {
public:
  leader_term(const deployment &Deployment, term_id Term, instant ElectedAt,
              const state_machine &Machine);

  /// Handles a heartbeat of a daemon. Returns whether endpoint moves may have
  /// become ready, in which case the caller should call `maintain`.
  bool onHeartbeat(const daemon_id &From, const heartbeat &Heartbeat,
                   instant Now, std::vector<addressed_reply> &Out);

  /// Handles that a majority of voters has acknowledged messages that this
  /// leader sent at `AsOf` or later.
  void onQuorumConfirmed(instant AsOf, instant Now,
                         std::vector<addressed_reply> &Out);

  /// Sets the platform's list of live VMs, which is only a hint.
  void setListedVms(const std::vector<vm_id> &Listed) {
    Members.setListedVms(Listed);
  }

  /// Updates the membership and returns the endpoint moves that are now safe to
  /// replicate.
  std::vector<assignment> maintain(instant Now,
                                   std::vector<addressed_reply> &Out);

  /// Handles that the log rejected these moves.
  void onMovesRejected(const assign_endpoints &Command) {
    Leases.onMovesRejected(Command.Moves);
  }

  void onMoveCommitted(const assign_endpoints &Command, instant Now,
                       std::vector<addressed_reply> &Out);

  /// Sends the changed configuration to all daemons without waiting for their
  /// next heartbeats.
  void onConfigChanged(instant Now, std::vector<addressed_reply> &Out);

  term_id term() const { return Term; }
  const membership &members() const { return Members.members(); }
  std::size_t pendingMoves() const { return Leases.pendingMoves(); }
  rollout_status rollout(instant Now) const;

private:
  struct last_heartbeat {
    heartbeat Heartbeat;
    instant ReceivedAt;
    bool IsAnswered = false;
  };

  void sendReply(const daemon_id &To, instant Now,
                 std::vector<addressed_reply> &Out);
  void replyToAll(instant Now, std::vector<addressed_reply> &Out);
  void setTargets();

  const deployment &Deployment;
  term_id Term;
  const state_machine &Machine;
  membership_tracker Members;
  lease_table Leases;
  config_distributor Distributor;
  std::map<daemon_id, last_heartbeat> LastHeartbeats;
  instant ConfirmedAsOf;
};

} // namespace bulrush::control

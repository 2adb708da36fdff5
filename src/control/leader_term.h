/// What the leader does for the entry daemons during one term: answers
/// heartbeats, judges membership, moves endpoints, spreads the configuration.
#pragma once

#include "control/distributor.h"
#include "control/lease_table.h"
#include "control/member_list.h"
#include "control/state_machine.h"

#include <map>

namespace bulrush::control {

/// One reply for one daemon.
struct addressed_reply {
  daemon_id To;
  heartbeat_reply Reply;
};

/// Lives for one term. A heartbeat is answered only once a majority of voters
/// has confirmed this leader after the heartbeat arrived, so that a deposed
/// leader that does not know it yet renews no lease.
class leader_term {
public:
  leader_term(const deployment &Deployment, term_id Term, instant ElectedAt,
              const state_machine &Machine);

  /// Returns whether moves of endpoints may be ready: then call `maintain`.
  bool onHeartbeat(const daemon_id &From, const heartbeat &Beat, instant Now,
                   std::vector<addressed_reply> &Out);

  /// A majority has confirmed this leader in answer to messages that were sent
  /// at `AsOf` or later.
  void onQuorumConfirmed(instant AsOf, instant Now,
                         std::vector<addressed_reply> &Out);

  void setListedVms(const std::vector<vm_id> &Listed) { Members.hint(Listed); }

  /// Judges membership and returns the moves of endpoints to replicate now.
  std::vector<assignment> maintain(instant Now,
                                   std::vector<addressed_reply> &Out);

  /// The log did not take these moves.
  void onMovesRejected(const assign_endpoints &Command) {
    Leases.refused(Command.Moves);
  }

  void onMoveCommitted(const assign_endpoints &Command, instant Now,
                       std::vector<addressed_reply> &Out);

  /// The configuration has changed: tell all daemons at once.
  void onConfigChanged(instant Now, std::vector<addressed_reply> &Out);

  term_id term() const { return Term; }
  const membership &members() const { return Members.members(); }
  std::size_t movesLeft() const { return Leases.movesLeft(); }
  rollout_status rollout(instant Now) const;

private:
  struct last_beat {
    heartbeat Beat;
    instant HeardAt;
    bool IsAnswered = false;
  };

  void answer(const daemon_id &To, instant Now,
              std::vector<addressed_reply> &Out);
  void pushToAll(instant Now, std::vector<addressed_reply> &Out);
  void aim();

  const deployment &Deployment;
  term_id Term;
  const state_machine &Machine;
  member_list Members;
  lease_table Leases;
  distributor Distributor;
  std::map<daemon_id, last_beat> Beats;
  instant ConfirmedAsOf;
};

} // namespace bulrush::control

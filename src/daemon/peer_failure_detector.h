/// Detects entry daemons that have stopped sending messages.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <map>
#include <vector>

namespace bulrush::daemon {

/// Owners send a report at least twice a second, so a peer that is silent for
/// `SilenceTimeout` has failed or its link is down.
class peer_failure_detector {
public:
  /// Changes of a peer's state that a message from it reveals.
  struct peer_change {
    bool WasSilent = false;        ///< the peer had been reported as silent
    bool IsNewIncarnation = false; ///< first message of this incarnation
  };

  /// Records the arrival of a message at `Now`.
  peer_change recordMessage(vm_id Vm, incarnation_id Incarnation, instant Now) {
    peer &Peer = Peers[Vm];
    const peer_change Out{Peer.IsSilent, Peer.Incarnation != Incarnation};
    Peer = {Incarnation, Now, false};
    return Out;
  }

  /// Returns the peers whose last message is at least `SilenceTimeout` old.
  /// Each is returned once per silence.
  std::vector<vm_id> detectSilentPeers(instant Now) {
    std::vector<vm_id> Out;
    for (auto &[Vm, Peer] : Peers) {
      if (Peer.IsSilent || Now - Peer.ReceivedAt < SilenceTimeout)
        continue;
      Peer.IsSilent = true;
      Out.push_back(Vm);
    }
    return Out;
  }

private:
  static constexpr millis SilenceTimeout{1'200};

  struct peer {
    incarnation_id Incarnation;
    instant ReceivedAt;
    bool IsSilent = false;
  };

  std::map<vm_id, peer> Peers;
};

} // namespace bulrush::daemon

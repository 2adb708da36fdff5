/// Notices entry daemons that have fallen silent.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <map>
#include <vector>

namespace bulrush::daemon {

/// Owners report at least twice a second, so silence means a lost link or
/// process.
class peer_watch {
public:
  /// What a message tells beside its body.
  struct news {
    bool WasSilent = false;  ///< the vm had been reported as silent
    bool HasStarted = false; ///< the first message of this life of the process
  };

  news heard(vm_id Vm, incarnation_id Incarnation, instant Now) {
    peer &Peer = Peers[Vm];
    const news Out{Peer.IsSilent, Peer.Incarnation != Incarnation};
    Peer = {Incarnation, Now, false};
    return Out;
  }

  /// Those that were heard before and have been silent for too long since; each
  /// once.
  std::vector<vm_id> newlySilent(instant Now) {
    std::vector<vm_id> Out;
    for (auto &[Vm, Peer] : Peers) {
      if (Peer.IsSilent || Now - Peer.HeardAt < SilenceBound)
        continue;
      Peer.IsSilent = true;
      Out.push_back(Vm);
    }
    return Out;
  }

private:
  static constexpr millis SilenceBound{1'200};

  struct peer {
    incarnation_id Incarnation;
    instant HeardAt;
    bool IsSilent = false;
  };

  std::map<vm_id, peer> Peers;
};

} // namespace bulrush::daemon

/// Sends data path messages to other entry daemons, with replies and reports
/// batched into one envelope per peer and poll.
#pragma once

#include "query/messages.h"
#include "query/owner_events.h"
#include "query/router_events.h"
#include "wire/link.h"

#include <map>
#include <set>
#include <vector>

namespace bulrush::daemon {

/// Runs on the I/O thread. Replies and reports are buffered until `flush`.
class peer_messenger {
public:
  peer_messenger(wire::link_set &Links, const deployment &Deployment,
                 vm_id Self);

  /// Returns false if the batch could not be queued and was not sent.
  bool send(const query::send_batch &Batch);
  void send(const query::send_cancel &Cancel);
  void add(query::reply_to_entry Reply);
  void add(query::endpoint_report Report);
  void flush();

  /// Sends the last reports of the endpoints in `Owned` to a daemon that has
  /// just started or become reachable again.
  void sendReports(vm_id Vm, const std::set<endpoint_id> &Owned);
  /// Broadcasts an empty report as a heartbeat if no report was broadcast
  /// during the last `HeartbeatInterval`.
  void sendHeartbeat(instant Now);

private:
  /// Less than half of the peers' `SilenceTimeout`, so that one delayed
  /// heartbeat does not make them consider the link lost.
  static constexpr millis HeartbeatInterval{400};

  struct recipient {
    vm_id Vm;
    incarnation_id Incarnation;

    auto operator<=>(const recipient &) const = default;
  };

  void broadcast();

  wire::link_set &Links;
  std::vector<vm_id> PeerVms;
  std::map<recipient, std::vector<query::sub_reply>> Replies;
  std::vector<query::endpoint_report> Reports;
  std::map<endpoint_id, query::endpoint_report> LastReports;
  instant LastBroadcast{};
  bool HasBroadcast = false; ///< since the last call of `sendHeartbeat`
};

} // namespace bulrush::daemon

/// Messages of the data path to other entry daemons, one envelope a peer and
/// poll.
#pragma once

#include "query/messages.h"
#include "query/owner_events.h"
#include "query/router_events.h"
#include "wire/link.h"

#include <map>
#include <set>
#include <vector>

namespace bulrush::daemon {

/// Runs on the I/O thread. Replies and reports are collected until `flush`.
class peer_mail {
public:
  peer_mail(wire::link_set &Links, const deployment &Deployment, vm_id Self);

  /// False when the batch could not be queued: it was not sent.
  bool send(const query::send_batch &Batch);
  void send(const query::send_cancel &Cancel);
  void add(query::reply_to_entry Reply);
  void add(query::endpoint_report Report);
  void flush();

  /// Tells a process that has just started what was last reported of `Owned`.
  void greet(vm_id Vm, const std::set<endpoint_id> &Owned);
  /// A sign of life where no report has left for a while.
  void sendHeartbeat(instant Now);

private:
  /// Peers take a silence of more than twice this for a lost link.
  static constexpr millis HeartbeatInterval{400};

  struct addressee {
    vm_id Vm;
    incarnation_id Incarnation;

    auto operator<=>(const addressee &) const = default;
  };

  void broadcast();

  wire::link_set &Links;
  std::vector<vm_id> Others;
  std::map<addressee, std::vector<query::sub_reply>> Replies;
  std::vector<query::endpoint_report> Reports;
  std::map<endpoint_id, query::endpoint_report> LastReports;
  instant LastBroadcast{};
  bool HasBroadcast = false;
};

} // namespace bulrush::daemon

/// Messages of the data path to other entry daemons, one envelope a peer and
/// poll.
#pragma once

#include "query/messages.h"
#include "query/owner_events.h"
#include "query/router_events.h"
#include "wire/link.h"

#include <map>
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

private:
  struct addressee {
    vm_id Vm;
    incarnation_id Incarnation;

    auto operator<=>(const addressee &) const = default;
  };

  wire::link_set &Links;
  std::vector<vm_id> Others;
  std::map<addressee, std::vector<query::sub_reply>> Replies;
  std::vector<query::endpoint_report> Reports;
};

} // namespace bulrush::daemon

#include "daemon/peer_messenger.h"

#include "wire/generated/bulrush.pb.h"
#include "wire/query_codec.h"

namespace bulrush::daemon {

namespace {

wire::process_id entryOn(vm_id Vm) { return {Vm, wire::role::entry}; }

} // namespace

peer_messenger::peer_messenger(wire::link_set &Links,
                               const deployment &Deployment, vm_id Self)
    : Links(Links) {
  for (const vm &Each : Deployment.Vms)
    if (Each.Id != Self)
      PeerVms.push_back(Each.Id);
}

bool peer_messenger::send(const query::send_batch &Batch) {
  wire::Envelope Message;
  wire::toProto(Batch.Batch, *Message.mutable_sub_batch());
  return Links.send(entryOn(Batch.To), Message);
}

void peer_messenger::send(const query::send_cancel &Cancel) {
  wire::Envelope Message;
  wire::toProto(Cancel.Subs, *Message.mutable_sub_cancel());
  Links.send(entryOn(Cancel.To), Message);
}

void peer_messenger::add(query::reply_to_entry Reply) {
  Replies[{Reply.To, Reply.Incarnation}].push_back(std::move(Reply.Reply));
}

void peer_messenger::add(query::endpoint_report Report) {
  LastReports[Report.Endpoint] = Report;
  Reports.push_back(std::move(Report));
}

void peer_messenger::flush() {
  for (const auto &[To, Items] : Replies) {
    wire::Envelope Message;
    wire::toProto(Items, *Message.mutable_sub_replies());
    Message.mutable_sub_replies()->set_for_incarnation(To.Incarnation.Value);
    Links.send(entryOn(To.Vm), Message);
  }
  Replies.clear();
  if (!Reports.empty())
    broadcast();
}

void peer_messenger::broadcast() {
  wire::Envelope Message;
  wire::toProto(Reports, *Message.mutable_endpoint_reports());
  for (const vm_id Vm : PeerVms)
    Links.send(entryOn(Vm), Message);
  Reports.clear();
  HasBroadcast = true;
}

void peer_messenger::sendReports(vm_id Vm, const std::set<endpoint_id> &Owned) {
  std::vector<query::endpoint_report> Known;
  for (const auto &[Endpoint, Report] : LastReports)
    if (Owned.contains(Endpoint))
      Known.push_back(Report);
  wire::Envelope Message;
  wire::toProto(Known, *Message.mutable_endpoint_reports());
  Links.send(entryOn(Vm), Message);
}

void peer_messenger::sendHeartbeat(instant Now) {
  if (HasBroadcast) {
    HasBroadcast = false;
    LastBroadcast = Now;
    return;
  }
  if (Now - LastBroadcast < HeartbeatInterval)
    return;
  broadcast();
}

} // namespace bulrush::daemon

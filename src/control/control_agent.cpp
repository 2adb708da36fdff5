#include "control/control_agent.h"

namespace bulrush::control {

void control_agent::step(const agent_event &Event, instant Now,
                         std::vector<agent_action> &Out) {
  if (const auto *Received = std::get_if<agent_reply>(&Event))
    onReply(Received->Reply, Now, Out);
  if (std::holds_alternative<agent_leave>(Event)) {
    Leases.beginLeaving();
    NextHeartbeat = Now;
  }
  if (Now >= NextHeartbeat)
    sendHeartbeat(Now, Out);
}

void control_agent::sendHeartbeat(instant Now, std::vector<agent_action> &Out) {
  NextHeartbeat = Now + HeartbeatInterval;
  Out.push_back(send_heartbeat{
      Leases.nextHeartbeat(Now, ConfigReplica.applied(), Members.Epoch)});
}

void control_agent::onReply(const heartbeat_reply &Reply, instant Now,
                            std::vector<agent_action> &Out) {
  if (!Leases.accepts(Reply))
    return;
  const revision Before = ConfigReplica.applied();
  if (Reply.Config && ConfigReplica.apply(*Reply.Config))
    Out.push_back(config_changed{});
  if (ConfigReplica.applied() != Before)
    NextHeartbeat = Now;
  if (Reply.Members && Reply.Members->Epoch > Members.Epoch) {
    Members = *Reply.Members;
    Out.push_back(members_changed{});
  }
  if (Leases.applyReply(Reply, ConfigReplica.applied(), Now)) {
    Out.push_back(grants_changed{});
    NextHeartbeat = Now;
  }
}

} // namespace bulrush::control

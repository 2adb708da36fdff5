#include "control/control_agent.h"

namespace bulrush::control {

void control_agent::step(const agent_event &Event, instant Now,
                         std::vector<agent_action> &Out) {
  if (const auto *Got = std::get_if<agent_reply>(&Event))
    take(Got->Reply, Now, Out);
  if (std::holds_alternative<agent_leave>(Event)) {
    Leases.beginLeaving();
    NextBeat = Now;
  }
  if (Now >= NextBeat)
    beat(Now, Out);
}

void control_agent::beat(instant Now, std::vector<agent_action> &Out) {
  NextBeat = Now + HeartbeatInterval;
  Out.push_back(send_heartbeat{
      Leases.nextHeartbeat(Now, Follower.applied(), Members.Epoch)});
}

void control_agent::take(const heartbeat_reply &Reply, instant Now,
                         std::vector<agent_action> &Out) {
  if (!Leases.accepts(Reply))
    return;
  const revision Before = Follower.applied();
  if (Reply.Config && Follower.take(*Reply.Config))
    Out.push_back(config_changed{});
  if (Follower.applied() != Before)
    NextBeat = Now;
  if (Reply.Members && Reply.Members->Epoch > Members.Epoch) {
    Members = *Reply.Members;
    Out.push_back(members_changed{});
  }
  if (Leases.applyReply(Reply, Follower.applied(), Now)) {
    Out.push_back(grants_changed{});
    NextBeat = Now;
  }
}

} // namespace bulrush::control

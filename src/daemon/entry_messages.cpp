#include "daemon/entry_state.h"
#include "telemetry/log.h"
#include "wire/daemon_codec.h"
#include "wire/generated/bulrush.pb.h"
#include "wire/query_codec.h"

namespace bulrush::daemon {

namespace {

using telemetry::logEvent;
using telemetry::severity;
using error_code = boost::system::error_code;

} // namespace

void entry_daemon::state::onPeerMessage(vm_id Vm,
                                        incarnation_id PeerIncarnation,
                                        instant Now) {
  const peer_failure_detector::peer_change Change =
      FailureDetector.recordMessage(Vm, PeerIncarnation, Now);
  if (Change.WasSilent)
    Batcher->push(query::router_event(query::vm_recovered{Vm}));
  if (Change.WasSilent || Change.IsNewIncarnation)
    Messenger->sendReports(Vm, Owned);
}

void entry_daemon::state::onMessage(wire::process_id From,
                                    const wire::Envelope &Message) {
  const instant Now = Clock.now();
  if (From.Role == wire::role::entry)
    onPeerMessage(From.Vm, {Message.incarnation()}, Now);
  switch (Message.body_case()) {
  case wire::Envelope::kSubBatch: {
    auto Batch = wire::fromProto(From.Vm, Message.sub_batch());
    Batch.Incarnation.Value = Message.incarnation();
    Batcher->push(query::owner_event(query::batch_arrived{std::move(Batch)}));
    return;
  }
  case wire::Envelope::kSubCancel:
    Batcher->push(query::owner_event(
        query::cancel_arrived{From.Vm,
                              {Message.incarnation()},
                              wire::fromProto(Message.sub_cancel())}));
    return;
  case wire::Envelope::kSubReplies:
    if (Message.sub_replies().for_incarnation() == Incarnation.Value)
      Batcher->push(query::router_event(query::replies_arrived{
          From.Vm, wire::fromProto(Message.sub_replies())}));
    return;
  case wire::Envelope::kEndpointReports: {
    auto Reports = wire::fromProto(Message.endpoint_reports());
    Batcher->push(query::owner_event(query::peer_reports_arrived{Reports}));
    Batcher->push(query::router_event(
        query::reports_arrived{From.Vm, std::move(Reports)}));
    return;
  }
  case wire::Envelope::kHeartbeatReply: {
    const auto Reply = wire::fromProto(Message.heartbeat_reply());
    if (!Reply) {
      Metrics.add("link_refused", "malformed");
      return;
    }
    Ledger->setLeader(From);
    stepAgent(control::agent_reply{*Reply});
    return;
  }
  case wire::Envelope::kLedgerAnswer: {
    const auto Answer = wire::fromProto(Message.ledger_answer());
    if (Answer)
      Ledger->onAnswer(*Answer, Now);
    else
      Metrics.add("link_refused", "malformed");
    return;
  }
  default:
    Metrics.add("link_refused", "unexpected");
  }
}

void entry_daemon::state::onEvents(std::vector<data_event> Events) {
  data_actions Actions;
  DataPath->step(std::move(Events), Clock.now(), Actions);
  for (query::router_action &Action : Actions.Router)
    runAction<query::router_event>(Action, RouterTimer);
  for (query::owner_action &Action : Actions.Owner)
    runAction<query::owner_event>(Action, OwnerTimer);
  Messenger->flush();
}

template <class Event, class Action>
void entry_daemon::state::runAction(Action &Variant,
                                    boost::asio::steady_timer &Timer) {
  std::visit(
      [&](auto &Each) {
        using type = std::decay_t<decltype(Each)>;
        if constexpr (std::is_same_v<type, query::set_timer>)
          setTimer<Event>(Timer, Each.At);
        else
          run(Each);
      },
      Variant);
}

template <class Event>
void entry_daemon::state::setTimer(boost::asio::steady_timer &Timer,
                                   instant At) {
  if (At == Never) {
    Timer.cancel();
    return;
  }
  const millis Left = At - Clock.now();
  Timer.expires_after(std::chrono::microseconds(
      static_cast<std::int64_t>(std::max(Left.Count, 0.0) * 1000)));
  Timer.async_wait([this](error_code Error) {
    if (!Error)
      Batcher->push(Event(query::timer_fired{}));
  });
}

/// A batch that could not be queued was not sent. The router receives a
/// `not_run` reply for each of its requests and may retry elsewhere.
void entry_daemon::state::run(query::send_batch &Action) {
  if (Messenger->send(Action))
    return;
  query::replies_arrived Event;
  Event.From = Action.To;
  for (const query::sub_request &Item : Action.Batch.Items) {
    query::sub_reply &Reply = Event.Replies.emplace_back(query::replyTo(Item));
    Reply.Outcome = outcome::not_run;
    Reply.Reason = refusal::link_down;
  }
  Batcher->push(query::router_event(std::move(Event)));
}

void entry_daemon::state::run(query::log_snapshot_moved &Action) {
  logEvent(severity::info, "snapshot_moved",
           {{"pool", Settings.Deployment.Pools[Action.Pool.Value].Name},
            {"from", Action.From.Value},
            {"to", Action.To.Value},
            {"why", query::toString(Action.Reason)},
            {"promised", Action.Promised},
            {"total", Action.Total}});
}

/// Rechecks the leases just before the send, as they may have expired while the
/// process was paused.
void entry_daemon::state::run(query::send_to_endpoint &Action) {
  const instant Now = Clock.now();
  const endpoint_id Endpoint = Action.Request.Endpoint;
  const control::lease_holder &Leases = Agent.leases();
  if (Leases.owns(Endpoint, Now) && Leases.isFresh(Now)) {
    Gateway->run(Action);
    return;
  }
  Metrics.add("send_withheld", "lease_lost");
  query::endpoint_replied Event;
  Event.Endpoint = Endpoint;
  Event.Attempt = Action.Attempt;
  Event.Kind = query::reply_kind::connect_refused;
  Batcher->push(query::owner_event(std::move(Event)));
}

void entry_daemon::state::run(query::endpoint_event &Action) {
  Metrics.add("endpoint_change", query::toString(Action.Change));
  logEvent(severity::info, "endpoint_changed",
           {{"endpoint", Action.Endpoint.Value},
            {"change", query::toString(Action.Change)},
            {"cause", query::toString(Action.Cause)},
            {"limit", Action.Limit},
            {"in_flight", Action.InFlight}});
}

} // namespace bulrush::daemon

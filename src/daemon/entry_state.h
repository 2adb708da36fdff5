/// The private state of an entry daemon, shared by the files that implement it.
#pragma once

#include "control/control_agent.h"
#include "daemon/caller_api.h"
#include "daemon/endpoint_gateway.h"
#include "daemon/entry_daemon.h"
#include "daemon/event_batcher.h"
#include "daemon/ledger_link.h"
#include "daemon/peer_failure_detector.h"
#include "daemon/peer_messenger.h"
#include "daemon/process.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <set>

namespace bulrush::daemon {

/// The stages of a planned stop. `not_ready`: /readyz reports not ready,
/// queries are still accepted. `draining`: no new queries; running ones finish.
enum class stop_stage { running, not_ready, draining };

/// Accessed by the I/O thread only. Implemented in entry_daemon.cpp (start and
/// stop), entry_messages.cpp (messages and actions of the data path) and
/// entry_leases.cpp (configuration, membership and leases).
struct entry_daemon::state final : caller_api_host {
  settings::entry_settings Settings;
  steady_clock_source Clock;
  telemetry::metrics Metrics;
  incarnation_id Incarnation = newIncarnation();
  boost::asio::io_context Io{1};
  caller_api Api{Settings.Deployment, *this, Metrics, Clock};
  std::optional<http::server> Server;
  std::optional<wire::link_set> Links;
  std::optional<peer_messenger> Messenger;
  std::optional<endpoint_gateway> Gateway;
  std::optional<data_path> DataPath;
  std::optional<event_batcher> Batcher;
  std::optional<ledger_link> Ledger;
  control::control_agent Agent;
  peer_failure_detector FailureDetector;
  std::vector<wire::process_id> Voters;
  boost::asio::steady_timer AgentTimer{Io};
  boost::asio::steady_timer RouterTimer{Io};
  boost::asio::steady_timer OwnerTimer{Io};
  boost::asio::signal_set Signals{Io};
  std::set<endpoint_id> Owned;
  bool WasFresh = false;
  instant PublishedOwnedUntil{};
  stop_stage Stage = stop_stage::running;
  instant StopRequestedAt{};
  exit_status Exit = exit_status::stopped;

  explicit state(settings::entry_settings InitialSettings)
      : Settings(std::move(InitialSettings)) {}

  // caller_api_host
  bool isReady() const override {
    return Stage == stop_stage::running && Agent.leases().isFresh(Clock.now());
  }
  void submit(query::router_event Event) override {
    Batcher->push(std::move(Event));
  }
  void explain(const std::string &Target, http::responder Respond) override;
  http::response cutLinks(const std::string &Body) override;

  expected<void> start();
  void onMessage(wire::process_id From, const wire::Envelope &Message);
  void onPeerMessage(vm_id Vm, incarnation_id PeerIncarnation, instant Now);
  void onEvents(std::vector<data_event> Events);

  void run(query::send_batch &Action);
  void run(query::send_cancel &Action) { Messenger->send(Action); }
  void run(query::send_answer &Action) {
    Api.answer(Action.Query, Action.Answer);
  }
  void run(query::ledger_start &Action) { Ledger->start(Action); }
  void run(query::ledger_record &Action) { Ledger->record(Action); }
  void run(query::count_refusal &Action) {
    Metrics.add("refused", toString(Action.Reason), Action.Count);
  }
  void run(query::count_retry &Action) {
    Metrics.add("retried", toString(Action.Reason), Action.Count);
  }
  void run(query::log_snapshot_moved &Action);

  void run(query::send_to_endpoint &Action);
  void run(query::cancel_at_endpoint &Action) { Gateway->run(Action); }
  void run(query::reply_to_entry &Action) { Messenger->add(std::move(Action)); }
  void run(query::probe_health &Action) { Gateway->run(Action); }
  void run(query::publish_report &Action) {
    Messenger->add(std::move(Action.Report));
  }
  void run(query::endpoint_event &Action);
  void run(query::owner_drained &) {}

  template <class Event, class Action>
  void runAction(Action &Variant, boost::asio::steady_timer &Timer);
  template <class Event>
  void setTimer(boost::asio::steady_timer &Timer, instant At);

  void stepAgent(const control::agent_event &Event);
  void run(const control::send_heartbeat &Action);
  void run(const control::config_changed &);
  void run(const control::members_changed &);
  void run(const control::grants_changed &) { publishGrants(); }
  void publishGrants();
  void checkFreshness();
  void tick();
  void waitForSignal();
  void onSignal(int Number);
  void continueStop();
  void finish(exit_status Status);
};

} // namespace bulrush::daemon

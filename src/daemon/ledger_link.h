/// Carries the router's ledger requests to control and the answers back.
#pragma once

#include "control/ledger_client.h"
#include "query/router_events.h"
#include "telemetry/metrics.h"
#include "wire/link.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bulrush::daemon {

/// Runs on the I/O thread.
class ledger_link {
public:
  using event_handler = std::function<void(query::router_event)>;

  ledger_link(control::daemon_id Self, wire::link_set &Links,
              std::vector<wire::process_id> Voters, telemetry::metrics &Metrics,
              event_handler OnEvent);

  void start(const query::ledger_start &Start);
  void record(const query::ledger_record &Record);
  void onAnswer(const control::ledger_answer &Answer, instant Now);
  void tick(instant Now);
  /// The voter that answered a heartbeat last is asked first.
  void heardLeader(wire::process_id Voter) { Leader = Voter; }
  /// Requests that control has not answered.
  std::size_t waiting() const { return Client.waiting(); }

private:
  void step(const control::client_event &Event, instant Now);
  void run(const control::send_ledger_request &Ask);
  void run(const control::start_decided &Decided);
  /// Nobody waits for it: `waiting` has gone down.
  void run(const control::outcome_recorded &) {}

  control::ledger_client Client;
  wire::link_set &Links;
  std::vector<wire::process_id> Voters;
  telemetry::metrics &Metrics;
  event_handler OnEvent;
  std::optional<wire::process_id> Leader;
  steady_clock_source Clock;
};

} // namespace bulrush::daemon

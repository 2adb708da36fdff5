/// Sends the router's ledger requests to the control voters and returns their
/// answers.
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

/// Client of the idempotency ledger, which the control voters keep. Runs on the
/// I/O thread.
class ledger_link {
public:
  using event_handler = std::function<void(query::router_event)>;

  ledger_link(control::daemon_id Self, wire::link_set &Links,
              std::vector<wire::process_id> Voters, telemetry::metrics &Metrics,
              event_handler OnEvent);

  /// Requests the start of a command under its idempotency key.
  void start(const query::ledger_start &Start);
  /// Records the outcome of a command.
  void record(const query::ledger_record &Record);
  void onAnswer(const control::ledger_answer &Answer, instant Now);
  void tick(instant Now);
  /// Sets the voter that receives the first attempt of a request: the last one
  /// that answered a heartbeat. Retries go to all voters.
  void setLeader(wire::process_id Voter) { Leader = Voter; }
  /// Number of requests that the control voters have not answered yet.
  std::size_t waiting() const { return Client.waiting(); }

private:
  void step(const control::client_event &Event, instant Now);
  void run(const control::send_ledger_request &Request);
  void run(const control::start_decided &Decided);
  /// Needs no event: `waiting` no longer counts the request.
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

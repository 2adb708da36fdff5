/// Deterministic, seeded model of one stand-in endpoint, without I/O.
#pragma once

#include "behaviour.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/outcome.h"
#include "query/messages.h"
#include "record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrush::bench {

/// A client connection, numbered by `endpoint_server`.
using connection_id = numeric_id<struct connection_tag, std::uint64_t>;
/// A request and its reply, numbered by `endpoint_server`.
using exchange_id = numeric_id<struct exchange_tag, std::uint64_t>;

// Events: inputs of the model.

struct connection_opened {
  connection_id Connection;
};
struct connection_closed {
  connection_id Connection;
};
struct request_arrived {
  exchange_id Exchange;
  std::string Name; ///< unique for each attempt; used by cancels
  std::uint32_t Attempt = 0;
  bool IsCommand = false;
  std::string Key; ///< idempotency key; empty for searches
  snapshot_id Snapshot;
  shard_id Shard;
  millis Remaining; ///< time until the deadline
};
struct cancel_arrived {
  std::string Name;
};
/// The time returned by `nextTimer` has been reached.
struct timer_expired {};
/// The endpoint turns cold without notice to its clients.
struct turn_cold {
  bool ResetsConnections = false; ///< reset connections, as in a restart
};
/// The endpoint goes down for a time: it resets all connections and refuses new
/// ones. Afterwards it is cold.
struct take_down {
  millis For;
};
/// While draining, the endpoint refuses all new requests.
struct set_draining {
  bool On = true;
};
/// Replaces the snapshots that the endpoint holds.
struct set_snapshots {
  std::vector<query::held_snapshot> Held;
};
/// Replaces the behaviour of the endpoint.
struct set_behaviour {
  endpoint_behaviour Behaviour;
};
/// Clears the record except the current cold period. The state of the endpoint
/// stays as it is.
struct reset_record {};

using event =
    std::variant<connection_opened, connection_closed, request_arrived,
                 cancel_arrived, timer_expired, turn_cold, take_down,
                 set_draining, set_snapshots, set_behaviour, reset_record>;

// Actions: outputs of the model, performed by `endpoint_server`.

/// Why a request was not answered.
enum class reply_reason : std::uint8_t {
  none,
  shed,
  snapshot_missing,
  expired,
  draining,
  cancelled
};
/// Returns the value of the header Bulrush-Reason.
std::string_view toString(reply_reason Reason);

/// Send this reply immediately.
struct send_reply {
  exchange_id Exchange;
  outcome Outcome = outcome::answered;
  reply_reason Reason = reply_reason::none;
  std::uint64_t Generation = 0;
  bool Cold = false;
  bool Draining = false;
  std::uint32_t InFlight = 0;
  millis RetryAfter;
};
/// Send no reply to this request.
struct drop_reply {
  exchange_id Exchange;
};
/// Start reading from the connection after a delay.
struct serve_connection {
  connection_id Connection;
  millis After;
};
/// Reset the connection without reading from it.
struct refuse_connection {
  connection_id Connection;
};
/// Reset all connections and discard all pending replies.
struct reset_connections {};

using action = std::variant<send_reply, drop_reply, serve_connection,
                            refuse_connection, reset_connections>;

/// Whether the endpoint serves requests, and with reduced or full capacity.
enum class run_state : std::uint8_t { cold, warm, down };

/// The content of a health report. It may be outdated or false, depending on
/// the behaviour.
struct health_report {
  run_state RunState = run_state::cold;
  bool Draining = false;
  std::uint64_t Generation = 1;
  std::uint32_t InFlight = 0;
  std::vector<query::held_snapshot> Held;
};

/// Model of one endpoint. It starts cold and without snapshots.
class endpoint_model {
public:
  endpoint_model(const endpoint_behaviour &Behaviour, std::uint64_t Seed,
                 instant Now);
  ~endpoint_model();
  endpoint_model(endpoint_model &&) noexcept;

  /// Processes one event at the time `Now` and appends the resulting actions to
  /// `Out`.
  void step(const event &Event, instant Now, std::vector<action> &Out);
  /// Time at which the next `timer_expired` event is due; `Never` if there is
  /// none.
  instant nextTimer() const;

  health_report health(instant Now) const;
  run_state state() const;
  std::uint32_t inFlight() const;
  std::uint32_t capacity() const; ///< current limit of concurrent requests
  const endpoint_behaviour &behaviour() const;
  const std::vector<query::held_snapshot> &held() const;
  const endpoint_record &record() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::bench

/// The decisions of one stand-in endpoint: a pure, seeded model of a searcher.
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

/// A connection of a client, numbered by the shell.
using connection_id = numeric_id<struct connection_tag, std::uint64_t>;
/// A request and its reply, numbered by the shell.
using exchange_id = numeric_id<struct exchange_tag, std::uint64_t>;

// Events.

struct connection_opened {
  connection_id Connection;
};
struct connection_closed {
  connection_id Connection;
};
struct request_arrived {
  exchange_id Exchange;
  std::string Name; ///< unique for each attempt; a cancel gives it
  std::uint32_t Attempt = 0;
  bool IsCommand = false;
  std::string Key; ///< of a command
  snapshot_id Snapshot;
  shard_id Shard;
  millis Remaining; ///< until the deadline
};
struct cancel_arrived {
  std::string Name;
};
/// The time of `nextWake` has come.
struct woken {};
/// The endpoint is cold from now on, without warning.
struct turn_cold {
  bool ResetsConnections = false; ///< as a restart does
};
/// Lost: every connection is reset and new ones are refused; then cold.
struct take_down {
  millis For;
};
struct set_draining {
  bool On = true;
};
/// The endpoint holds these snapshots from now on and no others.
struct set_snapshots {
  std::vector<query::held_snapshot> Held;
};
struct set_behaviour {
  endpoint_behaviour Behaviour;
};
/// Forgets what was recorded, but not the state of the endpoint.
struct reset_record {};

using event =
    std::variant<connection_opened, connection_closed, request_arrived,
                 cancel_arrived, woken, turn_cold, take_down, set_draining,
                 set_snapshots, set_behaviour, reset_record>;

// Actions.

enum class reply_reason : std::uint8_t {
  none,
  shed,
  snapshot_missing,
  expired,
  draining,
  cancelled
};
/// The name in the header Bulrush-Reason.
std::string_view toString(reply_reason Reason);

/// Send this reply now.
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
/// The reply will never be sent.
struct lose_reply {
  exchange_id Exchange;
};
/// Start to read from the connection after a delay.
struct serve_connection {
  connection_id Connection;
  millis After;
};
/// Close the connection without serving it.
struct refuse_connection {
  connection_id Connection;
};
/// Reset every connection; replies not yet sent are lost.
struct reset_connections {};

using action = std::variant<send_reply, lose_reply, serve_connection,
                            refuse_connection, reset_connections>;

enum class warmth : std::uint8_t { cold, warm, down };

/// What the health report says; it may lag or lie.
struct health_report {
  warmth Warmth = warmth::cold;
  bool Draining = false;
  std::uint64_t Generation = 1;
  std::uint32_t InFlight = 0;
  std::vector<query::held_snapshot> Held;
};

/// One endpoint. It starts cold and holds no snapshot.
class endpoint_model {
public:
  endpoint_model(const endpoint_behaviour &Behaviour, std::uint64_t Seed,
                 instant Now);
  ~endpoint_model();
  endpoint_model(endpoint_model &&) noexcept;

  void step(const event &Event, instant Now, std::vector<action> &Out);
  /// When `woken` is due; `Never` when nothing waits.
  instant nextWake() const;

  health_report health(instant Now) const;
  warmth state() const;
  std::uint32_t inFlight() const;
  std::uint32_t bearable() const; ///< requests it can run at once now
  const endpoint_behaviour &behaviour() const;
  const std::vector<query::held_snapshot> &held() const;
  const endpoint_record &record() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::bench

/// Messages to and from the other processes of the system, over ZeroMQ.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/world.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace bulrush::telemetry {
class metrics;
} // namespace bulrush::telemetry

namespace bulrush::wire {

class Envelope;

/// What a process does for the system; one vm may run one of each.
enum class role : std::uint8_t { entry, control };

/// A process of the system.
struct process_id {
  vm_id Vm;
  role Role = role::entry;

  auto operator<=>(const process_id &) const = default;
};

struct peer {
  process_id Id;
  address Address;
};

/// Keys for ZeroMQ's CURVE: Z85 text of 40 characters each. One key pair a
/// system.
struct link_keys {
  std::string Public;
  std::string Secret;
};

/// Draws a new key pair.
link_keys newLinkKeys();

struct link_settings {
  process_id Self;
  incarnation_id Incarnation;
  address Bind;
  std::vector<peer> Peers;
  int QueueBound =
      2'000; ///< messages waiting for one peer; more are dropped and counted
  std::int64_t MaxMessageBytes =
      64 << 20; ///< a larger message closes the connection
  std::optional<link_keys>
      Keys; ///< without keys nothing is encrypted or checked
};

/// Called on the thread of the `io_context` for each message from a known peer.
using message_handler =
    std::function<void(process_id From, const Envelope &Message)>;

/// All links of one process. Runs on the thread of its `io_context`.
class link_set {
public:
  link_set(boost::asio::io_context &Io, link_settings Settings,
           telemetry::metrics &Metrics, message_handler OnMessage);
  ~link_set();
  link_set(const link_set &) = delete;
  link_set &operator=(const link_set &) = delete;

  expected<void> start();
  /// Queues a message; false when the link is down or its queue is full. Never
  /// blocks.
  bool send(process_id To, Envelope &Message);
  /// For failure tests: from now on messages to and from these peers are lost
  /// silently.
  void cut(std::vector<process_id> Peers);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::wire

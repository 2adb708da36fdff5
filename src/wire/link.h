/// Message links between the processes of the system, over ZeroMQ.
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

/// The role of a process. A vm runs at most one process per role.
enum class role : std::uint8_t { entry, control };

/// Identifies a process of the system.
struct process_id {
  vm_id Vm;
  role Role = role::entry;

  auto operator<=>(const process_id &) const = default;
};

/// Another process and the address that it listens on.
struct peer {
  process_id Id;
  address Address;
};

/// A CURVE key pair for ZeroMQ, each key as Z85 text of 40 characters. All
/// processes of a system share one pair.
struct link_keys {
  std::string Public;
  std::string Secret;
};

/// Generates a new key pair.
link_keys newLinkKeys();

struct link_settings {
  process_id Self;
  incarnation_id Incarnation;
  address Bind;
  std::vector<peer> Peers;
  int MaxQueuedMessages =
      2'000; ///< per peer; further messages are dropped and counted
  std::int64_t MaxMessageBytes =
      64 << 20; ///< larger messages close the connection
  std::optional<link_keys>
      Keys; ///< if unset, links are neither encrypted nor authenticated
};

/// Called on the thread of the `io_context` for each message from a known peer.
using message_handler =
    std::function<void(process_id From, const Envelope &Message)>;

/// The links of one process to all its peers. Runs on the thread of its
/// `io_context`.
class link_set {
public:
  link_set(boost::asio::io_context &Io, link_settings Settings,
           telemetry::metrics &Metrics, message_handler OnMessage);
  ~link_set();
  link_set(const link_set &) = delete;
  link_set &operator=(const link_set &) = delete;

  /// Binds the listening socket and connects to all peers.
  expected<void> start();
  /// Queues a message without blocking. Returns false if the link is down, its
  /// queue is full or the peer is unknown. Sets the sender fields of `Message`.
  bool send(process_id To, Envelope &Message);
  /// For failure tests: silently drops messages to and from these peers until
  /// the next call, which replaces the set.
  void cut(std::vector<process_id> Peers);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::wire

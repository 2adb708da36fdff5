/// The deployment as the settings describe it, and the intents of operators.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush {

/// A data centre.
struct zone {
  zone_id Id;
  std::string Name;
};

/// The one-way network delay from one zone to another.
struct zone_link {
  zone_id From;
  zone_id To;
  millis OneWay;
};

/// An IP address in text form, and a port.
struct address {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const address &) const = default;
};

/// A machine that runs an entry daemon, and also a control voter if it has a
/// disk.
struct vm {
  vm_id Id;
  zone_id Zone;
  address Callers; ///< entry daemon: HTTP API for callers
  address Peers;   ///< entry daemon: ZeroMQ
  bool HasDisk = false;
  address Operators; ///< control voter: HTTP API for operators
  address Control;   ///< control voter: ZeroMQ
};

/// Load limits of one back end.
struct endpoint_limits {
  std::uint32_t Slots = 1;       ///< concurrent requests it executes
  std::uint32_t Connections = 1; ///< open connections it accepts
  millis ConnectCost;            ///< time to open a new connection
};

/// A back end.
struct endpoint {
  endpoint_id Id;
  pool_id Pool;
  zone_id Zone;
  address Address;
  endpoint_limits Limits;
};

/// A group of endpoints that together serve the same set of shards.
struct pool {
  pool_id Id;
  std::string Name;
  std::uint32_t Shards = 1;
  std::uint32_t Replicas = 1;
  std::vector<endpoint_id> Endpoints;
};

/// A client account, identified by the API key that it sends.
struct caller {
  caller_id Id;
  std::string Name;
  pool_id Pool;
  std::string ApiKey;
};

/// Service objectives and cost limits of a class of requests, set by operators.
struct intent {
  intent_name Name;
  std::string
      Caller; ///< name of the caller it applies to; empty applies to all
  std::string
      PathPrefix;      ///< prefix of the query's `kind`; empty applies to all
  millis Deadline{50}; ///< from the arrival of a query to its answer
  percent MinCoverage{0}; ///< queries with a lower coverage are refused
  double Weight =
      1; ///< relative share of an overloaded endpoint, and value of an answer
  percent ExtraLoad{
      5}; ///< hedges and retries, as a percentage of primary sub-requests

  bool operator==(const intent &) const = default;
};

/// The static part of a deployment, as its settings define it.
struct deployment {
  std::string Name;
  std::vector<zone> Zones;
  std::vector<zone_link> Links;
  std::vector<vm> Vms;
  std::vector<pool> Pools;
  std::vector<endpoint> Endpoints; ///< indexed by `endpoint_id`
  std::vector<caller> Callers;
};

} // namespace bulrush

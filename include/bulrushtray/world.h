/// The objects of the world as the settings and the operators describe them.
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

/// The one-way distance between two zones.
struct zone_link {
  zone_id From;
  zone_id To;
  millis OneWay;
};

/// An IP address as text and a port.
struct address {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const address &) const = default;
};

/// A machine that runs an entry daemon, and a control voter where it has a
/// disk.
struct vm {
  vm_id Id;
  zone_id Zone;
  address Callers; ///< the callers' HTTP API of the entry daemon
  address Peers;   ///< ZeroMQ, entry daemon
  bool HasDisk = false;
  address Operators; ///< the operators' HTTP API of the control voter
  address Control;   ///< ZeroMQ, control voter
};

/// What one back end may be asked to bear.
struct endpoint_limits {
  std::uint32_t Slots = 1;       ///< requests it runs at the same time
  std::uint32_t Connections = 1; ///< open connections it accepts
  millis ConnectCost;            ///< time a new connection takes
};

/// A back end.
struct endpoint {
  endpoint_id Id;
  pool_id Pool;
  zone_id Zone;
  address Address;
  endpoint_limits Limits;
};

/// Endpoints that serve the same shards.
struct pool {
  pool_id Id;
  std::string Name;
  std::uint32_t Shards = 1;
  std::uint32_t Replicas = 1;
  std::vector<endpoint_id> Endpoints;
};

/// A class of callers; it is recognised by the API key that it sends.
struct caller {
  caller_id Id;
  std::string Name;
  pool_id Pool;
  std::string ApiKey;
};

/// What a class of requests should achieve and may cost. Created by operators.
struct intent {
  intent_name Name;
  std::string
      Caller; ///< name of the caller class it matches; empty matches all
  std::string PathPrefix; ///< prefix of the query's `kind`; empty matches all
  millis Deadline{50};    ///< from arrival to answer
  percent MinCoverage{0}; ///< below this an answer is refused as incomplete
  double Weight =
      1; ///< share of an overloaded endpoint, and worth of an answer
  percent ExtraLoad{
      5}; ///< hedges and retries, as a share of primary sub-requests

  bool operator==(const intent &) const = default;
};

/// Everything that is fixed by the settings of one deployment.
struct deployment {
  std::string Name;
  std::vector<zone> Zones;
  std::vector<zone_link> Links;
  std::vector<vm> Vms;
  std::vector<pool> Pools;
  std::vector<endpoint> Endpoints; ///< at the place of their number
  std::vector<caller> Callers;
};

} // namespace bulrush

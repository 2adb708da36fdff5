/// What is served: services, routes and limits on clients, as one version that
/// operators send whole.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush::relay {

/// The number that operators give a catalog; the highest is in force.
using catalog_version = numeric_id<struct catalog_version_tag, std::uint64_t>;
/// Endpoints that answer the same requests, named by operators.
using service_name = string_id<struct service_tag>;

/// What the endpoints of one service bear.
struct service {
  service_name Name;
  std::string HealthPath;
  std::uint32_t MaxConnections = 1; ///< an endpoint's, from all daemons
  double ColdRate = 0; ///< requests a second that a cold endpoint bears
  millis ColdFor;      ///< how long an endpoint is cold after its start

  bool operator==(const service &) const = default;
};

/// One part of a route's requests.
struct weighted_service {
  service_name Service;
  double Weight = 1;

  bool operator==(const weighted_service &) const = default;
};

/// How the parts of a query over many shards become one answer.
struct gather_rule {
  std::vector<service_name> Shards; ///< empty: no query over shards
  std::uint32_t TopRecords = 0;     ///< greatest records of an answer
  double LeastShare = 0;            ///< of the shards, in an answer

  bool operator==(const gather_rule &) const = default;
};

/// Requests of one host below one path, and what they should achieve.
struct route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< begins and ends with a slash
  bool IsIdempotent = false;
  millis Timeout;                ///< the longest that a client is kept waiting
  millis Objective;              ///< an answer within it earns its full worth
  std::uint32_t Rank = 0;        ///< 0 is the most urgent
  std::uint32_t MaxAttempts = 1; ///< endpoints that may run one request
  std::vector<weighted_service> Targets; ///< empty with `Gather`
  gather_rule Gather;

  bool operator==(const route &) const = default;
};

/// What a client may send.
struct client_limits {
  std::uint32_t MaxHeaderBytes = 16 << 10;
  std::uint32_t MaxBodyBytes = 1 << 20;
  millis HeaderTimeout{10'000};
  millis IdleTimeout{60'000};

  bool operator==(const client_limits &) const = default;
};

struct catalog {
  catalog_version Version;
  std::vector<service> Services;
  std::vector<route> Routes;
  client_limits Limits;

  const service *find(const service_name &Name) const;
  bool operator==(const catalog &) const = default;
};

} // namespace bulrush::relay

/// The catalog: services, routes and client limits; operators publish each
/// version as a whole.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/rate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::relay {

/// Version number that operators assign to a catalog; the highest is in force.
using catalog_version = numeric_id<struct catalog_version_tag, std::uint64_t>;
/// Name of a group of interchangeable endpoints; chosen by operators.
using service_name = string_id<struct service_tag>;

/// Name of a client account; chosen by operators.
using account_name = string_id<struct account_tag>;

/// Limits of the endpoints of one service. An endpoint is cold while it warms
/// up after its start.
struct service {
  service_name Name;
  std::string HealthPath;
  std::uint32_t MaxConnections = 1; ///< per endpoint, over all relays
  double ColdRate = 0; ///< requests per second that a cold endpoint can serve
  millis ColdFor;      ///< time that an endpoint stays cold after its start

  bool operator==(const service &) const = default;
};

/// A target of a route and its share of the requests.
struct weighted_service {
  service_name Service;
  double Weight = 1;

  bool operator==(const weighted_service &) const = default;
};

/// How replies of many shards are merged into one answer.
struct gather_rule {
  std::vector<service_name> Shards; ///< empty: not a query over shards
  std::uint32_t TopRecords = 0;     ///< number of greatest records in an answer
  double MinCoverage = 0; ///< share of the shards that an answer must cover

  bool operator==(const gather_rule &) const = default;
};

/// Requests to one host below one path prefix, with their time limits.
struct route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< begins and ends with a slash
  bool IsIdempotent = false;
  millis Timeout;   ///< longest time until a request is answered
  millis Objective; ///< latency objective; later answers are worth less
  std::uint32_t Priority = 0; ///< 0 is the highest
  /// Maximum number of attempts that may have been executed, for one request or
  /// for one shard of a query.
  std::uint32_t MaxAttempts = 1;
  std::vector<weighted_service> Targets; ///< empty if `Gather` has shards
  gather_rule Gather;
  bool IsPublic = false; ///< requests need no API key

  bool operator==(const route &) const = default;
};

/// Limits on client connections and requests.
struct client_limits {
  std::uint32_t MaxHeaderBytes = 16 << 10;
  std::uint32_t MaxBodyBytes = 1 << 20;
  millis HeaderTimeout{10'000};
  millis IdleTimeout{60'000};

  bool operator==(const client_limits &) const = default;
};

/// A client account. Its keys identify its requests; its rate limits the
/// requests that all relays together accept.
struct account {
  account_name Name;
  std::vector<std::string> Keys;
  /// Takes precedence over the priority of the route; 0 is the highest.
  std::optional<std::uint32_t> Priority;
  request_rate Rate; ///< 0: no limit
  double Burst = 0;  ///< requests beyond the rate

  bool operator==(const account &) const = default;
};

/// Services, routes, accounts and limits of one version.
struct catalog {
  catalog_version Version;
  std::vector<service> Services;
  std::vector<route> Routes;
  client_limits Limits;
  /// If set, requests need a key of one of these accounts.
  std::optional<std::vector<account>> Accounts = {};

  /// Returns null if no service has this name.
  const service *find(const service_name &Name) const;
  bool operator==(const catalog &) const = default;
};

} // namespace bulrush::relay

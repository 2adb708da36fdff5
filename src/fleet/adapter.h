/// Interfaces that a platform implements to run the fleet's daemons. The
/// daemons contain no platform-specific names.
#pragma once

#include "bulrushtray/error.h"
#include "control/registry_machine.h"
#include "http/message.h"
#include "relay/events.h"
#include "relay/rollout_controller.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::fleet {

/// Settings of one process.
struct process_settings {
  std::string Node;
  std::string Zone;
  std::string Ip;
  address Clients;   ///< relay: listens for clients' requests
  address Readiness; ///< relay: listens for readiness probes
  address Operators; ///< registry: listens for operators' calls
  /// TCP port for frames between daemons; the same on all vms.
  std::uint16_t FleetPort = 0;
  std::uint16_t MetricsPort = 0;  ///< 0: no metrics server
  std::vector<std::string> Seeds; ///< IPv4 addresses of registry vms
  bool IsFirstStart =
      false; ///< the whole fleet starts for the first time, with empty disks
  std::string DataFolder; ///< registry: path of its data folder
  address EndpointList;   ///< the platform's list of endpoints
  /// Number of registry vms whose simultaneous loss is tolerated.
  std::size_t MaxLostVms = 1;
  /// Registries that start for the first time; 0: unknown.
  std::uint32_t FleetSize = 0;
  std::size_t MemoryBytes = 0;    ///< of the process; 0: unknown
  std::size_t MaxDescriptors = 0; ///< of the process; 0: unknown
  millis GraceTime{5000}; ///< from SIGTERM until the platform kills the process
  relay::relay_settings Relay;
  relay::rollout_limits Rollouts; ///< registry

  bool operator==(const process_settings &) const = default;
};

/// Reads the settings of this process, at start and after each change.
class settings_source {
public:
  virtual ~settings_source() = default;
  /// The error message names the file, the field and its value.
  virtual expected<process_settings> read() = 0;
  /// Returns a number that changes whenever the settings may have changed.
  virtual std::uint64_t stamp() = 0;
};

/// Decodes the catalogs that operators upload.
class catalog_codec {
public:
  virtual ~catalog_codec() = default;
  /// Returns an error if the catalog is malformed or inconsistent, or if a
  /// number is outside its range.
  virtual expected<relay::catalog> decode(const std::string &Bytes) const = 0;
  /// Decodes a catalog that was accepted before, maybe by a build that checked
  /// no ranges: a number outside its range counts as the nearest one inside.
  /// The version is 0 if the text does not state one that is in range.
  virtual expected<relay::catalog> restore(const std::string &Bytes) const = 0;
};

/// A client's request and how long the client waits for its answer.
struct client_request {
  std::shared_ptr<const relay::opaque_request> Content;
  millis ClientTimeout; ///< 0: not specified by the client
};

/// Result of an endpoint's health check.
struct endpoint_health {
  bool IsHealthy = false;
  std::string Instance;
  std::optional<millis> ColdFor; ///< remaining cold time; none if not stated
  bool IsLeaving = false;        ///< the endpoint states that it stops soon
  millis RetryAfter; ///< time for which it wants no requests; 0: none
  /// Requests that it takes from all relays together; none if not stated.
  std::optional<request_rate> RateLimit;
};

/// Translates requests and responses between HTTP and the relay's types, for
/// clients and endpoints.
class request_codec {
public:
  virtual ~request_codec() = default;
  virtual client_request decode(http::request Request) const = 0;
  virtual http::response encode(const relay::send_answer &Answer) const = 0;
  virtual http::request encode(const relay::opaque_request &Request,
                               const std::string &Instance,
                               millis Remaining) const = 0;
  virtual relay::endpoint_reply decode(http::response Response) const = 0;
  virtual endpoint_health
  decodeHealth(const http::response &Response) const = 0;
  /// Returns the name of the header that endpoints copy into their replies.
  virtual std::string echoHeader() const = 0;
};

/// One page of the platform's list of endpoints.
struct endpoint_page {
  std::vector<relay::listed_endpoint> Endpoints;
  std::uint32_t Unreadable = 0; ///< entries that could not be decoded
  std::string NextToken;        ///< empty on the last page
};

/// Encodes requests for the platform's list of endpoints and decodes its pages.
class endpoint_list_codec {
public:
  virtual ~endpoint_list_codec() = default;
  /// Returns the request for the page of `Token`; empty: the first page.
  virtual http::request page(const std::string &Token) const = 0;
  virtual expected<endpoint_page>
  decode(const http::response &Response) const = 0;
};

/// A decoded call of an operator.
struct operator_call {
  enum class kind : std::uint8_t {
    command,
    order_rollout, ///< `Command` holds a `start_rollout` of `Service`
    read_catalog,
    read_rollout, ///< the latest rollout of `Service`
    unknown
  };
  kind Kind = kind::unknown;
  control::registry_command Command = {}; ///< of `command` and `order_rollout`
  std::string Error = {}; ///< why the call is invalid; empty if it is valid
  relay::service_name Service = {};
};

/// Translates the HTTP requests of operators and their answers.
class operator_codec {
public:
  virtual ~operator_codec() = default;
  virtual operator_call decode(const http::request &Request) const = 0;
  /// Answers the read of a rollout.
  virtual http::response encode(const control::rollout &Rollout) const = 0;
  /// Answers an order that is refused because the rollout to `Running` is in
  /// progress.
  virtual http::response
  encodeConflict(const relay::software_version &Running) const = 0;
  /// Acknowledges a catalog that changes nothing, as the one of `HeldVersion`
  /// stays in force.
  virtual http::response encodeUnchanged(std::uint64_t HeldVersion) const = 0;
};

/// The implementations of one platform.
struct adapter {
  std::shared_ptr<settings_source> Settings;
  std::shared_ptr<const catalog_codec> Catalogs;
  std::shared_ptr<const request_codec> Requests;
  std::shared_ptr<const endpoint_list_codec> Endpoints;
  std::shared_ptr<const operator_codec> Operators;
};

} // namespace bulrush::fleet

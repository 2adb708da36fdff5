/// What a platform must translate so that the fleet's daemons run on it. The
/// daemons know no name of any platform.
#pragma once

#include "bulrushtray/error.h"
#include "control/registry_machine.h"
#include "http/message.h"
#include "relay/events.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::fleet {

/// One process, as its settings describe it.
struct process_settings {
  std::string Node;
  std::string Zone;
  std::string Ip;
  address Clients;             ///< of a relay: requests of clients
  address Readiness;           ///< of a relay: whether it takes new connections
  address Operators;           ///< of the registry: orders and reads
  std::uint16_t FleetPort = 0; ///< of the registry, on each of its machines
  std::uint16_t MetricsPort = 0;  ///< 0: none
  std::vector<std::string> Seeds; ///< machines of the registry
  bool IsFirstStart = false;      ///< the whole fleet starts, with empty disks
  std::string DataFolder;         ///< of the registry
  address EndpointList;           ///< of the platform
  std::size_t MaxLostMachines =
      1;                  ///< of the registry, that may be lost at once
  millis GraceTime{5000}; ///< from SIGTERM until the process is killed
  relay::relay_settings Relay;

  bool operator==(const process_settings &) const = default;
};

/// Reads the settings of this process; again after each change of them.
class settings_source {
public:
  virtual ~settings_source() = default;
  /// The error names file, field and value.
  virtual expected<process_settings> read() = 0;
  /// A number that differs once the settings may have changed.
  virtual std::uint64_t stamp() = 0;
};

/// Reads what operators send as a catalog.
class catalog_codec {
public:
  virtual ~catalog_codec() = default;
  /// An error when the catalog cannot be read whole or contradicts itself.
  virtual expected<relay::catalog> decode(const std::string &Bytes) const = 0;
};

/// A client's request and how long the client waits for its answer.
struct client_request {
  std::shared_ptr<const relay::opaque_request> Content;
  millis ClientTimeout; ///< 0: it does not say
};

/// What an endpoint's health check says.
struct endpoint_health {
  bool IsHealthy = false;
  std::string Instance;
  millis ColdFor;
};

/// The wire between clients, relays and endpoints.
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
  /// The header that endpoints copy into their replies.
  virtual std::string echoHeader() const = 0;
};

/// One page of the platform's list of endpoints.
struct endpoint_page {
  std::vector<relay::listed_endpoint> Endpoints;
  std::uint32_t Unreadable = 0; ///< entries that name no endpoint to use
  std::string NextToken;        ///< empty on the last page
};

class endpoint_list_codec {
public:
  virtual ~endpoint_list_codec() = default;
  virtual http::request page(const std::string &Token) const = 0;
  virtual expected<endpoint_page>
  decode(const http::response &Response) const = 0;
};

/// What an operator asks of the registry.
struct operator_call {
  enum class kind : std::uint8_t { command, read_catalog, unknown };
  kind Kind = kind::unknown;
  control::registry_command Command; ///< of an order
  std::string Error; ///< why an order is refused; empty when it is well formed
};

class operator_codec {
public:
  virtual ~operator_codec() = default;
  virtual operator_call decode(const http::request &Request) const = 0;
};

/// All translations of one platform.
struct adapter {
  std::shared_ptr<settings_source> Settings;
  std::shared_ptr<const catalog_codec> Catalogs;
  std::shared_ptr<const request_codec> Requests;
  std::shared_ptr<const endpoint_list_codec> Endpoints;
  std::shared_ptr<const operator_codec> Operators;
};

} // namespace bulrush::fleet

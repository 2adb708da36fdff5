/// The registry's HTTP interface for operators.
#pragma once

#include "fleet/adapter.h"
#include "fleet/registry_node.h"
#include "http/server.h"
#include "telemetry/metrics.h"

#include <map>
#include <optional>

namespace bulrush::fleet {

/// Executes the calls of an `operator_handler`.
class operator_handler_host {
public:
  virtual ~operator_handler_host() = default;
  virtual void submitCommand(call_id Call,
                             control::registry_command Command) = 0;
  virtual void submitRead(call_id Call) = 0;
  /// Returns the leader's address for operators' calls. Returns nothing if the
  /// leader is unknown or is this process.
  virtual std::optional<address> leader() const = 0;
  virtual const control::registry_state &state() const = 0;
  /// Returns whether this process leads and the catalog in force lacks the
  /// service.
  virtual bool isUnknown(const relay::service_name &Service) const = 0;
  /// Returns whether this process leads and its log cannot order a catalog of
  /// this version: see `catalog_updates`.
  virtual bool isBetweenVersions(std::uint64_t Version) const = 0;
  /// Returns the version of the catalog in force, as operators stated it.
  virtual std::uint64_t statedVersion() const = 0;
};

class operator_handler final : public http::handler {
public:
  operator_handler(const operator_codec &Codec, operator_handler_host &Host,
                   telemetry::metrics &Metrics)
      : Codec(Codec), Host(Host), Metrics(Metrics) {}

  void handle(http::request Request, http::responder Respond) override;
  void complete(const call_ended &Ended);
  void completeAll(call_end End);

private:
  struct pending_call {
    http::responder Respond;
    std::string Target;
    operator_call::kind Kind = operator_call::kind::unknown;
    relay::service_name Service = {};
    /// An order that the catalog in force speaks against: the order waits for a
    /// read that confirms the catalog.
    std::optional<control::registry_command> Order = {};
    std::optional<control::put_catalog> Catalog = {}; ///< that the call puts
  };

  bool isRefused(const pending_call &Call) const;
  http::response makeRefusal(const pending_call &Call) const;
  http::response makeResponse(const pending_call &Call,
                              const call_ended &Ended) const;
  http::response makeRedirect(const pending_call &Call) const;
  http::response makeAnswer(const pending_call &Call,
                            const call_ended &Ended) const;
  void reportUnchangedCatalog(const control::put_catalog &Sent);

  const operator_codec &Codec;
  operator_handler_host &Host;
  telemetry::metrics &Metrics;
  std::map<call_id, pending_call> Calls;
  call_id LastId;
};

} // namespace bulrush::fleet

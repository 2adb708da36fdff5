/// The operators' calls to the registry over HTTP.
#pragma once

#include "fleet/adapter.h"
#include "fleet/registry_node.h"
#include "http/server.h"
#include "telemetry/metrics.h"

#include <map>
#include <optional>

namespace bulrush::fleet {

/// What the desk needs of its process.
class operator_desk_host {
public:
  virtual ~operator_desk_host() = default;
  virtual void order(call_id Call, control::registry_command Command) = 0;
  virtual void read(call_id Call) = 0;
  /// Where the leader takes operators' calls; nothing when it is not known, or
  /// is this process.
  virtual std::optional<address> leader() const = 0;
  virtual const control::registry_state &state() const = 0;
};

class operator_desk final : public http::handler {
public:
  operator_desk(const operator_codec &Codec, operator_desk_host &Host,
                telemetry::metrics &Metrics)
      : Codec(Codec), Host(Host), Metrics(Metrics) {}

  void handle(http::request Request, http::responder Respond) override;
  void end(call_id Call, call_end End);
  void endAll(call_end End);

private:
  struct open_call {
    http::responder Respond;
    std::string Target;
    operator_call::kind Kind = operator_call::kind::unknown;
  };

  http::response answer(const open_call &Call, call_end End) const;

  const operator_codec &Codec;
  operator_desk_host &Host;
  telemetry::metrics &Metrics;
  std::map<call_id, open_call> Calls;
  call_id Last;
};

} // namespace bulrush::fleet

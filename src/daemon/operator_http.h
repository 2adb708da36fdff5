/// The operators' HTTP API of a control voter (docs/API.md).
#pragma once

#include "control/operator_api.h"
#include "daemon/control_node.h"
#include "daemon/operator_tokens.h"
#include "http/server.h"
#include "telemetry/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrush::daemon {

/// What the API asks of its daemon.
class operator_http_host {
public:
  virtual ~operator_http_host() = default;
  /// Hands a request to the control core; the result comes back by `answer`.
  virtual void ask(std::uint64_t Ticket, control::operator_request Request) = 0;
  /// Calls `Look` on the decisions' thread.
  virtual void look(std::function<void(const control_node &)> Look) = 0;
  /// Runs `Work` on the API's thread.
  virtual void post(std::function<void()> Work) = 0;
  /// For failure tests: cuts the links when `Body` says so.
  virtual http::response cutLinks(const std::string &Body) = 0;
};

/// Runs on the I/O thread.
class operator_http final : public http::handler {
public:
  operator_http(const deployment &Deployment, operator_tokens Tokens,
                operator_http_host &Host, telemetry::metrics &Metrics);
  ~operator_http() override;

  void handle(http::request Request, http::responder Respond) override;
  void answer(std::uint64_t Ticket, const control::operator_result &Result);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::daemon

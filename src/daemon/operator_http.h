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

/// The daemon's services that the API calls.
class operator_http_host {
public:
  virtual ~operator_http_host() = default;
  /// Submits a request to the control core. The result is passed to
  /// `operator_http::answer` with the same ticket.
  virtual void submitRequest(std::uint64_t Ticket,
                             control::operator_request Request) = 0;
  /// Calls `Visitor` with the control node on the node actor's thread.
  virtual void visitNode(std::function<void(const control_node &)> Visitor) = 0;
  /// Runs `Work` on the I/O thread.
  virtual void post(std::function<void()> Work) = 0;
  /// For failure tests: cuts all links to other processes if `Body` contains
  /// `true`, else restores them.
  virtual http::response cutLinks(const std::string &Body) = 0;
};

/// Checks the operator's token, submits the request and sends the result. Runs
/// on the I/O thread.
class operator_http final : public http::handler {
public:
  operator_http(const deployment &Deployment, operator_tokens Tokens,
                operator_http_host &Host, telemetry::metrics &Metrics);
  ~operator_http() override;

  void handle(http::request Request, http::responder Respond) override;
  /// Sends the HTTP response to the request with this ticket.
  void answer(std::uint64_t Ticket, const control::operator_result &Result);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::daemon

/// The callers' HTTP API of an entry daemon (docs/API.md).
#pragma once

#include "bulrushtray/world.h"
#include "http/server.h"
#include "query/router_events.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrush::telemetry {
class metrics;
} // namespace bulrush::telemetry

namespace bulrush::daemon {

/// The daemon's services that the API calls.
class caller_api_host {
public:
  virtual ~caller_api_host() = default;
  /// Whether /readyz reports ready, so that the load balancer routes callers to
  /// this daemon.
  virtual bool isReady() const = 0;
  /// Passes an event to the router.
  virtual void submit(query::router_event Event) = 0;
  /// Responds with the recorded queries that match `Target`, such as
  /// `query/ID`.
  virtual void explain(const std::string &Target, http::responder Respond) = 0;
  /// For failure tests: cuts all links to other processes if `Body` contains
  /// `true`, else restores them.
  virtual http::response cutLinks(const std::string &Body) = 0;
};

/// Translates HTTP requests into router events and the router's answers into
/// HTTP responses.
class caller_api final : public http::handler {
public:
  /// `Host` and `Metrics` must outlive the API.
  caller_api(const deployment &Deployment, caller_api_host &Host,
             telemetry::metrics &Metrics, const clock_source &Clock);
  ~caller_api() override;

  void handle(http::request Request, http::responder Respond) override;

  /// Sends the HTTP response to the caller of `Query`.
  void answer(query_id Query, const query::answer &Answer);

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Returns the JSON body of an answer.
std::string answerJson(const query::answer &Answer);

/// Returns the HTTP status code of an answer.
unsigned answerStatus(const query::answer &Answer);

} // namespace bulrush::daemon

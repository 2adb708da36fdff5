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

/// What the API asks of its daemon.
class caller_api_host {
public:
  virtual ~caller_api_host() = default;
  /// Whether the balancer should send callers here.
  virtual bool isReady() const = 0;
  virtual void submit(query::router_event Event) = 0;
  /// Answers with what is remembered about `Target`, such as `query/ID`.
  virtual void explain(const std::string &Target, http::responder Respond) = 0;
  /// For failure tests: cuts the links to the processes named in `Body`.
  virtual http::response cutLinks(const std::string &Body) = 0;
};

/// Turns requests into events of the router and its answers into responses.
class caller_api final : public http::handler {
public:
  /// `Host` and `Metrics` must outlive the API.
  caller_api(const deployment &Deployment, caller_api_host &Host,
             telemetry::metrics &Metrics, const clock_source &Clock);
  ~caller_api() override;

  void handle(http::request Request, http::responder Respond) override;

  /// Gives the answer to the caller of `Query`.
  void answer(query_id Query, const query::answer &Answer);

private:
  struct state;
  std::unique_ptr<state> State;
};

/// The JSON text of an answer.
std::string answerText(const query::answer &Answer);

/// The HTTP status of an answer.
unsigned answerStatus(const query::answer &Answer);

} // namespace bulrush::daemon

/// Serves the metrics of one process over HTTP.
#pragma once

#include "http/server.h"
#include "telemetry/metrics.h"

namespace bulrush::fleet {

class metrics_page final : public http::handler {
public:
  /// `Refresh` is called before each response to update the gauges.
  metrics_page(telemetry::metrics &Metrics, std::function<void()> Refresh)
      : Metrics(Metrics), Refresh(std::move(Refresh)) {}

  void handle(http::request, http::responder Respond) override {
    Refresh();
    http::response Out;
    Out.ContentType = "text/plain; version=0.0.4";
    Out.Body = Metrics.text();
    Respond(std::move(Out));
  }

private:
  telemetry::metrics &Metrics;
  std::function<void()> Refresh;
};

} // namespace bulrush::fleet

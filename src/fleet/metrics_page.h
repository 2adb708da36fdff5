/// The metrics of one process over HTTP.
#pragma once

#include "http/server.h"
#include "telemetry/metrics.h"

namespace bulrush::fleet {

class metrics_page final : public http::handler {
public:
  explicit metrics_page(telemetry::metrics &Metrics) : Metrics(Metrics) {}

  void handle(http::request, http::responder Respond) override {
    http::response Out;
    Out.ContentType = "text/plain";
    Out.Body = Metrics.text();
    Respond(std::move(Out));
  }

private:
  telemetry::metrics &Metrics;
};

} // namespace bulrush::fleet

/// Tells an endpoint that went down from one whose connection broke.
#pragma once

#include "relay/events.h"

#include <map>

namespace bulrush::relay {

/// A request that an endpoint was running when it went down.
struct crash {
  request_fingerprint Request;
  std::string RequestId;
  instant SentAt; ///< to this endpoint
  instant At;
};

/// Keeps the requests whose connection broke until a probe of their endpoint
/// ends. A probe that fails at once means that the machine answers and the
/// endpoint is gone; one that times out says nothing of the endpoint.
class crash_detector {
public:
  /// `Lost.At` is the current time.
  void onLost(endpoint_no Endpoint, crash Lost);
  void onProbeSent(endpoint_no Endpoint, instant Now);
  /// Returns the requests that the endpoint was running if it went down.
  std::vector<crash> onProbeEnded(endpoint_no Endpoint, bool IsHealthy,
                                  instant Now);

private:
  struct endpoint_losses {
    std::vector<crash> Lost;
    instant ProbedAt = Never;
  };
  std::map<endpoint_no, endpoint_losses> Endpoints;
};

} // namespace bulrush::relay

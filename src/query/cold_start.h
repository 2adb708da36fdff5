/// Whether an endpoint is cold, and how many of its slots may be used.
#pragma once

#include "query/owner_events.h"
#include "query/owner_settings.h"

#include <memory>

namespace bulrush::query {

/// How one request at an endpoint ended, as evidence.
struct attempt_evidence {
  reply_kind Kind = reply_kind::answered;
  instant Sent;
  millis Latency;
  bool Cold = false;            ///< the flag in the reply
  std::uint64_t Generation = 0; ///< 0 when unknown
  millis RetryAfter;
  bool Saturated = true;   ///< it took the last slot that might be used
  std::uint32_t Epoch = 0; ///< `warmth::epoch` when it was sent
};

/// The state of the cold start of one endpoint.
class warmth {
public:
  virtual ~warmth() = default;

  /// Nothing is known of the endpoint any more.
  virtual void forget() = 0;
  /// Returns why the state changed; `success` when nothing speaks for cold.
  virtual endpoint_cause onReply(const attempt_evidence &Evidence,
                                 instant Now) = 0;
  virtual void onHealth(health_state State, std::uint64_t Generation) = 0;
  /// Another owner has seen the endpoint warm in this life.
  virtual void onWarmSeen(std::uint64_t Generation) = 0;

  /// Slots that may be used from `opensAt` on.
  virtual std::uint32_t open() const = 0;
  /// Before this instant nothing may be sent.
  virtual instant opensAt() const = 0;
  virtual bool isWarm() const = 0;
  /// The life of the endpoint that was seen warm last; 0 for none.
  virtual std::uint64_t warmGeneration() const = 0;
  /// Changes when slots close.
  virtual std::uint32_t epoch() const = 0;
};

/// Makes the state that `Settings.Cold` names, for an endpoint with `Slots`.
std::unique_ptr<warmth> makeWarmth(const owner_settings &Settings,
                                   std::uint32_t Slots);

} // namespace bulrush::query

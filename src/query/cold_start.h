/// Detects cold endpoints and limits the number of slots used during warm-up.
#pragma once

#include "query/owner_events.h"
#include "query/owner_settings.h"

#include <memory>

namespace bulrush::query {

/// Observed result of one attempt at an endpoint.
struct attempt_observation {
  reply_kind Kind = reply_kind::answered;
  instant Sent;
  millis Latency;
  bool Cold = false;            ///< the cold flag of the reply
  std::uint64_t Generation = 0; ///< of the endpoint; 0 if unknown
  millis RetryAfter;
  bool Saturated = true;   ///< it took the last allowed slot
  std::uint32_t Epoch = 0; ///< `cold_start_state::epoch` when it was sent
};

/// Cold-start state of one endpoint. An endpoint gets a new generation each
/// time it restarts.
class cold_start_state {
public:
  virtual ~cold_start_state() = default;

  /// Returns to the state of a newly owned endpoint, but keeps the warm
  /// generation. Called after a time in which the endpoint got no requests from
  /// this owner.
  virtual void reset() = 0;
  /// Returns the cause of a change; `success` if nothing indicates a cold
  /// endpoint.
  virtual endpoint_cause onReply(const attempt_observation &Observation,
                                 instant Now) = 0;
  virtual void onHealth(health_state State, std::uint64_t Generation) = 0;
  /// Sets the generation in which a previous owner last saw the endpoint warm.
  virtual void setWarmGeneration(std::uint64_t Generation) = 0;

  /// Number of slots that may be used from `blockedUntil` on.
  virtual std::uint32_t allowedSlots() const = 0;
  /// Time before which no request may be sent.
  virtual instant blockedUntil() const = 0;
  virtual bool isWarm() const = 0;
  /// Generation in which the endpoint was last seen warm; 0 if none.
  virtual std::uint64_t warmGeneration() const = 0;
  /// Changes whenever slots are closed, so that replies to requests that were
  /// sent earlier can be told apart.
  virtual std::uint32_t epoch() const = 0;
};

/// Creates the state for the policy `Settings.Cold` and an endpoint with
/// `Slots` slots. `Settings` must outlive it.
std::unique_ptr<cold_start_state> makeColdStart(const owner_settings &Settings,
                                                std::uint32_t Slots);

} // namespace bulrush::query

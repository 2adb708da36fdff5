/// Queue of the sub-requests that wait for one endpoint.
#pragma once

#include "query/owner_events.h"
#include "query/owner_settings.h"

#include <memory>
#include <memory_resource>

namespace bulrush::query {

/// Fields of a queued sub-request that determine its order.
struct queued_work {
  attempt_id Attempt;
  instant Deadline;
  caller_id Caller;
  double Weight = 1;
};

/// Queue of one endpoint. Sub-requests with the same caller and weight form one
/// traffic class.
class endpoint_queue {
public:
  virtual ~endpoint_queue() = default;

  virtual void push(const queued_work &Work) = 0;
  /// Removes the sub-request that was pushed with the same fields.
  virtual void remove(const queued_work &Work) = 0;
  /// Removes and returns the next sub-request to send. The queue must not be
  /// empty.
  virtual attempt_id pop() = 0;
  virtual std::size_t size() const = 0;
  /// Estimates how many queued sub-requests would be sent before `Work`.
  virtual double countAhead(const queued_work &Work) const = 0;
  /// Returns the sub-request with the earliest deadline. The queue must not be
  /// empty.
  virtual queued_work mostUrgent() const = 0;
};

/// Creates a queue for `Policy` that allocates its nodes from `Memory`.
std::unique_ptr<endpoint_queue> makeQueue(admission_policy Policy,
                                          std::pmr::memory_resource &Memory);

} // namespace bulrush::query

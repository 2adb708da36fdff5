/// The sub-requests that wait for one endpoint, in the order of their service.
#pragma once

#include "query/owner_events.h"
#include "query/owner_settings.h"

#include <memory>
#include <memory_resource>

namespace bulrush::query {

/// What a queue must know of a waiting sub-request.
struct queued_work {
  attempt_id Attempt;
  instant Deadline;
  caller_id Caller;
  double Weight = 1;
};

/// A queue of one endpoint. Work with the same caller and weight is one class.
class endpoint_queue {
public:
  virtual ~endpoint_queue() = default;

  virtual void push(const queued_work &Work) = 0;
  /// Takes out what was pushed with the same fields.
  virtual void remove(const queued_work &Work) = 0;
  /// Takes out what is to be served next. The queue must not be empty.
  virtual attempt_id pop() = 0;
  virtual std::size_t size() const = 0;
  /// How many of those that wait would be served before `Work`.
  virtual double countAhead(const queued_work &Work) const = 0;
  /// The work with the earliest deadline. The queue must not be empty.
  virtual queued_work mostUrgent() const = 0;
};

/// Makes the queue that `Policy` names; its nodes come from `Memory`.
std::unique_ptr<endpoint_queue> makeQueue(admission_policy Policy,
                                          std::pmr::memory_resource &Memory);

} // namespace bulrush::query

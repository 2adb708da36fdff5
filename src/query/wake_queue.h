/// Queue of the wake-up times of queries, which share one timer.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <optional>
#include <queue>
#include <vector>

namespace bulrush::query {

/// Wake-up of one query.
struct wake {
  instant At;
  query_id Query;

  friend bool operator>(const wake &Left, const wake &Right) {
    return Left.At > Right.At;
  }
};

/// Min-heap of wake-ups. A query may have several entries; after removing one,
/// the caller must check whether it is still valid.
class wake_queue {
public:
  void push(wake Wake) { Heap.push(Wake); }

  /// Returns the earliest wake-up, or nothing if the queue is empty.
  std::optional<wake> front() const {
    if (Heap.empty())
      return std::nullopt;
    return Heap.top();
  }
  void pop() { Heap.pop(); }

  /// Returns the time of the earliest wake-up if it is before the time for
  /// which the shell's timer is set, and marks the timer as set for it.
  std::optional<instant> arm() {
    if (Heap.empty() || Heap.top().At >= TimerDueAt)
      return std::nullopt;
    TimerDueAt = Heap.top().At;
    return TimerDueAt;
  }

  /// The shell's timer fired; no timer is set.
  void disarm() { TimerDueAt = Never; }

private:
  std::priority_queue<wake, std::vector<wake>, std::greater<>> Heap;
  instant TimerDueAt = Never;
};

} // namespace bulrush::query

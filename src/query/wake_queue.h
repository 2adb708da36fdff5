/// The instants at which queries want to be looked at, behind one timer.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <optional>
#include <queue>
#include <vector>

namespace bulrush::query {

/// One query and its instant.
struct wake {
  instant At;
  query_id Query;

  friend bool operator>(const wake &Left, const wake &Right) {
    return Left.At > Right.At;
  }
};

/// A heap of wakes. A query may stand in it more than once: whoever takes a
/// wake out checks whether it still counts.
class wake_queue {
public:
  void push(wake Wake) { Heap.push(Wake); }

  /// The earliest wake, or nothing.
  std::optional<wake> front() const {
    if (Heap.empty())
      return std::nullopt;
    return Heap.top();
  }
  void pop() { Heap.pop(); }

  /// The instant for which the shell's timer must be set, when it has to be
  /// set anew.
  std::optional<instant> arm() {
    if (Heap.empty() || Heap.top().At >= ArmedAt)
      return std::nullopt;
    ArmedAt = Heap.top().At;
    return ArmedAt;
  }

  /// The shell's timer has fired.
  void disarm() { ArmedAt = Never; }

private:
  std::priority_queue<wake, std::vector<wake>, std::greater<>> Heap;
  instant ArmedAt = Never;
};

} // namespace bulrush::query

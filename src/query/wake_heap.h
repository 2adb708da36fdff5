/// Priority queue of wake-up times, at most one for each index.
#pragma once

#include "bulrushtray/clock.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace bulrush::query {

/// Indexed binary min-heap. `set` is O(log n), `earliest` is O(1).
class wake_heap {
public:
  explicit wake_heap(std::size_t Count) : Positions(Count, Absent) {}

  /// Sets or changes the wake-up time of `Index`; `Never` removes it.
  void set(std::uint32_t Index, instant At) {
    if (At == Never) {
      remove(Index);
      return;
    }
    if (Positions[Index] == Absent) {
      Positions[Index] = static_cast<std::uint32_t>(Heap.size());
      Heap.push_back({At, Index});
      siftUp(Positions[Index]);
      return;
    }
    const std::uint32_t Position = Positions[Index];
    Heap[Position].At = At;
    siftDown(siftUp(Position));
  }

  bool empty() const { return Heap.empty(); }
  instant earliest() const { return Heap.empty() ? Never : Heap.front().At; }
  std::uint32_t earliestIndex() const { return Heap.front().Index; }

private:
  struct node {
    instant At;
    std::uint32_t Index = 0;
  };
  static constexpr std::uint32_t Absent = 0xffffffff;

  void remove(std::uint32_t Index) {
    const std::uint32_t Position = Positions[Index];
    if (Position == Absent)
      return;
    const auto Last = static_cast<std::uint32_t>(Heap.size() - 1);
    swapNodes(Position, Last);
    Heap.pop_back();
    Positions[Index] = Absent;
    if (Position < Last)
      siftDown(siftUp(Position));
  }

  void swapNodes(std::uint32_t A, std::uint32_t B) {
    std::swap(Heap[A], Heap[B]);
    Positions[Heap[A].Index] = A;
    Positions[Heap[B].Index] = B;
  }

  std::uint32_t siftUp(std::uint32_t Position) {
    while (Position > 0) {
      const std::uint32_t Parent = (Position - 1) / 2;
      if (Heap[Parent].At <= Heap[Position].At)
        break;
      swapNodes(Parent, Position);
      Position = Parent;
    }
    return Position;
  }

  void siftDown(std::uint32_t Position) {
    for (;;) {
      std::uint32_t Smallest = Position;
      for (std::uint32_t Child = 2 * Position + 1;
           Child <= 2 * Position + 2 && Child < Heap.size(); ++Child)
        if (Heap[Child].At < Heap[Smallest].At)
          Smallest = Child;
      if (Smallest == Position)
        return;
      swapNodes(Position, Smallest);
      Position = Smallest;
    }
  }

  std::vector<node> Heap;
  std::vector<std::uint32_t> Positions;
};

} // namespace bulrush::query

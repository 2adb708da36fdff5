/// One wanted instant for each of many numbered things, with the earliest at
/// hand.
#pragma once

#include "bulrushtray/clock.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace bulrush::query {

/// Indexed binary heap. `set` is O(log n), `earliest` is O(1).
class wake_heap {
public:
  explicit wake_heap(std::size_t Count) : Places(Count, Absent) {}

  /// Wakes `Index` at `At`; `Never` removes it.
  void set(std::uint32_t Index, instant At) {
    if (At == Never) {
      remove(Index);
      return;
    }
    if (Places[Index] == Absent) {
      Places[Index] = static_cast<std::uint32_t>(Heap.size());
      Heap.push_back({At, Index});
      moveUp(Places[Index]);
      return;
    }
    const std::uint32_t Place = Places[Index];
    Heap[Place].At = At;
    moveDown(moveUp(Place));
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
    const std::uint32_t Place = Places[Index];
    if (Place == Absent)
      return;
    const auto Last = static_cast<std::uint32_t>(Heap.size() - 1);
    swapNodes(Place, Last);
    Heap.pop_back();
    Places[Index] = Absent;
    if (Place < Last)
      moveDown(moveUp(Place));
  }

  void swapNodes(std::uint32_t A, std::uint32_t B) {
    std::swap(Heap[A], Heap[B]);
    Places[Heap[A].Index] = A;
    Places[Heap[B].Index] = B;
  }

  std::uint32_t moveUp(std::uint32_t Place) {
    while (Place > 0) {
      const std::uint32_t Parent = (Place - 1) / 2;
      if (Heap[Parent].At <= Heap[Place].At)
        break;
      swapNodes(Parent, Place);
      Place = Parent;
    }
    return Place;
  }

  void moveDown(std::uint32_t Place) {
    for (;;) {
      std::uint32_t Least = Place;
      for (std::uint32_t Child = 2 * Place + 1;
           Child <= 2 * Place + 2 && Child < Heap.size(); ++Child)
        if (Heap[Child].At < Heap[Least].At)
          Least = Child;
      if (Least == Place)
        return;
      swapNodes(Place, Least);
      Place = Least;
    }
  }

  std::vector<node> Heap;
  std::vector<std::uint32_t> Places;
};

} // namespace bulrush::query

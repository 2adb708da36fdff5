#include "query/endpoint_queue.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace bulrush::query {

namespace {

/// Attempts ordered by `Key`, then by attempt id.
struct ordered_attempt {
  double Key = 0;
  attempt_id Attempt;

  auto operator<=>(const ordered_attempt &) const = default;
};
using attempt_set = std::pmr::set<ordered_attempt>;

/// Queued sub-requests of one traffic class.
struct class_queue {
  caller_id Caller;
  double Weight = 1;
  double VirtualStart = 0; ///< start tag of the next request
  attempt_set Waiting;     ///< ordered by deadline
};

/// Start-time fair queueing among classes, earliest deadline first within a
/// class. Operations are linear in the number of classes, which is the number
/// of intents that reach the endpoint.
class weighted_deadline_queue final : public endpoint_queue {
public:
  explicit weighted_deadline_queue(std::pmr::memory_resource &Memory)
      : Memory(Memory) {}

  void push(const queued_work &Work) override {
    class_queue &Class = findOrAddClass(Work);
    if (Class.Waiting.empty())
      Class.VirtualStart = std::max(Class.VirtualStart, VirtualTime);
    Class.Waiting.insert({Work.Deadline.Ms, Work.Attempt});
    ++Count;
  }

  void remove(const queued_work &Work) override {
    Count -=
        findOrAddClass(Work).Waiting.erase({Work.Deadline.Ms, Work.Attempt});
  }

  attempt_id pop() override {
    class_queue *Next = nullptr;
    for (class_queue &Class : Classes)
      if (!Class.Waiting.empty() &&
          (!Next || Class.VirtualStart < Next->VirtualStart))
        Next = &Class;
    assert(Next);
    VirtualTime = Next->VirtualStart;
    Next->VirtualStart += 1 / Next->Weight;
    const attempt_id Attempt = Next->Waiting.begin()->Attempt;
    Next->Waiting.erase(Next->Waiting.begin());
    --Count;
    return Attempt;
  }

  std::size_t size() const override { return Count; }

  double countAhead(const queued_work &Work) const override {
    const class_queue *Own = find(Work);
    const double Earlier = Own ? countEarlier(*Own, Work) : 0;
    const double OwnStart =
        Own && !Own->Waiting.empty() ? Own->VirtualStart : VirtualTime;
    const double WorkStart = OwnStart + Earlier / Work.Weight;
    double Sum = Earlier;
    for (const class_queue &Class : Classes) {
      if (&Class == Own || Class.Waiting.empty())
        continue;
      const double ServedBefore =
          (WorkStart - Class.VirtualStart) * Class.Weight + 1;
      Sum += std::clamp(ServedBefore, 0.0,
                        static_cast<double>(Class.Waiting.size()));
    }
    return Sum;
  }

  queued_work mostUrgent() const override {
    const class_queue *Earliest = nullptr;
    for (const class_queue &Class : Classes)
      if (!Class.Waiting.empty() &&
          (!Earliest ||
           Class.Waiting.begin()->Key < Earliest->Waiting.begin()->Key))
        Earliest = &Class;
    assert(Earliest);
    const ordered_attempt &First = *Earliest->Waiting.begin();
    return {First.Attempt, {First.Key}, Earliest->Caller, Earliest->Weight};
  }

private:
  const class_queue *find(const queued_work &Work) const {
    for (const class_queue &Class : Classes)
      if (Class.Caller == Work.Caller && Class.Weight == Work.Weight)
        return &Class;
    return nullptr;
  }

  class_queue &findOrAddClass(const queued_work &Work) {
    if (const class_queue *Found = find(Work))
      return const_cast<class_queue &>(*Found);
    eraseIdleClasses();
    Classes.push_back(
        {Work.Caller, Work.Weight, VirtualTime, attempt_set(&Memory)});
    return Classes.back();
  }

  /// Erases classes that are no longer used, for example after an operator
  /// changed a weight.
  void eraseIdleClasses() {
    std::erase_if(Classes, [this](const class_queue &Class) {
      return Class.Waiting.empty() && Class.VirtualStart <= VirtualTime;
    });
  }

  /// Counts the requests of `Class` with a deadline not after that of `Work`.
  /// Searches from both ends, because a new deadline is mostly the latest or
  /// the earliest.
  static double countEarlier(const class_queue &Class,
                             const queued_work &Work) {
    const auto &Waiting = Class.Waiting;
    std::size_t Earlier = 0;
    auto First = Waiting.begin();
    auto Last = Waiting.end();
    for (std::size_t Later = 0; First != Last; ++Later, ++Earlier, ++First) {
      if (First->Key > Work.Deadline.Ms)
        break;
      --Last;
      if (Last->Key <= Work.Deadline.Ms)
        return static_cast<double>(Waiting.size() - Later);
    }
    return static_cast<double>(Earlier);
  }

  std::pmr::memory_resource &Memory;
  std::vector<class_queue> Classes;
  double VirtualTime = 0;
  std::size_t Count = 0;
};

/// Serves all sub-requests in order of arrival.
class fifo_queue final : public endpoint_queue {
public:
  explicit fifo_queue(std::pmr::memory_resource &Memory)
      : ByArrival(&Memory), ByDeadline(&Memory) {}

  void push(const queued_work &Work) override {
    const arrival Arrival{++Arrivals, Work};
    ByArrival.insert({static_cast<double>(Arrivals), Work.Attempt});
    ByDeadline.insert(Arrival);
  }

  void remove(const queued_work &Work) override {
    const auto Found = std::find_if(
        ByDeadline.begin(), ByDeadline.end(), [&](const arrival &Arrival) {
          return Arrival.Work.Attempt == Work.Attempt;
        });
    if (Found == ByDeadline.end())
      return;
    ByArrival.erase({static_cast<double>(Found->Number), Work.Attempt});
    ByDeadline.erase(Found);
  }

  attempt_id pop() override {
    assert(!ByArrival.empty());
    const attempt_id Attempt = ByArrival.begin()->Attempt;
    remove({Attempt, {}, {}, 0});
    return Attempt;
  }

  std::size_t size() const override { return ByArrival.size(); }

  double countAhead(const queued_work &) const override {
    return static_cast<double>(ByArrival.size());
  }

  queued_work mostUrgent() const override { return ByDeadline.begin()->Work; }

private:
  struct arrival {
    std::uint64_t Number = 0;
    queued_work Work;
  };
  struct earlier_deadline {
    bool operator()(const arrival &A, const arrival &B) const {
      if (A.Work.Deadline != B.Work.Deadline)
        return A.Work.Deadline < B.Work.Deadline;
      return A.Number < B.Number;
    }
  };

  attempt_set ByArrival;
  std::pmr::set<arrival, earlier_deadline> ByDeadline;
  std::uint64_t Arrivals = 0;
};

} // namespace

std::unique_ptr<endpoint_queue> makeQueue(admission_policy Policy,
                                          std::pmr::memory_resource &Memory) {
  if (Policy == admission_policy::fifo)
    return std::make_unique<fifo_queue>(Memory);
  return std::make_unique<weighted_deadline_queue>(Memory);
}

} // namespace bulrush::query

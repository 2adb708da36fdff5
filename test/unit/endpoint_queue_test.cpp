#include "query/endpoint_queue.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;

namespace {

queued_work makeWork(std::uint64_t Attempt, double Deadline, double Weight = 1,
                     std::uint16_t Caller = 0) {
  return {{Attempt}, {Deadline}, {Caller}, Weight};
}

std::unique_ptr<endpoint_queue> makeWeightedQueue(
    std::pmr::memory_resource &Memory = *std::pmr::get_default_resource()) {
  return makeQueue(admission_policy::weighted_deadline, Memory);
}

} // namespace

TEST_CASE("within a class the earliest deadline is served first",
          "[owner][queue]") {
  const auto Queue = makeWeightedQueue();
  Queue->push(makeWork(1, 30));
  Queue->push(makeWork(2, 10));
  Queue->push(makeWork(3, 20));
  CHECK(Queue->mostUrgent().Attempt == attempt_id{2});
  CHECK(Queue->countAhead(makeWork(4, 25)) == 2);
  Queue->remove(makeWork(2, 10));
  CHECK(Queue->pop() == attempt_id{3});
  CHECK(Queue->pop() == attempt_id{1});
  CHECK(Queue->size() == 0);
}

TEST_CASE("classes share capacity by weight, regardless of queue lengths",
          "[owner][queue]") {
  const auto Queue = makeWeightedQueue();
  for (std::uint64_t I = 0; I < 1000; ++I)
    Queue->push(makeWork(I, 10, 1, 1));
  for (std::uint64_t I = 1000; I < 1100; ++I)
    Queue->push(makeWork(I, 99, 4, 2));
  int Heavy = 0;
  for (int I = 0; I < 100; ++I)
    Heavy += Queue->pop().Value >= 1000 ? 1 : 0;
  CHECK(Heavy == 80);
}

TEST_CASE("an idle class accumulates no credit", "[owner][queue]") {
  const auto Queue = makeWeightedQueue();
  for (std::uint64_t I = 0; I < 1000; ++I)
    Queue->push(makeWork(I, 10, 1, 1));
  for (int I = 0; I < 500; ++I)
    Queue->pop();
  for (std::uint64_t I = 1000; I < 1100; ++I)
    Queue->push(makeWork(I, 10, 1, 2));
  int Newcomers = 0;
  for (int I = 0; I < 100; ++I)
    Newcomers += Queue->pop().Value >= 1000 ? 1 : 0;
  CHECK(Newcomers == 50);
}

TEST_CASE("the baseline serves in order of arrival", "[owner][queue]") {
  const auto Queue =
      makeQueue(admission_policy::fifo, *std::pmr::get_default_resource());
  Queue->push(makeWork(1, 30, 1));
  Queue->push(makeWork(2, 10, 9));
  Queue->push(makeWork(3, 20, 5));
  CHECK(Queue->mostUrgent().Attempt == attempt_id{2});
  Queue->remove(makeWork(2, 10, 9));
  CHECK(Queue->pop() == attempt_id{1});
  CHECK(Queue->pop() == attempt_id{3});
}

/// Runs stateful fuzz tests.
#pragma once

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <sstream>

namespace bulrush::test {

inline constexpr std::uint64_t DefaultSeed = 20261203;

/// Checks a property with a fixed seed, unless RC_PARAMS sets other parameters,
/// as in `RC_PARAMS="seed=7 max_success=1000"`.
template <class Property>
void checkProperty(const char *Name, int Runs, int Size, Property &&Check,
                   std::uint64_t Seed = DefaultSeed) {
  rc::detail::TestParams Params = rc::detail::configuration().testParams;
  if (!std::getenv("RC_PARAMS")) {
    Params.seed = Seed;
    Params.maxSuccess = Runs;
    Params.maxSize = Size;
  }
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      Check, rc::detail::TestMetadata{Name, Name}, Params);
  std::ostringstream Message;
  rc::detail::printResultMessage(Result, Message);
  INFO("RC_PARAMS=\"seed=" << Params.seed
                           << " max_success=" << Params.maxSuccess
                           << " max_size=" << Params.maxSize << "\"\n"
                           << Message.str());
  CHECK(Result.is<rc::detail::SuccessResult>());
}

} // namespace bulrush::test

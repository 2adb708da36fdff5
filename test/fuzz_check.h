/// Runs a property with a fixed seed. RC_PARAMS, as in `RC_PARAMS="seed=7
/// max_success=1000"`, takes precedence.
#pragma once

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <sstream>

namespace bulrush::test {

template <class Property>
void checkSeeded(std::uint64_t Seed, int Runs, int Size, Property Check) {
  rc::detail::TestParams Params = rc::detail::configuration().testParams;
  if (!std::getenv("RC_PARAMS")) {
    Params.seed = Seed;
    Params.maxSuccess = Runs;
    Params.maxSize = Size;
  }
  const auto Result = rc::detail::checkTestable(
      std::move(Check), rc::detail::TestMetadata{}, Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  INFO("RC_PARAMS=\"seed=" << Params.seed
                           << " max_success=" << Params.maxSuccess
                           << " max_size=" << Params.maxSize << "\"\n"
                           << Text.str());
  CHECK(Result.template is<rc::detail::SuccessResult>());
}

} // namespace bulrush::test

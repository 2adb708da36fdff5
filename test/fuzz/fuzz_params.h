/// How a stateful fuzz test is run.
#pragma once

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <sstream>

namespace bulrush::test {

/// Checks `Property` with a fixed seed, unless RC_PARAMS asks for another run.
template <class Property>
void checkProperty(const char *Name, int Runs, int Size, Property &&Check) {
  rc::detail::TestParams Params = rc::detail::configuration().testParams;
  if (!std::getenv("RC_PARAMS")) {
    Params.seed = 20261203;
    Params.maxSuccess = Runs;
    Params.maxSize = Size;
  }
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      Check, rc::detail::TestMetadata{Name, Name}, Params);
  std::ostringstream Message;
  rc::detail::printResultMessage(Result, Message);
  INFO(Message.str());
  CHECK(Result.is<rc::detail::SuccessResult>());
}

} // namespace bulrush::test

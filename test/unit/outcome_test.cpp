#include "bulrushtray/outcome.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace bulrush;

TEST_CASE("each refusal reason has its own name") {
  std::set<std::string> Names;
  for (std::size_t I = 0; I < RefusalCount; ++I)
    Names.emplace(toString(static_cast<refusal>(I)));
  CHECK(Names.size() == RefusalCount);
  CHECK(toString(refusal::no_quorum) == "no_quorum");
}

TEST_CASE("each retry reason has its own name") {
  std::set<std::string> Names;
  for (std::size_t I = 0; I < RetryReasonCount; ++I)
    Names.emplace(toString(static_cast<retry_reason>(I)));
  CHECK(Names.size() == RetryReasonCount);
}

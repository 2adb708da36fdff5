/// What the load tool sends, where to and for how long.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/world.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::bench {

/// Requests of one kind from one class of callers.
struct load_class {
  std::string Name; ///< in the report
  std::string ApiKey;
  std::string Pool;
  std::string Kind; ///< the last part of the path
  double Rate = 0;  ///< mean arrivals a second
  double Weight = 1;
  percent MinCoverage; ///< an answer below it is wrong
  bool IsCommand = false;
  std::uint32_t Resends = 0; ///< of a command whose outcome is unknown
  double ResendAnswered = 0; ///< share of answered commands sent once more
};

struct load_settings {
  std::vector<address> Entries;
  address Admin;     ///< of the stand-ins, which know every shard map
  millis ClientLink; ///< one way between callers and entry VMs
  millis Warmup;     ///< sent and verified, but not in the figures
  millis Duration;
  millis Timeout{5000};  ///< a caller's patience
  millis PollEvery{200}; ///< the balancer's look at /readyz
  std::uint64_t Seed = 1;
  std::string Run; ///< makes tokens and keys of this run unique
  std::vector<load_class> Classes;
};

/// Parses JSON with comments; `File` names the text in errors.
expected<load_settings> parseLoadSettings(std::string_view Text,
                                          const std::string &File);

} // namespace bulrush::bench

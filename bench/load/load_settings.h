/// Settings of the load tool: targets, duration and classes of requests.
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

/// A class of requests: one intent or command sent by one caller.
struct load_class {
  std::string Name; ///< name of the class in the report
  std::string ApiKey;
  std::string Pool;
  std::string Kind;    ///< last segment of the request path
  double Rate = 0;     ///< mean arrival rate, in requests per second
  double Weight = 1;   ///< weight of a request in the series of entry daemons
  percent MinCoverage; ///< minimum coverage; lower counts as a wrong answer
  bool IsCommand = false;
  std::uint32_t Resends = 0; ///< most resends of a command of unknown outcome
  double ResendAnswered = 0; ///< share of answered commands that are sent again
};

struct load_settings {
  std::vector<address> Entries;
  address Admin;     ///< admin address of the stand-in endpoints, used to
                     ///< verify reported shard totals
  millis ClientLink; ///< one-way delay between callers and entry VMs; added
                     ///< twice to each latency
  millis Warmup;     ///< requests are sent and verified, but not measured
  millis Duration;
  millis Timeout{5000};     ///< client timeout of a request
  millis PollInterval{200}; ///< interval of the balancer's polls of /readyz
  std::uint64_t Seed = 1;
  std::string Run; ///< part of tokens, request ids and keys that makes them
                   ///< unique to this run
  std::vector<load_class> Classes;
};

/// Parses JSON with comments. `File` is the file name used in error messages.
expected<load_settings> parseLoadSettings(std::string_view Text,
                                          const std::string &File);

} // namespace bulrush::bench

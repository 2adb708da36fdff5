/// Which endpoints there are, as the platform's list names them.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/world.h"
#include "relay/catalog.h"

#include <string>
#include <vector>

namespace bulrush::relay {

/// One life of an endpoint. An address is used again by others, and an id may
/// start anew with a later `Born`.
struct endpoint_identity {
  std::string Instance;
  std::uint64_t StartTimeMs = 0; ///< its start, Unix ms; 0 when unknown

  auto operator<=>(const endpoint_identity &) const = default;
};

struct listed_endpoint {
  endpoint_identity Identity;
  service_name Service;
  address Address;
  std::string Zone;
  std::uint32_t Slots = 1; ///< requests it runs at the same time
  bool IsLeaving = false;
  millis ColdFor; ///< how much longer it is cold, when the list was read

  bool operator==(const listed_endpoint &) const = default;
};

/// Orders directories: a later leader's, or a later one of the same leader.
struct directory_version {
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;

  auto operator<=>(const directory_version &) const = default;
};

struct directory {
  directory_version Version;
  std::vector<listed_endpoint> Endpoints;
};

} // namespace bulrush::relay

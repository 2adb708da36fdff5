/// The directory: all endpoints that the platform lists.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/world.h"
#include "relay/catalog.h"

#include <string>
#include <vector>

namespace bulrush::relay {

/// Identifies one run of an endpoint. Addresses are reused by other instances,
/// and an instance id may start again with a later `StartTimeMs`.
struct endpoint_identity {
  std::string Instance;
  std::uint64_t StartTimeMs = 0; ///< Unix time in ms; 0: unknown

  auto operator<=>(const endpoint_identity &) const = default;
};

/// Version of the software of an endpoint; empty: not known.
using software_version = string_id<struct software_version_tag>;

/// An endpoint as the platform lists it.
struct listed_endpoint {
  endpoint_identity Identity;
  service_name Service;
  address Address;
  std::string Zone;
  std::uint32_t Slots = 1; ///< requests it runs in parallel
  bool IsLeaving = false;
  millis ColdFor; ///< remaining cold time when the list was read
  software_version Version = {};

  bool operator==(const listed_endpoint &) const = default;
};

/// Version of a directory: ordered by the term of the registry leader, then
/// by a sequence number within the term.
struct directory_version {
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;

  auto operator<=>(const directory_version &) const = default;
};

struct directory {
  directory_version Version;
  std::vector<listed_endpoint> Endpoints;
  /// On the clock of the registry that read the list: when it began. The cold
  /// times of the endpoints are counted from then.
  instant ReadAt;
};

} // namespace bulrush::relay

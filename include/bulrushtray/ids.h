/// Strong types for ids and counts. Two ids of different kinds do not mix.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace bulrush {

/// A number that names something of kind `Tag`. Example: `vm_id{3}`.
template <class Tag, class Rep = std::uint32_t> struct numeric_id {
  Rep Value = 0;

  constexpr auto operator<=>(const numeric_id &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, numeric_id Id) {
    return Out << +Id.Value;
  }
};

/// A text that names something of kind `Tag`. Example: `operator_id{"anna"}`.
template <class Tag> struct string_id {
  std::string Value;

  auto operator<=>(const string_id &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, const string_id &Id) {
    return Out << Id.Value;
  }
};

/// A machine of the system, numbered in the settings.
using vm_id = numeric_id<struct vm_tag>;
/// A data centre, numbered by its place in the settings.
using zone_id = numeric_id<struct zone_tag, std::uint16_t>;
/// A back end, numbered by its place in the settings.
using endpoint_id = numeric_id<struct endpoint_tag>;
/// A set of endpoints that serve the same shards.
using pool_id = numeric_id<struct pool_tag, std::uint16_t>;
/// A class of callers, such as a driver app.
using caller_id = numeric_id<struct caller_tag, std::uint16_t>;
/// A shard's place in the shard map of one snapshot.
using shard_id = numeric_id<struct shard_tag>;
/// A version of the index. A later snapshot has the larger number.
using snapshot_id = numeric_id<struct snapshot_tag, std::uint64_t>;
/// A query in one entry daemon; unique in one life of the process.
using query_id = numeric_id<struct query_tag, std::uint64_t>;
/// A sub-request in one entry daemon; unique in one life of the process.
using sub_id = numeric_id<struct sub_tag, std::uint64_t>;
/// One life of a process: larger after each start, drawn by the shell.
using incarnation_id = numeric_id<struct incarnation_tag, std::uint64_t>;
/// The state of the accepted configuration; goes up by one with each change.
using revision = numeric_id<struct revision_tag, std::uint64_t>;
/// A term of the replicated log.
using term_id = numeric_id<struct term_tag, std::uint64_t>;
/// A place in the replicated log; the first entry has index 1.
using log_index = numeric_id<struct log_tag, std::uint64_t>;

/// An intent, named by its operator.
using intent_name = string_id<struct intent_tag>;
/// An operator.
using operator_id = string_id<struct operator_tag>;
/// A command of one operator; a resend carries the same id.
using command_id = string_id<struct command_tag>;
/// The key that makes a non-idempotent command recognisable when it is sent
/// again.
using idempotency_key = string_id<struct idempotency_tag>;

/// A share from 0 to 100 in units of one hundredth.
struct percent {
  double Value = 0;

  constexpr auto operator<=>(const percent &) const = default;
  constexpr double share() const { return Value / 100.0; }
};

} // namespace bulrush

template <class Tag, class Rep>
struct std::hash<bulrush::numeric_id<Tag, Rep>> {
  std::size_t operator()(bulrush::numeric_id<Tag, Rep> Id) const noexcept {
    return std::hash<Rep>{}(Id.Value);
  }
};

template <class Tag> struct std::hash<bulrush::string_id<Tag>> {
  std::size_t operator()(const bulrush::string_id<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.Value);
  }
};

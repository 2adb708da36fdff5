/// Strongly typed ids. Ids of different kinds do not convert to each other.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace bulrush {

/// A numeric id of the kind `Tag`. Example: `vm_id{3}`.
template <class Tag, class Rep = std::uint32_t> struct numeric_id {
  Rep Value = 0;

  constexpr auto operator<=>(const numeric_id &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, numeric_id Id) {
    return Out << +Id.Value;
  }
};

/// A string id of the kind `Tag`. Example: `operator_id{"anna"}`.
template <class Tag> struct string_id {
  std::string Value;

  auto operator<=>(const string_id &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, const string_id &Id) {
    return Out << Id.Value;
  }
};

/// A machine that runs daemons; its number is set in the settings.
using vm_id = numeric_id<struct vm_tag>;
/// A data centre; its index in the settings.
using zone_id = numeric_id<struct zone_tag, std::uint16_t>;
/// A back end; its index in the settings.
using endpoint_id = numeric_id<struct endpoint_tag>;
/// A group of endpoints that together serve the same set of shards.
using pool_id = numeric_id<struct pool_tag, std::uint16_t>;
/// A client account, such as a driver app.
using caller_id = numeric_id<struct caller_tag, std::uint16_t>;
/// A shard; its index in the shard map of one snapshot.
using shard_id = numeric_id<struct shard_tag>;
/// A version of the index; later versions have larger numbers.
using snapshot_id = numeric_id<struct snapshot_tag, std::uint64_t>;
/// A query of one daemon; unique until the daemon restarts.
using query_id = numeric_id<struct query_tag, std::uint64_t>;
/// A sub-request of one entry daemon; unique until the daemon restarts.
using sub_id = numeric_id<struct sub_tag, std::uint64_t>;
/// One run of a process, from start to exit. The shell sets it to a larger
/// number at each start.
using incarnation_id = numeric_id<struct incarnation_tag, std::uint64_t>;
/// A revision of the accepted configuration; incremented by one with each
/// change.
using revision = numeric_id<struct revision_tag, std::uint64_t>;
/// A term of the replicated log.
using term_id = numeric_id<struct term_tag, std::uint64_t>;
/// An index in the replicated log; the first entry has index 1.
using log_index = numeric_id<struct log_tag, std::uint64_t>;

/// The name that an operator gave to an intent.
using intent_name = string_id<struct intent_tag>;
/// The account name of an operator.
using operator_id = string_id<struct operator_tag>;
/// A command, unique per operator; a resend carries the same id.
using command_id = string_id<struct command_tag>;
/// Key chosen by the caller that identifies a non-idempotent command when it is
/// resent.
using idempotency_key = string_id<struct idempotency_tag>;

/// A percentage from 0 to 100.
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

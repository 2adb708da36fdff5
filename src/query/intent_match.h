/// Finds the intent of a request from what the request shows.
#pragma once

#include "bulrushtray/world.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace bulrush::query {

/// Numbers the intents that latency and budgets are kept for.
using intent_class = numeric_id<struct intent_class_tag, std::uint16_t>;

/// An intent as a query keeps it, also after operators have changed it.
struct matched_intent {
  intent Intent;
  intent_class Class;
};
using shared_intent = std::shared_ptr<const matched_intent>;

/// The confirmed intents, most specific first: one that names the caller class
/// goes before one that matches all, then the longer prefix wins, then the
/// lesser name.
class intent_match {
public:
  explicit intent_match(const std::vector<caller> &Callers);

  /// Replaces all intents. An intent of the same name keeps its class.
  void assign(const std::vector<intent> &Intents);

  /// The intent of a request, or null when none matches.
  shared_intent find(caller_id Caller, std::string_view Kind) const;

private:
  void freeClasses(const std::vector<intent> &Intents);
  intent_class classOf(const intent_name &Name);

  std::vector<std::string> CallerNames; ///< at the place of their number
  std::vector<shared_intent> Sorted;
  std::vector<intent_name> ClassNames; ///< at the place of their class
};

} // namespace bulrush::query

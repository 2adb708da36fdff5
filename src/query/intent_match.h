/// Matches requests to intents.
#pragma once

#include "bulrushtray/world.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace bulrush::query {

/// Identifies an intent in the latency statistics, retry budgets and throttles.
using intent_class = numeric_id<struct intent_class_tag, std::uint16_t>;

/// An immutable copy of an intent. A query keeps it even if operators change
/// the intent meanwhile.
struct matched_intent {
  intent Intent;
  intent_class Class;
};
using shared_intent = std::shared_ptr<const matched_intent>;

/// The confirmed intents in order of precedence: an intent for one caller
/// precedes an intent for all callers, then the longer path prefix takes
/// precedence, then the lexicographically smaller name.
class intent_matcher {
public:
  explicit intent_matcher(const std::vector<caller> &Callers);

  /// Replaces all intents. An intent that keeps its name keeps its class.
  void assign(const std::vector<intent> &Intents);

  /// Returns the intent of a request, or null if none matches.
  shared_intent find(caller_id Caller, std::string_view Kind) const;

private:
  void releaseUnusedClasses(const std::vector<intent> &Intents);
  intent_class assignClass(const intent_name &Name);

  std::vector<std::string> CallerNames; ///< indexed by caller id
  std::vector<shared_intent> SortedIntents;
  std::vector<intent_name> ClassNames; ///< indexed by class
};

} // namespace bulrush::query

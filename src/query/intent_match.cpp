#include "query/intent_match.h"

#include <algorithm>
#include <tuple>

namespace bulrush::query {

namespace {

/// Maximum number of classes, which bounds memory. Further intents share the
/// last class.
constexpr std::size_t MaxClasses = 64;

bool precedes(const shared_intent &Left, const shared_intent &Right) {
  const auto Rank = [](const intent &Intent) {
    const auto Length = static_cast<std::ptrdiff_t>(Intent.PathPrefix.size());
    return std::make_tuple(Intent.Caller.empty(), -Length);
  };
  const auto LeftRank = Rank(Left->Intent);
  const auto RightRank = Rank(Right->Intent);
  if (LeftRank != RightRank)
    return LeftRank < RightRank;
  return Left->Intent.Name < Right->Intent.Name;
}

} // namespace

intent_matcher::intent_matcher(const std::vector<caller> &Callers) {
  for (const caller &Caller : Callers) {
    if (CallerNames.size() <= Caller.Id.Value)
      CallerNames.resize(Caller.Id.Value + 1);
    CallerNames[Caller.Id.Value] = Caller.Name;
  }
}

void intent_matcher::assign(const std::vector<intent> &Intents) {
  releaseUnusedClasses(Intents);
  SortedIntents.clear();
  for (const intent &Intent : Intents)
    SortedIntents.push_back(std::make_shared<matched_intent>(
        matched_intent{Intent, assignClass(Intent.Name)}));
  std::sort(SortedIntents.begin(), SortedIntents.end(), precedes);
}

void intent_matcher::releaseUnusedClasses(const std::vector<intent> &Intents) {
  for (intent_name &Name : ClassNames) {
    const auto HasName = [&](const intent &Intent) {
      return Intent.Name == Name;
    };
    if (std::none_of(Intents.begin(), Intents.end(), HasName))
      Name = {};
  }
}

intent_class intent_matcher::assignClass(const intent_name &Name) {
  auto Found = std::find(ClassNames.begin(), ClassNames.end(), Name);
  if (Found == ClassNames.end())
    Found = std::find(ClassNames.begin(), ClassNames.end(), intent_name{});
  const std::size_t Index = Found - ClassNames.begin();
  if (Index >= MaxClasses)
    return {MaxClasses - 1};
  if (Found == ClassNames.end())
    ClassNames.push_back(Name);
  ClassNames[Index] = Name;
  return {static_cast<std::uint16_t>(Index)};
}

shared_intent intent_matcher::find(caller_id Caller,
                                   std::string_view Kind) const {
  if (Caller.Value >= CallerNames.size())
    return nullptr;
  const std::string &Name = CallerNames[Caller.Value];
  const auto Matches = [&](const shared_intent &Candidate) {
    const intent &Intent = Candidate->Intent;
    return (Intent.Caller.empty() || Intent.Caller == Name) &&
           Kind.starts_with(Intent.PathPrefix);
  };
  const auto Found =
      std::find_if(SortedIntents.begin(), SortedIntents.end(), Matches);
  return Found == SortedIntents.end() ? nullptr : *Found;
}

} // namespace bulrush::query

#include "query/replica_choice.h"

#include <algorithm>

namespace bulrush::query {

namespace {

bool isOneOf(const std::vector<endpoint_id> &Ids, endpoint_id Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

replica_selector::replica_selector(const endpoint_table &Endpoints,
                                   const replica_settings &Settings,
                                   std::uint64_t Seed)
    : Endpoints(Endpoints), Settings(Settings),
      Random(static_cast<std::minstd_rand::result_type>(Seed)) {}

double replica_selector::drawUniform() {
  constexpr double Span = std::minstd_rand::max() - std::minstd_rand::min();
  return (Random() - std::minstd_rand::min()) / (Span + 1);
}

std::optional<endpoint_id>
replica_selector::choose(const std::vector<endpoint_id> &Holders,
                         const std::vector<endpoint_id> &Tried) {
  collect(Holders, Tried, selection_tier::cold);
  for (const endpoint_id Id : Candidates)
    if (shouldWarmUp(Endpoints[Id]))
      return Id;
  for (const selection_tier Tier :
       {selection_tier::warm, selection_tier::cold, selection_tier::shedding}) {
    collect(Holders, Tried, Tier);
    if (!Candidates.empty())
      return pickBetter();
  }
  return std::nullopt;
}

std::optional<endpoint_id>
replica_selector::chooseWarm(const std::vector<endpoint_id> &Holders,
                             const std::vector<endpoint_id> &Tried) {
  collect(Holders, Tried, selection_tier::warm);
  if (Candidates.empty())
    return std::nullopt;
  return pickBetter();
}

replica_selector::selection_tier
replica_selector::tierOf(const endpoint_view &View) {
  if (!View.usable())
    return selection_tier::none;
  if (View.Condition == endpoint_condition::warm)
    return selection_tier::warm;
  if (View.Condition == endpoint_condition::shedding)
    return selection_tier::shedding;
  return selection_tier::cold;
}

/// Returns whether to send an attempt to a cold endpoint so that it warms up.
/// The probability grows with the share of its slots that its limit allows; an
/// endpoint at its limit gets none.
bool replica_selector::shouldWarmUp(const endpoint_view &View) {
  if (View.Outstanding >= std::max(View.Limit, 1U))
    return false;
  const double AllowedShare = static_cast<double>(View.Limit) / View.Slots;
  return drawUniform() < std::max(Settings.ColdShare, AllowedShare / 2);
}

void replica_selector::collect(const std::vector<endpoint_id> &Holders,
                               const std::vector<endpoint_id> &Tried,
                               selection_tier WantedTier) {
  Candidates.clear();
  for (const endpoint_id Id : Holders)
    if (tierOf(Endpoints[Id]) == WantedTier && !isOneOf(Tried, Id))
      Candidates.push_back(Id);
}

endpoint_id replica_selector::pickBetter() {
  const std::size_t Count = Candidates.size();
  if (Count == 1)
    return Candidates[0];
  const std::size_t First = Random() % Count;
  const std::size_t Second = (First + 1 + Random() % (Count - 1)) % Count;
  if (drawUniform() < Settings.ExploreShare)
    return Candidates[First];
  const bool FirstIsBetter =
      score(Candidates[First]) <= score(Candidates[Second]);
  return Candidates[FirstIsBetter ? First : Second];
}

/// Returns the expected duration in ms of one more attempt at an endpoint.
double replica_selector::score(endpoint_id Id) const {
  const endpoint_view &View = Endpoints[Id];
  const double InFlight = View.Queued + View.Outstanding;
  return View.LatencyMs * (1 + InFlight / std::max(View.Limit, 1U));
}

} // namespace bulrush::query

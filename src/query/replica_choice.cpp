#include "query/replica_choice.h"

#include <algorithm>

namespace bulrush::query {

namespace {

bool isOneOf(const std::vector<endpoint_id> &Ids, endpoint_id Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

replica_choice::replica_choice(const endpoint_table &Endpoints,
                               const replica_settings &Settings,
                               std::uint64_t Seed)
    : Endpoints(Endpoints), Settings(Settings),
      Random(static_cast<std::minstd_rand::result_type>(Seed)) {}

double replica_choice::draw() {
  constexpr double Span = std::minstd_rand::max() - std::minstd_rand::min();
  return (Random() - std::minstd_rand::min()) / (Span + 1);
}

std::optional<endpoint_id>
replica_choice::choose(const std::vector<endpoint_id> &Holders,
                       const std::vector<endpoint_id> &Tried) {
  collect(Holders, Tried, tier::cold);
  for (const endpoint_id Id : Candidates)
    if (takesPart(Endpoints[Id]))
      return Id;
  for (const tier Tier : {tier::warm, tier::cold, tier::shedding}) {
    collect(Holders, Tried, Tier);
    if (!Candidates.empty())
      return better();
  }
  return std::nullopt;
}

std::optional<endpoint_id>
replica_choice::chooseWarm(const std::vector<endpoint_id> &Holders,
                           const std::vector<endpoint_id> &Tried) {
  collect(Holders, Tried, tier::warm);
  if (Candidates.empty())
    return std::nullopt;
  return better();
}

replica_choice::tier replica_choice::tierOf(const endpoint_view &View) {
  if (!View.usable())
    return tier::none;
  if (View.Condition == endpoint_condition::warm)
    return tier::warm;
  if (View.Condition == endpoint_condition::shedding)
    return tier::shedding;
  return tier::cold;
}

/// Whether a cold endpoint with room gets an attempt so that it can warm up.
bool replica_choice::takesPart(const endpoint_view &View) {
  if (View.Outstanding >= std::max(View.Limit, 1U))
    return false;
  const double Open = static_cast<double>(View.Limit) / View.Slots;
  return draw() < std::max(Settings.ColdShare, Open / 2);
}

void replica_choice::collect(const std::vector<endpoint_id> &Holders,
                             const std::vector<endpoint_id> &Tried,
                             tier Wanted) {
  Candidates.clear();
  for (const endpoint_id Id : Holders)
    if (tierOf(Endpoints[Id]) == Wanted && !isOneOf(Tried, Id))
      Candidates.push_back(Id);
}

endpoint_id replica_choice::better() {
  const std::size_t Count = Candidates.size();
  if (Count == 1)
    return Candidates[0];
  const std::size_t First = Random() % Count;
  const std::size_t Second = (First + 1 + Random() % (Count - 1)) % Count;
  if (draw() < Settings.ExploreShare)
    return Candidates[First];
  const bool FirstIsBetter =
      score(Candidates[First]) <= score(Candidates[Second]);
  return Candidates[FirstIsBetter ? First : Second];
}

/// The time that one more attempt is expected to take.
double replica_choice::score(endpoint_id Id) const {
  const endpoint_view &View = Endpoints[Id];
  const double Ahead = View.Queued + View.Outstanding;
  return View.LatencyMs * (1 + Ahead / std::max(View.Limit, 1U));
}

} // namespace bulrush::query

#include "relay/version_split.h"

#include <algorithm>
#include <random>
#include <utility>

namespace bulrush::relay {

namespace {

/// First attempts beyond the share that all relays together send to the target
/// of a rollout because no endpoint of the old version can take requests. A
/// part of the slack of 50 that the exposure of a bad version has; the
/// controller uses at most 25 of it.
constexpr double ReplacementSlack = 15;

bool contains(const std::vector<software_version> &Versions,
              const software_version &Version) {
  return std::find(Versions.begin(), Versions.end(), Version) != Versions.end();
}

} // namespace

version_split::version_split(version_policy Given, std::uint64_t Seed)
    : Policy(std::move(Given)), Seed(Seed), Credit(drawStart()) {}

void version_split::setPolicy(version_policy New) {
  const bool IsOtherRollout = New.Rollout != Policy.Rollout;
  Policy = std::move(New);
  if (IsOtherRollout)
    Credit = drawStart();
}

/// A start of the credit from 0 to below 1: differs between relays, services
/// and rollouts.
double version_split::drawStart() const {
  const auto Service = std::hash<service_name>{}(Policy.Service);
  std::vector<std::uint32_t> Words;
  for (const std::uint64_t Each :
       {Seed, Policy.Rollout.Value, std::uint64_t{Service}}) {
    Words.push_back(static_cast<std::uint32_t>(Each));
    Words.push_back(static_cast<std::uint32_t>(Each >> 32));
  }
  std::seed_seq Mixed(Words.begin(), Words.end());
  std::mt19937 Random(Mixed);
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

version_role version_split::roleOf(const software_version &Version) const {
  const bool IsTarget = Version == Policy.Target;
  switch (Policy.State) {
  case rollout_state::in_progress:
    if (IsTarget)
      return version_role::target;
    break;
  case rollout_state::complete:
    if (IsTarget)
      return version_role::current;
    return contains(Policy.Barred, Version) ? version_role::barred
                                            : version_role::unordered;
  case rollout_state::rolled_back:
    if (IsTarget)
      return version_role::barred;
    break;
  case rollout_state::none:
    break;
  }
  if (contains(Policy.Barred, Version))
    return version_role::barred;
  const bool IsCurrent =
      Policy.Established.Value.empty() || Version == Policy.Established;
  return IsCurrent ? version_role::current : version_role::unordered;
}

double version_split::share(bool IsInTouch) const {
  return isInProgress() && IsInTouch ? std::clamp(Policy.Share, 0.0, 1.0) : 0;
}

/// The versions in use apart from the target.
role_set version_split::oldRoles() const {
  return Listed.contains(version_role::current)
             ? role_set{version_role::current}
             : role_set{version_role::unordered};
}

version_choice version_split::choose(bool IsFirstAttempt,
                                     bool IsInTouch) const {
  const role_set Old = oldRoles();
  const role_set Target{version_role::target};
  if (!isInProgress() || !Listed.meets(Target))
    return {Old, {}, false};
  if (!Listed.meets(Old))
    return {Target, {}, false};
  const double Share = share(IsInTouch);
  if (Share >= 1)
    return {Target, Old, true};
  if (IsFirstAttempt && isTargetDue(Share))
    return {Target, Old, false};
  if (IsFirstAttempt && mayReplaceOld(Share))
    return {Old, Target, true};
  return {Old, {}, false};
}

/// Whether the target may get a first attempt that the old version cannot take,
/// although none is due. Such an attempt is taken from the credit, so that only
/// `ReplacementSlack` adds to the exposure.
bool version_split::mayReplaceOld(double Share) const {
  return Share > 0 && Credit + Share + ReplacementSlack / RelayCount >= 1;
}

/// An attempt that was due but that no endpoint of the target accepted is not
/// made up for: a burst of them would reach the target once it accepts.
void version_split::onFirstAttempt(version_role To, bool IsInTouch) {
  const double Share = share(IsInTouch);
  const bool IsSplit = isInProgress() && Share < 1 && Listed.meets(oldRoles());
  if (!IsSplit)
    return;
  const bool IsSpent = To == version_role::target || isTargetDue(Share);
  Credit += Share - (IsSpent ? 1 : 0);
}

role_set version_split::used() const {
  const role_set Old = oldRoles();
  const role_set Target{version_role::target};
  if (!isInProgress())
    return Old;
  if (!Listed.meets(Old))
    return Target;
  return Policy.Share > 0 ? Old.with(Target) : Old;
}

} // namespace bulrush::relay

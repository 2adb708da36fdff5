#include "fleet/rollout_manager.h"

#include <algorithm>
#include <utility>

namespace bulrush::fleet {

namespace {

using relay::rollout_state;

/// Bounds of the margin between the end of a rollout and its deadline.
constexpr millis MaxEndMargin{600};
constexpr double EndMarginShare = 0.05;

/// Time between two records of the elapsed time of one rollout. A voter that
/// restarts and is elected at once loses the time since the last record: with
/// 2 s a rollout of 12 s ended 1.4 s after its deadline.
constexpr millis RecordInterval{500};
/// Time after which a command whose effect is not seen is proposed again.
constexpr millis ProposalTimeout{1000};
/// A version that this leader first sees beside another one is taken for the
/// older of both if its first endpoint started this much earlier.
constexpr std::uint64_t MinStartLeadMs = 5000;

/// The versions that the latest order and earlier ones named and that are not
/// the service's own.
std::set<relay::software_version>
orderedVersions(const control::registry_state &State,
                const relay::service_name &Service) {
  const auto Found = State.Rollouts.find(Service);
  if (Found == State.Rollouts.end())
    return {};
  std::set<relay::software_version> Out(Found->second.Barred.begin(),
                                        Found->second.Barred.end());
  Out.insert(Found->second.Target);
  return Out;
}

/// The end is decided this long before the deadline. Operators count the
/// duration from the sending of the order, which may reach the leader only
/// after a redirect, and the end has to be replicated before they can read it.
millis endMargin(millis Duration) {
  return std::min(MaxEndMargin, Duration * EndMarginShare);
}

} // namespace

void rollout_manager::update(const rollout_view &View, instant Now) {
  const control::registry_state &State = View.state();
  std::erase_if(Running, [&](const auto &Each) {
    const auto Found = State.Rollouts.find(Each.first);
    return Found == State.Rollouts.end() ||
           Found->second.Id != Each.second.Order.Id ||
           Found->second.State != rollout_state::in_progress;
  });
  for (const auto &[Service, Rollout] : State.Rollouts) {
    if (Rollout.State != rollout_state::in_progress || Running.count(Service))
      continue;
    running_rollout &New = Running[Service];
    New.Order = {Rollout.Id, Service, Rollout.Target,
                 Rollout.Duration - endMargin(Rollout.Duration)};
    New.Decider = MakeDecider(New.Order, View.elapsed(Service), Now);
    New.RecordedAt = Now;
  }
  Policies = control::versionPolicies(State);
  for (relay::version_policy &Each : Policies) {
    const auto Found = Running.find(Each.Service);
    if (Found != Running.end())
      Each.Share = Found->second.Last.Share;
  }
  findPending(View);
}

void rollout_manager::onDirectory(
    const std::vector<relay::listed_endpoint> &Listed,
    const rollout_view &View) {
  HasDirectory = true;
  Directory.clear();
  Counts.clear();
  for (const relay::listed_endpoint &Each : Listed) {
    const auto [Version, IsFirst] =
        Directory[Each.Service].try_emplace(Each.Version);
    std::uint64_t &FirstStartMs = Version->second.FirstStartMs;
    const std::uint64_t StartMs = Each.Identity.StartTimeMs;
    FirstStartMs = IsFirst ? StartMs : std::min(FirstStartMs, StartMs);
    if (!Each.IsLeaving)
      ++Counts[Each.Service][Each.Version];
  }
  findPending(View);
}

bool rollout_manager::isWithheld(const relay::listed_endpoint &Endpoint) const {
  const auto Found = Pending.find(Endpoint.Service);
  return CanStore && Found != Pending.end() &&
         Found->second.Others.count(Endpoint.Version) > 0;
}

void rollout_manager::onReports(
    vm_id Relay, const std::vector<relay::rollout_report> &Reports,
    instant Now) {
  for (const relay::rollout_report &Each : Reports) {
    const auto Found = Running.find(Each.Service);
    if (Found != Running.end() && Found->second.Order.Id == Each.Rollout)
      Found->second.Decider->onReport(Relay, Each, Now);
  }
}

rollout_outcome rollout_manager::step(const rollout_view &View, instant Now) {
  rollout_outcome Out;
  for (auto &[Service, Each] : Running)
    stepOne(Each, View, Now, Out);
  recordAges(View, Now, Out);
  establishVersions(View, Now, Out);
  return Out;
}

relay::rollout_surroundings
rollout_manager::surroundings(const relay::rollout_order &Order,
                              const rollout_view &View) const {
  relay::rollout_surroundings Out;
  Out.Relays = View.relays();
  Out.CanSplit = View.canSplit();
  Out.IsServiceListed = View.isListed(Order.Service);
  if (const version_counts_of *Versions = versionsOf(Order.Service))
    for (const auto &[Version, Endpoints] : *Versions)
      (Version == Order.Target ? Out.TargetEndpoints : Out.OldEndpoints) +=
          Endpoints;
  return Out;
}

void rollout_manager::stepOne(running_rollout &Rollout,
                              const rollout_view &View, instant Now,
                              rollout_outcome &Out) {
  const relay::rollout_order &Order = Rollout.Order;
  const millis Elapsed = View.elapsed(Order.Service);
  // Without a directory no version seems to have endpoints.
  if (!HasDirectory && Elapsed < Order.Duration)
    return;
  // The end is final. It is not decided anew while it is being replicated.
  if (Rollout.Last.State == rollout_state::in_progress) {
    relay::rollout_decision Decision =
        Rollout.Decider->step(surroundings(Order, View), Now);
    if (Decision.State == rollout_state::rolled_back)
      Decision.Share = 0;
    setShare(Order, Decision.Share, Out);
    if (Decision.IsChanged)
      Out.Steps.push_back({Order.Service, Order.Target, Decision});
    Rollout.Last = std::move(Decision);
  }
  if (Rollout.Last.State != rollout_state::in_progress) {
    if (Now - Rollout.EndProposedAt < ProposalTimeout)
      return;
    Rollout.EndProposedAt = Now;
    Out.Commands.push_back(control::end_rollout{Order.Service, Order.Id,
                                                Rollout.Last.State, Elapsed});
    return;
  }
  if (Rollout.RecordedStep == Rollout.Last.Step &&
      Now - Rollout.RecordedAt < RecordInterval)
    return;
  Rollout.RecordedStep = Rollout.Last.Step;
  Rollout.RecordedAt = Now;
  Out.Commands.push_back(
      control::advance_rollout{Order.Service, Order.Id, Elapsed});
}

void rollout_manager::setShare(const relay::rollout_order &Order, double Share,
                               rollout_outcome &Out) {
  const auto Found = std::find_if(Policies.begin(), Policies.end(),
                                  [&](const relay::version_policy &Each) {
                                    return Each.Service == Order.Service;
                                  });
  if (Found == Policies.end() || Found->Share == Share)
    return;
  Found->Share = Share;
  Out.Changed.push_back(*Found);
}

/// Records once that the resend time of a rolled back order is over: the time
/// is counted from the last record, and a resend would be recognized again
/// after each restart.
void rollout_manager::recordAges(const rollout_view &View, instant Now,
                                 rollout_outcome &Out) {
  for (const auto &[Service, Rollout] : View.state().Rollouts) {
    if (Rollout.State != rollout_state::rolled_back ||
        Rollout.Elapsed >= control::ResendTime)
      continue;
    const millis Elapsed = View.elapsed(Service);
    if (Elapsed < control::ResendTime)
      continue;
    instant &LastAt =
        AgeProposedAt.try_emplace(Service, instant{-1e300}).first->second;
    if (Now - LastAt < ProposalTimeout)
      continue;
    LastAt = Now;
    Out.Commands.push_back(
        control::advance_rollout{Service, Rollout.Id, Elapsed});
  }
}

/// Finds the services that have a version without an order beside the one that
/// they use. Endpoints without a version prevent it, since a policy cannot name
/// theirs.
void rollout_manager::findPending(const rollout_view &View) {
  const control::registry_state &State = View.state();
  CanStore = View.canStore();
  auto Before = std::exchange(Pending, {});
  for (const auto &[Service, Listed] : Directory) {
    if (State.Established.count(Service) || Listed.count({}))
      continue;
    const auto Ordered = orderedVersions(State, Service);
    versions Others = Listed;
    std::erase_if(Others,
                  [&](const auto &Each) { return Ordered.count(Each.first); });
    const relay::software_version InUse = versionInUse(Service, Others);
    if (InUse.Value.empty())
      continue;
    pending_version New;
    New.InUse = InUse;
    for (const auto &[Version, Each] : Others)
      if (Version != InUse)
        New.Others.insert(Version);
    const auto Known = Before.find(Service);
    if (Known != Before.end() && Known->second.InUse == InUse)
      New.ProposedAt = Known->second.ProposedAt;
    Pending[Service] = std::move(New);
  }
}

void rollout_manager::establishVersions(const rollout_view &View, instant Now,
                                        rollout_outcome &Out) {
  CanStore = View.canStore();
  if (!CanStore)
    return;
  for (auto &[Service, Each] : Pending) {
    if (Now - Each.ProposedAt < ProposalTimeout)
      continue;
    Each.ProposedAt = Now;
    Out.Commands.push_back(control::establish_version{Service, Each.InUse});
  }
}

/// Returns which of the versions without an order the service uses; empty if
/// there is only one, or if it is not known.
relay::software_version
rollout_manager::versionInUse(const relay::service_name &Service,
                              const versions &Others) {
  if (Others.empty())
    return {};
  if (Others.size() == 1) {
    OnlyVersions[Service] = Others.begin()->first;
    return {};
  }
  const auto Known = OnlyVersions.find(Service);
  if (Known != OnlyVersions.end())
    return Known->second;
  // The versions were first listed before this leader's first reading.
  std::vector<std::pair<std::uint64_t, relay::software_version>> Starts;
  for (const auto &[Version, Each] : Others)
    Starts.push_back({Each.FirstStartMs, Version});
  std::sort(Starts.begin(), Starts.end());
  const bool IsOldest = Starts[0].first != 0 &&
                        Starts[1].first - Starts[0].first >= MinStartLeadMs;
  return IsOldest ? Starts[0].second : relay::software_version{};
}

std::map<relay::service_name, rollout_step>
rollout_manager::latestSteps() const {
  std::map<relay::service_name, rollout_step> Out;
  for (const auto &[Service, Each] : Running)
    Out[Service] = {Service, Each.Order.Target, Each.Last};
  return Out;
}

const version_counts_of *
rollout_manager::versionsOf(const relay::service_name &Service) const {
  const auto Found = Counts.find(Service);
  return Found == Counts.end() ? nullptr : &Found->second;
}

void rollout_manager::clear() {
  Running.clear();
  Policies.clear();
  HasDirectory = CanStore = false;
  Directory.clear();
  Counts.clear();
  OnlyVersions.clear();
  Pending.clear();
  AgeProposedAt.clear();
}

} // namespace bulrush::fleet

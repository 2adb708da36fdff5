#include "fleet/rollout_runner.h"

#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace bulrush::fleet {

namespace {

using relay::rollout_state;
using telemetry::severity;

/// Level from which on relays can split requests by version.
constexpr std::uint32_t SplitLevel = 1;
/// Label of the versions of a service other than the target of its rollout.
constexpr char OtherVersions[] = "other";

class controller_decider final : public rollout_decider {
public:
  controller_decider(const relay::rollout_order &Order,
                     const relay::rollout_limits &Limits, millis Elapsed,
                     instant Now)
      : Controller(Order, Limits, Elapsed, Now) {}

  void onReport(vm_id Relay, const relay::rollout_report &Report,
                instant Now) override {
    Controller.onReport(Relay, Report, Now);
  }
  relay::rollout_decision step(const relay::rollout_surroundings &Around,
                               instant Now) override {
    return Controller.step(Around, Now);
  }

private:
  relay::rollout_controller Controller;
};

const char *toText(rollout_state State) {
  switch (State) {
  case rollout_state::none:
    return "none";
  case rollout_state::in_progress:
    return "in_progress";
  case rollout_state::complete:
    return "complete";
  case rollout_state::rolled_back:
    return "rolled_back";
  }
  return "none";
}

void logStep(const rollout_step &Step) {
  const relay::rollout_decision &Decision = Step.Decision;
  telemetry::logEvent(severity::info, "rollout",
                      {{"service", Step.Service.Value},
                       {"target", Step.Target.Value},
                       {"step", Decision.Step},
                       {"share", Decision.Share},
                       {"state", toText(Decision.State)},
                       {"elapsed_ms", Decision.Elapsed.Count},
                       {"exposed", Decision.Exposed},
                       {"reached", Decision.Reached},
                       {"old_failures", Decision.OldFailures},
                       {"new_failures", Decision.NewFailures},
                       {"old_slow", Decision.OldSlow},
                       {"new_slow", Decision.NewSlow},
                       {"reason", Decision.Reason}});
}

} // namespace

rollout_runner::rollout_runner(const relay::rollout_limits &Limits,
                               rollout_runner_host &Host,
                               const catalog_updates &CatalogUpdates,
                               subscribers &Subscribers,
                               telemetry::metrics &Metrics)
    : Limits(Limits), Host(Host), CatalogUpdates(CatalogUpdates),
      Subscribers(Subscribers), Metrics(Metrics),
      Manager([this](const relay::rollout_order &Order, millis Elapsed,
                     instant At) {
        return std::make_unique<controller_decider>(Order, this->Limits,
                                                    Elapsed, At);
      }) {}

const control::registry_state &rollout_runner::state() const {
  return Host.node().state();
}

millis rollout_runner::elapsed(const relay::service_name &Service) const {
  return Host.node().rolloutElapsed(Service, Now);
}

bool rollout_runner::isListed(const relay::service_name &Service) const {
  return CatalogUpdates.current().find(Service) != nullptr;
}

bool rollout_runner::canStore() const { return Host.node().canStoreRollouts(); }

std::vector<vm_id> rollout_runner::relays() const {
  return Subscribers.relays();
}

bool rollout_runner::canSplit() const {
  return Subscribers.lowestLevel() >= SplitLevel;
}

void rollout_runner::onState(instant At) {
  Now = At;
  Manager.update(*this, Now);
  Subscribers.setPolicies(Manager.policies());
  logChanges(state());
}

void rollout_runner::logChanges(const control::registry_state &State) {
  for (const auto &[Service, Rollout] : State.Rollouts) {
    const auto Known = Rollouts.find(Service);
    const bool IsNew =
        Known == Rollouts.end() || Known->second.Id != Rollout.Id;
    if (!IsNew && Known->second.State == Rollout.State)
      continue;
    const bool IsRunning = Rollout.State == rollout_state::in_progress;
    // A new leader logs only what it takes over.
    if (!HasState && !IsRunning)
      continue;
    telemetry::logEvent(severity::info,
                        IsRunning ? "rollout_started" : "rollout_ended",
                        {{"service", Service.Value},
                         {"target", Rollout.Target.Value},
                         {"rollout", Rollout.Id.Value},
                         {"state", toText(Rollout.State)},
                         {"elapsed_ms", elapsed(Service).Count},
                         {"duration_ms", Rollout.Duration.Count}});
    if (!IsRunning)
      Metrics.add("rollouts_ended", toText(Rollout.State));
  }
  for (const auto &[Service, Version] : State.Established) {
    const auto Known = Established.find(Service);
    if (HasState && (Known == Established.end() || Known->second != Version))
      telemetry::logEvent(
          severity::info, "version_established",
          {{"service", Service.Value}, {"version", Version.Value}});
  }
  HasState = true;
  Rollouts = State.Rollouts;
  Established = State.Established;
}

bool rollout_runner::onDirectory(
    const std::vector<relay::listed_endpoint> &Listed) {
  Manager.onDirectory(Listed, *this);
  return std::any_of(Listed.begin(), Listed.end(),
                     [this](const relay::listed_endpoint &Each) {
                       return Manager.isWithheld(Each);
                     });
}

void rollout_runner::removeWithheld(
    std::vector<relay::listed_endpoint> &Listed) const {
  std::erase_if(Listed, [this](const relay::listed_endpoint &Each) {
    return Manager.isWithheld(Each);
  });
}

void rollout_runner::onReports(const frame_link *Link,
                               const rollout_reports &Message, instant At) {
  if (const auto Relay = Subscribers.vmOf(Link))
    Manager.onReports(*Relay, Message.Reports, At);
}

void rollout_runner::step(instant At) {
  Now = At;
  rollout_outcome Outcome = Manager.step(*this, Now);
  if (!Outcome.Changed.empty()) {
    Subscribers.setPolicies(Manager.policies());
    Subscribers.sendPolicies({std::move(Outcome.Changed)});
  }
  for (const rollout_step &Each : Outcome.Steps)
    logStep(Each);
  // The leadership may end during a proposal.
  for (control::registry_command &Each : Outcome.Commands)
    Host.propose(std::move(Each));
}

void rollout_runner::clear() {
  Manager.clear();
  Rollouts.clear();
  Established.clear();
  HasState = false;
}

void rollout_runner::setGauges() {
  Metrics.set("registry_rollouts", "", Manager.count());
  for (const auto &[Service, Step] : Manager.latestSteps())
    setGaugesOf(Step);
  for (const relay::version_policy &Policy : Manager.policies()) {
    const version_counts_of *Versions = Manager.versionsOf(Policy.Service);
    if (!Versions)
      continue;
    for (const auto &[Version, Endpoints] : *Versions)
      Metrics.set("rollout_endpoints",
                  Policy.Service.Value + '/' + Version.Value, Endpoints);
  }
}

void rollout_runner::setGaugesOf(const rollout_step &Step) {
  const relay::rollout_decision &Decision = Step.Decision;
  const std::string New = Step.Service.Value + '/' + Step.Target.Value;
  const std::string Old = Step.Service.Value + '/' + OtherVersions;
  const auto Set = [&](const char *Name, std::uint64_t OldValue,
                       std::uint64_t NewValue) {
    Metrics.set(Name, Old, OldValue);
    Metrics.set(Name, New, NewValue);
  };
  const std::uint64_t Exposed = std::min(Decision.Exposed, Decision.Reached);
  Set("rollout_requests", Decision.Reached - Exposed, Decision.Exposed);
  Set("rollout_failures", Decision.OldFailures, Decision.NewFailures);
  Set("rollout_slow", Decision.OldSlow, Decision.NewSlow);
  Metrics.set("rollout_share", New, Decision.Share);
  Metrics.set("rollout_elapsed_ms", New, Decision.Elapsed.Count);
}

} // namespace bulrush::fleet

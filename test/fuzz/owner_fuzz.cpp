/// Checks an owner against a simple oracle in random histories. Each invariant
/// is one assertion of the oracle.

#include "query/owner.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/detail/Configuration.h>
#include <rapidcheck/state.h>
#include <sstream>

using namespace bulrush;
using namespace bulrush::query;

namespace {

constexpr std::uint32_t EndpointCount = 3;
constexpr std::uint32_t Slots = 3;
constexpr vm_id Sender{4};
constexpr incarnation_id Incarnation{7};

deployment makeDeployment() {
  deployment Deployment;
  for (std::uint32_t I = 0; I < EndpointCount; ++I) {
    endpoint Endpoint{
        endpoint_id{I}, {}, zone_id{static_cast<std::uint16_t>(I)}, {}, {}};
    Endpoint.Limits.Slots = Slots;
    Deployment.Endpoints.push_back(Endpoint);
  }
  return Deployment;
}

owner_settings makeSettings() {
  owner_settings Settings;
  Settings.RampReplies = 3;
  return Settings;
}

/// State of one sub-request in the oracle.
struct sub_history {
  bool WasSent = false;
  bool IsProvenNotRun = false; ///< by the endpoint's reply
  bool HasReply = false;
};

/// A request that may be running at an endpoint.
struct running_attempt {
  attempt_id Attempt;
  sub_id Sub;
  instant MayRunUntil;           ///< latest end if no reply ends it earlier
  std::uint32_t ColdSignals = 0; ///< seen before it was sent
};

/// State of one endpoint in the oracle.
struct endpoint_history {
  std::vector<running_attempt> Running;
  bool Granted = false;
  instant Expiry;
  instant InheritedUntil;
  bool ZoneOut = false;
  bool IsDraining = false;
  instant DrainingSince;
  std::uint64_t Generation = 1;
  bool IsRestartUnseen = false;
  bool IsGenerationKnown = false;
  std::uint32_t ColdSignals = 0; ///< number seen
  std::uint32_t SuccessesSinceColdSignal = 0;
  std::uint64_t WarmGeneration = 0; ///< generation in which all slots were open
  bool IsWarmGenerationConfirmed =
      false; ///< by a success since the last cold signal

  void onColdSignal() {
    ++ColdSignals;
    SuccessesSinceColdSignal = 0;
    IsWarmGenerationConfirmed = false;
  }
  void onSuccess(std::uint32_t RampReplies) {
    ++SuccessesSinceColdSignal;
    IsWarmGenerationConfirmed |= WarmGeneration == Generation;
    if (SuccessesSinceColdSignal >= RampReplies * (Slots - 1))
      WarmGeneration = Generation;
  }
  void resetColdStart() {
    onColdSignal();
    IsGenerationKnown = false;
  }

  std::uint32_t maxInFlight(std::uint32_t RampReplies) const {
    if (IsWarmGenerationConfirmed)
      return Slots;
    return std::min(Slots, 1 + SuccessesSinceColdSignal / RampReplies);
  }
};

/// The owner under test and its oracle.
class checked_owner {
public:
  checked_owner() : Endpoints(EndpointCount) {}

  void step(owner_event Event) {
    std::vector<owner_action> Actions;
    Owner.step(std::move(Event), Now, Actions);
    for (const owner_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_to_endpoint>(&Action))
        checkSend(*Send);
      else if (const auto *Reply = std::get_if<reply_to_entry>(&Action))
        checkReply(Reply->Reply);
      else if (const auto *Set = std::get_if<set_timer>(&Action))
        Timer = Set->At;
    }
  }

  void submitRequest(std::uint32_t Endpoint, double Remaining, double Weight,
                     bool IsCommand) {
    sub_request Request;
    Request.Sub = {++LastSub};
    Request.Query = {LastSub};
    Request.Endpoint = {Endpoint};
    Request.Weight = Weight;
    Request.IsCommand = IsCommand;
    Subs[Request.Sub];
    step(batch_arrived{{Sender, {Remaining}, {}, {Request}, Incarnation}});
  }

  void cancel(std::uint64_t Offset) {
    if (Offset < LastSub)
      step(cancel_arrived{Sender, Incarnation, {{LastSub - Offset}}});
  }

  void endAttempt(std::uint32_t Endpoint, std::size_t Selector,
                  reply_kind Kind) {
    endpoint_history &History = Endpoints[Endpoint];
    if (History.Running.empty())
      return;
    const std::size_t Index = Selector % History.Running.size();
    const running_attempt Ended = History.Running[Index];
    if (Kind != reply_kind::timed_out)
      History.Running.erase(History.Running.begin() +
                            static_cast<std::ptrdiff_t>(Index));
    updateHistory(History, Kind, Ended.ColdSignals == History.ColdSignals);
    Subs[Ended.Sub].IsProvenNotRun = provesNotRun(Kind);
    endpoint_replied Event;
    Event.Endpoint = {Endpoint};
    Event.Attempt = Ended.Attempt;
    Event.Kind = Kind;
    Event.Headers.Generation = History.Generation;
    Event.Latency = {2};
    step(std::move(Event));
  }

  /// Restarts the endpoint; the next reply has the new generation.
  void restart(std::uint32_t Endpoint) {
    ++Endpoints[Endpoint].Generation;
    Endpoints[Endpoint].IsRestartUnseen = true;
  }

  /// Delivers a health report without the draining state.
  void reportHealthy(std::uint32_t Endpoint) {
    endpoint_history &History = Endpoints[Endpoint];
    if (History.IsDraining &&
        Now - History.DrainingSince >= Settings.DrainingHoldTime) {
      History.IsDraining = false;
      History.resetColdStart();
    }
    step(health_arrived{{Endpoint}, health_state::warm, 0, 0, {}});
  }

  void grant(std::uint32_t Mask, double Lease, double Inherited) {
    ownership_changed Event;
    for (std::uint32_t I = 0; I < EndpointCount; ++I) {
      endpoint_history &History = Endpoints[I];
      if ((Mask >> I & 1U) == 0) {
        History.Granted = false;
        continue;
      }
      const owner_grant Grant{
          {I}, Now + millis{Lease}, Now + millis{Inherited}};
      Event.Grants.push_back(Grant);
      if (!History.Granted || History.Expiry <= Now) {
        History.InheritedUntil = Grant.InheritedUntil;
        History.resetColdStart();
        History.IsDraining &= History.Granted; // unknown to a new owner
      }
      History.Granted = true;
      History.Expiry = Grant.Expiry;
    }
    step(std::move(Event));
  }

  void setZonesOut(std::uint32_t Mask) {
    fleet_config Config;
    Config.Revision = {++Revision};
    for (std::uint32_t I = 0; I < EndpointCount; ++I) {
      const bool IsOut = (Mask >> I & 1U) != 0;
      if (Endpoints[I].ZoneOut && !IsOut)
        Endpoints[I].resetColdStart();
      Endpoints[I].ZoneOut = IsOut;
      if (Endpoints[I].ZoneOut)
        Config.ZonesOut.push_back({static_cast<std::uint16_t>(I)});
    }
    step(config_changed{std::move(Config)});
  }

  void advance(double Ms) {
    const instant Until = Now + millis{Ms};
    while (Timer <= Until) {
      Now = std::max(Now, Timer);
      Timer = Never;
      step(timer_fired{});
    }
    Now = Until;
  }

  void checkAllReplied() {
    advance(100'000);
    for (const auto &[Sub, History] : Subs)
      RC_ASSERT(History.HasReply); // every sub-request gets a reply
    RC_ASSERT(Owner.pending() == 0U);
  }

private:
  static bool provesNotRun(reply_kind Kind) {
    switch (Kind) {
    case reply_kind::shed:
    case reply_kind::snapshot_missing:
    case reply_kind::expired:
    case reply_kind::draining:
    case reply_kind::cancelled:
    case reply_kind::duplicate_key:
    case reply_kind::connect_refused:
      return true;
    default:
      return false;
    }
  }

  void updateHistory(endpoint_history &History, reply_kind Kind,
                     bool IsRecent) {
    if (Kind == reply_kind::draining) {
      History.IsDraining = true;
      History.DrainingSince = Now;
    }
    const bool IsRestartSignal =
        History.IsRestartUnseen && History.IsGenerationKnown;
    History.IsRestartUnseen = false;
    History.IsGenerationKnown = true;
    const bool IsFailureSignal = Kind == reply_kind::shed ||
                                 Kind == reply_kind::connection_lost ||
                                 Kind == reply_kind::connect_refused;
    if (Kind == reply_kind::shed && IsRecent)
      History.WarmGeneration = 0; // same generation, lower capacity
    if (IsRestartSignal || (IsFailureSignal && IsRecent))
      History.onColdSignal();
    else if (Kind == reply_kind::answered)
      History.onSuccess(Settings.RampReplies);
  }

  void checkSend(const send_to_endpoint &Send) {
    endpoint_history &Endpoint = Endpoints[Send.Request.Endpoint.Value];
    std::erase_if(Endpoint.Running, [this](const running_attempt &Running) {
      return Running.MayRunUntil <= Now;
    });
    RC_ASSERT(!Subs.at(Send.Request.Sub).WasSent);  // sent at most once
    RC_ASSERT(!Subs.at(Send.Request.Sub).HasReply); // never sent after a reply
    RC_ASSERT(Endpoint.Granted && Now < Endpoint.Expiry); // lease is valid
    RC_ASSERT(Now >= Endpoint.InheritedUntil); // earlier owner's requests ended
    RC_ASSERT(!Endpoint.ZoneOut);              // zone is not out
    RC_ASSERT(!Endpoint.IsDraining);           // endpoint is not draining
    RC_ASSERT(Send.Remaining > millis{0});
    Subs[Send.Request.Sub].WasSent = true;
    const millis Margin = Settings.OccupancyMargin;
    Endpoint.Running.push_back({Send.Attempt, Send.Request.Sub,
                                Now + Send.Remaining + Margin,
                                Endpoint.ColdSignals});
    RC_ASSERT(Endpoint.Running.size() <=
              Endpoint.maxInFlight(Settings.RampReplies)); // in-flight limit
  }

  void checkReply(const sub_reply &Reply) {
    sub_history &History = Subs.at(Reply.Sub);
    RC_ASSERT(!History.HasReply); // at most one reply
    History.HasReply = true;
    if (Reply.Outcome == outcome::not_run)
      RC_ASSERT(!History.WasSent || History.IsProvenNotRun); // not_run is true
    if (Reply.Outcome == outcome::answered)
      RC_ASSERT(History.WasSent);
    if (Reply.Outcome != outcome::answered)
      RC_ASSERT(Reply.Reason != refusal::none); // every refusal has a reason
  }

  const deployment Deployment = makeDeployment();
  const owner_settings Settings = makeSettings();
  owner Owner{Deployment, Settings};
  instant Now{1000};
  instant Timer = Never;
  std::uint64_t LastSub = 0;
  std::uint64_t Revision = 0;
  std::map<sub_id, sub_history> Subs;
  std::vector<endpoint_history> Endpoints;
};

/// The commands use no RapidCheck model; `checked_owner` contains the oracle.
struct no_model {};
using command = rc::state::Command<no_model, checked_owner>;

struct submit_request final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  int Remaining = *rc::gen::inRange(1, 200);
  int Weight = *rc::gen::inRange(1, 4);
  bool IsCommand = *rc::gen::inRange(0, 5) == 0;
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.submitRequest(Endpoint, Remaining, Weight, IsCommand);
  }
  void show(std::ostream &Out) const override {
    Out << "arrive(" << Endpoint << ", " << Remaining << ")";
  }
};

struct cancel final : command {
  std::uint64_t Offset = *rc::gen::inRange<std::uint64_t>(0, 8);
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.cancel(Offset);
  }
  void show(std::ostream &Out) const override { Out << "cancel " << Offset; }
};

struct end_attempt final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  std::size_t Selector = *rc::gen::inRange<std::size_t>(0, Slots);
  int Draw = *rc::gen::inRange(0, 40);
  reply_kind kind() const {
    constexpr int Kinds = static_cast<int>(reply_kind::timed_out) + 1;
    return Draw < Kinds && Draw > 0 ? static_cast<reply_kind>(Draw)
                                    : reply_kind::answered;
  }
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.endAttempt(Endpoint, Selector, kind());
  }
  void show(std::ostream &Out) const override {
    Out << "end(" << Endpoint << ", " << Selector << ", "
        << static_cast<int>(kind()) << ")";
  }
};

struct restart final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.restart(Endpoint);
  }
  void show(std::ostream &Out) const override { Out << "restart " << Endpoint; }
};

struct report_healthy final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.reportHealthy(Endpoint);
  }
  void show(std::ostream &Out) const override { Out << "healthy " << Endpoint; }
};

struct grant final : command {
  std::uint32_t Mask = *rc::gen::inRange(0U, 1U << EndpointCount);
  int Lease = *rc::gen::inRange(1, 400);
  int Inherited = *rc::gen::inRange(0, 60);
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.grant(Mask | 1U, Lease, Inherited);
  }
  void show(std::ostream &Out) const override {
    Out << "grant(" << Mask << ", " << Lease << ", " << Inherited << ")";
  }
};

struct set_zones_out final : command {
  std::uint32_t Mask = *rc::gen::inRange(0U, 1U << EndpointCount);
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.setZonesOut(Mask & ~1U);
  }
  void show(std::ostream &Out) const override { Out << "takeOut " << Mask; }
};

struct advance final : command {
  int Ms = *rc::gen::inRange(0, 60);
  void run(const no_model &, checked_owner &Owner) const override {
    Owner.advance(Ms);
  }
  void show(std::ostream &Out) const override { Out << "advance " << Ms; }
};

/// Uses a fixed seed unless RC_PARAMS is set.
rc::detail::TestParams params() {
  rc::detail::TestParams Params = rc::detail::configuration().testParams;
  if (std::getenv("RC_PARAMS"))
    return Params;
  Params.seed = 20261203;
  Params.maxSuccess = 2000;
  Params.maxSize = 400;
  return Params;
}

} // namespace

TEST_CASE("the owner keeps its invariants in random histories", "[owner]") {
  const auto Property = [] {
    checked_owner Owner;
    Owner.grant(7, 1000, 0);
    rc::state::check(
        no_model{}, Owner,
        rc::state::gen::execOneOfWithArgs<
            submit_request, submit_request, submit_request, submit_request,
            submit_request, submit_request, end_attempt, end_attempt,
            end_attempt, end_attempt, cancel, restart, report_healthy, grant,
            set_zones_out, advance, advance>());
    Owner.checkAllReplied();
  };
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      Property, rc::detail::TestMetadata{"owner", "owner"}, params());
  std::ostringstream Message;
  rc::detail::printResultMessage(Result, Message);
  INFO(Message.str());
  CHECK(Result.is<rc::detail::SuccessResult>());
}

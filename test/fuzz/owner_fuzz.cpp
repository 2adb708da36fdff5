/// Random histories of an owner against a simple oracle. Each promise is one
/// named check of the oracle.

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
constexpr incarnation_id Life{7};

deployment makeWorld() {
  deployment World;
  for (std::uint32_t I = 0; I < EndpointCount; ++I) {
    endpoint Endpoint{
        endpoint_id{I}, {}, zone_id{static_cast<std::uint16_t>(I)}, {}, {}};
    Endpoint.Limits.Slots = Slots;
    World.Endpoints.push_back(Endpoint);
  }
  return World;
}

owner_settings makeSettings() {
  owner_settings Settings;
  Settings.RampReplies = 3;
  return Settings;
}

/// What the oracle knows of one sub-request.
struct sub_history {
  bool WasSent = false;
  bool IsProvenNotRun = false; ///< by the endpoint's reply
  bool HasReply = false;
};

/// A sending as the endpoint sees it.
struct running {
  attempt_id Attempt;
  sub_id Sub;
  instant CountsUntil;     ///< it may run until then unless it ends before
  std::uint32_t Signs = 0; ///< of cold, before it was sent
};

/// What the oracle knows of one endpoint.
struct endpoint_history {
  std::vector<running> Running;
  bool Granted = false;
  instant Expiry;
  instant InheritedUntil;
  bool ZoneOut = false;
  bool Drains = false;
  instant DrainsSince;
  std::uint64_t Generation = 1;
  bool IsRestartUnseen = false;
  bool IsGenerationKnown = false;
  std::uint32_t Signs = 0; ///< of cold
  std::uint32_t SuccessesSinceSign = 0;
  std::uint64_t WarmIn = 0;    ///< the life in which all slots were open
  bool SeenInWarmLife = false; ///< by a success since the last sign of cold

  void showCold() {
    ++Signs;
    SuccessesSinceSign = 0;
    SeenInWarmLife = false;
  }
  void succeed(std::uint32_t RampReplies) {
    ++SuccessesSinceSign;
    SeenInWarmLife |= WarmIn == Generation;
    if (SuccessesSinceSign >= RampReplies * (Slots - 1))
      WarmIn = Generation;
  }
  void forget() {
    showCold();
    IsGenerationKnown = false;
  }

  std::uint32_t mayBear(std::uint32_t RampReplies) const {
    if (SeenInWarmLife)
      return Slots;
    return std::min(Slots, 1 + SuccessesSinceSign / RampReplies);
  }
};

/// The owner under test and the oracle that watches it.
class watched_owner {
public:
  watched_owner() : Endpoints(EndpointCount) {}

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

  void arrive(std::uint32_t Endpoint, double Remaining, double Weight,
              bool IsCommand) {
    sub_request Request;
    Request.Sub = {++LastSub};
    Request.Query = {LastSub};
    Request.Endpoint = {Endpoint};
    Request.Weight = Weight;
    Request.IsCommand = IsCommand;
    Subs[Request.Sub];
    step(batch_arrived{{Sender, {Remaining}, {}, {Request}, Life}});
  }

  void cancel(std::uint64_t Back) {
    if (Back < LastSub)
      step(cancel_arrived{Sender, Life, {{LastSub - Back}}});
  }

  void end(std::uint32_t Endpoint, std::size_t Which, reply_kind Kind) {
    endpoint_history &History = Endpoints[Endpoint];
    if (History.Running.empty())
      return;
    const std::size_t Place = Which % History.Running.size();
    const running Ended = History.Running[Place];
    if (Kind != reply_kind::timed_out)
      History.Running.erase(History.Running.begin() +
                            static_cast<std::ptrdiff_t>(Place));
    learn(History, Kind, Ended.Signs == History.Signs);
    Subs[Ended.Sub].IsProvenNotRun = provesNotRun(Kind);
    endpoint_replied Event;
    Event.Endpoint = {Endpoint};
    Event.Attempt = Ended.Attempt;
    Event.Kind = Kind;
    Event.Headers.Generation = History.Generation;
    Event.Latency = {2};
    step(std::move(Event));
  }

  /// The endpoint restarts; the next reply shows it.
  void restart(std::uint32_t Endpoint) {
    ++Endpoints[Endpoint].Generation;
    Endpoints[Endpoint].IsRestartUnseen = true;
  }

  /// A health report without a sign of draining.
  void reportHealthy(std::uint32_t Endpoint) {
    endpoint_history &History = Endpoints[Endpoint];
    if (History.Drains &&
        Now - History.DrainsSince >= Settings.DrainingMemory) {
      History.Drains = false;
      History.forget();
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
        History.forget();
        History.Drains &= History.Granted; // a new owner does not know
      }
      History.Granted = true;
      History.Expiry = Grant.Expiry;
    }
    step(std::move(Event));
  }

  void takeOut(std::uint32_t Mask) {
    fleet_config Config;
    Config.Revision = {++Revision};
    for (std::uint32_t I = 0; I < EndpointCount; ++I) {
      const bool IsOut = (Mask >> I & 1U) != 0;
      if (Endpoints[I].ZoneOut && !IsOut)
        Endpoints[I].forget();
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
      RC_ASSERT(History.HasReply); // each sub-request gets a reply
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

  void learn(endpoint_history &History, reply_kind Kind, bool IsRecent) {
    if (Kind == reply_kind::draining) {
      History.Drains = true;
      History.DrainsSince = Now;
    }
    const bool ShowsRestart =
        History.IsRestartUnseen && History.IsGenerationKnown;
    History.IsRestartUnseen = false;
    History.IsGenerationKnown = true;
    const bool ShowsFailure = Kind == reply_kind::shed ||
                              Kind == reply_kind::connection_lost ||
                              Kind == reply_kind::connect_refused;
    if (Kind == reply_kind::shed && IsRecent)
      History.WarmIn = 0; // the same life bears less now
    if (ShowsRestart || (ShowsFailure && IsRecent))
      History.showCold();
    else if (Kind == reply_kind::answered)
      History.succeed(Settings.RampReplies);
  }

  void checkSend(const send_to_endpoint &Send) {
    endpoint_history &Endpoint = Endpoints[Send.Request.Endpoint.Value];
    std::erase_if(Endpoint.Running, [this](const running &Running) {
      return Running.CountsUntil <= Now;
    });
    RC_ASSERT(!Subs.at(Send.Request.Sub).WasSent);        // sent at most once
    RC_ASSERT(!Subs.at(Send.Request.Sub).HasReply);       // refused: never sent
    RC_ASSERT(Endpoint.Granted && Now < Endpoint.Expiry); // lease holds
    RC_ASSERT(Now >= Endpoint.InheritedUntil); // the old owner's work ended
    RC_ASSERT(!Endpoint.ZoneOut);              // zone is not out
    RC_ASSERT(!Endpoint.Drains);               // endpoint is not draining
    RC_ASSERT(Send.Remaining > millis{0});
    Subs[Send.Request.Sub].WasSent = true;
    const millis Margin = Settings.OccupancyMargin;
    Endpoint.Running.push_back({Send.Attempt, Send.Request.Sub,
                                Now + Send.Remaining + Margin, Endpoint.Signs});
    RC_ASSERT(Endpoint.Running.size() <=
              Endpoint.mayBear(Settings.RampReplies)); // cap of in-flight work
  }

  void checkReply(const sub_reply &Reply) {
    sub_history &History = Subs.at(Reply.Sub);
    RC_ASSERT(!History.HasReply); // one reply each
    History.HasReply = true;
    if (Reply.Outcome == outcome::not_run)
      RC_ASSERT(!History.WasSent || History.IsProvenNotRun); // not run is true
    if (Reply.Outcome == outcome::answered)
      RC_ASSERT(History.WasSent);
    if (Reply.Outcome != outcome::answered)
      RC_ASSERT(Reply.Reason != refusal::none); // each refusal has a reason
  }

  const deployment World = makeWorld();
  const owner_settings Settings = makeSettings();
  owner Owner{World, Settings};
  instant Now{1000};
  instant Timer = Never;
  std::uint64_t LastSub = 0;
  std::uint64_t Revision = 0;
  std::map<sub_id, sub_history> Subs;
  std::vector<endpoint_history> Endpoints;
};

/// The commands need no model: the oracle stands beside the system.
struct no_model {};
using command = rc::state::Command<no_model, watched_owner>;

struct arrive final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  int Remaining = *rc::gen::inRange(1, 200);
  int Weight = *rc::gen::inRange(1, 4);
  bool IsCommand = *rc::gen::inRange(0, 5) == 0;
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.arrive(Endpoint, Remaining, Weight, IsCommand);
  }
  void show(std::ostream &Out) const override {
    Out << "arrive(" << Endpoint << ", " << Remaining << ")";
  }
};

struct cancel final : command {
  std::uint64_t Back = *rc::gen::inRange<std::uint64_t>(0, 8);
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.cancel(Back);
  }
  void show(std::ostream &Out) const override { Out << "cancel " << Back; }
};

struct end final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  std::size_t Which = *rc::gen::inRange<std::size_t>(0, Slots);
  int Draw = *rc::gen::inRange(0, 40);
  reply_kind kind() const {
    constexpr int Kinds = static_cast<int>(reply_kind::timed_out) + 1;
    return Draw < Kinds && Draw > 0 ? static_cast<reply_kind>(Draw)
                                    : reply_kind::answered;
  }
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.end(Endpoint, Which, kind());
  }
  void show(std::ostream &Out) const override {
    Out << "end(" << Endpoint << ", " << Which << ", "
        << static_cast<int>(kind()) << ")";
  }
};

struct restart final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.restart(Endpoint);
  }
  void show(std::ostream &Out) const override { Out << "restart " << Endpoint; }
};

struct healthy final : command {
  std::uint32_t Endpoint = *rc::gen::inRange(0U, EndpointCount);
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.reportHealthy(Endpoint);
  }
  void show(std::ostream &Out) const override { Out << "healthy " << Endpoint; }
};

struct grant final : command {
  std::uint32_t Mask = *rc::gen::inRange(0U, 1U << EndpointCount);
  int Lease = *rc::gen::inRange(1, 400);
  int Inherited = *rc::gen::inRange(0, 60);
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.grant(Mask | 1U, Lease, Inherited);
  }
  void show(std::ostream &Out) const override {
    Out << "grant(" << Mask << ", " << Lease << ", " << Inherited << ")";
  }
};

struct take_out final : command {
  std::uint32_t Mask = *rc::gen::inRange(0U, 1U << EndpointCount);
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.takeOut(Mask & ~1U);
  }
  void show(std::ostream &Out) const override { Out << "takeOut " << Mask; }
};

struct advance final : command {
  int Ms = *rc::gen::inRange(0, 60);
  void run(const no_model &, watched_owner &Owner) const override {
    Owner.advance(Ms);
  }
  void show(std::ostream &Out) const override { Out << "advance " << Ms; }
};

/// A fixed seed, unless RC_PARAMS asks for another run.
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

TEST_CASE("the owner keeps its promises in random histories", "[owner]") {
  const auto Property = [] {
    watched_owner Owner;
    Owner.grant(7, 1000, 0);
    rc::state::check(
        no_model{}, Owner,
        rc::state::gen::execOneOfWithArgs<
            arrive, arrive, arrive, arrive, arrive, arrive, end, end, end, end,
            cancel, restart, healthy, grant, take_out, advance, advance>());
    Owner.checkAllReplied();
  };
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      Property, rc::detail::TestMetadata{"owner", "owner"}, params());
  std::ostringstream Message;
  rc::detail::printResultMessage(Result, Message);
  INFO(Message.str());
  CHECK(Result.is<rc::detail::SuccessResult>());
}

#include "model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace bulrush::bench {

std::string_view toString(reply_reason Reason) {
  switch (Reason) {
  case reply_reason::none:
    return "none";
  case reply_reason::shed:
    return "shed";
  case reply_reason::snapshot_missing:
    return "snapshot_missing";
  case reply_reason::expired:
    return "expired";
  case reply_reason::draining:
    return "draining";
  case reply_reason::cancelled:
    return "cancelled";
  }
  return "none";
}

namespace {

constexpr std::size_t MaxBreachTimes = 100;

/// A request in service.
struct running_request {
  std::string Name;
  bool IsCommand = false;
  bool EndsAtDeadline = false; ///< its deadline is before its completion
};

/// A scheduled timer event.
struct timer_event {
  enum class kind : std::uint8_t { finish, late_reply, restart };
  instant At;
  kind Kind = kind::finish;
  exchange_id Exchange;

  bool operator>(const timer_event &Other) const { return At > Other.At; }
};

/// The state in health reports from the time `From` on.
struct health_sample {
  instant From;
  run_state RunState;
  bool Draining;
  std::uint64_t Generation;
  std::uint32_t InFlight;
};

} // namespace

struct endpoint_model::impl {
  endpoint_behaviour Behaviour;
  std::mt19937_64 Random;
  endpoint_record Record;
  std::vector<query::held_snapshot> Held;
  std::unordered_map<exchange_id, running_request> Running;
  std::unordered_map<std::string, exchange_id> ByName;
  std::priority_queue<timer_event, std::vector<timer_event>, std::greater<>>
      Timers;
  std::deque<health_sample> HealthHistory;
  std::unordered_set<connection_id> OpenConnections;

  run_state RunState = run_state::cold;
  bool Draining = false;
  bool AfterCrash = false; ///< the last downtime followed a crash
  std::uint64_t Generation = 1;
  std::uint32_t Capacity = 1; ///< current limit of concurrent requests
  std::uint32_t Served = 0; ///< requests served since the last step of the ramp
  std::uint32_t RampStepRequests = 1;
  instant RampStepStart;
  /// First time at which clients could detect that the endpoint is cold;
  /// `Never` until then.
  instant ColdDetectableAt{0};

  impl(const endpoint_behaviour &B, std::uint64_t Seed, instant Now)
      : Behaviour(B), Random(Seed) {
    Record.Began = Now;
    ColdDetectableAt = Now;
    beginCold(Now, false);
  }

  void beginCold(instant Now, bool HasCrashed) {
    RunState = run_state::cold;
    Capacity = std::min(Behaviour.ColdInFlight, Behaviour.Slots);
    Served = 0;
    RampStepStart = Now;
    RampStepRequests = Behaviour.RampRequests *
                       (HasCrashed ? std::max(1U, Behaviour.DownFactor) : 1);
    Record.ColdPeriods.push_back(
        {Now, Never, Never, RampStepRequests, HasCrashed});
    warmIfRamped(Now);
  }

  void warmIfRamped(instant Now) {
    if (RunState != run_state::cold || Capacity < Behaviour.Slots)
      return;
    RunState = run_state::warm;
    if (!Record.ColdPeriods.empty())
      Record.ColdPeriods.back().Warm = Now;
  }

  void recordHealth(instant Now) {
    const auto InFlight = static_cast<std::uint32_t>(Running.size());
    HealthHistory.push_back({Now, RunState, Draining, Generation, InFlight});
    while (HealthHistory.size() > 1 &&
           HealthHistory[1].From <= Now - Behaviour.HealthLag)
      HealthHistory.pop_front();
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  millis drawServiceTime() {
    const double Sigma = Behaviour.Sigma;
    const double Mu = std::log(std::max(Behaviour.MeanService.Count, 1e-6)) -
                      Sigma * Sigma / 2;
    double Time = std::lognormal_distribution<double>(Mu, Sigma)(Random);
    Time *= Behaviour.SlowFactor;
    if (uniform() < Behaviour.StragglerShare)
      Time *= Behaviour.StragglerFactor;
    if (Record.ServiceTimes.size() < MaxServiceTimes)
      Record.ServiceTimes.push_back(static_cast<float>(Time));
    return {Time};
  }

  void reply(exchange_id Exchange, outcome Outcome, reply_reason Reason,
             instant Now, std::vector<action> &Out) {
    if (ColdDetectableAt == Never)
      ColdDetectableAt = Now;
    send_reply Reply;
    Reply.Exchange = Exchange;
    Reply.Outcome = Outcome;
    Reply.Reason = Reason;
    Reply.Generation = Generation;
    Reply.Cold = RunState != run_state::warm && !Behaviour.HidesColdFlag;
    Reply.Draining = Draining;
    Reply.InFlight = static_cast<std::uint32_t>(Running.size());
    if (Reason == reply_reason::shed || Reason == reply_reason::draining)
      Reply.RetryAfter = Behaviour.RetryAfter;
    Out.push_back(Reply);
  }

  bool holds(snapshot_id Snapshot, shard_id Shard) const {
    for (const query::held_snapshot &H : Held)
      if (H.Snapshot == Snapshot)
        return std::find(H.Shards.begin(), H.Shards.end(), Shard) !=
               H.Shards.end();
    return false;
  }

  void on(const connection_opened &E, instant, std::vector<action> &Out) {
    ++Record.ConnectionsOpened;
    if (RunState == run_state::down) {
      Out.push_back(refuse_connection{E.Connection});
      return;
    }
    if (OpenConnections.size() >= Behaviour.Connections) {
      ++Record.ConnectionsRefused;
      Out.push_back(refuse_connection{E.Connection});
      return;
    }
    OpenConnections.insert(E.Connection);
    const auto Count = static_cast<std::uint32_t>(OpenConnections.size());
    Record.MaxConnections = std::max(Record.MaxConnections, Count);
    Out.push_back(serve_connection{E.Connection, Behaviour.ConnectCost});
  }

  void on(const connection_closed &E, instant, std::vector<action> &) {
    OpenConnections.erase(E.Connection);
  }

  void on(const request_arrived &E, instant Now, std::vector<action> &Out) {
    countArrival(Record, Now);
    if (E.Attempt > 0)
      ++Record.Requests.Hedges;
    if (RunState == run_state::down)
      return;
    if (RunState == run_state::cold &&
        Record.ColdPeriods.back().FirstArrival == Never)
      Record.ColdPeriods.back().FirstArrival = Now;
    if (refuseOrCrash(E, Now, Out))
      return;
    start(E, Now);
  }

  /// Returns true if the request does not run: it was refused, or it made the
  /// endpoint crash.
  bool refuseOrCrash(const request_arrived &E, instant Now,
                     std::vector<action> &Out) {
    if (Draining) {
      ++Record.Requests.Drained;
      reply(E.Exchange, outcome::not_run, reply_reason::draining, Now, Out);
      return true;
    }
    if (E.Remaining <= millis{0}) {
      ++Record.Requests.Expired;
      reply(E.Exchange, outcome::not_run, reply_reason::expired, Now, Out);
      return true;
    }
    if (!holds(E.Snapshot, E.Shard)) {
      ++Record.Requests.SnapshotMissing;
      reply(E.Exchange, outcome::not_run, reply_reason::snapshot_missing, Now,
            Out);
      return true;
    }
    if (Running.size() < Capacity)
      return false;
    if (recordExcess(Now)) {
      crash(Now, Out);
      return true;
    }
    ++Record.Requests.Shed;
    reply(E.Exchange, outcome::not_run, reply_reason::shed, Now, Out);
    return true;
  }

  /// Records a request above the capacity of a cold endpoint. Returns true if
  /// it is a breach, which makes the endpoint crash: clients could detect the
  /// cold endpoint and the grace period has ended.
  bool recordExcess(instant Now) {
    if (RunState != run_state::cold)
      return false;
    const auto Load = static_cast<std::uint32_t>(Running.size()) + 1;
    if (ColdDetectableAt == Never ||
        Now <= ColdDetectableAt + Behaviour.DetectionGrace) {
      ++Record.ExcessBeforeDetectable;
      return false;
    }
    Record.MaxInFlightCold = std::max(Record.MaxInFlightCold, Load);
    ++Record.ColdBreaches;
    if (Record.BreachTimes.size() < MaxBreachTimes)
      Record.BreachTimes.push_back(Now);
    return true;
  }

  void crash(instant Now, std::vector<action> &Out) {
    ++Record.Crashes;
    Record.Requests.LostInCrash += Running.size() + 1;
    AfterCrash = true;
    goDown(Now + Behaviour.DownTime, Out);
  }

  void goDown(instant Until, std::vector<action> &Out) {
    dropAllRequests(Out);
    RunState = run_state::down;
    Timers.push({Until, timer_event::kind::restart, {}});
  }

  void on(const take_down &E, instant Now, std::vector<action> &Out) {
    AfterCrash = false;
    goDown(Now + E.For, Out);
  }

  void dropAllRequests(std::vector<action> &Out) {
    Running.clear();
    ByName.clear();
    Timers = {};
    OpenConnections.clear();
    Out.push_back(reset_connections{});
  }

  void start(const request_arrived &E, instant Now) {
    const instant End = Now + drawServiceTime();
    const instant Deadline = Now + E.Remaining;
    running_request Run{E.Name, E.IsCommand, !E.IsCommand && Deadline < End};
    if (E.IsCommand)
      ++Record.RunsByKey[E.Key];
    Timers.push({Run.EndsAtDeadline ? Deadline : End, timer_event::kind::finish,
                 E.Exchange});
    ByName[E.Name] = E.Exchange;
    Running.emplace(E.Exchange, std::move(Run));
    const auto Count = static_cast<std::uint32_t>(Running.size());
    Record.MaxInFlight = std::max(Record.MaxInFlight, Count);
    if (RunState == run_state::cold)
      Record.MaxInFlightCold = std::max(Record.MaxInFlightCold, Count);
  }

  void on(const cancel_arrived &E, instant Now, std::vector<action> &Out) {
    const auto Named = ByName.find(E.Name);
    if (Named == ByName.end())
      return;
    const exchange_id Exchange = Named->second;
    if (Running.at(Exchange).IsCommand)
      return;
    ByName.erase(Named);
    Running.erase(Exchange);
    ++Record.Requests.Cancelled;
    reply(Exchange, outcome::unknown, reply_reason::cancelled, Now, Out);
  }

  void on(const timer_expired &, instant Now, std::vector<action> &Out) {
    while (!Timers.empty() && Timers.top().At <= Now) {
      const timer_event Due = Timers.top();
      Timers.pop();
      Record.MaxTimerLag = std::max(Record.MaxTimerLag, Now - Due.At);
      if (Due.Kind == timer_event::kind::restart)
        comeBack(Now);
      else if (Due.Kind == timer_event::kind::late_reply)
        reply(Due.Exchange, outcome::answered, reply_reason::none, Now, Out);
      else
        finish(Due.Exchange, Now, Out);
    }
  }

  void comeBack(instant Now) {
    ++Generation;
    ColdDetectableAt = Now;
    beginCold(Now, AfterCrash);
  }

  void finish(exchange_id Exchange, instant Now, std::vector<action> &Out) {
    const auto Found = Running.find(Exchange);
    if (Found == Running.end())
      return;
    const bool IsExpired = Found->second.EndsAtDeadline;
    ByName.erase(Found->second.Name);
    Running.erase(Found);
    if (IsExpired) {
      ++Record.Requests.Expired;
      reply(Exchange, outcome::unknown, reply_reason::expired, Now, Out);
      return;
    }
    ++Record.Requests.Answered;
    advanceRamp(Now);
    if (uniform() < Behaviour.LostReplyShare) {
      ++Record.Requests.LostReplies;
      Out.push_back(drop_reply{Exchange});
      return;
    }
    if (uniform() < Behaviour.LateReplyShare) {
      ++Record.Requests.LateReplies;
      Timers.push({Now + Behaviour.LateReplyDelay,
                   timer_event::kind::late_reply, Exchange});
      return;
    }
    reply(Exchange, outcome::answered, reply_reason::none, Now, Out);
  }

  void advanceRamp(instant Now) {
    if (RunState != run_state::cold)
      return;
    ++Served;
    if (Served < RampStepRequests && Now - RampStepStart < Behaviour.RampTime)
      return;
    ++Capacity;
    Served = 0;
    RampStepStart = Now;
    warmIfRamped(Now);
  }

  void on(const turn_cold &E, instant Now, std::vector<action> &Out) {
    if (RunState == run_state::down)
      return;
    ++Generation;
    ColdDetectableAt = Never;
    if (E.ResetsConnections) {
      dropAllRequests(Out);
      ColdDetectableAt = Now;
    }
    beginCold(Now, false);
  }

  void on(const set_draining &E, instant, std::vector<action> &) {
    Draining = E.On;
  }

  void on(const set_snapshots &E, instant, std::vector<action> &) {
    Held = E.Held;
  }

  void on(const set_behaviour &E, instant Now, std::vector<action> &) {
    Behaviour = E.Behaviour;
    if (RunState == run_state::warm)
      Capacity = Behaviour.Slots;
    warmIfRamped(Now);
  }

  void on(const reset_record &, instant Now, std::vector<action> &) {
    std::vector<cold_period> ColdPeriods;
    if (RunState == run_state::cold)
      ColdPeriods.push_back(Record.ColdPeriods.back());
    Record = {};
    Record.Began = Now;
    Record.ColdPeriods = std::move(ColdPeriods);
  }
};

endpoint_model::endpoint_model(const endpoint_behaviour &Behaviour,
                               std::uint64_t Seed, instant Now)
    : Impl(std::make_unique<impl>(Behaviour, Seed, Now)) {
  Impl->recordHealth(Now);
}
endpoint_model::~endpoint_model() = default;
endpoint_model::endpoint_model(endpoint_model &&) noexcept = default;

void endpoint_model::step(const event &Event, instant Now,
                          std::vector<action> &Out) {
  std::visit([&](const auto &E) { Impl->on(E, Now, Out); }, Event);
  Impl->recordHealth(Now);
}

instant endpoint_model::nextTimer() const {
  return Impl->Timers.empty() ? Never : Impl->Timers.top().At;
}

health_report endpoint_model::health(instant Now) const {
  health_report Report;
  Report.Held = Impl->Held;
  const instant SampleTime = Now - Impl->Behaviour.HealthLag;
  const health_sample *Sample = &Impl->HealthHistory.front();
  for (const health_sample &P : Impl->HealthHistory)
    if (P.From <= SampleTime)
      Sample = &P;
  Report.RunState = Sample->RunState;
  Report.Draining = Sample->Draining;
  Report.Generation = Sample->Generation;
  Report.InFlight = Sample->InFlight;
  if (Impl->Behaviour.HealthAlwaysWarm) {
    Report.RunState = run_state::warm;
    Report.InFlight = 0;
  }
  return Report;
}

run_state endpoint_model::state() const { return Impl->RunState; }
std::uint32_t endpoint_model::inFlight() const {
  return static_cast<std::uint32_t>(Impl->Running.size());
}
std::uint32_t endpoint_model::capacity() const { return Impl->Capacity; }
const endpoint_behaviour &endpoint_model::behaviour() const {
  return Impl->Behaviour;
}
const std::vector<query::held_snapshot> &endpoint_model::held() const {
  return Impl->Held;
}
const endpoint_record &endpoint_model::record() const { return Impl->Record; }

} // namespace bulrush::bench

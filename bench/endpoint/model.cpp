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

struct running {
  std::string Name;
  bool IsCommand = false;
  bool CutByDeadline = false;
};

/// Something that happens by itself at a later time.
struct pending {
  enum class kind : std::uint8_t { finish, late_reply, up };
  instant At;
  kind Kind = kind::finish;
  exchange_id Exchange;

  bool operator>(const pending &Other) const { return At > Other.At; }
};

/// What health said from a point in time on.
struct past_health {
  instant From;
  warmth Warmth;
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
  std::unordered_map<exchange_id, running> Running;
  std::unordered_map<std::string, exchange_id> ByName;
  std::priority_queue<pending, std::vector<pending>, std::greater<>> Waiting;
  std::deque<past_health> Past;
  std::unordered_set<connection_id> OpenConnections;

  warmth Warmth = warmth::cold;
  bool Draining = false;
  bool AfterFall = false; ///< why it is down
  std::uint64_t Generation = 1;
  std::uint32_t Bears = 1;
  std::uint32_t Served = 0; ///< since the last step of the ramp
  std::uint32_t StepRequests = 1;
  instant StepBegan;
  instant SignAt{0}; ///< when the system could first know that it is cold

  impl(const endpoint_behaviour &B, std::uint64_t Seed, instant Now)
      : Behaviour(B), Random(Seed) {
    Record.Began = Now;
    SignAt = Now;
    beginCold(Now, false);
  }

  void beginCold(instant Now, bool Fell) {
    Warmth = warmth::cold;
    Bears = std::min(Behaviour.ColdInFlight, Behaviour.Slots);
    Served = 0;
    StepBegan = Now;
    StepRequests = Behaviour.RampRequests *
                   (Fell ? std::max(1U, Behaviour.DownFactor) : 1);
    Record.Colds.push_back({Now, Never, Never, StepRequests, Fell});
    warmIfRamped(Now);
  }

  void warmIfRamped(instant Now) {
    if (Warmth != warmth::cold || Bears < Behaviour.Slots)
      return;
    Warmth = warmth::warm;
    if (!Record.Colds.empty())
      Record.Colds.back().Warm = Now;
  }

  void noteHealth(instant Now) {
    const auto InFlight = static_cast<std::uint32_t>(Running.size());
    Past.push_back({Now, Warmth, Draining, Generation, InFlight});
    while (Past.size() > 1 && Past[1].From <= Now - Behaviour.HealthLag)
      Past.pop_front();
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  millis drawService() {
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
    if (SignAt == Never)
      SignAt = Now;
    send_reply Reply;
    Reply.Exchange = Exchange;
    Reply.Outcome = Outcome;
    Reply.Reason = Reason;
    Reply.Generation = Generation;
    Reply.Cold = Warmth != warmth::warm && !Behaviour.FlagLies;
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
    if (Warmth == warmth::down) {
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
    if (Warmth == warmth::down)
      return;
    if (Warmth == warmth::cold && Record.Colds.back().FirstArrival == Never)
      Record.Colds.back().FirstArrival = Now;
    if (refuse(E, Now, Out))
      return;
    start(E, Now);
  }

  /// True when the request was dealt with and does not run.
  bool refuse(const request_arrived &E, instant Now, std::vector<action> &Out) {
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
    if (Running.size() < Bears)
      return false;
    if (breaks(Now)) {
      fallOver(Now, Out);
      return true;
    }
    ++Record.Requests.Shed;
    reply(E.Exchange, outcome::not_run, reply_reason::shed, Now, Out);
    return true;
  }

  /// Records a request above what the endpoint bears; true when it falls over.
  bool breaks(instant Now) {
    if (Warmth != warmth::cold)
      return false;
    const auto Load = static_cast<std::uint32_t>(Running.size()) + 1;
    if (SignAt == Never || Now <= SignAt + Behaviour.SignGrace) {
      ++Record.ExcessBeforeSign;
      return false;
    }
    Record.MaxInFlightCold = std::max(Record.MaxInFlightCold, Load);
    ++Record.ColdBreaches;
    if (Record.BreachTimes.size() < MaxBreachTimes)
      Record.BreachTimes.push_back(Now);
    return true;
  }

  void fallOver(instant Now, std::vector<action> &Out) {
    ++Record.Falls;
    Record.Requests.CutByFall += Running.size() + 1;
    AfterFall = true;
    goDown(Now + Behaviour.DownTime, Out);
  }

  void goDown(instant Until, std::vector<action> &Out) {
    cutAll(Out);
    Warmth = warmth::down;
    Waiting.push({Until, pending::kind::up, {}});
  }

  void on(const take_down &E, instant Now, std::vector<action> &Out) {
    AfterFall = false;
    goDown(Now + E.For, Out);
  }

  void cutAll(std::vector<action> &Out) {
    Running.clear();
    ByName.clear();
    Waiting = {};
    OpenConnections.clear();
    Out.push_back(reset_connections{});
  }

  void start(const request_arrived &E, instant Now) {
    const instant End = Now + drawService();
    const instant Deadline = Now + E.Remaining;
    running Run{E.Name, E.IsCommand, !E.IsCommand && Deadline < End};
    if (E.IsCommand)
      ++Record.RunsByKey[E.Key];
    Waiting.push({Run.CutByDeadline ? Deadline : End, pending::kind::finish,
                  E.Exchange});
    ByName[E.Name] = E.Exchange;
    Running.emplace(E.Exchange, std::move(Run));
    const auto Count = static_cast<std::uint32_t>(Running.size());
    Record.MaxInFlight = std::max(Record.MaxInFlight, Count);
    if (Warmth == warmth::cold)
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

  void on(const woken &, instant Now, std::vector<action> &Out) {
    while (!Waiting.empty() && Waiting.top().At <= Now) {
      const pending Due = Waiting.top();
      Waiting.pop();
      Record.MaxWakeLag = std::max(Record.MaxWakeLag, Now - Due.At);
      if (Due.Kind == pending::kind::up)
        comeUp(Now);
      else if (Due.Kind == pending::kind::late_reply)
        reply(Due.Exchange, outcome::answered, reply_reason::none, Now, Out);
      else
        finish(Due.Exchange, Now, Out);
    }
  }

  void comeUp(instant Now) {
    ++Generation;
    SignAt = Now;
    beginCold(Now, AfterFall);
  }

  void finish(exchange_id Exchange, instant Now, std::vector<action> &Out) {
    const auto Found = Running.find(Exchange);
    if (Found == Running.end())
      return;
    const bool Cut = Found->second.CutByDeadline;
    ByName.erase(Found->second.Name);
    Running.erase(Found);
    if (Cut) {
      ++Record.Requests.Expired;
      reply(Exchange, outcome::unknown, reply_reason::expired, Now, Out);
      return;
    }
    ++Record.Requests.Answered;
    ramp(Now);
    if (uniform() < Behaviour.LostReplyShare) {
      ++Record.Requests.LostReplies;
      Out.push_back(lose_reply{Exchange});
      return;
    }
    if (uniform() < Behaviour.LateReplyShare) {
      ++Record.Requests.LateReplies;
      Waiting.push(
          {Now + Behaviour.LateBy, pending::kind::late_reply, Exchange});
      return;
    }
    reply(Exchange, outcome::answered, reply_reason::none, Now, Out);
  }

  void ramp(instant Now) {
    if (Warmth != warmth::cold)
      return;
    ++Served;
    if (Served < StepRequests && Now - StepBegan < Behaviour.RampTime)
      return;
    ++Bears;
    Served = 0;
    StepBegan = Now;
    warmIfRamped(Now);
  }

  void on(const turn_cold &E, instant Now, std::vector<action> &Out) {
    if (Warmth == warmth::down)
      return;
    ++Generation;
    SignAt = Never;
    if (E.ResetsConnections) {
      cutAll(Out);
      SignAt = Now;
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
    if (Warmth == warmth::warm)
      Bears = Behaviour.Slots;
    warmIfRamped(Now);
  }

  void on(const reset_record &, instant Now, std::vector<action> &) {
    std::vector<cold_period> Colds;
    if (Warmth == warmth::cold)
      Colds.push_back(Record.Colds.back());
    Record = {};
    Record.Began = Now;
    Record.Colds = std::move(Colds);
  }
};

endpoint_model::endpoint_model(const endpoint_behaviour &Behaviour,
                               std::uint64_t Seed, instant Now)
    : Impl(std::make_unique<impl>(Behaviour, Seed, Now)) {
  Impl->noteHealth(Now);
}
endpoint_model::~endpoint_model() = default;
endpoint_model::endpoint_model(endpoint_model &&) noexcept = default;

void endpoint_model::step(const event &Event, instant Now,
                          std::vector<action> &Out) {
  std::visit([&](const auto &E) { Impl->on(E, Now, Out); }, Event);
  Impl->noteHealth(Now);
}

instant endpoint_model::nextWake() const {
  return Impl->Waiting.empty() ? Never : Impl->Waiting.top().At;
}

health_report endpoint_model::health(instant Now) const {
  health_report Report;
  Report.Held = Impl->Held;
  const instant Shown = Now - Impl->Behaviour.HealthLag;
  const past_health *Seen = &Impl->Past.front();
  for (const past_health &P : Impl->Past)
    if (P.From <= Shown)
      Seen = &P;
  Report.Warmth = Seen->Warmth;
  Report.Draining = Seen->Draining;
  Report.Generation = Seen->Generation;
  Report.InFlight = Seen->InFlight;
  if (Impl->Behaviour.HealthLies) {
    Report.Warmth = warmth::warm;
    Report.InFlight = 0;
  }
  return Report;
}

warmth endpoint_model::state() const { return Impl->Warmth; }
std::uint32_t endpoint_model::inFlight() const {
  return static_cast<std::uint32_t>(Impl->Running.size());
}
std::uint32_t endpoint_model::bearable() const { return Impl->Bears; }
const endpoint_behaviour &endpoint_model::behaviour() const {
  return Impl->Behaviour;
}
const std::vector<query::held_snapshot> &endpoint_model::held() const {
  return Impl->Held;
}
const endpoint_record &endpoint_model::record() const { return Impl->Record; }

} // namespace bulrush::bench

#include "owner_world.h"

#include <algorithm>
#include <cmath>

namespace bulrush::bench {

using namespace query;

double class_result::quantile(double Share) {
  if (LatenciesMs.empty())
    return 0;
  const auto Rank = static_cast<std::ptrdiff_t>(
      Share * static_cast<double>(LatenciesMs.size() - 1));
  std::nth_element(LatenciesMs.begin(), LatenciesMs.begin() + Rank,
                   LatenciesMs.end());
  return LatenciesMs[Rank];
}

namespace {

constexpr vm_id Sender{0};
constexpr incarnation_id Life{1};

deployment makeDeployment(const owner_world_settings &Settings) {
  deployment World;
  for (std::uint32_t I = 0; I < Settings.Shards * Settings.Replicas; ++I) {
    endpoint Endpoint{endpoint_id{I}, {}, {}, {}, {}};
    Endpoint.Limits.Slots = Settings.Slots;
    World.Endpoints.push_back(Endpoint);
  }
  return World;
}

struct finish {
  instant At;
  endpoint_id Endpoint;
  attempt_id Attempt;
  millis Service;
  bool IsCut = false; ///< at its deadline

  bool operator>(const finish &Other) const { return At > Other.At; }
};

struct query_state {
  std::size_t Class = 0;
  instant Arrived;
  std::uint32_t Answered = 0;
  std::uint32_t Ended = 0;
  bool IsHopeless = false;
  sub_id FirstSub;
};

class owner_world {
public:
  explicit owner_world(const owner_world_settings &Settings)
      : Settings(Settings), World(makeDeployment(Settings)),
        Owner(World, Settings.Owner), Random(Settings.Seed),
        Outstanding(World.Endpoints.size()) {
    Result.Classes.resize(Settings.Classes.size());
    ownership_changed Grants;
    for (const endpoint &Endpoint : World.Endpoints)
      Grants.Grants.push_back({Endpoint.Id, Never, {}});
    step(std::move(Grants));
  }

  owner_world_result run() {
    const double Capacity = static_cast<double>(Settings.Slots) *
                            Settings.Replicas / Settings.MeanService.Count;
    std::exponential_distribution<double> Gap(Capacity * Settings.Load);
    instant Arrival{Gap(Random)};
    while (Arrival < instant{} + Settings.Duration) {
      advanceTo(Arrival);
      arrive();
      Arrival = Arrival + millis{Gap(Random)};
    }
    advanceTo(Now + millis{1000});
    const double SlotTime = Settings.Duration.Count * Settings.Slots *
                            static_cast<double>(World.Endpoints.size());
    Result.BusyShare = Busy.Count / SlotTime;
    return std::move(Result);
  }

private:
  void advanceTo(instant Until) {
    for (;;) {
      const instant End = Running.empty() ? Never : Running.top().At;
      const instant Next = std::min(End, Timer);
      if (Next > Until)
        break;
      Now = std::max(Now, Next);
      if (End <= Timer) {
        finishOne();
        continue;
      }
      Timer = Never;
      step(timer_fired{});
    }
    Now = Until;
  }

  void finishOne() {
    const finish Done = Running.top();
    Running.pop();
    if (std::erase(Cut, Done.Attempt) > 0)
      return;
    Busy += Done.Service;
    endpoint_replied Reply;
    Reply.Endpoint = Done.Endpoint;
    Reply.Attempt = Done.Attempt;
    Reply.Latency = Done.Service;
    if (Done.IsCut)
      Reply.Kind = reply_kind::expired_running;
    step(std::move(Reply));
  }

  void arrive() {
    const query_id Query{Queries.size()};
    query_state State;
    State.Class = drawClass();
    State.Arrived = Now;
    State.FirstSub = {Result.SubRequests + 1};
    Queries.push_back(State);
    ++Result.Classes[State.Class].Offered;
    const query_class &Class = Settings.Classes[State.Class];
    sub_batch Batch;
    Batch.From = Sender;
    Batch.Remaining = Class.Deadline;
    Batch.Incarnation = Life;
    for (std::uint32_t Shard = 0; Shard < Settings.Shards; ++Shard) {
      sub_request Request;
      Request.Sub = {++Result.SubRequests};
      Request.Query = Query;
      Request.Endpoint = leastLoaded(Shard);
      ++Outstanding[Request.Endpoint.Value];
      Request.Weight = Class.Weight;
      Request.Caller = {static_cast<std::uint16_t>(State.Class)};
      Batch.Items.push_back(std::move(Request));
    }
    step(batch_arrived{std::move(Batch)});
  }

  std::size_t drawClass() {
    double Draw = std::uniform_real_distribution<double>()(Random);
    for (std::size_t I = 0; I < Settings.Classes.size(); ++I) {
      Draw -= Settings.Classes[I].Share;
      if (Draw < 0)
        return I;
    }
    return 0;
  }

  endpoint_id leastLoaded(std::uint32_t Shard) {
    endpoint_id Best{Shard};
    for (std::uint32_t Replica = 1; Replica < Settings.Replicas; ++Replica) {
      const endpoint_id Other{Shard + Replica * Settings.Shards};
      if (Outstanding[Other.Value] < Outstanding[Best.Value])
        Best = Other;
    }
    return Best;
  }

  void step(owner_event Event) {
    std::vector<owner_event> Events;
    Events.push_back(std::move(Event));
    while (!Events.empty()) {
      owner_event Next = std::move(Events.back());
      Events.pop_back();
      stepOne(std::move(Next));
      for (const query_id Query : Hopeless)
        Events.emplace_back(cancelRest(Query));
      Hopeless.clear();
      for (const auto &[Endpoint, Attempt] : CutNow) {
        endpoint_replied Reply;
        Reply.Endpoint = Endpoint;
        Reply.Attempt = Attempt;
        Reply.Kind = reply_kind::cancelled_running;
        Events.emplace_back(std::move(Reply));
      }
      CutNow.clear();
    }
  }

  /// As the router does when a query can no longer get enough shards.
  cancel_arrived cancelRest(query_id Query) const {
    cancel_arrived Cancel{Sender, Life, {}};
    for (std::uint32_t Shard = 0; Shard < Settings.Shards; ++Shard)
      Cancel.Subs.push_back({Queries[Query.Value].FirstSub.Value + Shard});
    return Cancel;
  }

  void stepOne(owner_event Event) {
    Actions.clear();
    Owner.step(std::move(Event), Now, Actions);
    for (owner_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_to_endpoint>(&Action))
        serve(*Send);
      else if (const auto *Reply = std::get_if<reply_to_entry>(&Action))
        end(Reply->Reply);
      else if (const auto *Cancel = std::get_if<cancel_at_endpoint>(&Action))
        cut(*Cancel);
      else if (const auto *Set = std::get_if<set_timer>(&Action))
        Timer = Set->At;
    }
  }

  void cut(const cancel_at_endpoint &Cancel) {
    Cut.push_back(Cancel.Attempt);
    CutNow.push_back({Cancel.Endpoint, Cancel.Attempt});
  }

  /// An endpoint stops a request at its deadline.
  void serve(const send_to_endpoint &Send) {
    ++Result.Sent;
    const double Sigma = Settings.Sigma;
    const double Mu = std::log(Settings.MeanService.Count) - Sigma * Sigma / 2;
    millis Service{std::lognormal_distribution<double>(Mu, Sigma)(Random)};
    const bool IsCut = Service > Send.Remaining;
    Service = std::min(Service, Send.Remaining);
    Running.push(
        {Now + Service, Send.Request.Endpoint, Send.Attempt, Service, IsCut});
  }

  void end(const sub_reply &Reply) {
    query_state &Query = Queries[Reply.Query.Value];
    const query_class &Class = Settings.Classes[Query.Class];
    class_result &Counts = Result.Classes[Query.Class];
    --Outstanding[Reply.Endpoint.Value];
    const millis Took = Now - Query.Arrived;
    if (Reply.Outcome == outcome::answered && Took <= Class.Deadline)
      ++Query.Answered;
    ++Query.Ended;
    const std::uint32_t Open = Settings.Shards - Query.Ended;
    const double Needed = Class.MinCoverage * Settings.Shards;
    if (!Query.IsHopeless && Query.Answered + Open < Needed) {
      Query.IsHopeless = true;
      Hopeless.push_back(Reply.Query);
    }
    if (Open > 0)
      return;
    const double Covered = Query.Answered;
    if (Covered >= Needed) {
      ++Counts.Good;
      Counts.LatenciesMs.push_back(Took.Count);
    } else {
      Result.Wasted += Query.Answered;
    }
  }

  owner_world_settings Settings;
  deployment World;
  owner Owner;
  std::mt19937_64 Random;
  std::vector<std::uint32_t> Outstanding;
  instant Now;
  instant Timer = Never;
  std::priority_queue<finish, std::vector<finish>, std::greater<>> Running;
  std::vector<query_state> Queries;
  std::vector<owner_action> Actions;
  std::vector<query_id> Hopeless;
  std::vector<attempt_id> Cut; ///< cancelled, their ends must be ignored
  std::vector<std::pair<endpoint_id, attempt_id>> CutNow;
  millis Busy;
  owner_world_result Result;
};

} // namespace

owner_world_result runOwnerWorld(const owner_world_settings &Settings) {
  return owner_world(Settings).run();
}

} // namespace bulrush::bench

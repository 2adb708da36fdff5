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

constexpr vm_id SenderVm{0};
constexpr incarnation_id SenderIncarnation{1};

deployment makeDeployment(const owner_simulation_settings &Settings) {
  deployment Deployment;
  for (std::uint32_t I = 0; I < Settings.Shards * Settings.Replicas; ++I) {
    endpoint Endpoint{endpoint_id{I}, {}, {}, {}, {}};
    Endpoint.Limits.Slots = Settings.Slots;
    Deployment.Endpoints.push_back(Endpoint);
  }
  return Deployment;
}

struct completion {
  instant At;
  endpoint_id Endpoint;
  attempt_id Attempt;
  millis Service;
  bool IsExpired = false; ///< stopped by the endpoint at its deadline

  bool operator>(const completion &Other) const { return At > Other.At; }
};

struct query_state {
  std::size_t Class = 0;
  instant Arrived;
  std::uint32_t Answered = 0;
  std::uint32_t Completed = 0;
  bool HasFailed = false;
  sub_id FirstSub;
};

class owner_simulation {
public:
  explicit owner_simulation(const owner_simulation_settings &Settings)
      : Settings(Settings), Deployment(makeDeployment(Settings)),
        Owner(Deployment, Settings.Owner), Random(Settings.Seed),
        Outstanding(Deployment.Endpoints.size()) {
    Result.Classes.resize(Settings.Classes.size());
    ownership_changed Grants;
    for (const endpoint &Endpoint : Deployment.Endpoints)
      Grants.Grants.push_back({Endpoint.Id, Never, {}});
    step(std::move(Grants));
  }

  owner_simulation_result run() {
    const double Capacity = static_cast<double>(Settings.Slots) *
                            Settings.Replicas / Settings.MeanService.Count;
    std::exponential_distribution<double> Interarrival(Capacity *
                                                       Settings.Load);
    instant Arrival{Interarrival(Random)};
    while (Arrival < instant{} + Settings.Duration) {
      advanceTo(Arrival);
      submitQuery();
      Arrival = Arrival + millis{Interarrival(Random)};
    }
    advanceTo(Now + millis{1000});
    const double SlotTime = Settings.Duration.Count * Settings.Slots *
                            static_cast<double>(Deployment.Endpoints.size());
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
        processCompletion();
        continue;
      }
      Timer = Never;
      step(timer_fired{});
    }
    Now = Until;
  }

  void processCompletion() {
    const completion Completion = Running.top();
    Running.pop();
    if (std::erase(CancelledAttempts, Completion.Attempt) > 0)
      return;
    Busy += Completion.Service;
    endpoint_replied Reply;
    Reply.Endpoint = Completion.Endpoint;
    Reply.Attempt = Completion.Attempt;
    Reply.Latency = Completion.Service;
    if (Completion.IsExpired)
      Reply.Kind = reply_kind::expired_running;
    step(std::move(Reply));
  }

  void submitQuery() {
    const query_id Query{Queries.size()};
    query_state State;
    State.Class = sampleClass();
    State.Arrived = Now;
    State.FirstSub = {Result.SubRequests + 1};
    Queries.push_back(State);
    ++Result.Classes[State.Class].Offered;
    const query_class &Class = Settings.Classes[State.Class];
    sub_batch Batch;
    Batch.From = SenderVm;
    Batch.Remaining = Class.Deadline;
    Batch.Incarnation = SenderIncarnation;
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

  std::size_t sampleClass() {
    double Sample = std::uniform_real_distribution<double>()(Random);
    for (std::size_t I = 0; I < Settings.Classes.size(); ++I) {
      Sample -= Settings.Classes[I].Share;
      if (Sample < 0)
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
      dispatch(std::move(Next));
      for (const query_id Query : FailedQueries)
        Events.emplace_back(makeCancel(Query));
      FailedQueries.clear();
      for (const auto &[Endpoint, Attempt] : PendingCancelReplies) {
        endpoint_replied Reply;
        Reply.Endpoint = Endpoint;
        Reply.Attempt = Attempt;
        Reply.Kind = reply_kind::cancelled_running;
        Events.emplace_back(std::move(Reply));
      }
      PendingCancelReplies.clear();
    }
  }

  /// Cancels all sub-requests of a query, as the router does when the query can
  /// no longer reach its minimum coverage.
  cancel_arrived makeCancel(query_id Query) const {
    cancel_arrived Cancel{SenderVm, SenderIncarnation, {}};
    for (std::uint32_t Shard = 0; Shard < Settings.Shards; ++Shard)
      Cancel.Subs.push_back({Queries[Query.Value].FirstSub.Value + Shard});
    return Cancel;
  }

  void dispatch(owner_event Event) {
    Actions.clear();
    Owner.step(std::move(Event), Now, Actions);
    for (owner_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_to_endpoint>(&Action))
        startService(*Send);
      else if (const auto *Reply = std::get_if<reply_to_entry>(&Action))
        onSubReply(Reply->Reply);
      else if (const auto *Cancel = std::get_if<cancel_at_endpoint>(&Action))
        cancelAttempt(*Cancel);
      else if (const auto *Set = std::get_if<set_timer>(&Action))
        Timer = Set->At;
    }
  }

  void cancelAttempt(const cancel_at_endpoint &Cancel) {
    CancelledAttempts.push_back(Cancel.Attempt);
    PendingCancelReplies.push_back({Cancel.Endpoint, Cancel.Attempt});
  }

  /// Draws a service time; the endpoint stops a request at its deadline.
  void startService(const send_to_endpoint &Send) {
    ++Result.Sent;
    const double Sigma = Settings.Sigma;
    const double Mu = std::log(Settings.MeanService.Count) - Sigma * Sigma / 2;
    millis Service{std::lognormal_distribution<double>(Mu, Sigma)(Random)};
    const bool IsExpired = Service > Send.Remaining;
    Service = std::min(Service, Send.Remaining);
    Running.push({Now + Service, Send.Request.Endpoint, Send.Attempt, Service,
                  IsExpired});
  }

  void onSubReply(const sub_reply &Reply) {
    query_state &Query = Queries[Reply.Query.Value];
    const query_class &Class = Settings.Classes[Query.Class];
    class_result &Counts = Result.Classes[Query.Class];
    --Outstanding[Reply.Endpoint.Value];
    const millis Elapsed = Now - Query.Arrived;
    if (Reply.Outcome == outcome::answered && Elapsed <= Class.Deadline)
      ++Query.Answered;
    ++Query.Completed;
    const std::uint32_t Pending = Settings.Shards - Query.Completed;
    const double RequiredShards = Class.MinCoverage * Settings.Shards;
    if (!Query.HasFailed && Query.Answered + Pending < RequiredShards) {
      Query.HasFailed = true;
      FailedQueries.push_back(Reply.Query);
    }
    if (Pending > 0)
      return;
    const double Covered = Query.Answered;
    if (Covered >= RequiredShards) {
      ++Counts.Good;
      Counts.LatenciesMs.push_back(Elapsed.Count);
    } else {
      Result.Wasted += Query.Answered;
    }
  }

  owner_simulation_settings Settings;
  deployment Deployment;
  owner Owner;
  std::mt19937_64 Random;
  std::vector<std::uint32_t> Outstanding;
  instant Now;
  instant Timer = Never;
  std::priority_queue<completion, std::vector<completion>, std::greater<>>
      Running;
  std::vector<query_state> Queries;
  std::vector<owner_action> Actions;
  std::vector<query_id> FailedQueries;
  std::vector<attempt_id> CancelledAttempts; ///< completions to ignore
  std::vector<std::pair<endpoint_id, attempt_id>> PendingCancelReplies;
  millis Busy;
  owner_simulation_result Result;
};

} // namespace

owner_simulation_result
runOwnerSimulation(const owner_simulation_settings &Settings) {
  return owner_simulation(Settings).run();
}

} // namespace bulrush::bench

#include "ownership_tally.h"
#include "query/owner.h"

#include <queue>

namespace bulrush::bench {

using namespace query;

namespace {

constexpr incarnation_id SenderIncarnation{1};

/// One daemon with the owner core that schedules the slots it holds.
struct holder {
  deployment Deployment;
  std::unique_ptr<owner> Owner;
  instant Timer = Never;
};

/// Delivery of a batch to a holder or completion of a request.
struct scheduled_event {
  enum class kind : std::uint8_t { batch, complete };
  instant At;
  kind Kind = kind::batch;
  std::uint32_t Holder = 0;
  endpoint_id Endpoint;
  attempt_id Attempt;
  millis ServiceTime;
  std::shared_ptr<sub_batch> Batch;

  bool operator>(const scheduled_event &Other) const { return At > Other.At; }
};

class holder_simulation {
public:
  holder_simulation(const ownership_case &Case, bool IsSplit,
                    const std::vector<ownership_arrival> &Arrivals)
      : Case(Case), Arrivals(Arrivals), SlotCounts(Case.Endpoints) {
    for (std::uint32_t E = 0; E < Case.Endpoints; ++E)
      distributeSlots(E, IsSplit);
    makeHolders();
  }

  ownership_result run() {
    for (std::uint32_t Query = 0; Query < Arrivals.size(); ++Query) {
      advanceTo(Arrivals[Query].At);
      submitQuery(Query);
    }
    advanceTo(Now + Case.Deadline + millis{1000});
    return Counters.result(Case, Arrivals);
  }

private:
  /// Assigns the slots of an endpoint: to consecutive daemons if `IsSplit`,
  /// else all to one daemon. The first daemon depends on the endpoint.
  void distributeSlots(std::uint32_t Endpoint, bool IsSplit) {
    SlotCounts[Endpoint].assign(Case.Daemons, 0);
    for (std::uint32_t Slot = 0; Slot < Case.Slots; ++Slot) {
      const std::uint32_t Position =
          IsSplit ? Endpoint * Case.Slots + Slot : Endpoint;
      ++SlotCounts[Endpoint][Position % Case.Daemons];
    }
  }

  void makeHolders() {
    owner_settings Settings;
    Settings.Admission = admission_policy::ungated;
    Settings.RampReplies = 1;
    Settings.ReplyTransit = Case.OneWayDelay;
    Holders.resize(Case.Daemons);
    for (std::uint32_t D = 0; D < Case.Daemons; ++D) {
      holder &Holder = Holders[D];
      ownership_changed Grants;
      for (std::uint32_t E = 0; E < Case.Endpoints; ++E) {
        endpoint Endpoint{endpoint_id{E}, {}, {}, {}, {}};
        Endpoint.Limits.Slots = SlotCounts[E][D];
        Holder.Deployment.Endpoints.push_back(Endpoint);
        if (SlotCounts[E][D] > 0)
          Grants.Grants.push_back({{E}, Never, {}});
      }
      Holder.Owner = std::make_unique<owner>(Holder.Deployment, Settings);
      step(D, std::move(Grants));
    }
  }

  /// Returns the daemon of the query if it holds a slot of the endpoint, else a
  /// daemon that does, chosen in proportion to the slots held.
  std::uint32_t selectHolder(std::uint32_t Endpoint,
                             std::uint32_t Query) const {
    const std::vector<std::uint32_t> &DaemonSlots = SlotCounts[Endpoint];
    const std::uint32_t Local = Arrivals[Query].Daemon;
    if (DaemonSlots[Local] > 0)
      return Local;
    std::uint32_t SlotIndex = (Query * 31 + Endpoint) % Case.Slots;
    for (std::uint32_t D = 0;; D = (D + 1) % Case.Daemons) {
      if (DaemonSlots[D] > SlotIndex)
        return D;
      SlotIndex -= DaemonSlots[D];
    }
  }

  void submitQuery(std::uint32_t Query) {
    const std::uint32_t Local = Arrivals[Query].Daemon;
    std::vector<std::shared_ptr<sub_batch>> Batches(Case.Daemons);
    for (std::uint32_t E = 0; E < Case.Endpoints; ++E) {
      const std::uint32_t Holder = selectHolder(E, Query);
      auto &Batch = Batches[Holder];
      if (!Batch)
        Batch = std::make_shared<sub_batch>(
            sub_batch{{Local}, Case.Deadline, {}, {}, SenderIncarnation});
      sub_request Request;
      Request.Sub = {std::uint64_t{Query} * Case.Endpoints + E};
      Request.Query = {Query};
      Request.Endpoint = {E};
      Batch->Items.push_back(std::move(Request));
    }
    for (std::uint32_t D = 0; D < Case.Daemons; ++D)
      if (Batches[D])
        deliver(D, Local, Batches[D]);
  }

  void deliver(std::uint32_t To, std::uint32_t From,
               const std::shared_ptr<sub_batch> &Batch) {
    if (To == From) {
      step(To, batch_arrived{std::move(*Batch)});
      return;
    }
    ++Counters.Messages;
    Counters.Messages += Batch->Items.size(); // one reply message per item
    Batch->Remaining = Batch->Remaining - Case.OneWayDelay;
    Events.push({Now + Case.OneWayDelay,
                 scheduled_event::kind::batch,
                 To,
                 {},
                 {},
                 {},
                 Batch});
  }

  void advanceTo(instant Until) {
    for (;;) {
      const instant Next = Events.empty() ? Never : Events.top().At;
      const auto NextTimer = std::min_element(
          Holders.begin(), Holders.end(),
          [](const holder &A, const holder &B) { return A.Timer < B.Timer; });
      if (std::min(Next, NextTimer->Timer) > Until)
        break;
      Now = std::max(Now, std::min(Next, NextTimer->Timer));
      if (Next <= NextTimer->Timer) {
        handleNextEvent();
        continue;
      }
      NextTimer->Timer = Never;
      step(static_cast<std::uint32_t>(NextTimer - Holders.begin()),
           timer_fired{});
    }
    Now = Until;
  }

  void handleNextEvent() {
    const scheduled_event Next = Events.top();
    Events.pop();
    if (Next.Kind == scheduled_event::kind::batch) {
      step(Next.Holder, batch_arrived{std::move(*Next.Batch)});
      return;
    }
    endpoint_replied Reply;
    Reply.Endpoint = Next.Endpoint;
    Reply.Attempt = Next.Attempt;
    Reply.Latency = Next.ServiceTime;
    step(Next.Holder, std::move(Reply));
  }

  void step(std::uint32_t Index, owner_event Event) {
    Actions.clear();
    holder &Holder = Holders[Index];
    Holder.Owner->step(std::move(Event), Now, Actions);
    for (const owner_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_to_endpoint>(&Action))
        startService(Index, *Send);
      else if (const auto *Set = std::get_if<set_timer>(&Action))
        Holder.Timer = Set->At;
    }
  }

  void startService(std::uint32_t Index, const send_to_endpoint &Send) {
    const ownership_arrival &Arrival = Arrivals[Send.Request.Query.Value];
    const millis ServiceTime =
        Arrival.ServiceTimes[Send.Request.Endpoint.Value];
    const bool IsWarmup = Send.Request.Query.Value < Case.warmupQueries();
    Counters.recordSend(IsWarmup, Now - Arrival.At, ServiceTime, Now);
    Events.push({Now + ServiceTime,
                 scheduled_event::kind::complete,
                 Index,
                 Send.Request.Endpoint,
                 Send.Attempt,
                 ServiceTime,
                 {}});
  }

  const ownership_case &Case;
  const std::vector<ownership_arrival> &Arrivals;
  std::vector<std::vector<std::uint32_t>> SlotCounts; ///< [endpoint][daemon]
  std::vector<holder> Holders;
  std::priority_queue<scheduled_event, std::vector<scheduled_event>,
                      std::greater<>>
      Events;
  std::vector<owner_action> Actions;
  instant Now;
  ownership_counters Counters;
};

} // namespace

ownership_result runHolders(const ownership_case &Case, bool IsSplit,
                            const std::vector<ownership_arrival> &Arrivals) {
  return holder_simulation(Case, IsSplit, Arrivals).run();
}

} // namespace bulrush::bench

#include "ownership_tally.h"
#include "query/owner.h"

#include <queue>

namespace bulrush::bench {

using namespace query;

namespace {

constexpr incarnation_id Life{1};

/// One daemon: the core that decides for the slots that it holds.
struct holder {
  deployment World;
  std::unique_ptr<owner> Owner;
  instant Timer = Never;
};

/// Something that happens later.
struct later {
  enum class kind : std::uint8_t { batch, finish };
  instant At;
  kind Kind = kind::batch;
  std::uint32_t Holder = 0;
  endpoint_id Endpoint;
  attempt_id Attempt;
  millis Service;
  std::shared_ptr<sub_batch> Batch;

  bool operator>(const later &Other) const { return At > Other.At; }
};

class holders_world {
public:
  holders_world(const ownership_case &Case, bool IsSplit,
                const std::vector<ownership_arrival> &Arrivals)
      : Case(Case), Arrivals(Arrivals), Shares(Case.Endpoints) {
    for (std::uint32_t E = 0; E < Case.Endpoints; ++E)
      share(E, IsSplit);
    makeHolders();
  }

  ownership_result run() {
    for (std::uint32_t Query = 0; Query < Arrivals.size(); ++Query) {
      advanceTo(Arrivals[Query].At);
      arrive(Query);
    }
    advanceTo(Now + Case.Deadline + millis{1000});
    return Tally.result(Case, Arrivals);
  }

private:
  /// Deals the slots of an endpoint out; the first daemon differs by endpoint.
  void share(std::uint32_t Endpoint, bool IsSplit) {
    Shares[Endpoint].assign(Case.Daemons, 0);
    for (std::uint32_t Slot = 0; Slot < Case.Slots; ++Slot) {
      const std::uint32_t Step =
          IsSplit ? Endpoint * Case.Slots + Slot : Endpoint;
      ++Shares[Endpoint][Step % Case.Daemons];
    }
  }

  void makeHolders() {
    owner_settings Settings;
    Settings.Admission = admission_policy::ungated;
    Settings.RampReplies = 1;
    Settings.ReplyTransit = Case.OneWay;
    Holders.resize(Case.Daemons);
    for (std::uint32_t D = 0; D < Case.Daemons; ++D) {
      holder &Holder = Holders[D];
      ownership_changed Grants;
      for (std::uint32_t E = 0; E < Case.Endpoints; ++E) {
        endpoint Endpoint{endpoint_id{E}, {}, {}, {}, {}};
        Endpoint.Limits.Slots = Shares[E][D];
        Holder.World.Endpoints.push_back(Endpoint);
        if (Shares[E][D] > 0)
          Grants.Grants.push_back({{E}, Never, {}});
      }
      Holder.Owner = std::make_unique<owner>(Holder.World, Settings);
      step(D, std::move(Grants));
    }
  }

  /// The daemon itself where it holds a slot, else one of those that do.
  std::uint32_t holderFor(std::uint32_t Endpoint, std::uint32_t Query) const {
    const std::vector<std::uint32_t> &Share = Shares[Endpoint];
    const std::uint32_t Own = Arrivals[Query].Daemon;
    if (Share[Own] > 0)
      return Own;
    std::uint32_t Turn = (Query * 31 + Endpoint) % Case.Slots;
    for (std::uint32_t D = 0;; D = (D + 1) % Case.Daemons) {
      if (Share[D] > Turn)
        return D;
      Turn -= Share[D];
    }
  }

  void arrive(std::uint32_t Query) {
    const std::uint32_t Own = Arrivals[Query].Daemon;
    std::vector<std::shared_ptr<sub_batch>> Batches(Case.Daemons);
    for (std::uint32_t E = 0; E < Case.Endpoints; ++E) {
      const std::uint32_t Holder = holderFor(E, Query);
      auto &Batch = Batches[Holder];
      if (!Batch)
        Batch = std::make_shared<sub_batch>(
            sub_batch{{Own}, Case.Deadline, {}, {}, Life});
      sub_request Request;
      Request.Sub = {std::uint64_t{Query} * Case.Endpoints + E};
      Request.Query = {Query};
      Request.Endpoint = {E};
      Batch->Items.push_back(std::move(Request));
    }
    for (std::uint32_t D = 0; D < Case.Daemons; ++D)
      if (Batches[D])
        deliver(D, Own, Batches[D]);
  }

  void deliver(std::uint32_t To, std::uint32_t From,
               const std::shared_ptr<sub_batch> &Batch) {
    if (To == From) {
      step(To, batch_arrived{std::move(*Batch)});
      return;
    }
    ++Tally.Messages;
    Tally.Messages += Batch->Items.size(); // each is answered at its own time
    Batch->Remaining = Batch->Remaining - Case.OneWay;
    Later.push({Now + Case.OneWay, later::kind::batch, To, {}, {}, {}, Batch});
  }

  void advanceTo(instant Until) {
    for (;;) {
      const instant Next = Later.empty() ? Never : Later.top().At;
      const auto Due = std::min_element(
          Holders.begin(), Holders.end(),
          [](const holder &A, const holder &B) { return A.Timer < B.Timer; });
      if (std::min(Next, Due->Timer) > Until)
        break;
      Now = std::max(Now, std::min(Next, Due->Timer));
      if (Next <= Due->Timer) {
        takeLater();
        continue;
      }
      Due->Timer = Never;
      step(static_cast<std::uint32_t>(Due - Holders.begin()), timer_fired{});
    }
    Now = Until;
  }

  void takeLater() {
    const later Next = Later.top();
    Later.pop();
    if (Next.Kind == later::kind::batch) {
      step(Next.Holder, batch_arrived{std::move(*Next.Batch)});
      return;
    }
    endpoint_replied Reply;
    Reply.Endpoint = Next.Endpoint;
    Reply.Attempt = Next.Attempt;
    Reply.Latency = Next.Service;
    step(Next.Holder, std::move(Reply));
  }

  void step(std::uint32_t Index, owner_event Event) {
    Actions.clear();
    holder &Holder = Holders[Index];
    Holder.Owner->step(std::move(Event), Now, Actions);
    for (const owner_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_to_endpoint>(&Action))
        serve(Index, *Send);
      else if (const auto *Set = std::get_if<set_timer>(&Action))
        Holder.Timer = Set->At;
    }
  }

  void serve(std::uint32_t Index, const send_to_endpoint &Send) {
    const ownership_arrival &Arrival = Arrivals[Send.Request.Query.Value];
    const millis Service = Arrival.Services[Send.Request.Endpoint.Value];
    const bool IsEarly = Send.Request.Query.Value < Case.earlyQueries();
    Tally.sent(IsEarly, Now - Arrival.At, Service, Now);
    Later.push({Now + Service,
                later::kind::finish,
                Index,
                Send.Request.Endpoint,
                Send.Attempt,
                Service,
                {}});
  }

  const ownership_case &Case;
  const std::vector<ownership_arrival> &Arrivals;
  std::vector<std::vector<std::uint32_t>> Shares; ///< [endpoint][daemon]
  std::vector<holder> Holders;
  std::priority_queue<later, std::vector<later>, std::greater<>> Later;
  std::vector<owner_action> Actions;
  instant Now;
  ownership_tally Tally;
};

} // namespace

ownership_result runHolders(const ownership_case &Case, bool IsSplit,
                            const std::vector<ownership_arrival> &Arrivals) {
  return holders_world(Case, IsSplit, Arrivals).run();
}

} // namespace bulrush::bench

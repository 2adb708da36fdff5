#include "ownership_tally.h"

#include <deque>
#include <queue>

namespace bulrush::bench {

namespace {

/// A sub-request in the queue of its daemon.
struct queued_request {
  std::uint32_t Query = 0;
  instant ArrivedAt;
};

/// State of the credits of one endpoint at its manager and at each daemon.
struct credit_state {
  std::uint32_t FreeCredits = 0;                  ///< not lent to a daemon
  std::deque<std::uint32_t> Requesters;           ///< in order of arrival
  std::vector<std::deque<queued_request>> Queues; ///< indexed by daemon
};

struct scheduled_event {
  enum class kind : std::uint8_t {
    request_credit,
    grant_credit,
    complete,
    return_credit
  };
  instant At;
  kind Kind = kind::request_credit;
  std::uint32_t Endpoint = 0;
  std::uint32_t Daemon = 0;

  bool operator>(const scheduled_event &Other) const { return At > Other.At; }
};

/// Simulates leased credits. A daemon requests one credit per sub-request,
/// reuses a credit until its queue is empty and then returns it to the manager.
/// Drops a sub-request that can no longer meet its deadline when it is
/// dequeued.
class credit_simulation {
public:
  credit_simulation(const ownership_case &Case,
                    const std::vector<ownership_arrival> &Arrivals)
      : Case(Case), Arrivals(Arrivals), States(Case.Endpoints) {
    for (credit_state &State : States) {
      State.FreeCredits = Case.Slots;
      State.Queues.resize(Case.Daemons);
    }
  }

  ownership_result run() {
    for (std::uint32_t Query = 0; Query < Arrivals.size(); ++Query) {
      advanceTo(Arrivals[Query].At);
      for (std::uint32_t E = 0; E < Case.Endpoints; ++E)
        enqueueSubRequest(Query, E);
    }
    advanceTo(Now + millis{2000});
    return Counters.result(Case, Arrivals);
  }

private:
  void enqueueSubRequest(std::uint32_t Query, std::uint32_t Endpoint) {
    const std::uint32_t Daemon = Arrivals[Query].Daemon;
    States[Endpoint].Queues[Daemon].push_back({Query, Now});
    sendMessage(scheduled_event::kind::request_credit, Endpoint, Daemon);
  }

  bool isManager(std::uint32_t Endpoint, std::uint32_t Daemon) const {
    return Endpoint % Case.Daemons == Daemon;
  }

  void sendMessage(scheduled_event::kind Kind, std::uint32_t Endpoint,
                   std::uint32_t Daemon) {
    const bool IsLocal = isManager(Endpoint, Daemon);
    Counters.Messages += IsLocal ? 0 : 1;
    const millis Delay = IsLocal ? millis{0} : Case.OneWayDelay;
    Events.push({Now + Delay, Kind, Endpoint, Daemon});
  }

  void advanceTo(instant Until) {
    while (!Events.empty() && Events.top().At <= Until) {
      const scheduled_event Next = Events.top();
      Events.pop();
      Now = Next.At;
      handleEvent(Next);
    }
    Now = Until;
  }

  void handleEvent(const scheduled_event &Next) {
    credit_state &State = States[Next.Endpoint];
    switch (Next.Kind) {
    case scheduled_event::kind::request_credit:
      State.Requesters.push_back(Next.Daemon);
      grantCredits(Next.Endpoint);
      return;
    case scheduled_event::kind::return_credit:
      ++State.FreeCredits;
      grantCredits(Next.Endpoint);
      return;
    case scheduled_event::kind::grant_credit:
    case scheduled_event::kind::complete:
      useCredit(Next.Endpoint, Next.Daemon);
      return;
    }
  }

  void grantCredits(std::uint32_t Endpoint) {
    credit_state &State = States[Endpoint];
    while (State.FreeCredits > 0 && !State.Requesters.empty()) {
      --State.FreeCredits;
      const std::uint32_t Daemon = State.Requesters.front();
      State.Requesters.pop_front();
      sendMessage(scheduled_event::kind::grant_credit, Endpoint, Daemon);
    }
  }

  void useCredit(std::uint32_t Endpoint, std::uint32_t Daemon) {
    std::deque<queued_request> &Queue = States[Endpoint].Queues[Daemon];
    while (!Queue.empty()) {
      const queued_request Request = Queue.front();
      Queue.pop_front();
      const millis Wait = Now - Request.ArrivedAt;
      if (Wait + Case.MeanService + Case.OneWayDelay > Case.Deadline)
        continue;
      const millis ServiceTime = Arrivals[Request.Query].ServiceTimes[Endpoint];
      Counters.recordSend(Request.Query < Case.warmupQueries(), Wait,
                          ServiceTime, Now);
      Events.push({Now + ServiceTime, scheduled_event::kind::complete, Endpoint,
                   Daemon});
      return;
    }
    sendMessage(scheduled_event::kind::return_credit, Endpoint, Daemon);
  }

  const ownership_case &Case;
  const std::vector<ownership_arrival> &Arrivals;
  std::vector<credit_state> States; ///< indexed by endpoint
  std::priority_queue<scheduled_event, std::vector<scheduled_event>,
                      std::greater<>>
      Events;
  instant Now;
  ownership_counters Counters;
};

} // namespace

ownership_result runCredits(const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals) {
  return credit_simulation(Case, Arrivals).run();
}

} // namespace bulrush::bench

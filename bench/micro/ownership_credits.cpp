#include "ownership_tally.h"

#include <deque>
#include <queue>

namespace bulrush::bench {

namespace {

/// A sub-request that waits at its daemon.
struct waiting {
  std::uint32_t Query = 0;
  instant ArrivedAt;
};

/// The credits of one endpoint: the manager's part and that of each daemon.
struct credit_state {
  std::uint32_t Free = 0;                  ///< credits at the manager
  std::deque<std::uint32_t> Askers;        ///< daemons that wait for a credit
  std::vector<std::deque<waiting>> Queues; ///< by daemon
};

struct later {
  enum class kind : std::uint8_t { ask, give, finish, give_back };
  instant At;
  kind Kind = kind::ask;
  std::uint32_t Endpoint = 0;
  std::uint32_t Daemon = 0;

  bool operator>(const later &Other) const { return At > Other.At; }
};

/// A daemon asks for one credit for each sub-request, uses a credit as long as
/// work waits and nobody else asked, and gives it back. What cannot make its
/// deadline is dropped when its turn comes.
class credits_world {
public:
  credits_world(const ownership_case &Case,
                const std::vector<ownership_arrival> &Arrivals)
      : Case(Case), Arrivals(Arrivals), States(Case.Endpoints) {
    for (credit_state &State : States) {
      State.Free = Case.Slots;
      State.Queues.resize(Case.Daemons);
    }
  }

  ownership_result run() {
    for (std::uint32_t Query = 0; Query < Arrivals.size(); ++Query) {
      advanceTo(Arrivals[Query].At);
      for (std::uint32_t E = 0; E < Case.Endpoints; ++E)
        arrive(Query, E);
    }
    advanceTo(Now + millis{2000});
    return Tally.result(Case, Arrivals);
  }

private:
  void arrive(std::uint32_t Query, std::uint32_t Endpoint) {
    const std::uint32_t Daemon = Arrivals[Query].Daemon;
    States[Endpoint].Queues[Daemon].push_back({Query, Now});
    sendMessage(later::kind::ask, Endpoint, Daemon);
  }

  bool isManager(std::uint32_t Endpoint, std::uint32_t Daemon) const {
    return Endpoint % Case.Daemons == Daemon;
  }

  void sendMessage(later::kind Kind, std::uint32_t Endpoint,
                   std::uint32_t Daemon) {
    const bool IsLocal = isManager(Endpoint, Daemon);
    Tally.Messages += IsLocal ? 0 : 1;
    const millis Delay = IsLocal ? millis{0} : Case.OneWay;
    Later.push({Now + Delay, Kind, Endpoint, Daemon});
  }

  void advanceTo(instant Until) {
    while (!Later.empty() && Later.top().At <= Until) {
      const later Next = Later.top();
      Later.pop();
      Now = Next.At;
      take(Next);
    }
    Now = Until;
  }

  void take(const later &Next) {
    credit_state &State = States[Next.Endpoint];
    switch (Next.Kind) {
    case later::kind::ask:
      State.Askers.push_back(Next.Daemon);
      lend(Next.Endpoint);
      return;
    case later::kind::give_back:
      ++State.Free;
      lend(Next.Endpoint);
      return;
    case later::kind::give:
    case later::kind::finish:
      use(Next.Endpoint, Next.Daemon);
      return;
    }
  }

  void lend(std::uint32_t Endpoint) {
    credit_state &State = States[Endpoint];
    while (State.Free > 0 && !State.Askers.empty()) {
      --State.Free;
      const std::uint32_t Daemon = State.Askers.front();
      State.Askers.pop_front();
      sendMessage(later::kind::give, Endpoint, Daemon);
    }
  }

  void use(std::uint32_t Endpoint, std::uint32_t Daemon) {
    std::deque<waiting> &Queue = States[Endpoint].Queues[Daemon];
    while (!Queue.empty()) {
      const waiting Work = Queue.front();
      Queue.pop_front();
      const millis Wait = Now - Work.ArrivedAt;
      if (Wait + Case.MeanService + Case.OneWay > Case.Deadline)
        continue;
      const millis Service = Arrivals[Work.Query].Services[Endpoint];
      Tally.sent(Work.Query < Case.earlyQueries(), Wait, Service, Now);
      Later.push({Now + Service, later::kind::finish, Endpoint, Daemon});
      return;
    }
    sendMessage(later::kind::give_back, Endpoint, Daemon);
  }

  const ownership_case &Case;
  const std::vector<ownership_arrival> &Arrivals;
  std::vector<credit_state> States; ///< by endpoint
  std::priority_queue<later, std::vector<later>, std::greater<>> Later;
  instant Now;
  ownership_tally Tally;
};

} // namespace

ownership_result runCredits(const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals) {
  return credits_world(Case, Arrivals).run();
}

} // namespace bulrush::bench

// Limits that endpoints state on the requests of all relays together.
#include "relay/limit_allocator.h"
#include "relay_fixture.h"

#include <deque>
#include <random>
#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr millis Tick{5};
constexpr millis ReplyTime{20};
/// Endpoints bear more than their limit for this long after they name it.
constexpr millis NoticeTime{4000};
/// A relay is held to the limit this long after the first reply that names it.
constexpr millis HearingTime{500};
/// The bound: in any `Window`, 1.5 times the limit and 5 requests.
constexpr millis Window{4000};

constexpr millis LeaderRoundTrip{5};

/// Relays that share the endpoints "one-0" (near, limited) and "one-1" (far).
struct limited_fleet {
  struct client_counts {
    int Sent = 0;
    int Answered = 0;
    int Refused = 0;
  };

  limited_fleet(std::uint32_t RelayCount, request_rate Limit, int Endpoints)
      : Limit(Limit) {
    for (std::uint32_t I = 0; I < RelayCount; ++I) {
      auto &Relay = Relays.emplace_back(relay_fixture::settings(), I + 1);
      Relay.addService("one", Endpoints);
      Relay.addPlainRoute("/one/", "one");
      Relay.install(RelayCount);
    }
  }

  /// Runs the fleet while clients send `Load`, spread evenly over the first
  /// `Busy` relays.
  void run(millis Time, request_rate Load, std::size_t Busy = 1000) {
    Busy = std::min(Busy, Relays.size());
    std::bernoulli_distribution Arrives(Load.PerSecond * Tick.Count / 1000 /
                                        static_cast<double>(Busy));
    for (const instant End = Now + Time; Now < End; Now = Now + Tick)
      for (std::size_t I = 0; I < Relays.size(); ++I) {
        relay_fixture &Relay = Relays[I];
        Relay.advance(Tick.Count);
        replyDue(Relay);
        if (I < Busy && Arrives(Random)) {
          ++Counts.Sent;
          Relay.sendRequest("/one/");
        }
        noteSends(Relay);
        takeActions(I);
      }
  }

  /// Most requests that the limited endpoint got in a `Window` after the notice
  /// time.
  std::size_t worstWindow() const {
    std::size_t Worst = 0;
    std::deque<instant> Recent;
    for (const instant Each : Arrivals) {
      if (Each < FirstNamedAt + NoticeTime)
        continue;
      Recent.push_back(Each);
      while (Recent.back() - Recent.front() > Window)
        Recent.pop_front();
      Worst = std::max(Worst, Recent.size());
    }
    return Worst;
  }
  std::size_t allowedInWindow() const {
    return static_cast<std::size_t>(
        1.5 * Limit.PerSecond * Window.Count / 1000 + 5);
  }

  /// Requests at the limited endpoint since `From`, per second.
  double arrivalRate(instant From) const {
    const auto Count =
        std::count_if(AllArrivals.begin(), AllArrivals.end(),
                      [&](instant Each) { return Each >= From; });
    return static_cast<double>(Count) / ((Now - From) / millis{1000});
  }
  /// Relays that hold the limit.
  std::size_t limitedRelays() const { return Holding.size(); }

  request_rate Limit;
  bool IsLifted = false; ///< the endpoint states no limit any more
  bool HasLeader = true; ///< relays can reach the registry's leader
  std::deque<relay_fixture> Relays;
  std::mt19937 Random{11};
  instant Now{1000};
  instant FirstNamedAt = Never;
  /// At the limited endpoint, from relays that are held to the limit.
  std::vector<instant> Arrivals;
  std::vector<instant> AllArrivals;
  client_counts Counts;

private:
  struct pending_reply {
    instant Due;
    bool IsLimited = false;
  };
  std::map<std::pair<const relay_fixture *, std::uint64_t>, pending_reply>
      Pending;
  std::map<const relay_fixture *, instant> HeardAt;
  limit_allocator Allocator;
  std::set<std::size_t> Holding; ///< relays whose last log event is a limit

  void takeActions(std::size_t Index) {
    relay_fixture &Relay = Relays[Index];
    const relay_actions Actions = std::exchange(Relay.Actions, {});
    for (const relay_action &Each : Actions) {
      if (const auto *Answer = std::get_if<send_answer>(&Each))
        ++(Answer->Status == 200 ? Counts.Answered : Counts.Refused);
      if (const auto *LogEvent = std::get_if<endpoint_log_event>(&Each))
        noteChange(Index, LogEvent->Change);
      const auto *Reports = std::get_if<send_limit_reports>(&Each);
      if (Reports && HasLeader)
        tellLeader(Index, *Reports);
    }
  }

  void noteChange(std::size_t Index, endpoint_state_change Change) {
    if (Change == endpoint_state_change::rate_limited)
      Holding.insert(Index);
    if (Change == endpoint_state_change::rate_limit_lifted)
      Holding.erase(Index);
  }

  void tellLeader(std::size_t Index, const send_limit_reports &Action) {
    auto Outcome = Allocator.on({static_cast<std::uint32_t>(Index + 1)},
                                Action.Reports, Now);
    for (relay_fixture &Relay : Relays)
      if (!Outcome.News.empty())
        Relay.step(limit_grants_arrived{age(Outcome.News)});
    Relays[Index].step(limit_grants_arrived{age(Outcome.Grants)});
  }

  static std::vector<limit_grant> age(std::vector<limit_grant> Grants) {
    for (limit_grant &Each : Grants)
      Each.Statement.Age += LeaderRoundTrip;
    return Grants;
  }

  void noteSends(relay_fixture &Relay) {
    for (const auto &[Attempt, Each] : Relay.Sent) {
      const bool IsLimited = Relay.instanceOf(Each) == "one-0";
      const bool IsNew =
          Pending.try_emplace({&Relay, Attempt}, Now + ReplyTime, IsLimited)
              .second;
      const auto Heard = HeardAt.find(&Relay);
      const bool IsHeld =
          Heard != HeardAt.end() && Now >= Heard->second + HearingTime;
      if (IsNew && IsLimited)
        AllArrivals.push_back(Now);
      if (IsNew && IsLimited && IsHeld)
        Arrivals.push_back(Now);
    }
  }

  void replyDue(relay_fixture &Relay) {
    std::vector<std::uint64_t> Due;
    for (const auto &[Attempt, Each] : Relay.Sent) {
      const auto Found = Pending.find({&Relay, Attempt});
      if (Found != Pending.end() && Found->second.Due <= Now)
        Due.push_back(Attempt);
    }
    for (const std::uint64_t Attempt : Due) {
      endpoint_reply Reply;
      Reply.Status = 200;
      Reply.Signature = "s";
      if (Pending.at({&Relay, Attempt}).IsLimited && !IsLifted) {
        Reply.RateLimit = Limit;
        FirstNamedAt = std::min(FirstNamedAt, Now);
        HeardAt.try_emplace(&Relay, Now);
      }
      Relay.end(Attempt, attempt_end::replied, Reply);
    }
  }
};

} // namespace

// Guards against LIMIT: an endpoint that had named a limit got far more.
TEST_CASE("all relays together keep within the limit that an endpoint names",
          "[relay][limit]") {
  for (const bool HasLeader : {false, true})
    for (const std::uint32_t RelayCount : {1U, 8U, 91U})
      for (const double PerSecond : {2.0, 10.0, 30.0}) {
        limited_fleet Fleet(RelayCount, {PerSecond}, 1);
        Fleet.HasLeader = HasLeader;
        Fleet.run({16'000}, {PerSecond * 4});
        INFO(RelayCount << " relays, limit " << PerSecond << ", leader "
                        << HasLeader);
        CHECK(Fleet.worstWindow() <= Fleet.allowedInWindow());
      }
}

// Guards against LIMIT while relays lose the leader and find it again.
TEST_CASE("a limit is kept while the registry's leader comes and goes",
          "[relay][limit]") {
  for (const std::uint32_t RelayCount : {8U, 91U}) {
    limited_fleet Fleet(RelayCount, {10}, 1);
    for (const double Ms : {2000, 500, 3000, 5000, 1000, 4000}) {
      Fleet.run({Ms}, {60});
      Fleet.HasLeader = !Fleet.HasLeader;
    }
    INFO(RelayCount << " relays");
    CHECK(Fleet.worstWindow() <= Fleet.allowedInWindow());
  }
}

// Guards against LIMIT when the load moves from some relays to others.
TEST_CASE("a limit is kept while the load moves between relays",
          "[relay][limit]") {
  limited_fleet Fleet(40, {10}, 1);
  for (const std::size_t Busy : {2U, 40U, 1U, 20U, 3U, 40U})
    Fleet.run({2500}, {60}, Busy);
  CHECK(Fleet.worstWindow() <= Fleet.allowedInWindow());
}

// Guards against an endpoint that is left idle because few of many relays use
// it.
TEST_CASE("the relays that get the requests get the limit", "[relay][limit]") {
  for (const std::size_t Busy : {1U, 6U, 91U}) {
    limited_fleet Fleet(91, {10}, 1);
    Fleet.run({3000}, {40}, Busy);
    const instant From = Fleet.Now;
    Fleet.run({12'000}, {40}, Busy);
    INFO(Busy << " busy relays");
    CHECK(Fleet.worstWindow() <= Fleet.allowedInWindow());
    CHECK(Fleet.arrivalRate(From) >= 8);
  }
}

// Guards against relays that keep to a limit long after it was lifted.
TEST_CASE("all relays know of a lifted limit within a second",
          "[relay][limit]") {
  limited_fleet Fleet(91, {5}, 2);
  Fleet.run({4000}, {40}, 6);
  CHECK(Fleet.limitedRelays() == 91);
  Fleet.IsLifted = true;
  Fleet.run({1000}, {40}, 6);
  CHECK(Fleet.limitedRelays() == 0);
}

// Guards against refusals although the endpoint takes more than is asked for.
TEST_CASE("requests below a limit are served, however many relays share it",
          "[relay][limit]") {
  for (const std::uint32_t RelayCount : {8U, 91U}) {
    limited_fleet Fleet(RelayCount, {10}, 1);
    Fleet.run({3000}, {7});
    Fleet.Counts = {};
    Fleet.run({15'000}, {7});
    INFO(RelayCount << " relays");
    CHECK(Fleet.Counts.Answered >= 0.85 * Fleet.Counts.Sent);
  }
}

TEST_CASE("limits out of all proportion are bounded", "[relay][limit]") {
  for (const double PerSecond : {0.0, 1e308}) {
    limited_fleet Fleet(8, {PerSecond}, 1);
    Fleet.run({10'000}, {20});
    INFO("limit " << PerSecond);
    CHECK(Fleet.Counts.Answered >=
          (PerSecond > 0 ? 0.9 * Fleet.Counts.Sent : 1));
    CHECK(Fleet.worstWindow() <= (PerSecond > 0 ? 200 : 6));
  }
}

TEST_CASE("what a limit cannot serve is refused at once", "[relay][limit]") {
  limited_fleet Fleet(8, {10}, 1);
  Fleet.run({10'000}, {40});
  CHECK(Fleet.Counts.Answered >= 0.6 * 100);
  CHECK(Fleet.Counts.Answered + Fleet.Counts.Refused >= Fleet.Counts.Sent - 4);
}

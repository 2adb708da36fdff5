/// Several relays in one process, the endpoints that they share, and clients.
#pragma once

#include "relay_fixture.h"

#include <deque>
#include <functional>
#include <random>
#include <set>

namespace bulrush::test {

/// What happens to a relay's connections to endpoints.
enum class endpoint_path : std::uint8_t {
  open,
  silent,
  refused,
  mostly_refused ///< only the endpoints of the first shard are reached
};

struct fleet_options {
  std::size_t Relays = 8; ///< in the zones in turn
  std::size_t Shards = 20;
  int Copies = 2;         ///< endpoints of each shard
  int PlainEndpoints = 6; ///< of the service "plain", of the route "/plain/"
  std::size_t Zones = 2;  ///< "near", "far", "third"
  budget_settings Budget{};
  std::uint32_t Seed = 11;
};

/// How the endpoints of a service behave.
struct endpoint_faults {
  double FailShare = 0;  ///< reply 500
  double StallShare = 0; ///< reply after `StallTime`
  millis StallTime{400};
};

/// Arrivals at the endpoints of one service in a sliding window.
class arrival_window {
public:
  arrival_window() = default;
  explicit arrival_window(const budget_settings &Budget) : Budget(Budget) {}

  void onArrival(instant Now, bool IsFirst) {
    Arrivals.push_back({Now, IsFirst});
    (IsFirst ? Firsts : Repeats) += 1;
    while (Now - Arrivals.front().first > Budget.Window) {
      (Arrivals.front().second ? Firsts : Repeats) -= 1;
      Arrivals.pop_front();
    }
    const double Beyond = static_cast<double>(Repeats) -
                          Budget.Ratio * static_cast<double>(Firsts);
    MaxBeyond = std::max(MaxBeyond, Beyond);
  }
  /// Greatest number of repeats beyond the ratio in any window.
  double maxBeyond() const { return MaxBeyond; }

private:
  budget_settings Budget;
  std::deque<std::pair<instant, bool>> Arrivals; ///< whether a first one
  std::size_t Firsts = 0;
  std::size_t Repeats = 0;
  double MaxBeyond = 0;
};

class relay_fleet {
public:
  /// Requests that clients sent to one relay.
  struct client_counts {
    std::size_t Sent = 0;
    std::size_t Served = 0;
    std::size_t Held = 0; ///< refused later than `HoldTime` after the arrival
  };

  explicit relay_fleet(fleet_options Options)
      : Options(Options), Random(Options.Seed) {
    for (std::uint32_t I = 0; I < Options.Relays; ++I)
      Relays.push_back(makeRelay(I));
    Runs.resize(Options.Relays);
    ThawAt.resize(Options.Relays, instant{-1e300});
    Held.resize(Options.Relays);
    Paths.resize(Options.Relays, endpoint_path::open);
    Timers.resize(Options.Relays);
    Counts.resize(Options.Relays);
    SentBy.resize(Options.Relays);
    for (std::size_t I = 0; I < Relays.size(); ++I) {
      Relays[I].Now = Now;
      Relays[I].install(static_cast<std::uint32_t>(Options.Relays));
      takeActions(I);
    }
    sendRoster();
  }

  static std::string zoneOf(std::size_t Index, std::size_t Zones = 2) {
    static const char *const Names[] = {"near", "far", "third"};
    return Names[Index % Zones];
  }

  /// Cuts the relay off from all endpoints, or ends that.
  void setPath(std::size_t Relay, endpoint_path Path) { Paths[Relay] = Path; }

  /// Runs the fleet for a time; clients send requests to random relays.
  void run(millis Time, double RequestsPerSecond, const std::string &Prefix) {
    constexpr millis Tick{1};
    std::bernoulli_distribution Arrives(RequestsPerSecond * Tick.Count / 1000);
    for (const instant End = Now + Time; Now < End; Now = Now + Tick) {
      while (!Events.empty() && Events.begin()->first <= Now) {
        const auto Due = std::move(Events.begin()->second);
        Events.erase(Events.begin());
        Due();
      }
      if (Arrives(Random))
        sendToRunning(Random() % Relays.size(),
                      Prefix + std::to_string(Random()));
    }
  }

  query_id send(std::size_t Relay, const std::string &Target) {
    ++Counts[Relay].Sent;
    Relays[Relay].Now = Now;
    const query_id Id = Relays[Relay].sendRequest(Target);
    ArrivedAt[{Relay, Id}] = Now;
    takeActions(Relay);
    return Id;
  }
  void disconnect(std::size_t Relay, query_id Request) {
    step(Relay, client_disconnected{Request});
  }
  /// The relay's process ends; the links to it break.
  void kill(std::size_t Relay) {
    const requester_link Link = linkOf(Relay);
    Killed.insert(Relay);
    Held[Relay].clear();
    for (std::size_t I = 0; I < Relays.size(); ++I) {
      step(I, requester_lost{Link});
      step(I, peer_lost{Relays[Relay].Self});
    }
  }
  /// Starts a relay that was killed, without its memory. The registry's leader
  /// tells it of the other relays after `RosterTime`.
  void restart(std::size_t Relay, millis RosterTime) {
    Killed.erase(Relay);
    ++Runs[Relay];
    ++Timers[Relay];
    ThawAt[Relay] = instant{-1e300};
    Relays[Relay] = makeRelay(static_cast<std::uint32_t>(Relay));
    Relays[Relay].Now = Now;
    Relays[Relay].installWithoutCount();
    takeActions(Relay);
    at(Now + RosterTime, [this, Relay, Run = Runs[Relay]] {
      if (Run != Runs[Relay])
        return;
      step(Relay,
           peer_count_changed{static_cast<std::uint32_t>(Relays.size())});
      step(Relay, roster());
    });
  }
  /// The relay handles nothing for a time, and then all that has arrived.
  void freeze(std::size_t Relay, millis Time) {
    if (Killed.count(Relay) || isFrozen(Relay))
      return;
    ThawAt[Relay] = Now + Time;
    at(ThawAt[Relay], [this, Relay, Run = Runs[Relay]] {
      if (Run != Runs[Relay])
        return;
      for (const relay_event &Each : std::exchange(Held[Relay], {}))
        step(Relay, Each);
    });
  }
  /// The link on which `From` sends shard requests to `To` breaks.
  void breakLink(std::size_t From, std::size_t To) {
    step(To, requester_lost{linkOf(From)});
    step(From, peer_lost{Relays[To].Self});
  }
  bool isKilled(std::size_t Relay) const { return Killed.count(Relay) > 0; }
  void setFaults(const std::string &Service, endpoint_faults Value) {
    Faults[Service] = Value;
  }
  /// Arrivals at endpoints, by service.
  const std::map<std::string, arrival_window> &arrivals() const {
    return Arrivals;
  }
  /// Queries that were answered without all their shards.
  std::size_t Incomplete = 0;
  /// The log events of all relays, added up.
  std::array<repeat_count, RepeatReasonCount> Repeats{};

  /// Sums the requests of the relays for which `Matches` is true.
  template <class Predicate> client_counts count(Predicate Matches) const {
    client_counts Out;
    for (std::size_t I = 0; I < Counts.size(); ++I) {
      if (!Matches(I))
        continue;
      Out.Sent += Counts[I].Sent;
      Out.Served += Counts[I].Served;
      Out.Held += Counts[I].Held;
    }
    return Out;
  }
  void resetCounts() {
    Counts.assign(Counts.size(), {});
    SentBy.assign(SentBy.size(), 0);
    RunsOf.clear();
  }
  /// Attempts that each relay has sent to endpoints.
  const std::vector<std::size_t> &sentBy() const { return SentBy; }
  /// Greatest number of runs of one part of a request.
  std::size_t maxRuns() const {
    std::size_t Max = 0;
    for (const auto &[Part, Runs] : RunsOf)
      Max = std::max(Max, Runs);
    return Max;
  }
  std::size_t running() const { return Running.size(); }
  /// Answers by status, in all.
  std::map<unsigned, std::size_t> Statuses;
  /// Requests that were answered 503 though an endpoint ran them.
  std::size_t FalseRefusals = 0;

private:
  static constexpr millis PeerDelay{1};
  static constexpr millis RosterDelay{100};
  static constexpr millis WorkTime{15};
  static constexpr millis UnackedTimeout{1000};
  static constexpr millis ProbeTimeout{700};
  static constexpr millis HoldTime{50};

  /// A relay, its run and the attempt's number.
  struct attempt_key {
    std::size_t first;
    std::uint64_t second;
    std::uint32_t Run = 0;
    auto operator<=>(const attempt_key &) const = default;
  };

  relay_fixture makeRelay(std::uint32_t Index) {
    relay_settings Settings = relay_fixture::settings();
    Settings.Self = {Index + 1};
    Settings.Zone = zoneOf(Index, Options.Zones);
    Settings.Budget = Options.Budget;
    const std::uint64_t Run = Runs.empty() ? 0 : Runs[Index];
    relay_fixture Out(Settings, Run * 1000 + Index + 1);
    std::vector<std::string> Shards;
    for (std::size_t I = 0; I < Options.Shards; ++I)
      Shards.push_back("s" + std::to_string(100 + I));
    for (const std::string &Shard : Shards)
      Out.addService(Shard, Options.Copies);
    Out.addService("plain", Options.PlainEndpoints);
    if (Options.Zones > 2)
      for (std::size_t I = 0; I < Out.Directory.Endpoints.size(); ++I) {
        const auto Copies = static_cast<std::size_t>(Options.Copies);
        Out.Directory.Endpoints[I].Zone =
            zoneOf(I / Copies + I % Copies, Options.Zones);
      }
    Out.addRoute("/all/", Shards).Gather.MinCoverage = 0.9;
    Out.addPlainRoute("/plain/", "plain");
    Out.addPlainRoute("/once/", "plain").IsIdempotent = false;
    return Out;
  }

  bool isFrozen(std::size_t Relay) const { return Now < ThawAt[Relay]; }

  /// A client does not connect to a relay that is not there.
  void sendToRunning(std::size_t Relay, const std::string &Target) {
    if (!Killed.count(Relay) && !isFrozen(Relay))
      send(Relay, Target);
  }

  void at(instant Time, std::function<void()> Do) {
    Events.emplace(Time, std::move(Do));
  }

  void step(std::size_t Relay, const relay_event &Event) {
    if (Killed.count(Relay))
      return;
    if (isFrozen(Relay)) {
      Held[Relay].push_back(Event);
      return;
    }
    Relays[Relay].Now = Now;
    Relays[Relay].step(Event);
    takeActions(Relay);
  }

  void takeActions(std::size_t Relay) {
    while (!Relays[Relay].Actions.empty())
      for (const relay_action &Each : std::exchange(Relays[Relay].Actions, {}))
        std::visit([&](const auto &Action) { take(Relay, Action); }, Each);
  }

  template <class Action> void take(std::size_t, const Action &) {}

  void take(std::size_t Relay, const set_timer &Action) {
    const std::uint64_t Version = ++Timers[Relay];
    at(Action.At, [this, Relay, Version] {
      if (Timers[Relay] == Version)
        step(Relay, timer_fired{});
    });
  }

  bool reaches(std::size_t Relay, const std::string &Instance) const {
    return Paths[Relay] == endpoint_path::open ||
           (Paths[Relay] == endpoint_path::mostly_refused &&
            Instance.rfind("s100-", 0) == 0);
  }

  void take(std::size_t Relay, const send_attempt &Action) {
    const attempt_key Key{Relay, Action.Attempt.Value, Runs[Relay]};
    ++SentBy[Relay];
    const std::string Instance = Relays[Relay].instanceOf(Action);
    if (!reaches(Relay, Instance)) {
      const bool IsSilent = Paths[Relay] == endpoint_path::silent;
      at(Now + (IsSilent ? UnackedTimeout : PeerDelay), [this, Key, IsSilent] {
        endAttempt(Key,
                   IsSilent ? attempt_end::lost : attempt_end::connect_failed);
      });
      return;
    }
    const std::string Service = Instance.substr(0, Instance.find('-'));
    const std::size_t RunsSoFar =
        ++RunsOf[Action.Content->RequestId + Action.Content->Target + Service];
    Arrivals.try_emplace(Service, Options.Budget)
        .first->second.onArrival(Now, RunsSoFar == 1);
    HasRun.insert(Action.Content);
    Running.insert(Key);
    const endpoint_faults &Fault = Faults[Service];
    const bool IsFailing = Fault.FailShare > 0 &&
                           std::bernoulli_distribution(Fault.FailShare)(Random);
    const bool IsStalled =
        Fault.StallShare > 0 &&
        std::bernoulli_distribution(Fault.StallShare)(Random);
    at(Now + (IsStalled ? Fault.StallTime : WorkTime),
       [this, Key, Instance, IsFailing] {
         Running.erase(Key);
         endAttempt(Key,
                    reaches(Key.first, Instance) ? attempt_end::replied
                                                 : attempt_end::lost,
                    IsFailing ? 500 : 200);
       });
  }

  void endAttempt(attempt_key Key, attempt_end End, unsigned Status = 200) {
    relay_fixture &Relay = Relays[Key.first];
    if (Killed.count(Key.first) || Key.Run != Runs[Key.first] ||
        !Relay.Sent.count(Key.second))
      return;
    if (isFrozen(Key.first)) {
      at(ThawAt[Key.first],
         [this, Key, End, Status] { endAttempt(Key, End, Status); });
      return;
    }
    Relay.Now = Now;
    if (End == attempt_end::replied)
      Relay.reply(Key.second, Status);
    else
      Relay.end(Key.second, End, {});
    takeActions(Key.first);
  }

  void take(std::size_t Relay, const cancel_attempt &Action) {
    Running.erase({Relay, Action.Attempt.Value, Runs[Relay]});
  }

  void take(std::size_t Relay, const probe_endpoint &Action) {
    const bool IsSilent = Paths[Relay] == endpoint_path::silent;
    at(Now + (IsSilent ? ProbeTimeout : PeerDelay),
       [this, Relay, No = Action.Endpoint, Run = Runs[Relay]] {
         if (Run != Runs[Relay])
           return;
         const bool IsOpen = reaches(Relay, Relays[Relay].Names.at(No.Value));
         step(Relay, probe_ended{No, IsOpen, {}, {}, false, {}, {}, IsOpen});
       });
  }

  void deliver(std::size_t From, vm_id To, relay_event Event) {
    const std::size_t Index = To.Value - 1;
    if (Killed.count(Index)) {
      at(Now, [this, From, To] { step(From, peer_lost{To}); });
      return;
    }
    at(Now + PeerDelay,
       [this, Index, Event = std::move(Event)] { step(Index, Event); });
  }
  /// The link on which the relay sends shard requests to any other.
  requester_link linkOf(std::size_t Relay) const {
    return {Runs[Relay] * Relays.size() + Relay + 1, Relays[Relay].Self};
  }
  void take(std::size_t From, const send_shard_request &Action) {
    deliver(From, Action.To,
            shard_request_arrived{linkOf(From), Action.Request});
  }
  void take(std::size_t From, const send_shard_reply &Action) {
    deliver(From, Action.To.Address,
            shard_reply_arrived{Relays[From].Self, Action.Reply});
  }
  void take(std::size_t From, const cancel_shard_request &Action) {
    deliver(From, Action.To,
            shard_request_cancelled{linkOf(From), Action.ShardRequest,
                                    Action.HasClientDisconnected});
  }
  void take(std::size_t From, const grant_retry &Action) {
    deliver(From, Action.To, retry_granted{linkOf(From), Action.ShardRequest});
  }

  void take(std::size_t Relay, const report_reach &Action) {
    if (Action.HasReach)
      WithoutReach.erase(Relay);
    else
      WithoutReach.insert(Relay);
    at(Now + RosterDelay, [this] { sendRoster(); });
  }

  void take(std::size_t, const request_log_event &Action) {
    for (std::size_t I = 0; I < Repeats.size(); ++I) {
      Repeats[I].Sent += Action.Repeats[I].Sent;
      Repeats[I].Denied += Action.Repeats[I].Denied;
    }
    if (!Action.IsFromPeer && Action.Status == 200)
      Incomplete += Action.Covered < Action.Shards ? 1 : 0;
  }

  void take(std::size_t Relay, const send_answer &Action) {
    ++Statuses[Action.Status];
    client_counts &Count = Counts[Relay];
    const bool IsServed = Action.Status == 200;
    Count.Served += IsServed ? 1 : 0;
    const millis Elapsed = Now - ArrivedAt.at({Relay, Action.Request});
    Count.Held += !IsServed && Elapsed > HoldTime ? 1 : 0;
    if (Action.Status == 503 && HasRun.count(Action.Content))
      ++FalseRefusals;
  }

  peers_changed roster() const {
    peers_changed Out;
    for (std::uint32_t I = 0; I < Relays.size(); ++I)
      Out.Peers.push_back(
          {{I + 1}, zoneOf(I, Options.Zones), WithoutReach.count(I) == 0});
    return Out;
  }
  void sendRoster() {
    const peers_changed Event = roster();
    for (std::size_t I = 0; I < Relays.size(); ++I)
      step(I, Event);
  }

  fleet_options Options;
  std::deque<relay_fixture> Relays;
  std::vector<endpoint_path> Paths;
  std::vector<std::uint32_t> Runs; ///< restarts, by relay
  std::vector<instant> ThawAt;
  std::vector<std::vector<relay_event>> Held;     ///< until the relay thaws
  std::map<std::string, endpoint_faults> Faults;  ///< by service
  std::map<std::string, arrival_window> Arrivals; ///< by service
  std::vector<std::uint64_t> Timers; ///< version of the last timer set
  std::vector<client_counts> Counts;
  std::vector<std::size_t> SentBy;
  std::set<std::size_t> Killed;
  std::set<std::size_t> WithoutReach; ///< as reported to the registry
  std::set<attempt_key> Running;      ///< at endpoints
  std::map<std::string, std::size_t> RunsOf;
  std::set<std::shared_ptr<const opaque_request>> HasRun;
  std::map<std::pair<std::size_t, query_id>, instant> ArrivedAt;
  std::multimap<instant, std::function<void()>> Events;
  std::mt19937 Random;
  instant Now{1000};
};

} // namespace bulrush::test

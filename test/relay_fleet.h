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
  std::size_t Relays = 8; ///< alternately in the zones "near" and "far"
  std::size_t Shards = 20;
  int Copies = 2;         ///< endpoints of each shard
  int PlainEndpoints = 6; ///< of the service "plain", of the route "/plain/"
};

class relay_fleet {
public:
  /// Requests that clients sent to one relay.
  struct client_counts {
    std::size_t Sent = 0;
    std::size_t Served = 0;
    std::size_t Held = 0; ///< refused later than `HoldTime` after the arrival
  };

  explicit relay_fleet(fleet_options Options) : Options(Options) {
    std::vector<std::string> Shards;
    for (std::size_t I = 0; I < Options.Shards; ++I)
      Shards.push_back("s" + std::to_string(100 + I));
    for (std::uint32_t I = 0; I < Options.Relays; ++I) {
      relay_settings Settings = relay_fixture::settings();
      Settings.Self = {I + 1};
      Settings.Zone = zoneOf(I);
      relay_fixture &Relay = Relays.emplace_back(Settings, I + 1);
      for (const std::string &Shard : Shards)
        Relay.addService(Shard, Options.Copies);
      Relay.addService("plain", Options.PlainEndpoints);
      Relay.addRoute("/all/", Shards).Gather.MinCoverage = 0.9;
      Relay.addPlainRoute("/plain/", "plain");
      route &Once = Relay.addPlainRoute("/once/", "plain");
      Once.IsIdempotent = false;
    }
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

  static std::string zoneOf(std::size_t Index) {
    return Index % 2 == 0 ? "near" : "far";
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
        send(Random() % Relays.size(), Prefix + std::to_string(Random()));
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
    Killed.insert(Relay);
    for (std::size_t I = 0; I < Relays.size(); ++I) {
      step(I, requester_lost{linkOf(Relay)});
      step(I, peer_lost{Relays[Relay].Self});
    }
  }

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

  using attempt_key = std::pair<std::size_t, std::uint64_t>;

  void at(instant Time, std::function<void()> Do) {
    Events.emplace(Time, std::move(Do));
  }

  void step(std::size_t Relay, const relay_event &Event) {
    if (Killed.count(Relay))
      return;
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
    const attempt_key Key{Relay, Action.Attempt.Value};
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
    ++RunsOf[Action.Content->RequestId + Action.Content->Target + Service];
    HasRun.insert(Action.Content);
    Running.insert(Key);
    at(Now + WorkTime, [this, Key, Instance] {
      Running.erase(Key);
      endAttempt(Key, reaches(Key.first, Instance) ? attempt_end::replied
                                                   : attempt_end::lost);
    });
  }

  void endAttempt(attempt_key Key, attempt_end End) {
    relay_fixture &Relay = Relays[Key.first];
    if (Killed.count(Key.first) || !Relay.Sent.count(Key.second))
      return;
    Relay.Now = Now;
    if (End == attempt_end::replied)
      Relay.reply(Key.second);
    else
      Relay.end(Key.second, End, {});
    takeActions(Key.first);
  }

  void take(std::size_t Relay, const cancel_attempt &Action) {
    Running.erase({Relay, Action.Attempt.Value});
  }

  void take(std::size_t Relay, const probe_endpoint &Action) {
    const bool IsSilent = Paths[Relay] == endpoint_path::silent;
    at(Now + (IsSilent ? ProbeTimeout : PeerDelay),
       [this, Relay, No = Action.Endpoint] {
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
    return {Relay + 1, Relays[Relay].Self};
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

  void sendRoster() {
    peers_changed Event;
    for (std::uint32_t I = 0; I < Relays.size(); ++I)
      Event.Peers.push_back({{I + 1}, zoneOf(I), WithoutReach.count(I) == 0});
    for (std::size_t I = 0; I < Relays.size(); ++I)
      step(I, Event);
  }

  fleet_options Options;
  std::deque<relay_fixture> Relays;
  std::vector<endpoint_path> Paths;
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
  std::mt19937 Random{11};
  instant Now{1000};
};

} // namespace bulrush::test

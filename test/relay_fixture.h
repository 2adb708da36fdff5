/// Test fixture: a relay with services and routes, and helpers to drive it.
#pragma once

#include "relay/relay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace bulrush::test {

using namespace bulrush::relay;

/// Instances are named "SERVICE-N"; even N are in zone "near", odd N in "far".
struct relay_fixture {
  explicit relay_fixture(relay_settings Settings = settings(),
                         std::uint64_t Seed = 7)
      : Self(Settings.Self), Relay(std::move(Settings), Seed) {}

  static relay_settings settings() {
    relay_settings Out;
    Out.Zone = "near";
    Out.DefaultClientDelay = {10};
    return Out;
  }

  vm_id Self;
  relay::relay Relay;
  instant Now{1000};
  relay_actions Actions;
  catalog Catalog;
  directory Directory;
  std::map<std::uint64_t, send_attempt> Sent; ///< in flight, by attempt
  std::map<std::uint32_t, std::string> Names; ///< instance names, by endpoint
  std::vector<endpoint_no> Probed;            ///< for `replyHealthyToAll`
  std::uint64_t NextRequest = 0;

  void step(const relay_event &Event) {
    const std::size_t Before = Actions.size();
    Relay.step(Event, Now, Actions);
    for (std::size_t I = Before; I < Actions.size(); ++I)
      record(Actions[I]);
  }

  void addService(const std::string &Name, int Endpoints,
                  std::uint32_t Connections = 100) {
    service Service;
    Service.Name = {Name};
    Service.MaxConnections = Connections;
    Catalog.Services.push_back(Service);
    for (int I = 0; I < Endpoints; ++I) {
      listed_endpoint Entry;
      Entry.Identity = {Name + "-" + std::to_string(I), 1};
      Entry.Service = {Name};
      Entry.Address = {"10.0.0.1", static_cast<std::uint16_t>(8000 + I)};
      Entry.Zone = I % 2 == 0 ? "near" : "far";
      Entry.Slots = 2;
      Directory.Endpoints.push_back(Entry);
    }
  }

  route &addRoute(const std::string &Prefix, std::vector<std::string> Shards) {
    route &Route = Catalog.Routes.emplace_back();
    Route.Name = Prefix;
    Route.Host = "shop.example";
    Route.PathPrefix = Prefix;
    Route.IsIdempotent = true;
    Route.Timeout = {800};
    Route.Objective = {100};
    Route.MaxAttempts = 2;
    for (const std::string &Shard : Shards)
      Route.Gather.Shards.push_back({Shard});
    Route.Gather.TopRecords = 10;
    Route.Gather.MinCoverage = 0.75;
    return Route;
  }
  route &addPlainRoute(const std::string &Prefix, const std::string &Service) {
    route &Route = addRoute(Prefix, {});
    Route.Targets.push_back({{Service}, 1});
    return Route;
  }

  /// Delivers a new catalog version, the relay count and the directory.
  void install(std::uint32_t Peers = 1) {
    ++Catalog.Version.Value;
    step(catalog_arrived{std::make_shared<const catalog>(Catalog)});
    step(peer_count_changed{Peers});
    publishDirectory();
  }
  /// Delivers the same without the relay count.
  void installWithoutCount() {
    ++Catalog.Version.Value;
    step(catalog_arrived{std::make_shared<const catalog>(Catalog)});
    publishDirectory();
  }
  /// Delivers the full directory as a new version.
  void publishDirectory() {
    Directory.Version = {1, Directory.Version.Sequence + 1};
    step(directory_arrived{
        std::make_shared<const directory_change>(fullChange(Directory)), {}});
  }
  listed_endpoint &listedEntry(const std::string &Instance) {
    return *std::find_if(Directory.Endpoints.begin(), Directory.Endpoints.end(),
                         [&](const listed_endpoint &Each) {
                           return Each.Identity.Instance == Instance;
                         });
  }

  /// Sends a client request; returns its id.
  query_id sendRequest(const std::string &Target, millis ClientTimeout = {800},
                       client_path Client = {}) {
    auto Content = std::make_shared<opaque_request>();
    Content->RequestId = "id-" + std::to_string(++NextRequest);
    Content->Method = "GET";
    Content->Host = "shop.example";
    Content->Target = Target;
    step(request_arrived{{NextRequest}, Content, ClientTimeout, Client});
    return {NextRequest};
  }

  /// Advances the clock and fires the timer.
  void advance(double Ms) {
    Now = Now + millis{Ms};
    step(timer_fired{});
  }

  std::string instanceOf(const send_attempt &Attempt) const {
    return Names.at(Attempt.Endpoint.Value);
  }
  /// Number of an attempt in flight at the instance; 0 if there is none.
  std::uint64_t attemptAt(const std::string &Instance) const {
    for (const auto &[Number, Each] : Sent)
      if (instanceOf(Each) == Instance)
        return Number;
    return 0;
  }
  /// Attempts in flight at the service.
  std::size_t sentTo(const std::string &Service) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [&](const auto &Each) {
          return instanceOf(Each.second).rfind(Service + "-", 0) == 0;
        }));
  }

  void reply(std::uint64_t Attempt, unsigned Status = 200,
             const std::string &Body = "0123456789abcdef") {
    endpoint_reply Reply;
    Reply.Status = Status;
    Reply.Body = Body;
    Reply.Signature = "s" + std::to_string(Attempt);
    end(Attempt, attempt_end::replied, Reply);
  }
  /// Replies 503 and that the request was not run.
  void replyNotRun(std::uint64_t Attempt) {
    endpoint_reply Reply;
    Reply.Status = 503;
    Reply.IsNotRun = true;
    end(Attempt, attempt_end::replied, Reply);
  }
  void breakConnection(std::uint64_t Attempt) {
    end(Attempt, attempt_end::lost, {});
  }
  /// Replies to all attempts in flight.
  void replyAll() {
    while (!Sent.empty())
      reply(Sent.begin()->first);
  }

  /// Returns null if the request is not answered yet.
  const send_answer *answerTo(query_id Request) const {
    for (const relay_action &Each : Actions)
      if (const auto *Answer = std::get_if<send_answer>(&Each))
        if (Answer->Request == Request)
          return Answer;
    return nullptr;
  }
  /// Number of emitted actions of this type.
  template <class Action> std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        Actions.begin(), Actions.end(), [](const relay_action &Each) {
          return std::holds_alternative<Action>(Each);
        }));
  }

  endpoint_no numberOf(const std::string &Instance) const {
    for (const auto &[Number, Name] : Names)
      if (Name == Instance)
        return {Number};
    return {};
  }
  /// Replies to a health check of the instance, which states that it is cold
  /// for `ColdFor`.
  void replyHealthy(const std::string &Instance, millis ColdFor = {}) {
    step(probe_ended{
        numberOf(Instance), true, {}, ColdFor, false, {}, {}, true});
  }
  /// Replies to all health checks that have none yet.
  void replyHealthyToAll() {
    for (const endpoint_no Each : std::exchange(Probed, {}))
      replyHealthy(Names.at(Each.Value));
  }
  std::size_t probesOf(const std::string &Instance) const {
    return probesOf(numberOf(Instance));
  }
  std::size_t probesOf(endpoint_no Endpoint) const {
    return static_cast<std::size_t>(std::count_if(
        Actions.begin(), Actions.end(), [&](const relay_action &Each) {
          const auto *Probe = std::get_if<probe_endpoint>(&Each);
          return Probe && Probe->Endpoint == Endpoint;
        }));
  }

  void end(std::uint64_t Attempt, attempt_end End,
           const endpoint_reply &Reply) {
    REQUIRE(Sent.erase(Attempt) == 1);
    attempt_ended Event{{Attempt}, End, nullptr};
    if (End == attempt_end::replied)
      Event.Reply = std::make_shared<const endpoint_reply>(Reply);
    step(Event);
  }

private:
  void record(const relay_action &Action) {
    if (const auto *Send = std::get_if<send_attempt>(&Action))
      Sent[Send->Attempt.Value] = *Send;
    if (const auto *Cancel = std::get_if<cancel_attempt>(&Action))
      Sent.erase(Cancel->Attempt.Value);
    if (const auto *Probe = std::get_if<probe_endpoint>(&Action))
      Probed.push_back(Probe->Endpoint);
    if (const auto *Open = std::get_if<open_endpoint>(&Action))
      Names[Open->Endpoint.Value] = Open->Listed.Identity.Instance;
  }
};

} // namespace bulrush::test

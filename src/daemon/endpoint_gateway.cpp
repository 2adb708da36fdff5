#include "daemon/endpoint_gateway.h"

#include "http/client.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace bulrush::daemon {

namespace {

/// Connections per endpoint reserved for cancels and health probes.
constexpr std::size_t ReservedConnections = 2;
/// The second connection of a slot is used while the first waits for a late
/// reply.
constexpr std::size_t ConnectionsPerSlot = 2;

std::string formatId(vm_id Vm, incarnation_id Incarnation,
                     std::uint64_t Number) {
  return std::to_string(Vm.Value) + '-' + std::to_string(Incarnation.Value) +
         '-' + std::to_string(Number);
}

double numericHeader(const std::vector<http::header> &Headers,
                     std::string_view Name) {
  const std::string *Text = http::findHeader(Headers, Name);
  double Value = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

bool isFlagSet(const std::vector<http::header> &Headers,
               std::string_view Name) {
  const std::string *Text = http::findHeader(Headers, Name);
  return Text && *Text == "1";
}

query::reply_headers parseHeaders(const std::vector<http::header> &Headers) {
  query::reply_headers Out;
  Out.Snapshot.Value =
      static_cast<std::uint64_t>(numericHeader(Headers, "Bulrush-Snapshot"));
  Out.Shard.Value =
      static_cast<std::uint32_t>(numericHeader(Headers, "Bulrush-Shard"));
  Out.Generation =
      static_cast<std::uint64_t>(numericHeader(Headers, "Bulrush-Generation"));
  Out.Cold = isFlagSet(Headers, "Bulrush-Cold");
  Out.Draining = isFlagSet(Headers, "Bulrush-Draining");
  Out.InFlight =
      static_cast<std::uint32_t>(numericHeader(Headers, "Bulrush-In-Flight"));
  Out.RetryAfter.Count = numericHeader(Headers, "Retry-After-Ms");
  return Out;
}

/// Maps the reason of a `not_run` reply. In all of these cases the endpoint has
/// not run the request.
query::reply_kind refusedReplyKind(const std::string *Reason) {
  using query::reply_kind;
  if (!Reason)
    return reply_kind::shed;
  if (*Reason == "snapshot_missing")
    return reply_kind::snapshot_missing;
  if (*Reason == "expired")
    return reply_kind::expired;
  if (*Reason == "draining")
    return reply_kind::draining;
  if (*Reason == "cancelled")
    return reply_kind::cancelled;
  if (*Reason == "duplicate_key")
    return reply_kind::duplicate_key;
  return reply_kind::shed;
}

/// Maps the reason of an `unknown` reply: the request was interrupted while it
/// ran.
query::reply_kind interruptedReplyKind(const std::string *Reason) {
  if (Reason && *Reason == "cancelled")
    return query::reply_kind::cancelled_running;
  return query::reply_kind::expired_running;
}

query::reply_kind replyKind(const http::exchange_result &Result) {
  using query::reply_kind;
  if (Result.Status == http::exchange_status::connect_failed ||
      Result.Status == http::exchange_status::connect_refused ||
      Result.Status == http::exchange_status::not_sent)
    return reply_kind::connect_refused;
  if (Result.Status == http::exchange_status::lost)
    return reply_kind::connection_lost;
  const auto &Headers = Result.Response.Headers;
  const std::string *Outcome = http::findHeader(Headers, "Bulrush-Outcome");
  if (Outcome && *Outcome == "answered" && Result.Response.Status == 200)
    return reply_kind::answered;
  if (Outcome && *Outcome == "not_run")
    return refusedReplyKind(http::findHeader(Headers, "Bulrush-Reason"));
  if (Outcome && *Outcome == "unknown")
    return interruptedReplyKind(http::findHeader(Headers, "Bulrush-Reason"));
  return reply_kind::connection_lost;
}

query::held_snapshot parseHeldSnapshot(const nlohmann::json &Json) {
  query::held_snapshot Out;
  Out.Snapshot.Value = Json.value("id", std::uint64_t{0});
  Out.TotalShards = Json.value("totalShards", std::uint32_t{0});
  const auto Shards = Json.find("shards");
  if (Shards == Json.end() || !Shards->is_array())
    return Out;
  for (const auto &Shard : *Shards)
    if (Shard.is_number_unsigned())
      Out.Shards.push_back({Shard.get<std::uint32_t>()});
  return Out;
}

query::health_state parseHealthState(const std::string &Text) {
  using query::health_state;
  if (Text == "warm")
    return health_state::warm;
  if (Text == "draining")
    return health_state::draining;
  return health_state::cold;
}

/// Parses a health report. Any other response counts as unreachable.
query::health_arrived parseHealth(endpoint_id Endpoint,
                                  const http::exchange_result &Result) {
  query::health_arrived Out;
  Out.Endpoint = Endpoint;
  Out.State = query::health_state::unreachable;
  if (Result.Status != http::exchange_status::done ||
      Result.Response.Status != 200)
    return Out;
  const auto Json = nlohmann::json::parse(Result.Response.Body, nullptr, false);
  if (!Json.is_object())
    return Out;
  try {
    Out.State = parseHealthState(Json.value("state", std::string("cold")));
    Out.Generation = Json.value("generation", std::uint64_t{0});
    Out.InFlight = Json.value("inFlight", std::uint32_t{0});
    for (const auto &Held : Json.value("snapshots", nlohmann::json::array()))
      Out.Held.push_back(parseHeldSnapshot(Held));
  } catch (const nlohmann::json::exception &) {
    Out = {};
    Out.Endpoint = Endpoint;
    Out.State = query::health_state::unreachable;
  }
  return Out;
}

http::request makeRequest(const query::send_to_endpoint &Send) {
  const query::sub_request &Request = Send.Request;
  http::request Out;
  Out.Method = "POST";
  Out.Target = Request.IsCommand ? "/v1/command" : "/v1/search";
  Out.Headers.reserve(8);
  Out.Headers.push_back(
      {"Bulrush-Request",
       formatId(Send.From, Send.Incarnation, Request.Sub.Value)});
  Out.Headers.push_back({"Bulrush-Query", formatId(Send.From, Send.Incarnation,
                                                   Request.Query.Value)});
  Out.Headers.push_back({"Bulrush-Attempt", std::to_string(Request.Attempt)});
  Out.Headers.push_back(
      {"Bulrush-Snapshot", std::to_string(Request.Snapshot.Value)});
  Out.Headers.push_back({"Bulrush-Shard", std::to_string(Request.Shard.Value)});
  Out.Headers.push_back(
      {"Bulrush-Deadline-Ms", std::to_string(Send.Remaining.Count)});
  if (Request.IsCommand)
    Out.Headers.push_back({"Idempotency-Key", Request.Key.Value});
  if (Send.Body)
    Out.Body = *Send.Body;
  return Out;
}

} // namespace

struct endpoint_gateway::state {
  boost::asio::io_context &Io;
  const deployment &Deployment;
  const clock_source &Clock;
  telemetry::metrics &Metrics;
  owner_event_handler OnEvent;
  /// Two HTTP clients per endpoint, so that requests do not queue behind health
  /// probes and cancels.
  struct endpoint_clients {
    std::unique_ptr<http::client> Requests;
    std::unique_ptr<http::client> Probes;
  };
  std::unordered_map<endpoint_id, endpoint_clients> Clients;

  endpoint_clients &clientsFor(endpoint_id Id) {
    endpoint_clients &Out = Clients[Id];
    if (Out.Requests)
      return Out;
    const endpoint &Endpoint = Deployment.Endpoints[Id.Value];
    const std::size_t ConnectionLimit = Endpoint.Limits.Connections;
    const std::size_t Reserved =
        std::min(ReservedConnections, ConnectionLimit - 1);
    http::client_settings Settings;
    Settings.Server = Endpoint.Address;
    Settings.MaxConnections = std::min<std::size_t>(
        ConnectionLimit - Reserved, Endpoint.Limits.Slots * ConnectionsPerSlot);
    Settings.FailWhenClosed = true;
    Out.Requests = std::make_unique<http::client>(Io, Settings);
    Settings.MaxConnections = Reserved;
    Settings.FailWhenClosed = false;
    Out.Probes = std::make_unique<http::client>(Io, Settings);
    return Out;
  }
};

endpoint_gateway::endpoint_gateway(boost::asio::io_context &Io,
                                   const deployment &Deployment,
                                   const clock_source &Clock,
                                   telemetry::metrics &Metrics,
                                   owner_event_handler OnEvent)
    : State(std::make_shared<state>(
          state{Io, Deployment, Clock, Metrics, std::move(OnEvent), {}})) {}

endpoint_gateway::~endpoint_gateway() = default;

void endpoint_gateway::run(const query::send_to_endpoint &Send) {
  const endpoint_id Endpoint = Send.Request.Endpoint;
  const instant SentAt = State->Clock.now();
  State->Metrics.add("endpoint_requests");
  http::client &Client = *State->clientsFor(Endpoint).Requests;
  Client.send(makeRequest(Send),
              [Weak = std::weak_ptr(State), Endpoint, SentAt,
               Attempt = Send.Attempt](http::exchange_result Result) {
                const auto State = Weak.lock();
                if (!State)
                  return;
                query::endpoint_replied Event;
                Event.Endpoint = Endpoint;
                Event.Attempt = Attempt;
                Event.Kind = replyKind(Result);
                Event.Headers = parseHeaders(Result.Response.Headers);
                Event.Body = std::make_shared<const std::string>(
                    std::move(Result.Response.Body));
                Event.Latency = State->Clock.now() - SentAt;
                State->OnEvent(std::move(Event));
              });
}

void endpoint_gateway::run(const query::cancel_at_endpoint &Cancel) {
  http::request Request;
  Request.Method = "POST";
  Request.Target = "/v1/cancel";
  Request.Headers.push_back(
      {"Bulrush-Request",
       formatId(Cancel.From, Cancel.Incarnation, Cancel.Sub.Value)});
  State->Metrics.add("endpoint_cancels");
  State->clientsFor(Cancel.Endpoint)
      .Probes->send(std::move(Request), [](const http::exchange_result &) {});
}

void endpoint_gateway::run(const query::probe_health &Probe) {
  http::request Request;
  Request.Method = "GET";
  Request.Target = "/v1/health";
  State->clientsFor(Probe.Endpoint)
      .Probes->send(std::move(Request),
                    [Weak = std::weak_ptr(State), Endpoint = Probe.Endpoint](
                        const http::exchange_result &Result) {
                      if (const auto State = Weak.lock())
                        State->OnEvent(parseHealth(Endpoint, Result));
                    });
}

void endpoint_gateway::preconnect(endpoint_id Endpoint) {
  const std::size_t ConnectionCount =
      State->Deployment.Endpoints[Endpoint.Value].Limits.Slots;
  State->clientsFor(Endpoint).Requests->preconnect(ConnectionCount);
}

void endpoint_gateway::retire(endpoint_id Endpoint) {
  const auto Found = State->Clients.find(Endpoint);
  if (Found == State->Clients.end())
    return;
  Found->second.Requests->closeIdle();
  Found->second.Probes->closeIdle();
}

} // namespace bulrush::daemon

#include "daemon/caller_api.h"

#include "relay/account_table.h"
#include "telemetry/metrics.h"

#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

namespace bulrush::daemon {

namespace {

constexpr std::string_view SearchPath = "/v1/search/";
constexpr std::string_view CommandPath = "/v1/command/";
constexpr std::string_view ExplainPath = "/v1/explain/";
constexpr std::size_t MaxIdBytes = 200;

std::string jsonString(const std::string &Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

http::response makeRefusal(unsigned Status, refusal Reason,
                           const std::string &Message) {
  http::response Out;
  Out.Status = Status;
  Out.Body = "{\"outcome\":\"not_run\",\"reason\":\"" +
             std::string(toString(Reason)) +
             "\",\"message\":" + jsonString(Message) + "}";
  return Out;
}

http::response plainText(unsigned Status, std::string Text) {
  http::response Out;
  Out.Status = Status;
  Out.ContentType = "text/plain";
  Out.Body = std::move(Text);
  return Out;
}

std::string_view afterPrefix(const std::string &Target,
                             std::string_view Prefix) {
  return std::string_view(Target).substr(Prefix.size());
}

bool isValidId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < 127; });
}

/// The callers as accounts, in their order.
std::vector<relay::account> accountsOf(const std::vector<caller> &Callers) {
  std::vector<relay::account> Out;
  for (const caller &Each : Callers)
    Out.push_back({{Each.Name}, {Each.ApiKey}, std::nullopt, {}, 0});
  return Out;
}

std::uint64_t drawSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

} // namespace

std::string answerJson(const query::answer &Answer) {
  std::size_t Size = 300;
  for (const query::shared_body &Result : Answer.Results)
    Size += Result->size() + 1;
  std::string Out;
  Out.reserve(Size);
  Out += "{\"request\":" + jsonString(Answer.RequestId);
  Out += ",\"outcome\":\"" + std::string(toString(Answer.Outcome)) + '"';
  if (Answer.Reason != refusal::none)
    Out += ",\"reason\":\"" + std::string(toString(Answer.Reason)) + '"';
  Out += ",\"intent\":" + jsonString(Answer.Intent.Value);
  Out += ",\"snapshot\":" + std::to_string(Answer.Snapshot.Value);
  Out += ",\"covered\":" + std::to_string(Answer.Covered);
  Out += ",\"total\":" + std::to_string(Answer.Total);
  Out += ",\"missing\":[";
  for (std::size_t I = 0; I < Answer.Missing.size(); ++I)
    Out += (I ? "," : "") + std::to_string(Answer.Missing[I].Value);
  Out += "],\"results\":[";
  bool IsFirst = true;
  for (const query::shared_body &Result : Answer.Results) {
    if (Result->empty())
      continue;
    if (!IsFirst)
      Out += ',';
    Out += *Result;
    IsFirst = false;
  }
  Out += "],\"retryAfterMs\":" +
         std::to_string(static_cast<std::int64_t>(Answer.RetryAfter.Count)) +
         '}';
  return Out;
}

unsigned answerStatus(const query::answer &Answer) {
  if (Answer.Outcome == outcome::answered)
    return 200;
  const bool IsTemporarilyUnavailable =
      Answer.Reason == refusal::draining || Answer.Reason == refusal::not_ready;
  if (Answer.Outcome == outcome::unknown)
    return IsTemporarilyUnavailable ? 503 : 504;
  switch (Answer.Reason) {
  case refusal::bad_request:
    return 400;
  case refusal::no_intent:
    return 404;
  case refusal::duplicate_key:
  case refusal::key_expired:
    return 409;
  case refusal::queue_full:
  case refusal::deadline_unmeetable:
  case refusal::endpoint_shed:
    return 429;
  default:
    return 503;
  }
}

struct caller_api::state {
  const deployment &Deployment;
  caller_api_host &Host;
  telemetry::metrics &Metrics;
  const clock_source &Clock;

  struct pending_query {
    http::responder Respond;
    caller_id Caller;
    instant ArrivedAt;
  };
  std::unordered_map<query_id, pending_query> Pending;
  std::vector<relay::account> Accounts; ///< in the order of the callers
  relay::account_table Keys;
  std::uint64_t LastQuery = 0;

  state(const deployment &Deployment, caller_api_host &Host,
        telemetry::metrics &Metrics, const clock_source &Clock)
      : Deployment(Deployment), Host(Host), Metrics(Metrics), Clock(Clock),
        Accounts(accountsOf(Deployment.Callers)), Keys(Accounts, drawSeed()) {}

  const caller_id *findCaller(const http::request &Request) const {
    const std::string *Text =
        http::findHeader(Request.Headers, "Authorization");
    const relay::account *Found =
        Text ? Keys.find(relay::bearerKey(*Text)) : nullptr;
    if (!Found)
      return nullptr;
    const auto Index = static_cast<std::size_t>(Found - Accounts.data());
    return &Deployment.Callers[Index].Id;
  }

  void sendRefusal(const http::responder &Respond, unsigned Status,
                   refusal Reason, const std::string &Message) {
    Metrics.countRefusal(Reason);
    Respond(makeRefusal(Status, Reason, Message));
  }

  query_id addPending(caller_id Caller, http::responder Respond) {
    const query_id Query{++LastQuery};
    Pending.emplace(Query,
                    pending_query{std::move(Respond), Caller, Clock.now()});
    return Query;
  }

  void handleQuery(http::request Request, http::responder Respond);
  void submitSearch(http::request &Request, caller_id Caller, std::string Id,
                    http::responder Respond);
  void submitCommand(http::request &Request, caller_id Caller, std::string Id,
                     http::responder Respond);
};

void caller_api::state::handleQuery(http::request Request,
                                    http::responder Respond) {
  if (Request.Method != "POST") {
    sendRefusal(Respond, 405, refusal::bad_request, "method: allowed is POST");
    return;
  }
  const caller_id *Caller = findCaller(Request);
  if (!Caller) {
    sendRefusal(Respond, 401, refusal::bad_request,
                "Authorization: allowed is Bearer and the API key of a caller");
    return;
  }
  const std::string *HeaderId =
      http::findHeader(Request.Headers, "Bulrush-Request-Id");
  if (HeaderId && !isValidId(*HeaderId)) {
    sendRefusal(
        Respond, 400, refusal::bad_request,
        "Bulrush-Request-Id: allowed are 1 to 200 printable characters");
    return;
  }
  if (!nlohmann::json::accept(Request.Body)) {
    sendRefusal(Respond, 400, refusal::bad_request, "body: allowed is JSON");
    return;
  }
  std::string Id = HeaderId ? *HeaderId : std::string();
  if (Request.Target.starts_with(SearchPath))
    submitSearch(Request, *Caller, std::move(Id), std::move(Respond));
  else
    submitCommand(Request, *Caller, std::move(Id), std::move(Respond));
}

void caller_api::state::submitSearch(http::request &Request, caller_id Caller,
                                     std::string Id, http::responder Respond) {
  query::search_arrived Event;
  Event.Query = addPending(Caller, std::move(Respond));
  Event.Caller = Caller;
  Event.Kind = afterPrefix(Request.Target, SearchPath);
  Event.Body = std::make_shared<const std::string>(std::move(Request.Body));
  Event.RequestId = std::move(Id);
  Host.submit(std::move(Event));
}

void caller_api::state::submitCommand(http::request &Request, caller_id Caller,
                                      std::string Id, http::responder Respond) {
  const std::string *Key = http::findHeader(Request.Headers, "Idempotency-Key");
  if (!Key || !isValidId(*Key)) {
    sendRefusal(Respond, 400, refusal::bad_request,
                "Idempotency-Key: allowed are 1 to 200 printable characters");
    return;
  }
  query::command_arrived Event;
  Event.Key.Value = *Key;
  Event.Query = addPending(Caller, std::move(Respond));
  Event.Caller = Caller;
  Event.Kind = afterPrefix(Request.Target, CommandPath);
  Event.Body = std::make_shared<const std::string>(std::move(Request.Body));
  Event.RequestId = std::move(Id);
  Host.submit(std::move(Event));
}

caller_api::caller_api(const deployment &Deployment, caller_api_host &Host,
                       telemetry::metrics &Metrics, const clock_source &Clock)
    : State(std::make_unique<state>(Deployment, Host, Metrics, Clock)) {}

caller_api::~caller_api() = default;

void caller_api::handle(http::request Request, http::responder Respond) {
  const std::string &Target = Request.Target;
  if (Target.starts_with(SearchPath) || Target.starts_with(CommandPath)) {
    State->handleQuery(std::move(Request), std::move(Respond));
    return;
  }
  if (Target == "/livez") {
    Respond(plainText(200, "alive\n"));
    return;
  }
  if (Target == "/readyz") {
    const bool IsReady = State->Host.isReady();
    Respond(
        plainText(IsReady ? 200 : 503, IsReady ? "ready\n" : "not ready\n"));
    return;
  }
  if (Target == "/metrics") {
    Respond(plainText(200, State->Metrics.text()));
    return;
  }
  if (Target.starts_with(ExplainPath)) {
    State->Host.explain(std::string(afterPrefix(Target, ExplainPath)),
                        std::move(Respond));
    return;
  }
  if (Target == "/test/cut") {
    Respond(State->Host.cutLinks(Request.Body));
    return;
  }
  Respond(makeRefusal(404, refusal::bad_request, "unknown path"));
}

void caller_api::answer(query_id Query, const query::answer &Answer) {
  const auto Found = State->Pending.find(Query);
  if (Found == State->Pending.end())
    return;
  const state::pending_query Pending = std::move(Found->second);
  State->Pending.erase(Found);
  const std::string &Caller =
      State->Deployment.Callers[Pending.Caller.Value].Name;
  State->Metrics.observe("answer", Caller,
                         State->Clock.now() - Pending.ArrivedAt);
  State->Metrics.add("outcome", toString(Answer.Outcome));
  http::response Response;
  Response.Status = answerStatus(Answer);
  if (Answer.RetryAfter > millis{0})
    Response.Headers.push_back(
        {"Retry-After-Ms",
         std::to_string(static_cast<std::int64_t>(Answer.RetryAfter.Count))});
  Response.Body = answerJson(Answer);
  Pending.Respond(std::move(Response));
}

} // namespace bulrush::daemon

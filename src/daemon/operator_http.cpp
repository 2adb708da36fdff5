#include "daemon/operator_http.h"

#include "settings/operator_json.h"
#include "wire/control_codec.h"

#include <unordered_map>

namespace bulrush::daemon {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

http::response toResponse(settings::json_answer Answer) {
  http::response Out;
  Out.Status = Answer.Status;
  Out.Body = std::move(Answer.Body);
  return Out;
}

http::response jsonResponse(unsigned Status, std::string Body) {
  return toResponse({Status, std::move(Body)});
}

std::string bearerToken(const http::request &Request) {
  const std::string *Text = http::findHeader(Request.Headers, "Authorization");
  if (!Text || !Text->starts_with(BearerPrefix))
    return {};
  return Text->substr(BearerPrefix.size());
}

} // namespace

struct operator_http::state
    : std::enable_shared_from_this<operator_http::state> {
  const deployment &Deployment;
  operator_tokens Tokens;
  operator_http_host &Host;
  telemetry::metrics &Metrics;
  std::unordered_map<std::uint64_t, http::responder> Pending;
  std::uint64_t LastTicket = 0;

  state(const deployment &Deployment, operator_tokens Tokens,
        operator_http_host &Host, telemetry::metrics &Metrics)
      : Deployment(Deployment), Tokens(std::move(Tokens)), Host(Host),
        Metrics(Metrics) {}

  void refuse(const http::responder &Respond, const std::string &Message) {
    Metrics.countRefusal(refusal::bad_request);
    Respond(toResponse(settings::badRequest(Message)));
  }

  void refuseToken(const http::responder &Respond) {
    Metrics.add("operator_refused", "token");
    Respond(jsonResponse(401, R"({"message":"invalid operator token"})"));
  }

  void submitRequest(control::operator_request Request,
                     http::responder Respond) {
    const std::uint64_t Ticket = ++LastTicket;
    Pending.emplace(Ticket, std::move(Respond));
    Host.submitRequest(Ticket, std::move(Request));
  }

  void plan(const http::request &Request, const http::responder &Respond) {
    const auto Parsed = settings::parsePlanRequest(Request.Body, Deployment);
    if (!Parsed)
      return refuse(Respond, Parsed.error().Message);
    if (!Tokens.isAllowed(Parsed->Operator, bearerToken(Request)))
      return refuseToken(Respond);
    submitRequest(*Parsed, Respond);
  }

  void confirm(const http::request &Request, const http::responder &Respond) {
    const auto Fields = settings::parseConfirm(Request.Body);
    if (!Fields)
      return refuse(Respond, Fields.error().Message);
    if (!Tokens.isAllowed(Fields->Operator, bearerToken(Request)))
      return refuseToken(Respond);
    const auto Plan = wire::parsePlanId(Fields->PlanId);
    if (!Plan)
      return refuse(Respond, Plan.error().Message);
    const auto ConfirmRequest = settings::makeConfirmRequest(*Fields, *Plan);
    if (!ConfirmRequest)
      return refuse(Respond, ConfirmRequest.error().Message);
    submitRequest(*ConfirmRequest, Respond);
  }

  /// Responds from this voter's copy of the state, which may lag the leader.
  void respondFromState(std::function<std::string(const control_node &)> Text,
                        http::responder Respond) {
    Host.visitNode([Self = shared_from_this(), Text = std::move(Text),
                    Respond = std::move(Respond)](const control_node &Node) {
      Self->Host.post(
          [Body = Text(Node), Respond] { Respond(jsonResponse(200, Body)); });
    });
  }

  void get(const std::string &Target, const http::responder &Respond);
};

void operator_http::state::get(const std::string &Target,
                               const http::responder &Respond) {
  const deployment &DeploymentRef = Deployment;
  if (Target == "/v1/status")
    return submitRequest(control::status_request{}, Respond);
  if (Target == "/v1/intents")
    return respondFromState(
        [](const control_node &Node) {
          return settings::intentsJson(Node.core().machine().config());
        },
        Respond);
  if (Target == "/v1/zones")
    return respondFromState(
        [&DeploymentRef](const control_node &Node) {
          return settings::zonesJson(DeploymentRef,
                                     Node.core().machine().config());
        },
        Respond);
  if (Target == "/v1/endpoints")
    return respondFromState(
        [&DeploymentRef](const control_node &Node) {
          const control::state_machine &Machine = Node.core().machine();
          return settings::endpointsJson(DeploymentRef, Machine.config(),
                                         Machine.assignments());
        },
        Respond);
  if (Target == "/v1/history")
    return respondFromState(
        [](const control_node &Node) {
          return settings::historyJson(Node.core().machine().history());
        },
        Respond);
  Respond(jsonResponse(404, R"({"message":"unknown path"})"));
}

operator_http::operator_http(const deployment &Deployment,
                             operator_tokens Tokens, operator_http_host &Host,
                             telemetry::metrics &Metrics)
    : State(std::make_shared<state>(Deployment, std::move(Tokens), Host,
                                    Metrics)) {}

operator_http::~operator_http() = default;

void operator_http::handle(http::request Request, http::responder Respond) {
  if (Request.Target == "/livez")
    return Respond(jsonResponse(200, "{}"));
  if (Request.Target == "/metrics") {
    http::response Out;
    Out.ContentType = "text/plain";
    Out.Body = State->Metrics.text();
    return Respond(std::move(Out));
  }
  if (Request.Target == "/test/cut")
    return Respond(State->Host.cutLinks(Request.Body));
  if (Request.Method == "POST" && Request.Target == "/v1/plan")
    return State->plan(Request, Respond);
  if (Request.Method == "POST" && Request.Target == "/v1/confirm")
    return State->confirm(Request, Respond);
  if (Request.Method != "GET")
    return Respond(jsonResponse(404, R"({"message":"unknown path"})"));
  if (!State->Tokens.isKnown(bearerToken(Request)))
    return State->refuseToken(Respond);
  State->get(Request.Target, Respond);
}

void operator_http::answer(std::uint64_t Ticket,
                           const control::operator_result &Result) {
  const auto Found = State->Pending.find(Ticket);
  if (Found == State->Pending.end())
    return;
  const http::responder Respond = std::move(Found->second);
  State->Pending.erase(Found);
  std::string PlanId;
  if (const auto *Plan = std::get_if<control::plan_result>(&Result))
    PlanId = wire::planId(Plan->Plan);
  Respond(toResponse(settings::toJson(Result, PlanId)));
}

} // namespace bulrush::daemon

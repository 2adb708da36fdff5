#include "fleet/operator_handler.h"

#include "telemetry/log.h"

#include <nlohmann/json.hpp>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

constexpr unsigned Ok = 200;
constexpr unsigned TemporaryRedirect = 307;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned ServiceUnavailable = 503;

http::response errorResponse(unsigned Status, const std::string &Message) {
  http::response Out;
  Out.Status = Status;
  Out.Body = nlohmann::json{{"error", Message}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Out;
}

const char *toString(call_end End) {
  switch (End) {
  case call_end::done:
    return "done";
  case call_end::not_leading:
    return "not_leading";
  case call_end::unclear:
    return "unclear";
  }
  return "unclear";
}

} // namespace

void operator_handler::handle(http::request Request, http::responder Respond) {
  operator_call Call = Codec.decode(Request);
  const std::string Name = Request.Method + ' ' + Request.Target;
  if (Call.Kind == operator_call::kind::unknown) {
    Respond(errorResponse(NotFound, Name + ": no such call"));
    return;
  }
  if (!Call.Error.empty()) {
    Metrics.add("orders", "refused");
    telemetry::logEvent(severity::warning, "order_refused",
                        {{"call", Name}, {"error", Call.Error}});
    Respond(errorResponse(BadRequest, Call.Error));
    return;
  }
  const call_id Id{++LastId.Value};
  Calls[Id] = {std::move(Respond), Request.Target, Call.Kind};
  if (Call.Kind == operator_call::kind::command)
    Host.submitCommand(Id, std::move(Call.Command));
  else
    Host.submitRead(Id);
}

void operator_handler::complete(call_id Id, call_end End) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const pending_call Call = std::move(Found->second);
  Calls.erase(Found);
  const bool IsCommand = Call.Kind == operator_call::kind::command;
  Metrics.add(IsCommand ? "orders" : "reads", toString(End));
  if (IsCommand || End != call_end::done)
    telemetry::logEvent(severity::info,
                        IsCommand ? "order_ended" : "read_ended",
                        {{"call", Call.Target}, {"outcome", toString(End)}});
  Call.Respond(makeResponse(Call, End));
}

http::response operator_handler::makeResponse(const pending_call &Call,
                                              call_end End) const {
  if (End == call_end::unclear)
    return errorResponse(ServiceUnavailable,
                         "the outcome is unknown, try again");
  if (End == call_end::not_leading) {
    const auto Leader = Host.leader();
    if (!Leader)
      return errorResponse(ServiceUnavailable, "no leader is known");
    http::response Out =
        errorResponse(TemporaryRedirect, "this node is not the leader");
    Out.Headers.push_back({"Location", "http://" + Leader->Host + ':' +
                                           std::to_string(Leader->Port) +
                                           Call.Target});
    return Out;
  }
  http::response Out;
  Out.Status = Ok;
  Out.Body = "{}";
  if (Call.Kind == operator_call::kind::read_catalog) {
    const control::registry_state &State = Host.state();
    if (State.CatalogVersion == 0)
      return errorResponse(ServiceUnavailable,
                           "no catalog has been accepted yet");
    Out.Body = *State.Catalog;
  }
  return Out;
}

void operator_handler::completeAll(call_end End) {
  while (!Calls.empty())
    complete(Calls.begin()->first, End);
}

} // namespace bulrush::fleet

#include "fleet/operator_desk.h"

#include "telemetry/log.h"

#include <nlohmann/json.hpp>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

constexpr unsigned Done = 200;
constexpr unsigned AskLeader = 307;
constexpr unsigned Invalid = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Unclear = 503;

http::response refused(unsigned Status, const std::string &Message) {
  http::response Out;
  Out.Status = Status;
  Out.Body = nlohmann::json{{"error", Message}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Out;
}

const char *nameOf(call_end End) {
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

void operator_desk::handle(http::request Request, http::responder Respond) {
  operator_call Call = Codec.decode(Request);
  const std::string Name = Request.Method + ' ' + Request.Target;
  if (Call.Kind == operator_call::kind::unknown) {
    Respond(refused(NotFound, Name + ": no such call"));
    return;
  }
  if (!Call.Error.empty()) {
    Metrics.add("orders", "refused");
    telemetry::logEvent(severity::warning, "order_refused",
                        {{"call", Name}, {"error", Call.Error}});
    Respond(refused(Invalid, Call.Error));
    return;
  }
  const call_id Id{++Last.Value};
  Calls[Id] = {std::move(Respond), Request.Target, Call.Kind};
  if (Call.Kind == operator_call::kind::command)
    Host.order(Id, std::move(Call.Command));
  else
    Host.read(Id);
}

void operator_desk::end(call_id Id, call_end End) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const open_call Call = std::move(Found->second);
  Calls.erase(Found);
  const bool IsOrder = Call.Kind == operator_call::kind::command;
  Metrics.add(IsOrder ? "orders" : "reads", nameOf(End));
  if (IsOrder || End != call_end::done)
    telemetry::logEvent(severity::info, IsOrder ? "order_ended" : "read_ended",
                        {{"call", Call.Target}, {"outcome", nameOf(End)}});
  Call.Respond(answer(Call, End));
}

http::response operator_desk::answer(const open_call &Call,
                                     call_end End) const {
  if (End == call_end::unclear)
    return refused(Unclear, "the registry cannot be sure now");
  if (End == call_end::not_leading) {
    const auto Leader = Host.leader();
    if (!Leader)
      return refused(Unclear, "no leader is known");
    http::response Out = refused(AskLeader, "another voter leads");
    Out.Headers.push_back({"Location", "http://" + Leader->Host + ':' +
                                           std::to_string(Leader->Port) +
                                           Call.Target});
    return Out;
  }
  http::response Out;
  Out.Status = Done;
  Out.Body = "{}";
  if (Call.Kind == operator_call::kind::read_catalog) {
    const control::registry_state &State = Host.state();
    if (State.CatalogVersion == 0)
      return refused(Unclear, "no catalog has been accepted yet");
    Out.Body = *State.Catalog;
  }
  return Out;
}

void operator_desk::endAll(call_end End) {
  while (!Calls.empty())
    end(Calls.begin()->first, End);
}

} // namespace bulrush::fleet

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
constexpr unsigned Conflict = 409;
constexpr unsigned ServiceUnavailable = 503;
/// In seconds, for orders that were not accepted: an election takes less.
constexpr char RetryAfter[] = "1";

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
  case call_end::conflict:
    return "conflict";
  case call_end::unsupported:
    return "unsupported";
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
  using kind = operator_call::kind;
  const call_id Id{++LastId.Value};
  pending_call &New =
      Calls[Id] = {std::move(Respond), Request.Target, Call.Kind, Call.Service};
  if (const auto *Catalog = std::get_if<control::put_catalog>(&Call.Command))
    if (Call.Kind == kind::command)
      New.Catalog = *Catalog;
  const bool IsCommand =
      Call.Kind == kind::command || Call.Kind == kind::order_rollout;
  if (isRefused(New)) {
    // Refused only by the catalog of a confirmed leader, as the refusal is
    // final: a leader that was replaced may have an old catalog.
    New.Order = std::move(Call.Command);
    Host.submitRead(Id);
  } else if (IsCommand) {
    Host.submitCommand(Id, std::move(Call.Command));
  } else {
    Host.submitRead(Id);
  }
}

void operator_handler::complete(const call_ended &Ended) {
  const call_id Id = Ended.Call;
  const call_end End = Ended.End;
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  if (End == call_end::done && Found->second.Order &&
      !isRefused(Found->second)) {
    auto Order = std::move(*Found->second.Order);
    Found->second.Order.reset();
    Host.submitCommand(Id, std::move(Order));
    return;
  }
  const pending_call Call = std::move(Found->second);
  Calls.erase(Found);
  const bool IsCommand = Call.Kind == operator_call::kind::command ||
                         Call.Kind == operator_call::kind::order_rollout;
  const bool IsRefused = End == call_end::done && Call.Order;
  const char *Outcome = toString(End);
  if (IsRefused)
    Outcome = Call.Catalog ? "rounded_version" : "unknown_service";
  Metrics.add(IsCommand ? "orders" : "reads", Outcome);
  if (IsCommand || End != call_end::done)
    telemetry::logEvent(severity::info,
                        IsCommand ? "order_ended" : "read_ended",
                        {{"call", Call.Target},
                         {"service", Call.Service.Value},
                         {"outcome", Outcome}});
  const bool IsUnchanged = IsRefused || !Ended.HasNewRevision;
  if (End == call_end::done && Call.Catalog && IsUnchanged)
    reportUnchangedCatalog(*Call.Catalog);
  Call.Respond(makeResponse(Call, Ended));
}

/// Most such calls are acknowledged; without this line nothing would show why
/// the catalog that was sent is not in force.
void operator_handler::reportUnchangedCatalog(
    const control::put_catalog &Sent) {
  const std::uint64_t Held = Host.statedVersion();
  const char *Cause = Sent.Version < Held ? "older" : "rounded_version";
  if (Sent.Version == Held)
    Cause = *Sent.Bytes == *Host.state().Catalog ? "resent" : "other_content";
  Metrics.add("catalogs_unchanged", Cause);
  telemetry::logEvent(
      severity::warning, "catalog_unchanged",
      {{"version", Sent.Version}, {"held_version", Held}, {"cause", Cause}});
}

http::response operator_handler::makeResponse(const pending_call &Call,
                                              const call_ended &Ended) const {
  http::response Out;
  switch (Ended.End) {
  case call_end::done:
    return makeAnswer(Call, Ended);
  case call_end::conflict:
    return Codec.encodeConflict(Ended.Running);
  case call_end::not_leading:
    Out = makeRedirect(Call);
    break;
  case call_end::unclear:
    Out =
        errorResponse(ServiceUnavailable, "the outcome is unknown, try again");
    break;
  case call_end::unsupported:
    Out = errorResponse(ServiceUnavailable,
                        "not all voters run a build that knows rollouts");
    break;
  }
  if (Out.Status == ServiceUnavailable &&
      Call.Kind == operator_call::kind::order_rollout)
    Out.Headers.push_back({"Retry-After", RetryAfter});
  return Out;
}

http::response operator_handler::makeRedirect(const pending_call &Call) const {
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

bool operator_handler::isRefused(const pending_call &Call) const {
  if (Call.Kind == operator_call::kind::order_rollout)
    return Host.isUnknown(Call.Service);
  return Call.Catalog && Host.isBetweenVersions(Call.Catalog->Version);
}

http::response operator_handler::makeRefusal(const pending_call &Call) const {
  if (!Call.Catalog)
    return errorResponse(NotFound, Call.Service.Value + ": no such service");
  const std::uint64_t Held = Host.statedVersion();
  if (Call.Catalog->Version <= Held)
    return Codec.encodeUnchanged(Held);
  return errorResponse(
      Conflict,
      "config: /version: found " + std::to_string(Call.Catalog->Version) +
          ", wanted more than " + std::to_string(Host.state().CatalogVersion) +
          ", to which an earlier build has rounded version " +
          std::to_string(Held));
}

http::response operator_handler::makeAnswer(const pending_call &Call,
                                            const call_ended &Ended) const {
  if (Call.Order)
    return makeRefusal(Call);
  if (Call.Catalog && !Ended.HasNewRevision)
    return Codec.encodeUnchanged(Host.statedVersion());
  http::response Out;
  Out.Status = Ok;
  Out.Body = "{}";
  if (Call.Kind == operator_call::kind::read_rollout) {
    const auto &Rollouts = Host.state().Rollouts;
    const auto Found = Rollouts.find(Call.Service);
    return Found == Rollouts.end()
               ? errorResponse(NotFound,
                               Call.Service.Value + ": no rollout was ordered")
               : Codec.encode(Found->second);
  }
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
    complete({Calls.begin()->first, End});
}

} // namespace bulrush::fleet

#include "daemon/explain_text.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace bulrush::daemon {

namespace {

using nlohmann::json;

constexpr std::size_t MaxRecords = 20;

json attemptJson(const query::attempt_record &Attempt) {
  json Out = {{"shard", Attempt.Shard.Value},
              {"endpoint", Attempt.Endpoint.Value},
              {"owner", Attempt.Owner.Value},
              {"sentAfterMs", Attempt.SentAfterMs},
              {"endedAfterMs", Attempt.EndedAfterMs},
              {"state", query::toString(Attempt.State)}};
  if (!Attempt.IsPrimary)
    Out["cause"] = toString(Attempt.Cause);
  if (Attempt.Reason != refusal::none)
    Out["reason"] = toString(Attempt.Reason);
  return Out;
}

json recordJson(const query::query_record &Record,
                const deployment &Deployment) {
  json Attempts = json::array();
  for (const query::attempt_record &Attempt : Record.Attempts)
    Attempts.push_back(attemptJson(Attempt));
  return {{"request", Record.RequestId},
          {"caller", Deployment.Callers[Record.Caller.Value].Name},
          {"intent", Record.Intent.Value},
          {"revision", Record.Revision.Value},
          {"snapshot", Record.Snapshot.Value},
          {"newestSnapshot", Record.Newest.Value},
          {"promised", Record.Promised},
          {"covered", Record.Covered},
          {"total", Record.Total},
          {"outcome", toString(Record.Outcome)},
          {"reason", toString(Record.Reason)},
          {"tookMs", Record.Elapsed.Count},
          {"restarts", Record.Restarts},
          {"hedgeDenial", query::toString(Record.HedgeDenial)},
          {"attempts", std::move(Attempts)}};
}

std::vector<endpoint_id> endpointsOfZone(const deployment &Deployment,
                                         const std::string &Name) {
  std::vector<endpoint_id> Out;
  for (const endpoint &Endpoint : Deployment.Endpoints)
    if (Deployment.Zones[Endpoint.Zone.Value].Name == Name)
      Out.push_back(Endpoint.Id);
  return Out;
}

std::vector<const query::query_record *>
findRecords(const query::explain_log &Log, const deployment &Deployment,
            const std::string &Kind, const std::string &Name) {
  if (Kind == "query") {
    const query::query_record *Found = Log.findByRequestId(Name);
    return Found ? std::vector{Found}
                 : std::vector<const query::query_record *>{};
  }
  if (Kind == "zone")
    return Log.findByAnyEndpoint(endpointsOfZone(Deployment, Name), MaxRecords);
  endpoint_id Endpoint;
  const char *End = Name.data() + Name.size();
  const auto Parsed = std::from_chars(Name.data(), End, Endpoint.Value);
  if (Kind != "endpoint" || Parsed.ec != std::errc{} || Parsed.ptr != End)
    return {};
  return Log.findByEndpoint(Endpoint, MaxRecords);
}

} // namespace

std::string explainText(const query::explain_log &Log,
                        const deployment &Deployment,
                        const std::string &Target) {
  const std::size_t Slash = Target.find('/');
  if (Slash == std::string::npos)
    return {};
  json Out = json::array();
  for (const query::query_record *Record : findRecords(
           Log, Deployment, Target.substr(0, Slash), Target.substr(Slash + 1)))
    Out.push_back(recordJson(*Record, Deployment));
  if (Out.empty())
    return {};
  return json{{"queries", std::move(Out)}}.dump(-1, ' ', false,
                                                json::error_handler_t::replace);
}

} // namespace bulrush::daemon

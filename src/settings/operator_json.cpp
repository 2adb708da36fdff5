#include "settings/operator_json.h"

#include "settings/deployment.h"
#include "settings/json_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrush::settings {

namespace {

using namespace control;
using nlohmann::ordered_json;

constexpr double MaxId = 4'000'000'000;
constexpr const char *RequestName = "request";
constexpr std::array<const char *, 8> ChangeKeys = {
    "putIntent",     "dropIntent",     "zoneOut",  "zoneIn",
    "endpointLeave", "endpointReturn", "addVoter", "removeVoter"};

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Conflict = 409;
constexpr unsigned Unprocessable = 422;
constexpr unsigned Unavailable = 503;
constexpr unsigned TimedOut = 504;

zone_id readZone(object_reader &Item, const char *Key,
                 const deployment &Deployment) {
  const std::string Name = Item.text(Key);
  std::string Allowed = "one of";
  for (const zone &Zone : Deployment.Zones) {
    if (Zone.Name == Name)
      return Zone.Id;
    Allowed += ' ' + Zone.Name;
  }
  Item.reject(Key, Allowed);
  return {};
}

endpoint_id readEndpoint(object_reader &Item, const char *Key,
                         const deployment &Deployment) {
  const double Most =
      std::max<double>(double(Deployment.Endpoints.size()) - 1, 0);
  return {Item.whole<std::uint32_t>(Key, {.Least = 0, .Most = Most})};
}

vm_id readVm(object_reader &Item, const char *Key) {
  return {Item.whole<std::uint32_t>(Key, {.Least = 0, .Most = MaxId})};
}

change readChange(object_reader &Item, const deployment &Deployment) {
  const std::string Key =
      *std::find_if(ChangeKeys.begin(), std::prev(ChangeKeys.end()),
                    [&](const char *Each) { return Item.has(Each); });
  if (Key == "putIntent") {
    put_intent Out;
    Item.object("putIntent", [&](object_reader &Inner) {
      Out.Intent = readIntent(Inner, Deployment);
    });
    return Out;
  }
  if (Key == "dropIntent")
    return drop_intent{{Item.text("dropIntent")}};
  if (Key == "zoneOut")
    return zone_out{readZone(Item, "zoneOut", Deployment)};
  if (Key == "zoneIn")
    return zone_in{readZone(Item, "zoneIn", Deployment)};
  if (Key == "endpointLeave")
    return endpoint_leave{readEndpoint(Item, "endpointLeave", Deployment)};
  if (Key == "endpointReturn")
    return endpoint_return{readEndpoint(Item, "endpointReturn", Deployment)};
  if (Key == "addVoter")
    return add_voter{readVm(Item, "addVoter")};
  return remove_voter{readVm(Item, "removeVoter")};
}

void readOneChange(object_reader &Item, const deployment &Deployment,
                   change &Out) {
  std::string Allowed = "exactly one of";
  int Count = 0;
  for (const char *Key : ChangeKeys) {
    Allowed += ' ' + std::string(Key);
    Count += Item.has(Key) ? 1 : 0;
  }
  if (Count != 1) {
    Item.reject(ChangeKeys[0], Allowed);
    return;
  }
  Out = readChange(Item, Deployment);
}

template <class Id> ordered_json idsJson(const std::vector<Id> &Ids) {
  ordered_json Out = ordered_json::array();
  for (const Id Each : Ids)
    Out.push_back(Each.Value);
  return Out;
}

ordered_json effectsJson(const plan_effects &Effects) {
  ordered_json Pools = ordered_json::array();
  for (const pool_capacity &Pool : Effects.Pools)
    Pools.push_back({{"pool", Pool.Pool},
                     {"slotsBefore", Pool.SlotsBefore},
                     {"slotsAfter", Pool.SlotsAfter},
                     {"loadFactor", Pool.loadFactor()},
                     {"shardMapKnown", Pool.IsShardMapKnown}});
  ordered_json Lost = ordered_json::array();
  for (const lost_shards &Each : Effects.Lost)
    Lost.push_back({{"pool", Each.Pool}, {"shards", idsJson(Each.Shards)}});
  return {{"noChange", Effects.IsNoChange},
          {"callers", Effects.Callers},
          {"zones", Effects.Zones},
          {"endpoints", idsJson(Effects.Endpoints)},
          {"pools", Pools},
          {"lostShards", Lost},
          {"incompleteIntents", Effects.IncompleteIntents},
          {"displaced", Effects.Displaced},
          {"extraLoadPercentBefore", Effects.ExtraLoadBefore.Value},
          {"extraLoadPercent", Effects.ExtraLoad.Value},
          {"deadlineMs", Effects.Deadline.Count}};
}

unsigned statusOf(confirm_status Status) {
  switch (Status) {
  case confirm_status::accepted:
    return Ok;
  case confirm_status::conflict:
  case confirm_status::reused_id:
    return Conflict;
  case confirm_status::invalid:
    return Unprocessable;
  case confirm_status::not_run:
    return Unavailable;
  case confirm_status::unknown:
    break;
  }
  return TimedOut;
}

struct result_writer {
  const std::string &PlanId;

  json_answer operator()(const plan_result &R) const {
    const ordered_json Body = {{"plan", PlanId},
                               {"revision", R.Plan.BaseRevision.Value},
                               {"change", describe(R.Plan.Change)},
                               {"effects", effectsJson(R.Effects)}};
    return {Ok, Body.dump()};
  }
  json_answer operator()(const confirm_result &R) const {
    ordered_json Body = {{"result", toString(R.Status)}};
    const bool IsDecided = R.Status != confirm_status::not_run &&
                           R.Status != confirm_status::unknown;
    if (IsDecided)
      Body["revision"] = R.Revision.Value;
    return {statusOf(R.Status), Body.dump()};
  }
  json_answer operator()(const status_result &R) const {
    const rollout_status &Rollout = R.Rollout;
    const ordered_json Body = {
        {"leader", R.Leader.Value},
        {"term", R.Term.Value},
        {"revision", Rollout.Revision.Value},
        {"state", Rollout.IsInForce ? "in_force" : "accepted"},
        {"behind", idsJson(Rollout.Behind)},
        {"suspended", idsJson(Rollout.Suspended)},
        {"membershipEpoch", R.Members.Epoch},
        {"live", idsJson(R.Members.Live)},
        {"endpointsMoving", R.EndpointsMoving}};
    return {Ok, Body.dump()};
  }
  json_answer operator()(const request_refused &R) const {
    const ordered_json Body = {{"result", "not_run"},
                               {"reason", bulrush::toString(R.Reason)},
                               {"message", R.Message}};
    const bool IsBad = R.Reason == refusal::bad_request;
    return {IsBad ? BadRequest : Unavailable, Body.dump()};
  }
};

template <class T> bool contains(const std::vector<T> &List, const T &Item) {
  return std::find(List.begin(), List.end(), Item) != List.end();
}

} // namespace

expected<plan_request> parsePlanRequest(std::string_view Text,
                                        const deployment &Deployment) {
  plan_request Out;
  bool HasChange = false;
  const auto Read = readObject(Text, RequestName, [&](object_reader &Reader) {
    Out.Operator.Value = Reader.text("operator");
    Out.Command.Value = Reader.text("command");
    Reader.object("change", [&](object_reader &Item) {
      HasChange = true;
      readOneChange(Item, Deployment, Out.Change);
    });
    if (!HasChange)
      Reader.reject("change", "an object");
  });
  if (!Read)
    return fail(Read.error());
  return Out;
}

expected<confirm_fields> parseConfirm(std::string_view Text) {
  confirm_fields Out;
  const auto Read = readObject(Text, RequestName, [&](object_reader &Reader) {
    Out.Operator.Value = Reader.text("operator");
    Out.Command.Value = Reader.text("command");
    Out.PlanId = Reader.text("plan");
    Out.IsFirstSend = Reader.flag("firstSend", false);
  });
  if (!Read)
    return fail(Read.error());
  return Out;
}

expected<confirm_request> makeConfirmRequest(const confirm_fields &Fields,
                                             const plan &Plan) {
  if (Plan.Operator != Fields.Operator)
    return fail("operator: found \"" + Fields.Operator.Value +
                "\", allowed is the plan's \"" + Plan.Operator.Value + '"');
  if (Plan.Command != Fields.Command)
    return fail("command: found \"" + Fields.Command.Value +
                "\", allowed is the plan's \"" + Plan.Command.Value + '"');
  return confirm_request{Plan, Fields.IsFirstSend};
}

json_answer toJson(const operator_result &Result, const std::string &PlanId) {
  return std::visit(result_writer{PlanId}, Result);
}

json_answer badRequest(const std::string &Message) {
  return toJson(request_refused{refusal::bad_request, Message});
}

std::string intentsJson(const fleet_config &Config) {
  ordered_json Intents = ordered_json::array();
  for (const intent &I : Config.Intents)
    Intents.push_back({{"name", I.Name.Value},
                       {"caller", I.Caller},
                       {"kind", I.PathPrefix},
                       {"deadlineMs", I.Deadline.Count},
                       {"minCoveragePercent", I.MinCoverage.Value},
                       {"weight", I.Weight},
                       {"extraLoadPercent", I.ExtraLoad.Value}});
  const ordered_json Body = {{"revision", Config.Revision.Value},
                             {"intents", Intents}};
  return Body.dump();
}

std::string zonesJson(const deployment &Deployment,
                      const fleet_config &Config) {
  ordered_json Zones = ordered_json::array();
  for (const zone &Zone : Deployment.Zones) {
    const bool IsOut = contains(Config.ZonesOut, Zone.Id);
    Zones.push_back({{"name", Zone.Name}, {"state", IsOut ? "out" : "in"}});
  }
  const ordered_json Body = {{"revision", Config.Revision.Value},
                             {"zones", Zones}};
  return Body.dump();
}

std::string endpointsJson(const deployment &Deployment,
                          const fleet_config &Config,
                          const std::map<endpoint_id, daemon_id> &Owners) {
  ordered_json Endpoints = ordered_json::array();
  for (const endpoint &E : Deployment.Endpoints) {
    const bool IsOut = contains(Config.ZonesOut, E.Zone);
    const bool IsLeaving = contains(Config.Leaving, E.Id);
    const char *State = IsOut ? "zone_out" : IsLeaving ? "leaving" : "in";
    ordered_json Item = {{"id", E.Id.Value},
                         {"pool", Deployment.Pools[E.Pool.Value].Name},
                         {"zone", Deployment.Zones[E.Zone.Value].Name},
                         {"state", State}};
    const auto Owner = Owners.find(E.Id);
    if (Owner != Owners.end())
      Item["owner"] = Owner->second.Vm.Value;
    Endpoints.push_back(std::move(Item));
  }
  const ordered_json Body = {{"revision", Config.Revision.Value},
                             {"endpoints", Endpoints}};
  return Body.dump();
}

std::string historyJson(const std::deque<history_entry> &History) {
  ordered_json Changes = ordered_json::array();
  for (const history_entry &Entry : History)
    Changes.push_back({{"revision", Entry.Revision.Value},
                       {"operator", Entry.Operator.Value},
                       {"command", Entry.Command.Value},
                       {"change", describe(Entry.Change)},
                       {"timeMs", Entry.Time.Ms}});
  const ordered_json Body = {{"history", Changes}};
  return Body.dump();
}

} // namespace bulrush::settings

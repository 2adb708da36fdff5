#include "admin.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bulrush::bench {
namespace {

using nlohmann::json;

http::response okResponse(std::string Body = "{}") {
  http::response Response;
  Response.Body = std::move(Body);
  return Response;
}

http::response errorResponse(unsigned Status, const std::string &Message) {
  http::response Response;
  Response.Status = Status;
  Response.Body = json{{"error", Message}}.dump();
  return Response;
}

std::vector<vm_id> vmsOf(const deployment &Deployment) {
  std::vector<vm_id> Vms;
  for (const vm &Vm : Deployment.Vms)
    Vms.push_back(Vm.Id);
  return Vms;
}

std::string_view stateName(run_state RunState) {
  switch (RunState) {
  case run_state::cold:
    return "cold";
  case run_state::warm:
    return "warm";
  case run_state::down:
    return "down";
  }
  return "cold";
}

std::optional<vm_state> parseVmState(const std::string &Name) {
  if (Name == "live")
    return vm_state::live;
  if (Name == "leaving")
    return vm_state::leaving;
  if (Name == "gone")
    return vm_state::gone;
  return std::nullopt;
}

/// Converts a call of `/admin/endpoints/X/Change` into an event of the model;
/// `nullopt` if `Change` is unknown.
std::optional<event> parseChange(const std::string &Change, const json &Body) {
  if (Change == "cold")
    return turn_cold{Body.value("reset", false)};
  if (Change == "down")
    return take_down{{Body.value("ms", 1000.0)}};
  if (Change == "drain")
    return set_draining{Body.value("on", true)};
  return std::nullopt;
}

json describe(const endpoint_server &Server, const deployment &Deployment) {
  const endpoint &E = Server.description();
  return {{"id", E.Id.Value},
          {"pool", Deployment.Pools[E.Pool.Value].Name},
          {"zone", Deployment.Zones[E.Zone.Value].Name},
          {"port", E.Address.Port},
          {"slots", Server.model().behaviour().Slots}};
}

} // namespace

admin_api::admin_api(fleet &Fleet)
    : Fleet(Fleet), Platform(vmsOf(Fleet.description())) {}

void admin_api::handle(http::request Request, http::responder Respond) {
  try {
    Respond(answer(Request));
  } catch (const json::exception &Wrong) {
    Respond(errorResponse(400, Wrong.what()));
  }
}

http::response admin_api::answer(const http::request &Request) {
  const std::string_view Target = Request.Target;
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const std::string_view Query = Target.substr(Path.size());
  const bool IsPost = Request.Method == "POST";
  if (Path == "/platform/vms")
    return okResponse(Platform.toJson(Clock.now()));
  if (Path == "/admin/endpoints")
    return listEndpoints();
  if (Path == "/admin/record" && !IsPost)
    return listRecords(Query);
  if (Path == "/admin/record/reset" && IsPost)
    return resetRecords();
  if (Path == "/admin/snapshots")
    return listSnapshots();
  if (Path == "/admin/publish" && IsPost)
    return publish(Request.Body);
  if (Path == "/admin/platform" && IsPost)
    return changePlatform(Request.Body);
  constexpr std::string_view Prefix = "/admin/endpoints/";
  const std::size_t Slash = Path.rfind('/');
  if (IsPost && Path.substr(0, Prefix.size()) == Prefix &&
      Slash >= Prefix.size())
    return changeEndpoints(
        std::string(Path.substr(Prefix.size(), Slash - Prefix.size())),
        std::string(Path.substr(Slash + 1)), Request.Body);
  return errorResponse(404, "unknown admin path or method");
}

http::response admin_api::listEndpoints() {
  const auto All = Fleet.select("all");
  std::vector<json> Items(All.size());
  Fleet.visit(All, [&](endpoint_server &Server) {
    const endpoint_model &Model = Server.model();
    json Item = describe(Server, Fleet.description());
    Item["state"] = stateName(Model.state());
    Item["inFlight"] = Model.inFlight();
    Item["bears"] = Model.capacity();
    Item["behaviour"] = json::parse(toJson(Model.behaviour()));
    Items[Server.description().Id.Value] = std::move(Item);
  });
  return okResponse(json{{"endpoints", Items}}.dump());
}

http::response admin_api::listRecords(std::string_view Query) {
  const bool WithTimes = Query.find("serviceTimes=1") != Query.npos;
  const bool WithKeys = Query.find("keys=1") != Query.npos;
  const double Zero = wallClockAtZero();
  const auto All = Fleet.select("all");
  std::vector<json> Items(All.size());
  Fleet.visit(All, [&](endpoint_server &Server) {
    json Item = describe(Server, Fleet.description());
    Item.update(json::parse(
        toJson(Server.model().record(), Zero, WithTimes, WithKeys)));
    Items[Server.description().Id.Value] = std::move(Item);
  });
  return okResponse(json{{"endpoints", Items}}.dump());
}

http::response admin_api::listSnapshots() const {
  json Items = json::array();
  for (const published_snapshot &S : Fleet.published())
    Items.push_back({{"pool", Fleet.description().Pools[S.Pool.Value].Name},
                     {"id", S.Snapshot.Value},
                     {"totalShards", S.TotalShards}});
  return okResponse(json{{"snapshots", Items}}.dump());
}

http::response admin_api::resetRecords() {
  Fleet.visit(Fleet.select("all"),
              [](endpoint_server &Server) { Server.apply(reset_record{}); });
  return okResponse();
}

http::response admin_api::publish(const std::string &Body) {
  const json Fields = json::parse(Body, nullptr, false);
  if (!Fields.is_object())
    return errorResponse(400, "a JSON object is expected");
  for (const pool &Pool : Fleet.description().Pools) {
    if (Fields.value("pool", "") != Pool.Name)
      continue;
    publication P;
    P.NewSnapshot = {Pool.Id,
                     snapshot_id{Fields.value("snapshot", std::uint64_t{0})},
                     Fields.value("totalShards", Pool.Shards)};
    P.Keep = Fields.value("keep", std::size_t{1});
    P.RolloutTime = millis{Fields.value("spreadMs", 0.0)};
    if (P.NewSnapshot.Snapshot.Value == 0 || P.NewSnapshot.TotalShards == 0)
      return errorResponse(400, "snapshot and totalShards must be positive");
    Fleet.publish(P);
    return okResponse();
  }
  return errorResponse(400, "unknown pool");
}

http::response admin_api::changePlatform(const std::string &Body) {
  const json Fields = json::parse(Body, nullptr, false);
  if (!Fields.is_object())
    return errorResponse(400, "a JSON object is expected");
  if (Fields.contains("lagMs"))
    Platform.setLag(millis{Fields.value("lagMs", 0.0)});
  if (!Fields.contains("vm"))
    return okResponse();
  const auto State = parseVmState(Fields.value("state", ""));
  if (!State)
    return errorResponse(400, "state must be live, leaving or gone");
  Platform.change(vm_id{Fields.value("vm", 0U)}, *State, Clock.now());
  return okResponse();
}

http::response admin_api::changeEndpoints(const std::string &Selector,
                                          const std::string &Change,
                                          const std::string &Body) {
  const auto Selected = Fleet.select(Selector);
  if (Selected.empty())
    return errorResponse(404, "no endpoint, zone or pool is named " + Selector);
  const json Fields = json::parse(Body.empty() ? "{}" : Body, nullptr, false);
  if (!Fields.is_object())
    return errorResponse(400, "a JSON object is expected");
  if (Change == "behaviour") {
    const auto Checked = applyPatch(endpoint_behaviour{}, Body);
    if (!Checked)
      return errorResponse(400, Checked.error().Message);
    Fleet.visit(Selected, [&](endpoint_server &Server) {
      const auto New = applyPatch(Server.model().behaviour(), Body);
      if (New)
        Server.apply(set_behaviour{*New});
    });
    return okResponse();
  }
  const auto Event = parseChange(Change, Fields);
  if (!Event)
    return errorResponse(404, "unknown change: " + Change);
  Fleet.visit(Selected, [&](endpoint_server &Server) { Server.apply(*Event); });
  return okResponse();
}

} // namespace bulrush::bench

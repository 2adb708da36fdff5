#include "admin.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bulrush::bench {
namespace {

using nlohmann::json;

http::response ok(std::string Body = "{}") {
  http::response Response;
  Response.Body = std::move(Body);
  return Response;
}

http::response refused(unsigned Status, const std::string &Why) {
  http::response Response;
  Response.Status = Status;
  Response.Body = json{{"error", Why}}.dump();
  return Response;
}

std::vector<vm_id> vmsOf(const deployment &Deployment) {
  std::vector<vm_id> Vms;
  for (const vm &Vm : Deployment.Vms)
    Vms.push_back(Vm.Id);
  return Vms;
}

std::string_view nameOf(warmth Warmth) {
  switch (Warmth) {
  case warmth::cold:
    return "cold";
  case warmth::warm:
    return "warm";
  case warmth::down:
    return "down";
  }
  return "cold";
}

std::optional<vm_state> stateNamed(const std::string &Name) {
  if (Name == "live")
    return vm_state::live;
  if (Name == "leaving")
    return vm_state::leaving;
  if (Name == "gone")
    return vm_state::gone;
  return std::nullopt;
}

/// The event that `/admin/endpoints/X/What` stands for.
std::optional<event> eventNamed(const std::string &What, const json &Body) {
  if (What == "cold")
    return turn_cold{Body.value("reset", false)};
  if (What == "down")
    return take_down{{Body.value("ms", 1000.0)}};
  if (What == "drain")
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
    Respond(refused(400, Wrong.what()));
  }
}

http::response admin_api::answer(const http::request &Request) {
  const std::string_view Target = Request.Target;
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const std::string_view Query = Target.substr(Path.size());
  const bool IsPost = Request.Method == "POST";
  if (Path == "/platform/vms")
    return ok(Platform.toJson(Clock.now()));
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
  return refused(404, "no such call");
}

http::response admin_api::listEndpoints() {
  const auto All = Fleet.select("all");
  std::vector<json> Items(All.size());
  Fleet.visit(All, [&](endpoint_server &Server) {
    const endpoint_model &Model = Server.model();
    json Item = describe(Server, Fleet.description());
    Item["state"] = nameOf(Model.state());
    Item["inFlight"] = Model.inFlight();
    Item["bears"] = Model.bearable();
    Item["behaviour"] = json::parse(toJson(Model.behaviour()));
    Items[Server.description().Id.Value] = std::move(Item);
  });
  return ok(json{{"endpoints", Items}}.dump());
}

http::response admin_api::listRecords(std::string_view Query) {
  const bool WithTimes = Query.find("serviceTimes=1") != Query.npos;
  const bool WithKeys = Query.find("keys=1") != Query.npos;
  const double Zero = wallOfZero();
  const auto All = Fleet.select("all");
  std::vector<json> Items(All.size());
  Fleet.visit(All, [&](endpoint_server &Server) {
    json Item = describe(Server, Fleet.description());
    Item.update(json::parse(
        toJson(Server.model().record(), Zero, WithTimes, WithKeys)));
    Items[Server.description().Id.Value] = std::move(Item);
  });
  return ok(json{{"endpoints", Items}}.dump());
}

http::response admin_api::listSnapshots() const {
  json Items = json::array();
  for (const published_snapshot &S : Fleet.published())
    Items.push_back({{"pool", Fleet.description().Pools[S.Pool.Value].Name},
                     {"id", S.Snapshot.Value},
                     {"totalShards", S.TotalShards}});
  return ok(json{{"snapshots", Items}}.dump());
}

http::response admin_api::resetRecords() {
  Fleet.visit(Fleet.select("all"),
              [](endpoint_server &Server) { Server.apply(reset_record{}); });
  return ok();
}

http::response admin_api::publish(const std::string &Body) {
  const json Order = json::parse(Body, nullptr, false);
  if (!Order.is_object())
    return refused(400, "a JSON object is expected");
  for (const pool &Pool : Fleet.description().Pools) {
    if (Order.value("pool", "") != Pool.Name)
      continue;
    publication P;
    P.What = {Pool.Id, snapshot_id{Order.value("snapshot", std::uint64_t{0})},
              Order.value("totalShards", Pool.Shards)};
    P.Keep = Order.value("keep", std::size_t{1});
    P.Spread = millis{Order.value("spreadMs", 0.0)};
    if (P.What.Snapshot.Value == 0 || P.What.TotalShards == 0)
      return refused(400, "snapshot and totalShards must be positive");
    Fleet.publish(P);
    return ok();
  }
  return refused(400, "unknown pool");
}

http::response admin_api::changePlatform(const std::string &Body) {
  const json Order = json::parse(Body, nullptr, false);
  if (!Order.is_object())
    return refused(400, "a JSON object is expected");
  if (Order.contains("lagMs"))
    Platform.setLag(millis{Order.value("lagMs", 0.0)});
  if (!Order.contains("vm"))
    return ok();
  const auto State = stateNamed(Order.value("state", ""));
  if (!State)
    return refused(400, "state must be live, leaving or gone");
  Platform.change(vm_id{Order.value("vm", 0U)}, *State, Clock.now());
  return ok();
}

http::response admin_api::changeEndpoints(const std::string &Selector,
                                          const std::string &What,
                                          const std::string &Body) {
  const auto Chosen = Fleet.select(Selector);
  if (Chosen.empty())
    return refused(404, "no endpoint, zone or pool " + Selector);
  const json Order = json::parse(Body.empty() ? "{}" : Body, nullptr, false);
  if (!Order.is_object())
    return refused(400, "a JSON object is expected");
  if (What == "behaviour") {
    const auto Checked = patched(endpoint_behaviour{}, Body);
    if (!Checked)
      return refused(400, Checked.error().Message);
    Fleet.visit(Chosen, [&](endpoint_server &Server) {
      const auto New = patched(Server.model().behaviour(), Body);
      if (New)
        Server.apply(set_behaviour{*New});
    });
    return ok();
  }
  const auto Event = eventNamed(What, Order);
  if (!Event)
    return refused(404, "no such change: " + What);
  Fleet.visit(Chosen, [&](endpoint_server &Server) { Server.apply(*Event); });
  return ok();
}

} // namespace bulrush::bench

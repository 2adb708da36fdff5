#include "settings/deployment.h"

#include "settings/json_reader.h"

#include <algorithm>
#include <set>

namespace bulrush::settings {

namespace {

constexpr double MaxEndpoints = 20'000;
constexpr double MaxVms = 4'000;
constexpr double MaxShards = 10'000;
constexpr double MaxMillis = 600'000;
/// Longer keys are refused by relay/account_table.
constexpr std::size_t MaxApiKeyBytes = 256;

template <class Object>
const Object *findByName(const std::vector<Object> &Objects,
                         const std::string &Name) {
  const auto Found =
      std::find_if(Objects.begin(), Objects.end(),
                   [&](const Object &Each) { return Each.Name == Name; });
  return Found == Objects.end() ? nullptr : &*Found;
}

template <class Object>
std::string listNames(const std::vector<Object> &Objects) {
  std::string Out = "one of";
  for (const Object &Each : Objects)
    Out += ' ' + Each.Name;
  return Out;
}

zone_id readZone(object_reader &Reader, const char *Key,
                 const deployment &Deployment) {
  const std::string Name = Reader.text(Key);
  if (const zone *Found = findByName(Deployment.Zones, Name))
    return Found->Id;
  Reader.reject(Key, listNames(Deployment.Zones));
  return {};
}

std::string readNewName(object_reader &Reader,
                        std::set<std::string> &UsedNames) {
  std::string Name = Reader.text("name");
  if (!UsedNames.insert(Name).second)
    Reader.reject("name", "a name that is unique in this list");
  return Name;
}

void readZones(object_reader &Reader, deployment &Out) {
  std::set<std::string> UsedNames;
  Reader.objects("zones", true, [&](object_reader &Item) {
    const zone_id Id{static_cast<std::uint16_t>(Out.Zones.size())};
    Out.Zones.push_back({Id, readNewName(Item, UsedNames)});
  });
}

void readLinks(object_reader &Reader, deployment &Out) {
  Reader.objects("links", false, [&](object_reader &Item) {
    zone_link Link;
    Link.From = readZone(Item, "from", Out);
    Link.To = readZone(Item, "to", Out);
    Link.OneWay = Item.duration("oneWayMs", {.Least = 0, .Most = 1000});
    Out.Links.push_back(Link);
  });
}

void readVms(object_reader &Reader, deployment &Out) {
  std::set<std::uint32_t> UsedIds;
  Reader.objects("vms", true, [&](object_reader &Item) {
    vm Vm;
    Vm.Id.Value = Item.whole<std::uint32_t>("id", {.Least = 1, .Most = MaxVms});
    if (!UsedIds.insert(Vm.Id.Value).second)
      Item.reject("id", "an id that no other vm has");
    Vm.Zone = readZone(Item, "zone", Out);
    Vm.Callers = Item.socketAddress("callers");
    Vm.Peers = Item.socketAddress("peers");
    Vm.HasDisk = Item.flag("disk", false);
    Vm.Operators = Item.socketAddress("operators", !Vm.HasDisk);
    Vm.Control = Item.socketAddress("control", !Vm.HasDisk);
    Out.Vms.push_back(Vm);
  });
}

/// Reads a group of `count` endpoints, which have consecutive ports and are
/// assigned to the `zones` round-robin.
void readEndpointGroup(object_reader &Item, pool &Pool, deployment &Out) {
  const auto Count = Item.whole<std::uint32_t>(
      "count", {.Least = 1, .Most = MaxEndpoints, .Fallback = 1});
  const address First = Item.socketAddress("firstAddress");
  std::vector<zone_id> Zones;
  for (const std::string &Name : Item.texts("zones"))
    if (const zone *Found = findByName(Out.Zones, Name))
      Zones.push_back(Found->Id);
    else
      Item.reject("zones", listNames(Out.Zones));
  if (Zones.empty())
    Item.reject("zones", "a non-empty array of zone names");
  endpoint_limits Limits;
  Limits.Slots = Item.whole<std::uint32_t>("slots", {.Least = 1, .Most = 1000});
  Limits.Connections =
      Item.whole<std::uint32_t>("connections", {.Least = 1, .Most = 10'000});
  Limits.ConnectCost =
      Item.duration("connectCostMs", {.Least = 0, .Most = 1000, .Fallback = 0});
  if (First.Port + Count > 65'536U)
    Item.reject("firstAddress",
                "a port such that all `count` ports are at most 65535");
  if (Limits.Connections <= Limits.Slots)
    Item.reject("connections",
                "more than `slots`, for cancels and health checks");
  if (Zones.empty())
    return;
  for (std::uint32_t I = 0; I < Count; ++I) {
    endpoint Endpoint;
    Endpoint.Id.Value = static_cast<std::uint32_t>(Out.Endpoints.size());
    Endpoint.Pool = Pool.Id;
    Endpoint.Zone = Zones[I % Zones.size()];
    Endpoint.Address = {First.Host, static_cast<std::uint16_t>(First.Port + I)};
    Endpoint.Limits = Limits;
    Pool.Endpoints.push_back(Endpoint.Id);
    Out.Endpoints.push_back(Endpoint);
  }
}

void readPools(object_reader &Reader, deployment &Out) {
  std::set<std::string> UsedNames;
  Reader.objects("pools", true, [&](object_reader &Item) {
    pool Pool;
    Pool.Id.Value = static_cast<std::uint16_t>(Out.Pools.size());
    Pool.Name = readNewName(Item, UsedNames);
    Pool.Shards =
        Item.whole<std::uint32_t>("shards", {.Least = 1, .Most = MaxShards});
    Pool.Replicas =
        Item.whole<std::uint32_t>("replicas", {.Least = 1, .Most = 100});
    Item.objects("endpoints", true, [&](object_reader &Group) {
      readEndpointGroup(Group, Pool, Out);
    });
    if (Pool.Replicas > Pool.Endpoints.size())
      Item.reject("replicas", "at most the number of endpoints");
    Out.Pools.push_back(Pool);
  });
}

void readCallers(object_reader &Reader, deployment &Out) {
  std::set<std::string> UsedNames;
  std::set<std::string> Keys;
  Reader.objects("callers", true, [&](object_reader &Item) {
    caller Caller;
    Caller.Id.Value = static_cast<std::uint16_t>(Out.Callers.size());
    Caller.Name = readNewName(Item, UsedNames);
    const std::string PoolName = Item.text("pool");
    if (const pool *Found = findByName(Out.Pools, PoolName))
      Caller.Pool = Found->Id;
    else
      Item.reject("pool", listNames(Out.Pools));
    Caller.ApiKey = Item.text("apiKey");
    if (Caller.ApiKey.size() > MaxApiKeyBytes)
      Item.reject("name", "a caller whose apiKey has at most 256 bytes");
    if (!Keys.insert(Caller.ApiKey).second)
      // Not reported at `apiKey`: the error message would contain the key.
      Item.reject("name", "a caller whose apiKey is unique");
    Out.Callers.push_back(Caller);
  });
}

} // namespace

expected<deployment> parseDeployment(std::string_view Text,
                                     const std::string &File) {
  deployment Out;
  const auto Read = readObject(Text, File, [&](object_reader &Reader) {
    Out.Name = Reader.text("name");
    readZones(Reader, Out);
    readLinks(Reader, Out);
    readVms(Reader, Out);
    readPools(Reader, Out);
    readCallers(Reader, Out);
  });
  if (!Read)
    return fail(Read.error());
  return Out;
}

expected<deployment> loadDeployment(const std::string &Path) {
  const auto Text = readFile(Path);
  if (!Text)
    return fail(Text.error());
  return parseDeployment(*Text, Path);
}

intent readIntent(object_reader &Item, const deployment &Deployment) {
  intent Out;
  Out.Name.Value = Item.text("name");
  Out.Caller = Item.text("caller", "");
  if (!Out.Caller.empty() && !findByName(Deployment.Callers, Out.Caller))
    Item.reject("caller", listNames(Deployment.Callers));
  Out.PathPrefix = Item.text("kind", "");
  Out.Deadline = Item.duration("deadlineMs", {.Least = 1, .Most = MaxMillis});
  Out.MinCoverage.Value = Item.number("minCoveragePercent",
                                      {.Least = 0, .Most = 100, .Fallback = 0});
  Out.Weight =
      Item.number("weight", {.Least = 0.01, .Most = 1000, .Fallback = 1});
  Out.ExtraLoad.Value =
      Item.number("extraLoadPercent", {.Least = 0, .Most = 100, .Fallback = 5});
  return Out;
}

expected<std::vector<intent>> parseIntents(std::string_view Text,
                                           const std::string &File,
                                           const deployment &Deployment) {
  std::vector<intent> Out;
  std::set<std::string> UsedNames;
  const auto Read = readObject(Text, File, [&](object_reader &Reader) {
    Reader.objects("intents", true, [&](object_reader &Item) {
      readNewName(Item, UsedNames);
      Out.push_back(readIntent(Item, Deployment));
    });
  });
  if (!Read)
    return fail(Read.error());
  return Out;
}

} // namespace bulrush::settings

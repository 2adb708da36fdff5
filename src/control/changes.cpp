#include "control/changes.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <xxhash.h>

namespace bulrush::control {

namespace {

constexpr std::size_t MaxNameLength = 100;
constexpr std::size_t MaxIntents = 1000;
constexpr millis MaxDeadline{600'000};
constexpr double MaxWeight = 1000;

template <class T> void insertSorted(std::vector<T> &List, const T &Item) {
  const auto Position = std::lower_bound(List.begin(), List.end(), Item);
  if (Position == List.end() || *Position != Item)
    List.insert(Position, Item);
}

std::string quoted(const std::string &Text) {
  std::string Out = "\"";
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C;
  }
  return Out + '"';
}

struct change_formatter {
  std::ostringstream Out;

  void operator()(const put_intent &C) {
    const intent &I = C.Intent;
    Out.precision(17);
    Out << "putIntent name=" << quoted(I.Name.Value)
        << " caller=" << quoted(I.Caller) << " kind=" << quoted(I.PathPrefix)
        << " deadlineMs=" << I.Deadline.Count
        << " minCoveragePercent=" << I.MinCoverage.Value
        << " weight=" << I.Weight << " extraLoadPercent=" << I.ExtraLoad.Value;
  }
  void operator()(const drop_intent &C) {
    Out << "dropIntent " << quoted(C.Name.Value);
  }
  void operator()(const zone_out &C) { Out << "zoneOut " << C.Zone; }
  void operator()(const zone_in &C) { Out << "zoneIn " << C.Zone; }
  void operator()(const endpoint_leave &C) {
    Out << "endpointLeave " << C.Endpoint;
  }
  void operator()(const endpoint_return &C) {
    Out << "endpointReturn " << C.Endpoint;
  }
  void operator()(const add_voter &C) { Out << "addVoter " << C.Vm; }
  void operator()(const remove_voter &C) { Out << "removeVoter " << C.Vm; }
};

template <class T>
expected<void> invalid(const char *Field, const T &Value,
                       const std::string &Allowed) {
  std::ostringstream Out;
  Out << Field << ": " << Value << " is not allowed; allowed: " << Allowed;
  return fail(Out.str());
}

expected<void> inRange(const char *Field, double Value, double Low,
                       double High) {
  if (std::isfinite(Value) && Value >= Low && Value <= High)
    return {};
  std::ostringstream Allowed;
  Allowed << Low << " to " << High;
  return invalid(Field, Value, Allowed.str());
}

struct change_validator {
  const deployment &Deployment;
  const fleet_config &Config;

  expected<void> operator()(const put_intent &C) const {
    const intent &I = C.Intent;
    if (I.Name.Value.empty() || I.Name.Value.size() > MaxNameLength)
      return invalid("putIntent.name", quoted(I.Name.Value),
                     "1 to 100 characters");
    if (I.PathPrefix.size() > MaxNameLength)
      return invalid("putIntent.kind", quoted(I.PathPrefix),
                     "up to 100 characters");
    if (!I.Caller.empty() && !hasCaller(I.Caller))
      return invalid("putIntent.caller", quoted(I.Caller), callerNames());
    if (Config.Intents.size() >= MaxIntents && !hasIntent(I.Name))
      return invalid("putIntent.name", quoted(I.Name.Value),
                     "at most 1000 intents, drop one first");
    if (I.Deadline.Count <= 0)
      return invalid("putIntent.deadlineMs", I.Deadline.Count,
                     "more than 0, up to 600000");
    const auto Deadline =
        inRange("putIntent.deadlineMs", I.Deadline.Count, 0, MaxDeadline.Count);
    if (!Deadline)
      return Deadline;
    auto Coverage =
        inRange("putIntent.minCoveragePercent", I.MinCoverage.Value, 0, 100);
    if (!Coverage)
      return Coverage;
    if (I.Weight <= 0)
      return invalid("putIntent.weight", I.Weight, "more than 0, up to 1000");
    auto Weight = inRange("putIntent.weight", I.Weight, 0, MaxWeight);
    if (!Weight)
      return Weight;
    return inRange("putIntent.extraLoadPercent", I.ExtraLoad.Value, 0, 100);
  }
  expected<void> operator()(const drop_intent &C) const {
    if (hasIntent(C.Name))
      return {};
    return invalid("dropIntent", quoted(C.Name.Value), intentNames());
  }
  expected<void> operator()(const zone_out &C) const {
    return checkZone("zoneOut", C.Zone);
  }
  expected<void> operator()(const zone_in &C) const {
    return checkZone("zoneIn", C.Zone);
  }
  expected<void> operator()(const endpoint_leave &C) const {
    return checkEndpoint("endpointLeave", C.Endpoint);
  }
  expected<void> operator()(const endpoint_return &C) const {
    return checkEndpoint("endpointReturn", C.Endpoint);
  }
  expected<void> operator()(const add_voter &C) const {
    return checkVoter("addVoter", C.Vm);
  }
  expected<void> operator()(const remove_voter &C) const {
    return checkVoter("removeVoter", C.Vm);
  }

private:
  bool hasCaller(const std::string &Name) const {
    return std::any_of(Deployment.Callers.begin(), Deployment.Callers.end(),
                       [&](const caller &C) { return C.Name == Name; });
  }
  bool hasIntent(const intent_name &Name) const {
    return std::any_of(Config.Intents.begin(), Config.Intents.end(),
                       [&](const intent &I) { return I.Name == Name; });
  }
  std::string callerNames() const {
    std::string Out = "\"\" for all";
    for (const caller &C : Deployment.Callers)
      Out += ", " + quoted(C.Name);
    return Out;
  }
  std::string intentNames() const {
    if (Config.Intents.empty())
      return "none, there are no intents";
    std::string Out;
    for (const intent &I : Config.Intents)
      Out += (Out.empty() ? "" : ", ") + quoted(I.Name.Value);
    return Out;
  }
  expected<void> checkZone(const char *Field, zone_id Zone) const {
    if (Zone.Value < Deployment.Zones.size())
      return {};
    std::string Allowed;
    for (const zone &Z : Deployment.Zones)
      Allowed += (Allowed.empty() ? "" : ", ") + quoted(Z.Name);
    return invalid(Field, Zone, Allowed);
  }
  expected<void> checkEndpoint(const char *Field, endpoint_id Endpoint) const {
    const std::size_t Count = Deployment.Endpoints.size();
    if (Endpoint.Value < Count)
      return {};
    if (Count == 0)
      return invalid(Field, Endpoint, "none, there are no endpoints");
    return invalid(Field, Endpoint, "0 to " + std::to_string(Count - 1));
  }
  expected<void> checkVoter(const char *Field, vm_id Vm) const {
    std::string Allowed;
    for (const vm &V : Deployment.Vms) {
      if (!V.HasDisk)
        continue;
      if (V.Id == Vm)
        return {};
      Allowed += (Allowed.empty() ? "" : ", ") + std::to_string(V.Id.Value);
    }
    return invalid(Field, Vm, "machines with a disk: " + Allowed);
  }
};

struct change_applier {
  fleet_config &Config;

  void operator()(const put_intent &C) const {
    for (intent &I : Config.Intents) {
      if (I.Name != C.Intent.Name)
        continue;
      I = C.Intent;
      return;
    }
    Config.Intents.push_back(C.Intent);
  }
  void operator()(const drop_intent &C) const {
    std::erase_if(Config.Intents,
                  [&](const intent &I) { return I.Name == C.Name; });
  }
  void operator()(const zone_out &C) const {
    insertSorted(Config.ZonesOut, C.Zone);
  }
  void operator()(const zone_in &C) const {
    std::erase(Config.ZonesOut, C.Zone);
  }
  void operator()(const endpoint_leave &C) const {
    insertSorted(Config.Leaving, C.Endpoint);
  }
  void operator()(const endpoint_return &C) const {
    std::erase(Config.Leaving, C.Endpoint);
  }
  void operator()(const add_voter &) const {}
  void operator()(const remove_voter &) const {}
};

} // namespace

std::string describe(const change &Change) {
  change_formatter Formatter;
  std::visit(Formatter, Change);
  return Formatter.Out.str();
}

std::uint64_t fingerprint(const change &Change) {
  const std::string Text = describe(Change);
  return XXH64(Text.data(), Text.size(), 0);
}

std::uint64_t digest(const fleet_config &Config) {
  std::ostringstream Out;
  Out << Config.Revision << '\n';
  for (const intent &I : Config.Intents)
    Out << describe(put_intent{I}) << '\n';
  for (const zone_id Zone : Config.ZonesOut)
    Out << describe(zone_out{Zone}) << '\n';
  for (const endpoint_id Endpoint : Config.Leaving)
    Out << describe(endpoint_leave{Endpoint}) << '\n';
  const std::string Text = Out.str();
  return XXH64(Text.data(), Text.size(), 0);
}

expected<void> validate(const deployment &Deployment,
                        const fleet_config &Config, const change &Change) {
  return std::visit(change_validator{Deployment, Config}, Change);
}

void applyTo(fleet_config &Config, const change &Change) {
  std::visit(change_applier{Config}, Change);
  ++Config.Revision.Value;
}

} // namespace bulrush::control

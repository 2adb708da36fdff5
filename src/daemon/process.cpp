#include "daemon/process.h"

#include "settings/json_reader.h"
#include "telemetry/log.h"
#include "telemetry/process_guard.h"

#include <boost/asio/io_context.hpp>
#include <caf/all.hpp>
#include <chrono>
#include <random>

namespace bulrush::daemon {

namespace {

std::vector<wire::peer> allPeers(const deployment &Deployment) {
  std::vector<wire::peer> Out;
  for (const vm &Vm : Deployment.Vms) {
    Out.push_back({{Vm.Id, wire::role::entry}, Vm.Peers});
    if (Vm.HasDisk)
      Out.push_back({{Vm.Id, wire::role::control}, Vm.Control});
  }
  return Out;
}

} // namespace

incarnation_id newIncarnation() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Now).count();
  return {static_cast<std::uint64_t>(Micros)};
}

std::uint64_t drawSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

expected<std::optional<wire::link_keys>> loadKeys(const std::string &Path) {
  constexpr std::size_t KeyCharacters = 40;
  if (Path.empty())
    return std::optional<wire::link_keys>{};
  const auto Text = settings::readFile(Path);
  if (!Text)
    return fail(Text.error());
  wire::link_keys Keys;
  const auto Read =
      settings::readObject(*Text, Path, [&](settings::object_reader &Reader) {
        Keys.Public = Reader.text("public");
        Keys.Secret = Reader.text("secret");
      });
  if (!Read)
    return fail(Read.error());
  if (Keys.Public.size() != KeyCharacters ||
      Keys.Secret.size() != KeyCharacters)
    return fail(Path + ": /public, /secret: allowed are Z85 texts of 40 "
                       "characters, as `bulrushctl keys new` writes them");
  return std::optional(Keys);
}

void startProcessLog(const std::string &Process, const std::string &Level) {
  telemetry::setProcessName(Process);
  telemetry::log_settings Settings;
  Settings.Process = Process;
  if (Level == "debug")
    Settings.MinSeverity = telemetry::severity::debug;
  if (Level == "warning")
    Settings.MinSeverity = telemetry::severity::warning;
  if (Level == "error")
    Settings.MinSeverity = telemetry::severity::error;
  telemetry::startLog(Settings);
}

wire::link_settings linkSettings(const deployment &Deployment,
                                 wire::process_id Self, const address &Bind,
                                 incarnation_id Incarnation,
                                 std::optional<wire::link_keys> Keys) {
  wire::link_settings Out;
  Out.Self = Self;
  Out.Incarnation = Incarnation;
  Out.Bind = Bind;
  Out.Keys = std::move(Keys);
  for (wire::peer &Peer : allPeers(Deployment))
    if (Peer.Id != Self)
      Out.Peers.push_back(std::move(Peer));
  return Out;
}

std::vector<wire::process_id> allProcesses(const deployment &Deployment) {
  std::vector<wire::process_id> Out;
  for (const wire::peer &Peer : allPeers(Deployment))
    Out.push_back(Peer.Id);
  return Out;
}

http::response handleTestCut(wire::link_set &Links,
                             const deployment &Deployment, bool IsTesting,
                             const std::string &Body) {
  http::response Response;
  if (!IsTesting) {
    Response.Status = 404;
    return Response;
  }
  const bool IsCut = Body.find("true") != std::string::npos;
  Links.cut(IsCut ? allProcesses(Deployment) : std::vector<wire::process_id>{});
  return Response;
}

caf::actor_system_config &configureScheduler(caf::actor_system_config &Config) {
  Config.set("scheduler.policy", caf::atom("sharing"));
  Config.set("scheduler.max-threads", 1);
  return Config;
}

void runAsActor(boost::asio::io_context &Io) {
  caf::actor_system_config Config;
  caf::actor_system System(configureScheduler(Config));
  caf::scoped_actor Self(System);
  const auto Runner =
      System.spawn<caf::detached>([&Io](caf::blocking_actor *) { Io.run(); });
  Self->wait_for(Runner);
}

} // namespace bulrush::daemon

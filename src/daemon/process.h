/// Startup helpers shared by the daemons.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/world.h"
#include "http/message.h"
#include "wire/link.h"

#include <optional>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace caf {
class actor_system_config;
} // namespace caf

namespace bulrush::daemon {

/// Returns the wall clock time in microseconds, which is larger at each start
/// of a process on the same machine.
incarnation_id newIncarnation();

/// Returns a random seed from the operating system.
std::uint64_t drawSeed();

/// Reads the CURVE key pair of the system from a JSON file:
/// `{"public": "...", "secret": "..."}`. Returns no keys for an empty path.
expected<std::optional<wire::link_keys>> loadKeys(const std::string &Path);

/// Starts logging for this process. `Level` is the minimum severity: debug,
/// info, warning or error.
void startProcessLog(const std::string &Process, const std::string &Level);

/// Returns the settings of the links from one process to all others of its
/// deployment.
wire::link_settings linkSettings(const deployment &Deployment,
                                 wire::process_id Self, const address &Bind,
                                 incarnation_id Incarnation,
                                 std::optional<wire::link_keys> Keys);

/// Returns all processes of a deployment. Failure tests cut all links with it.
std::vector<wire::process_id> allProcesses(const deployment &Deployment);

/// Handles /test/cut: cuts all links if `Body` contains `true`, else restores
/// them. Responds with 404 if `IsTesting` is false.
http::response handleTestCut(wire::link_set &Links,
                             const deployment &Deployment, bool IsTesting,
                             const std::string &Body);

/// Sets the CAF scheduler to one thread that sleeps when idle. The busy actors
/// are detached and have threads of their own.
caf::actor_system_config &configureScheduler(caf::actor_system_config &Config);

/// Runs `Io` in a detached actor until it is stopped; blocks until then. The
/// handlers of `Io` run on the actor's thread only.
void runAsActor(boost::asio::io_context &Io);

} // namespace bulrush::daemon

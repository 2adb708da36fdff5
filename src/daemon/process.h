/// What every program of the system does at its start.
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

/// A number that is larger at each start of a process on this machine.
incarnation_id drawIncarnation();

/// A seed from the operating system.
std::uint64_t drawSeed();

/// Reads the CURVE keys of the system: `{"public": "...", "secret": "..."}`.
/// An empty path gives no keys.
expected<std::optional<wire::link_keys>> loadKeys(const std::string &Path);

/// Starts the log of this process. `Level` is debug, info, warning or error.
void startProcessLog(const std::string &Process, const std::string &Level);

/// The links of one process to all others of its deployment.
wire::link_settings linkSettings(const deployment &Deployment,
                                 wire::process_id Self, const address &Bind,
                                 incarnation_id Incarnation,
                                 std::optional<wire::link_keys> Keys);

/// Every process of a deployment, for cutting all links in failure tests.
std::vector<wire::process_id> allProcesses(const deployment &Deployment);

/// Answers POST /test/cut: cuts all links when `Body` holds `true`, else mends
/// them. Without `IsTesting` the path does not exist.
http::response cutForTest(wire::link_set &Links, const deployment &Deployment,
                          bool IsTesting, const std::string &Body);

/// One scheduler thread that sleeps when idle; the busy actors have threads of
/// their own.
caf::actor_system_config &quietConfig(caf::actor_system_config &Config);

/// Runs `Io` in an actor with a thread of its own until it is stopped. What the
/// actor owns is touched by that thread only.
void runAsActor(boost::asio::io_context &Io);

} // namespace bulrush::daemon

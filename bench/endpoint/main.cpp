/// bulrush-endpoint: simulates all endpoints of a deployment.
#include "admin.h"
#include "settings/deployment.h"
#include "settings/json_reader.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

using namespace bulrush;

namespace {

struct options {
  std::string Deployment;
  std::string Behaviour;
  std::string Admin;
  std::uint64_t Seed = 1;
  std::size_t Threads = 2;
  bool CheckOnly = false;
};

options parseOptions(int Count, char **Arguments) {
  TCLAP::CmdLine Line(
      "Simulates the endpoints of a deployment, each on its own port. Their "
      "behaviour is seeded and can be changed through the admin API.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> Deployment(
      "d", "deployment", "deployment file (JSON)", true, "", "file", Line);
  TCLAP::ValueArg<std::string> Behaviour("b", "behaviour",
                                         "JSON object: pool name to behaviour",
                                         false, "", "file", Line);
  TCLAP::ValueArg<std::string> Admin("a", "admin", "address of the admin API",
                                     false, "127.0.0.1:25000", "host:port",
                                     Line);
  TCLAP::ValueArg<std::uint64_t> Seed("s", "seed", "random seed", false, 1,
                                      "number", Line);
  TCLAP::ValueArg<std::size_t> Threads("t", "threads", "threads", false, 2,
                                       "number", Line);
  TCLAP::SwitchArg Check("", "check", "only check the settings", Line);
  Line.parse(Count, Arguments);
  return {Deployment.getValue(), Behaviour.getValue(), Admin.getValue(),
          Seed.getValue(),       Threads.getValue(),   Check.getValue()};
}

/// Reads the behaviour file: JSON patches by pool name.
expected<std::map<std::string, std::string>>
readBehaviours(const std::string &Path) {
  std::map<std::string, std::string> Out;
  if (Path.empty())
    return Out;
  const auto Text = settings::readFile(Path);
  if (!Text)
    return fail(Text.error());
  const auto Parsed = nlohmann::json::parse(*Text, nullptr, false, true);
  if (!Parsed.is_object())
    return fail(Path + ": a JSON object is expected");
  for (const auto &[Pool, Patch] : Parsed.items())
    Out[Pool] = Patch.dump();
  return Out;
}

expected<address> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  const int Port = Colon == Text.npos ? 0 : std::atoi(Text.c_str() + Colon + 1);
  if (Port <= 0 || Port > 65'535)
    return fail(Text + ": an address such as 127.0.0.1:25000 is expected");
  return address{Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

expected<void> run(const options &Options) {
  auto Deployment = settings::loadDeployment(Options.Deployment);
  if (!Deployment)
    return fail(Deployment.error());
  const auto Behaviours = readBehaviours(Options.Behaviour);
  if (!Behaviours)
    return fail(Behaviours.error());
  const auto Admin = parseAddress(Options.Admin);
  if (!Admin)
    return fail(Admin.error());
  if (Options.CheckOnly)
    return {};

  auto Fleet = bench::fleet::start(
      {std::move(*Deployment), *Behaviours, Options.Seed, Options.Threads});
  if (!Fleet)
    return fail(Fleet.error());
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  bench::admin_api Api(**Fleet);
  http::server_settings Settings;
  Settings.Listen = *Admin;
  http::server Server(Io, Settings, Api, Metrics);
  if (auto Started = Server.start(); !Started)
    return Started;
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&](auto, auto) { Io.stop(); });
  Io.run();
  return {};
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Done = run(parseOptions(Count, Arguments));
  if (Done)
    return 0;
  std::cerr << "bulrush-endpoint: " << Done.error().Message << '\n';
  return 1;
}

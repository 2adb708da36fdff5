/// bulrush-load: open-loop load generator that verifies every answer.
#include "report.h"
#include "settings/json_reader.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace bulrush;

namespace {

constexpr int ExitWrongAnswers = 3; ///< exit code if an answer failed its check

struct options {
  std::string Settings;
  std::string Result;
  std::string Plot;
  bool CheckOnly = false;
};

options parseOptions(int Count, char **Arguments) {
  TCLAP::CmdLine Line(
      "Sends searches and commands at seeded random times to the entry daemons "
      "that are ready and verifies every answer. Exit code 3: an answer failed "
      "its check.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> Settings("s", "settings", "load settings (JSON)",
                                        true, "", "file", Line);
  TCLAP::ValueArg<std::string> Result(
      "r", "result", "output file of the JSON report", true, "", "file", Line);
  TCLAP::ValueArg<std::string> Plot("p", "plot", "output file of the SVG plot",
                                    false, "", "file", Line);
  TCLAP::SwitchArg Check("", "check", "only check the settings", Line);
  Line.parse(Count, Arguments);
  return {Settings.getValue(), Result.getValue(), Plot.getValue(),
          Check.getValue()};
}

/// Returns the body of `GET /admin/snapshots`, or an empty string if the
/// stand-in endpoints do not answer.
std::string fetchSnapshots(const address &Admin) {
  boost::asio::io_context Io;
  http::client_settings Settings;
  Settings.Server = Admin;
  Settings.ExchangeTimeout = millis{2000};
  http::client Client(Io, Settings);
  std::string Body;
  Client.send({"GET", "/admin/snapshots", {}, {}},
              [&](http::exchange_result Result) {
                Body = std::move(Result.Response.Body);
                Io.stop();
              });
  Io.run();
  return Body;
}

void writeFile(const std::string &Path, const std::string &Content) {
  if (!Path.empty())
    std::ofstream(Path) << Content;
}

expected<int> run(const options &Options) {
  const auto Text = settings::readFile(Options.Settings);
  if (!Text)
    return fail(Text.error());
  const auto Settings = bench::parseLoadSettings(*Text, Options.Settings);
  if (!Settings)
    return fail(Settings.error());
  if (Options.CheckOnly)
    return 0;
  boost::asio::io_context Io;
  bench::generator Generator(
      Io, *Settings,
      {[] { std::cout << "measuring" << std::endl; }, [&Io] { Io.stop(); }});
  Generator.start();
  Io.run();
  std::cout << "finished" << std::endl;
  bench::load_results &Results = Generator.results();
  const std::uint64_t WrongTotals =
      Results.ReportedTotals.countMismatches(fetchSnapshots(Settings->Admin));
  writeFile(Options.Result, bench::reportJson(*Settings, Results, WrongTotals));
  writeFile(Options.Plot, bench::plotSvg(*Settings, Results));
  return Results.Faults.empty() && WrongTotals == 0 ? 0 : ExitWrongAnswers;
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Done = run(parseOptions(Count, Arguments));
  if (Done)
    return *Done;
  std::cerr << "bulrush-load: " << Done.error().Message << '\n';
  return 1;
}

/// bulrushctl: the command-line tool for operators.
#include "command_line.h"
#include "ctl/commands.h"
#include "settings/deployment.h"
#include "settings/json_reader.h"

#include <iostream>

using namespace bulrush;

namespace {

struct arguments {
  std::string DeploymentFile;
  std::string TokenFile;
  ctl::ctl_options Options;
};

arguments parse(int Count, char **Arguments) {
  TCLAP::CmdLine Line(
      "Plans, confirms and lists operators' changes to bulrushtray. A "
      "change is planned first and takes effect when it is confirmed. "
      "Commands: " +
          ctl::commandHelp() +
          ". Exit codes: 0 done, 1 no response or outcome unknown, 2 refused.",
      ' ', programs::Version);
  TCLAP::ValueArg<std::string> Deployment("d", "deployment", "deployment file",
                                          false, "deployment.json", "file",
                                          Line);
  TCLAP::ValueArg<std::string> Operator("o", "operator", "name of the operator",
                                        false, "operator", "name", Line);
  TCLAP::ValueArg<std::string> Token("t", "token-file",
                                     "file with the operator's token", false,
                                     "", "file", Line);
  TCLAP::ValueArg<std::string> CommandId(
      "c", "command-id", "id of the change; a resend must use the same id",
      false, "", "id", Line);
  TCLAP::SwitchArg Json("j", "json", "print JSON", Line);
  TCLAP::SwitchArg Yes("y", "yes",
                       "confirm the plan and wait until it is in force", Line);
  TCLAP::UnlabeledMultiArg<std::string> Words(
      "command", "command and its arguments", true, "word", Line);
  Line.parse(Count, Arguments);
  arguments Out;
  Out.DeploymentFile = Deployment.getValue();
  Out.TokenFile = Token.getValue();
  Out.Options.Operator = Operator.getValue();
  Out.Options.CommandId = CommandId.getValue();
  Out.Options.Json = Json.getValue();
  Out.Options.Yes = Yes.getValue();
  Out.Options.Words = Words.getValue();
  return Out;
}

expected<ctl::ctl_status> run(arguments Arguments) {
  const bool NeedsDeployment = Arguments.Options.Words[0] != "keys" &&
                               Arguments.Options.Words[0] != "token";
  if (NeedsDeployment) {
    auto Deployment = settings::loadDeployment(Arguments.DeploymentFile);
    if (!Deployment)
      return fail(Deployment.error());
    Arguments.Options.Deployment = std::move(*Deployment);
  }
  if (!Arguments.TokenFile.empty()) {
    const auto Token = settings::readFile(Arguments.TokenFile);
    if (!Token)
      return fail(Token.error());
    Arguments.Options.Token =
        Token->substr(0, Token->find_last_not_of(" \r\n") + 1);
  }
  return ctl::runCommand(Arguments.Options);
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Status = run(parse(Count, Arguments));
  if (Status)
    return static_cast<int>(*Status);
  std::cerr << "bulrushctl: " << Status.error().Message << '\n';
  return static_cast<int>(ctl::ctl_status::failed);
}

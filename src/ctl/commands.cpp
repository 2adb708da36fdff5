#include "ctl/commands.h"

#include "ctl/ask.h"
#include "ctl/table.h"
#include "settings/json_reader.h"
#include "wire/link.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sys/stat.h>
#include <thread>

namespace bulrush::ctl {

namespace {

using nlohmann::json;

constexpr auto PollInterval = std::chrono::milliseconds(100);
constexpr auto InForceTimeout = std::chrono::seconds(10);
constexpr int MaxConfirmAttempts = 10;

std::vector<address> controlAddresses(const deployment &Deployment) {
  std::vector<address> Out;
  for (const vm &Vm : Deployment.Vms)
    if (Vm.HasDisk)
      Out.push_back(Vm.Operators);
  return Out;
}

json parseBody(const http::response &Response) {
  json Out = json::parse(Response.Body, nullptr, false);
  return Out.is_discarded() ? json{{"message", Response.Body}} : Out;
}

void print(const ctl_options &Options, const json &Json) {
  if (Options.Json)
    std::cout << Json.dump() << '\n';
  else
    std::cout << toTable(Json);
}

expected<ctl_status> printResource(const ctl_options &Options,
                                   const std::string &Target) {
  failover_client Client(controlAddresses(Options.Deployment), Options.Token);
  const auto Response = Client.get(Target);
  if (!Response)
    return fail(Response.error());
  print(Options, parseBody(*Response));
  return Response->Status == 200 ? ctl_status::done : ctl_status::refused;
}

/// Polls the status until `Revision` is in force on every daemon, for at most
/// `InForceTimeout`. Prints the last status, which lists the daemons that are
/// behind.
expected<ctl_status> waitInForce(const ctl_options &Options,
                                 failover_client &Client,
                                 std::uint64_t Revision) {
  const auto Deadline = std::chrono::steady_clock::now() + InForceTimeout;
  json LastStatus;
  while (std::chrono::steady_clock::now() < Deadline) {
    const auto Response = Client.get("/v1/status");
    if (Response && Response->Status == 200) {
      LastStatus = parseBody(*Response);
      if (LastStatus.value("revision", std::uint64_t{0}) >= Revision &&
          LastStatus.value("state", std::string()) == "in_force") {
        print(Options, LastStatus);
        return ctl_status::done;
      }
    }
    std::this_thread::sleep_for(PollInterval);
  }
  print(Options, LastStatus);
  return fail("accepted, but not yet in force everywhere");
}

/// Sends the confirm request until it is accepted or refused, at most
/// `MaxConfirmAttempts` times, then waits until an accepted change is in force.
/// `unknown` and `not_run` are retried. A resend is safe: it gets the result of
/// the first attempt.
expected<ctl_status> confirm(const ctl_options &Options,
                             failover_client &Client,
                             const std::string &Command,
                             const std::string &PlanId) {
  const json Body = {
      {"operator", Options.Operator}, {"command", Command}, {"plan", PlanId}};
  json Answer;
  for (int Attempt = 0; Attempt < MaxConfirmAttempts; ++Attempt) {
    const auto Response =
        Client.post("/v1/confirm", Body.dump(), resend::allowed);
    if (Response)
      Answer = parseBody(*Response);
    const std::string Result = Answer.value("result", std::string("unknown"));
    if (Result == "accepted") {
      print(Options, Answer);
      return waitInForce(Options, Client,
                         Answer.value("revision", std::uint64_t{0}));
    }
    if (Result != "unknown" && Result != "not_run") {
      print(Options, Answer);
      return ctl_status::refused;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  print(Options, Answer);
  return fail("the outcome is unknown; run `bulrushctl confirm` again");
}

std::string newCommandId() {
  std::random_device Source;
  return std::to_string(Source()) + '-' + std::to_string(Source());
}

expected<ctl_status> change(const ctl_options &Options, const json &Change) {
  failover_client Client(controlAddresses(Options.Deployment), Options.Token);
  const std::string Command =
      Options.CommandId.empty() ? newCommandId() : Options.CommandId;
  const json Body = {
      {"operator", Options.Operator}, {"command", Command}, {"change", Change}};
  const auto Response = Client.post("/v1/plan", Body.dump(), resend::allowed);
  if (!Response)
    return fail(Response.error());
  json Plan = parseBody(*Response);
  Plan["command"] = Command;
  print(Options, Plan);
  if (Response->Status != 200)
    return ctl_status::refused;
  if (Options.Yes)
    return confirm(Options, Client, Command, Plan.value("plan", std::string()));
  if (!Options.Json)
    std::cout << "nothing has changed; to confirm: bulrushctl ... "
                 "--command-id "
              << Command << " confirm PLAN\n";
  return ctl_status::done;
}

/// Plans each intent of a file in turn, and confirms it if `Options.Yes` is
/// set. Stops at the first that fails.
expected<ctl_status> putIntents(const ctl_options &Options,
                                const std::string &File) {
  const auto Text = settings::readFile(File);
  if (!Text)
    return fail(Text.error());
  const json Json = json::parse(*Text, nullptr, false, true);
  if (!Json.is_object() || !Json.contains("intents"))
    return fail(File + ": /intents: found nothing, allowed is an array");
  for (const json &Intent : Json["intents"]) {
    const auto Status = change(Options, {{"putIntent", Intent}});
    if (!Status || *Status != ctl_status::done)
      return Status;
  }
  return ctl_status::done;
}

expected<ctl_status> explain(const ctl_options &Options,
                             const std::string &Kind, const std::string &Name) {
  std::string Target = "/v1/explain/";
  Target += Kind;
  Target += '/';
  Target += Name;
  json Queries = json::array();
  for (const vm &Vm : Options.Deployment.Vms) {
    failover_client Client({Vm.Callers}, {});
    const auto Response = Client.get(Target);
    if (!Response || Response->Status != 200)
      continue;
    const json Answer = parseBody(*Response);
    for (json Query : Answer.value("queries", json::array())) {
      Query["vm"] = Vm.Id.Value;
      Queries.push_back(std::move(Query));
    }
  }
  if (Queries.empty()) {
    std::cout << "no entry daemon has a record of " << Kind << ' ' << Name
              << '\n';
    return ctl_status::refused;
  }
  if (Options.Json)
    std::cout << Queries.dump() << '\n';
  else
    for (const json &Query : Queries)
      std::cout << toTable(Query) << '\n';
  return ctl_status::done;
}

expected<ctl_status> writeSecret(const std::string &File,
                                 const std::string &Text) {
  const ::mode_t OwnerOnlyMask = 077;
  const ::mode_t PreviousMask = ::umask(OwnerOnlyMask);
  std::ofstream Out(File, std::ios::trunc);
  ::umask(PreviousMask);
  Out << Text << '\n';
  Out.close();
  if (!Out)
    return fail(File + ": cannot be written");
  std::cout << File << " written\n";
  return ctl_status::done;
}

expected<ctl_status> newKeys(const std::string &File) {
  const wire::link_keys Keys = wire::newLinkKeys();
  return writeSecret(
      File, json{{"public", Keys.Public}, {"secret", Keys.Secret}}.dump());
}

expected<ctl_status> newToken(const std::string &File) {
  constexpr int Words = 8;
  std::random_device Source;
  std::string Token;
  for (int I = 0; I < Words; ++I)
    Token += std::to_string(Source());
  return writeSecret(File, Token);
}

expected<json> numericChange(const char *Key, const std::string &Number) {
  const json Parsed = json::parse(Number, nullptr, false);
  if (!Parsed.is_number_unsigned())
    return fail(std::string(Key) + ": found " + Number +
                ", allowed is a number");
  return json{{Key, Parsed}};
}

} // namespace

std::string commandHelp() {
  return "status | intents | zones | endpoints | history | "
         "intent put FILE | intent drop NAME | zone out NAME | zone in NAME | "
         "endpoint leave NUMBER | endpoint return NUMBER | voter add VM | "
         "voter remove VM | confirm PLAN | "
         "explain query ID | explain endpoint NUMBER | explain zone NAME | "
         "keys new FILE | token new FILE";
}

expected<ctl_status> runCommand(const ctl_options &Options) {
  const std::vector<std::string> &Words = Options.Words;
  const auto Matches = [&](std::initializer_list<const char *> Expected,
                           std::size_t Count) {
    return Words.size() == Count &&
           std::equal(Expected.begin(), Expected.end(), Words.begin());
  };
  for (const char *Name :
       {"status", "intents", "zones", "endpoints", "history"})
    if (Matches({Name}, 1))
      return printResource(Options, std::string("/v1/") + Name);
  if (Matches({"intent", "put"}, 3))
    return putIntents(Options, Words[2]);
  if (Matches({"intent", "drop"}, 3))
    return change(Options, {{"dropIntent", Words[2]}});
  if (Matches({"zone", "out"}, 3))
    return change(Options, {{"zoneOut", Words[2]}});
  if (Matches({"zone", "in"}, 3))
    return change(Options, {{"zoneIn", Words[2]}});
  for (const bool IsLeaving : {true, false}) {
    if (!Matches({"endpoint", IsLeaving ? "leave" : "return"}, 3))
      continue;
    const auto Change =
        numericChange(IsLeaving ? "endpointLeave" : "endpointReturn", Words[2]);
    return Change ? change(Options, *Change) : fail(Change.error());
  }
  for (const bool IsNew : {true, false}) {
    if (!Matches({"voter", IsNew ? "add" : "remove"}, 3))
      continue;
    const auto Change =
        numericChange(IsNew ? "addVoter" : "removeVoter", Words[2]);
    return Change ? change(Options, *Change) : fail(Change.error());
  }
  if (Matches({"confirm"}, 2)) {
    failover_client Client(controlAddresses(Options.Deployment), Options.Token);
    return confirm(Options, Client, Options.CommandId, Words[1]);
  }
  if (Matches({"explain"}, 3))
    return explain(Options, Words[1], Words[2]);
  if (Matches({"keys", "new"}, 3))
    return newKeys(Words[2]);
  if (Matches({"token", "new"}, 3))
    return newToken(Words[2]);
  return fail("unknown command; allowed is one of: " + commandHelp());
}

} // namespace bulrush::ctl

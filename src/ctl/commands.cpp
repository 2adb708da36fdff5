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

constexpr auto PollEvery = std::chrono::milliseconds(100);
constexpr auto InForceBound = std::chrono::seconds(10);
constexpr int ConfirmAttempts = 10;

std::vector<address> controlAddresses(const deployment &Deployment) {
  std::vector<address> Out;
  for (const vm &Vm : Deployment.Vms)
    if (Vm.HasDisk)
      Out.push_back(Vm.Operators);
  return Out;
}

json parsed(const http::response &Response) {
  json Out = json::parse(Response.Body, nullptr, false);
  return Out.is_discarded() ? json{{"message", Response.Body}} : Out;
}

void print(const ctl_options &Options, const json &Json) {
  if (Options.Json)
    std::cout << Json.dump() << '\n';
  else
    std::cout << toTable(Json);
}

expected<ctl_status> show(const ctl_options &Options,
                          const std::string &Target) {
  asker Ask(controlAddresses(Options.Deployment), Options.Token);
  const auto Response = Ask.get(Target);
  if (!Response)
    return fail(Response.error());
  print(Options, parsed(*Response));
  return Response->Status == 200 ? ctl_status::done : ctl_status::refused;
}

/// Waits until every daemon acts on `Revision`, and prints who is behind.
expected<ctl_status> waitInForce(const ctl_options &Options, asker &Ask,
                                 std::uint64_t Revision) {
  const auto GiveUpAt = std::chrono::steady_clock::now() + InForceBound;
  json Last;
  while (std::chrono::steady_clock::now() < GiveUpAt) {
    const auto Response = Ask.get("/v1/status");
    if (Response && Response->Status == 200) {
      Last = parsed(*Response);
      if (Last.value("revision", std::uint64_t{0}) >= Revision &&
          Last.value("state", std::string()) == "in_force") {
        print(Options, Last);
        return ctl_status::done;
      }
    }
    std::this_thread::sleep_for(PollEvery);
  }
  print(Options, Last);
  return fail("accepted, but not yet in force everywhere");
}

/// Sends a confirm until its outcome is known; a resend gets the first answer.
expected<ctl_status> confirm(const ctl_options &Options, asker &Ask,
                             const std::string &Command,
                             const std::string &PlanId) {
  const json Body = {
      {"operator", Options.Operator}, {"command", Command}, {"plan", PlanId}};
  json Answer;
  for (int Attempt = 0; Attempt < ConfirmAttempts; ++Attempt) {
    const auto Response = Ask.post("/v1/confirm", Body.dump(), resend::allowed);
    if (Response)
      Answer = parsed(*Response);
    const std::string Result = Answer.value("result", std::string("unknown"));
    if (Result == "accepted") {
      print(Options, Answer);
      return waitInForce(Options, Ask,
                         Answer.value("revision", std::uint64_t{0}));
    }
    if (Result != "unknown" && Result != "not_run") {
      print(Options, Answer);
      return ctl_status::refused;
    }
    std::this_thread::sleep_for(PollEvery);
  }
  print(Options, Answer);
  return fail("the outcome is not known; run `bulrushctl confirm` again");
}

std::string newCommandId() {
  std::random_device Source;
  return std::to_string(Source()) + '-' + std::to_string(Source());
}

expected<ctl_status> change(const ctl_options &Options, const json &Change) {
  asker Ask(controlAddresses(Options.Deployment), Options.Token);
  const std::string Command =
      Options.CommandId.empty() ? newCommandId() : Options.CommandId;
  const json Body = {
      {"operator", Options.Operator}, {"command", Command}, {"change", Change}};
  const auto Response = Ask.post("/v1/plan", Body.dump(), resend::allowed);
  if (!Response)
    return fail(Response.error());
  json Plan = parsed(*Response);
  Plan["command"] = Command;
  print(Options, Plan);
  if (Response->Status != 200)
    return ctl_status::refused;
  if (Options.Yes)
    return confirm(Options, Ask, Command, Plan.value("plan", std::string()));
  if (!Options.Json)
    std::cout << "nothing has changed; to confirm: bulrushctl ... "
                 "--command-id "
              << Command << " confirm PLAN\n";
  return ctl_status::done;
}

/// Plans and confirms each intent of a file.
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
  json Found = json::array();
  for (const vm &Vm : Options.Deployment.Vms) {
    asker Ask({Vm.Callers}, {});
    const auto Response = Ask.get(Target);
    if (!Response || Response->Status != 200)
      continue;
    const json Answer = parsed(*Response);
    for (json Query : Answer.value("queries", json::array())) {
      Query["vm"] = Vm.Id.Value;
      Found.push_back(std::move(Query));
    }
  }
  if (Found.empty()) {
    std::cout << "no entry daemon remembers " << Kind << ' ' << Name << '\n';
    return ctl_status::refused;
  }
  if (Options.Json)
    std::cout << Found.dump() << '\n';
  else
    for (const json &Query : Found)
      std::cout << toTable(Query) << '\n';
  return ctl_status::done;
}

expected<ctl_status> writeSecret(const std::string &File,
                                 const std::string &Text) {
  const ::mode_t OwnerOnly = 077;
  const ::mode_t Before = ::umask(OwnerOnly);
  std::ofstream Out(File, std::ios::trunc);
  ::umask(Before);
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

expected<json> numberedChange(const char *Key, const std::string &Number) {
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
  const auto Is = [&](std::initializer_list<const char *> Given,
                      std::size_t Count) {
    return Words.size() == Count &&
           std::equal(Given.begin(), Given.end(), Words.begin());
  };
  for (const char *Name :
       {"status", "intents", "zones", "endpoints", "history"})
    if (Is({Name}, 1))
      return show(Options, std::string("/v1/") + Name);
  if (Is({"intent", "put"}, 3))
    return putIntents(Options, Words[2]);
  if (Is({"intent", "drop"}, 3))
    return change(Options, {{"dropIntent", Words[2]}});
  if (Is({"zone", "out"}, 3))
    return change(Options, {{"zoneOut", Words[2]}});
  if (Is({"zone", "in"}, 3))
    return change(Options, {{"zoneIn", Words[2]}});
  for (const bool IsLeaving : {true, false}) {
    if (!Is({"endpoint", IsLeaving ? "leave" : "return"}, 3))
      continue;
    const auto Change = numberedChange(
        IsLeaving ? "endpointLeave" : "endpointReturn", Words[2]);
    return Change ? change(Options, *Change) : fail(Change.error());
  }
  for (const bool IsNew : {true, false}) {
    if (!Is({"voter", IsNew ? "add" : "remove"}, 3))
      continue;
    const auto Change =
        numberedChange(IsNew ? "addVoter" : "removeVoter", Words[2]);
    return Change ? change(Options, *Change) : fail(Change.error());
  }
  if (Is({"confirm"}, 2)) {
    asker Ask(controlAddresses(Options.Deployment), Options.Token);
    return confirm(Options, Ask, Options.CommandId, Words[1]);
  }
  if (Is({"explain"}, 3))
    return explain(Options, Words[1], Words[2]);
  if (Is({"keys", "new"}, 3))
    return newKeys(Words[2]);
  if (Is({"token", "new"}, 3))
    return newToken(Words[2]);
  return fail("unknown command; allowed is one of: " + commandHelp());
}

} // namespace bulrush::ctl

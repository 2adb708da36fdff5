#include "fleet/operator_handler.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::fleet;

namespace {

/// Takes the target of a request as the service and its body as the version,
/// of a catalog if the method is PUT.
struct plain_codec final : operator_codec {
  operator_call decode(const http::request &Request) const override {
    operator_call Out;
    Out.Service = {Request.Target};
    Out.Kind = operator_call::kind::read_rollout;
    if (Request.Method == "GET")
      return Out;
    if (Request.Method == "PUT") {
      Out.Kind = operator_call::kind::command;
      Out.Command = control::put_catalog{std::stoull(Request.Body),
                                         control::shareBytes(Request.Body)};
      return Out;
    }
    Out.Kind = operator_call::kind::order_rollout;
    if (Request.Body.empty())
      Out.Error = "no version";
    Out.Command =
        control::start_rollout{Out.Service, {Request.Body}, {12'000}, {}, {}};
    return Out;
  }
  http::response encode(const control::rollout &Rollout) const override {
    http::response Out;
    Out.Status = 200;
    Out.Body = Rollout.Target.Value;
    return Out;
  }
  http::response
  encodeConflict(const relay::software_version &Running) const override {
    http::response Out;
    Out.Status = 409;
    Out.Body = Running.Value;
    return Out;
  }
  http::response encodeUnchanged(std::uint64_t HeldVersion) const override {
    http::response Out;
    Out.Status = 200;
    Out.Body = "still " + std::to_string(HeldVersion);
    return Out;
  }
};

struct handler_fixture final : operator_handler_host {
  plain_codec Codec;
  telemetry::metrics Metrics;
  operator_handler Handler{Codec, *this, Metrics};
  std::vector<call_id> Commands;
  std::vector<call_id> Reads;
  std::optional<address> Leader;
  control::registry_state State;
  std::uint64_t Stated = 0; ///< version in the text of the state's catalog
  std::set<relay::service_name> Services{{"a"}};
  std::optional<http::response> Answer;

  void submitCommand(call_id Call, control::registry_command) override {
    Commands.push_back(Call);
  }
  void submitRead(call_id Call) override { Reads.push_back(Call); }
  std::optional<address> leader() const override { return Leader; }
  const control::registry_state &state() const override { return State; }
  bool isUnknown(const relay::service_name &Service) const override {
    return !Services.count(Service);
  }
  bool isBetweenVersions(std::uint64_t Version) const override {
    const auto [Low, High] = std::minmax(State.CatalogVersion, Stated);
    return Version > Low && Version <= High;
  }
  std::uint64_t statedVersion() const override { return Stated; }

  void send(const std::string &Method, const std::string &Target,
            const std::string &Body = {}) {
    Answer.reset();
    Handler.handle({Method, Target, {}, Body},
                   [this](http::response Response) { Answer = Response; });
  }
};

} // namespace

TEST_CASE("an order that is not accepted gets 503 with a retry time",
          "[operators][rollout]") {
  // Guards against operators that give up, or that resend without a pause.
  for (const call_end End :
       {call_end::unclear, call_end::unsupported, call_end::not_leading}) {
    handler_fixture Fixture;
    Fixture.send("POST", "a", "v2");
    REQUIRE(Fixture.Commands.size() == 1);
    CHECK(!Fixture.Answer);
    Fixture.Handler.complete({Fixture.Commands[0], End});
    REQUIRE(Fixture.Answer);
    CHECK(Fixture.Answer->Status == 503);
    CHECK(http::findHeader(Fixture.Answer->Headers, "Retry-After"));
  }
}

TEST_CASE("an order is answered by its result", "[operators][rollout]") {
  // Guards against a conflict that does not name the running target, and
  // against an order that ends at a voter that does not lead.
  handler_fixture Fixture;
  Fixture.send("POST", "a", "v2");
  Fixture.Handler.complete({Fixture.Commands.back(), call_end::done});
  CHECK(Fixture.Answer->Status == 200);
  Fixture.send("POST", "a", "v3");
  Fixture.Handler.complete(
      {Fixture.Commands.back(), call_end::conflict, {"v2"}});
  CHECK(Fixture.Answer->Status == 409);
  CHECK(Fixture.Answer->Body == "v2");
  Fixture.Leader = address{"10.0.0.9", 8106};
  Fixture.send("POST", "a", "v2");
  Fixture.Handler.complete({Fixture.Commands.back(), call_end::not_leading});
  CHECK(Fixture.Answer->Status == 307);
  CHECK(*http::findHeader(Fixture.Answer->Headers, "Location") ==
        "http://10.0.0.9:8106a");
  Fixture.send("POST", "a", "");
  CHECK(Fixture.Answer->Status == 400);
}

TEST_CASE("an unknown service is refused only by a confirmed leader",
          "[operators][rollout]") {
  // Guards against a final refusal by a leader that was replaced and has an old
  // catalog.
  handler_fixture Fixture;
  Fixture.send("POST", "b", "v2");
  CHECK(Fixture.Commands.empty());
  REQUIRE(Fixture.Reads.size() == 1);
  Fixture.Handler.complete({Fixture.Reads[0], call_end::unclear});
  CHECK(Fixture.Answer->Status == 503);
  CHECK(http::findHeader(Fixture.Answer->Headers, "Retry-After"));
  Fixture.send("POST", "b", "v2");
  Fixture.Handler.complete({Fixture.Reads[1], call_end::done});
  CHECK(Fixture.Answer->Status == 404);
  CHECK(Fixture.Commands.empty());
  // The catalog has changed by the time the read is confirmed.
  Fixture.send("POST", "b", "v2");
  Fixture.Services.insert({"b"});
  Fixture.Handler.complete({Fixture.Reads[2], call_end::done});
  CHECK(!Fixture.Answer);
  REQUIRE(Fixture.Commands == std::vector<call_id>{Fixture.Reads[2]});
  Fixture.Handler.complete({Fixture.Commands[0], call_end::done});
  CHECK(Fixture.Answer->Status == 200);
}

TEST_CASE("a rollout is read from the confirmed state",
          "[operators][rollout]") {
  // Guards against an answer from a state that a majority has not confirmed.
  handler_fixture Fixture;
  Fixture.send("GET", "a");
  REQUIRE(Fixture.Reads.size() == 1);
  CHECK(!Fixture.Answer);
  Fixture.Handler.complete({Fixture.Reads[0], call_end::done});
  CHECK(Fixture.Answer->Status == 404);
  Fixture.State.Rollouts[{"a"}].Target = {"v2"};
  Fixture.send("GET", "a");
  Fixture.Handler.complete({Fixture.Reads[1], call_end::done});
  CHECK(Fixture.Answer->Status == 200);
  CHECK(Fixture.Answer->Body == "v2");
  Fixture.send("GET", "a");
  Fixture.Handler.complete({Fixture.Reads[2], call_end::unclear});
  CHECK(Fixture.Answer->Status == 503);
}

TEST_CASE(
    "a catalog that changes nothing is acknowledged with the version held",
    "[operators]") {
  // Guards against an operator who cannot tell that a configuration has no
  // effect.
  handler_fixture Fixture;
  Fixture.State.CatalogVersion = Fixture.Stated = 9;
  Fixture.State.Catalog = control::shareBytes("9");
  const auto Put = [&](const std::string &Version, bool HasNewRevision) {
    Fixture.send("PUT", "/", Version);
    Fixture.Handler.complete(
        {Fixture.Commands.back(), call_end::done, {}, HasNewRevision});
    REQUIRE(Fixture.Answer);
    CHECK(Fixture.Answer->Status == 200);
    return Fixture.Answer->Body;
  };
  CHECK(Put("10", true) == "{}");
  CHECK(Put("8", false) == "still 9");
  CHECK(Put("9", false) == "still 9");
  Fixture.State.Catalog = control::shareBytes("other");
  CHECK(Put("9", false) == "still 9");
  for (const char *Cause : {"older", "resent", "other_content"})
    CHECK(Fixture.Metrics.count("catalogs_unchanged", Cause) == 1);
}

TEST_CASE("a version that an older build has rounded up hides no later one",
          "[operators]") {
  // Guards against a configuration that is acknowledged and never in force,
  // because the log holds a higher version than the operator's last one.
  handler_fixture Fixture;
  Fixture.Stated = 17;
  Fixture.State.CatalogVersion = 32;
  Fixture.State.Catalog = control::shareBytes("17");
  Fixture.send("PUT", "/", "20");
  CHECK(Fixture.Commands.empty());
  REQUIRE(Fixture.Reads.size() == 1);
  Fixture.Handler.complete({Fixture.Reads[0], call_end::done});
  CHECK(Fixture.Answer->Status == 409);
  CHECK(Fixture.Answer->Body ==
        R"({"error":"config: /version: found 20, wanted more than 32, to )"
        R"(which an earlier build has rounded version 17"})");
  // A leader that is not confirmed refuses nothing.
  Fixture.send("PUT", "/", "20");
  Fixture.Handler.complete({Fixture.Reads[1], call_end::unclear});
  CHECK(Fixture.Answer->Status == 503);
  for (const char *Sent : {"17", "33"}) {
    Fixture.send("PUT", "/", Sent);
    CHECK(!Fixture.Answer);
  }
  CHECK(Fixture.Commands.size() == 2);
  CHECK(Fixture.Reads.size() == 2);
}

TEST_CASE("a version that an older build has rounded down stays in force",
          "[operators]") {
  // Guards against other content under the version held, which the log would
  // take for a newer one.
  handler_fixture Fixture;
  Fixture.Stated = 17;
  Fixture.State.CatalogVersion = 16;
  Fixture.State.Catalog = control::shareBytes("17");
  Fixture.send("PUT", "/", "17");
  CHECK(Fixture.Commands.empty());
  REQUIRE(Fixture.Reads.size() == 1);
  Fixture.Handler.complete({Fixture.Reads[0], call_end::done});
  CHECK(Fixture.Answer->Status == 200);
  CHECK(Fixture.Answer->Body == "still 17");
  Fixture.send("PUT", "/", "18");
  CHECK(Fixture.Commands.size() == 1);
}

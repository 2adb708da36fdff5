#include "fleet/peer_links.h"
#include "fleet/voter_links.h"
#include "relay_fixture.h"
#include "wire/fleet_codec.h"

#include <boost/asio.hpp>
#include <memory>
#include <random>

using namespace bulrush;
using namespace bulrush::test;

namespace {

namespace asio = boost::asio;

constexpr std::uint16_t Port = 19'084;
constexpr vm_id RequesterVm{0x7f000001};
constexpr vm_id ResponderVm{0x7f000002};
constexpr std::size_t ShardCount = 64;

/// One run of a relay process: the relay and its links to other relays.
class relay_process : public relay_fixture {
public:
  relay_process(vm_id Self, std::uint64_t Seed)
      : relay_fixture(settingsOf(Self), Seed),
        Links(
            Io, Self, Port, [this](const relay_event &Event) { run(Event); },
            [](const std::string &, const error &) { FAIL("refused"); }) {
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < ShardCount; ++I) {
      Names.push_back("s" + std::to_string(100 + I));
      addService(Names.back(), 1);
    }
    addRoute("/all/", Names).Gather.MinCoverage = 0.01;
    step(peers_changed{{{RequesterVm, "near"}, {ResponderVm, "near"}}});
    install(2);
    perform();
  }

  expected<void> listen() { return Links.listen(); }
  void runFor(std::chrono::milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
  void run(const relay_event &Event) {
    step(Event);
    perform();
  }
  query_id query(const std::string &RequestId) {
    auto Content = std::make_shared<opaque_request>();
    Content->RequestId = RequestId;
    Content->Method = "GET";
    Content->Host = "shop.example";
    Content->Target = "/all/x";
    const query_id Id{++NextRequest};
    run(request_arrived{Id, Content, {800}, {}});
    return Id;
  }
  /// Endpoints reply to all attempts of the request, with its id as the
  /// signature.
  void replyTo(const std::string &RequestId) {
    std::vector<std::uint64_t> Attempts;
    for (const auto &[Number, Each] : Sent)
      if (Each.Content->RequestId == RequestId)
        Attempts.push_back(Number);
    for (const std::uint64_t Attempt : Attempts) {
      endpoint_reply Reply;
      Reply.Status = 200;
      Reply.Body = "0123456789abcdef";
      Reply.Signature = RequestId;
      end(Attempt, attempt_end::replied, Reply);
      perform();
    }
  }
  std::size_t attemptsOf(const std::string &RequestId) const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [&](const auto &Each) {
          return Each.second.Content->RequestId == RequestId;
        }));
  }

private:
  static relay_settings settingsOf(vm_id Self) {
    relay_settings Out = relay_fixture::settings();
    Out.Self = Self;
    return Out;
  }

  /// Passes the messages for other relays to the links.
  void perform() {
    for (; Performed < Actions.size(); ++Performed) {
      const relay_action Each = Actions[Performed];
      if (const auto *Request = std::get_if<send_shard_request>(&Each))
        Links.send(*Request);
      else if (const auto *Reply = std::get_if<send_shard_reply>(&Each))
        Links.send(*Reply);
      else if (const auto *Cancel = std::get_if<cancel_shard_request>(&Each))
        Links.send(*Cancel);
    }
  }

  asio::io_context Io;
  fleet::peer_links Links;
  std::size_t Performed = 0;
};

/// A relay that sends shard requests to another one, and can be killed and
/// started again. All runs draw the same ids.
struct two_relays {
  two_relays() {
    REQUIRE(Responder.listen());
    start();
  }

  void start() { Requester = std::make_unique<relay_process>(RequesterVm, 7); }
  void kill() { Requester.reset(); }
  /// Runs the event loops until the condition holds, at most 2 s.
  template <class Condition> void runUntil(Condition IsMet) {
    for (int I = 0; I < 200 && !IsMet(); ++I)
      runFor(std::chrono::milliseconds(10));
    REQUIRE(IsMet());
  }
  void runFor(std::chrono::milliseconds Time) {
    for (const auto End = std::chrono::steady_clock::now() + Time;
         std::chrono::steady_clock::now() < End;) {
      Responder.runFor(std::chrono::milliseconds(1));
      if (Requester)
        Requester->runFor(std::chrono::milliseconds(1));
    }
  }

  relay_process Responder{ResponderVm, 8};
  std::unique_ptr<relay_process> Requester;
};

} // namespace

// Guards against answers with parts of a request that the relay took before it
// was killed and started again.
TEST_CASE("a late reply to a killed relay does not reach its next run",
          "[peer_links]") {
  two_relays Relays;
  Relays.Requester->query("before");
  Relays.runUntil([&] { return Relays.Responder.attemptsOf("before") > 0; });
  Relays.kill();
  Relays.start();
  const query_id Query = Relays.Requester->query("after");
  Relays.runUntil([&] { return Relays.Responder.attemptsOf("after") > 0; });
  Relays.Responder.replyTo("before");
  Relays.runFor(std::chrono::milliseconds(50));
  Relays.Responder.replyTo("after");
  Relays.runFor(std::chrono::milliseconds(50));
  Relays.Requester->replyTo("after");
  REQUIRE(Relays.Requester->answerTo(Query));
  const send_answer &Answer = *Relays.Requester->answerTo(Query);
  CHECK(Answer.Status == 200);
  CHECK(Answer.Signatures.size() == ShardCount);
  for (const std::string &Each : Answer.Signatures)
    CHECK(Each == "after");
}

// Guards against the same in other orders: several restarts in a row, with
// replies before, between and after them.
TEST_CASE("no order of restarts and replies mixes the parts of two requests",
          "[peer_links]") {
  std::size_t Answers = 0;
  for (std::uint32_t Seed = 1; Seed <= 40; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    two_relays Relays;
    std::vector<std::string> Requests;
    const auto CheckAnswers = [&] {
      for (const relay_action &Each : Relays.Requester->Actions)
        if (const auto *Answer = std::get_if<send_answer>(&Each)) {
          ++Answers;
          for (const std::string &Signature : Answer->Signatures)
            REQUIRE(Signature == Answer->Content->RequestId);
        }
    };
    for (int Step = 0; Step < 25; ++Step) {
      switch (Random() % 5) {
      case 0:
      case 1:
        Requests.push_back("request " + std::to_string(Requests.size()));
        Relays.Requester->query(Requests.back());
        break;
      case 2:
        CheckAnswers();
        Relays.kill();
        Relays.start();
        break;
      default:
        if (Requests.empty())
          break;
        const std::string &Replied = Requests[Random() % Requests.size()];
        Relays.Responder.replyTo(Replied);
        Relays.Requester->replyTo(Replied);
        break;
      }
      if (Random() % 2 == 0)
        Relays.runFor(std::chrono::milliseconds(3));
    }
    for (const std::string &Each : Requests) {
      Relays.Responder.replyTo(Each);
      Relays.Requester->replyTo(Each);
      Relays.runFor(std::chrono::milliseconds(3));
    }
    CheckAnswers();
  }
  CHECK(Answers > 40);
}

// Guards against links that close each other because their connections come
// from one address: the work for one is dropped when the other connects.
TEST_CASE("the work of relays that share an address is kept", "[peer_links]") {
  constexpr std::size_t Count = 2;
  relay_process Responder{ResponderVm, 8};
  REQUIRE(Responder.listen());
  std::vector<std::unique_ptr<relay_process>> Requesters;
  for (std::size_t I = 0; I < Count; ++I)
    Requesters.push_back(std::make_unique<relay_process>(RequesterVm, 10 + I));
  for (std::size_t I = 0; I < Count; ++I) {
    Requesters[I]->query("request " + std::to_string(I));
    for (int Round = 0; Round < 5; ++Round) {
      Responder.runFor(std::chrono::milliseconds(1));
      for (const auto &Each : Requesters)
        Each->runFor(std::chrono::milliseconds(1));
    }
  }
  for (std::size_t I = 0; I < Count; ++I) {
    INFO("requester " << I);
    const std::string Id = "request " + std::to_string(I);
    CHECK(Responder.attemptsOf(Id) > 0);
    CHECK(Requesters[I]->attemptsOf(Id) + Responder.attemptsOf(Id) ==
          ShardCount);
  }
}

// Guards against a relay that ends by itself (SIGSEGV) on a shard request that
// names no shard.
TEST_CASE("a shard request without shards is refused", "[peer_links]") {
  asio::io_context Io;
  int Arrived = 0;
  int Refused = 0;
  fleet::peer_links Links(
      Io, ResponderVm, Port,
      [&](const relay_event &Event) {
        Arrived += std::holds_alternative<shard_request_arrived>(Event) ? 1 : 0;
      },
      [&](const std::string &, const error &) { ++Refused; });
  REQUIRE(Links.listen());
  shard_request Request;
  Request.Content = std::make_shared<opaque_request>();
  const auto Link =
      std::make_shared<fleet::frame_link>(asio::ip::tcp::socket(Io));
  Link->connect(
      fleet::tcpEndpoint(ResponderVm, Port), [](const std::string &) {}, [] {});
  for (const bool IsQuery : {true, false}) {
    Request.IsQuery = IsQuery;
    Link->send(wire::encode(Request));
  }
  Request.Shards = {{"s100"}};
  Link->send(wire::encode(Request));
  Io.run_for(std::chrono::milliseconds(200));
  CHECK(Refused == 2);
  CHECK(Arrived == 1);
}

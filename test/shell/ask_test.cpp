#include "ctl/ask.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace bulrush;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr char FirstHost[] = "127.64.0.3";
constexpr char SecondHost[] = "127.64.0.4";
constexpr std::uint16_t Port = 19'090;

/// Answers each request with `Response` and closes its connection.
class one_answer_server {
public:
  one_answer_server(const char *Host, std::string Response)
      : Response(std::move(Response)),
        Acceptor(Io, {asio::ip::make_address(Host), Port}) {
    accept();
    Thread = std::thread([this] { Io.run(); });
  }
  ~one_answer_server() {
    Io.stop();
    Thread.join();
  }
  int requests() const { return Requests; }

private:
  void accept() {
    Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      std::array<char, 4096> Request{};
      boost::system::error_code Ignored;
      Socket.read_some(asio::buffer(Request), Ignored);
      ++Requests;
      asio::write(Socket, asio::buffer(Response), Ignored);
      Socket.close(Ignored);
      accept();
    });
  }

  std::string Response;
  std::atomic<int> Requests = 0;
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

constexpr char Sound[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against a command that is carried out twice, as the response to it
// could not be read and counted as none.
TEST_CASE(
    "a request with a malformed response is sent again only where allowed",
    "[ctl]") {
  const std::string Malformed =
      GENERATE(as<std::string>{}, "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n",
               "HTTP/1.1 2000 x\r\n\r\n", "nonsense\r\n\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", "");
  CAPTURE(Malformed);
  const one_answer_server First(FirstHost, Malformed);
  const one_answer_server Second(SecondHost, Sound);
  ctl::failover_client Client({{FirstHost, Port}, {SecondHost, Port}}, "");
  const auto Refused = Client.post("/x", "{}", ctl::resend::forbidden);
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().Message.find("after the request was sent") !=
        std::string::npos);
  CHECK(Second.requests() == 0);
  const auto Answered = Client.post("/x", "{}", ctl::resend::allowed);
  REQUIRE(Answered);
  CHECK(Answered->Body == "ok");
}

// Guards against a server that is down and keeps the others from being asked.
TEST_CASE("a server that nothing could be sent to is skipped", "[ctl]") {
  const one_answer_server Second(SecondHost, Sound);
  ctl::failover_client Client({{FirstHost, Port}, {SecondHost, Port}}, "");
  const auto Answered = Client.post("/x", "{}", ctl::resend::forbidden);
  REQUIRE(Answered);
  CHECK(Answered->Body == "ok");
}

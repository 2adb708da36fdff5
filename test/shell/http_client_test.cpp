// Servers that do not keep to HTTP, as the client meets them.
#include "http/client.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace bulrush;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr char Host[] = "127.64.0.1";
constexpr std::uint16_t Port = 19'088;
constexpr std::size_t MaxBodyBytes = std::size_t{64} << 10;
/// What the kernel buffers at most for both sides of a connection (tcp_wmem,
/// tcp_rmem), and what the client reads of a body of this limit.
constexpr std::size_t MaxAcceptedBytes = std::size_t{12} << 20;
/// A server stops here, so that a client without limits ends its test, too.
constexpr std::size_t MaxSentBytes = std::size_t{24} << 20;

/// Answers the first request of each connection with `Head`, followed by
/// `Filler` again and again, one each `Pause`, until the client closes the
/// connection or `MaxSentBytes` were sent on it.
class endless_server {
public:
  endless_server(asio::io_context &Io, std::string Head, std::string Filler,
                 std::chrono::milliseconds Pause = {})
      : Io(Io), Head(std::move(Head)), Filler(std::move(Filler)), Pause(Pause),
        Acceptor(Io, {asio::ip::make_address(Host), Port}) {
    accept();
  }

  std::size_t SentBytes = 0;
  std::size_t Requests = 0;
  std::size_t Open = 0;

private:
  struct peer {
    explicit peer(tcp::socket Given)
        : Socket(std::move(Given)), Timer(Socket.get_executor()) {}
    tcp::socket Socket;
    asio::steady_timer Timer;
    std::array<char, 4096> Received{};
  };
  using peer_ptr = std::shared_ptr<peer>;

  void accept() {
    Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      ++Open;
      auto Peer = std::make_shared<peer>(std::move(Socket));
      Peer->Socket.async_read_some(asio::buffer(Peer->Received),
                                   [this, Peer](auto ReadError, auto) {
                                     ++Requests;
                                     if (ReadError)
                                       --Open;
                                     else
                                       write(Peer, Head);
                                   });
      accept();
    });
  }
  void write(const peer_ptr &Peer, const std::string &Bytes) {
    asio::async_write(Peer->Socket, asio::buffer(Bytes),
                      [this, Peer](auto Error, std::size_t Count) {
                        SentBytes += Count;
                        if (Error || SentBytes >= MaxSentBytes)
                          --Open;
                        else
                          writeLater(Peer);
                      });
  }
  void writeLater(const peer_ptr &Peer) {
    Peer->Timer.expires_after(Pause);
    Peer->Timer.async_wait([this, Peer](auto) { write(Peer, Filler); });
  }

  asio::io_context &Io;
  std::string Head;
  std::string Filler;
  std::chrono::milliseconds Pause;
  tcp::acceptor Acceptor;
};

http::client_settings settings() {
  http::client_settings Out;
  Out.Server = {Host, Port};
  Out.MaxConnections = 1;
  Out.MaxBodyBytes = MaxBodyBytes;
  return Out;
}

std::string repeated(const std::string &Text) {
  std::string Out;
  while (Out.size() < 16'384)
    Out += Text;
  return Out;
}

/// Runs one exchange; it must end long before its timeout.
http::exchange_result
exchange(http::client &Client, asio::io_context &Io,
         std::chrono::milliseconds Limit = std::chrono::milliseconds(10'000)) {
  std::optional<http::exchange_result> Out;
  Client.send({"GET", "/", {}, {}},
              [&](http::exchange_result Result) { Out = std::move(Result); });
  Io.restart();
  const auto Slice = std::chrono::milliseconds(20);
  for (auto Waited = Slice; Waited < Limit && !Out; Waited += Slice)
    Io.run_for(Slice);
  CHECK(Out);
  return Out.value_or(http::exchange_result());
}

} // namespace

// Guards against a server that takes all memory of the client with one response
// whose framing never ends.
TEST_CASE("a response that never ends is given up at a limit of bytes",
          "[http]") {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct endless {
    const char *Name;
    std::string Head;
    std::string Filler;
  };
  const auto Case = GENERATE_COPY(
      endless{"trailer lines", Chunked + "1\r\nx\r\n0\r\n", "X: 1\r\n"},
      endless{"a trailer line", Chunked + "1\r\nx\r\n0\r\nX: ", "x"},
      endless{"a chunk extension", Chunked + "1;", "x"},
      endless{"extension of the last chunk", Chunked + "0;", "x"},
      endless{"zeros as chunk size", Chunked, "0"},
      endless{"chunks", Chunked, "1\r\nx\r\n"},
      endless{"a header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
      endless{"header lines", "HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
      endless{"a reason", "HTTP/1.1 200 ", "x"},
      endless{"zeros as status", "HTTP/1.1 ", "0"},
      endless{"empty lines", "\r\n", "\r\n"},
      endless{"interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
              "HTTP/1.1 100 Continue\r\n\r\n"},
      endless{"a body without length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      endless{"a body of a length that cannot be stored",
              "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", "x"},
      endless{"a body longer than the limit",
              "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\nx", "x"});
  CAPTURE(Case.Name);
  asio::io_context Io;
  endless_server Server(Io, Case.Head, repeated(Case.Filler));
  http::client Client(Io, settings());
  const http::exchange_result Result = exchange(Client, Io);
  CHECK(Result.Status != http::exchange_status::done);
  Io.run_for(std::chrono::milliseconds(50));
  CHECK(Server.SentBytes < MaxAcceptedBytes);
  CHECK(Server.Open == 0);
}

// Guards against a limit that refuses what a well-behaved server sends beside
// the body.
TEST_CASE("chunk extensions and trailers of ordinary size are accepted",
          "[http]") {
  asio::io_context Io;
  const std::string Response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;name=" +
      std::string(4000, 'x') +
      "\r\nabc\r\n0\r\nTrailer: " + std::string(4000, 'y') + "\r\n\r\n";
  endless_server Server(Io, Response, "", std::chrono::milliseconds(1000));
  http::client Client(Io, settings());
  const http::exchange_result Result = exchange(Client, Io);
  CHECK(Result.Status == http::exchange_status::done);
  CHECK(Result.Response.Body == "abc");
}

// Guards against a body within the limit that is refused, as its pieces do not
// fit the limit on what is read at once.
TEST_CASE("a body of the size limit is received whole", "[http]") {
  asio::io_context Io;
  const std::string Body(MaxBodyBytes, 'x');
  endless_server Server(Io,
                        "HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(Body.size()) + "\r\n\r\n" + Body,
                        "", std::chrono::milliseconds(1000));
  http::client Client(Io, settings());
  CHECK(exchange(Client, Io).Response.Body == Body);
}

// Guards against a limit that holds only if the body arrives after the head.
TEST_CASE("a body beyond the limit is refused however it arrives", "[http]") {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(MaxBodyBytes + 1) +
      "\r\n\r\n";
  const std::size_t Count =
      GENERATE(std::size_t{0}, std::size_t{1}, MaxBodyBytes + 1);
  asio::io_context Io;
  endless_server Server(Io, Head + std::string(Count, 'x'), "",
                        std::chrono::minutes(10));
  http::client Client(Io, settings());
  const http::exchange_result Result = exchange(Client, Io);
  CHECK(Result.Status == http::exchange_status::malformed_response);
  CHECK(Result.Response.Body.empty());
}

// Guards against a limit that takes the length of a body that is not sent.
TEST_CASE("the length of a body that is not sent is not limited", "[http]") {
  const std::string Status = GENERATE("204 No Content", "304 Not Modified");
  asio::io_context Io;
  endless_server Server(Io,
                        "HTTP/1.1 " + Status + "\r\nContent-Length: " +
                            std::to_string(MaxBodyBytes + 1) + "\r\n\r\n",
                        "", std::chrono::minutes(10));
  http::client Client(Io, settings());
  CHECK(exchange(Client, Io).Status == http::exchange_status::done);
}

// Guards against a response that arrives in small pieces for ever and holds its
// connection.
TEST_CASE("a response that arrives slowly and never ends is given up",
          "[http]") {
  const std::string Head =
      GENERATE("HTTP/1.1 200 OK\r\nX: ",
               "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ");
  asio::io_context Io;
  endless_server Server(Io, Head, "x", std::chrono::milliseconds(10));
  http::client_settings Settings = settings();
  Settings.ExchangeTimeout = {200};
  Settings.SweepInterval = {50};
  http::client Client(Io, Settings);
  CHECK(exchange(Client, Io).Status == http::exchange_status::lost);
  Io.run_for(std::chrono::milliseconds(50));
  CHECK(Server.Open == 0);
}

namespace {

/// Answers with `Response` and then keeps the connection open.
http::exchange_result exchangeWith(const std::string &Response) {
  asio::io_context Io;
  endless_server Server(Io, Response, "", std::chrono::minutes(10));
  http::client Client(Io, settings());
  http::exchange_result Out =
      exchange(Client, Io, std::chrono::milliseconds(2'000));
  CHECK(Server.Requests == 1);
  return Out;
}

} // namespace

// Guards against a status that is none and is handed on as an answer, or that
// keeps the client waiting for another one.
TEST_CASE("a response whose status is none of a response is malformed",
          "[http]") {
  const std::string Line = GENERATE(
      as<std::string>{}, "HTTP/1.1 000 x", "HTTP/1.1 001 x", "HTTP/1.1 099 x",
      "HTTP/1.1 101 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 00 x",
      "HTTP/1.1 0200 x", "HTTP/1.1 2000 x", "HTTP/1.1 +20 x", "HTTP/1.1 -200 x",
      "HTTP/1.1 2x0 x", "HTTP/1.1 200", "HTTP/1.1  200 x", "HTTP/2.0 200 x",
      "HTTP/0.9 200 x", "ICY 200 x");
  const std::string Rest =
      GENERATE(as<std::string>{}, "\r\nContent-Length: 0\r\n\r\n",
               "\r\nContent-Length: 2\r\n\r\nab", "\r\n\r\n",
               "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
  CAPTURE(Line, Rest);
  CHECK(exchangeWith(Line + Rest).Status ==
        http::exchange_status::malformed_response);
}

// Guards against a check of the status that refuses one which is in use.
TEST_CASE("every status of a final response is received", "[http]") {
  const std::string Line =
      GENERATE(as<std::string>{}, "HTTP/1.1 200 ", "HTTP/1.0 200 OK",
               "HTTP/1.1 204 x", "HTTP/1.1 299 x", "HTTP/1.1 304 x",
               "HTTP/1.1 404 x", "HTTP/1.1 500 x", "HTTP/1.1 599 x",
               "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x");
  CAPTURE(Line);
  CHECK(exchangeWith(Line + "\r\nContent-Length: 0\r\n\r\n").Status ==
        http::exchange_status::done);
}

// Guards against interim responses that keep the client waiting.
TEST_CASE("a fourth interim response ends the exchange", "[http]") {
  std::string Response;
  for (int I = 0; I < 4; ++I)
    Response += "HTTP/1.1 100 Continue\r\n\r\n";
  CHECK(exchangeWith(Response).Status == http::exchange_status::lost);
}

#include "fleet/endpoint_links.h"
#include "http/client.h"
#include "http/idle_limit.h"
#include "http/server.h"
#include "telemetry/metrics.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <sys/resource.h>
#include <thread>

using namespace bulrush;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::uint16_t Port = 19'081;

/// Defers the response to "/later" until "/release" is requested; responds to
/// other requests with their target.
class deferring_handler final : public http::handler {
public:
  void handle(http::request Request, http::responder Respond) override {
    http::response Response;
    Response.Body = Request.Target;
    if (Request.Target == "/throw")
      throw std::invalid_argument("refused by the handler");
    Response.Status = Status;
    if (Request.Target == "/later")
      HeldResponse = [Respond, Response] { Respond(Response); };
    else
      Respond(Response);
    if (Request.Target == "/release" && HeldResponse)
      HeldResponse();
  }
  std::function<void()> HeldResponse;
  unsigned Status = 200;
};

struct fixture {
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  deferring_handler Handler;
  http::server Server;

  explicit fixture(http::server_settings Settings = {})
      : Server(Io, withListenAddress(Settings), Handler, Metrics) {
    REQUIRE(Server.start());
  }

  static http::server_settings
  withListenAddress(http::server_settings Settings) {
    Settings.Listen = {"127.0.0.1", Port};
    return Settings;
  }

  /// Writes raw bytes and reads until the server closes the connection or at
  /// least `StopAfter` bytes were received.
  std::string exchangeRaw(const std::string &Bytes, std::size_t StopAfter) {
    tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::asio::write(Socket, boost::asio::buffer(Bytes));
    std::string Received;
    std::array<char, 4096> Chunk{};
    std::function<void()> Read = [&] {
      Socket.async_read_some(boost::asio::buffer(Chunk),
                             [&](auto Error, std::size_t Count) {
                               Received.append(Chunk.data(), Count);
                               if (Error || Received.size() >= StopAfter)
                                 Io.stop();
                               else
                                 Read();
                             });
    };
    Read();
    Io.restart();
    Io.run_for(std::chrono::seconds(5));
    return Received;
  }
};

} // namespace

TEST_CASE("pipelined responses are sent in the order of the requests") {
  fixture F;
  const std::string Received = F.exchangeRaw(
      "GET /later HTTP/1.1\r\nHost: x\r\n\r\n"
      "GET /release HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
      100'000);
  REQUIRE(Received.find("/later") != std::string::npos);
  CHECK(Received.find("/later") < Received.find("/release"));
}

TEST_CASE("an oversized body is rejected with 413") {
  http::server_settings Settings;
  Settings.MaxBodyBytes = 10;
  fixture F(Settings);
  const std::string Received = F.exchangeRaw(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n01234567890",
      100'000);
  CHECK(Received.find("413") != std::string::npos);
  CHECK(F.Metrics.count("http_refused", "413") == 1);
}

TEST_CASE("a malformed request is rejected with 400") {
  fixture F;
  CHECK(F.exchangeRaw("nonsense\r\n\r\n", 100'000).find("400") !=
        std::string::npos);
}

TEST_CASE("connections beyond the limit are closed and counted") {
  http::server_settings Settings;
  Settings.MaxConnections = 0;
  fixture F(Settings);
  CHECK(F.exchangeRaw("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1).empty());
  CHECK(F.Metrics.count("http_refused", "too_many_connections") == 1);
}

TEST_CASE("a client respects MaxConnections and receives every response") {
  fixture F;
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  Settings.MaxConnections = 2;
  http::client Client(F.Io, Settings);
  int Done = 0;
  for (int I = 0; I < 20; ++I)
    Client.send({"GET", "/" + std::to_string(I), {}, {}},
                [&, I](http::exchange_result Result) {
                  CHECK(Result.Status == http::exchange_status::done);
                  CHECK(Result.Response.Body == "/" + std::to_string(I));
                  CHECK(Client.connectionCount() <= 2);
                  if (++Done == 20)
                    F.Io.stop();
                });
  F.Io.run_for(std::chrono::seconds(5));
  CHECK(Done == 20);
}

TEST_CASE(
    "FailWhenClosed reports a connection that the server closed while idle") {
  using namespace std::chrono_literals;
  http::server_settings Settings;
  Settings.IdleTimeout = {50};
  fixture F(Settings);
  http::client_settings ClientSettings;
  ClientSettings.Server = {"127.0.0.1", Port};
  ClientSettings.FailWhenClosed = true;
  http::client Client(F.Io, ClientSettings);
  std::vector<http::exchange_status> Statuses;
  const auto Send = [&](std::chrono::milliseconds RunTime) {
    http::request Request;
    Request.Method = "GET";
    Request.Target = "/now";
    Client.send(std::move(Request), [&](const http::exchange_result &Result) {
      Statuses.push_back(Result.Status);
    });
    F.Io.restart();
    F.Io.run_for(RunTime);
  };
  Send(2500ms); // the server closes the idle connection meanwhile
  Send(100ms);
  Send(100ms);
  const std::vector<http::exchange_status> Expected = {
      http::exchange_status::done, http::exchange_status::connect_failed,
      http::exchange_status::done};
  CHECK(Statuses == Expected);
}

TEST_CASE("FailWhenClosed reports a connection closed right after a response") {
  using namespace std::chrono_literals;
  boost::asio::io_context Io;
  tcp::acceptor Acceptor(Io,
                         {boost::asio::ip::make_address("127.0.0.1"), Port});
  std::thread Server([&] {
    tcp::socket Socket = Acceptor.accept();
    std::string Request(4096, ' ');
    Socket.read_some(boost::asio::buffer(Request));
    const std::string Response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(Socket, boost::asio::buffer(Response));
  });
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  Settings.FailWhenClosed = true;
  http::client Client(Io, Settings);
  std::vector<http::exchange_status> Statuses;
  for (int I = 0; I < 2; ++I) {
    Client.send({"GET", "/", {}, {}}, [&](const http::exchange_result &Result) {
      Statuses.push_back(Result.Status);
    });
    Io.restart();
    Io.run_for(50ms);
  }
  Server.join();
  const std::vector<http::exchange_status> Expected = {
      http::exchange_status::done, http::exchange_status::connect_failed};
  CHECK(Statuses == Expected);
}

TEST_CASE("a refused connection is reported as connect_refused") {
  boost::asio::io_context Io;
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", 1};
  http::client Client(Io, Settings);
  http::exchange_status Status = http::exchange_status::done;
  Client.send({"GET", "/", {}, {}}, [&](http::exchange_result Result) {
    Status = Result.Status;
    Io.stop();
  });
  Io.run_for(std::chrono::seconds(5));
  CHECK(Status == http::exchange_status::connect_refused);
}

namespace {

/// Accepts one connection and answers each request with the next of a list of
/// byte strings.
class scripted_server {
public:
  explicit scripted_server(std::vector<std::string> Given)
      : Responses(std::move(Given)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), Port}),
        Thread([this] { run(); }) {}
  ~scripted_server() { Thread.join(); }

private:
  void run() {
    tcp::socket Socket = Acceptor.accept();
    std::string Request(4096, ' ');
    boost::system::error_code Error;
    for (const std::string &Response : Responses) {
      Socket.read_some(boost::asio::buffer(Request), Error);
      boost::asio::write(Socket, boost::asio::buffer(Response), Error);
    }
    Socket.read_some(boost::asio::buffer(Request), Error);
  }

  std::vector<std::string> Responses;
  boost::asio::io_context Io;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

std::string responseWith(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nEcho: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

http::exchange_result exchange(http::client &Client,
                               boost::asio::io_context &Io,
                               const std::string &Id) {
  http::exchange_result Out;
  Client.send({"GET", "/", {{"Echo", Id}}, {}},
              [&](http::exchange_result Result) {
                Out = std::move(Result);
                Io.stop();
              });
  Io.restart();
  Io.run_for(std::chrono::seconds(5));
  return Out;
}

http::client_settings echoSettings() {
  http::client_settings Out;
  Out.Server = {"127.0.0.1", Port};
  Out.EchoHeader = "Echo";
  return Out;
}

} // namespace

TEST_CASE("a connection with surplus bytes after a response is not reused") {
  scripted_server Server({responseWith("1", "one") + responseWith("1", "late"),
                          responseWith("2", "two")});
  boost::asio::io_context Io;
  http::client Client(Io, echoSettings());
  CHECK(exchange(Client, Io, "1").Response.Body == "one");
  // The bytes after a complete response belong to no request, so the connection
  // is closed. A second request would fail: the server accepts only one.
  CHECK(Client.connectionCount() == 0);
  Client.closeIdle();
}

TEST_CASE("a late response is recognized by its echoed id") {
  scripted_server Server(
      {responseWith("1", "one"),
       responseWith("1", "again") + responseWith("2", "two")});
  boost::asio::io_context Io;
  http::client Client(Io, echoSettings());
  CHECK(exchange(Client, Io, "1").Response.Body == "one");
  CHECK(exchange(Client, Io, "2").Response.Body == "two");
}

namespace {

/// Refuses each id at its first request and serves it afterwards. Sends a copy
/// of a refusal where the next response on its connection is expected.
class copying_server {
public:
  copying_server()
      : Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), Port}) {
    accept();
  }

  /// Sends the request and waits for its end, at most 2 s.
  http::exchange_result send(http::client &Client, const std::string &Id) {
    std::optional<http::exchange_result> Out;
    Client.send({"GET", "/", {{"Echo", Id}}, {}},
                [&](http::exchange_result Result) { Out = std::move(Result); });
    for (int I = 0; I < 400 && !Out; ++I) {
      Io.restart();
      Io.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(Out);
    return *Out;
  }
  void stopAccepting() { Acceptor.close(); }

  boost::asio::io_context Io;
  int Connections = 0;
  std::map<std::string, int> Runs; ///< by id

private:
  struct client_connection {
    explicit client_connection(tcp::socket Given) : Socket(std::move(Given)) {}
    tcp::socket Socket;
    std::string Bytes = std::string(4096, ' ');
    std::string HeldCopy;
  };

  void accept() {
    Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      ++Connections;
      read(std::make_shared<client_connection>(std::move(Socket)));
      accept();
    });
  }
  void read(const std::shared_ptr<client_connection> &From) {
    From->Socket.async_read_some(boost::asio::buffer(From->Bytes),
                                 [this, From](auto Error, auto Size) {
                                   if (Error)
                                     return;
                                   answer(*From, From->Bytes.substr(0, Size));
                                   read(From);
                                 });
  }
  void answer(client_connection &To, const std::string &Request) {
    const std::size_t At = Request.find("Echo: ") + 6;
    const std::string Id = Request.substr(At, Request.find('\r', At) - At);
    std::string Out = std::exchange(To.HeldCopy, {});
    if (Refused.insert(Id).second) {
      To.HeldCopy =
          "HTTP/1.1 503 X\r\nEcho: " + Id + "\r\nContent-Length: 0\r\n\r\n";
      Out += To.HeldCopy;
    } else {
      ++Runs[Id];
      Out += responseWith(Id, "ran " + Id);
    }
    boost::asio::write(To.Socket, boost::asio::buffer(Out));
  }

  tcp::acceptor Acceptor;
  std::set<std::string> Refused;
};

} // namespace

// Guards against a request that runs and is reported as not run: a copy of a
// refusal has the id of the request that is sent again.
TEST_CASE("a copy of a refusal is not taken for the response to the same "
          "request") {
  copying_server Server;
  http::client Client(Server.Io, echoSettings());
  CHECK(Server.send(Client, "1").Response.Status == 503);
  CHECK(Server.send(Client, "1").Response.Body == "ran 1");
  CHECK(Server.Runs["1"] == 1);
  Client.closeIdle();
}

// Guards against new connections for requests that cannot be mixed up.
TEST_CASE("a connection with a refusal carries other requests") {
  copying_server Server;
  http::client Client(Server.Io, echoSettings());
  for (const char *Id : {"1", "2", "3"})
    CHECK(Server.send(Client, Id).Response.Status == 503);
  CHECK(Server.Connections == 1);
  for (const char *Id : {"1", "2", "3"})
    CHECK(Server.send(Client, Id).Response.Body == "ran " + std::string(Id));
  CHECK(Server.Connections == 2);
  Client.closeIdle();
}

// Guards against a request that waits until its deadline since the only
// connection may not carry it.
TEST_CASE("a full pool replaces a connection for a repeated request") {
  copying_server Server;
  http::client_settings Settings = echoSettings();
  Settings.MaxConnections = 1;
  http::client Client(Server.Io, Settings);
  for (const char *Id : {"1", "2"}) {
    CHECK(Server.send(Client, Id).Response.Status == 503);
    CHECK(Server.send(Client, Id).Response.Body == "ran " + std::string(Id));
    CHECK(Client.connectionCount() == 1);
  }
  Client.closeIdle();
}

// Guards against a request that never gets a connection since others keep
// those busy that may not carry it.
TEST_CASE("a repeated request gets a connection beside a steady load") {
  copying_server Server;
  http::client_settings Settings = echoSettings();
  Settings.MaxConnections = 1;
  http::client Client(Server.Io, Settings);
  CHECK(Server.send(Client, "1").Response.Status == 503);
  int Others = 0;
  std::function<void(http::exchange_result)> SendNext =
      [&](const http::exchange_result &) {
        if (++Others < 100)
          Client.send(
              {"GET", "/", {{"Echo", "x" + std::to_string(Others)}}, {}},
              SendNext);
      };
  for (int I = 0; I < 3; ++I)
    SendNext({});
  int OthersBefore = 0;
  Client.send({"GET", "/", {{"Echo", "1"}}, {}},
              [&](const http::exchange_result &Result) {
                CHECK(Result.Response.Body == "ran 1");
                OthersBefore = Others;
              });
  for (int I = 0; I < 400 && Others < 100; ++I) {
    Server.Io.restart();
    Server.Io.run_for(std::chrono::milliseconds(5));
  }
  CHECK(OthersBefore > 0);
  CHECK(OthersBefore < 20);
  Client.closeIdle();
}

// Guards against a request that waits for a connection to a server that opens
// none, while those that are open may not carry it.
TEST_CASE("a repeated request fails at once if no connection may carry it") {
  copying_server Server;
  http::client_settings Settings = echoSettings();
  Settings.ConnectBackoff = {300};
  http::client Client(Server.Io, Settings);
  CHECK(Server.send(Client, "1").Response.Status == 503);
  Server.stopAccepting();
  CHECK(Server.send(Client, "1").Status == http::exchange_status::not_sent);
  CHECK(Client.connectionCount() == 1);
  CHECK(Server.send(Client, "2").Response.Status == 503);
  Client.closeIdle();
}

// Guards against a list of ids that grows as long as a connection lives.
TEST_CASE("a connection is closed after many refusals") {
  copying_server Server;
  http::client Client(Server.Io, echoSettings());
  for (int I = 0; I < 200; ++I)
    CHECK(Server.send(Client, std::to_string(I)).Response.Status == 503);
  CHECK(Server.Connections == 4);
  CHECK(Server.send(Client, "0").Response.Body == "ran 0");
  Client.closeIdle();
}

TEST_CASE("a malformed response is distinguished from a lost connection") {
  scripted_server Server({"garbage that is no response\r\n\r\n"});
  boost::asio::io_context Io;
  http::client Client(Io, echoSettings());
  CHECK(exchange(Client, Io, "1").Status ==
        http::exchange_status::malformed_response);
}

TEST_CASE("cancelling an exchange closes its connection") {
  fixture F;
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  http::client Client(F.Io, Settings);
  bool WasCalled = false;
  const http::exchange_id Id =
      Client.send({"GET", "/later", {}, {}},
                  [&](const http::exchange_result &) { WasCalled = true; });
  F.Io.run_for(std::chrono::milliseconds(50));
  REQUIRE(Client.connectionCount() == 1);
  Client.cancel(Id);
  CHECK(Client.connectionCount() == 0);
  F.Io.restart();
  F.Io.run_for(std::chrono::milliseconds(50));
  CHECK(!WasCalled);
}

namespace {

/// A server that treats a disconnect as a cancellation and never responds.
class cancelling_server final : public http::handler {
public:
  cancelling_server() : Server(Io, settings(), *this, Metrics) {
    REQUIRE(Server.start());
  }
  void handle(http::request Request, http::responder) override {
    Received = Request.Token;
  }
  void onClientDisconnected(http::request_token Token) override {
    ++Disconnects;
    Disconnected = Token;
  }

  boost::asio::io_context Io;
  http::request_token Received = 0;
  http::request_token Disconnected = 0;
  int Disconnects = 0;

private:
  static http::server_settings settings() {
    http::server_settings Out;
    Out.Listen = {"127.0.0.1", Port};
    Out.CancelOnDisconnect = true;
    return Out;
  }

  telemetry::metrics Metrics;
  http::server Server;
};

} // namespace

TEST_CASE("the handler is notified when a client disconnects") {
  cancelling_server Server;
  {
    tcp::socket Socket(Server.Io);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::asio::write(Socket, boost::asio::buffer(std::string(
                                   "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    Server.Io.run_for(std::chrono::milliseconds(50));
    REQUIRE(Server.Received != 0);
    CHECK(Server.Disconnected == 0);
  }
  Server.Io.restart();
  Server.Io.run_for(std::chrono::milliseconds(50));
  CHECK(Server.Disconnected == Server.Received);
}

TEST_CASE("after closeAfterResponses a response closes its connection") {
  fixture F;
  F.Server.closeAfterResponses();
  const std::string Received =
      F.exchangeRaw("GET /one HTTP/1.1\r\nHost: x\r\n\r\n", 100'000);
  CHECK(Received.find("Connection: close") != std::string::npos);
  CHECK(Received.find("/one") != std::string::npos);
}

TEST_CASE("the idle limit is below the announced keep-alive timeout") {
  http::idle_limit Limit;
  const instant Now{1000};
  CHECK(Limit.value(Now) > millis{2000});
  Limit.onKeepAliveTimeout({15'000});
  CHECK(Limit.value(Now) == millis{14'000});
  Limit.onKeepAliveTimeout({1000});
  CHECK(Limit.value(Now) == millis{500});
}

TEST_CASE("a stale connection lowers the idle limit for a while") {
  http::idle_limit Limit;
  Limit.onKeepAliveTimeout({15'000});
  Limit.onStaleConnection({300}, {1000});
  CHECK(Limit.value({1000}) < millis{300});
  const millis Before = Limit.value({1000});
  Limit.onStaleConnection({200}, {2000});
  CHECK(Limit.value({2000}) < Before);
  Limit.onStaleConnection({5000}, {3000});
  CHECK(Limit.value({3000}) < Before);
  CHECK(Limit.value({30'000}) == millis{14'000});
}

namespace {

/// Answers each request, but closes a connection that was idle for more than
/// 150 ms when the next request arrives on it.
class stale_dropping_server {
public:
  stale_dropping_server()
      : Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), Port}) {
    accept();
  }

  boost::asio::io_context Io;
  int Connections = 0;

private:
  struct client_connection {
    explicit client_connection(tcp::socket Given) : Socket(std::move(Given)) {}
    tcp::socket Socket;
    std::string Bytes = std::string(4096, ' ');
    std::chrono::steady_clock::time_point LastUse =
        std::chrono::steady_clock::now();
  };

  void accept() {
    Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      ++Connections;
      read(std::make_shared<client_connection>(std::move(Socket)));
      accept();
    });
  }

  void read(std::shared_ptr<client_connection> Connection) {
    Connection->Socket.async_read_some(
        boost::asio::buffer(Connection->Bytes),
        [this, Connection](auto Error, auto) {
          const auto Now = std::chrono::steady_clock::now();
          if (Error ||
              Now - Connection->LastUse > std::chrono::milliseconds(150))
            return; // closes
          Connection->LastUse = Now;
          boost::asio::write(Connection->Socket,
                             boost::asio::buffer(responseWith("1", "ok")));
          read(Connection);
        });
  }

  tcp::acceptor Acceptor;
};

} // namespace

TEST_CASE("a request on a stale connection reports it, and the next one uses "
          "a new connection") {
  stale_dropping_server Server;
  http::client Client(Server.Io, echoSettings());
  CHECK(exchange(Client, Server.Io, "1").Status == http::exchange_status::done);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(exchange(Client, Server.Io, "1").Status ==
        http::exchange_status::stale_connection);
  CHECK(exchange(Client, Server.Io, "1").Status == http::exchange_status::done);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(exchange(Client, Server.Io, "1").Status == http::exchange_status::done);
  CHECK(Server.Connections == 3);
}

TEST_CASE("a fresh exchange reuses only a recently used connection") {
  fixture F;
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  http::client Client(F.Io, Settings);
  const auto Send = [&](http::connection_choice Choice) {
    bool IsDone = false;
    Client.send(
        {"GET", "/x", {}, {}},
        [&](const http::exchange_result &Result) {
          IsDone = Result.Status == http::exchange_status::done;
          F.Io.stop();
        },
        Choice);
    F.Io.restart();
    F.Io.run_for(std::chrono::seconds(5));
    return IsDone;
  };
  REQUIRE(Send(http::connection_choice::any));
  REQUIRE(
      Send(http::connection_choice::fresh)); // reuses the connection just used
  CHECK(Client.connectionCount() == 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  REQUIRE(Send(http::connection_choice::fresh));
  CHECK(Client.connectionCount() == 1);
}

namespace {

/// A client socket that reads until its connection ends; `WasReset` tells how.
struct raw_client {
  explicit raw_client(boost::asio::io_context &Io) : Socket(Io) {
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    read();
  }
  void send(const std::string &Bytes) {
    boost::asio::write(Socket, boost::asio::buffer(Bytes));
  }
  void read() {
    Socket.async_read_some(
        boost::asio::buffer(Chunk), [this](auto Error, std::size_t Count) {
          Received.append(Chunk.data(), Count);
          HasEnded = static_cast<bool>(Error);
          WasReset = Error && Error != boost::asio::error::eof;
          if (!Error)
            read();
        });
  }

  tcp::socket Socket;
  std::array<char, 4096> Chunk{};
  std::string Received;
  bool HasEnded = false;
  bool WasReset = false;
};

void runFor(boost::asio::io_context &Io, int Milliseconds) {
  Io.restart();
  Io.run_for(std::chrono::milliseconds(Milliseconds));
}

const std::string KeepAliveRequest = "GET /now HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string HeldRequest = "GET /later HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("bytes sent after the last request do not destroy its response") {
  fixture F;
  raw_client Client(F.Io);
  Client.send("GET /later HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  runFor(F.Io, 30);
  Client.send("unread bytes");
  F.Handler.HeldResponse();
  Client.send("more unread bytes");
  runFor(F.Io, 50);
  CHECK(Client.Received.find("/later") != std::string::npos);
  CHECK(Client.HasEnded);
  CHECK(!Client.WasReset);
}

TEST_CASE(
    "a connection whose client does not close it is closed after a while") {
  fixture F;
  raw_client Client(F.Io);
  Client.send("GET /now HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  runFor(F.Io, 50);
  CHECK(F.Server.connectionCount() == 1);
  runFor(F.Io, 2000);
  CHECK(F.Server.connectionCount() == 0);
}

TEST_CASE("after closeAfterResponses every pipelined request is answered") {
  fixture F;
  raw_client Client(F.Io);
  Client.send(HeldRequest + KeepAliveRequest);
  runFor(F.Io, 30);
  F.Server.closeAfterResponses();
  F.Handler.HeldResponse();
  runFor(F.Io, 50);
  CHECK(Client.Received.find("/later") != std::string::npos);
  CHECK(Client.Received.find("/now") != std::string::npos);
  CHECK(Client.HasEnded);
}

TEST_CASE("connections that are established but not accepted are served after "
          "stopAccepting") {
  fixture F;
  raw_client Client(F.Io); // the server has not run since
  Client.send(KeepAliveRequest);
  F.Server.closeAfterResponses();
  F.Server.stopAccepting();
  F.Server.closeIdle();
  runFor(F.Io, 50);
  CHECK(Client.Received.find("/now") != std::string::npos);
  CHECK(!Client.WasReset);
}

TEST_CASE("closeIdle leaves a connection on which a request is arriving") {
  fixture F;
  raw_client Client(F.Io);
  Client.send("GET /now HTTP/1.1\r\n");
  runFor(F.Io, 30);
  F.Server.closeAfterResponses();
  F.Server.closeIdle();
  Client.send("Host: x\r\n\r\n");
  runFor(F.Io, 50);
  CHECK(Client.Received.find("/now") != std::string::npos);
}

TEST_CASE("a client that leaves after asking for a close is noticed") {
  cancelling_server Server;
  raw_client Client(Server.Io);
  Client.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  runFor(Server.Io, 30);
  CHECK(Server.Disconnects == 0);
  Client.Socket.close();
  runFor(Server.Io, 30);
  CHECK(Server.Disconnects == 1);
}

TEST_CASE("preconnect ends while a rejected connection delays new ones") {
  boost::asio::io_context Io;
  tcp::acceptor Acceptor(Io,
                         {boost::asio::ip::make_address("127.0.0.1"), Port});
  std::vector<tcp::socket> Accepted;
  std::function<void()> AcceptNext = [&] {
    Acceptor.async_accept([&](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      Accepted.push_back(std::move(Socket));
      AcceptNext();
    });
  };
  AcceptNext();
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  Settings.MaxConnections = 4;
  Settings.ConnectBackoff = {10'000};
  http::client Client(Io, Settings);
  Client.preconnect(2);
  runFor(Io, 30);
  REQUIRE(Accepted.size() == 2);
  http::exchange_status Status = http::exchange_status::done;
  Client.send({"GET", "/", {}, {}},
              [&](const http::exchange_result &R) { Status = R.Status; });
  runFor(Io, 30);
  Accepted.clear();
  runFor(Io, 30);
  REQUIRE(Status == http::exchange_status::connection_rejected);
  Client.preconnect(4); // looped without end
  CHECK(Client.connectionCount() <= 1);
}

TEST_CASE("a server without free descriptors pauses between accepts") {
  fixture F;
  raw_client Client(F.Io);
  rlimit Old{};
  ::getrlimit(RLIMIT_NOFILE, &Old);
  rlimit Low = Old;
  Low.rlim_cur = 3;
  ::setrlimit(RLIMIT_NOFILE, &Low);
  runFor(F.Io, 250);
  ::setrlimit(RLIMIT_NOFILE, &Old);
  const auto Failed = F.Metrics.count("accept_failed", "Too many open files");
  CHECK(Failed >= 1);
  CHECK(Failed <= 4);
  Client.send(KeepAliveRequest);
  runFor(F.Io, 250);
  CHECK(Client.Received.find("/now") != std::string::npos);
}

TEST_CASE("clients are told to keep connections idle for less than the server "
          "does") {
  http::server_settings Settings;
  Settings.IdleTimeout = {15'000};
  fixture F(Settings);
  raw_client Client(F.Io);
  Client.send(KeepAliveRequest);
  runFor(F.Io, 50);
  CHECK(Client.Received.find("Keep-Alive: timeout=12\r\n") !=
        std::string::npos);
}

TEST_CASE("withdraw ends the exchanges that wait for a connection") {
  fixture F;
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  Settings.MaxConnections = 1;
  http::client Client(F.Io, Settings);
  std::map<std::string, http::exchange_status> Ended;
  for (const char *Target : {"/later", "/waits"})
    Client.send({"GET", Target, {}, {}},
                [&, Target](const http::exchange_result &Result) {
                  Ended[Target] = Result.Status;
                });
  runFor(F.Io, 50);
  Client.withdraw();
  runFor(F.Io, 50);
  CHECK(Ended.size() == 1);
  CHECK(Ended["/waits"] == http::exchange_status::not_sent);
  F.Handler.HeldResponse();
  runFor(F.Io, 50);
  CHECK(Ended["/later"] == http::exchange_status::done);
}

namespace {

/// Accepts connections and sends each of them `Head` and then `Filler` again
/// and again until the client closes it.
class endless_server {
public:
  endless_server(boost::asio::io_context &Io, std::string Head,
                 std::string Filler)
      : Head(std::move(Head)), Filler(std::move(Filler)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), Port}) {
    accept();
  }

  std::size_t SentBytes = 0;
  std::size_t Open = 0;

private:
  void accept() {
    Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      ++Open;
      write(std::make_shared<tcp::socket>(std::move(Socket)), Head);
      accept();
    });
  }
  void write(std::shared_ptr<tcp::socket> Socket, const std::string &Bytes) {
    boost::asio::async_write(*Socket, boost::asio::buffer(Bytes),
                             [this, Socket](auto Error, std::size_t Count) {
                               SentBytes += Count;
                               if (Error)
                                 --Open;
                               else
                                 write(Socket, Filler);
                             });
  }

  std::string Head;
  std::string Filler;
  tcp::acceptor Acceptor;
};

/// Peak memory of this process in bytes.
std::size_t peakMemory() {
  rusage Usage{};
  ::getrusage(RUSAGE_SELF, &Usage);
  return static_cast<std::size_t>(Usage.ru_maxrss) * 1024;
}

} // namespace

TEST_CASE("bytes that are no answer and never end are bounded") {
  const auto Case = GENERATE(
      // in a head: one header line without end, lines without end, no head
      std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\nX: ", "x"),
      std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\n", "X: 1\r\n"),
      std::pair<std::string, std::string>("", std::string(1, '\0')),
      // in a body: without length, and in chunks
      std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\n\r\n", "x"),
      std::pair<std::string, std::string>(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "1\r\nx\r\n"),
      // responses to other requests
      std::pair<std::string, std::string>(
          "", "HTTP/1.1 200 OK\r\nEcho: other\r\nContent-Length: 0\r\n\r\n"),
      std::pair<std::string, std::string>("", "HTTP/1.1 100 Continue\r\n\r\n"));
  boost::asio::io_context Io;
  std::string Filler;
  while (Filler.size() < 16'384)
    Filler += Case.second;
  endless_server Server(Io, Case.first + Filler, Filler);
  http::client_settings Settings = echoSettings();
  Settings.MaxConnections = 10;
  Settings.MaxBodyBytes = fleet::MaxReplyBytes;
  http::client Client(Io, Settings);
  const std::size_t Before = peakMemory();
  int Failed = 0;
  for (int I = 0; I < 10; ++I)
    Client.send({"GET", "/", {{"Echo", std::to_string(I)}}, {}},
                [&](const http::exchange_result &Result) {
                  CHECK(Result.Status != http::exchange_status::done);
                  ++Failed;
                });
  // The end is bounded in bytes, those in the kernel's buffers included: how
  // long it takes depends on what else the machine does.
  constexpr std::size_t MaxSentBytes = std::size_t{10} * (16 << 20);
  for (int I = 0; I < 3000 && Server.SentBytes < MaxSentBytes &&
                  (Failed < 10 || Server.Open > 0);
       ++I)
    runFor(Io, 20);
  CHECK(Failed == 10);
  CHECK(Server.Open == 0);
  CHECK(Server.SentBytes < MaxSentBytes);
  CHECK(peakMemory() - Before < std::size_t{32} << 20);
}

TEST_CASE("a late response without an id is not taken for the next one") {
  const std::string WithoutId =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain";
  scripted_server Server(
      {responseWith("1", "one"), WithoutId + responseWith("2", "two")});
  boost::asio::io_context Io;
  http::client Client(Io, echoSettings());
  CHECK(exchange(Client, Io, "1").Response.Body == "one");
  CHECK(exchange(Client, Io, "2").Response.Body == "two");
}

TEST_CASE("a late response that arrives between two requests ends the "
          "connection") {
  boost::asio::io_context Io;
  tcp::acceptor Acceptor(Io,
                         {boost::asio::ip::make_address("127.0.0.1"), Port});
  // Answers the first request of each connection twice, the second time late.
  int Connections = 0;
  std::thread Server([&] {
    std::string Request(4096, ' ');
    boost::system::error_code Error;
    std::vector<tcp::socket> Open;
    for (const char *Id : {"1", "2"}) {
      tcp::socket &Socket = Open.emplace_back(Acceptor.accept());
      ++Connections;
      Socket.read_some(boost::asio::buffer(Request), Error);
      boost::asio::write(Socket, boost::asio::buffer(responseWith(Id, Id)),
                         Error);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      boost::asio::write(Socket, boost::asio::buffer(responseWith(Id, Id)),
                         Error);
    }
  });
  http::client Client(Io, echoSettings());
  CHECK(exchange(Client, Io, "1").Response.Body == "1");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(exchange(Client, Io, "2").Response.Body == "2");
  Server.join();
  CHECK(Connections == 2);
}

// Guards against a request that cannot be forwarded and ends the relay: the
// HTTP library throws when it serializes TRACE with content.
TEST_CASE("TRACE with content is refused at once", "[http]") {
  fixture Test;
  const std::string Response = Test.exchangeRaw(
      "TRACE /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 1 << 20);
  CHECK(Response.rfind("HTTP/1.1 400", 0) == 0);
  const std::string Chunked =
      Test.exchangeRaw("TRACE /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                       1 << 20);
  CHECK(Chunked.rfind("HTTP/1.1 400", 0) == 0);
}

// Guards against an exception in the handler of one request that ends the
// process or leaves the client without a response.
TEST_CASE("an exception in the handler fails its request only", "[http]") {
  fixture Test;
  const std::string Response = Test.exchangeRaw(
      "GET /throw HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      1 << 20);
  CHECK(Response.rfind("HTTP/1.1 500", 0) == 0);
  CHECK(Response.find("HTTP/1.1 200") != std::string::npos);
  CHECK(Response.find("/next") != std::string::npos);
}

namespace {

std::string headOf(const std::string &Target, std::size_t Bytes) {
  return "PUT " + Target +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Bytes) +
         "\r\nConnection: close\r\n\r\n";
}

} // namespace

// Guards against slow uploads that together take over the limit of memory, as
// only the size of each is bounded.
TEST_CASE("bodies that are read at once are bounded in total", "[http]") {
  http::server_settings Settings;
  Settings.MaxBodyBytes = 1000;
  Settings.MaxTotalBodyBytes = 2000;
  fixture Test(Settings);
  std::vector<tcp::socket> Slow;
  for (int I = 0; I < 2; ++I) {
    Slow.emplace_back(Test.Io).connect(
        {boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::asio::write(Slow.back(),
                       boost::asio::buffer(headOf("/slow", 900) + "x"));
    Test.Io.restart();
    Test.Io.run_for(std::chrono::milliseconds(50));
  }
  const std::string Body(900, 'x');
  const std::string Refused =
      Test.exchangeRaw(headOf("/third", 900) + Body, 1 << 20);
  CHECK(Refused.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(Refused.find("Retry-After: 1") != std::string::npos);
  CHECK(Test.Metrics.count("http_refused", "503") == 1);
  // Its size is known only at its end.
  const std::string Chunked = Test.exchangeRaw(
      "PUT /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nx\r\n0\r\n\r\n",
      1 << 20);
  CHECK(Chunked.rfind("HTTP/1.1 503", 0) == 0);
  const std::string Small =
      Test.exchangeRaw(headOf("/small", 100) + std::string(100, 'x'), 1 << 20);
  CHECK(Small.rfind("HTTP/1.1 200", 0) == 0);
  const std::string Empty = Test.exchangeRaw(
      "GET /empty HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 1 << 20);
  CHECK(Empty.rfind("HTTP/1.1 200", 0) == 0);
  Slow.pop_back();
  const std::string Later =
      Test.exchangeRaw(headOf("/later-on", 900) + Body, 1 << 20);
  CHECK(Later.rfind("HTTP/1.1 200", 0) == 0);
}

// Guards against a body that counts for ever after its response, or not at all
// while its response is outstanding.
TEST_CASE("a body counts until its response was written", "[http]") {
  http::server_settings Settings;
  Settings.MaxBodyBytes = 1000;
  Settings.MaxTotalBodyBytes = 1000;
  fixture Test(Settings);
  const std::string Body(900, 'x');
  for (int I = 0; I < 5; ++I)
    CHECK(Test.exchangeRaw(headOf("/one", 900) + Body, 1 << 20)
              .rfind("HTTP/1.1 200", 0) == 0);
  tcp::socket Waiting(Test.Io);
  Waiting.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  boost::asio::write(Waiting,
                     boost::asio::buffer(headOf("/later", 900) + Body));
  Test.Io.restart();
  Test.Io.run_for(std::chrono::milliseconds(50));
  CHECK(Test.exchangeRaw(headOf("/two", 900) + Body, 1 << 20)
            .rfind("HTTP/1.1 503", 0) == 0);
  Test.exchangeRaw(
      "GET /release HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 1 << 20);
  Test.Io.restart();
  Test.Io.run_for(std::chrono::milliseconds(50));
  CHECK(Test.exchangeRaw(headOf("/three", 900) + Body, 1 << 20)
            .rfind("HTTP/1.1 200", 0) == 0);
}

namespace {

const std::string ChunkedHead =
    "PUT /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string trailers(int Count) {
  std::string Out;
  for (int I = 0; I < Count; ++I)
    Out += "X-T" + std::to_string(I) + ": " + std::string(900, 'v') + "\r\n";
  return Out;
}

} // namespace

// Guards against a process that runs out of memory: the parser buffers trailers
// and chunk headers until their end, and its limit on headers is not one on
// these.
TEST_CASE("trailers and chunk headers without end are refused", "[http]") {
  const std::string LongText(64 << 10, '0');
  const std::string Framing = GENERATE_COPY(
      "1\r\na\r\n0\r\n" + trailers(64), "1\r\na\r\n0\r\nX-T: " + LongText,
      "1;e=" + LongText, LongText, "1;e=\"" + LongText, "0;e=" + LongText);
  fixture Test;
  const std::string Response = Test.exchangeRaw(ChunkedHead + Framing, 1 << 20);
  CHECK(Response.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(Test.Server.inFlightRequests() == 0);
  CHECK(Test.Metrics.count("http_refused", "400") == 1);
}

// Guards against a client that makes the server read without end, as only the
// content of chunks counts against the limit on bodies.
TEST_CASE("chunks with long extensions are refused in total", "[http]") {
  http::server_settings Settings;
  Settings.MaxBodyBytes = 1000;
  fixture Test(Settings);
  std::string Chunks;
  for (int I = 0; I < 100; ++I)
    Chunks += "1;e=" + std::string(2000, 'v') + "\r\na\r\n";
  const std::string Response = Test.exchangeRaw(ChunkedHead + Chunks, 1 << 20);
  CHECK(Response.rfind("HTTP/1.1 400", 0) == 0);
}

// Guards against a bound on framing that refuses requests inside the limits.
TEST_CASE("a body in chunks of one byte is served up to its limit", "[http]") {
  http::server_settings Settings;
  Settings.MaxBodyBytes = 50'000;
  fixture Test(Settings);
  std::string Chunks;
  for (int I = 0; I < 50'000; ++I)
    Chunks += "1\r\na\r\n";
  const std::string Response = Test.exchangeRaw(
      ChunkedHead + Chunks + "0;e=x\r\n" + trailers(2) +
          "\r\nGET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      1 << 20);
  CHECK(Response.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(Response.find("/next") != std::string::npos);
  const std::string TooLarge =
      Test.exchangeRaw(ChunkedHead + Chunks + "1\r\na\r\n0\r\n\r\n", 1 << 20);
  CHECK(TooLarge.rfind("HTTP/1.1 413", 0) == 0);
}

namespace {

/// Answers each request with as many bytes as its target says.
class sizing_handler final : public http::handler {
public:
  void handle(http::request Request, http::responder Respond) override {
    http::response Response;
    Response.Body = std::string(std::stoul(Request.Target.substr(1)), 'x');
    if (IsHolding)
      Held.push_back([Respond, Response] { Respond(Response); });
    else
      Respond(Response);
  }
  void onClientDisconnected(http::request_token) override { ++Disconnects; }
  bool IsHolding = false;
  int Disconnects = 0;
  std::vector<std::function<void()>> Held;
};

constexpr std::size_t BudgetBytes = 4 << 20;

struct bounded_server {
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  sizing_handler Handler;
  std::shared_ptr<http::memory_budget> Budget =
      std::make_shared<http::memory_budget>(BudgetBytes);
  std::optional<http::server> Server;

  bounded_server() {
    http::server_settings Settings;
    Settings.Listen = {"127.0.0.1", Port};
    Settings.CancelOnDisconnect = true;
    Settings.Budget = Budget;
    Server.emplace(Io, Settings, Handler, Metrics);
    REQUIRE(Server->start());
  }

  /// Sends while the server runs, until all has been sent or it is too slow.
  void send(tcp::socket &Socket, const std::string &Bytes) {
    const auto Copy = std::make_shared<std::string>(Bytes);
    boost::asio::async_write(Socket, boost::asio::buffer(*Copy),
                             [Copy](auto, std::size_t) {});
    runFor(Io, 20);
  }

  /// A client that sends the bytes and reads nothing.
  tcp::socket sendOnly(const std::string &Bytes) {
    tcp::socket Socket(Io);
    Socket.open(tcp::v4());
    Socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    send(Socket, Bytes);
    return Socket;
  }
};

std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

} // namespace

// Guards against responses that many clients do not read and that fill the
// memory of the process.
TEST_CASE("responses that nobody reads stay within the budget", "[http]") {
  bounded_server Test;
  std::vector<tcp::socket> Clients;
  for (int I = 0; I < 20; ++I) {
    Clients.push_back(Test.sendOnly(get("/1000000")));
    CHECK(Test.Budget->usedBytes() <= BudgetBytes);
  }
  CHECK(Test.Metrics.count("http_closed", "memory") > 0);
  raw_client Ordinary(Test.Io);
  Ordinary.send(get("/100000"));
  runFor(Test.Io, 50);
  CHECK(Ordinary.Received.size() > 100'000);
}

// Guards against pipelined requests whose responses are held in any number.
TEST_CASE("a connection with much unread data reads no further request",
          "[http]") {
  bounded_server Test;
  std::string Requests;
  for (int I = 0; I < 60; ++I)
    Requests += get("/400000");
  const tcp::socket Client = Test.sendOnly(Requests);
  CHECK(Test.Budget->usedBytes() <= BudgetBytes / 4);
  CHECK(Test.Server->inFlightRequests() < 10);
}

// Guards against a backlog of responses that is never read to its end.
TEST_CASE("a connection that has read its responses goes on", "[http]") {
  bounded_server Test;
  raw_client Client(Test.Io);
  for (int I = 0; I < 20; ++I)
    Client.send(get("/400000"));
  runFor(Test.Io, 500);
  CHECK(Client.Received.size() > 20 * 400'000);
  CHECK(Test.Server->inFlightRequests() == 0);
  CHECK(Test.Budget->usedBytes() < 10'000);
}

// Guards against a request that runs on for a client that was dropped.
TEST_CASE("the requests of a client that is dropped are cancelled", "[http]") {
  bounded_server Test;
  tcp::socket First = Test.sendOnly(get("/3000000"));
  Test.Handler.IsHolding = true;
  Test.send(First, get("/16"));
  const tcp::socket Second = Test.sendOnly(get("/3000000"));
  REQUIRE(!Test.Handler.Held.empty());
  Test.Handler.Held.back()();
  CHECK(Test.Metrics.count("http_closed", "memory") == 1);
}

// Guards against bodies that never end, each below the limit, which together
// fill the memory of the process.
TEST_CASE("uploads that never end stay within the budget", "[http]") {
  bounded_server Test;
  const std::string Upload = headOf("/16", 500'000) + std::string(499'000, 'b');
  std::vector<tcp::socket> Clients;
  for (int I = 0; I < 20; ++I)
    Clients.push_back(Test.sendOnly(Upload));
  runFor(Test.Io, 50);
  CHECK(Test.Budget->usedBytes() <= BudgetBytes / 4 * 3);
  CHECK(Test.Metrics.count("http_refused", "memory") > 0);
  raw_client Ordinary(Test.Io);
  Ordinary.send(headOf("/16", 1000) + std::string(1000, 'b'));
  runFor(Test.Io, 50);
  CHECK(Ordinary.Received.rfind("HTTP/1.1 200", 0) == 0);
}

// Guards against a refusal that is no promise: the request must not be handled.
TEST_CASE("a request that does not fit gets 503 and does not run", "[http]") {
  bounded_server Test;
  Test.Handler.IsHolding = true;
  const std::string Body(900'000, 'b');
  std::vector<tcp::socket> Clients;
  for (int I = 0; I < 2; ++I)
    Clients.push_back(Test.sendOnly(headOf("/16", 900'000) + Body));
  runFor(Test.Io, 50);
  REQUIRE(Test.Handler.Held.size() == 2);
  raw_client Newest(Test.Io);
  Test.send(Newest.Socket, headOf("/16", 900'000) + Body);
  runFor(Test.Io, 100);
  CHECK(Newest.Received.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(Newest.Received.find("Retry-After: 1") != std::string::npos);
  CHECK(Test.Handler.Held.size() == 2);
}

// Guards against silent connections that keep all others out, and against a
// request on its way that is cut in favour of another one.
TEST_CASE("a new connection takes the place of a silent one", "[http]") {
  http::server_settings Settings;
  Settings.MaxConnections = 3;
  fixture F(Settings);
  raw_client Busy(F.Io);
  Busy.send(HeldRequest);
  raw_client Unfinished(F.Io);
  Unfinished.send("GET /unfinished");
  runFor(F.Io, 50);
  raw_client Unused(F.Io);
  runFor(F.Io, 50);
  raw_client TooEarly(F.Io); // nobody has been silent for long
  runFor(F.Io, 50);
  CHECK(TooEarly.HasEnded);
  CHECK(F.Metrics.count("http_refused", "too_many_connections") == 1);
  runFor(F.Io, 1100);
  raw_client Kept(F.Io);
  Kept.send(KeepAliveRequest);
  runFor(F.Io, 50);
  CHECK(Kept.Received.find("/now") != std::string::npos);
  CHECK(Unused.HasEnded);
  CHECK_FALSE(Unfinished.HasEnded);
  CHECK_FALSE(Busy.HasEnded);
  CHECK(F.Server.connectionCount() == 3);
  CHECK(F.Metrics.count("http_closed", "connections") == 1);

  runFor(F.Io, 1900); // the unfinished request has stalled for long
  raw_client Next(F.Io);
  Next.send(KeepAliveRequest);
  runFor(F.Io, 50);
  CHECK(Next.Received.find("/now") != std::string::npos);
  CHECK(Unfinished.HasEnded);
  CHECK_FALSE(Kept.HasEnded);
  CHECK_FALSE(Busy.HasEnded);
}

// Guards against heads of many short fields, which take many times the memory
// of their text.
TEST_CASE("the fields of a request count beside its text", "[http]") {
  http::server_settings Settings;
  Settings.Budget = std::make_shared<http::memory_budget>(64 << 20);
  fixture F(Settings);
  std::string Head = "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n";
  for (int I = 0; I < 3000; ++I)
    Head += "a:\r\n";
  raw_client Client(F.Io);
  Client.send(Head + "\r\n");
  runFor(F.Io, 50);
  CHECK(Settings.Budget->usedBytes() > 10 * Head.size());
}

// Guards against uploads without end that keep all others out until the idle
// timeout.
TEST_CASE("a slow upload gives way to another one", "[http]") {
  http::server_settings Settings;
  Settings.MaxBodyBytes = 1000;
  Settings.MaxTotalBodyBytes = 2000;
  fixture F(Settings);
  raw_client Oldest(F.Io);
  Oldest.send(headOf("/slow", 900) + "x");
  runFor(F.Io, 50);
  raw_client Second(F.Io);
  Second.send(headOf("/slow", 900) + "x");
  runFor(F.Io, 3100);
  raw_client Newest(F.Io);
  Newest.send(headOf("/now", 900) + std::string(900, 'x'));
  runFor(F.Io, 50);
  CHECK(Newest.Received.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(Oldest.HasEnded);
  CHECK_FALSE(Second.HasEnded);
  CHECK(F.Metrics.count("http_closed", "slow_upload") == 1);
}

// Guards against a timeout of the whole response, which would cut a client that
// reads a long one slowly.
TEST_CASE("a client that reads slowly gets its whole response", "[http]") {
  http::server_settings Settings;
  Settings.WriteTimeout = {600};
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  sizing_handler Handler;
  Settings.Listen = {"127.0.0.1", Port};
  http::server Server(Io, Settings, Handler, Metrics);
  REQUIRE(Server.start());
  constexpr std::size_t Size = 3 << 20;
  tcp::socket Client(Io);
  Client.open(tcp::v4());
  Client.set_option(boost::asio::socket_base::receive_buffer_size(64 << 10));
  Client.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  boost::asio::write(Client,
                     boost::asio::buffer(get("/" + std::to_string(Size))));
  std::size_t Received = 0;
  std::vector<char> Chunk(256 << 10);
  for (int I = 0; I < 40 && Received < Size; ++I) {
    runFor(Io, 100);
    boost::system::error_code Error;
    while (!Error && Client.available(Error) > 0)
      Received += Client.read_some(boost::asio::buffer(Chunk), Error);
  }
  CHECK(Received > Size);
}

// Guards against a client that reads nothing and holds its response for ever.
TEST_CASE("a client that stops reading loses its connection", "[http]") {
  http::server_settings Settings;
  Settings.WriteTimeout = {300};
  Settings.Listen = {"127.0.0.1", Port};
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  sizing_handler Handler;
  http::server Server(Io, Settings, Handler, Metrics);
  REQUIRE(Server.start());
  tcp::socket Client(Io);
  Client.open(tcp::v4());
  Client.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  Client.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  boost::asio::write(Client, boost::asio::buffer(get("/1000000")));
  runFor(Io, 100);
  CHECK(Server.inFlightRequests() == 1);
  runFor(Io, 1500);
  CHECK(Server.connectionCount() == 0);
}

// Guards against a status that is none and reaches a client, or that ends the
// write with an exception and leaves the client waiting.
TEST_CASE("a response with a status that is none is replaced by 500",
          "[http]") {
  fixture Test;
  Test.Handler.Status = GENERATE(0U, 99U, 100U, 199U, 600U, 999U, 1000U);
  INFO(Test.Handler.Status);
  std::string Response;
  CHECK_NOTHROW(Response = Test.exchangeRaw("GET /x HTTP/1.1\r\nHost: h\r\n"
                                            "Connection: close\r\n\r\n",
                                            1 << 20));
  CHECK(Response.rfind("HTTP/1.1 500 ", 0) == 0);
  CHECK(Response.find("/x") == std::string::npos);
}

// Guards against a body that its status forbids: the library refuses to write
// the response, and the client waits.
TEST_CASE("a response that may have no body is sent without it", "[http]") {
  fixture Test;
  Test.Handler.Status = GENERATE(204U, 304U);
  std::string Response;
  CHECK_NOTHROW(Response = Test.exchangeRaw("GET /x HTTP/1.1\r\nHost: h\r\n"
                                            "Connection: close\r\n\r\n",
                                            1 << 20));
  CHECK(Response.rfind("HTTP/1.1 " + std::to_string(Test.Handler.Status), 0) ==
        0);
  CHECK(Response.find("/x") == std::string::npos);
}

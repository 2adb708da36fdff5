#include "http/client.h"
#include "http/idle_limit.h"
#include "http/server.h"
#include "telemetry/metrics.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace bulrush;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::uint16_t Port = 19'081;

/// Holds requests to "/later" until released; answers others with their target.
class holding_handler final : public http::handler {
public:
  void handle(http::request Request, http::responder Respond) override {
    http::response Response;
    Response.Body = Request.Target;
    if (Request.Target == "/later")
      Held = [Respond, Response] { Respond(Response); };
    else
      Respond(Response);
    if (Request.Target == "/release" && Held)
      Held();
  }
  std::function<void()> Held;
};

struct fixture {
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  holding_handler Handler;
  http::server Server;

  explicit fixture(http::server_settings Settings = {})
      : Server(Io, listening(Settings), Handler, Metrics) {
    REQUIRE(Server.start());
  }

  static http::server_settings listening(http::server_settings Settings) {
    Settings.Listen = {"127.0.0.1", Port};
    return Settings;
  }

  /// Writes raw bytes and reads until the server closes or `Enough` bytes came.
  std::string talk(const std::string &Bytes, std::size_t Enough) {
    tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::asio::write(Socket, boost::asio::buffer(Bytes));
    std::string Got;
    std::array<char, 4096> Chunk{};
    std::function<void()> Read = [&] {
      Socket.async_read_some(boost::asio::buffer(Chunk),
                             [&](auto Error, std::size_t Count) {
                               Got.append(Chunk.data(), Count);
                               if (Error || Got.size() >= Enough)
                                 Io.stop();
                               else
                                 Read();
                             });
    };
    Read();
    Io.restart();
    Io.run_for(std::chrono::seconds(5));
    return Got;
  }
};

} // namespace

TEST_CASE("pipelined answers leave in the order of the requests") {
  fixture F;
  const std::string Got =
      F.talk("GET /later HTTP/1.1\r\nHost: x\r\n\r\n"
             "GET /release HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
             100'000);
  REQUIRE(Got.find("/later") != std::string::npos);
  CHECK(Got.find("/later") < Got.find("/release"));
}

TEST_CASE("an oversize body is refused with 413") {
  http::server_settings Settings;
  Settings.MaxBodyBytes = 10;
  fixture F(Settings);
  const std::string Got = F.talk(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n01234567890",
      100'000);
  CHECK(Got.find("413") != std::string::npos);
  CHECK(F.Metrics.count("http_refused", "413") == 1);
}

TEST_CASE("a malformed request is refused with 400") {
  fixture F;
  CHECK(F.talk("nonsense\r\n\r\n", 100'000).find("400") != std::string::npos);
}

TEST_CASE("connections beyond the bound are closed and counted") {
  http::server_settings Settings;
  Settings.MaxConnections = 0;
  fixture F(Settings);
  CHECK(F.talk("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1).empty());
  CHECK(F.Metrics.count("http_refused", "too_many_connections") == 1);
}

TEST_CASE("a client keeps within its connections and gets every response") {
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
                  CHECK(Client.open() <= 2);
                  if (++Done == 20)
                    F.Io.stop();
                });
  F.Io.run_for(std::chrono::seconds(5));
  CHECK(Done == 20);
}

TEST_CASE("a connection that the server closed while idle is told when asked") {
  using namespace std::chrono_literals;
  http::server_settings Settings;
  Settings.IdleTimeout = {50};
  fixture F(Settings);
  http::client_settings Asked;
  Asked.Server = {"127.0.0.1", Port};
  Asked.FailWhenClosed = true;
  http::client Client(F.Io, Asked);
  std::vector<http::exchange_status> Ended;
  const auto Send = [&](std::chrono::milliseconds Then) {
    http::request Request;
    Request.Method = "GET";
    Request.Target = "/now";
    Client.send(std::move(Request), [&](const http::exchange_result &Result) {
      Ended.push_back(Result.Status);
    });
    F.Io.restart();
    F.Io.run_for(Then);
  };
  Send(2500ms); // the server closes the idle connection meanwhile
  Send(100ms);
  Send(100ms);
  const std::vector<http::exchange_status> Expected = {
      http::exchange_status::done, http::exchange_status::connect_failed,
      http::exchange_status::done};
  CHECK(Ended == Expected);
}

TEST_CASE("a connection closed right after an answer is told too") {
  using namespace std::chrono_literals;
  boost::asio::io_context Io;
  tcp::acceptor Acceptor(Io,
                         {boost::asio::ip::make_address("127.0.0.1"), Port});
  std::thread Server([&] {
    tcp::socket Socket = Acceptor.accept();
    std::string Request(4096, ' ');
    Socket.read_some(boost::asio::buffer(Request));
    const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(Socket, boost::asio::buffer(Answer));
  });
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  Settings.FailWhenClosed = true;
  http::client Client(Io, Settings);
  std::vector<http::exchange_status> Ended;
  for (int I = 0; I < 2; ++I) {
    Client.send({"GET", "/", {}, {}}, [&](const http::exchange_result &Result) {
      Ended.push_back(Result.Status);
    });
    Io.restart();
    Io.run_for(50ms);
  }
  Server.join();
  const std::vector<http::exchange_status> Expected = {
      http::exchange_status::done, http::exchange_status::connect_failed};
  CHECK(Ended == Expected);
}

TEST_CASE("a refused connection is reported as not sent") {
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
  CHECK(Status == http::exchange_status::connect_failed);
}

namespace {

/// A server that writes fixed bytes after each request, on one connection.
class scripted_server {
public:
  explicit scripted_server(std::vector<std::string> Given)
      : Answers(std::move(Given)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), Port}),
        Thread([this] { run(); }) {}
  ~scripted_server() { Thread.join(); }

private:
  void run() {
    tcp::socket Socket = Acceptor.accept();
    std::string Request(4096, ' ');
    boost::system::error_code Error;
    for (const std::string &Answer : Answers) {
      Socket.read_some(boost::asio::buffer(Request), Error);
      boost::asio::write(Socket, boost::asio::buffer(Answer), Error);
    }
    Socket.read_some(boost::asio::buffer(Request), Error);
  }

  std::vector<std::string> Answers;
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

http::client_settings echoing() {
  http::client_settings Out;
  Out.Server = {"127.0.0.1", Port};
  Out.EchoHeader = "Echo";
  return Out;
}

} // namespace

TEST_CASE("a response to an earlier request is passed over") {
  scripted_server Server({responseWith("1", "one") + responseWith("1", "late"),
                          responseWith("2", "two")});
  boost::asio::io_context Io;
  http::client Client(Io, echoing());
  CHECK(exchange(Client, Io, "1").Response.Body == "one");
  // Bytes that came after a whole response belong to nobody: the connection is
  // not used again, and the server takes one only.
  CHECK(Client.open() == 0);
  Client.closeIdle();
}

TEST_CASE("a late response is told by the id that it echoes") {
  scripted_server Server(
      {responseWith("1", "one"),
       responseWith("1", "again") + responseWith("2", "two")});
  boost::asio::io_context Io;
  http::client Client(Io, echoing());
  CHECK(exchange(Client, Io, "1").Response.Body == "one");
  CHECK(exchange(Client, Io, "2").Response.Body == "two");
}

TEST_CASE("bytes that are no response are told apart from a lost connection") {
  scripted_server Server({"garbage that is no response\r\n\r\n"});
  boost::asio::io_context Io;
  http::client Client(Io, echoing());
  CHECK(exchange(Client, Io, "1").Status ==
        http::exchange_status::malformed_response);
}

TEST_CASE("an exchange that is given up closes its connection") {
  fixture F;
  http::client_settings Settings;
  Settings.Server = {"127.0.0.1", Port};
  http::client Client(F.Io, Settings);
  bool WasCalled = false;
  const http::exchange_id Id =
      Client.send({"GET", "/later", {}, {}},
                  [&](const http::exchange_result &) { WasCalled = true; });
  F.Io.run_for(std::chrono::milliseconds(50));
  REQUIRE(Client.open() == 1);
  Client.cancel(Id);
  CHECK(Client.open() == 0);
  F.Io.restart();
  F.Io.run_for(std::chrono::milliseconds(50));
  CHECK(!WasCalled);
}

TEST_CASE("a client that leaves is told to the handler") {
  class leaving_handler final : public http::handler {
  public:
    void handle(http::request Request, http::responder) override {
      Asked = Request.Token;
    }
    void onClientDisconnected(http::request_token Token) override {
      Left = Token;
    }
    http::request_token Asked = 0;
    http::request_token Left = 0;
  };
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  leaving_handler Handler;
  http::server_settings Settings;
  Settings.Listen = {"127.0.0.1", Port};
  Settings.CancelOnDisconnect = true;
  http::server Server(Io, Settings, Handler, Metrics);
  REQUIRE(Server.start());
  {
    tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::asio::write(Socket, boost::asio::buffer(std::string(
                                   "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    Io.run_for(std::chrono::milliseconds(50));
    REQUIRE(Handler.Asked != 0);
    CHECK(Handler.Left == 0);
  }
  Io.restart();
  Io.run_for(std::chrono::milliseconds(50));
  CHECK(Handler.Left == Handler.Asked);
}

TEST_CASE("before a stop each answer is the last of its connection") {
  fixture F;
  F.Server.closeAfterResponses();
  const std::string Got =
      F.talk("GET /one HTTP/1.1\r\nHost: x\r\n\r\n", 100'000);
  CHECK(Got.find("Connection: close") != std::string::npos);
  CHECK(Got.find("/one") != std::string::npos);
}

TEST_CASE("a connection rests for less than its server announces") {
  http::idle_limit Limit;
  const instant Now{1000};
  CHECK(Limit.value(Now) > millis{2000});
  Limit.onAnnounced({15'000});
  CHECK(Limit.value(Now) == millis{14'000});
  Limit.onAnnounced({1000});
  CHECK(Limit.value(Now) == millis{500});
}

TEST_CASE("a forgotten connection makes others rest for less, for a while") {
  http::idle_limit Limit;
  Limit.onAnnounced({15'000});
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

/// Answers each request and drops each connection that has rested for too long
/// as soon as it is used again.
class forgetful_server {
public:
  forgetful_server()
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

  void read(std::shared_ptr<client_connection> Each) {
    Each->Socket.async_read_some(
        boost::asio::buffer(Each->Bytes), [this, Each](auto Error, auto) {
          const auto Now = std::chrono::steady_clock::now();
          if (Error || Now - Each->LastUse > std::chrono::milliseconds(150))
            return; // closes
          Each->LastUse = Now;
          boost::asio::write(Each->Socket,
                             boost::asio::buffer(responseWith("1", "ok")));
          read(Each);
        });
  }

  tcp::acceptor Acceptor;
};

} // namespace

TEST_CASE("a request on a forgotten connection is told so, and the next one "
          "takes a new connection") {
  forgetful_server Server;
  http::client Client(Server.Io, echoing());
  CHECK(exchange(Client, Server.Io, "1").Status == http::exchange_status::done);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(exchange(Client, Server.Io, "1").Status ==
        http::exchange_status::stale_connection);
  CHECK(exchange(Client, Server.Io, "1").Status == http::exchange_status::done);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(exchange(Client, Server.Io, "1").Status == http::exchange_status::done);
  CHECK(Server.Connections == 3);
}

TEST_CASE("an exchange that wants a fresh connection takes no rested one") {
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
  REQUIRE(Send(http::connection_choice::fresh)); // it was in use just before
  CHECK(Client.open() == 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  REQUIRE(Send(http::connection_choice::fresh));
  CHECK(Client.open() == 1);
}

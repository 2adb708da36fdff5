/// bulrush-exchange: measures the CPU time of an HTTP exchange between a plain
/// Beast client and server, the reference for the cost of a sub-request.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Answers every request with a small body until the client closes.
class server_session : public std::enable_shared_from_this<server_session> {
public:
  explicit server_session(tcp::socket Socket) : Socket(std::move(Socket)) {
    Response.set(http::field::content_type, "application/json");
    Response.set("Bulrush-Outcome", "answered");
    Response.set("Bulrush-Snapshot", "1");
    Response.set("Bulrush-Shard", "3");
    Response.body() = R"({"shard":3,"snapshot":1,"endpoint":12,"token":"t"})";
    Response.prepare_payload();
  }

  void read() {
    Request = {};
    http::async_read(
        Socket, Buffer, Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->write();
        });
  }

private:
  void write() {
    http::async_write(
        Socket, Response,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->read();
        });
  }

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

/// Sends `Count` requests, each after the response to the previous one.
class client_session : public std::enable_shared_from_this<client_session> {
public:
  client_session(tcp::socket Socket, std::uint64_t Count)
      : Socket(std::move(Socket)), Remaining(Count) {
    Request.method(http::verb::post);
    Request.target("/v1/search");
    Request.version(11);
    Request.set(http::field::host, "127.0.0.1");
    Request.set("Bulrush-Request", "1-1-1");
    Request.set("Bulrush-Query", "1-1-1");
    Request.set("Bulrush-Attempt", "0");
    Request.set("Bulrush-Snapshot", "1");
    Request.set("Bulrush-Shard", "3");
    Request.set("Bulrush-Deadline-Ms", "50");
    Request.body() = R"({"query":"free-bay","token":"t"})";
    Request.prepare_payload();
  }

  void write() {
    if (Remaining == 0)
      return;
    --Remaining;
    http::async_write(
        Socket, Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->read();
        });
  }

private:
  void read() {
    Response = {};
    http::async_read(
        Socket, Buffer, Response,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->write();
        });
  }

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  std::uint64_t Remaining;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

/// CPU time of the calling thread in microseconds.
double threadCpuMicros() {
  rusage Usage{};
  getrusage(RUSAGE_THREAD, &Usage);
  const auto Micros = [](const timeval &T) {
    return T.tv_sec * 1e6 + T.tv_usec;
  };
  return Micros(Usage.ru_utime) + Micros(Usage.ru_stime);
}

/// CPU time per exchange in microseconds.
struct cpu_time {
  double ClientMicros = 0;
  double ServerMicros = 0;
};

cpu_time measure(std::size_t Connections, std::uint64_t Exchanges) {
  asio::io_context ServerIo(1);
  asio::io_context ClientIo(1);
  tcp::acceptor Acceptor(ServerIo, {asio::ip::make_address("127.0.0.1"), 0});
  const std::uint64_t PerConnection = Exchanges / Connections;
  for (std::size_t I = 0; I < Connections; ++I) {
    tcp::socket Client(ClientIo);
    Client.connect(Acceptor.local_endpoint());
    Client.set_option(tcp::no_delay(true));
    tcp::socket Server = Acceptor.accept();
    Server.set_option(tcp::no_delay(true));
    std::make_shared<server_session>(std::move(Server))->read();
    std::make_shared<client_session>(std::move(Client), PerConnection)->write();
  }
  cpu_time CpuTime;
  const double Count = static_cast<double>(PerConnection * Connections);
  std::thread ServerThread([&] {
    const double Before = threadCpuMicros();
    ServerIo.run();
    CpuTime.ServerMicros = (threadCpuMicros() - Before) / Count;
  });
  const double Before = threadCpuMicros();
  ClientIo.run();
  CpuTime.ClientMicros = (threadCpuMicros() - Before) / Count;
  ServerThread.join();
  return CpuTime;
}

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Prints the CPU time of one keep-alive HTTP exchange "
                      "between a plain Beast client and server.",
                      ' ', "0.1.0");
  TCLAP::ValueArg<std::size_t> Connections("c", "connections", "connections",
                                           false, 4, "number", Line);
  TCLAP::ValueArg<std::uint64_t> Exchanges("n", "exchanges", "exchanges", false,
                                           100'000, "number", Line);
  Line.parse(Count, Arguments);
  const cpu_time CpuTime =
      measure(Connections.getValue(), Exchanges.getValue());
  std::cout << nlohmann::json{{"clientMicros", CpuTime.ClientMicros},
                              {"serverMicros", CpuTime.ServerMicros}}
                   .dump()
            << std::endl;
  return 0;
}

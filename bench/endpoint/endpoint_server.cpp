#include "endpoint_server.h"

#include "endpoint_messages.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <unordered_map>

namespace bulrush::bench {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Pause after an accept that failed.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);
using boost::system::error_code;
using http_request = http::request<http::string_body>;

std::chrono::steady_clock::time_point toTimePoint(instant Point) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double, std::milli>(Point.Ms)));
}

class session;

/// The interface of the server that its sessions use.
class session_host {
public:
  virtual ~session_host() = default;
  /// Handles a request. Calls `reply` exactly once, now or later, unless the
  /// reply is dropped.
  virtual void handle(session &Session, const http_request &Request) = 0;
  /// Called after the connection was closed by the client or by an error.
  virtual void onClosed(connection_id Connection) = 0;
};

/// One client connection. It keeps reading while a reply is pending, to detect
/// that the client closes the connection.
class session : public std::enable_shared_from_this<session> {
public:
  session(tcp::socket Socket, connection_id Id, session_host &Host)
      : Socket(std::move(Socket)), Delay(this->Socket.get_executor()), Id(Id),
        Host(&Host) {}

  connection_id id() const { return Id; }

  /// Starts reading requests after the delay `After`.
  void serveAfter(millis After) {
    Delay.expires_after(std::chrono::microseconds(
        static_cast<std::int64_t>(After.Count * 1000)));
    Delay.async_wait([Self = shared_from_this()](error_code Error) {
      if (!Error)
        Self->read();
    });
  }

  /// Sends the reply to the request that is being handled.
  void reply(std::string Response) {
    Writing = std::move(Response);
    asio::async_write(
        Socket, asio::buffer(Writing),
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onWritten(Error);
        });
  }

  /// Closes the connection with a TCP reset, without a call of `onClosed`.
  void reset() {
    Host = nullptr;
    Delay.cancel();
    error_code Ignored;
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }

private:
  void read() {
    Request = {};
    http::async_read(
        Socket, Buffer, Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onRead(Error);
        });
  }

  void onRead(error_code Error) {
    if (Error) {
      close();
      return;
    }
    if (IsHandling) {
      HasNextRequest = true;
      return;
    }
    handleRequest();
  }

  void handleRequest() {
    if (Host == nullptr)
      return;
    IsHandling = true;
    const http_request Current = std::move(Request);
    Host->handle(*this, Current);
    if (Host != nullptr)
      read();
  }

  void onWritten(error_code Error) {
    if (Error) {
      close();
      return;
    }
    IsHandling = false;
    if (!HasNextRequest)
      return;
    HasNextRequest = false;
    handleRequest();
  }

  void close() {
    if (Host == nullptr)
      return;
    session_host *ClosedHost = Host;
    Host = nullptr;
    error_code Ignored;
    Socket.close(Ignored);
    ClosedHost->onClosed(Id);
  }

  tcp::socket Socket;
  asio::steady_timer Delay;
  connection_id Id;
  session_host *Host; ///< null after the connection was closed
  boost::beast::flat_buffer Buffer;
  http_request Request;
  std::string Writing;
  bool IsHandling = false;
  bool HasNextRequest = false;
};

/// The destination of a reply that the model has not sent yet.
struct pending_reply {
  connection_id Connection;
  request_echo Echo;
};

} // namespace

struct endpoint_server::impl final : session_host {
  asio::io_context &Io;
  endpoint Endpoint;
  steady_clock_source Clock;
  endpoint_model Model;
  tcp::acceptor Acceptor;
  asio::steady_timer Timer;
  asio::steady_timer AcceptTimer;
  instant TimerDue = Never;
  std::unordered_map<connection_id, std::shared_ptr<session>> Sessions;
  std::unordered_map<exchange_id, pending_reply> PendingReplies;
  std::uint64_t LastNumber = 0;

  impl(asio::io_context &Io, endpoint Endpoint,
       const endpoint_behaviour &Behaviour, std::uint64_t Seed)
      : Io(Io), Endpoint(std::move(Endpoint)),
        Model(Behaviour, Seed, Clock.now()), Acceptor(Io), Timer(Io),
        AcceptTimer(Io) {}

  expected<void> start() {
    error_code Error;
    const auto Host = asio::ip::make_address(Endpoint.Address.Host, Error);
    if (!Error)
      listen({Host, Endpoint.Address.Port}, Error);
    if (Error)
      return fail("endpoint " + std::to_string(Endpoint.Id.Value) + " at " +
                  Endpoint.Address.Host + ":" +
                  std::to_string(Endpoint.Address.Port) + ": " +
                  Error.message());
    accept();
    return {};
  }

  void listen(const tcp::endpoint &Address, error_code &Error) {
    Acceptor.open(Address.protocol(), Error);
    if (!Error)
      Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
    if (!Error)
      Acceptor.bind(Address, Error);
    if (!Error)
      Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  }

  void accept() {
    Acceptor.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (!Error)
        onAccepted(std::move(Socket));
      if (Error)
        acceptLater();
      else
        accept();
    });
  }

  /// Pauses after a failure, such as for want of descriptors.
  void acceptLater() {
    AcceptTimer.expires_after(AcceptRetryDelay);
    AcceptTimer.async_wait([this](error_code Error) {
      if (!Error)
        accept();
    });
  }

  void onAccepted(tcp::socket Socket) {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const connection_id Id{++LastNumber};
    Sessions.emplace(Id,
                     std::make_shared<session>(std::move(Socket), Id, *this));
    step(connection_opened{Id});
  }

  void onClosed(connection_id Connection) override {
    Sessions.erase(Connection);
    step(connection_closed{Connection});
  }

  void handle(session &Session, const http_request &Request) override {
    const auto Target = Request.target();
    if (Target == "/v1/search")
      run(Session, Request, false);
    else if (Target == "/v1/command")
      run(Session, Request, true);
    else if (Target == "/v1/cancel")
      cancel(Session, Request);
    else if (Target == "/v1/health")
      Session.reply(formatHealth(Model.health(Clock.now())));
    else
      Session.reply(formatPlain("404 Not Found", "{}"));
  }

  void run(session &Session, const http_request &Request, bool IsCommand) {
    auto Parsed = parseRequest(Request, IsCommand);
    if (!Parsed) {
      Session.reply(formatPlain(
          "400 Bad Request", "{\"error\":\"" + Parsed.error().Message + "\"}"));
      return;
    }
    Parsed->Exchange = exchange_id{++LastNumber};
    PendingReplies.emplace(Parsed->Exchange,
                           pending_reply{Session.id(),
                                         {Parsed->Snapshot, Parsed->Shard,
                                          extractToken(Request.body())}});
    step(*Parsed);
  }

  void cancel(session &Session, const http_request &Request) {
    const auto Name = Request["Bulrush-Request"];
    Session.reply(formatPlain("200 OK", "{}"));
    step(cancel_arrived{std::string(Name.data(), Name.size())});
  }

  void step(const event &Event) {
    std::vector<action> Out;
    Model.step(Event, Clock.now(), Out);
    for (const action &Action : Out)
      std::visit([this](const auto &A) { perform(A); }, Action);
    armTimer();
  }

  void perform(const send_reply &Reply) {
    const auto Found = PendingReplies.find(Reply.Exchange);
    if (Found == PendingReplies.end())
      return;
    const pending_reply Pending = std::move(Found->second);
    PendingReplies.erase(Found);
    const auto Session = Sessions.find(Pending.Connection);
    if (Session != Sessions.end())
      Session->second->reply(formatReply(Reply, Pending.Echo, Endpoint.Id));
  }

  void perform(const drop_reply &Lost) { PendingReplies.erase(Lost.Exchange); }

  void perform(const serve_connection &Serve) {
    const auto Session = Sessions.find(Serve.Connection);
    if (Session != Sessions.end())
      Session->second->serveAfter(Serve.After);
  }

  void perform(const refuse_connection &Refuse) {
    const auto Session = Sessions.find(Refuse.Connection);
    if (Session == Sessions.end())
      return;
    Session->second->reset();
    Sessions.erase(Session);
  }

  void perform(const reset_connections &) {
    for (auto &[Id, Session] : Sessions)
      Session->reset();
    Sessions.clear();
    PendingReplies.clear();
  }

  void armTimer() {
    const instant Next = Model.nextTimer();
    if (Next == TimerDue)
      return;
    TimerDue = Next;
    if (Next == Never) {
      Timer.cancel();
      return;
    }
    Timer.expires_at(toTimePoint(Next));
    Timer.async_wait([this](error_code Error) {
      if (Error)
        return;
      TimerDue = Never;
      step(timer_expired{});
    });
  }
};

endpoint_server::endpoint_server(asio::io_context &Io, endpoint Endpoint,
                                 const endpoint_behaviour &Behaviour,
                                 std::uint64_t Seed)
    : Impl(std::make_shared<impl>(Io, std::move(Endpoint), Behaviour, Seed)) {}
endpoint_server::~endpoint_server() = default;

expected<void> endpoint_server::start() { return Impl->start(); }
void endpoint_server::apply(const event &Event) { Impl->step(Event); }
const endpoint_model &endpoint_server::model() const { return Impl->Model; }
const endpoint &endpoint_server::description() const { return Impl->Endpoint; }

double wallClockAtZero() {
  using namespace std::chrono;
  const duration<double, std::milli> Wall =
      system_clock::now().time_since_epoch();
  return Wall.count() - steady_clock_source{}.now().Ms;
}

} // namespace bulrush::bench

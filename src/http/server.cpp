#include "http/server.h"

#include "http/detail.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <netinet/tcp.h>
#include <optional>
#include <unordered_set>

namespace bulrush::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using parser = beast::http::request_parser<beast::http::string_body>;
using wire_response = beast::http::response<beast::http::string_body>;

constexpr auto SweepInterval = std::chrono::milliseconds(500);
constexpr int ListenBacklog = 1024;

/// The smoothed round-trip time measured by the kernel; 0 if unavailable.
millis roundTripTime(tcp::socket &Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  if (::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0)
    return {};
  return {static_cast<double>(Info.tcpi_rtt) / 1000}; // microseconds
}

} // namespace

class session;

struct detail::server_state {
  asio::io_context &Io;
  server_settings Settings;
  handler &Handler;
  telemetry::metrics &Metrics;
  tcp::acceptor Acceptor;
  asio::steady_timer SweepTimer;
  std::unordered_set<std::shared_ptr<session>> Sessions;
  std::size_t InFlightRequests = 0;
  request_token LastToken = 0;
  bool ClosesAfterResponses = false;

  server_state(asio::io_context &Io, server_settings Settings, handler &Handler,
               telemetry::metrics &Metrics)
      : Io(Io), Settings(std::move(Settings)), Handler(Handler),
        Metrics(Metrics), Acceptor(Io), SweepTimer(Io) {}
};

/// One connection of a client.
class session : public std::enable_shared_from_this<session> {
public:
  session(tcp::socket Socket, std::weak_ptr<detail::server_state> Server)
      : Socket(std::move(Socket)), Server(std::move(Server)),
        LastActivity(std::chrono::steady_clock::now()) {}

  void start() { readNext(); }

  void close() {
    if (IsClosed)
      return;
    IsClosed = true;
    error_code Ignored;
    Socket.close(Ignored);
    const auto Owner = Server.lock();
    if (!Owner)
      return;
    Owner->InFlightRequests -= Pending.size();
    if (Owner->Settings.CancelOnDisconnect)
      for (const response_slot &Slot : Pending)
        if (Slot.Token != 0 && !Slot.Response)
          Owner->Handler.onClientDisconnected(Slot.Token);
    Owner->Sessions.erase(shared_from_this());
  }

  bool isOverdue(const server_settings &Settings) const {
    const auto SinceActivity = std::chrono::steady_clock::now() - LastActivity;
    if (IsWriting)
      return SinceActivity > detail::toChrono(Settings.WriteTimeout);
    return Pending.empty() &&
           SinceActivity > detail::toChrono(Settings.IdleTimeout);
  }

  bool isIdle() const { return Pending.empty() && !IsWriting; }

private:
  /// A request's response, queued in the order of the requests.
  struct response_slot {
    std::uint64_t Number = 0;
    request_token Token = 0;
    bool KeepAlive = true;
    unsigned Version = 11;
    std::optional<response> Response;
  };

  void readNext() {
    const auto Owner = Server.lock();
    if (!Owner || IsClosed || IsReadFinished)
      return;
    if (Pending.size() >= Owner->Settings.MaxPipelined)
      return;
    IsReading = true;
    Parser.emplace();
    Parser->body_limit(Owner->Settings.MaxBodyBytes);
    Parser->header_limit(
        static_cast<std::uint32_t>(Owner->Settings.MaxHeaderBytes));
    beast::http::async_read(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onRead(Error);
        });
  }

  void onRead(error_code Error) {
    IsReading = false;
    const auto Owner = Server.lock();
    if (!Owner || IsClosed)
      return;
    LastActivity = std::chrono::steady_clock::now();
    if (Error) {
      onReadError(*Owner, Error);
      return;
    }
    auto Message = Parser->release();
    const bool KeepAlive = Message.keep_alive();
    IsReadFinished = !KeepAlive;
    const std::uint64_t Number = addSlot(*Owner, KeepAlive, Message.version());
    Pending.back().Token = ++Owner->LastToken;
    request Request{detail::toString(Message.method_string()),
                    detail::toString(Message.target()),
                    detail::copyHeaders(Message),
                    std::move(Message.body()),
                    Owner->LastToken,
                    roundTripTime(Socket),
                    Number == 0};
    Owner->Handler.handle(std::move(Request),
                          [Weak = weak_from_this(), Number](response Response) {
                            if (const auto Self = Weak.lock())
                              Self->setResponse(Number, std::move(Response));
                          });
    readNext();
  }

  void onReadError(detail::server_state &Owner, error_code Error) {
    using beast::http::error;
    const bool IsParseError =
        Error.category() ==
        beast::http::make_error_code(error::end_of_stream).category();
    if (!IsParseError || Error == error::end_of_stream ||
        Error == error::partial_message) {
      if (Owner.Settings.CancelOnDisconnect)
        close();
      else
        finishReading();
      return;
    }
    response Response;
    Response.Status = 400;
    if (Error == error::body_limit)
      Response.Status = 413;
    if (Error == error::header_limit)
      Response.Status = 431;
    Owner.Metrics.add("http_refused", std::to_string(Response.Status));
    Response.Body =
        R"({"outcome":"not_run","reason":"bad_request","message":")" +
        Error.message() + "\"}";
    IsReadFinished = true;
    setResponse(addSlot(Owner, false, 11), std::move(Response));
  }

  /// Reads no more requests; pending responses are still written.
  void finishReading() {
    IsReadFinished = true;
    if (Pending.empty())
      close();
  }

  std::uint64_t addSlot(detail::server_state &Owner, bool KeepAlive,
                        unsigned Version) {
    ++Owner.InFlightRequests;
    response_slot &Slot = Pending.emplace_back();
    Slot.Number = NextNumber++;
    Slot.KeepAlive = KeepAlive;
    Slot.Version = Version;
    return Slot.Number;
  }

  void setResponse(std::uint64_t Number, response Response) {
    if (IsClosed || Pending.empty() || Number < Pending.front().Number)
      return;
    response_slot &Slot = Pending[Number - Pending.front().Number];
    Slot.Response = std::move(Response);
    writeNext();
  }

  void writeNext() {
    if (IsWriting || IsClosed || Pending.empty() || !Pending.front().Response)
      return;
    IsWriting = true;
    LastActivity = std::chrono::steady_clock::now();
    response_slot &Slot = Pending.front();
    const auto Owner = Server.lock();
    if (Owner && Owner->ClosesAfterResponses)
      Slot.KeepAlive = false;
    WireResponse = {};
    WireResponse.version(Slot.Version);
    WireResponse.result(Slot.Response->Status);
    if (!Slot.Response->ContentType.empty())
      WireResponse.set(beast::http::field::content_type,
                       Slot.Response->ContentType);
    detail::addHeaders(WireResponse, Slot.Response->Headers);
    WireResponse.keep_alive(Slot.KeepAlive);
    WireResponse.body() = std::move(Slot.Response->Body);
    WireResponse.prepare_payload();
    beast::http::async_write(
        Socket, WireResponse,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onWritten(Error);
        });
  }

  void onWritten(error_code Error) {
    IsWriting = false;
    if (IsClosed)
      return;
    LastActivity = std::chrono::steady_clock::now();
    const bool KeepAlive = Pending.front().KeepAlive;
    Pending.pop_front();
    if (const auto Owner = Server.lock())
      --Owner->InFlightRequests;
    const bool IsLast = IsReadFinished && Pending.empty();
    if (Error || !KeepAlive || IsLast) {
      close();
      return;
    }
    writeNext();
    if (!IsReading)
      readNext();
  }

  tcp::socket Socket;
  std::weak_ptr<detail::server_state> Server;
  beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  wire_response WireResponse;
  std::deque<response_slot> Pending;
  std::uint64_t NextNumber = 0;
  std::chrono::steady_clock::time_point LastActivity;
  bool IsReading = false;
  bool IsReadFinished = false;
  bool IsWriting = false;
  bool IsClosed = false;
};

namespace {

void acceptNext(const std::shared_ptr<detail::server_state> &State);

void onAccepted(const std::shared_ptr<detail::server_state> &State,
                error_code Error, tcp::socket Socket) {
  if (Error == asio::error::operation_aborted)
    return;
  const bool IsFull = State->Sessions.size() >= State->Settings.MaxConnections;
  if (IsFull)
    State->Metrics.add("http_refused", "too_many_connections");
  if (!Error && !IsFull) {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto Session = std::make_shared<session>(std::move(Socket), State);
    State->Sessions.insert(Session);
    Session->start();
  }
  acceptNext(State);
}

void acceptNext(const std::shared_ptr<detail::server_state> &State) {
  if (!State->Acceptor.is_open())
    return;
  State->Acceptor.async_accept([State](error_code Error, tcp::socket Socket) {
    onAccepted(State, Error, std::move(Socket));
  });
}

void scheduleSweep(const std::shared_ptr<detail::server_state> &State) {
  State->SweepTimer.expires_after(SweepInterval);
  State->SweepTimer.async_wait([Weak = std::weak_ptr(State)](error_code Error) {
    const auto State = Weak.lock();
    if (Error || !State)
      return;
    std::vector<std::shared_ptr<session>> Overdue;
    for (const auto &Session : State->Sessions)
      if (Session->isOverdue(State->Settings))
        Overdue.push_back(Session);
    for (const auto &Session : Overdue) {
      State->Metrics.add("http_closed", "timeout");
      Session->close();
    }
    scheduleSweep(State);
  });
}

} // namespace

server::server(asio::io_context &Io, server_settings Settings, handler &Handler,
               telemetry::metrics &Metrics)
    : State(std::make_shared<detail::server_state>(Io, std::move(Settings),
                                                   Handler, Metrics)) {}

server::~server() {
  error_code Ignored;
  State->Acceptor.close(Ignored);
  State->SweepTimer.cancel();
  const auto Sessions = State->Sessions;
  for (const auto &Session : Sessions)
    Session->close();
}

expected<void> server::start() {
  const address &Listen = State->Settings.Listen;
  const std::string Name = Listen.Host + ':' + std::to_string(Listen.Port);
  error_code Error;
  const auto Ip = asio::ip::make_address(Listen.Host, Error);
  if (Error)
    return fail("cannot listen on " + Name + ": not an IP address");
  const tcp::endpoint ListenEndpoint(Ip, Listen.Port);
  State->Acceptor.open(ListenEndpoint.protocol(), Error);
  if (!Error)
    State->Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    State->Acceptor.bind(ListenEndpoint, Error);
  if (!Error)
    State->Acceptor.listen(ListenBacklog, Error);
  if (Error)
    return fail("cannot listen on " + Name + ": " + Error.message());
  acceptNext(State);
  scheduleSweep(State);
  return {};
}

void server::stopAccepting() {
  error_code Ignored;
  State->Acceptor.close(Ignored);
}

void server::closeAfterResponses() { State->ClosesAfterResponses = true; }

void server::closeIdle() {
  const auto Sessions = State->Sessions;
  for (const auto &Session : Sessions)
    if (Session->isIdle())
      Session->close();
}

void server::setLimits(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes,
                       millis IdleTimeout) {
  State->Settings.MaxHeaderBytes = MaxHeaderBytes;
  State->Settings.MaxBodyBytes = MaxBodyBytes;
  State->Settings.IdleTimeout = IdleTimeout;
}

std::size_t server::inFlightRequests() const { return State->InFlightRequests; }

} // namespace bulrush::http

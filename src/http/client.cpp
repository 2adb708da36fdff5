#include "http/client.h"

#include "http/detail.h"
#include "http/idle_limit.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <charconv>
#include <deque>
#include <limits>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_set>

namespace bulrush::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using wire_request = beast::http::request<beast::http::string_body>;
using time_point = std::chrono::steady_clock::time_point;

/// Interim responses and responses to earlier requests skipped in one exchange
/// before the connection is closed.
constexpr unsigned MaxSkipped = 3;
/// A connection idle for less than this counts as recently used.
constexpr millis RecentUseLimit{100};
/// A request on a stale connection is lost within about one round trip.
constexpr millis StaleFailureWindow{150};
/// A connection that remembers this many ids of failed requests is closed.
constexpr std::size_t MaxFailedIds = 64;
/// Bounds the head of a response, and each of its chunk headers, chunk
/// extensions and trailers: the parser buffers these until they are complete.
constexpr std::size_t MaxBufferBytes = std::size_t{16} << 10;
/// Least status of a response after which a request may be sent again.
constexpr unsigned MinFailureStatus = 400;

/// Whether the status is that of an interim response. 101 would need a request
/// to switch protocols.
bool isInterimStatus(unsigned Status) {
  return Status >= 100 && Status < 200 && Status != 101;
}

/// Refuses a response at its head. The library's own limit does not hold for a
/// body of a stated length whose first bytes arrive with the head: its error is
/// overwritten, as parsing goes on unless `eager` is off.
class parser final
    : public beast::http::response_parser<beast::http::string_body> {
public:
  explicit parser(std::size_t MaxBodyBytes) : MaxBodyBytes(MaxBodyBytes) {
    body_limit(std::numeric_limits<std::uint64_t>::max());
  }

private:
  void on_header_impl(error_code &Error) override {
    using beast::http::error;
    Error = {};
    const unsigned Status = get().result_int();
    const bool HasBody = !is_done();
    if (!isFinalStatus(Status) && !isInterimStatus(Status))
      Error = beast::http::make_error_code(error::bad_status);
    else if (HasBody && content_length().value_or(0) > MaxBodyBytes)
      Error = beast::http::make_error_code(error::body_limit);
    else
      body_limit(MaxBodyBytes); // of chunks, or until the connection ends
    if (Error)
      eager(false);
  }

  std::size_t MaxBodyBytes;
};

instant now() { return steady_clock_source().now(); }

/// Parses the `timeout` of a Keep-Alive header, given in whole seconds;
/// returns 0 if there is none.
millis keepAliveTimeout(boost::beast::string_view Header) {
  constexpr char Name[] = "timeout=";
  const auto At = Header.find(Name);
  if (At == boost::beast::string_view::npos)
    return {};
  const boost::beast::string_view Digits = Header.substr(At + sizeof Name - 1);
  unsigned Seconds = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  return {Seconds * 1000.0};
}

/// An exchange that waits for a connection or for its response.
struct exchange {
  exchange_id Id = 0;
  request Request;
  exchange_handler Done;
  connection_choice Choice = connection_choice::any;
  instant SubmittedAt;
  instant SentAt;
};

} // namespace

class connection;
using connection_ptr = std::shared_ptr<connection>;

struct detail::client_state
    : std::enable_shared_from_this<detail::client_state> {
  asio::io_context &Io;
  client_settings Settings;
  tcp::endpoint Server;
  bool IsAddressValid = true;
  asio::steady_timer SweepTimer;
  std::unordered_set<connection_ptr> Connections;
  std::vector<connection_ptr> Idle; ///< the most recently used is last
  std::deque<exchange> Waiting;
  exchange_id LastExchangeId = 0;
  bool IsSweeping = false;
  time_point ConnectBackoffUntil{};
  idle_limit IdleLimit;

  client_state(asio::io_context &Io, client_settings Given)
      : Io(Io), Settings(std::move(Given)), SweepTimer(Io) {
    error_code Error;
    const auto Ip = asio::ip::make_address(Settings.Server.Host, Error);
    IsAddressValid = !Error;
    Server = {Ip, Settings.Server.Port};
  }

  void send(exchange Exchange);
  void cancel(exchange_id Exchange);
  /// Removes and returns the most recently used idle connection that may carry
  /// the exchange; null if there is none.
  connection_ptr takeIdle(const exchange &Exchange);
  /// Returns false if no connection may be opened now.
  bool openConnection();
  bool isBackingOff() const;
  void delayNextConnection();
  void serveStranded();
  /// Whether an open connection may carry the exchange, now or later.
  bool mayBeSent(const exchange &Exchange) const;
  void failStranded();
  bool hasConnected() const;
  void onConnectFailed(const connection_ptr &Connection, error_code Error);
  void release(const connection_ptr &Connection);
  void remove(const connection_ptr &Connection);
  void failOldestWaiting(exchange_status Status);
  void scheduleSweep();
  void closeOverdue();
  void closeSpare(time_point Now);
  bool isIdleTooLong(const connection &Connection,
                     connection_choice Choice) const;
  void postResult(exchange_handler Done, exchange_status Status) {
    asio::post(Io, [Done = std::move(Done), Status] {
      Done({Status, {}, {}, {}});
    });
  }
};

/// A connection that runs one exchange at a time.
class connection : public std::enable_shared_from_this<connection> {
public:
  explicit connection(const std::shared_ptr<detail::client_state> &Owner)
      : Owner(Owner), Socket(Owner->Io) {
    touch();
  }

  void open() {
    const auto Client = Owner.lock();
    Socket.async_connect(Client->Server,
                         [Self = shared_from_this()](error_code Error) {
                           Self->onConnected(Error);
                         });
  }

  void run(exchange Given) {
    Current = std::move(Given);
    Current->SentAt = now();
    Skipped = 0;
    IdleBefore = sinceLastUse();
    touch();
    WireRequest = {};
    WireRequest.version(11);
    WireRequest.method_string(Current->Request.Method);
    WireRequest.target(Current->Request.Target);
    if (!findHeader(Current->Request.Headers, "Host"))
      WireRequest.set(beast::http::field::host, "bulrush");
    detail::addHeaders(WireRequest, Current->Request.Headers);
    WireRequest.body() = std::move(Current->Request.Body);
    WireRequest.prepare_payload();
    beast::http::async_write(
        Socket, WireRequest,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onWritten(Error);
        });
  }

  /// Whether the server closed this connection while it was idle, however
  /// briefly. For an endpoint that is the first sign of a restart.
  bool isClosedByServer() {
    char Byte = 0;
    const ssize_t Got =
        ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void close() {
    error_code Ignored;
    Socket.close(Ignored);
  }

  bool isBusy() const { return Current.has_value(); }
  bool isConnected() const { return IsConnected; }
  bool runs(exchange_id Exchange) const {
    return Current && Current->Id == Exchange;
  }
  /// Whether a late copy of an earlier response cannot be taken for the
  /// response to this exchange: responses are told apart by the id of their
  /// request, so that a failed one is sent again on another connection.
  bool mayCarry(const exchange &Exchange) const {
    if (FailedIds.empty())
      return true;
    const auto Client = Owner.lock();
    const std::string *Id = Client ? findHeader(Exchange.Request.Headers,
                                                Client->Settings.EchoHeader)
                                   : nullptr;
    return !Id || FailedIds.count(*Id) == 0;
  }
  /// Closes the connection without calling the handler of its exchange.
  void abort() {
    Current.reset();
    close();
  }
  time_point lastUse() const { return LastUse; }
  millis sinceLastUse() const {
    const std::chrono::duration<double, std::milli> SinceLastUse =
        std::chrono::steady_clock::now() - LastUse;
    return {SinceLastUse.count()};
  }

private:
  void touch() { LastUse = std::chrono::steady_clock::now(); }

  void onConnected(error_code Error) {
    const auto Client = Owner.lock();
    if (!Client)
      return;
    if (Error) {
      Client->onConnectFailed(shared_from_this(), Error);
      return;
    }
    IsConnected = true;
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    if (Client->Settings.UnackedTimeout > millis{0})
      setUnackedTimeout(Client->Settings.UnackedTimeout);
    Client->release(shared_from_this());
  }

  void setUnackedTimeout(millis Timeout) {
    const auto Value = static_cast<unsigned>(Timeout.Count);
    ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Value,
                 sizeof Value);
  }

  void onWritten(error_code Error) {
    if (!Current)
      return;
    if (Error) {
      finish(exchange_status::lost, {});
      return;
    }
    readResponse();
  }

  void readResponse() {
    const auto Client = Owner.lock();
    Parser.emplace(Client ? Client->Settings.MaxBodyBytes : 0);
    beast::http::async_read(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onRead(Error);
        });
  }

  void onRead(error_code Error) {
    if (!Current)
      return;
    if (Error) {
      finish(statusOf(Error), {});
      return;
    }
    auto Message = Parser->release();
    const bool IsInterim = isInterimStatus(Message.result_int());
    if (IsInterim || isMismatched(Message)) {
      if (++Skipped > MaxSkipped || !Message.keep_alive())
        finish(exchange_status::lost, {});
      else
        readResponse();
      return;
    }
    if (const auto Client = Owner.lock()) {
      const millis KeepAlive =
          keepAliveTimeout(Message[beast::http::field::keep_alive]);
      if (KeepAlive > millis{0})
        Client->IdleLimit.onKeepAliveTimeout(KeepAlive);
    }
    if (Message.result_int() >= MinFailureStatus)
      rememberFailure();
    IsReusable = Message.keep_alive() && Buffer.size() == 0 &&
                 FailedIds.size() < MaxFailedIds;
    response Response;
    Response.Status = Message.result_int();
    Response.Headers = detail::copyHeaders(Message);
    Response.Body = std::move(Message.body());
    finish(exchange_status::done, std::move(Response));
  }

  /// Distinguishes bytes that cannot be parsed from a lost connection.
  static exchange_status statusOf(error_code Error) {
    using beast::http::error;
    const bool IsParseError =
        Error.category() ==
        beast::http::make_error_code(error::end_of_stream).category();
    return IsParseError && Error != error::end_of_stream
               ? exchange_status::malformed_response
               : exchange_status::lost;
  }

  bool isMismatched(
      const beast::http::response<beast::http::string_body> &Message) const {
    const auto Client = Owner.lock();
    if (!Client || Client->Settings.EchoHeader.empty())
      return false;
    return WireRequest[Client->Settings.EchoHeader] !=
           Message[Client->Settings.EchoHeader];
  }

  void rememberFailure() {
    const auto Client = Owner.lock();
    if (!Client || Client->Settings.EchoHeader.empty())
      return;
    const auto Id = WireRequest[Client->Settings.EchoHeader];
    if (!Id.empty())
      FailedIds.emplace(Id.data(), Id.size());
  }

  /// Whether the exchange was lost right after it was sent on a connection
  /// that had been idle.
  bool isStaleConnection(exchange_status Status) const {
    return Status == exchange_status::lost && IdleBefore >= RecentUseLimit &&
           sinceLastUse() <= StaleFailureWindow &&
           !(Parser && Parser->got_some());
  }

  void finish(exchange_status Status, response Response) {
    const bool IsStaleConnection = isStaleConnection(Status);
    touch();
    const auto Self = shared_from_this();
    exchange Finished = std::move(*Current);
    Current.reset();
    if (const auto Client = Owner.lock()) {
      if (Status == exchange_status::lost && IsNew &&
          Client->Connections.size() > 1) {
        Client->delayNextConnection();
        Status = exchange_status::connection_rejected;
      } else if (IsStaleConnection && !IsNew) {
        Client->IdleLimit.onStaleConnection(IdleBefore, now());
        Status = exchange_status::stale_connection;
      }
      if (Status == exchange_status::done && IsReusable)
        Client->release(Self);
      else
        Client->remove(Self);
    }
    IsNew = false;
    Finished.Done({Status, std::move(Response),
                   Finished.SentAt - Finished.SubmittedAt,
                   now() - Finished.SentAt});
  }

  std::weak_ptr<detail::client_state> Owner;
  tcp::socket Socket;
  beast::flat_buffer Buffer{MaxBufferBytes};
  std::optional<parser> Parser;
  wire_request WireRequest;
  std::optional<exchange> Current;
  time_point LastUse;
  millis IdleBefore; ///< idle time before the current exchange
  bool IsReusable = true;
  bool IsConnected = false;
  bool IsNew = true;    ///< no exchange has ended on it yet
  unsigned Skipped = 0; ///< skipped in this exchange
  std::unordered_set<std::string> FailedIds; ///< see `mayCarry`
};

connection_ptr detail::client_state::takeIdle(const exchange &Exchange) {
  const auto Found =
      std::find_if(Idle.rbegin(), Idle.rend(), [&](const connection_ptr &Each) {
        return Each->mayCarry(Exchange);
      });
  if (Found == Idle.rend())
    return nullptr;
  connection_ptr Connection = *Found;
  Idle.erase(std::next(Found).base());
  return Connection;
}

void detail::client_state::send(exchange Exchange) {
  if (!IsAddressValid) {
    postResult(std::move(Exchange.Done), exchange_status::connect_failed);
    return;
  }
  while (const connection_ptr Connection = takeIdle(Exchange)) {
    if (isIdleTooLong(*Connection, Exchange.Choice)) {
      remove(Connection);
      continue;
    }
    if (Connection->isClosedByServer()) {
      remove(Connection);
      if (!Settings.FailWhenClosed)
        continue;
      postResult(std::move(Exchange.Done), exchange_status::connect_failed);
      return;
    }
    Connection->run(std::move(Exchange));
    return;
  }
  const bool HasRoom = Waiting.size() < Settings.MaxWaiting;
  if (!HasRoom || Exchange.Choice == connection_choice::idle) {
    postResult(std::move(Exchange.Done), exchange_status::not_sent);
    return;
  }
  Waiting.push_back(std::move(Exchange));
  if (!openConnection())
    serveStranded();
}

bool detail::client_state::isIdleTooLong(const connection &Connection,
                                         connection_choice Choice) const {
  if (Settings.FailWhenClosed)
    return false;
  const millis IdleTime = Connection.sinceLastUse();
  return IdleTime > IdleLimit.value(now()) ||
         (Choice == connection_choice::fresh && IdleTime > RecentUseLimit);
}

void detail::client_state::cancel(exchange_id Exchange) {
  const auto Found =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [&](const exchange &Each) { return Each.Id == Exchange; });
  if (Found != Waiting.end()) {
    Waiting.erase(Found);
    return;
  }
  for (const connection_ptr &Connection : Connections) {
    if (!Connection->runs(Exchange))
      continue;
    const connection_ptr Aborted = Connection->shared_from_this();
    Aborted->abort();
    remove(Aborted);
    return;
  }
}

void detail::client_state::delayNextConnection() {
  ConnectBackoffUntil = std::chrono::steady_clock::now() +
                        detail::toChrono(Settings.ConnectBackoff);
}

bool detail::client_state::hasConnected() const {
  return std::any_of(
      Connections.begin(), Connections.end(),
      [](const connection_ptr &Each) { return Each->isConnected(); });
}

/// While the server refuses new connections, exchanges wait for one of those
/// that are open.
void detail::client_state::onConnectFailed(const connection_ptr &Connection,
                                           error_code Error) {
  const bool IsRefused = Error == asio::error::connection_refused ||
                         Error == asio::error::connection_reset;
  if (IsRefused && hasConnected()) {
    delayNextConnection();
    remove(Connection);
    return;
  }
  remove(Connection);
  failOldestWaiting(IsRefused ? exchange_status::connect_refused
                              : exchange_status::connect_failed);
}

bool detail::client_state::isBackingOff() const {
  return !Connections.empty() &&
         std::chrono::steady_clock::now() < ConnectBackoffUntil;
}

/// Opens or replaces a connection if the exchange that has waited longest may
/// be sent on none of those that are open. Fails it while the server refuses
/// new connections.
void detail::client_state::serveStranded() {
  if (Waiting.empty() || mayBeSent(Waiting.front()))
    return;
  if (isBackingOff())
    failStranded();
  else if (!openConnection() && !Idle.empty())
    remove(Idle.front()); // opens another one
}

bool detail::client_state::mayBeSent(const exchange &Exchange) const {
  return std::any_of(
      Connections.begin(), Connections.end(),
      [&](const connection_ptr &Each) { return Each->mayCarry(Exchange); });
}

/// Fails the exchanges that may be sent on no open connection.
void detail::client_state::failStranded() {
  std::deque<exchange> Kept;
  for (exchange &Each : std::exchange(Waiting, {})) {
    if (mayBeSent(Each))
      Kept.push_back(std::move(Each));
    else
      postResult(std::move(Each.Done), exchange_status::not_sent);
  }
  Waiting = std::move(Kept);
}

bool detail::client_state::openConnection() {
  if (Connections.size() >= Settings.MaxConnections || isBackingOff())
    return false;
  const auto Connection = std::make_shared<connection>(shared_from_this());
  Connections.insert(Connection);
  Connection->open();
  if (!IsSweeping)
    scheduleSweep();
  return true;
}

void detail::client_state::release(const connection_ptr &Connection) {
  Idle.push_back(Connection);
  serveStranded();
  const auto Free = std::find(Idle.begin(), Idle.end(), Connection);
  const auto Next =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const exchange &Each) {
        return Connection->mayCarry(Each);
      });
  if (Free == Idle.end() || Next == Waiting.end())
    return;
  Idle.erase(Free);
  exchange Exchange = std::move(*Next);
  Waiting.erase(Next);
  Connection->run(std::move(Exchange));
}

void detail::client_state::remove(const connection_ptr &Connection) {
  Connection->close();
  Connections.erase(Connection);
  std::erase(Idle, Connection);
  if (!Waiting.empty() && !openConnection())
    serveStranded();
}

void detail::client_state::failOldestWaiting(exchange_status Status) {
  if (Waiting.empty())
    return;
  const bool MayStillConnect =
      Connections.size() > Waiting.size() && mayBeSent(Waiting.front());
  if (MayStillConnect)
    return;
  exchange First = std::move(Waiting.front());
  Waiting.pop_front();
  postResult(std::move(First.Done), Status);
}

/// Checks the timeouts periodically while there are connections or waiting
/// exchanges.
void detail::client_state::scheduleSweep() {
  IsSweeping = !Connections.empty() || !Waiting.empty();
  if (!IsSweeping)
    return;
  SweepTimer.expires_after(detail::toChrono(Settings.SweepInterval));
  SweepTimer.async_wait([Weak = weak_from_this()](error_code Error) {
    const auto Self = Weak.lock();
    if (Error || !Self)
      return;
    Self->scheduleSweep(); // first, since handlers may throw
    Self->closeOverdue();
  });
}

void detail::client_state::closeOverdue() {
  const auto Now = std::chrono::steady_clock::now();
  const auto Open = Connections;
  for (const connection_ptr &Connection : Open) {
    const auto SinceLastUse = Now - Connection->lastUse();
    const bool IsConnecting = !Connection->isConnected();
    millis Timeout =
        Connection->isBusy() ? Settings.ExchangeTimeout : Settings.IdleTimeout;
    if (IsConnecting && Settings.ConnectTimeout > millis{0})
      Timeout = Settings.ConnectTimeout;
    if (SinceLastUse <= detail::toChrono(Timeout))
      continue;
    if (Connection->isBusy() || IsConnecting)
      Connection->close();
    else
      remove(Connection);
  }
  closeSpare(Now);
}

/// Closes idle connections in excess of `MinIdle`, the least recently used
/// first, since `send` reuses the most recently used.
void detail::client_state::closeSpare(time_point Now) {
  while (Idle.size() > Settings.MinIdle &&
         Now - Idle.front()->lastUse() >
             detail::toChrono(Settings.SpareTimeout))
    remove(Idle.front());
}

client::client(asio::io_context &Io, client_settings Settings)
    : State(std::make_shared<detail::client_state>(Io, std::move(Settings))) {}

client::~client() {
  State->SweepTimer.cancel();
  for (const connection_ptr &Connection : State->Connections)
    Connection->close();
}

exchange_id client::send(request Request, exchange_handler Done,
                         connection_choice Choice) {
  const exchange_id Id = ++State->LastExchangeId;
  State->send({Id, std::move(Request), std::move(Done), Choice, now(), {}});
  return Id;
}

void client::cancel(exchange_id Exchange) { State->cancel(Exchange); }

void client::withdraw() {
  for (exchange &Each : std::exchange(State->Waiting, {}))
    State->postResult(std::move(Each.Done), exchange_status::not_sent);
  closeIdle();
}

void client::setMaxConnections(std::size_t Count) {
  State->Settings.MaxConnections = Count;
  while (State->Connections.size() > Count && !State->Idle.empty())
    State->remove(State->Idle.front());
}

void client::preconnect(std::size_t Count) {
  while (State->Connections.size() < Count && State->openConnection()) {
  }
}

void client::closeIdle() {
  const auto Closing = State->Idle;
  for (const connection_ptr &Connection : Closing)
    State->remove(Connection);
}

std::size_t client::connectionCount() const {
  return State->Connections.size();
}

} // namespace bulrush::http

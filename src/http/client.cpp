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
using parser = beast::http::response_parser<beast::http::string_body>;
using wire_request = beast::http::request<beast::http::string_body>;
using time_point = std::chrono::steady_clock::time_point;

/// Responses of earlier requests that are passed over before a connection is
/// given up.
constexpr unsigned MaxForeign = 3;
/// A connection that rested for less was in use just before.
constexpr millis LeastRest{100};
/// A request on a forgotten connection is lost within a round trip.
constexpr millis ForgottenWithin{150};

instant now() { return steady_clock_source().now(); }

/// The `timeout` of a Keep-Alive header, in whole seconds; 0 when there is
/// none.
millis keptFor(boost::beast::string_view Header) {
  constexpr char Name[] = "timeout=";
  const auto At = Header.find(Name);
  if (At == boost::beast::string_view::npos)
    return {};
  const boost::beast::string_view Digits = Header.substr(At + sizeof Name - 1);
  unsigned Seconds = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  return {Seconds * 1000.0};
}

/// One exchange that waits for a connection or for its response.
struct exchange {
  exchange_id Id = 0;
  request Request;
  exchange_handler Done;
  connection_choice Choice = connection_choice::any;
  instant AskedAt;
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
  asio::steady_timer Sweeper;
  std::unordered_set<connection_ptr> Connections;
  std::vector<connection_ptr> Idle; ///< the last used is taken first
  std::deque<exchange> Waiting;
  exchange_id LastExchange = 0;
  bool IsSweeping = false;
  time_point NoOpenUntil{};
  idle_limit IdleLimit;

  client_state(asio::io_context &Io, client_settings Given)
      : Io(Io), Settings(std::move(Given)), Sweeper(Io) {
    error_code Error;
    const auto Ip = asio::ip::make_address(Settings.Server.Host, Error);
    IsAddressValid = !Error;
    Server = {Ip, Settings.Server.Port};
  }

  void send(exchange Exchange);
  void cancel(exchange_id Exchange);
  void openOne();
  exchange_status turnedAway();
  void release(const connection_ptr &Connection);
  void remove(const connection_ptr &Connection);
  void failWaiting(exchange_status Status);
  void sweep();
  void closeOverdue();
  void closeSpare(time_point Now);
  bool isTooOld(const connection &Connection, connection_choice Choice) const;
  void finishLater(exchange_handler Done, exchange_status Status) {
    asio::post(Io, [Done = std::move(Done), Status] {
      Done({Status, {}, {}, {}});
    });
  }
};

/// One connection; runs one exchange at a time.
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
                           Self->onOpened(Error);
                         });
  }

  void run(exchange Given) {
    Current = std::move(Given);
    Current->SentAt = now();
    Foreign = 0;
    Rested = restedFor();
    touch();
    Out = {};
    Out.version(11);
    Out.method_string(Current->Request.Method);
    Out.target(Current->Request.Target);
    if (!findHeader(Current->Request.Headers, "Host"))
      Out.set(beast::http::field::host, "bulrush");
    detail::putHeaders(Out, Current->Request.Headers);
    Out.body() = std::move(Current->Request.Body);
    Out.prepare_payload();
    beast::http::async_write(
        Socket, Out,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onWritten(Error);
        });
  }

  /// Whether the server has closed this connection while it was idle, however
  /// short: at an endpoint that is the first sign of a restart.
  bool isStale() {
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
  bool isOpened() const { return IsOpened; }
  bool runs(exchange_id Exchange) const {
    return Current && Current->Id == Exchange;
  }
  /// The handler of the exchange under way will not be called.
  void drop() {
    Current.reset();
    close();
  }
  time_point lastUse() const { return LastUse; }
  millis restedFor() const {
    const std::chrono::duration<double, std::milli> Quiet =
        std::chrono::steady_clock::now() - LastUse;
    return {Quiet.count()};
  }

private:
  void touch() { LastUse = std::chrono::steady_clock::now(); }

  void onOpened(error_code Error) {
    const auto Client = Owner.lock();
    if (!Client)
      return;
    if (Error) {
      Client->remove(shared_from_this());
      Client->failWaiting(exchange_status::connect_failed);
      return;
    }
    IsOpened = true;
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    if (Client->Settings.UnackedTimeout > millis{0})
      setSilenceTimeout(Client->Settings.UnackedTimeout);
    Client->release(shared_from_this());
  }

  void setSilenceTimeout(millis Timeout) {
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
    Parser.emplace();
    if (const auto Client = Owner.lock())
      Parser->body_limit(Client->Settings.MaxBodyBytes);
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
    if (isForeign(Message)) {
      if (++Foreign > MaxForeign || !Message.keep_alive())
        finish(exchange_status::lost, {});
      else
        readResponse();
      return;
    }
    if (const auto Client = Owner.lock()) {
      const millis Kept = keptFor(Message[beast::http::field::keep_alive]);
      if (Kept > millis{0})
        Client->IdleLimit.onAnnounced(Kept);
    }
    MayKeep = Message.keep_alive() && Buffer.size() == 0;
    response Response;
    Response.Status = Message.result_int();
    Response.Headers = detail::takeHeaders(Message);
    Response.Body = std::move(Message.body());
    finish(exchange_status::done, std::move(Response));
  }

  /// Bytes that are no response differ from a connection that broke.
  static exchange_status statusOf(error_code Error) {
    using beast::http::error;
    const bool IsParsing =
        Error.category() ==
        beast::http::make_error_code(error::end_of_stream).category();
    return IsParsing && Error != error::end_of_stream
               ? exchange_status::malformed_response
               : exchange_status::lost;
  }

  bool isForeign(
      const beast::http::response<beast::http::string_body> &Message) const {
    const auto Client = Owner.lock();
    if (!Client || Client->Settings.EchoHeader.empty())
      return false;
    const auto Got = Message.find(Client->Settings.EchoHeader);
    if (Got == Message.end())
      return false;
    const auto Sent = Out.find(Client->Settings.EchoHeader);
    return Sent == Out.end() || Sent->value() != Got->value();
  }

  /// Lost at once, on a connection that had rested.
  bool isStaleConnection(exchange_status Status) const {
    return Status == exchange_status::lost && Rested >= LeastRest &&
           restedFor() <= ForgottenWithin && !(Parser && Parser->got_some());
  }

  void finish(exchange_status Status, response Response) {
    const bool IsStaleConnection = isStaleConnection(Status);
    touch();
    const auto Self = shared_from_this();
    exchange Finished = std::move(*Current);
    Current.reset();
    if (const auto Client = Owner.lock()) {
      if (Status == exchange_status::lost && IsNew &&
          Client->Connections.size() > 1)
        Status = Client->turnedAway();
      else if (IsStaleConnection && !IsNew) {
        Client->IdleLimit.onStaleConnection(Rested, now());
        Status = exchange_status::stale_connection;
      }
      if (Status == exchange_status::done && MayKeep)
        Client->release(Self);
      else
        Client->remove(Self);
    }
    IsNew = false;
    Finished.Done({Status, std::move(Response),
                   Finished.SentAt - Finished.AskedAt,
                   now() - Finished.SentAt});
  }

  std::weak_ptr<detail::client_state> Owner;
  tcp::socket Socket;
  beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  wire_request Out;
  std::optional<exchange> Current;
  time_point LastUse;
  millis Rested; ///< before the exchange under way
  bool MayKeep = true;
  bool IsOpened = false;
  bool IsNew = true;    ///< no exchange has ended on it
  unsigned Foreign = 0; ///< responses passed over in this exchange
};

void detail::client_state::send(exchange Exchange) {
  if (!IsAddressValid) {
    finishLater(std::move(Exchange.Done), exchange_status::connect_failed);
    return;
  }
  while (!Idle.empty()) {
    const connection_ptr Chosen = Idle.back();
    Idle.pop_back();
    if (isTooOld(*Chosen, Exchange.Choice)) {
      remove(Chosen);
      continue;
    }
    if (Chosen->isStale()) {
      remove(Chosen);
      if (!Settings.FailWhenClosed)
        continue;
      finishLater(std::move(Exchange.Done), exchange_status::connect_failed);
      return;
    }
    Chosen->run(std::move(Exchange));
    return;
  }
  if (Waiting.size() >= Settings.MaxWaiting) {
    finishLater(std::move(Exchange.Done), exchange_status::not_sent);
    return;
  }
  Waiting.push_back(std::move(Exchange));
  openOne();
}

bool detail::client_state::isTooOld(const connection &Connection,
                                    connection_choice Choice) const {
  if (Settings.FailWhenClosed)
    return false;
  const millis Rested = Connection.restedFor();
  return Rested > IdleLimit.value(now()) ||
         (Choice == connection_choice::fresh && Rested > LeastRest);
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
    const connection_ptr Dropped = Connection->shared_from_this();
    Dropped->drop();
    remove(Dropped);
    return;
  }
}

exchange_status detail::client_state::turnedAway() {
  NoOpenUntil = std::chrono::steady_clock::now() +
                detail::toChrono(Settings.ConnectBackoff);
  return exchange_status::connection_rejected;
}

void detail::client_state::openOne() {
  if (Connections.size() >= Settings.MaxConnections)
    return;
  const bool HasOther = !Connections.empty();
  if (HasOther && std::chrono::steady_clock::now() < NoOpenUntil)
    return;
  const auto Opened = std::make_shared<connection>(shared_from_this());
  Connections.insert(Opened);
  Opened->open();
  if (!IsSweeping)
    sweep();
}

void detail::client_state::release(const connection_ptr &Connection) {
  if (Waiting.empty()) {
    Idle.push_back(Connection);
    return;
  }
  exchange Next = std::move(Waiting.front());
  Waiting.pop_front();
  Connection->run(std::move(Next));
}

void detail::client_state::remove(const connection_ptr &Connection) {
  Connection->close();
  Connections.erase(Connection);
  std::erase(Idle, Connection);
  if (!Waiting.empty())
    openOne();
}

void detail::client_state::failWaiting(exchange_status Status) {
  const bool MayStillConnect = Connections.size() > Waiting.size();
  if (MayStillConnect || Waiting.empty())
    return;
  exchange First = std::move(Waiting.front());
  Waiting.pop_front();
  finishLater(std::move(First.Done), Status);
}

/// Looks at the timeouts for as long as there are connections.
void detail::client_state::sweep() {
  IsSweeping = !Connections.empty() || !Waiting.empty();
  if (!IsSweeping)
    return;
  Sweeper.expires_after(detail::toChrono(Settings.SweepInterval));
  Sweeper.async_wait([Weak = weak_from_this()](error_code Error) {
    const auto Self = Weak.lock();
    if (Error || !Self)
      return;
    Self->closeOverdue();
    Self->sweep();
  });
}

void detail::client_state::closeOverdue() {
  const auto Now = std::chrono::steady_clock::now();
  const auto Open = Connections;
  for (const connection_ptr &Connection : Open) {
    const auto Quiet = Now - Connection->lastUse();
    const bool IsOpening = !Connection->isOpened();
    millis Bound =
        Connection->isBusy() ? Settings.ExchangeTimeout : Settings.IdleTimeout;
    if (IsOpening && Settings.ConnectTimeout > millis{0})
      Bound = Settings.ConnectTimeout;
    if (Quiet <= detail::toChrono(Bound))
      continue;
    if (Connection->isBusy() || IsOpening)
      Connection->close();
    else
      remove(Connection);
  }
  closeSpare(Now);
}

/// The last used are kept: they are taken first.
void detail::client_state::closeSpare(time_point Now) {
  while (Idle.size() > Settings.MinIdle &&
         Now - Idle.front()->lastUse() >
             detail::toChrono(Settings.SpareTimeout))
    remove(Idle.front());
}

client::client(asio::io_context &Io, client_settings Settings)
    : State(std::make_shared<detail::client_state>(Io, std::move(Settings))) {}

client::~client() {
  State->Sweeper.cancel();
  for (const connection_ptr &Connection : State->Connections)
    Connection->close();
}

exchange_id client::send(request Request, exchange_handler Done,
                         connection_choice Choice) {
  const exchange_id Id = ++State->LastExchange;
  State->send({Id, std::move(Request), std::move(Done), Choice, now(), {}});
  return Id;
}

void client::cancel(exchange_id Exchange) { State->cancel(Exchange); }

void client::setMaxConnections(std::size_t Count) {
  State->Settings.MaxConnections = Count;
  while (State->Connections.size() > Count && !State->Idle.empty())
    State->remove(State->Idle.front());
}

void client::preconnect(std::size_t Count) {
  while (State->Connections.size() < Count &&
         State->Connections.size() < State->Settings.MaxConnections)
    State->openOne();
}

void client::closeIdle() {
  const auto Closing = State->Idle;
  for (const connection_ptr &Connection : Closing)
    State->remove(Connection);
}

std::size_t client::open() const { return State->Connections.size(); }

} // namespace bulrush::http

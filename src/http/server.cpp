#include "http/server.h"

#include "http/detail.h"
#include "http/listener.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <list>
#include <netinet/tcp.h>
#include <optional>
#include <unordered_set>
#include <utility>

namespace bulrush::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using parser = beast::http::request_parser<beast::http::string_body>;
using wire_response = beast::http::response<beast::http::string_body>;
using serializer = beast::http::response_serializer<beast::http::string_body>;

constexpr auto SweepInterval = std::chrono::milliseconds(500);
/// Share of the idle timeout that clients are told.
constexpr double AnnouncedIdleShare = 0.8;
/// How long a connection whose last response was sent waits for the client to
/// close it.
constexpr millis CloseTimeout{1000};
constexpr std::size_t MinReadBytes = 512;
/// A connection without a request frees a larger input buffer.
constexpr std::size_t MaxIdleBufferBytes = 4096;
/// Part of the budget of memory that one connection may take before it reads
/// no further requests.
constexpr std::size_t ConnectionShare = 8;
constexpr millis MemoryLogInterval{1000};
/// An upload that takes longer gives way to another one.
constexpr std::chrono::seconds SlowUploadTime{3};
/// Bytes that the kernel takes of a response beyond those on their way to the
/// client. What it takes is not in the budget of memory.
constexpr int MaxUnsentBytes = 128 << 10;
/// A connection that has waited for a request for less time is not closed for a
/// new one.
constexpr millis MinIdleTime{1000};
/// The same for a connection on which nothing has arrived yet, and for one in
/// the middle of a request.
constexpr millis MinUnusedTime{200};
constexpr millis MinStallTime{3000};
/// Silent connections that are looked at for one that gives way.
constexpr std::size_t MaxCandidates = 16;
/// Memory for each field of a head and each request beside their text.
constexpr std::size_t BytesPerField = 160;
constexpr std::size_t BytesPerRequest = 2048;
/// Input beyond the size limit of a head that a connection may hold: a chunk
/// header, or the trailers of a request.
constexpr std::size_t MaxFramingBytes = 4096;
/// Largest size on the wire of one byte of content, in a chunk of its own.
constexpr std::size_t MaxBytesPerContentByte = 8;
/// In seconds, for requests whose body does not fit beside others.
constexpr char BodyRetryAfter[] = "1";

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
  std::optional<listener> Listener; ///< set by `server::start`
  asio::steady_timer SweepTimer;
  std::unordered_set<std::shared_ptr<session>> Sessions;
  /// Those without an unanswered request, the one that has been silent for
  /// longest first.
  std::list<session *> IdleSessions;
  /// Those with a body in `TotalBodyBytes` that is being read, in the order in
  /// which they began.
  std::list<session *> Uploads;
  std::size_t InFlightRequests = 0;
  std::size_t TotalBodyBytes = 0; ///< see `MaxTotalBodyBytes`
  request_token LastToken = 0;
  bool ClosesAfterResponses = false;
  std::shared_ptr<memory_budget> Budget;
  steady_clock_source Clock;
  std::optional<instant> MemoryLoggedAt;

  server_state(asio::io_context &Io, server_settings Settings, handler &Handler,
               telemetry::metrics &Metrics)
      : Io(Io), Settings(std::move(Settings)), Handler(Handler),
        Metrics(Metrics), SweepTimer(Io), Budget(this->Settings.Budget) {
    if (!Budget)
      Budget = std::make_shared<memory_budget>(DefaultMemoryBytes);
  }

  /// Counts a request that is refused, or a connection that is closed, as
  /// memory is short.
  void onMemoryShort(const char *Metric) {
    Metrics.add(Metric, "memory");
    const instant Now = Clock.now();
    if (MemoryLoggedAt && Now - *MemoryLoggedAt < MemoryLogInterval)
      return;
    MemoryLoggedAt = Now;
    telemetry::logEvent(telemetry::severity::warning, "http_memory_short",
                        {{"action", Metric},
                         {"used_bytes", Budget->usedBytes()},
                         {"max_bytes", Budget->maxBytes()},
                         {"connections", Sessions.size()}});
  }
};

/// One connection of a client.
class session : public std::enable_shared_from_this<session>,
                public memory_holder {
public:
  session(tcp::socket Socket,
          const std::shared_ptr<detail::server_state> &Server)
      : Socket(std::move(Socket)), Server(Server),
        Memory(Server->Budget, *this),
        LastActivity(std::chrono::steady_clock::now()),
        LastInput(LastActivity) {}

  void start() {
    if (const auto Owner = Server.lock())
      setIdle(*Owner, true);
    readNext();
  }

  void close() {
    if (IsClosed)
      return;
    IsClosed = true;
    error_code Ignored;
    Socket.close(Ignored);
    const auto Owner = Server.lock();
    if (!Owner)
      return;
    Memory.release();
    setIdle(*Owner, false);
    Owner->InFlightRequests -= Pending.size();
    endUpload(*Owner);
    for (const response_slot &Slot : Pending)
      Owner->TotalBodyBytes -= Slot.BodyBytes;
    const auto Self = shared_from_this();
    Owner->Sessions.erase(Self); // first, since the handler may throw
    if (Owner->Settings.CancelOnDisconnect)
      for (const response_slot &Slot : Pending)
        if (Slot.Token != 0 && !Slot.Response)
          Owner->Handler.onClientDisconnected(Slot.Token);
  }

  void evict() override {
    if (const auto Owner = Server.lock())
      Owner->onMemoryShort("http_closed");
    const auto Self = shared_from_this();
    close();
  }

  bool isOverdue(const server_settings &Settings) const {
    const auto SinceActivity = std::chrono::steady_clock::now() - LastActivity;
    if (IsSendingFinished)
      return SinceActivity > detail::toChrono(CloseTimeout);
    if (IsWriting)
      return SinceActivity > detail::toChrono(Settings.WriteTimeout);
    return Pending.empty() &&
           SinceActivity > detail::toChrono(Settings.IdleTimeout);
  }

  bool isIdle() const {
    return Pending.empty() && !IsWriting && !IsSendingFinished;
  }

  /// Whether it may be closed in favour of a new connection.
  bool givesWay() const {
    error_code Ignored;
    if (!IsSendingFinished && Socket.available(Ignored) > 0)
      return false;
    millis MinSilence = MinIdleTime;
    if (IsSendingFinished || isUnused())
      MinSilence = {};
    else if (hasInput())
      MinSilence = MinStallTime;
    return std::chrono::steady_clock::now() - LastInput >=
           detail::toChrono(MinSilence);
  }

  /// Whether the client has sent nothing yet, for some time.
  bool isUnused() const {
    return NextNumber == 0 && !hasInput() &&
           std::chrono::steady_clock::now() - LastInput >=
               detail::toChrono(MinUnusedTime);
  }

  /// Whether bytes of a further request have arrived.
  bool hasInput() const {
    error_code Ignored;
    const bool IsPartlyRead = IsReading && Parser && Parser->got_some();
    return IsPartlyRead || Buffer.size() > 0 || Socket.available(Ignored) > 0;
  }

  /// Closes the connection in order: the client first receives what was sent.
  /// Closing at once would reset the connection if unread bytes of the client
  /// had arrived, and the reset discards a response on its way.
  void finish() {
    if (IsClosed || IsSendingFinished)
      return;
    IsReadFinished = true;
    IsSendingFinished = true;
    LastActivity = std::chrono::steady_clock::now();
    error_code Error;
    Socket.shutdown(tcp::socket::shutdown_send, Error);
    if (Error)
      close();
    else
      discardInput();
  }

private:
  /// A request's response, queued in the order of the requests.
  struct response_slot {
    std::uint64_t Number = 0;
    request_token Token = 0;
    std::size_t BodyBytes = 0;     ///< counted in `TotalBodyBytes`
    std::size_t RequestBytes = 0;  ///< of a request without a response
    std::size_t ResponseBytes = 0; ///< of a response that is not written
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
    if (!Pending.empty() &&
        Memory.bytes() > Owner->Budget->maxBytes() / ConnectionShare)
      return;
    if (Buffer.size() == 0 && Buffer.capacity() > MaxIdleBufferBytes)
      Buffer.shrink_to_fit();
    IsReading = true;
    MessageBytes = FieldCount = 0;
    Parser.emplace();
    Parser->eager(true);
    Parser->body_limit(Owner->Settings.MaxBodyBytes);
    Parser->header_limit(
        static_cast<std::uint32_t>(Owner->Settings.MaxHeaderBytes));
    MaxMessageBytes = Owner->Settings.MaxHeaderBytes + MaxFramingBytes +
                      Owner->Settings.MaxBodyBytes * MaxBytesPerContentByte;
    Buffer.max_size(std::max(Owner->Settings.MaxHeaderBytes, Buffer.size()) +
                    MaxFramingBytes);
    if (Buffer.size() == 0) {
      readSome();
      return;
    }
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      if (!Self->IsClosed)
        Self->parse({});
    });
  }

  void readSome() {
    const std::size_t Free = Buffer.max_size() - Buffer.size();
    if (Free == 0) {
      onRead(beast::http::error::buffer_overflow);
      return;
    }
    const std::size_t Size =
        std::max(MinReadBytes, Buffer.capacity() - Buffer.size());
    Socket.async_read_some(
        Buffer.prepare(std::min(Size, Free)),
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Self->IsClosed)
            return;
          Self->Buffer.commit(Bytes);
          if (Bytes > 0)
            Self->onInput();
          Self->parse(Error);
        });
  }

  /// Puts the connection behind those that have been silent for longer.
  void onInput() {
    LastInput = std::chrono::steady_clock::now();
    const auto Owner = Server.lock();
    if (Owner && IdlePosition)
      Owner->IdleSessions.splice(Owner->IdleSessions.end(), Owner->IdleSessions,
                                 *IdlePosition);
  }

  /// Parses what has arrived, up to the end of one request.
  void parse(error_code Error) {
    const auto Owner = Server.lock();
    if (!Owner)
      return;
    if (Error == asio::error::eof) {
      Error = beast::http::error::end_of_stream;
      if (Parser->got_some())
        Parser->put_eof(Error);
    } else if (!Error) {
      const std::size_t Used = Parser->put(Buffer.data(), Error);
      Buffer.consume(Used);
      MessageBytes += Used;
    }
    const bool NeedsMore = Error == beast::http::error::need_more;
    if ((Error && !NeedsMore) || IsReadFinished) {
      onRead(NeedsMore ? error_code() : Error);
      return;
    }
    countFields();
    if (!countBody(*Owner)) {
      refuseRead(*Owner, "too many large requests at once");
      return;
    }
    if (Parser->is_done()) {
      onRead({});
      return;
    }
    if (MessageBytes > MaxMessageBytes) {
      onRead(beast::http::error::bad_chunk_extension);
      return;
    }
    Memory.beginReading(Owner->Clock.now());
    if (fitsRead(*Owner, Parser->get().body().size()))
      readSome();
    else
      refuseForMemory(*Owner);
  }

  void refuseForMemory(detail::server_state &Owner) {
    Owner.onMemoryShort("http_refused");
    refuseRead(Owner, "too many requests at once");
  }

  /// Refuses the request that is being read.
  void refuseRead(detail::server_state &Owner, const char *Message) {
    IsReading = false;
    refuse(Owner, 503, Message, {{"Retry-After", BodyRetryAfter}});
    discardInput();
  }

  /// Frees what was read of a request that is not handled.
  void dropRead() {
    Parser.reset();
    Buffer.clear();
    Buffer.shrink_to_fit();
    Memory.endReading();
    ReadBytes = 0;
    updateMemory();
  }

  /// Counts what has been read of a request.
  bool fitsRead(detail::server_state &Owner, std::size_t BodyBytes) {
    ReadBytes = requestBytes(Owner, BodyBytes);
    updateMemory();
    return Owner.Budget->fitsRequest(Memory, ReadBytes, Owner.Clock.now());
  }

  std::size_t requestBytes(const detail::server_state &Owner,
                           std::size_t BodyBytes) const {
    return std::min(MessageBytes, Owner.Settings.MaxHeaderBytes) +
           FieldCount * BytesPerField + BytesPerRequest + BodyBytes;
  }

  void countFields() {
    const auto &Fields = Parser->get();
    if (FieldCount == 0 && Parser->is_header_done())
      FieldCount =
          static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end()));
  }

  void updateMemory() {
    Memory.setRequestBytes(PendingRequestBytes + ReadBytes + Buffer.capacity());
    Memory.setResponseBytes(PendingResponseBytes);
  }

  /// Counts the body that is being read; false if it does not fit beside
  /// others.
  bool countBody(detail::server_state &Owner) {
    const bool HasBody = Parser->is_header_done() &&
                         (Parser->chunked() || Parser->content_length());
    if (Owner.Settings.MaxTotalBodyBytes == 0 || !HasBody || ReadBodyBytes > 0)
      return true;
    const std::size_t BodyBytes =
        Parser->content_length().value_or(Owner.Settings.MaxBodyBytes);
    if (BodyBytes == 0)
      return true;
    while (Owner.TotalBodyBytes + BodyBytes > Owner.Settings.MaxTotalBodyBytes)
      if (!closeSlowUpload(Owner))
        return false;
    Owner.TotalBodyBytes += BodyBytes;
    ReadBodyBytes = BodyBytes;
    UploadStart = std::chrono::steady_clock::now();
    UploadPosition = Owner.Uploads.insert(Owner.Uploads.end(), this);
    return true;
  }

  /// Closes the connection of the upload that has taken longest.
  static bool closeSlowUpload(detail::server_state &Owner) {
    if (Owner.Uploads.empty())
      return false;
    session &Slowest = *Owner.Uploads.front();
    if (std::chrono::steady_clock::now() - Slowest.UploadStart < SlowUploadTime)
      return false;
    Owner.Metrics.add("http_closed", "slow_upload");
    Slowest.close();
    return true;
  }

  void endUpload(detail::server_state &Owner) {
    Owner.TotalBodyBytes -= std::exchange(ReadBodyBytes, 0);
    if (UploadPosition)
      Owner.Uploads.erase(*std::exchange(UploadPosition, std::nullopt));
  }

  void onRead(error_code Error) {
    IsReading = false;
    const auto Owner = Server.lock();
    if (!Owner || IsClosed)
      return;
    if (IsReadFinished) { // arrived after the last request that is answered
      onInputDiscarded(Error);
      return;
    }
    LastActivity = std::chrono::steady_clock::now();
    if (Error) {
      onReadError(*Owner, Error);
      return;
    }
    auto Message = Parser->release();
    endUpload(*Owner);
    // RFC 9110, 9.3.8; such a request cannot be forwarded.
    if (Message.method() == beast::http::verb::trace &&
        !Message.body().empty()) {
      refuse(*Owner, 400, "TRACE with content");
      return;
    }
    if (!fitsRead(*Owner, Message.body().size())) {
      refuseForMemory(*Owner);
      return;
    }
    Memory.endReading();
    const bool KeepAlive = Message.keep_alive();
    IsReadFinished = !KeepAlive;
    const std::uint64_t Number = addSlot(*Owner, KeepAlive, Message.version());
    Pending.back().Token = ++Owner->LastToken;
    Pending.back().BodyBytes = Message.body().size();
    Pending.back().RequestBytes = ReadBytes;
    PendingRequestBytes += std::exchange(ReadBytes, 0);
    updateMemory();
    Owner->TotalBodyBytes += Message.body().size();
    request Request{detail::toString(Message.method_string()),
                    detail::toString(Message.target()),
                    detail::copyHeaders(Message),
                    std::move(Message.body()),
                    Owner->LastToken,
                    roundTripTime(Socket),
                    Number == 0};
    handle(*Owner, std::move(Request), Number);
    if (IsReadFinished)
      discardInput();
    else
      readNext();
  }

  /// An exception of the handler fails this request only.
  void handle(detail::server_state &Owner, request Request,
              std::uint64_t Number) {
    try {
      Owner.Handler.handle(std::move(Request), [Weak = weak_from_this(),
                                                Number](response Response) {
        if (const auto Self = Weak.lock())
          Self->setResponse(Number, std::move(Response));
      });
    } catch (const std::exception &Error) {
      Owner.Metrics.add("http_handler_failed", "");
      telemetry::logEvent(telemetry::severity::error, "http_handler_failed",
                          {{"error", Error.what()}});
      response Response;
      Response.Status = 500;
      setResponse(Number, std::move(Response));
    }
  }

  /// Reads and drops what arrives after the last request, to notice when the
  /// client closes the connection.
  void discardInput() {
    if (IsReading || IsClosed)
      return;
    IsReading = true;
    Socket.async_read_some(
        asio::buffer(Discarded),
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->IsReading = false;
          Self->onInputDiscarded(Error);
        });
  }

  void onInputDiscarded(error_code Error) {
    if (IsClosed)
      return;
    const bool IsEnd = Error && (!isParseError(Error) || isEndOfStream(Error));
    if (!IsEnd) {
      discardInput();
      return;
    }
    const auto Owner = Server.lock();
    if (IsSendingFinished || (Owner && Owner->Settings.CancelOnDisconnect))
      close();
  }

  /// Whether the error comes from the HTTP parser, not from the connection.
  static bool isParseError(error_code Error) {
    using beast::http::error;
    return Error.category() ==
           beast::http::make_error_code(error::end_of_stream).category();
  }

  static bool isEndOfStream(error_code Error) {
    using beast::http::error;
    return Error == error::end_of_stream || Error == error::partial_message;
  }

  void onReadError(detail::server_state &Owner, error_code Error) {
    using beast::http::error;
    if (!isParseError(Error) || isEndOfStream(Error)) {
      if (Owner.Settings.CancelOnDisconnect)
        close();
      else
        finishReading();
      return;
    }
    unsigned Status = 400;
    if (Error == error::body_limit)
      Status = 413;
    const bool IsHeadTooLarge =
        Error == error::buffer_overflow && !Parser->is_header_done();
    if (Error == error::header_limit || IsHeadTooLarge)
      Status = 431;
    refuse(Owner, Status, Error.message());
  }

  /// Refuses what was read; it is the last request on this connection.
  void refuse(detail::server_state &Owner, unsigned Status,
              const std::string &Message, std::vector<header> Headers = {}) {
    Owner.Metrics.add("http_refused", std::to_string(Status));
    endUpload(Owner);
    dropRead();
    response Response;
    Response.Status = Status;
    Response.Body =
        R"({"outcome":"not_run","reason":"bad_request","message":")" + Message +
        "\"}";
    Response.Headers = std::move(Headers);
    IsReadFinished = true;
    setResponse(addSlot(Owner, false, 11), std::move(Response));
  }

  /// Reads no more requests; pending responses are still written.
  void finishReading() {
    IsReadFinished = true;
    dropRead();
    if (Pending.empty())
      close();
  }

  std::uint64_t addSlot(detail::server_state &Owner, bool KeepAlive,
                        unsigned Version) {
    ++Owner.InFlightRequests;
    setIdle(Owner, false);
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
    Response = sendable(std::move(Response));
    PendingRequestBytes -= std::exchange(Slot.RequestBytes, 0);
    Slot.ResponseBytes = responseBytes(Response);
    PendingResponseBytes += Slot.ResponseBytes;
    Slot.Response = std::move(Response);
    updateMemory();
    writeNext();
    const auto Owner = Server.lock();
    if (Owner && !IsClosed)
      Owner->Budget->fitsResponse(Memory, Owner->Clock.now());
  }

  /// Keeps its place among the connections that wait for a request.
  void setIdle(detail::server_state &Owner, bool IsIdle) {
    if (IdlePosition && !IsIdle)
      Owner.IdleSessions.erase(*std::exchange(IdlePosition, std::nullopt));
    if (IdlePosition || !IsIdle)
      return;
    LastInput = std::chrono::steady_clock::now();
    IdlePosition = Owner.IdleSessions.insert(Owner.IdleSessions.end(), this);
  }

  static std::size_t responseBytes(const response &Response) {
    std::size_t Bytes = Response.Body.size();
    for (const header &Each : Response.Headers)
      Bytes += Each.Name.size() + Each.Value.size();
    return Bytes;
  }

  /// What may be sent of a response: 500 if its status is none of HTTP, and no
  /// body where its status forbids one.
  response sendable(response Response) const {
    if (!isFinalStatus(Response.Status)) {
      if (const auto Owner = Server.lock())
        Owner->Metrics.add("http_invalid_status", "");
      telemetry::logEvent(telemetry::severity::error, "http_invalid_status",
                          {{"status", Response.Status}});
      Response = {};
      Response.Status = 500;
    }
    if (Response.Status == 204 || Response.Status == 304)
      Response.Body.clear();
    return Response;
  }

  void writeNext() {
    if (IsWriting || IsClosed || Pending.empty() || !Pending.front().Response)
      return;
    IsWriting = true;
    LastActivity = std::chrono::steady_clock::now();
    response_slot &Slot = Pending.front();
    const auto Owner = Server.lock();
    if (Owner && Owner->ClosesAfterResponses && Pending.size() == 1)
      Slot.KeepAlive = false;
    if (!Slot.KeepAlive)
      IsReadFinished = true;
    WireResponse.emplace();
    WireResponse->version(Slot.Version);
    WireResponse->result(Slot.Response->Status);
    if (!Slot.Response->ContentType.empty())
      WireResponse->set(beast::http::field::content_type,
                        Slot.Response->ContentType);
    detail::addHeaders(*WireResponse, Slot.Response->Headers);
    WireResponse->keep_alive(Slot.KeepAlive);
    if (Owner && Slot.KeepAlive)
      announceIdleTimeout(Owner->Settings.IdleTimeout);
    WireResponse->body() = std::move(Slot.Response->Body);
    WireResponse->prepare_payload();
    if (Owner)
      Memory.beginWriting(Owner->Clock.now());
    Serializer.emplace(*WireResponse);
    writeSome();
  }

  void writeSome() {
    beast::http::async_write_some(
        Socket, *Serializer,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->onSomeWritten(Error);
        });
  }

  void onSomeWritten(error_code Error) {
    LastActivity = std::chrono::steady_clock::now();
    if (IsClosed || Error || Serializer->is_done())
      onWritten(Error);
    else
      writeSome();
  }

  /// Tells the client how long it may keep the connection idle: less than the
  /// timeout itself, so that its next request does not cross the close.
  void announceIdleTimeout(millis Timeout) {
    const auto Seconds =
        static_cast<long>(Timeout.Count * AnnouncedIdleShare / 1000);
    if (Seconds > 0)
      WireResponse->set(beast::http::field::keep_alive,
                        "timeout=" + std::to_string(Seconds));
  }

  void onWritten(error_code Error) {
    IsWriting = false;
    if (IsClosed)
      return;
    LastActivity = std::chrono::steady_clock::now();
    const bool KeepAlive = Pending.front().KeepAlive;
    if (const auto Owner = Server.lock()) {
      --Owner->InFlightRequests;
      if (Pending.size() == 1)
        setIdle(*Owner, true);
      Owner->TotalBodyBytes -= Pending.front().BodyBytes;
    }
    Serializer.reset();
    WireResponse.reset();
    PendingResponseBytes -= Pending.front().ResponseBytes;
    Pending.pop_front();
    Memory.endWriting();
    updateMemory();
    const bool IsLast = IsReadFinished && Pending.empty();
    if (Error) {
      close();
      return;
    }
    if (!KeepAlive || IsLast) {
      finish();
      return;
    }
    writeNext();
    if (!IsReading)
      readNext();
  }

  tcp::socket Socket;
  std::weak_ptr<detail::server_state> Server;
  memory_account Memory;
  beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  std::optional<wire_response> WireResponse; ///< that is being written
  std::optional<serializer> Serializer;      ///< of `WireResponse`
  std::deque<response_slot> Pending;
  std::optional<std::list<session *>::iterator> IdlePosition;
  std::optional<std::list<session *>::iterator> UploadPosition;
  std::chrono::steady_clock::time_point UploadStart;
  std::uint64_t NextNumber = 0;
  std::size_t ReadBodyBytes = 0;        ///< of the body that is being read
  std::size_t ReadBytes = 0;            ///< held of a request being read
  std::size_t PendingRequestBytes = 0;  ///< of requests without a response
  std::size_t PendingResponseBytes = 0; ///< of responses that are not written
  std::size_t MessageBytes = 0;         ///< read of this message
  std::size_t FieldCount = 0;           ///< of its head
  std::size_t MaxMessageBytes = 0;      ///< including the framing of its chunks
  std::chrono::steady_clock::time_point LastActivity;
  std::chrono::steady_clock::time_point LastInput; ///< or since it is idle
  std::array<char, 512> Discarded;
  bool IsReading = false;
  bool IsReadFinished = false; ///< no further request is handled
  bool IsWriting = false;
  bool IsSendingFinished = false; ///< waits for the client to close
  bool IsClosed = false;
};

namespace {

/// Closes one of the connections that have been silent for longest: one on
/// which no request has come yet, or else one that gives way.
bool makeRoom(detail::server_state &State) {
  const auto End = State.IdleSessions.size() > MaxCandidates
                       ? std::next(State.IdleSessions.begin(), MaxCandidates)
                       : State.IdleSessions.end();
  auto Found =
      std::find_if(State.IdleSessions.begin(), End,
                   [](const session *Each) { return Each->isUnused(); });
  if (Found == End)
    Found = std::find_if(State.IdleSessions.begin(), End,
                         [](const session *Each) { return Each->givesWay(); });
  if (Found == End)
    return false;
  State.Metrics.add("http_closed", "connections");
  (*Found)->close();
  return true;
}

void startSession(const std::shared_ptr<detail::server_state> &State,
                  tcp::socket Socket) {
  if (State->Sessions.size() >= State->Settings.MaxConnections &&
      !makeRoom(*State)) {
    State->Metrics.add("http_refused", "too_many_connections");
    return;
  }
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &MaxUnsentBytes, sizeof MaxUnsentBytes);
  auto Session = std::make_shared<session>(std::move(Socket), State);
  State->Sessions.insert(Session);
  Session->start();
}

void scheduleSweep(const std::shared_ptr<detail::server_state> &State) {
  State->SweepTimer.expires_after(SweepInterval);
  State->SweepTimer.async_wait([Weak = std::weak_ptr(State)](error_code Error) {
    const auto State = Weak.lock();
    if (Error || !State)
      return;
    scheduleSweep(State); // first, since handlers may throw
    std::vector<std::shared_ptr<session>> Overdue;
    for (const auto &Session : State->Sessions)
      if (Session->isOverdue(State->Settings))
        Overdue.push_back(Session);
    for (const auto &Session : Overdue) {
      if (Session->isIdle()) {
        State->Metrics.add("http_closed", "timeout");
        Session->finish();
      } else {
        Session->close();
      }
    }
  });
}

} // namespace

server::server(asio::io_context &Io, server_settings Settings, handler &Handler,
               telemetry::metrics &Metrics)
    : State(std::make_shared<detail::server_state>(Io, std::move(Settings),
                                                   Handler, Metrics)) {}

server::~server() {
  State->Listener.reset();
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
  State->Listener.emplace(
      State->Io,
      [Weak = std::weak_ptr(State)](tcp::socket Socket) {
        if (const auto Accepting = Weak.lock())
          startSession(Accepting, std::move(Socket));
      },
      [Weak = std::weak_ptr(State)](const std::string &Error) {
        if (const auto Accepting = Weak.lock())
          Accepting->Metrics.add("accept_failed", Error);
      });
  scheduleSweep(State);
  return State->Listener->open({Ip, Listen.Port});
}

bool server::isListening() const {
  return State->Listener && State->Listener->isOpen();
}

void server::stopAccepting() {
  if (State->Listener)
    State->Listener->stop();
}

void server::closeAfterResponses() { State->ClosesAfterResponses = true; }

void server::closeIdle() {
  // Posted, so that reads that have ended are handled first.
  asio::post(State->Io, [Weak = std::weak_ptr(State)] {
    const auto State = Weak.lock();
    if (!State)
      return;
    const auto Sessions = State->Sessions;
    for (const auto &Session : Sessions)
      if (Session->isIdle() && !Session->hasInput())
        Session->finish();
  });
}

void server::setLimits(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes,
                       millis IdleTimeout) {
  State->Settings.MaxHeaderBytes = MaxHeaderBytes;
  State->Settings.MaxBodyBytes = MaxBodyBytes;
  State->Settings.IdleTimeout = IdleTimeout;
}

std::size_t server::inFlightRequests() const { return State->InFlightRequests; }

std::size_t server::connectionCount() const { return State->Sessions.size(); }

} // namespace bulrush::http

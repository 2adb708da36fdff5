#include "fleet/frame_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrush::fleet {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

constexpr int KeepAliveIntervalSeconds = 1;
constexpr double MillisPerSecond = 1000;
constexpr std::size_t BlockBytes = 64 << 10;

} // namespace

frame_link::frame_link(socket Given, frame_bounds Bounds)
    : Socket(std::move(Given)), Bounds(Bounds) {}

void frame_link::start(frame_handler Frames, close_handler Closed) {
  OnFrame = std::move(Frames);
  OnClosed = std::move(Closed);
  onOpened();
}

void frame_link::connect(const asio::ip::tcp::endpoint &To,
                         frame_handler Frames, close_handler Closed) {
  OnFrame = std::move(Frames);
  OnClosed = std::move(Closed);
  Socket.async_connect(To, [Self = shared_from_this()](error_code Error) {
    if (Self->IsClosed)
      return;
    if (Error)
      Self->fail();
    else
      Self->onOpened();
  });
}

void frame_link::onOpened() {
  IsOpen = true;
  error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  setTcpOption(TCP_USER_TIMEOUT, static_cast<int>(Bounds.UnackedTimeout.Count));
  if (Bounds.KeepAliveIdle > millis{0}) {
    Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
    setTcpOption(TCP_KEEPIDLE, static_cast<int>(Bounds.KeepAliveIdle.Count /
                                                MillisPerSecond));
    setTcpOption(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  }
  readLength();
  writeNext();
}

void frame_link::setTcpOption(int Name, int Value) {
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, Name, &Value, sizeof Value);
}

void frame_link::readLength() {
  asio::async_read(Socket, asio::buffer(LengthPrefix),
                   [Self = shared_from_this()](error_code Error, std::size_t) {
                     if (Self->IsClosed)
                       return;
                     if (Error) {
                       Self->fail();
                       return;
                     }
                     std::size_t Size = 0;
                     for (const unsigned char Byte : Self->LengthPrefix)
                       Size = Size << 8 | Byte;
                     if (Size > Self->Bounds.MaxFrameBytes) {
                       Self->fail();
                       return;
                     }
                     Self->Body.clear();
                     Self->readBody(Size);
                   });
}

/// Reads the rest of a frame. Memory grows with the bytes that arrive, not with
/// the length that the other end claims.
void frame_link::readBody(std::size_t Left) {
  const std::size_t Begin = Body.size();
  const std::size_t Size = std::min(Left, BlockBytes);
  Body.resize(Begin + Size);
  asio::async_read(Socket, asio::buffer(Body.data() + Begin, Size),
                   [Self = shared_from_this(),
                    Left = Left - Size](error_code Error, std::size_t) {
                     if (Self->IsClosed)
                       return;
                     if (Error) {
                       Self->fail();
                       return;
                     }
                     if (Left > 0)
                       Self->readBody(Left);
                     else
                       Self->handleBody();
                   });
}

/// Reads on even if the handler throws: the frame is lost, the link is not.
void frame_link::handleBody() {
  // Moved out for the call: the handler may close the link, which resets
  // `OnFrame`.
  const auto Handler = std::move(OnFrame);
  const auto ReadNext = [&] {
    if (IsClosed)
      return;
    OnFrame = Handler;
    readLength();
  };
  try {
    Handler(std::move(Body));
  } catch (...) {
    ReadNext();
    throw;
  }
  ReadNext();
}

void frame_link::send(const std::string &Bytes) {
  if (IsClosed)
    return;
  std::string Frame;
  Frame.reserve(LengthPrefix.size() + Bytes.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame += static_cast<char>(Bytes.size() >> Shift & 0xff);
  Frame += Bytes;
  QueuedBytes += Frame.size();
  Queue.push_back(std::move(Frame));
  if (QueuedBytes > Bounds.MaxQueuedBytes && Queue.size() > 1) {
    fail();
    return;
  }
  writeNext();
}

void frame_link::writeNext() {
  if (!IsOpen || IsWriting || Queue.empty())
    return;
  IsWriting = true;
  asio::async_write(Socket, asio::buffer(Queue.front()),
                    [Self = shared_from_this()](error_code Error, std::size_t) {
                      if (Self->IsClosed)
                        return;
                      Self->IsWriting = false;
                      if (Error) {
                        Self->fail();
                        return;
                      }
                      Self->QueuedBytes -= Self->Queue.front().size();
                      Self->Queue.pop_front();
                      Self->writeNext();
                    });
}

void frame_link::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  IsOpen = false;
  error_code Ignored;
  Socket.close(Ignored);
  OnFrame = nullptr;
  OnClosed = nullptr;
}

/// The close handler is posted to the event loop, so it never runs within
/// `send`.
void frame_link::fail() {
  const auto Closed = std::move(OnClosed);
  const auto Executor = Socket.get_executor();
  close();
  if (Closed)
    asio::post(Executor, Closed);
}

} // namespace bulrush::fleet

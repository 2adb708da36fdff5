/// A TCP connection that carries frames: four bytes of length, then the bytes.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace bulrush::fleet {

/// Opens, binds and listens; the error names the address.
expected<void> listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                        const boost::asio::ip::tcp::endpoint &Address);

/// Bounds of one link.
struct frame_bounds {
  std::size_t MaxFrameBytes = 16 << 20; ///< a larger frame closes the link
  std::size_t MaxQueuedBytes = 8 << 20; ///< more closes the link
  /// Bytes that are not acknowledged for so long close the link.
  millis SilenceTimeout{1500};
};

/// Runs on the thread of its `io_context`. Closes by itself on every fault and
/// tells so once.
class frame_link : public std::enable_shared_from_this<frame_link> {
public:
  using socket = boost::asio::ip::tcp::socket;
  using frame_handler = std::function<void(std::string)>;
  using close_handler = std::function<void()>;

  /// A connected socket, or one for `connect`.
  explicit frame_link(socket Socket, frame_bounds Bounds = {});

  /// Must be called once, before anything else.
  void start(frame_handler OnFrame, close_handler OnClosed);
  /// Connects first; frames that are sent meanwhile wait.
  void connect(const boost::asio::ip::tcp::endpoint &To, frame_handler OnFrame,
               close_handler OnClosed);
  void send(const std::string &Bytes);
  /// The handlers are not called any more.
  void close();
  bool isOpen() const { return IsOpen; }

private:
  void onOpened();
  void readLength();
  void readBody();
  void writeNext();
  void fail();

  socket Socket;
  frame_bounds Bounds;
  frame_handler OnFrame;
  close_handler OnClosed;
  std::array<unsigned char, 4> LengthPrefix{};
  std::string Body;
  std::deque<std::string> Queue;
  std::size_t QueuedBytes = 0;
  bool IsOpen = false;
  bool IsWriting = false;
  bool IsClosed = false;
};

} // namespace bulrush::fleet

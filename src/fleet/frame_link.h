/// A TCP connection that carries length-prefixed frames. The length is a
/// four-byte big-endian integer.
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

/// Limits of one link.
struct frame_bounds {
  std::size_t MaxFrameBytes = 16 << 20; ///< a larger frame closes the link
  std::size_t MaxQueuedBytes =
      8 << 20; ///< exceeding it with more than one queued frame closes the link
  /// Sent bytes that stay unacknowledged for this long close the link.
  millis UnackedTimeout{1500};
  /// A link without traffic for this long is probed each second, and closed
  /// after `UnackedTimeout` without a reply; 0: never.
  millis KeepAliveIdle{0};
};

/// Runs on the thread of its `io_context`. Closes itself on any error and then
/// calls the close handler once.
class frame_link : public std::enable_shared_from_this<frame_link> {
public:
  using socket = boost::asio::ip::tcp::socket;
  using frame_handler = std::function<void(std::string)>;
  using close_handler = std::function<void()>;

  /// `Socket` is connected, or unconnected if `connect` is used.
  explicit frame_link(socket Socket, frame_bounds Bounds = {});

  /// Starts a link on a connected socket. Either this or `connect` must be
  /// called once, before the other functions.
  void start(frame_handler OnFrame, close_handler OnClosed);
  /// Connects to `To`; frames sent before the connection is open are queued.
  void connect(const boost::asio::ip::tcp::endpoint &To, frame_handler OnFrame,
               close_handler OnClosed);
  void send(const std::string &Bytes);
  /// Closes the link without calling the handlers; they are not called again.
  void close();
  bool isOpen() const { return IsOpen; }

private:
  void onOpened();
  void setTcpOption(int Name, int Value);
  void readLength();
  void readBody(std::size_t Left);
  void handleBody();
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

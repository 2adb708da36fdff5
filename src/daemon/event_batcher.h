/// Batches the events of one poll of the I/O thread into one step of the cores.
#pragma once

#include "daemon/data_path.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>

namespace bulrush::daemon {

/// Runs on the I/O thread. Under load one step handles many events, so that the
/// resulting messages are sent together. On an idle thread an event is handled
/// without delay.
class event_batcher {
public:
  using flush_handler = std::function<void(std::vector<data_event>)>;

  event_batcher(boost::asio::io_context &Io, flush_handler OnFlush)
      : Io(Io), OnFlush(std::move(OnFlush)) {}

  void push(data_event Event) {
    Pending.push_back(std::move(Event));
    if (IsScheduled)
      return;
    IsScheduled = true;
    boost::asio::post(Io, [this] { flush(); });
  }

private:
  void flush() {
    IsScheduled = false;
    std::vector<data_event> Events;
    Events.swap(Pending);
    OnFlush(std::move(Events));
  }

  boost::asio::io_context &Io;
  flush_handler OnFlush;
  std::vector<data_event> Pending;
  bool IsScheduled = false;
};

} // namespace bulrush::daemon

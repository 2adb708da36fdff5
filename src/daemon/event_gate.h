/// Gathers the events of one poll of the I/O thread into one message.
#pragma once

#include "daemon/data_path.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bulrush::daemon {

/// Runs on the I/O thread. Under load one message carries many events; when
/// idle an event leaves at once.
class event_gate {
public:
  event_gate(boost::asio::io_context &Io, data_path &Target)
      : Io(Io), Target(Target) {}

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
    Target.send(std::move(Pending));
    Pending.clear();
  }

  boost::asio::io_context &Io;
  data_path &Target;
  std::vector<data_event> Pending;
  bool IsScheduled = false;
};

} // namespace bulrush::daemon

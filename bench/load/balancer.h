/// Plays the platform's balancer: sends only to entry daemons that are ready.
#pragma once

#include "http/client.h"
#include "load_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::bench {

/// Runs on the thread of its `io_context`.
class balancer {
public:
  balancer(boost::asio::io_context &Io, const load_settings &Settings);

  /// Starts to poll; calls `FirstLook` once every entry was looked at.
  void start(std::function<void()> FirstLook);
  void stop();

  /// Called with the place of the entry that was tried last.
  using handler = std::function<void(std::size_t, http::exchange_result)>;

  /// Sends to the next ready entry. What could not be sent is offered to one
  /// more. Without a ready entry the result is `not_sent`, and the place is the
  /// number of entries.
  void send(const http::request &Request, const handler &Done);

  std::size_t readyCount() const;
  /// Requests handed to each entry.
  const std::vector<std::uint64_t> &sentTo() const { return SentTo; }

private:
  struct entry {
    std::unique_ptr<http::client> Requests;
    std::unique_ptr<http::client> Polls;
    bool IsReady = false;
  };

  void poll();
  std::size_t pick();
  void sendTo(std::size_t Entry, const http::request &Request,
              const handler &Done, bool MayRetry);

  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  millis PollEvery;
  std::vector<entry> Entries;
  std::vector<std::uint64_t> SentTo;
  std::size_t Next = 0;
  std::size_t LooksDue = 0;
  bool IsStopped = false;
  std::function<void()> FirstLook;
};

} // namespace bulrush::bench

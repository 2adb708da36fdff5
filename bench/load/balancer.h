/// Simulates the load balancer of the platform, which sends requests only to
/// entry daemons that are ready.
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

/// Round-robin balancer. Must be used from the thread of its `io_context`.
class balancer {
public:
  balancer(boost::asio::io_context &Io, const load_settings &Settings);

  /// Starts polling /readyz. Calls `OnFirstPoll` once every entry daemon has
  /// answered its first poll or the poll has failed.
  void start(std::function<void()> OnFirstPoll);
  void stop();

  /// Called with the index of the entry daemon that was tried last.
  using handler = std::function<void(std::size_t, http::exchange_result)>;

  /// Sends `Request` to the next ready entry daemon. If the connection fails,
  /// the request is sent to at most one more. If no entry daemon is ready, the
  /// result is `not_sent` and the index is the number of entry daemons.
  void send(const http::request &Request, const handler &Done);

  /// Number of entry daemons whose last poll succeeded.
  std::size_t readyCount() const;
  /// Number of requests sent to each entry daemon, retries included.
  const std::vector<std::uint64_t> &sentTo() const { return SentTo; }

private:
  struct entry {
    std::unique_ptr<http::client> RequestClient;
    std::unique_ptr<http::client> PollClient;
    bool IsReady = false;
  };

  void poll();
  std::size_t nextReadyEntry();
  void sendTo(std::size_t Entry, const http::request &Request,
              const handler &Done, bool MayRetry);

  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  millis PollInterval;
  std::vector<entry> Entries;
  std::vector<std::uint64_t> SentTo;
  std::size_t Next = 0;
  std::size_t FirstPollsPending = 0;
  bool IsStopped = false;
  std::function<void()> OnFirstPoll;
};

} // namespace bulrush::bench

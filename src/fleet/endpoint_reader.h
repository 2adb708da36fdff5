/// Polls the platform's paginated list of endpoints.
#pragma once

#include "fleet/adapter.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace bulrush::fleet {

struct reader_settings {
  address Server;
  millis Interval{
      1500}; ///< from the end of one reading to the next; each page has a cost
  millis RetryDelay{350};  ///< after a failed page, before reading starts over
  millis PageTimeout{900}; ///< per page
  /// A reading beyond one of these is given up, as after a failed page.
  std::size_t MaxEntries = 50'000;
  std::size_t MaxPages = 20'000;
  std::size_t MaxBytes = 16 << 20; ///< bodies of all pages
  millis MaxTime{300'000};
};

/// Called after each complete reading; `StartedAt` is when it began, from which
/// cold times are counted. After one that failed, what the last complete one
/// found stays in force.
using directory_handler =
    std::function<void(std::vector<relay::listed_endpoint>, instant StartedAt)>;

/// Polls between `start` and `stop`. Runs on the thread of its `io_context`.
class endpoint_reader {
public:
  endpoint_reader(boost::asio::io_context &Io, reader_settings Settings,
                  std::shared_ptr<const endpoint_list_codec> Codec,
                  const clock_source &Clock, directory_handler OnRead);

  void start();
  void stop();

private:
  void readPage();
  void onPage(const http::exchange_result &Result);
  expected<endpoint_page> decode(const http::exchange_result &Result);
  expected<void> checkLimits(std::size_t PageBytes, std::size_t PageEntries);
  void schedule(millis Delay, bool Restart);
  void onTimer();

  reader_settings Settings;
  std::shared_ptr<const endpoint_list_codec> Codec;
  const clock_source &Clock;
  directory_handler OnRead;
  http::client Client;
  boost::asio::steady_timer Timer;
  std::vector<relay::listed_endpoint> Endpoints;
  std::uint32_t Unreadable = 0;
  std::size_t Pages = 0;
  std::size_t Bytes = 0;
  std::uint32_t LoggedUnreadable = 0;
  bool IsUnavailable = false;
  std::string PageToken;
  instant StartedAt;
  http::exchange_id Exchange = 0;
  bool IsRunning = false;
  bool IsWaitingForPage = false;
};

} // namespace bulrush::fleet

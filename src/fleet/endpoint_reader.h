/// Reads the platform's list of endpoints, page by page, while it is wanted.
#pragma once

#include "fleet/adapter.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace bulrush::fleet {

struct reader_settings {
  address Server;
  millis Interval{1500};   ///< between two readings; each page has a price
  millis RetryDelay{350};  ///< after a page that could not be read
  millis PageTimeout{900}; ///< for one page
};

/// Told after each whole reading; `Began` is when the reading began.
using directory_handler =
    std::function<void(std::vector<relay::listed_endpoint>, instant StartedAt)>;

/// Runs on the thread of its `io_context`.
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
  std::uint32_t LoggedUnreadable = 0;
  bool IsUnavailable = false;
  std::string PageToken;
  instant StartedAt;
  http::exchange_id Exchange = 0;
  bool IsRunning = false;
  bool IsWaitingForPage = false;
};

} // namespace bulrush::fleet

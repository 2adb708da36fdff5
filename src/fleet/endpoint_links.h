/// Connections of one relay daemon to endpoints.
#pragma once

#include "fleet/adapter.h"
#include "http/client.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <unordered_map>

namespace bulrush::fleet {

/// Longest body of an endpoint's reply, in bytes.
inline constexpr std::size_t MaxReplyBytes = 2 << 20;

using relay_event_handler = std::function<void(relay::relay_event)>;

/// Executes the relay's actions on endpoints. Runs on the thread of its
/// `io_context`; the handler is never called from within a member function.
class endpoint_links {
public:
  endpoint_links(boost::asio::io_context &Io,
                 std::shared_ptr<const request_codec> Codec,
                 telemetry::metrics &Metrics, relay_event_handler OnEvent);

  void open(const relay::open_endpoint &Action);
  void preconnect(const relay::preconnect_endpoint &Action);
  void close(const relay::close_endpoint &Action);
  void send(const relay::send_attempt &Action);
  void cancel(const relay::cancel_attempt &Action);
  void probe(const relay::probe_endpoint &Action);
  void withdraw(const relay::withdraw_attempts &Action);

private:
  struct endpoint_link {
    relay::listed_endpoint Listed;
    std::string HealthPath;
    std::size_t Connections = 1;
    std::unique_ptr<http::client> Client; ///< created on demand
    std::unique_ptr<http::client> Prober; ///< created on demand
    std::unordered_map<relay::attempt_no, http::exchange_id> Attempts;
    bool IsClosing = false;
  };
  using link_ptr = std::shared_ptr<endpoint_link>;

  link_ptr find(relay::endpoint_no No) const;
  http::client &clientOf(endpoint_link &Link) const;
  http::client &proberOf(endpoint_link &Link) const;
  void onExchangeEnded(const std::weak_ptr<endpoint_link> &Link,
                       relay::attempt_no Attempt, http::exchange_result Result);
  static http::request healthRequest(const endpoint_link &Link);
  void onProbed(relay::endpoint_no No, const http::exchange_result &Result);
  void probeOpenConnection(relay::endpoint_no No, endpoint_link &Link);
  void reportProbe(relay::endpoint_no No, const http::exchange_result &Result);
  void postEvent(relay::relay_event Event);
  void eraseIfDrained(relay::endpoint_no No);

  boost::asio::io_context &Io;
  std::shared_ptr<const request_codec> Codec;
  telemetry::metrics &Metrics;
  relay_event_handler OnEvent;
  std::unordered_map<relay::endpoint_no, link_ptr> Links;
};

} // namespace bulrush::fleet

#include "ctl/ask.h"

#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace bulrush::ctl {

namespace {

constexpr auto RequestTimeout = std::chrono::seconds(5);

http::exchange_result exchangeOnce(const address &Server,
                                   const http::request &Request) {
  boost::asio::io_context Io;
  http::client_settings Settings;
  Settings.Server = Server;
  http::client Client(Io, Settings);
  http::exchange_result Out;
  Client.send(Request, [&](http::exchange_result Result) {
    Out = std::move(Result);
    Io.stop();
  });
  Io.run_for(RequestTimeout);
  return Out;
}

/// Whether the server may have received the request.
bool wasSent(http::exchange_status Status) {
  return Status != http::exchange_status::connect_failed &&
         Status != http::exchange_status::connect_refused &&
         Status != http::exchange_status::not_sent;
}

} // namespace

failover_client::failover_client(std::vector<address> Servers,
                                 std::string Token)
    : Servers(std::move(Servers)), Token(std::move(Token)) {}

expected<http::response> failover_client::get(const std::string &Target) {
  return send({"GET", Target, {}, {}}, resend::allowed);
}

expected<http::response> failover_client::post(const std::string &Target,
                                               std::string Body,
                                               resend Resend) {
  return send({"POST", Target, {}, std::move(Body)}, Resend);
}

expected<http::response> failover_client::send(http::request Request,
                                               resend Resend) {
  if (!Token.empty())
    Request.Headers.push_back({"Authorization", "Bearer " + Token});
  std::string Tried;
  for (const address &Server : Servers) {
    http::exchange_result Result = exchangeOnce(Server, Request);
    if (Result.Status == http::exchange_status::done)
      return std::move(Result.Response);
    Tried += ' ' + Server.Host + ':' + std::to_string(Server.Port);
    if (wasSent(Result.Status) && Resend == resend::forbidden)
      return fail("no valid response after the request was sent; repeat the "
                  "command to learn the outcome; servers tried:" +
                  Tried);
  }
  return fail("no response from" + Tried);
}

} // namespace bulrush::ctl

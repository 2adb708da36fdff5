/// HTTP client of bulrushctl that tries several servers in turn.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"
#include "http/message.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

/// Whether a request that a server may have received may be sent to another.
enum class resend { allowed, forbidden };

/// Sends each request to the servers in turn until one responds. A server to
/// which nothing could be sent is always skipped. If no valid response comes
/// after sending began, the next server is tried only if a resend is allowed.
class failover_client {
public:
  failover_client(std::vector<address> Servers, std::string Token);

  expected<http::response> get(const std::string &Target);
  expected<http::response> post(const std::string &Target, std::string Body,
                                resend Resend);

private:
  expected<http::response> send(http::request Request, resend Resend);

  std::vector<address> Servers;
  std::string Token;
};

} // namespace bulrush::ctl

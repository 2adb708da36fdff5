/// Requests to the daemons, one after the other.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"
#include "http/message.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

/// Whether a request may be sent again to another address.
enum class resend { allowed, forbidden };

/// Asks the addresses in turn until one answers. An address that refuses the
/// connection is always passed over; one whose answer is lost only when a
/// resend is allowed.
class asker {
public:
  asker(std::vector<address> Servers, std::string Token);

  expected<http::response> get(const std::string &Target);
  expected<http::response> post(const std::string &Target, std::string Body,
                                resend Resend);

private:
  expected<http::response> ask(http::request Request, resend Resend);

  std::vector<address> Servers;
  std::string Token;
};

} // namespace bulrush::ctl

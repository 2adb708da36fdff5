/// HTTP messages as the rest of the program sees them.
#pragma once

#include "bulrushtray/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::http {

struct header {
  std::string Name;
  std::string Value;
};

/// Finds a header by its name, without regard to case; null when absent.
const std::string *findHeader(const std::vector<header> &Headers,
                              std::string_view Name);

/// Names a request while it is under way at a server.
using request_token = std::uint64_t;

struct request {
  std::string Method;
  std::string Target;
  std::vector<header> Headers;
  std::string Body;
  request_token Token = 0; ///< set by the server
  millis RoundTrip{};      ///< of the connection, set by the server; 0: unknown
  bool IsFirstOnConnection = false; ///< of its connection, set by the server
};

struct response {
  unsigned Status = 200;
  std::vector<header> Headers;
  std::string ContentType = "application/json"; ///< empty: as in `Headers`
  std::string Body;
};

} // namespace bulrush::http

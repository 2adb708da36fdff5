/// HTTP messages, independent of the HTTP library.
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

/// Whether the header has this name, in any letter case.
bool isNamed(const header &Header, std::string_view Name);

/// Finds a header by its case-insensitive name; null if absent.
const std::string *findHeader(const std::vector<header> &Headers,
                              std::string_view Name);

/// Identifies a request that a server has received and not yet answered.
using request_token = std::uint64_t;

struct request {
  std::string Method;
  std::string Target;
  std::vector<header> Headers;
  std::string Body;
  request_token Token = 0; ///< set by the server
  millis RoundTrip{};      ///< of the connection; set by the server; 0: unknown
  bool IsFirstOnConnection = false; ///< set by the server
};

/// Whether a final response may have this status (RFC 9110, 15).
constexpr bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status <= 599;
}

struct response {
  unsigned Status = 200;
  std::vector<header> Headers;
  std::string ContentType = "application/json"; ///< empty: taken from `Headers`
  std::string Body;
};

} // namespace bulrush::http

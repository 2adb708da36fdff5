/// HTTP messages as the rest of the program sees them.
#pragma once

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

struct request {
  std::string Method;
  std::string Target;
  std::vector<header> Headers;
  std::string Body;
};

struct response {
  unsigned Status = 200;
  std::vector<header> Headers;
  std::string ContentType = "application/json";
  std::string Body;
};

} // namespace bulrush::http

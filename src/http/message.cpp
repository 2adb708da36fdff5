#include "http/message.h"

#include <boost/beast/core/string.hpp>

namespace bulrush::http {

bool isNamed(const header &Header, std::string_view Name) {
  return boost::beast::iequals(
      Header.Name, boost::beast::string_view(Name.data(), Name.size()));
}

const std::string *findHeader(const std::vector<header> &Headers,
                              std::string_view Name) {
  for (const header &H : Headers)
    if (isNamed(H, Name))
      return &H.Value;
  return nullptr;
}

} // namespace bulrush::http

#include "http/message.h"

#include <boost/beast/core/string.hpp>

namespace bulrush::http {

const std::string *findHeader(const std::vector<header> &Headers,
                              std::string_view Name) {
  const boost::beast::string_view Key(Name.data(), Name.size());
  for (const header &H : Headers)
    if (boost::beast::iequals(H.Name, Key))
      return &H.Value;
  return nullptr;
}

} // namespace bulrush::http

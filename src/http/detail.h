/// Conversions between the messages of `http` and those of Boost.Beast.
#pragma once

#include "bulrushtray/clock.h"
#include "http/message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace bulrush::http::detail {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

inline std::string toString(beast::string_view Text) {
  return {Text.data(), Text.size()};
}

inline std::chrono::steady_clock::duration toChrono(millis D) {
  return std::chrono::microseconds(static_cast<std::int64_t>(D.Count * 1000));
}

inline std::vector<header> copyHeaders(const beast::http::fields &Fields) {
  std::vector<header> Headers;
  Headers.reserve(12);
  for (const auto &Field : Fields)
    Headers.push_back({toString(Field.name_string()), toString(Field.value())});
  return Headers;
}

inline void addHeaders(beast::http::fields &Fields,
                       const std::vector<header> &Headers) {
  for (const header &H : Headers)
    Fields.insert(H.Name, H.Value);
}

} // namespace bulrush::http::detail

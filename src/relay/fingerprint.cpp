#include "relay/fingerprint.h"

#include <array>
#include <iomanip>
#include <sstream>
#include <string_view>
#include <xxhash.h>

namespace bulrush::relay {

request_fingerprint fingerprintOf(const opaque_request &Request) {
  const std::string *Credentials =
      Request.Account.Value.empty()
          ? http::findHeader(Request.Headers, "Authorization")
          : &Request.Account.Value;
  const std::array<std::string_view, 5> Fields{
      Request.Method, Request.Host, Request.Target,
      Credentials ? std::string_view(*Credentials) : std::string_view(),
      Request.Body};
  std::uint64_t Hash = 0;
  for (const std::string_view Each : Fields)
    Hash = XXH3_64bits_withSeed(Each.data(), Each.size(), Hash);
  return {Hash};
}

std::string toHex(request_fingerprint Fingerprint) {
  std::ostringstream Out;
  Out << std::hex << std::setfill('0') << std::setw(16) << Fingerprint.Value;
  return Out.str();
}

} // namespace bulrush::relay

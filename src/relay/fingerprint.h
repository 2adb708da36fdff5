/// Recognizes requests that come again.
#pragma once

#include "bulrushtray/ids.h"
#include "relay/events.h"

namespace bulrush::relay {

/// A hash of the method, host, target, credentials and body of a request. Equal
/// requests of the same caller have the same fingerprint at all relays,
/// whatever their ids.
request_fingerprint fingerprintOf(const opaque_request &Request);

/// As in logs: 16 hexadecimal digits.
std::string toHex(request_fingerprint Fingerprint);

} // namespace bulrush::relay

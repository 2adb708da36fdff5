/// Recognizes requests that come again.
#pragma once

#include "bulrushtray/ids.h"
#include "relay/events.h"

namespace bulrush::relay {

/// A hash of the method, host, target, caller and body of a request. The caller
/// is the account, or the `Authorization` header if the request has no account.
/// Equal requests of the same caller have the same fingerprint at all relays,
/// whatever their ids and with whichever key of the account.
request_fingerprint fingerprintOf(const opaque_request &Request);

/// As in logs: 16 hexadecimal digits.
std::string toHex(request_fingerprint Fingerprint);

} // namespace bulrush::relay

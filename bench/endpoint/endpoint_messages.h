/// Parses and formats the messages of the endpoint protocol; see
/// docs/ENDPOINTS.md.
#pragma once

#include "bulrushtray/error.h"
#include "model.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace bulrush::bench {

/// The fields of a request that its reply repeats.
struct request_echo {
  snapshot_id Snapshot;
  shard_id Shard;
  std::string Token; ///< the JSON value of `token` in the query, or `null`
};

/// Parses the headers of a search or command; leaves `Exchange` unset.
expected<request_arrived> parseRequest(const boost::beast::http::fields &Fields,
                                       bool IsCommand);

/// Returns the member `token` of a JSON object as JSON text; `null` if absent.
std::string extractToken(const std::string &Body);

/// Formats the HTTP response to a search or command.
std::string formatReply(const send_reply &Reply, const request_echo &Echo,
                        endpoint_id Endpoint);

/// Formats the HTTP response to a health request.
std::string formatHealth(const health_report &Health);

/// Formats an HTTP response with a JSON body and no protocol headers.
std::string formatPlain(std::string_view Status, std::string_view Body);

} // namespace bulrush::bench

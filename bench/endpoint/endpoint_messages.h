/// The endpoint protocol as text: see docs/ENDPOINTS.md.
#pragma once

#include "bulrushtray/error.h"
#include "model.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace bulrush::bench {

/// What the reply repeats from its request.
struct request_echo {
  snapshot_id Snapshot;
  shard_id Shard;
  std::string Token; ///< the JSON value of `token` in the query, or `null`
};

/// Reads the headers of a search or a command; `Exchange` is left unset.
expected<request_arrived> parseRequest(const boost::beast::http::fields &Fields,
                                       bool IsCommand);

/// The member `token` of a JSON object as JSON text; `null` when absent.
std::string tokenOf(const std::string &Body);

/// The whole HTTP response to a search or a command.
std::string formatReply(const send_reply &Reply, const request_echo &Echo,
                        endpoint_id Endpoint);

/// The whole HTTP response to a health request.
std::string formatHealth(const health_report &Health);

/// A whole HTTP response with a JSON body and nothing else.
std::string formatPlain(std::string_view Status, std::string_view Body);

} // namespace bulrush::bench

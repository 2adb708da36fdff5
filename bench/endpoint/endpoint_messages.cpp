#include "endpoint_messages.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace bulrush::bench {
namespace {

using boost::beast::http::fields;
using nlohmann::json;

template <class Number>
bool readHeader(const fields &Fields, const char *Name, Number &Value) {
  const auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return false;
  const auto Text = Found->value();
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value);
  return Read.ec == std::errc{} && Read.ptr == End;
}

std::string_view httpStatus(const send_reply &Reply) {
  switch (Reply.Reason) {
  case reply_reason::none:
    return "200 OK";
  case reply_reason::shed:
  case reply_reason::draining:
    return "503 Service Unavailable";
  case reply_reason::snapshot_missing:
    return "409 Conflict";
  case reply_reason::expired:
  case reply_reason::cancelled:
    return "504 Gateway Timeout";
  }
  return "500 Internal Server Error";
}

std::string_view healthState(run_state RunState, bool Draining) {
  if (Draining)
    return "draining";
  return RunState == run_state::warm ? "warm" : "cold";
}

void addHeader(std::string &Out, std::string_view Name,
               std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

void addHeader(std::string &Out, std::string_view Name, std::uint64_t Value) {
  addHeader(Out, Name, std::to_string(Value));
}

void addBody(std::string &Out, std::string_view Body) {
  addHeader(Out, "Content-Type", "application/json");
  addHeader(Out, "Content-Length", Body.size());
  Out.append("\r\n").append(Body);
}

std::string beginResponse(std::string_view Status) {
  std::string Out;
  Out.reserve(512);
  Out.append("HTTP/1.1 ").append(Status).append("\r\n");
  return Out;
}

std::string resultBody(const request_echo &Echo, endpoint_id Endpoint) {
  std::string Body = "{\"shard\":";
  Body += std::to_string(Echo.Shard.Value);
  Body += ",\"snapshot\":";
  Body += std::to_string(Echo.Snapshot.Value);
  Body += ",\"endpoint\":";
  Body += std::to_string(Endpoint.Value);
  Body += ",\"token\":";
  Body += Echo.Token;
  Body += "}";
  return Body;
}

} // namespace

expected<request_arrived> parseRequest(const fields &Fields, bool IsCommand) {
  request_arrived Request;
  Request.IsCommand = IsCommand;
  const auto Name = Fields.find("Bulrush-Request");
  if (Name == Fields.end())
    return fail("the header Bulrush-Request is missing");
  Request.Name.assign(Name->value().data(), Name->value().size());
  readHeader(Fields, "Bulrush-Attempt", Request.Attempt);
  if (!readHeader(Fields, "Bulrush-Snapshot", Request.Snapshot.Value))
    return fail("the header Bulrush-Snapshot must be a number");
  if (!readHeader(Fields, "Bulrush-Shard", Request.Shard.Value))
    return fail("the header Bulrush-Shard must be a number");
  if (!readHeader(Fields, "Bulrush-Deadline-Ms", Request.Remaining.Count))
    return fail("the header Bulrush-Deadline-Ms must be a number");
  const auto Key = Fields.find("Idempotency-Key");
  if (Key != Fields.end())
    Request.Key.assign(Key->value().data(), Key->value().size());
  if (IsCommand && Request.Key.empty())
    return fail("a command needs the header Idempotency-Key");
  return Request;
}

std::string extractToken(const std::string &Body) {
  const json Query = json::parse(Body, nullptr, false);
  if (!Query.is_object() || !Query.contains("token"))
    return "null";
  return Query["token"].dump();
}

std::string formatReply(const send_reply &Reply, const request_echo &Echo,
                        endpoint_id Endpoint) {
  std::string Out = beginResponse(httpStatus(Reply));
  addHeader(Out, "Bulrush-Outcome", bulrush::toString(Reply.Outcome));
  if (Reply.Reason != reply_reason::none)
    addHeader(Out, "Bulrush-Reason", toString(Reply.Reason));
  addHeader(Out, "Bulrush-Snapshot", Echo.Snapshot.Value);
  addHeader(Out, "Bulrush-Shard", Echo.Shard.Value);
  addHeader(Out, "Bulrush-Generation", Reply.Generation);
  addHeader(Out, "Bulrush-Cold", Reply.Cold ? "1" : "0");
  addHeader(Out, "Bulrush-Draining", Reply.Draining ? "1" : "0");
  addHeader(Out, "Bulrush-In-Flight", Reply.InFlight);
  if (Reply.RetryAfter > millis{0})
    addHeader(Out, "Retry-After-Ms",
              static_cast<std::uint64_t>(Reply.RetryAfter.Count));
  const bool HasResult = Reply.Outcome == outcome::answered;
  addBody(Out, HasResult ? resultBody(Echo, Endpoint) : "{}");
  return Out;
}

std::string formatHealth(const health_report &Health) {
  json Body = {{"state", healthState(Health.RunState, Health.Draining)},
               {"generation", Health.Generation},
               {"inFlight", Health.InFlight},
               {"snapshots", json::array()}};
  for (const query::held_snapshot &Held : Health.Held) {
    json Shards = json::array();
    for (const shard_id Shard : Held.Shards)
      Shards.push_back(Shard.Value);
    Body["snapshots"].push_back({{"id", Held.Snapshot.Value},
                                 {"totalShards", Held.TotalShards},
                                 {"shards", std::move(Shards)}});
  }
  return formatPlain("200 OK", Body.dump());
}

std::string formatPlain(std::string_view Status, std::string_view Body) {
  std::string Out = beginResponse(Status);
  addBody(Out, Body);
  return Out;
}

} // namespace bulrush::bench

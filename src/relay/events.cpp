#include "relay/events.h"

namespace bulrush::relay {

std::string_view toString(relay_refusal Reason) {
  switch (Reason) {
  case relay_refusal::none:
    return "none";
  case relay_refusal::no_catalog:
    return "no_catalog";
  case relay_refusal::no_route:
    return "no_route";
  case relay_refusal::unauthorized:
    return "unauthorized";
  case relay_refusal::over_quota:
    return "over_quota";
  case relay_refusal::no_endpoint:
    return "no_endpoint";
  case relay_refusal::not_run:
    return "not_run";
  case relay_refusal::few_shards:
    return "few_shards";
  case relay_refusal::lost:
    return "lost";
  case relay_refusal::quarantined:
    return "quarantined";
  case relay_refusal::out_of_time:
    return "out_of_time";
  }
  return "none";
}

std::string_view toString(quota_state State) {
  switch (State) {
  case quota_state::unlimited:
    return "unlimited";
  case quota_state::open:
    return "open";
  case quota_state::limited:
    return "limited";
  case quota_state::no_contact:
    return "no_contact";
  }
  return "unlimited";
}

std::string_view toString(attempt_verdict Verdict) {
  switch (Verdict) {
  case attempt_verdict::success:
    return "success";
  case attempt_verdict::failure:
    return "failure";
  case attempt_verdict::overload:
    return "overload";
  case attempt_verdict::unreachable:
    return "unreachable";
  case attempt_verdict::overdue:
    return "overdue";
  case attempt_verdict::stale_connection:
    return "forgotten";
  case attempt_verdict::cancelled:
    return "cancelled";
  }
  return "cancelled";
}

std::string_view toString(endpoint_state_change Change) {
  switch (Change) {
  case endpoint_state_change::listed:
    return "listed";
  case endpoint_state_change::gone:
    return "gone";
  case endpoint_state_change::suspected:
    return "suspected";
  case endpoint_state_change::probe_failed:
    return "probe_failed";
  case endpoint_state_change::probe_succeeded:
    return "probe_succeeded";
  case endpoint_state_change::cold:
    return "cold";
  case endpoint_state_change::leaving:
    return "leaving";
  case endpoint_state_change::announced_leaving:
    return "announced_leaving";
  case endpoint_state_change::paused:
    return "paused";
  case endpoint_state_change::invalid_retry_after:
    return "invalid_retry_after";
  case endpoint_state_change::rate_limited:
    return "rate_limited";
  case endpoint_state_change::rate_limit_changed:
    return "rate_limit_changed";
  case endpoint_state_change::rate_limit_lifted:
    return "rate_limit_lifted";
  case endpoint_state_change::invalid_rate_limit:
    return "invalid_rate_limit";
  }
  return "listed";
}

std::string_view toString(request_verdict Verdict) {
  switch (Verdict) {
  case request_verdict::cleared:
    return "cleared";
  case request_verdict::watched:
    return "watched";
  case request_verdict::quarantined:
    return "quarantined";
  }
  return "cleared";
}

std::string_view toString(repeat_reason Reason) {
  switch (Reason) {
  case repeat_reason::hedge:
    return "hedge";
  case repeat_reason::failure:
    return "failure";
  case repeat_reason::shed:
    return "shed";
  case repeat_reason::slice:
    return "slice";
  case repeat_reason::detour:
    return "detour";
  case repeat_reason::peer:
    return "peer";
  }
  return "unknown";
}

std::string_view toString(ignored_reply Reason) {
  switch (Reason) {
  case ignored_reply::not_open:
    return "not_open";
  case ignored_reply::other_relay:
    return "other_relay";
  }
  return "not_open";
}

endpoint_log_event makeLogEvent(const endpoint_state &Endpoint,
                                endpoint_state_change Change, millis ColdFor) {
  endpoint_log_event Out;
  Out.Instance = Endpoint.listed().Identity.Instance;
  Out.Service = Endpoint.listed().Service;
  Out.Version = Endpoint.listed().Version;
  Out.Change = Change;
  Out.ColdFor = ColdFor;
  return Out;
}

} // namespace bulrush::relay

/// Operators' requests from JSON and their results to JSON.
#pragma once

#include "control/operator_api.h"
#include "control/state_machine.h"

#include <string>
#include <string_view>

namespace bulrush::settings {

/// `{"operator": "anna", "command": "c-1", "change": {"zoneOut": "linz"}}`
expected<control::plan_request> parsePlanRequest(std::string_view Text,
                                                 const deployment &Of);

/// A confirm before its plan id is read.
struct confirm_fields {
  operator_id Operator;
  command_id Command;
  std::string PlanId;
  bool IsFirstSend = false;
};

/// `{"operator": "anna", "command": "c-1", "plan": "...", "firstSend": true}`;
/// `firstSend` may be left out, which means false.
expected<confirm_fields> parseConfirm(std::string_view Text);

/// Joins the fields and the plan that their id names; an error when the plan
/// was made by another operator or for another command.
expected<control::confirm_request> joinConfirm(const confirm_fields &Fields,
                                               const control::plan &Plan);

/// An HTTP status and a JSON body.
struct json_answer {
  unsigned Status = 200;
  std::string Body;
};

/// Any result; `PlanId` is the id of the plan in a `plan_result`.
json_answer toJson(const control::operator_result &Result,
                   const std::string &PlanId = {});

/// Refusal of a request that could not be read.
json_answer badRequest(const std::string &Message);

std::string intentsJson(const fleet_config &Config);
std::string zonesJson(const deployment &Of, const fleet_config &Config);
std::string
endpointsJson(const deployment &Of, const fleet_config &Config,
              const std::map<endpoint_id, control::daemon_id> &Owners);
std::string historyJson(const std::deque<control::history_entry> &History);

} // namespace bulrush::settings

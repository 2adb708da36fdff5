/// Parses the JSON requests of the operators' API and formats its responses.
#pragma once

#include "control/operator_api.h"
#include "control/state_machine.h"

#include <string>
#include <string_view>

namespace bulrush::settings {

/// Parses a request such as
/// `{"operator": "anna", "command": "c-1", "change": {"zoneOut": "linz"}}`.
/// Zone names, endpoint ids and callers must exist in `Deployment`.
expected<control::plan_request> parsePlanRequest(std::string_view Text,
                                                 const deployment &Deployment);

/// Fields of a confirm request; `PlanId` is not yet decoded into a plan.
struct confirm_fields {
  operator_id Operator;
  command_id Command;
  std::string PlanId;
  bool IsFirstSend = false;
};

/// Parses a request such as
/// `{"operator": "anna", "command": "c-1", "plan": "...", "firstSend": true}`.
/// `firstSend` is optional and defaults to false.
expected<confirm_fields> parseConfirm(std::string_view Text);

/// Makes a confirm request from `Fields` and the plan that `PlanId` identifies.
/// Fails if the plan was made by another operator or for another command.
expected<control::confirm_request>
makeConfirmRequest(const confirm_fields &Fields, const control::plan &Plan);

/// An HTTP status and a JSON body.
struct json_answer {
  unsigned Status = 200;
  std::string Body;
};

/// Formats any result. `PlanId` is the id of the plan of a `plan_result` and is
/// ignored for other results.
json_answer toJson(const control::operator_result &Result,
                   const std::string &PlanId = {});

/// Response to a request that could not be parsed, with status 400.
json_answer badRequest(const std::string &Message);

std::string intentsJson(const fleet_config &Config);
std::string zonesJson(const deployment &Deployment, const fleet_config &Config);
std::string
endpointsJson(const deployment &Deployment, const fleet_config &Config,
              const std::map<endpoint_id, control::daemon_id> &Owners);
std::string historyJson(const std::deque<control::history_entry> &History);

} // namespace bulrush::settings

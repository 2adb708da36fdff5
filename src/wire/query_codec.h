/// Conversions between the data path's messages and protobuf.
#pragma once

#include "bulrushtray/fleet_config.h"
#include "query/messages.h"

#include <vector>

namespace bulrush::wire {

class EndpointReports;
class FleetConfig;
class Intent;
class Membership;
class SubBatch;
class SubCancel;
class SubReplies;

void put(const query::sub_batch &From, SubBatch &To);
void put(const std::vector<query::sub_reply> &From, SubReplies &To);
void put(const std::vector<sub_id> &From, SubCancel &To);
void put(const std::vector<query::endpoint_report> &From, EndpointReports &To);
void put(const intent &From, Intent &To);
void put(const fleet_config &From, FleetConfig &To);
void put(const membership &From, Membership &To);

/// Numbers that are not known become `unknown` and `none`.
outcome outcomeOf(std::uint32_t Value);
refusal refusalOf(std::uint32_t Value);

query::sub_batch take(vm_id Sender, const SubBatch &From);
std::vector<query::sub_reply> take(const SubReplies &From);
std::vector<sub_id> take(const SubCancel &From);
std::vector<query::endpoint_report> take(const EndpointReports &From);
intent take(const Intent &From);
fleet_config take(const FleetConfig &From);
membership take(const Membership &From);

} // namespace bulrush::wire

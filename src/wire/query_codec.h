/// Conversion of the data path's messages to and from protobuf.
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

void toProto(const query::sub_batch &From, SubBatch &To);
void toProto(const std::vector<query::sub_reply> &From, SubReplies &To);
void toProto(const std::vector<sub_id> &From, SubCancel &To);
void toProto(const std::vector<query::endpoint_report> &From,
             EndpointReports &To);
void toProto(const intent &From, Intent &To);
void toProto(const fleet_config &From, FleetConfig &To);
void toProto(const membership &From, Membership &To);

/// Values unknown to this version become `unknown` and `none`.
outcome outcomeFromProto(std::uint32_t Value);
refusal refusalFromProto(std::uint32_t Value);

query::sub_batch fromProto(vm_id Sender, const SubBatch &From);
std::vector<query::sub_reply> fromProto(const SubReplies &From);
std::vector<sub_id> fromProto(const SubCancel &From);
std::vector<query::endpoint_report> fromProto(const EndpointReports &From);
intent fromProto(const Intent &From);
fleet_config fromProto(const FleetConfig &From);
membership fromProto(const Membership &From);

} // namespace bulrush::wire

/// Conversion of the messages and records on rollouts to and from protobuf.
#pragma once

#include "control/rollout.h"
#include "fleet/messages.h"
#include "wire/generated/fleet.pb.h"

namespace bulrush::wire {

void toProto(const relay::version_policy &From, VersionPolicy &To);
relay::version_policy fromProto(const VersionPolicy &From);

void toProto(const fleet::rollout_reports &From, RolloutReports &To);
fleet::rollout_reports fromProto(const RolloutReports &From);

void toProto(const relay::service_name &Service, const control::rollout &From,
             Rollout &To);
control::rollout fromProto(const Rollout &From);

void toProto(const control::start_rollout &From, Rollout &To);
control::start_rollout startRolloutFromProto(const Rollout &From);

void toProto(const control::advance_rollout &From, Rollout &To);
control::advance_rollout advanceRolloutFromProto(const Rollout &From);

void toProto(const control::end_rollout &From, Rollout &To);
control::end_rollout endRolloutFromProto(const Rollout &From);

} // namespace bulrush::wire

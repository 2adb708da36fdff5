#include "wire/control_codec.h"
#include "wire/daemon_codec.h"
#include "wire/generated/control.pb.h"
#include "wire/query_codec.h"

namespace bulrush::wire {

namespace {

using namespace control;

struct request_writer {
  OperatorForward &To;

  void operator()(const plan_request &R) const {
    toProto(plan{R.Operator, R.Command, {}, R.Change}, *To.mutable_plan());
  }
  void operator()(const confirm_request &R) const {
    toProto(R.Plan, *To.mutable_confirm()->mutable_plan());
    To.mutable_confirm()->set_is_first_send(R.IsFirstSend);
  }
  void operator()(const status_request &) const { To.set_status(true); }
};

void toProto(const plan_effects &From, PlanEffects &To) {
  To.mutable_callers()->Add(From.Callers.begin(), From.Callers.end());
  To.mutable_zones()->Add(From.Zones.begin(), From.Zones.end());
  for (const endpoint_id Endpoint : From.Endpoints)
    To.add_endpoints(Endpoint.Value);
  for (const pool_capacity &Each : From.Pools) {
    PoolCapacity &Pool = *To.add_pools();
    Pool.set_pool(Each.Pool);
    Pool.set_slots_before(Each.SlotsBefore);
    Pool.set_slots_after(Each.SlotsAfter);
    Pool.set_is_shard_map_known(Each.IsShardMapKnown);
  }
  for (const lost_shards &Each : From.Lost) {
    LostShards &Lost = *To.add_lost();
    Lost.set_pool(Each.Pool);
    for (const shard_id Shard : Each.Shards)
      Lost.add_shards(Shard.Value);
  }
  To.mutable_incomplete_intents()->Add(From.IncompleteIntents.begin(),
                                       From.IncompleteIntents.end());
  To.mutable_displaced()->Add(From.Displaced.begin(), From.Displaced.end());
  To.set_extra_load(From.ExtraLoad.Value);
  To.set_extra_load_before(From.ExtraLoadBefore.Value);
  To.set_deadline_ms(From.Deadline.Count);
  To.set_is_no_change(From.IsNoChange);
}

plan_effects fromProto(const PlanEffects &From) {
  plan_effects To;
  To.Callers.assign(From.callers().begin(), From.callers().end());
  To.Zones.assign(From.zones().begin(), From.zones().end());
  for (const std::uint32_t Endpoint : From.endpoints())
    To.Endpoints.push_back({Endpoint});
  for (const PoolCapacity &Each : From.pools())
    To.Pools.push_back({Each.pool(), Each.slots_before(), Each.slots_after(),
                        Each.is_shard_map_known()});
  for (const LostShards &Each : From.lost()) {
    lost_shards &Lost = To.Lost.emplace_back(lost_shards{Each.pool(), {}});
    for (const std::uint32_t Shard : Each.shards())
      Lost.Shards.push_back({Shard});
  }
  To.IncompleteIntents.assign(From.incomplete_intents().begin(),
                              From.incomplete_intents().end());
  To.Displaced.assign(From.displaced().begin(), From.displaced().end());
  To.ExtraLoad = {From.extra_load()};
  To.ExtraLoadBefore = {From.extra_load_before()};
  To.Deadline = {From.deadline_ms()};
  To.IsNoChange = From.is_no_change();
  return To;
}

struct result_writer {
  OperatorResult &To;

  void operator()(const plan_result &R) const {
    toProto(R.Plan, *To.mutable_plan()->mutable_plan());
    toProto(R.Effects, *To.mutable_plan()->mutable_effects());
  }
  void operator()(const confirm_result &R) const {
    To.mutable_confirm()->set_status(static_cast<std::uint32_t>(R.Status));
    To.mutable_confirm()->set_revision(R.Revision.Value);
  }
  void operator()(const status_result &R) const {
    StatusResult &Status = *To.mutable_status();
    Status.set_leader(R.Leader.Value);
    Status.set_term(R.Term.Value);
    Status.set_revision(R.Rollout.Revision.Value);
    Status.set_is_in_force(R.Rollout.IsInForce);
    for (const vm_id Vm : R.Rollout.Behind)
      Status.add_behind(Vm.Value);
    for (const vm_id Vm : R.Rollout.Suspended)
      Status.add_suspended(Vm.Value);
    toProto(R.Members, *Status.mutable_members());
    Status.set_endpoints_moving(R.EndpointsMoving);
  }
  void operator()(const request_refused &R) const {
    To.mutable_refused()->set_reason(static_cast<std::uint32_t>(R.Reason));
    To.mutable_refused()->set_message(R.Message);
  }
};

status_result fromProto(const StatusResult &From) {
  status_result To;
  To.Leader = {From.leader()};
  To.Term = {From.term()};
  To.Rollout.Revision = {From.revision()};
  To.Rollout.IsInForce = From.is_in_force();
  for (const std::uint32_t Vm : From.behind())
    To.Rollout.Behind.push_back({Vm});
  for (const std::uint32_t Vm : From.suspended())
    To.Rollout.Suspended.push_back({Vm});
  To.Members = fromProto(From.members());
  To.EndpointsMoving = From.endpoints_moving();
  return To;
}

confirm_result fromProto(const ConfirmResult &From) {
  const bool IsKnown =
      From.status() <= static_cast<std::uint32_t>(confirm_status::unknown);
  return {IsKnown ? static_cast<confirm_status>(From.status())
                  : confirm_status::unknown,
          {From.revision()}};
}

expected<operator_result> resultFromProto(const OperatorResult &From) {
  if (From.has_confirm())
    return fromProto(From.confirm());
  if (From.has_status())
    return fromProto(From.status());
  if (From.has_refused())
    return request_refused{refusalFromProto(From.refused().reason()),
                           From.refused().message()};
  if (!From.has_plan())
    return fail("operator result of unknown kind");
  auto Plan = fromProto(From.plan().plan());
  if (!Plan)
    return fail(Plan.error());
  return plan_result{std::move(*Plan), fromProto(From.plan().effects())};
}

expected<operator_request> requestFromProto(const OperatorForward &From) {
  if (From.has_status())
    return status_request{};
  if (!From.has_plan() && !From.has_confirm())
    return fail("operator request of unknown kind");
  auto Plan = fromProto(From.has_plan() ? From.plan() : From.confirm().plan());
  if (!Plan)
    return fail(Plan.error());
  if (From.has_plan())
    return plan_request{Plan->Operator, Plan->Command, Plan->Change};
  return confirm_request{std::move(*Plan), From.confirm().is_first_send()};
}

} // namespace

void toProto(const control::forward_request &From, OperatorForward &To) {
  To.set_ticket(From.Ticket);
  std::visit(request_writer{To}, From.Request);
}

expected<control::operator_request_received>
fromProto(vm_id Sender, const OperatorForward &From) {
  auto Request = requestFromProto(From);
  if (!Request)
    return fail(Request.error());
  return operator_request_received{{Sender, From.ticket()},
                                   std::move(*Request)};
}

void toProto(const control::operator_answer &From, OperatorResult &To) {
  To.set_ticket(From.To.Ticket);
  std::visit(result_writer{To}, From.Result);
}

expected<control::forwarded_result_received>
fromProto(const OperatorResult &From) {
  auto Result = resultFromProto(From);
  if (!Result)
    return fail(Result.error());
  return forwarded_result_received{From.ticket(), std::move(*Result)};
}

} // namespace bulrush::wire

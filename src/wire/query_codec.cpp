#include "wire/query_codec.h"

#include "wire/generated/bulrush.pb.h"

namespace bulrush::wire {

outcome outcomeFromProto(std::uint32_t Value) {
  const bool IsKnown = Value <= static_cast<std::uint32_t>(outcome::unknown);
  return IsKnown ? static_cast<outcome>(Value) : outcome::unknown;
}

refusal refusalFromProto(std::uint32_t Value) {
  return Value < RefusalCount ? static_cast<refusal>(Value) : refusal::none;
}

namespace {

query::endpoint_condition conditionFromProto(std::uint32_t Value) {
  const bool IsKnown =
      Value <= static_cast<std::uint32_t>(query::endpoint_condition::lost);
  return IsKnown ? static_cast<query::endpoint_condition>(Value)
                 : query::endpoint_condition::unknown;
}

query::shared_body shareBody(const std::string &Bytes) {
  return std::make_shared<const std::string>(Bytes);
}

void itemToProto(const query::sub_request &From, SubRequest &To) {
  To.set_sub(From.Sub.Value);
  To.set_query(From.Query.Value);
  To.set_endpoint(From.Endpoint.Value);
  To.set_shard(From.Shard.Value);
  To.set_snapshot(From.Snapshot.Value);
  To.set_attempt(From.Attempt);
  To.set_is_hedge(From.IsHedge);
  To.set_is_command(From.IsCommand);
  To.set_weight(From.Weight);
  To.set_caller(From.Caller.Value);
  To.set_key(From.Key.Value);
}

query::sub_request itemFromProto(const SubRequest &From) {
  query::sub_request To;
  To.Sub.Value = From.sub();
  To.Query.Value = From.query();
  To.Endpoint.Value = From.endpoint();
  To.Shard.Value = From.shard();
  To.Snapshot.Value = From.snapshot();
  To.Attempt = From.attempt();
  To.IsHedge = From.is_hedge();
  To.IsCommand = From.is_command();
  To.Weight = From.weight();
  To.Caller.Value = static_cast<std::uint16_t>(From.caller());
  To.Key.Value = From.key();
  return To;
}

void itemToProto(const query::sub_reply &From, SubReply &To) {
  To.set_sub(From.Sub.Value);
  To.set_query(From.Query.Value);
  To.set_endpoint(From.Endpoint.Value);
  To.set_shard(From.Shard.Value);
  To.set_snapshot(From.Snapshot.Value);
  To.set_outcome(static_cast<std::uint32_t>(From.Outcome));
  To.set_reason(static_cast<std::uint32_t>(From.Reason));
  if (From.Body)
    To.set_body(*From.Body);
  To.set_queue_ms(From.QueueTime.Count);
  To.set_service_ms(From.ServiceTime.Count);
  To.set_retry_after_ms(From.RetryAfter.Count);
}

query::sub_reply itemFromProto(const SubReply &From) {
  query::sub_reply To;
  To.Sub.Value = From.sub();
  To.Query.Value = From.query();
  To.Endpoint.Value = From.endpoint();
  To.Shard.Value = From.shard();
  To.Snapshot.Value = From.snapshot();
  To.Outcome = outcomeFromProto(From.outcome());
  To.Reason = refusalFromProto(From.reason());
  To.Body = shareBody(From.body());
  To.QueueTime.Count = From.queue_ms();
  To.ServiceTime.Count = From.service_ms();
  To.RetryAfter.Count = From.retry_after_ms();
  return To;
}

void itemToProto(const query::endpoint_report &From, EndpointReport &To) {
  To.set_endpoint(From.Endpoint.Value);
  To.set_condition(static_cast<std::uint32_t>(From.Condition));
  To.set_limit(From.Limit);
  To.set_queued(From.Queued);
  To.set_warm_generation(From.WarmGeneration);
  for (const query::held_snapshot &Held : From.Held) {
    HeldSnapshot &Out = *To.add_held();
    Out.set_snapshot(Held.Snapshot.Value);
    Out.set_total_shards(Held.TotalShards);
    for (const shard_id Shard : Held.Shards)
      Out.add_shards(Shard.Value);
  }
}

query::endpoint_report itemFromProto(const EndpointReport &From) {
  query::endpoint_report To;
  To.Endpoint.Value = From.endpoint();
  To.Condition = conditionFromProto(From.condition());
  To.Limit = From.limit();
  To.Queued = From.queued();
  To.WarmGeneration = From.warm_generation();
  for (const HeldSnapshot &Held : From.held()) {
    query::held_snapshot &Out = To.Held.emplace_back();
    Out.Snapshot.Value = Held.snapshot();
    Out.TotalShards = Held.total_shards();
    for (const std::uint32_t Shard : Held.shards())
      Out.Shards.push_back({Shard});
  }
  return To;
}

} // namespace

void toProto(const intent &From, Intent &To) {
  To.set_name(From.Name.Value);
  To.set_caller(From.Caller);
  To.set_path_prefix(From.PathPrefix);
  To.set_deadline_ms(From.Deadline.Count);
  To.set_min_coverage(From.MinCoverage.Value);
  To.set_weight(From.Weight);
  To.set_extra_load(From.ExtraLoad.Value);
}

intent fromProto(const Intent &From) {
  return {{From.name()},        From.caller(),         From.path_prefix(),
          {From.deadline_ms()}, {From.min_coverage()}, From.weight(),
          {From.extra_load()}};
}

void toProto(const query::sub_batch &From, SubBatch &To) {
  To.set_remaining_ms(From.Remaining.Count);
  if (From.Body)
    To.set_body(*From.Body);
  for (const query::sub_request &Item : From.Items)
    itemToProto(Item, *To.add_items());
}

void toProto(const std::vector<query::sub_reply> &From, SubReplies &To) {
  for (const query::sub_reply &Item : From)
    itemToProto(Item, *To.add_items());
}

void toProto(const std::vector<sub_id> &From, SubCancel &To) {
  for (const sub_id Sub : From)
    To.add_subs(Sub.Value);
}

void toProto(const std::vector<query::endpoint_report> &From,
             EndpointReports &To) {
  for (const query::endpoint_report &Item : From)
    itemToProto(Item, *To.add_items());
}

void toProto(const fleet_config &From, FleetConfig &To) {
  To.set_revision(From.Revision.Value);
  for (const intent &Each : From.Intents)
    toProto(Each, *To.add_intents());
  for (const zone_id Zone : From.ZonesOut)
    To.add_zones_out(Zone.Value);
  for (const endpoint_id Endpoint : From.Leaving)
    To.add_leaving(Endpoint.Value);
}

void toProto(const membership &From, Membership &To) {
  To.set_epoch(From.Epoch);
  for (const vm_id Vm : From.Live)
    To.add_live(Vm.Value);
}

query::sub_batch fromProto(vm_id Sender, const SubBatch &From) {
  query::sub_batch To;
  To.From = Sender;
  To.Remaining.Count = From.remaining_ms();
  To.Body = shareBody(From.body());
  To.Items.reserve(static_cast<std::size_t>(From.items_size()));
  for (const SubRequest &Item : From.items())
    To.Items.push_back(itemFromProto(Item));
  return To;
}

std::vector<query::sub_reply> fromProto(const SubReplies &From) {
  std::vector<query::sub_reply> To;
  To.reserve(static_cast<std::size_t>(From.items_size()));
  for (const SubReply &Item : From.items())
    To.push_back(itemFromProto(Item));
  return To;
}

std::vector<sub_id> fromProto(const SubCancel &From) {
  std::vector<sub_id> To;
  for (const std::uint64_t Sub : From.subs())
    To.push_back({Sub});
  return To;
}

std::vector<query::endpoint_report> fromProto(const EndpointReports &From) {
  std::vector<query::endpoint_report> To;
  for (const EndpointReport &Item : From.items())
    To.push_back(itemFromProto(Item));
  return To;
}

fleet_config fromProto(const FleetConfig &From) {
  fleet_config To;
  To.Revision.Value = From.revision();
  for (const Intent &Each : From.intents())
    To.Intents.push_back(fromProto(Each));
  for (const std::uint32_t Zone : From.zones_out())
    To.ZonesOut.push_back({static_cast<std::uint16_t>(Zone)});
  for (const std::uint32_t Endpoint : From.leaving())
    To.Leaving.push_back({Endpoint});
  return To;
}

membership fromProto(const Membership &From) {
  membership To;
  To.Epoch = From.epoch();
  for (const std::uint32_t Vm : From.live())
    To.Live.push_back({Vm});
  return To;
}

} // namespace bulrush::wire

#include "wire/fleet_codec.h"

#include "control/build_level.h"
#include "wire/generated/fleet.pb.h"
#include "wire/quota_codec.h"
#include "wire/rollout_codec.h"
#include "wire/voter_codec.h"

namespace bulrush::wire {

namespace {

void identitiesToProto(
    const std::vector<relay::endpoint_identity> &From,
    google::protobuf::RepeatedPtrField<EndpointIdentity> &To) {
  for (const relay::endpoint_identity &Each : From) {
    EndpointIdentity &Item = *To.Add();
    Item.set_instance(Each.Instance);
    Item.set_born(Each.StartTimeMs);
  }
}

std::vector<relay::endpoint_identity> identitiesFromProto(
    const google::protobuf::RepeatedPtrField<EndpointIdentity> &From) {
  std::vector<relay::endpoint_identity> To;
  for (const EndpointIdentity &Item : From)
    To.push_back({Item.instance(), Item.born()});
  return To;
}

template <class Vms, class Field> void vmsToProto(const Vms &From, Field &To) {
  for (const vm_id Vm : From)
    To.Add(Vm.Value);
}

template <class Field> std::vector<vm_id> vmsFromProto(const Field &From) {
  std::vector<vm_id> To;
  for (const std::uint32_t Each : From)
    To.push_back({Each});
  return To;
}

void bodyToProto(const fleet::subscribe &From, FleetMessage &To) {
  Subscribe &Out = *To.mutable_subscribe();
  Out.set_node(From.Node);
  Out.set_zone(From.Zone);
  Out.set_incarnation(From.Incarnation.Value);
  Out.set_revision(From.Revision.Value);
  Out.set_catalog_version(From.CatalogVersion);
  Out.set_machine(From.Vm.Value);
  Out.set_level(From.Level);
}

void bodyToProto(const fleet::redirect &From, FleetMessage &To) {
  To.mutable_redirect()->set_leader(From.Leader.Value);
  vmsToProto(From.Voters, *To.mutable_redirect()->mutable_voters());
}

void toProto(const relay::service &From, Service &To) {
  To.set_name(From.Name.Value);
  To.set_health_path(From.HealthPath);
  To.set_max_connections(From.MaxConnections);
  To.set_cold_rate(From.ColdRate);
  To.set_cold_for_ms(From.ColdFor.Count);
}

void toProto(const relay::route &From, Route &To) {
  To.set_name(From.Name);
  To.set_host(From.Host);
  To.set_path_prefix(From.PathPrefix);
  To.set_idempotent(From.IsIdempotent);
  To.set_timeout_ms(From.Timeout.Count);
  To.set_objective_ms(From.Objective.Count);
  To.set_rank(From.Priority);
  To.set_max_attempts(From.MaxAttempts);
  for (const relay::weighted_service &Each : From.Targets) {
    WeightedService &Target = *To.add_targets();
    Target.set_service(Each.Service.Value);
    Target.set_weight(Each.Weight);
  }
  for (const relay::service_name &Each : From.Gather.Shards)
    To.add_shards(Each.Value);
  To.set_top_records(From.Gather.TopRecords);
  To.set_least_share(From.Gather.MinCoverage);
  To.set_public_(From.IsPublic);
}

void toProto(const relay::account &From, Account &To) {
  To.set_name(From.Name.Value);
  for (const std::string &Each : From.Keys)
    To.add_keys(Each);
  if (From.Priority)
    To.set_rank(*From.Priority);
  To.set_rate(From.Rate.PerSecond);
  To.set_burst(From.Burst);
}

void toProto(const relay::catalog_change &From, CatalogChange &To) {
  To.set_base(From.Base.Value);
  To.set_version(From.Version.Value);
  for (const relay::service &Each : From.Services)
    toProto(Each, *To.add_services());
  for (const relay::service_name &Each : From.RemovedServices)
    To.add_services_gone(Each.Value);
  for (const relay::route &Each : From.Routes)
    toProto(Each, *To.add_routes());
  for (const relay::route_key &Each : From.RemovedRoutes) {
    RouteKey &Key = *To.add_routes_gone();
    Key.set_host(Each.Host);
    Key.set_path_prefix(Each.PathPrefix);
  }
  ClientLimits &Limits = *To.mutable_limits();
  Limits.set_max_header_bytes(From.Limits.MaxHeaderBytes);
  Limits.set_max_body_bytes(From.Limits.MaxBodyBytes);
  Limits.set_header_timeout_ms(From.Limits.HeaderTimeout.Count);
  Limits.set_idle_timeout_ms(From.Limits.IdleTimeout.Count);
  for (const relay::account &Each : From.Accounts)
    toProto(Each, *To.add_accounts());
  for (const relay::account_name &Each : From.RemovedAccounts)
    To.add_accounts_gone(Each.Value);
  To.set_has_accounts(From.HasAccounts);
}

void bodyToProto(const fleet::fleet_state &From, FleetMessage &To) {
  FleetState &Out = *To.mutable_state();
  Out.set_revision(From.Revision.Value);
  Out.set_catalog_version(From.CatalogVersion);
  if (From.Catalog)
    toProto(*From.Catalog, *Out.mutable_catalog());
  for (const std::string &Zone : From.ZonesOut)
    Out.add_zones_out(Zone);
  vmsToProto(From.Voters, *Out.mutable_voters());
  Out.set_level(From.Level);
  for (const relay::version_policy &Each : From.Policies)
    toProto(Each, *Out.add_policies());
}

void bodyToProto(const fleet::endpoint_directory &From, FleetMessage &To) {
  Directory &Out = *To.mutable_directory();
  Out.set_term(From.Change.Version.Term);
  Out.set_sequence(From.Change.Version.Sequence);
  Out.set_base_term(From.Change.Base.Term);
  Out.set_base_sequence(From.Change.Base.Sequence);
  Out.set_age_ms(From.Age.Count);
  identitiesToProto(From.Change.Removed, *Out.mutable_gone());
  for (const relay::listed_endpoint &Each : From.Change.Endpoints) {
    ListedEndpoint &Item = *Out.add_endpoints();
    Item.set_instance(Each.Identity.Instance);
    Item.set_born(Each.Identity.StartTimeMs);
    Item.set_service(Each.Service.Value);
    Item.set_host(Each.Address.Host);
    Item.set_port(Each.Address.Port);
    Item.set_zone(Each.Zone);
    Item.set_slots(Each.Slots);
    Item.set_leaving(Each.IsLeaving);
    Item.set_cold_for_ms(Each.ColdFor.Count);
    Item.set_version(Each.Version.Value);
  }
}

void bodyToProto(const fleet::leader_heartbeat &From, FleetMessage &To) {
  To.mutable_leader_beat()->set_revision(From.Revision.Value);
  To.mutable_leader_beat()->set_peers(From.Peers);
}

void bodyToProto(const fleet::applied &From, FleetMessage &To) {
  To.mutable_applied()->set_revision(From.Revision.Value);
  To.mutable_applied()->set_leaving(From.IsLeaving);
  To.mutable_applied()->set_reach_lost(!From.HasReach);
}

void bodyToProto(const fleet::roster &From, FleetMessage &To) {
  Roster &Out = *To.mutable_roster();
  Out.set_whole(From.IsFull);
  vmsToProto(From.Left, *Out.mutable_left());
  for (const relay::relay_peer &Each : From.Joined) {
    RelayPeer &Item = *Out.add_joined();
    Item.set_machine(Each.Vm.Value);
    Item.set_zone(Each.Zone);
    Item.set_reach_lost(!Each.HasReach);
  }
}

void headersToProto(const std::vector<http::header> &From,
                    google::protobuf::RepeatedPtrField<Header> &To) {
  for (const http::header &Each : From) {
    Header &Item = *To.Add();
    Item.set_name(Each.Name);
    Item.set_value(Each.Value);
  }
}

std::vector<http::header>
headersFromProto(const google::protobuf::RepeatedPtrField<Header> &From) {
  std::vector<http::header> To;
  for (const Header &Each : From)
    To.push_back({Each.name(), Each.value()});
  return To;
}

void bodyToProto(const relay::shard_request &From, FleetMessage &To) {
  ShardAsk &Out = *To.mutable_shard_ask();
  const relay::opaque_request &Content = *From.Content;
  Out.set_ask(From.Id.Value);
  Out.set_request_id(Content.RequestId);
  Out.set_method(Content.Method);
  Out.set_host(Content.Host);
  Out.set_target(Content.Target);
  Out.set_body(Content.Body);
  headersToProto(Content.Headers, *Out.mutable_headers());
  for (const relay::service_name &Each : From.Shards)
    Out.add_shards(Each.Value);
  Out.set_route_key(From.RouteKey);
  Out.set_top_records(From.TopRecords);
  Out.set_max_attempts(From.MaxAttempts);
  Out.set_objective_ms(static_cast<float>(From.Objective.Count));
  Out.set_answer_in_ms(static_cast<float>(From.SoftTimeout.Count));
  Out.set_remaining_ms(static_cast<float>(From.Remaining.Count));
  Out.set_repeat(From.IsRetry);
  Out.set_whole(!From.IsQuery);
  Out.set_non_idempotent(!From.IsIdempotent);
  identitiesToProto(From.Leaving, *Out.mutable_leaving());
  Out.set_account(Content.Account.Value);
  Out.set_rank(From.Priority);
}

void bodyToProto(const relay::shard_reply &From, FleetMessage &To) {
  ShardReply &Out = *To.mutable_shard_reply();
  Out.set_ask(From.ShardRequest.Value);
  for (const std::uint32_t Each : From.Covered)
    Out.add_covered(Each);
  for (const std::string &Each : From.Signatures)
    Out.add_signatures(Each);
  Out.set_records(From.Records);
  Out.set_final(From.IsFinal);
  Out.set_wants_repeat(From.WantsRetry);
  Out.set_not_run(From.IsNotRun);
  for (const std::uint32_t Each : From.Unreachable)
    Out.add_unreachable(Each);
  for (const std::uint32_t Each : From.Interrupted)
    Out.add_interrupted(Each);
  Out.set_reach_lost(From.IsReachLost);
  identitiesToProto(From.Leaving, *Out.mutable_leaving());
  Out.set_retry_after_ms(From.RetryAfter.Count);
  if (!From.Reply)
    return;
  EndpointReply &Reply = *Out.mutable_reply();
  Reply.set_status(From.Reply->Status);
  headersToProto(From.Reply->Headers, *Reply.mutable_headers());
  Reply.set_body(From.Reply->Body);
  Reply.set_signature(From.Reply->Signature);
}

void bodyToProto(const fleet::retry_grant &From, FleetMessage &To) {
  To.mutable_grant_repeat()->set_ask(From.ShardRequest.Value);
}

void bodyToProto(const fleet::shard_request_cancel &From, FleetMessage &To) {
  To.mutable_cancel_ask()->set_ask(From.ShardRequest.Value);
  To.mutable_cancel_ask()->set_client_left(From.HasClientDisconnected);
}

void bodyToProto(const fleet::known_voters &From, FleetMessage &To) {
  vmsToProto(From.Voters, *To.mutable_known_voters()->mutable_voters());
}

void toProto(const relay::limit_statement &From, EndpointLimit &To) {
  To.set_instance(From.Endpoint.Instance);
  To.set_born(From.Endpoint.StartTimeMs);
  if (From.Limit)
    To.set_rate(From.Limit->PerSecond);
  To.set_age_ms(From.Age.Count);
}

void bodyToProto(const fleet::limit_reports &From, FleetMessage &To) {
  LimitReports &Out = *To.mutable_limit_reports();
  for (const relay::limit_report &Each : From.Reports) {
    EndpointLimit &Item = *Out.add_limits();
    toProto(Each.Statement, Item);
    Item.set_demand(Each.Demand.PerSecond);
    if (Each.WantsTurnWithin)
      Item.set_wants_turn_within_ms(Each.WantsTurnWithin->Count);
  }
}

void bodyToProto(const fleet::limit_grants &From, FleetMessage &To) {
  LimitGrants &Out = *To.mutable_limit_grants();
  for (const relay::limit_grant &Each : From.Grants) {
    EndpointLimit &Item = *Out.add_limits();
    toProto(Each.Statement, Item);
    if (Each.Share)
      Item.set_share(Each.Share->PerSecond);
    if (Each.TurnIn)
      Item.set_turn_in_ms(Each.TurnIn->Count);
    Item.set_ask_again_in_ms(Each.AskAgainIn.Count);
  }
}

void bodyToProto(const fleet::crash_reports &From, FleetMessage &To) {
  CrashReports &Out = *To.mutable_crash_reports();
  for (const relay::crash_report &Each : From.Reports) {
    CrashReport &Item = *Out.add_reports();
    Item.set_request(Each.Request.Value);
    Item.set_succeeded(Each.HasSucceeded);
    Item.set_quarantine_left_ms(Each.QuarantineLeft.Count);
    for (const relay::crash_mark &Crash : Each.Crashes) {
      CrashMark &Mark = *Item.add_crashes();
      Mark.set_instance(Crash.Endpoint.Instance);
      Mark.set_born(Crash.Endpoint.StartTimeMs);
      Mark.set_age_ms(Crash.Age.Count);
      Mark.set_ran_for_ms(Crash.RanFor.Count);
    }
  }
}

void bodyToProto(const fleet::request_verdicts &From, FleetMessage &To) {
  RequestVerdicts &Out = *To.mutable_request_verdicts();
  for (const relay::verdict_notice &Each : From.Notices) {
    VerdictNotice &Item = *Out.add_notices();
    Item.set_request(Each.Request.Value);
    Item.set_verdict(static_cast<VerdictNotice::Verdict>(Each.Verdict));
    Item.set_quarantine_left_ms(Each.QuarantineLeft.Count);
  }
}

void bodyToProto(const fleet::rollout_reports &From, FleetMessage &To) {
  toProto(From, *To.mutable_rollout_reports());
}

void bodyToProto(const fleet::version_policies &From, FleetMessage &To) {
  for (const relay::version_policy &Each : From.Policies)
    toProto(Each, *To.mutable_version_policies()->add_policies());
}

void bodyToProto(const fleet::quota_reports &From, FleetMessage &To) {
  toProto(From, *To.mutable_quota_reports());
}

void bodyToProto(const fleet::quota_grants &From, FleetMessage &To) {
  toProto(From, *To.mutable_quota_grants());
}

void bodyToProto(const control::message &From, FleetMessage &To) {
  toProto(From, *To.mutable_voter());
}

fleet::subscribe fromProto(const Subscribe &From) {
  return {From.node(),
          From.zone(),
          {From.incarnation()},
          {From.revision()},
          From.catalog_version(),
          {From.machine()},
          From.level()};
}

fleet::roster fromProto(const Roster &From) {
  fleet::roster To;
  To.IsFull = From.whole();
  To.Left = vmsFromProto(From.left());
  for (const RelayPeer &Each : From.joined())
    To.Joined.push_back({{Each.machine()}, Each.zone(), !Each.reach_lost()});
  return To;
}

relay::shard_request fromProto(const ShardAsk &From) {
  auto Content = std::make_shared<relay::opaque_request>();
  Content->RequestId = From.request_id();
  Content->Method = From.method();
  Content->Host = From.host();
  Content->Target = From.target();
  Content->Body = From.body();
  Content->Headers = headersFromProto(From.headers());
  Content->Account = {From.account()};
  relay::shard_request To;
  To.Id = {From.ask()};
  To.Content = std::move(Content);
  for (const std::string &Each : From.shards())
    To.Shards.push_back({Each});
  To.RouteKey = From.route_key();
  To.TopRecords = From.top_records();
  To.MaxAttempts = From.max_attempts();
  To.Objective = {From.objective_ms()};
  To.SoftTimeout = {From.answer_in_ms()};
  To.Remaining = {From.remaining_ms()};
  To.IsRetry = From.repeat();
  To.IsQuery = !From.whole();
  To.IsIdempotent = !From.non_idempotent();
  To.Priority = From.rank();
  To.Leaving = identitiesFromProto(From.leaving());
  return To;
}

relay::shard_reply fromProto(const ShardReply &From) {
  relay::shard_reply To;
  To.ShardRequest = {From.ask()};
  To.Covered = {From.covered().begin(), From.covered().end()};
  To.Signatures = {From.signatures().begin(), From.signatures().end()};
  To.Records = From.records();
  To.IsFinal = From.final();
  To.WantsRetry = From.wants_repeat();
  To.IsNotRun = From.not_run();
  To.Unreachable = {From.unreachable().begin(), From.unreachable().end()};
  To.Interrupted = {From.interrupted().begin(), From.interrupted().end()};
  To.IsReachLost = From.reach_lost();
  To.RetryAfter = {From.retry_after_ms()};
  To.Leaving = identitiesFromProto(From.leaving());
  // Without a reply, the outcome of the request counts as unknown.
  if (!From.has_reply() || !http::isFinalStatus(From.reply().status()))
    return To;
  auto Reply = std::make_shared<relay::endpoint_reply>();
  Reply->Status = From.reply().status();
  Reply->Headers = headersFromProto(From.reply().headers());
  Reply->Body = From.reply().body();
  Reply->Signature = From.reply().signature();
  To.Reply = std::move(Reply);
  return To;
}

relay::service fromProto(const Service &From) {
  return {{From.name()},
          From.health_path(),
          From.max_connections(),
          From.cold_rate(),
          {From.cold_for_ms()}};
}

relay::route fromProto(const Route &From) {
  relay::route To;
  To.Name = From.name();
  To.Host = From.host();
  To.PathPrefix = From.path_prefix();
  To.IsIdempotent = From.idempotent();
  To.Timeout = {From.timeout_ms()};
  To.Objective = {From.objective_ms()};
  To.Priority = From.rank();
  To.MaxAttempts = From.max_attempts();
  for (const WeightedService &Each : From.targets())
    To.Targets.push_back({{Each.service()}, Each.weight()});
  for (const std::string &Each : From.shards())
    To.Gather.Shards.push_back({Each});
  To.Gather.TopRecords = From.top_records();
  To.Gather.MinCoverage = From.least_share();
  To.IsPublic = From.public_();
  return To;
}

relay::account fromProto(const Account &From) {
  relay::account To;
  To.Name = {From.name()};
  To.Keys = {From.keys().begin(), From.keys().end()};
  if (From.has_rank())
    To.Priority = From.rank();
  To.Rate = {From.rate()};
  To.Burst = From.burst();
  return To;
}

relay::catalog_change fromProto(const CatalogChange &From) {
  relay::catalog_change To;
  To.Base = {From.base()};
  To.Version = {From.version()};
  for (const Service &Each : From.services())
    To.Services.push_back(fromProto(Each));
  for (const std::string &Each : From.services_gone())
    To.RemovedServices.push_back({Each});
  for (const Route &Each : From.routes())
    To.Routes.push_back(fromProto(Each));
  for (const RouteKey &Each : From.routes_gone())
    To.RemovedRoutes.push_back({Each.host(), Each.path_prefix()});
  To.Limits = {From.limits().max_header_bytes(),
               From.limits().max_body_bytes(),
               {From.limits().header_timeout_ms()},
               {From.limits().idle_timeout_ms()}};
  for (const Account &Each : From.accounts())
    To.Accounts.push_back(fromProto(Each));
  for (const std::string &Each : From.accounts_gone())
    To.RemovedAccounts.push_back({Each});
  To.HasAccounts = From.has_accounts();
  return To;
}

fleet::fleet_state fromProto(const FleetState &From) {
  fleet::fleet_state To;
  To.Revision = {From.revision()};
  To.CatalogVersion = From.catalog_version();
  if (From.has_catalog())
    To.Catalog = fromProto(From.catalog());
  To.ZonesOut = {From.zones_out().begin(), From.zones_out().end()};
  To.Voters = vmsFromProto(From.voters());
  To.Level = From.level();
  for (const VersionPolicy &Each : From.policies())
    To.Policies.push_back(fromProto(Each));
  return To;
}

fleet::endpoint_directory fromProto(const Directory &From) {
  fleet::endpoint_directory To;
  To.Change.Version = {From.term(), From.sequence()};
  To.Change.Base = {From.base_term(), From.base_sequence()};
  To.Age = {From.age_ms()};
  To.Change.Removed = identitiesFromProto(From.gone());
  for (const ListedEndpoint &Item : From.endpoints()) {
    relay::listed_endpoint &Each = To.Change.Endpoints.emplace_back();
    Each.Identity = {Item.instance(), Item.born()};
    Each.Service = {Item.service()};
    Each.Address = {Item.host(), static_cast<std::uint16_t>(Item.port())};
    Each.Zone = Item.zone();
    Each.Slots = Item.slots();
    Each.IsLeaving = Item.leaving();
    Each.ColdFor = {Item.cold_for_ms()};
    Each.Version = {Item.version()};
  }
  return To;
}

relay::limit_statement fromProto(const EndpointLimit &From) {
  relay::limit_statement To;
  To.Endpoint = {From.instance(), From.born()};
  if (From.has_rate())
    To.Limit = request_rate{From.rate()};
  To.Age = {From.age_ms()};
  return To;
}

fleet::limit_reports fromProto(const LimitReports &From) {
  fleet::limit_reports To;
  for (const EndpointLimit &Item : From.limits()) {
    relay::limit_report &Each = To.Reports.emplace_back();
    Each.Statement = fromProto(Item);
    Each.Demand = {Item.demand()};
    if (Item.has_wants_turn_within_ms())
      Each.WantsTurnWithin = millis{Item.wants_turn_within_ms()};
  }
  return To;
}

fleet::limit_grants fromProto(const LimitGrants &From) {
  fleet::limit_grants To;
  for (const EndpointLimit &Item : From.limits()) {
    relay::limit_grant &Each = To.Grants.emplace_back();
    Each.Statement = fromProto(Item);
    if (Item.has_share())
      Each.Share = request_rate{Item.share()};
    if (Item.has_turn_in_ms())
      Each.TurnIn = millis{Item.turn_in_ms()};
    Each.AskAgainIn = {Item.ask_again_in_ms()};
  }
  return To;
}

fleet::crash_reports fromProto(const CrashReports &From) {
  fleet::crash_reports To;
  for (const CrashReport &Item : From.reports()) {
    relay::crash_report &Each = To.Reports.emplace_back();
    Each.Request = {Item.request()};
    Each.HasSucceeded = Item.succeeded();
    Each.QuarantineLeft = {Item.quarantine_left_ms()};
    for (const CrashMark &Mark : Item.crashes())
      Each.Crashes.push_back({{Mark.instance(), Mark.born()},
                              {Mark.ran_for_ms()},
                              {Mark.age_ms()}});
  }
  return To;
}

relay::request_verdict fromProto(VerdictNotice::Verdict From) {
  switch (From) {
  case VerdictNotice::QUARANTINED:
    return relay::request_verdict::quarantined;
  case VerdictNotice::WATCHED:
    return relay::request_verdict::watched;
  default:
    return relay::request_verdict::cleared;
  }
}

fleet::request_verdicts fromProto(const RequestVerdicts &From) {
  fleet::request_verdicts To;
  for (const VerdictNotice &Item : From.notices())
    To.Notices.push_back({{Item.request()},
                          fromProto(Item.verdict()),
                          {Item.quarantine_left_ms()}});
  return To;
}

} // namespace

std::string encode(const fleet::fleet_message &Message) {
  FleetMessage Out;
  std::visit([&](const auto &Body) { bodyToProto(Body, Out); }, Message);
  return Out.SerializeAsString();
}

expected<fleet::fleet_message> decodeFleet(std::string_view Bytes) {
  FleetMessage In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return fail("fleet message: malformed");
  switch (In.body_case()) {
  case FleetMessage::kSubscribe:
    return fromProto(In.subscribe());
  case FleetMessage::kRedirect:
    return fleet::redirect{{In.redirect().leader()},
                           vmsFromProto(In.redirect().voters())};
  case FleetMessage::kState:
    return fromProto(In.state());
  case FleetMessage::kDirectory:
    return fromProto(In.directory());
  case FleetMessage::kLeaderBeat:
    return fleet::leader_heartbeat{{In.leader_beat().revision()},
                                   In.leader_beat().peers()};
  case FleetMessage::kApplied:
    return fleet::applied{{In.applied().revision()},
                          In.applied().leaving(),
                          !In.applied().reach_lost()};
  case FleetMessage::kRoster:
    return fromProto(In.roster());
  case FleetMessage::kShardAsk:
    return fromProto(In.shard_ask());
  case FleetMessage::kShardReply:
    return fromProto(In.shard_reply());
  case FleetMessage::kGrantRepeat:
    return fleet::retry_grant{{In.grant_repeat().ask()}};
  case FleetMessage::kCancelAsk:
    return fleet::shard_request_cancel{{In.cancel_ask().ask()},
                                       In.cancel_ask().client_left()};
  case FleetMessage::kRolloutReports:
    return fromProto(In.rollout_reports());
  case FleetMessage::kQuotaReports:
    return fromProto(In.quota_reports());
  case FleetMessage::kQuotaGrants:
    return fromProto(In.quota_grants());
  case FleetMessage::kVersionPolicies: {
    fleet::version_policies Out;
    for (const VersionPolicy &Each : In.version_policies().policies())
      Out.Policies.push_back(fromProto(Each));
    return Out;
  }
  case FleetMessage::kKnownVoters:
    return fleet::known_voters{vmsFromProto(In.known_voters().voters())};
  case FleetMessage::kLimitReports:
    return fromProto(In.limit_reports());
  case FleetMessage::kLimitGrants:
    return fromProto(In.limit_grants());
  case FleetMessage::kCrashReports:
    return fromProto(In.crash_reports());
  case FleetMessage::kRequestVerdicts:
    return fromProto(In.request_verdicts());
  case FleetMessage::kVoter: {
    auto Voter = fromProto(In.voter());
    if (!Voter)
      return fail(Voter.error());
    return std::move(*Voter);
  }
  case FleetMessage::BODY_NOT_SET:
    break;
  }
  return fail("fleet message: missing or unknown body");
}

namespace {

/// Returns the number of the first field that this build does not know; empty
/// if there is none.
std::string firstUnknownField(const google::protobuf::Message &Message) {
  const auto &Fields = Message.GetReflection()->GetUnknownFields(Message);
  return Fields.empty() ? "" : std::to_string(Fields.field(0).number());
}

/// Values of `RegistryCommand.kind`.
enum class command_kind : std::uint32_t {
  unnamed = 0, ///< found from the fields that are set, as by level 0
  start_rollout = 1,
  advance_rollout = 2,
  end_rollout = 3,
  raise_level = 4,
  establish_version = 5
};

void setKind(command_kind Kind, RegistryCommand &To) {
  To.set_kind(static_cast<std::uint32_t>(Kind));
}

void toProto(const control::put_catalog &From, RegistryCommand &To) {
  To.set_catalog_version(From.Version);
  To.set_catalog(*From.Bytes);
}

void toProto(const control::set_zone &From, RegistryCommand &To) {
  To.set_zone(From.Zone);
  To.set_zone_out(From.IsOut);
}

void toProto(const control::set_fleet_size &From, RegistryCommand &To) {
  To.set_fleet_size(From.Daemons);
}

void toProto(const control::set_quarantine &From, RegistryCommand &To) {
  To.set_quarantined_request(From.Request);
  To.set_quarantined_until(From.UntilMs);
}

void toProto(const control::start_rollout &From, RegistryCommand &To) {
  setKind(command_kind::start_rollout, To);
  toProto(From, *To.mutable_rollout());
}

void toProto(const control::advance_rollout &From, RegistryCommand &To) {
  setKind(command_kind::advance_rollout, To);
  toProto(From, *To.mutable_rollout());
}

void toProto(const control::end_rollout &From, RegistryCommand &To) {
  setKind(command_kind::end_rollout, To);
  toProto(From, *To.mutable_rollout());
}

void toProto(const control::raise_level &From, RegistryCommand &To) {
  setKind(command_kind::raise_level, To);
  To.set_level(From.Level);
}

void toProto(const control::establish_version &From, RegistryCommand &To) {
  setKind(command_kind::establish_version, To);
  To.mutable_established()->set_service(From.Service.Value);
  To.mutable_established()->set_version(From.Version.Value);
}

} // namespace

std::string unknownKind(std::string_view Bytes) {
  FleetMessage In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return {};
  if (In.body_case() == FleetMessage::BODY_NOT_SET)
    return firstUnknownField(In);
  if (!In.has_voter() || In.voter().body_case() != VoterMessage::BODY_NOT_SET)
    return {};
  const std::string Field = firstUnknownField(In.voter());
  return Field.empty() ? Field : "voter." + Field;
}

std::string encode(const control::registry_command &Command) {
  RegistryCommand Out;
  std::visit([&](const auto &Each) { toProto(Each, Out); }, Command);
  return Out.SerializeAsString();
}

namespace {

control::registry_command levelZeroCommand(const RegistryCommand &In) {
  if (In.fleet_size() > 0)
    return control::set_fleet_size{In.fleet_size()};
  if (In.has_quarantined_until())
    return control::set_quarantine{In.quarantined_request(),
                                   In.quarantined_until()};
  if (In.zone().empty())
    return control::put_catalog{In.catalog_version(),
                                control::shareBytes(In.catalog())};
  return control::set_zone{In.zone(), In.zone_out()};
}

} // namespace

expected<control::registry_command>
decodeRegistryCommand(std::string_view Bytes) {
  RegistryCommand In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return fail("registry command: malformed");
  switch (static_cast<command_kind>(In.kind())) {
  case command_kind::unnamed:
    return levelZeroCommand(In);
  case command_kind::start_rollout:
    return startRolloutFromProto(In.rollout());
  case command_kind::advance_rollout:
    return advanceRolloutFromProto(In.rollout());
  case command_kind::end_rollout:
    return endRolloutFromProto(In.rollout());
  case command_kind::establish_version:
    return control::establish_version{{In.established().service()},
                                      {In.established().version()}};
  case command_kind::raise_level:
    if (In.level() > control::BuildLevel)
      return fail("registry command: raises the level to " +
                  std::to_string(In.level()));
    return control::raise_level{In.level()};
  default:
    return fail("registry command: unknown kind " + std::to_string(In.kind()));
  }
}

std::string encode(const control::registry_state &State) {
  RegistrySnapshot Out;
  Out.set_revision(State.Revision.Value);
  Out.set_catalog_version(State.CatalogVersion);
  Out.set_catalog(*State.Catalog);
  for (const std::string &Zone : State.ZonesOut)
    Out.add_zones_out(Zone);
  Out.set_fleet_size(State.FleetSize);
  for (const auto &[Request, UntilMs] : State.Quarantines)
    (*Out.mutable_quarantines())[Request] = UntilMs;
  for (const auto &[Service, Rollout] : State.Rollouts)
    toProto(Service, Rollout, *Out.add_rollouts());
  for (const auto &[Service, Version] : State.Established) {
    EstablishedVersion &Item = *Out.add_established();
    Item.set_service(Service.Value);
    Item.set_version(Version.Value);
  }
  Out.set_level(State.Level);
  return Out.SerializeAsString();
}

expected<control::registry_state> decodeRegistryState(std::string_view Bytes) {
  RegistrySnapshot In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return fail("registry snapshot: malformed");
  if (In.level() > control::BuildLevel)
    return fail("registry snapshot: level " + std::to_string(In.level()));
  control::registry_state State;
  State.Revision = {In.revision()};
  State.CatalogVersion = In.catalog_version();
  State.Catalog = control::shareBytes(In.catalog());
  State.ZonesOut = {In.zones_out().begin(), In.zones_out().end()};
  State.FleetSize = In.fleet_size();
  State.Quarantines = {In.quarantines().begin(), In.quarantines().end()};
  for (const Rollout &Each : In.rollouts())
    State.Rollouts[{Each.service()}] = fromProto(Each);
  for (const EstablishedVersion &Each : In.established())
    State.Established[{Each.service()}] = {Each.version()};
  State.Level = In.level();
  return State;
}

record_header commandHeader(std::string_view Bytes) {
  RegistryCommand In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return {};
  return {In.kind(), In.level()};
}

record_header snapshotHeader(std::string_view Bytes) {
  RegistrySnapshot In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return {};
  return {0, In.level()};
}

} // namespace bulrush::wire

#include "wire/daemon_codec.h"

#include "wire/control_codec.h"
#include "wire/generated/control.pb.h"
#include "wire/query_codec.h"

namespace bulrush::wire {

namespace {

using namespace control;

void toProto(const config_update &From, ConfigUpdate &To) {
  To.set_base(From.Base.Value);
  for (const change &Change : From.Changes)
    toProto(Change, *To.add_changes());
  if (From.FullConfig)
    toProto(*From.FullConfig, *To.mutable_whole());
  To.set_digest(From.Digest);
}

expected<config_update> fromProto(const ConfigUpdate &From) {
  config_update To;
  To.Base = {From.base()};
  To.Digest = From.digest();
  if (From.has_whole())
    To.FullConfig = fromProto(From.whole());
  for (const Change &Each : From.changes()) {
    auto Change = fromProto(Each);
    if (!Change)
      return fail(Change.error());
    To.Changes.push_back(std::move(*Change));
  }
  return To;
}

void toProto(const grant_version &From, GrantVersion &To) {
  To.set_term(From.Term.Value);
  To.set_number(From.Number);
}

grant_version fromProto(const GrantVersion &From) {
  return {{From.term()}, From.number()};
}

} // namespace

void toProto(const control::heartbeat &From, Heartbeat &To) {
  To.set_sequence(From.Sequence);
  To.set_applied_revision(From.Applied.Value);
  To.set_membership_epoch(From.MembershipEpoch);
  toProto(From.Grants, *To.mutable_grants());
  To.set_leaving(From.Leaving);
}

void toProto(const control::heartbeat_reply &From, HeartbeatReply &To) {
  To.set_sequence(From.Sequence);
  To.set_term(From.Term.Value);
  To.set_freshness_ms(From.Freshness.Count);
  To.set_ownership_ms(From.Ownership.Count);
  To.set_revision(From.Revision.Value);
  if (From.Config)
    toProto(*From.Config, *To.mutable_config());
  if (From.Members)
    toProto(*From.Members, *To.mutable_membership());
  toProto(From.Grants, *To.mutable_grants());
  if (!From.Owned)
    return;
  GrantSet &Owned = *To.mutable_owned();
  for (const grant &Each : *From.Owned) {
    Grant &Item = *Owned.add_items();
    Item.set_endpoint(Each.Endpoint.Value);
    Item.set_inherited_for_ms(Each.InheritedFor.Count);
  }
}

void toProto(const control::send_ledger_request &From, LedgerAsk &To) {
  if (const auto *Start = std::get_if<ledger_start>(&From.Request))
    toProto(*Start, *To.mutable_start());
  else
    toProto(std::get<ledger_finish>(From.Request), *To.mutable_finish());
}

void toProto(const control::ledger_answer &From, LedgerAnswer &To) {
  toProto(From.Run, *To.mutable_run());
  To.set_verdict(static_cast<std::uint32_t>(From.Verdict));
  To.set_outcome(static_cast<std::uint32_t>(From.Outcome));
  To.set_reason(static_cast<std::uint32_t>(From.Reason));
  To.set_body(From.Body);
}

control::heartbeat fromProto(const Heartbeat &From) {
  return {From.sequence(),
          {From.applied_revision()},
          From.membership_epoch(),
          fromProto(From.grants()),
          From.leaving()};
}

expected<control::heartbeat_reply> fromProto(const HeartbeatReply &From) {
  heartbeat_reply To;
  To.Sequence = From.sequence();
  To.Term = {From.term()};
  To.Freshness = {From.freshness_ms()};
  To.Ownership = {From.ownership_ms()};
  To.Revision = {From.revision()};
  To.Grants = fromProto(From.grants());
  if (From.has_config()) {
    auto Config = fromProto(From.config());
    if (!Config)
      return fail(Config.error());
    To.Config = std::move(*Config);
  }
  if (From.has_membership())
    To.Members = fromProto(From.membership());
  if (From.has_owned())
    To.Owned.emplace();
  for (const Grant &Each : From.owned().items())
    To.Owned->push_back({{Each.endpoint()}, {Each.inherited_for_ms()}});
  return To;
}

expected<control::ledger_request_received> fromProto(const LedgerAsk &From) {
  if (From.has_start())
    return ledger_request_received{fromProto(From.start())};
  if (From.has_finish())
    return ledger_request_received{fromProto(From.finish())};
  return fail("ledger request of unknown kind");
}

expected<control::ledger_answer> fromProto(const LedgerAnswer &From) {
  if (From.verdict() > static_cast<std::uint32_t>(ledger_verdict::recorded))
    return fail("ledger answer with unknown verdict");
  return ledger_answer{fromProto(From.run()),
                       static_cast<ledger_verdict>(From.verdict()),
                       outcomeFromProto(From.outcome()),
                       refusalFromProto(From.reason()), From.body()};
}

} // namespace bulrush::wire

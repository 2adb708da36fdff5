#include "wire/voter_codec.h"

#include "wire/generated/voter.pb.h"

namespace bulrush::wire {

namespace {

void groupToProto(const control::voter_group &From, VoterGroup &To) {
  for (const control::group_member &Member : From.Members) {
    GroupMember &Out = *To.add_members();
    Out.set_voter(Member.Id.Value);
    Out.set_vm(Member.Vm.Value);
    Out.set_learner(Member.Role == control::member_role::learner);
  }
}

control::voter_group groupFromProto(const VoterGroup &From) {
  control::voter_group To;
  for (const GroupMember &Member : From.members())
    To.Members.push_back({{Member.voter()},
                          {Member.vm()},
                          Member.learner() ? control::member_role::learner
                                           : control::member_role::voter});
  return To;
}

void bodyToProto(const control::vote_request &From, VoterMessage &To) {
  VoteRequest &Out = *To.mutable_vote_request();
  Out.set_pre_vote(From.PreVote);
  Out.set_transfer(From.Transfer);
  Out.set_last_index(From.LastIndex.Value);
  Out.set_last_term(From.LastTerm.Value);
}

void bodyToProto(const control::vote_reply &From, VoterMessage &To) {
  To.mutable_vote_reply()->set_pre_vote(From.PreVote);
  To.mutable_vote_reply()->set_granted(From.Granted);
}

void bodyToProto(const control::append_request &From, VoterMessage &To) {
  AppendRequest &Out = *To.mutable_append_request();
  Out.set_prev_index(From.PrevIndex.Value);
  Out.set_prev_term(From.PrevTerm.Value);
  Out.set_commit(From.Commit.Value);
  Out.set_sent_at_ms(From.SentAt.Ms);
  for (const control::log_entry &Entry : From.Entries) {
    LogEntry &Item = *Out.add_entries();
    Item.set_index(Entry.Index.Value);
    Item.set_term(Entry.Term.Value);
    Item.set_kind(static_cast<std::uint32_t>(Entry.Kind));
    Item.set_payload(*Entry.Payload);
  }
  for (const control::held_position &Held : From.Held) {
    HeldPosition &Item = *Out.add_held();
    Item.set_voter(Held.Voter.Value);
    Item.set_boot(Held.Boot.Value);
    Item.set_index(Held.Index.Value);
    Item.set_term(Held.Term.Value);
  }
}

void bodyToProto(const control::append_reply &From, VoterMessage &To) {
  AppendReply &Out = *To.mutable_append_reply();
  Out.set_accepted(From.Accepted);
  Out.set_match(From.Match.Value);
  Out.set_hint(From.Hint.Value);
  Out.set_sent_at_ms(From.SentAt.Ms);
}

void bodyToProto(const control::snapshot_chunk &From, VoterMessage &To) {
  SnapshotChunk &Out = *To.mutable_snapshot_chunk();
  Out.set_index(From.Index.Value);
  Out.set_last_term(From.LastTerm.Value);
  groupToProto(From.Group, *Out.mutable_group());
  Out.set_offset(From.Offset);
  Out.set_total(From.Total);
  Out.set_digest(From.Digest);
  Out.set_bytes(From.Bytes);
  Out.set_sent_at_ms(From.SentAt.Ms);
}

void bodyToProto(const control::snapshot_reply &From, VoterMessage &To) {
  SnapshotReply &Out = *To.mutable_snapshot_reply();
  Out.set_index(From.Index.Value);
  Out.set_next_offset(From.NextOffset);
  Out.set_installed(From.Installed);
  Out.set_sent_at_ms(From.SentAt.Ms);
}

void bodyToProto(const control::timeout_now &, VoterMessage &To) {
  To.mutable_timeout_now();
}

void ballotToProto(const control::ballot &From, Ballot &To) {
  To.set_round(From.Round);
  To.set_proposer(From.Proposer.Value);
}

control::ballot ballotFromProto(const Ballot &From) {
  return {From.round(), {From.proposer()}};
}

void electorateToProto(const control::electorate &From, Electorate &To) {
  for (const vm_id Each : From.Seeds)
    To.add_seeds(Each.Value);
  To.set_fleet_size(From.FleetSize);
}

control::electorate electorateFromProto(const Electorate &From) {
  control::electorate To;
  for (const std::uint32_t Each : From.seeds())
    To.Seeds.push_back({Each});
  To.FleetSize = From.fleet_size();
  return To;
}

void bodyToProto(const control::join_request &From, VoterMessage &To) {
  JoinRequest &Out = *To.mutable_join_request();
  Out.set_seen(From.Seen.Value);
  Out.set_receiver(From.Receiver.Value);
  if (!From.Record)
    return;
  BootstrapRecord &Record = *Out.mutable_record();
  Record.set_acceptor(From.Record->IsAcceptor);
  Record.set_has_seen_group(From.Record->HasSeenGroup);
  electorateToProto(From.Record->Electorate, *Record.mutable_electorate());
  ballotToProto(From.Record->Promised, *Record.mutable_promised());
  ballotToProto(From.Record->AcceptedAt, *Record.mutable_accepted_at());
  groupToProto(From.Record->Accepted, *Record.mutable_accepted());
}

void bodyToProto(const control::bootstrap_prepare &From, VoterMessage &To) {
  BootstrapPrepare &Out = *To.mutable_bootstrap_prepare();
  ballotToProto(From.Ballot, *Out.mutable_ballot());
  electorateToProto(From.Electorate, *Out.mutable_electorate());
}

void bodyToProto(const control::bootstrap_promise &From, VoterMessage &To) {
  BootstrapPromise &Out = *To.mutable_bootstrap_promise();
  ballotToProto(From.Ballot, *Out.mutable_ballot());
  ballotToProto(From.AcceptedAt, *Out.mutable_accepted_at());
  groupToProto(From.Accepted, *Out.mutable_accepted());
}

void bodyToProto(const control::bootstrap_accept &From, VoterMessage &To) {
  BootstrapAccept &Out = *To.mutable_bootstrap_accept();
  ballotToProto(From.Ballot, *Out.mutable_ballot());
  electorateToProto(From.Electorate, *Out.mutable_electorate());
  groupToProto(From.Group, *Out.mutable_group());
}

void bodyToProto(const control::bootstrap_accepted &From, VoterMessage &To) {
  ballotToProto(From.Ballot,
                *To.mutable_bootstrap_accepted()->mutable_ballot());
}

void bodyToProto(const control::bootstrap_chosen &From, VoterMessage &To) {
  groupToProto(From.Group, *To.mutable_bootstrap_chosen()->mutable_group());
}

void bodyToProto(const control::check_in &, VoterMessage &To) {
  To.mutable_check_in();
}

void bodyToProto(const control::check_in_reply &From, VoterMessage &To) {
  To.mutable_check_in_reply()->set_boot(From.Boot.Value);
}

void bodyToProto(const control::identity_refused &From, VoterMessage &To) {
  To.mutable_identity_refused()->set_boot(From.Boot.Value);
}

control::vote_request bodyFromProto(const VoteRequest &From) {
  return {From.pre_vote(),
          From.transfer(),
          {From.last_index()},
          {From.last_term()}};
}

expected<control::append_request> bodyFromProto(const AppendRequest &From) {
  control::append_request To;
  To.PrevIndex.Value = From.prev_index();
  To.PrevTerm.Value = From.prev_term();
  To.Commit.Value = From.commit();
  To.SentAt.Ms = From.sent_at_ms();
  for (const LogEntry &Item : From.entries()) {
    if (Item.kind() > static_cast<std::uint32_t>(control::entry_kind::group))
      return fail("log entry of unknown kind " + std::to_string(Item.kind()));
    control::log_entry &Entry = To.Entries.emplace_back();
    Entry.Index.Value = Item.index();
    Entry.Term.Value = Item.term();
    Entry.Kind = static_cast<control::entry_kind>(Item.kind());
    Entry.Payload = control::shareBytes(Item.payload());
  }
  for (const HeldPosition &Item : From.held())
    To.Held.push_back(
        {{Item.voter()}, {Item.boot()}, {Item.term()}, {Item.index()}});
  return To;
}

control::append_reply bodyFromProto(const AppendReply &From) {
  return {From.accepted(), {From.match()}, {From.hint()}, {From.sent_at_ms()}};
}

control::snapshot_chunk bodyFromProto(const SnapshotChunk &From) {
  control::snapshot_chunk To;
  To.Index.Value = From.index();
  To.LastTerm.Value = From.last_term();
  To.Group = groupFromProto(From.group());
  To.Offset = From.offset();
  To.Total = From.total();
  To.Digest = From.digest();
  To.Bytes = From.bytes();
  To.SentAt.Ms = From.sent_at_ms();
  return To;
}

control::snapshot_reply bodyFromProto(const SnapshotReply &From) {
  return {{From.index()},
          From.next_offset(),
          From.installed(),
          {From.sent_at_ms()}};
}

control::join_request bodyFromProto(const JoinRequest &From) {
  control::join_request To;
  To.Seen.Value = From.seen();
  To.Receiver.Value = From.receiver();
  if (!From.has_record())
    return To;
  const BootstrapRecord &Record = From.record();
  To.Record =
      control::bootstrap_record{Record.acceptor(),
                                Record.has_seen_group(),
                                electorateFromProto(Record.electorate()),
                                ballotFromProto(Record.promised()),
                                ballotFromProto(Record.accepted_at()),
                                groupFromProto(Record.accepted())};
  return To;
}

expected<control::message_body> bodyFromProto(const VoterMessage &From) {
  switch (From.body_case()) {
  case VoterMessage::kVoteRequest:
    return bodyFromProto(From.vote_request());
  case VoterMessage::kVoteReply:
    return control::vote_reply{From.vote_reply().pre_vote(),
                               From.vote_reply().granted()};
  case VoterMessage::kAppendRequest: {
    auto Decoded = bodyFromProto(From.append_request());
    if (!Decoded)
      return fail(Decoded.error());
    return std::move(*Decoded);
  }
  case VoterMessage::kAppendReply:
    return bodyFromProto(From.append_reply());
  case VoterMessage::kSnapshotChunk:
    return bodyFromProto(From.snapshot_chunk());
  case VoterMessage::kSnapshotReply:
    return bodyFromProto(From.snapshot_reply());
  case VoterMessage::kTimeoutNow:
    return control::timeout_now{};
  case VoterMessage::kJoinRequest:
    return bodyFromProto(From.join_request());
  case VoterMessage::kCheckIn:
    return control::check_in{};
  case VoterMessage::kCheckInReply:
    return control::check_in_reply{{From.check_in_reply().boot()}};
  case VoterMessage::kIdentityRefused:
    return control::identity_refused{{From.identity_refused().boot()}};
  case VoterMessage::kBootstrapPrepare:
    return control::bootstrap_prepare{
        ballotFromProto(From.bootstrap_prepare().ballot()),
        electorateFromProto(From.bootstrap_prepare().electorate())};
  case VoterMessage::kBootstrapPromise:
    return control::bootstrap_promise{
        ballotFromProto(From.bootstrap_promise().ballot()),
        ballotFromProto(From.bootstrap_promise().accepted_at()),
        groupFromProto(From.bootstrap_promise().accepted())};
  case VoterMessage::kBootstrapAccept:
    return control::bootstrap_accept{
        ballotFromProto(From.bootstrap_accept().ballot()),
        electorateFromProto(From.bootstrap_accept().electorate()),
        groupFromProto(From.bootstrap_accept().group())};
  case VoterMessage::kBootstrapAccepted:
    return control::bootstrap_accepted{
        ballotFromProto(From.bootstrap_accepted().ballot())};
  case VoterMessage::kBootstrapChosen:
    return control::bootstrap_chosen{
        groupFromProto(From.bootstrap_chosen().group())};
  default:
    return fail("voter message: missing or unknown body");
  }
}

} // namespace

void toProto(const control::message &From, VoterMessage &To) {
  To.set_from(From.From.Value);
  To.set_vm(From.Vm.Value);
  To.set_to(From.To.Value);
  To.set_boot(From.Boot.Value);
  To.set_term(From.Term.Value);
  To.set_last_index(From.LastIndex.Value);
  To.set_last_term(From.LastTerm.Value);
  To.set_level(From.Level);
  std::visit([&](const auto &Body) { bodyToProto(Body, To); }, From.Body);
}

expected<control::message> fromProto(const VoterMessage &From) {
  auto Body = bodyFromProto(From);
  if (!Body)
    return fail(Body.error());
  control::message To;
  To.From.Value = From.from();
  To.Vm.Value = From.vm();
  To.To.Value = From.to();
  To.Boot.Value = From.boot();
  To.Term.Value = From.term();
  To.LastIndex.Value = From.last_index();
  To.LastTerm.Value = From.last_term();
  To.Level = From.level();
  To.Body = std::move(*Body);
  return To;
}

} // namespace bulrush::wire

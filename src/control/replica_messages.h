/// Messages between the members of the replicated log.
#pragma once

#include "bulrushtray/clock.h"
#include "control/log_entry.h"

#include <variant>

namespace bulrush::control {

/// Asks for a vote in the message's term. A pre-vote asks whether a vote would
/// be given and changes nothing.
struct vote_request {
  bool PreVote = false;
  bool Transfer = false; ///< the leader itself asked for this election
  log_index LastIndex;
  term_id LastTerm;
};

struct vote_reply {
  bool PreVote = false;
  bool Granted = false;
};

/// Entries after `PrevIndex`; without entries a heartbeat.
struct append_request {
  log_index PrevIndex;
  term_id PrevTerm;
  std::vector<log_entry> Entries;
  log_index Commit;
  instant SentAt; ///< on the leader's clock; echoed
  std::vector<held_position> Held;
};

struct append_reply {
  bool Accepted = false;
  log_index Match; ///< accepted: on disk up to here. Refused: the refused
                   ///< `PrevIndex`
  log_index Hint;  ///< refused: the last index that may match
  instant SentAt;  ///< echo
};

/// A part of a snapshot.
struct snapshot_chunk {
  log_index Index;
  term_id LastTerm;
  voter_group Group;
  std::uint64_t Offset = 0; ///< bytes
  std::uint64_t Total = 0;  ///< bytes
  std::uint64_t Digest = 0; ///< XXH3 of all bytes
  std::string Bytes;
  instant SentAt;
};

struct snapshot_reply {
  log_index Index;
  std::uint64_t NextOffset = 0;
  bool Installed = false;
  instant SentAt;
};

/// The leader asks the receiver to start an election at once.
struct timeout_now {};

/// A data folder that is in no group yet looks for one.
struct join_request {
  voter_id Seen = NoVoter; ///< the empty folder last heard of on the receiver
};

/// Sent after a start, before any vote is given: a receiver that saw the sender
/// hold more than it shows now answers with `identity_refused`.
struct check_in {};

struct check_in_reply {
  incarnation_id Boot; ///< the life of the process that checked in
};

/// Tells a sender that its folder is older than what it was seen to hold.
struct identity_refused {
  incarnation_id Boot; ///< the life of the process that is refused
};

using message_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, timeout_now, join_request,
                 check_in, check_in_reply, identity_refused>;

/// One message between two members.
struct message {
  voter_id From;
  vm_id Vm;    ///< the sender's machine
  voter_id To; ///< `NoVoter` where the receiver's id is not known
  incarnation_id Boot;
  term_id Term;
  log_index LastIndex; ///< the sender's last entry
  term_id LastTerm;    ///< and its term
  message_body Body;
};

} // namespace bulrush::control

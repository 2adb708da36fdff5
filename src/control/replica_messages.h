/// Messages between the members of the replicated log.
#pragma once

#include "bulrushtray/clock.h"
#include "control/bootstrap.h"
#include "control/log_entry.h"

#include <variant>

namespace bulrush::control {

/// Requests a vote in the term of the message. A pre-vote asks whether the vote
/// would be granted and changes no state.
struct vote_request {
  bool PreVote = false;
  bool Transfer =
      false; ///< the leader requested this election with `timeout_now`
  log_index LastIndex;
  term_id LastTerm;
};

struct vote_reply {
  bool PreVote = false;
  bool Granted = false;
};

/// Replicates the entries after `PrevIndex`; a heartbeat if it has none.
struct append_request {
  log_index PrevIndex;
  term_id PrevTerm;
  std::vector<log_entry> Entries;
  log_index Commit;
  instant SentAt; ///< on the leader's clock; echoed in the reply
  std::vector<held_position> Held; ///< only in heartbeats
};

struct append_reply {
  bool Accepted = false;
  log_index Match; ///< accepted: last index on disk; refused: the refused
                   ///< `PrevIndex`
  log_index Hint;  ///< refused: last index that may match
  instant SentAt;  ///< echoed from the request
};

/// A chunk of a snapshot.
struct snapshot_chunk {
  log_index Index;
  term_id LastTerm;
  voter_group Group;
  std::uint64_t Offset = 0; ///< in bytes
  std::uint64_t Total = 0;  ///< size of the snapshot in bytes
  std::uint64_t Digest = 0; ///< XXH3 of the whole snapshot
  std::string Bytes;
  instant SentAt;
};

struct snapshot_reply {
  log_index Index;
  std::uint64_t NextOffset = 0;
  bool Installed = false;
  instant SentAt;
};

/// The leader tells the receiver to start an election immediately.
struct timeout_now {};

/// Sent after a start, before any vote is granted. A receiver that knows of
/// later entries or terms on the sender's disk than the message shows replies
/// with `identity_refused`.
struct check_in {};

struct check_in_reply {
  incarnation_id Boot; ///< incarnation of the process that checked in
};

/// Tells the sender that its data folder is older than the state that it was
/// known to hold, such as a restored backup.
struct identity_refused {
  incarnation_id Boot; ///< incarnation of the refused process
};

using message_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, timeout_now, join_request,
                 check_in, check_in_reply, identity_refused, bootstrap_prepare,
                 bootstrap_promise, bootstrap_accept, bootstrap_accepted,
                 bootstrap_chosen>;

/// A message between two members.
struct message {
  voter_id From;
  vm_id Vm;    ///< VM of the sender
  voter_id To; ///< `NoVoter` if the receiver's id is unknown
  incarnation_id Boot;
  term_id Term;
  log_index LastIndex; ///< index of the sender's last entry
  term_id LastTerm;    ///< term of the sender's last entry
  message_body Body;
  std::uint32_t Level = 0; ///< of the sender's build; 0: announces none
};

} // namespace bulrush::control

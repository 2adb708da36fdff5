/// Deterministic state machine of the replicated control log.
#pragma once

#include "control/commands.h"
#include "control/ledger.h"

#include <deque>
#include <map>

namespace bulrush::control {

/// Limits on the stored answers, change history and ledger records.
struct retention_limits {
  std::size_t MaxAnswers = 10'000;
  millis MaxAnswerAge{86'400'000};
  std::size_t MaxHistory = 1'000;
  ledger_limits Ledger;
};

/// The first answer to a command, returned again for resends.
struct remembered_answer {
  operator_id Operator;
  command_id Command;
  std::uint64_t Fingerprint = 0; ///< of the change
  command_answer Answer;
  wall_time Time;

  bool operator==(const remembered_answer &) const = default;
};

/// One accepted configuration change.
struct history_entry {
  revision Revision;
  operator_id Operator;
  command_id Command;
  change Change;
  wall_time Time;

  bool operator==(const history_entry &) const = default;
};

/// The full contents of a snapshot.
struct control_state {
  log_index Applied;
  wall_time Time; ///< largest time carried by any applied command
  fleet_config Config;
  std::vector<remembered_answer> Answers; ///< oldest first
  std::vector<history_entry> History;     ///< oldest first
  std::vector<assignment> Assignments;    ///< ascending by endpoint
  std::vector<ledger_record> Ledger;

  bool operator==(const control_state &) const = default;
};

/// Replicas that apply the same log prefix have the same state. A resent
/// command gets its first answer as long as that is stored. Afterwards it gets
/// `conflict`, because the revision it was planned on is no longer current, so
/// no command takes effect twice.
class state_machine {
public:
  explicit state_machine(deployment Deployment, retention_limits Limits = {});

  /// Applies the command at `Index`. Does nothing if `Index` <= `applied()`.
  apply_result apply(const command &Command, log_index Index);

  /// Advances the applied index over a log entry without a command.
  void skip(log_index Index);

  /// The first answer to a command, or nullopt if none is stored.
  std::optional<command_answer>
  findAnswer(const operator_command &Command) const;

  log_index applied() const { return Applied; }
  wall_time time() const { return Time; }
  const fleet_config &config() const { return Config; }
  const std::deque<history_entry> &history() const { return History; }
  const std::map<endpoint_id, daemon_id> &assignments() const {
    return Assignments;
  }

  control_state snapshot() const;

  /// Replaces the state. Fails if that would decrease the revision or the
  /// applied index.
  expected<void> restore(control_state State);

private:
  using answer_key = std::pair<operator_id, command_id>;

  command_answer apply(const operator_command &Command);
  command_answer decide(const operator_command &Command) const;
  void storeAnswer(const operator_command &Command,
                   const command_answer &Answer);
  void evictOldAnswers();

  deployment Deployment;
  retention_limits Limits;
  log_index Applied;
  wall_time Time;
  fleet_config Config;
  std::map<answer_key, remembered_answer> Answers;
  std::deque<answer_key> AnswerOrder;
  std::deque<history_entry> History;
  std::map<endpoint_id, daemon_id> Assignments;
  ledger Ledger;
};

} // namespace bulrush::control

/// The replicated state of control: applies the commands of the log in order.
#pragma once

#include "control/commands.h"
#include "control/ledger.h"

#include <deque>
#include <map>

namespace bulrush::control {

/// For how long the answers to operators' commands are remembered.
struct retention_limits {
  std::size_t MaxAnswers = 10'000;
  millis MaxAnswerAge{86'400'000};
  std::size_t MaxHistory = 1'000;
  ledger_limits Ledger;
};

/// The first answer to a command, kept for resends.
struct remembered_answer {
  operator_id Operator;
  command_id Command;
  std::uint64_t Fingerprint = 0; ///< of the change
  command_answer Answer;
  wall_time Time;

  bool operator==(const remembered_answer &) const = default;
};

/// One accepted change.
struct history_entry {
  revision Revision;
  operator_id Operator;
  command_id Command;
  change Change;
  wall_time Time;

  bool operator==(const history_entry &) const = default;
};

/// All that a snapshot holds.
struct control_state {
  log_index Applied;
  wall_time Time; ///< the largest that a command has carried
  fleet_config Config;
  std::vector<remembered_answer> Answers; ///< oldest first
  std::vector<history_entry> History;     ///< oldest first
  std::vector<assignment> Assignments;    ///< ascending by endpoint
  std::vector<ledger_record> Ledger;

  bool operator==(const control_state &) const = default;
};

/// Deterministic: equal commands at equal places give equal states. A resend
/// gets the first answer while it is remembered; later it gets `conflict`,
/// since the revision it was planned on is gone, so it never takes effect
/// twice.
class state_machine {
public:
  explicit state_machine(deployment Deployment, retention_limits Limits = {});

  /// Applies the command at `Index`; one at or below `applied()` changes
  /// nothing.
  apply_result apply(const command &Command, log_index Index);

  /// An entry of the log that carries no command.
  void skip(log_index Index);

  /// The first answer to a command; nothing when it is not remembered.
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

  /// Replaces the state; refused when it would take the revision or the
  /// applied index back.
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

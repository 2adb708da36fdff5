/// The entries of one member in memory, after the last compaction.
#pragma once

#include "control/log_entry.h"

#include <deque>

namespace bulrush::control {

/// Entries `base()+1 .. last()`, without gaps.
class entry_log {
public:
  /// Drops everything; the next entry follows `Index`.
  void reset(log_index Index, term_id Term);

  log_index base() const { return Base; }
  log_index last() const { return {Base.Value + Entries.size()}; }
  term_id lastTerm() const { return termAt(last()); }

  /// Whether the term at `Index` is known: `base() <= Index <= last()`.
  bool knows(log_index Index) const;
  term_id termAt(log_index Index) const;
  const log_entry &at(log_index Index) const;

  void append(log_entry Entry);
  /// Drops `Index` and all later entries.
  void truncateFrom(log_index Index);
  /// Drops entries up to and including `Index`.
  void compactTo(log_index Index);

  /// Entries from `From`, until their payloads exceed `Bytes`; at least one
  /// where there is one.
  std::vector<log_entry> slice(log_index From, std::size_t Bytes) const;

private:
  log_index Base;
  term_id BaseTerm;
  std::deque<log_entry> Entries;
};

} // namespace bulrush::control

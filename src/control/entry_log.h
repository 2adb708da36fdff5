/// In-memory log of one member.
#pragma once

#include "control/log_entry.h"

#include <deque>

namespace bulrush::control {

/// The entries `base() + 1` to `last()` without gaps. Earlier entries have been
/// compacted; only the term of `base()` is kept.
class entry_log {
public:
  /// Drops all entries; the next one to append is `Index + 1`.
  void reset(log_index Index, term_id Term);

  log_index base() const { return Base; }
  log_index last() const { return {Base.Value + Entries.size()}; }
  term_id lastTerm() const { return termAt(last()); }

  /// Whether `termAt(Index)` is defined: `base() <= Index <= last()`.
  bool hasTermAt(log_index Index) const;
  term_id termAt(log_index Index) const;
  const log_entry &at(log_index Index) const;

  void append(log_entry Entry);
  /// Drops the entry at `Index` and all later ones.
  void truncateFrom(log_index Index);
  /// Drops all entries up to and including `Index`.
  void compactTo(log_index Index);

  /// Returns entries from `From` on, until their payloads reach `MaxBytes` in
  /// total. The last entry may exceed that limit, so at least one is returned
  /// if `From <= last()`.
  std::vector<log_entry> slice(log_index From, std::size_t MaxBytes) const;
  /// Returns the total payload of the entries after `From`, up to `To`.
  std::size_t payloadBytes(log_index From, log_index To) const;

private:
  log_index Base;
  term_id BaseTerm;
  std::deque<log_entry> Entries;
};

} // namespace bulrush::control

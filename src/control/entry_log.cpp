#include "control/entry_log.h"

#include "control/invariant.h"

namespace bulrush::control {

void entry_log::reset(log_index Index, term_id Term) {
  Base = Index;
  BaseTerm = Term;
  Entries.clear();
}

bool entry_log::hasTermAt(log_index Index) const {
  return Base <= Index && Index <= last();
}

term_id entry_log::termAt(log_index Index) const {
  return Index == Base ? BaseTerm : at(Index).Term;
}

const log_entry &entry_log::at(log_index Index) const {
  invariant(Base < Index && Index <= last(), "log index out of range");
  return Entries[Index.Value - Base.Value - 1];
}

void entry_log::append(log_entry Entry) {
  invariant(Entry.Index.Value == last().Value + 1,
            "appended log entry is not contiguous");
  Entries.push_back(std::move(Entry));
}

void entry_log::truncateFrom(log_index Index) {
  while (last() >= Index && !Entries.empty())
    Entries.pop_back();
}

void entry_log::compactTo(log_index Index) {
  while (Base < Index && !Entries.empty()) {
    BaseTerm = Entries.front().Term;
    Base = Entries.front().Index;
    Entries.pop_front();
  }
}

std::size_t entry_log::payloadBytes(log_index From, log_index To) const {
  std::size_t Bytes = 0;
  while (From < To) {
    ++From.Value;
    Bytes += at(From).Payload->size();
  }
  return Bytes;
}

std::vector<log_entry> entry_log::slice(log_index From,
                                        std::size_t MaxBytes) const {
  std::vector<log_entry> Result;
  std::size_t TotalBytes = 0;
  for (log_index I = From; I <= last(); ++I.Value) {
    Result.push_back(at(I));
    TotalBytes += at(I).Payload->size();
    if (TotalBytes >= MaxBytes)
      break;
  }
  return Result;
}

} // namespace bulrush::control

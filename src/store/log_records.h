/// The records of a data folder as bytes, and back.
#pragma once

#include "bulrushtray/error.h"
#include "control/log_entry.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrush::store {

/// The first record of each log file. The file is written anew at each start
/// and each snapshot.
struct log_header {
  control::voter_id Voter;
  incarnation_id Boot;
  std::uint64_t Fingerprint = 0; ///< of the file that it was written to
  log_index SnapshotIndex;       ///< the snapshot is not older than this

  bool operator==(const log_header &) const = default;
};

/// One synced write. An entry replaces all with its index or a larger one.
struct log_batch {
  control::hard_state Hard;
  std::vector<control::log_entry> Entries;

  bool operator==(const log_batch &) const = default;
};

/// The first record holds a header and a batch.
std::string encodeFirst(const log_header &Header, const log_batch &Batch);
std::string encodeBatch(const log_batch &Batch);
std::string encodeSnapshot(const control::log_snapshot &Snapshot);

expected<log_header> decodeHeader(std::string_view Bytes);
/// Reads the batch of any record of a log file.
expected<log_batch> decodeBatch(std::string_view Bytes);
expected<control::log_snapshot> decodeSnapshot(std::string_view Bytes);

} // namespace bulrush::store

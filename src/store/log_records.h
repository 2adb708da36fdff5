/// Encoding of the records in a data folder.
#pragma once

#include "bulrushtray/error.h"
#include "control/bootstrap.h"
#include "control/log_entry.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrush::store {

/// Header in the first record of each log file. The file is rewritten at each
/// start and at each snapshot.
struct log_header {
  control::voter_id Voter;
  incarnation_id Boot;
  std::uint64_t FileId = 0; ///< id of the file to which it was written
  log_index SnapshotIndex;  ///< minimum index of the snapshot on disk

  bool operator==(const log_header &) const = default;
};

/// The contents of one synced write. An entry replaces all earlier entries with
/// the same or a larger index.
struct log_batch {
  control::hard_state Hard;
  std::vector<control::log_entry> Entries;

  bool operator==(const log_batch &) const = default;
};

/// Encodes the first record of a log file: a header and a batch.
std::string encodeFirstRecord(const log_header &Header, const log_batch &Batch);
std::string encodeBatch(const log_batch &Batch);
std::string encodeSnapshot(const control::log_snapshot &Snapshot);

/// The record names the folder's voter, since it is in a file of its own.
std::string encodeBootstrap(control::voter_id Voter,
                            const control::bootstrap_record &Record);

expected<log_header> decodeHeader(std::string_view Bytes);
/// Decodes the batch of any record of a log file, the first one included.
expected<log_batch> decodeBatch(std::string_view Bytes);
expected<control::log_snapshot> decodeSnapshot(std::string_view Bytes);
/// Returns no value for the record of another voter. Fields that a newer build
/// has added are ignored, a newer format is an error.
expected<std::optional<control::bootstrap_record>>
decodeBootstrap(std::string_view Bytes, control::voter_id Voter);

} // namespace bulrush::store

/// An append-only file of records, each with its length and checksum.
///
/// Each record is synced before the next one is written, so at most the last
/// one can be torn. A torn last record is discarded on recovery; damage before
/// a valid record is an error.
#pragma once

#include "bulrushtray/error.h"
#include "store/disk.h"

#include <string>
#include <vector>

namespace bulrush::store {

/// Parsed contents of a log file.
struct log_contents {
  std::vector<std::string> Records;
  std::uint64_t ValidBytes = 0; ///< offset of the last valid record's end
  std::uint64_t TornBytes = 0;  ///< bytes after it
};

/// Encodes a record that starts at byte `Offset` of its file.
std::string frameRecord(std::string_view Payload, std::uint64_t Offset);

/// Splits a log file into its records, at least one. `Name` is only used in
/// errors.
expected<log_contents> parseLog(std::string_view Bytes,
                                const std::string &Name);

/// An open log file.
class log_file {
public:
  /// Creates a log file with one record, or atomically replaces an existing
  /// one: writes and syncs a temporary file and renames it. `MakeFirstRecord`
  /// gets the id of the new file, so that the record can include it.
  template <class make_first_record>
  static disk_result<log_file>
  create(disk &Disk, const std::string &Name,
         const make_first_record &MakeFirstRecord) {
    disk_result<std::uint64_t> FileId = createTemporary(Disk, Name);
    if (!FileId)
      return tl::unexpected<disk_error>(FileId.error());
    return publishTemporary(Disk, Name, MakeFirstRecord(*FileId));
  }

  /// Appends one record and syncs it. After an error all further calls fail, as
  /// the contents of the file are unknown until it is read again.
  disk_result<void> append(std::string_view Payload);

  std::uint64_t size() const { return Size; }

private:
  log_file(std::unique_ptr<disk_file> File, std::uint64_t Size)
      : File(std::move(File)), Size(Size) {}
  static disk_result<std::uint64_t> createTemporary(disk &Disk,
                                                    const std::string &Name);
  static disk_result<log_file> publishTemporary(disk &Disk,
                                                const std::string &Name,
                                                std::string_view FirstRecord);

  std::unique_ptr<disk_file> File;
  std::uint64_t Size = 0;
  bool HasFailed = false;
};

/// Atomically replaces a file by one with a single record: writes and syncs a
/// temporary file, renames it and syncs the directory.
disk_result<void> replaceFile(disk &Disk, const std::string &Name,
                              std::string_view Payload);

/// Returns the payload of a file written by `replaceFile`, or an error that
/// names the file.
expected<std::string> parseSingleRecord(std::string_view Bytes,
                                        const std::string &Name);

} // namespace bulrush::store

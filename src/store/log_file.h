/// An append-only file of records, each with its length and checksum.
///
/// A record is written and synced as a whole, so at most the last one can be
/// torn. It is cut; damage before a valid record is an error.
#pragma once

#include "bulrushtray/error.h"
#include "store/disk.h"

#include <string>
#include <vector>

namespace bulrush::store {

/// What a log file held.
struct log_contents {
  std::vector<std::string> Records;
  std::uint64_t ValidBytes = 0; ///< up to the end of the last valid record
  std::uint64_t TornBytes = 0;  ///< after it
};

/// The bytes of a record that starts at `Offset`.
std::string frameRecord(std::string_view Payload, std::uint64_t Offset);

/// Splits the bytes of a log file. `Name` is used in errors only.
expected<log_contents> parseLog(std::string_view Bytes,
                                const std::string &Name);

/// An open log file.
class log_file {
public:
  /// Starts a new file of that name with one record, in place of an older one:
  /// it is written under another name, synced and renamed. The record may hold
  /// the new file's fingerprint.
  template <class MakeFirst>
  static disk_result<log_file> create(disk &Disk, const std::string &Name,
                                      const MakeFirst &First) {
    disk_result<std::uint64_t> Print = prepare(Disk, Name);
    if (!Print)
      return tl::unexpected<disk_error>(Print.error());
    return finish(Disk, Name, First(*Print));
  }

  /// Writes one record and syncs it. After an error the file must not be
  /// written any more: what it holds is known only after the next start.
  disk_result<void> append(std::string_view Payload);

  std::uint64_t size() const { return Size; }

private:
  log_file(std::unique_ptr<disk_file> File, std::uint64_t Size)
      : File(std::move(File)), Size(Size) {}
  static disk_result<std::uint64_t> prepare(disk &Disk,
                                            const std::string &Name);
  static disk_result<log_file> finish(disk &Disk, const std::string &Name,
                                      std::string_view First);

  std::unique_ptr<disk_file> File;
  std::uint64_t Size = 0;
  bool Broken = false;
};

/// Writes a whole file under another name, syncs and renames it, and syncs the
/// directory.
disk_result<void> replaceFile(disk &Disk, const std::string &Name,
                              std::string_view Payload);

/// The payload of a file that `replaceFile` wrote, or an error that names the
/// file.
expected<std::string> parseWhole(std::string_view Bytes,
                                 const std::string &Name);

} // namespace bulrush::store

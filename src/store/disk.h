/// File system interface of a data folder, reduced to what the log and the
/// snapshots need.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace bulrush::store {

enum class disk_fault : std::uint8_t {
  not_found,
  not_a_file, ///< the name is that of a folder
  full,
  read_only,
  other
};

/// Why a file operation failed; `Message` is meant for operators.
struct disk_error {
  disk_fault Fault = disk_fault::other;
  std::string Message;
};

template <class T> using disk_result = tl::expected<T, disk_error>;

/// An append-only file. Appended bytes are durable once `sync` has succeeded.
class disk_file {
public:
  virtual ~disk_file() = default;
  virtual disk_result<void> append(std::string_view Bytes) = 0;
  virtual disk_result<void> sync() = 0;
};

/// A data folder. File names contain no directory. Created, renamed and removed
/// names are durable once `syncDirectory` has succeeded.
class disk {
public:
  virtual ~disk() = default;

  /// Opens a file for appending; creates it if it doesn't exist.
  virtual disk_result<std::unique_ptr<disk_file>>
  open(const std::string &Name) = 0;
  virtual disk_result<std::string> read(const std::string &Name) = 0;
  virtual disk_result<void> rename(const std::string &From,
                                   const std::string &To) = 0;
  /// Removes a file or a folder; succeeds if it doesn't exist.
  virtual disk_result<void> remove(const std::string &Name) = 0;
  virtual disk_result<std::vector<std::string>> list() = 0;
  virtual disk_result<void> syncDirectory() = 0;
  /// Returns a number that identifies a file: renaming keeps it, and a copy of
  /// the file has another one.
  virtual disk_result<std::uint64_t> fileId(const std::string &Name) = 0;
};

/// Opens the folder at `Path`, creating it if it doesn't exist, and locks it
/// against other processes.
disk_result<std::unique_ptr<disk>> openPosixDisk(const std::string &Path);

} // namespace bulrush::store

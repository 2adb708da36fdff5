/// One folder of files, as far as the log and the snapshots need it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace bulrush::store {

enum class disk_fault : std::uint8_t { not_found, full, read_only, other };

/// Why an operation on a file failed, in words for an operator.
struct disk_error {
  disk_fault Fault = disk_fault::other;
  std::string Message;
};

template <class T> using disk_result = tl::expected<T, disk_error>;

/// A file that only grows. Appended bytes last once `sync` has succeeded.
class disk_file {
public:
  virtual ~disk_file() = default;
  virtual disk_result<void> append(std::string_view Bytes) = 0;
  virtual disk_result<void> sync() = 0;
};

/// The data folder. Names are plain file names. Created, renamed and removed
/// names last once `syncDirectory` has succeeded.
class disk {
public:
  virtual ~disk() = default;

  /// Opens for appending; creates an empty file where there is none.
  virtual disk_result<std::unique_ptr<disk_file>>
  open(const std::string &Name) = 0;
  virtual disk_result<std::string> read(const std::string &Name) = 0;
  virtual disk_result<void> rename(const std::string &From,
                                   const std::string &To) = 0;
  /// Succeeds where there is no such file.
  virtual disk_result<void> remove(const std::string &Name) = 0;
  virtual disk_result<std::vector<std::string>> list() = 0;
  virtual disk_result<void> syncDirectory() = 0;
  /// A number that stays with a file when it is renamed and differs in a copy
  /// of it.
  virtual disk_result<std::uint64_t> fingerprint(const std::string &Name) = 0;
};

/// The folder at `Path`, which is created where it is missing. One process at a
/// time holds it.
disk_result<std::unique_ptr<disk>> openPosixDisk(const std::string &Path);

} // namespace bulrush::store

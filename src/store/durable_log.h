/// Durable storage of one member of the replicated log: executes `persist`
/// actions and recovers the state from which a `replica` starts.
#pragma once

#include "bulrushtray/error.h"
#include "control/replica.h"
#include "store/disk.h"
#include "store/folder_error.h"

#include <memory>
#include <string>
#include <vector>

namespace bulrush::store {

struct folder_options {
  vm_id Vm;
  std::uint64_t NewVoterId = 0; ///< voter id of a new folder; random
  /// Lower bound of this start's incarnation: the wall clock in milliseconds.
  /// The incarnation always exceeds that of the previous start.
  std::uint64_t MinIncarnation = 0;
  /// Whether a file keeps its id when the machine restarts. If so, copied files
  /// are detected by their ids; otherwise only the other voters detect an
  /// outdated copy.
  bool HasStableFileIds = true;
};

/// A condition found at start that operators should know about.
enum class folder_notice : std::uint8_t {
  created,      ///< the folder was empty
  torn_tail,    ///< an incomplete last write was discarded
  copied_files, ///< the files were copied, restored or incomplete and have been
                ///< retired; the folder becomes a new member
  damaged_files,    ///< damaged files were set aside; the folder becomes a new
                    ///< member
  damaged_bootstrap ///< the bootstrap record is damaged; it isn't needed, as
                    ///< the snapshot holds a group
};

/// A data folder that is open for writing.
class durable_log {
public:
  durable_log(durable_log &&) noexcept;
  durable_log &operator=(durable_log &&) noexcept;
  ~durable_log();

  /// Reads the folder and starts a new log file.
  static folder_result<durable_log> open(disk &Disk,
                                         const folder_options &Options);

  /// As `open`, but sets damaged files aside: the folder then counts as one
  /// that has lost its files and becomes a new member.
  static folder_result<durable_log> openRepaired(disk &Disk,
                                                 const folder_options &Options);

  /// The state on disk, from which a replica starts.
  control::recovered_state state() const;
  const std::vector<folder_notice> &notices() const;
  std::uint64_t tornBytes() const;
  /// Describes what `damaged_files` and `damaged_bootstrap` notify of.
  const std::string &damage() const;

  /// Buffers a write in memory.
  void write(const control::persist &Write);
  /// Writes all buffered writes to disk with one sync and returns the id of the
  /// last one for `persisted`. After an error nothing more is written, and the
  /// process must stop.
  disk_result<control::write_id> sync();
  bool pending() const;

  /// Retires the folder after `identity_lost`, so that the next `open` creates
  /// a new member. Renames the old files, replacing files that were retired
  /// earlier.
  static disk_result<void> retire(disk &Disk);

private:
  struct impl;
  static disk_result<void> setAside(disk &Disk);
  explicit durable_log(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::store

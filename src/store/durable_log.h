/// The data folder of one member of the replicated log: carries out `persist`
/// and recovers what a `replica` starts from.
#pragma once

#include "bulrushtray/error.h"
#include "control/replica.h"
#include "store/disk.h"

#include <memory>
#include <string>
#include <vector>

namespace bulrush::store {

struct folder_options {
  vm_id Vm;
  std::uint64_t NewVoterId = 0;     ///< random; the voter id of a new folder
  std::uint64_t MinIncarnation = 0; ///< wall clock in ms; later starts get more
  /// Whether a file keeps its number when the machine starts again. Copied
  /// files are told by it; without it the other voters tell an old copy.
  bool HasStableFileIds = true;
};

/// Something an operator should know about a start.
enum class folder_notice : std::uint8_t {
  created,     ///< the folder was empty
  torn_tail,   ///< the last write had not been finished and was cut
  copied_files ///< copied, restored or incomplete: becomes a new member
};

/// A folder that is open for writing.
class durable_log {
public:
  durable_log(durable_log &&) noexcept;
  durable_log &operator=(durable_log &&) noexcept;
  ~durable_log();

  /// Reads the folder. Damage, a full or a read-only disk are errors that name
  /// the file.
  static expected<durable_log> open(disk &Disk, const folder_options &Options);

  /// All that is on disk: what a replica starts from.
  control::recovered_state state() const;
  const std::vector<folder_notice> &notices() const;
  std::uint64_t tornBytes() const;

  /// Notes a write; nothing is on disk yet.
  void write(const control::persist &Write);
  /// Puts all noted writes on disk with one sync and returns the last one's
  /// number for `persisted`. After an error nothing further is written, and the
  /// process must stop.
  disk_result<control::write_id> sync();
  bool pending() const;

  /// Gives the folder up after `identity_lost`: the next `open` starts a new
  /// member. The old files stay beside it until the next time.
  static disk_result<void> retire(disk &Disk);

private:
  struct impl;
  explicit durable_log(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::store

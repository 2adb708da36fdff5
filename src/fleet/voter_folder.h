/// The data folder of one voter. It is written on a separate thread and
/// reopened after a disk error.
#pragma once

#include "fleet/disk_thread.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace bulrush::fleet {

/// Receives the events of a `voter_folder`, on the thread of the `io_context`.
class voter_folder_host {
public:
  virtual ~voter_folder_host() = default;
  virtual void onFolderOpened(control::recovered_state State) = 0;
  virtual void onPersisted(control::write_id Write) = 0;
  /// The node cannot vote until the folder is open again.
  virtual void onFolderClosed() = 0;
};

class voter_folder {
public:
  voter_folder(boost::asio::io_context &Io, std::string Path, vm_id Vm,
               voter_folder_host &Host);

  /// Opens the folder; on an error, retries until it succeeds.
  void open();
  void write(control::persist Write);
  void close();
  /// Closes the folder and opens it again: at once, but not sooner after the
  /// previous opening than a failed one is retried.
  void reopen();
  /// Retires the folder, because it is an outdated copy or its member was
  /// removed, and opens a new one; on an error, retries until both succeed.
  void replace();

private:
  void tryOpen();
  /// Opens the folder at `At` unless it is opened or closed before.
  void scheduleOpen(std::chrono::steady_clock::time_point At);
  void release();
  void onOpened(store::durable_log Log);
  void onDiskError(store::folder_fault Cause, const std::string &Message);

  boost::asio::io_context &Io;
  std::string Path;
  vm_id Vm;
  voter_folder_host &Host;
  boost::asio::steady_timer RetryTimer;
  std::unique_ptr<store::disk> Disk;
  std::unique_ptr<disk_thread> Writer;
  bool MustRetire = false; ///< before the folder is opened
  std::chrono::steady_clock::time_point LastOpening{};
  std::uint64_t Generation =
      0; ///< increases with each opening and closing; callbacks of an earlier
         ///< generation are ignored
};

} // namespace bulrush::fleet

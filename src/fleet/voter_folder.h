/// The data folder of one voter: opened, written by a thread of its own, and
/// tried again after a fault.
#pragma once

#include "fleet/disk_thread.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace bulrush::fleet {

/// Told on the thread of the `io_context`.
class voter_folder_host {
public:
  virtual ~voter_folder_host() = default;
  virtual void onFolderOpened(control::recovered_state State) = 0;
  virtual void onPersisted(control::write_id Write) = 0;
  /// The vote is lost until the folder is opened again.
  virtual void onFolderClosed() = 0;
};

class voter_folder {
public:
  voter_folder(boost::asio::io_context &Io, std::string Path, vm_id Vm,
               voter_folder_host &Host);

  /// Opens the folder, now or once its disk takes writes again.
  void open();
  void write(control::persist Write);
  void close();
  /// Gives the folder up, as another copy of it has gone further, and opens a
  /// new one.
  void replace();

private:
  void onOpened(store::durable_log Log);
  void onDiskError(const std::string &Message);

  boost::asio::io_context &Io;
  std::string Path;
  vm_id Vm;
  voter_folder_host &Host;
  boost::asio::steady_timer RetryTimer;
  std::unique_ptr<store::disk> Disk;
  std::unique_ptr<disk_thread> Writer;
  std::uint64_t Generation =
      0; ///< of the folder; what an earlier one tells is stale
};

} // namespace bulrush::fleet

/// Writes the data folder of one voter on a separate thread, so that the event
/// loop never waits for the disk.
#pragma once

#include "store/durable_log.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace bulrush::fleet {

/// Writes that arrive during a sync are batched into the next one.
class disk_thread {
public:
  using synced_handler = std::function<void(control::write_id)>;
  using failed_handler = std::function<void(store::disk_error)>;

  /// The handlers are called on the writer thread. After a failure nothing more
  /// is written.
  disk_thread(store::durable_log Log, synced_handler OnSynced,
              failed_handler OnFailed);
  /// Waits for the current sync; writes still pending are discarded.
  ~disk_thread();
  disk_thread(const disk_thread &) = delete;
  disk_thread &operator=(const disk_thread &) = delete;

  void write(control::persist Write);

private:
  void run();
  store::disk_result<control::write_id>
  sync(const std::vector<control::persist> &Batch);

  store::durable_log Log;
  synced_handler OnSynced;
  failed_handler OnFailed;
  std::mutex Mutex;
  std::condition_variable HasWork;
  std::vector<control::persist> Pending;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace bulrush::fleet

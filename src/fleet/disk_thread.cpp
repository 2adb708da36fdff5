#include "fleet/disk_thread.h"

namespace bulrush::fleet {

disk_thread::disk_thread(store::durable_log Given, synced_handler Synced,
                         failed_handler Failed)
    : Log(std::move(Given)), OnSynced(std::move(Synced)),
      OnFailed(std::move(Failed)), Thread([this] { run(); }) {}

disk_thread::~disk_thread() {
  {
    const std::lock_guard Lock(Mutex);
    IsStopping = true;
  }
  HasWork.notify_one();
  Thread.join();
}

void disk_thread::write(control::persist Write) {
  {
    const std::lock_guard Lock(Mutex);
    Pending.push_back(std::move(Write));
  }
  HasWork.notify_one();
}

void disk_thread::run() {
  for (;;) {
    std::vector<control::persist> Batch;
    {
      std::unique_lock Lock(Mutex);
      HasWork.wait(Lock, [this] { return IsStopping || !Pending.empty(); });
      if (IsStopping)
        return;
      Batch.swap(Pending);
    }
    const auto Synced = sync(Batch);
    if (!Synced) {
      OnFailed(Synced.error());
      return;
    }
    OnSynced(*Synced);
  }
}

/// An exception, as without memory, is a disk error: it would end the process
/// if it left the thread.
store::disk_result<control::write_id>
disk_thread::sync(const std::vector<control::persist> &Batch) {
  try {
    for (const control::persist &Each : Batch)
      Log.write(Each);
    return Log.sync();
  } catch (const std::exception &Error) {
    return tl::unexpected<store::disk_error>(
        {store::disk_fault::other, Error.what()});
  }
}

} // namespace bulrush::fleet

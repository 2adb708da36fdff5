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
  Wanted.notify_one();
  Thread.join();
}

void disk_thread::write(control::persist Write) {
  {
    const std::lock_guard Lock(Mutex);
    Waiting.push_back(std::move(Write));
  }
  Wanted.notify_one();
}

void disk_thread::run() {
  for (;;) {
    std::vector<control::persist> Taken;
    {
      std::unique_lock Lock(Mutex);
      Wanted.wait(Lock, [this] { return IsStopping || !Waiting.empty(); });
      if (IsStopping)
        return;
      Taken.swap(Waiting);
    }
    for (const control::persist &Each : Taken)
      Log.write(Each);
    const auto Synced = Log.sync();
    if (!Synced) {
      OnFailed(Synced.error());
      return;
    }
    OnSynced(*Synced);
  }
}

} // namespace bulrush::fleet

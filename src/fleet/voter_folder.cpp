#include "fleet/voter_folder.h"

#include "fleet/process_start.h"
#include "telemetry/log.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

constexpr millis RetryDelay{500};

std::string_view causeName(store::folder_fault Cause) {
  switch (Cause) {
  case store::folder_fault::disk:
    return "disk";
  case store::folder_fault::damaged:
    return "damaged";
  case store::folder_fault::unknown_format:
    return "unknown_format";
  }
  return "unknown";
}

bool isSetAside(const store::durable_log &Log) {
  const auto &Notices = Log.notices();
  return std::find(Notices.begin(), Notices.end(),
                   store::folder_notice::damaged_files) != Notices.end();
}

} // namespace

voter_folder::voter_folder(boost::asio::io_context &Io, std::string Path,
                           vm_id Vm, voter_folder_host &Host)
    : Io(Io), Path(std::move(Path)), Vm(Vm), Host(Host), RetryTimer(Io) {}

/// An exception, as without memory or threads, is retried like a disk error.
void voter_folder::open() {
  LastOpening = std::chrono::steady_clock::now();
  try {
    tryOpen();
  } catch (const std::exception &Error) {
    onDiskError(store::folder_fault::disk, Error.what());
  }
}

void voter_folder::tryOpen() {
  Writer.reset();
  Disk.reset();
  auto Folder = store::openPosixDisk(Path);
  if (!Folder) {
    onDiskError(store::folder_fault::disk, Folder.error().Message);
    return;
  }
  Disk = std::move(*Folder);
  if (MustRetire) {
    if (const auto Retired = store::durable_log::retire(*Disk); !Retired) {
      onDiskError(store::folder_fault::disk, Retired.error().Message);
      return;
    }
    MustRetire = false;
  }
  store::folder_options Options;
  Options.Vm = Vm;
  Options.NewVoterId = drawSeed() | 1;
  Options.MinIncarnation = unixMillis();
  Options.HasStableFileIds =
      false; // not every platform keeps them across a restart
  auto Log = store::durable_log::openRepaired(*Disk, Options);
  if (Log)
    onOpened(std::move(*Log));
  else
    onDiskError(Log.error().Fault, Log.error().Message);
}

void voter_folder::onOpened(store::durable_log Log) {
  for (const store::folder_notice Notice : Log.notices())
    telemetry::logEvent(severity::info, "folder_notice",
                        {{"notice", static_cast<int>(Notice)},
                         {"torn_bytes", Log.tornBytes()}});
  control::recovered_state State = Log.state();
  if (!Log.damage().empty())
    telemetry::logEvent(severity::error, "folder_damaged",
                        {{"error", Log.damage()},
                         {"set_aside", isSetAside(Log)},
                         {"voter", State.Self.Value}});
  telemetry::logEvent(severity::info, "folder_opened",
                      {{"voter", State.Self.Value},
                       {"boot", State.Boot.Value},
                       {"entries", State.Entries.size()}});
  const std::uint64_t Opened = ++Generation;
  Writer = std::make_unique<disk_thread>(
      std::move(Log),
      [this, Opened](control::write_id Write) {
        boost::asio::post(Io, [this, Opened, Write] {
          if (Opened == Generation)
            Host.onPersisted(Write);
        });
      },
      [this, Opened](const store::disk_error &Error) {
        boost::asio::post(Io, [this, Opened, Message = Error.Message] {
          if (Opened == Generation)
            onDiskError(store::folder_fault::disk, Message);
        });
      });
  Host.onFolderOpened(std::move(State));
}

/// The process keeps running but cannot vote until the folder is open again.
void voter_folder::onDiskError(store::folder_fault Cause,
                               const std::string &Message) {
  telemetry::logEvent(severity::error, "disk_failed",
                      {{"cause", causeName(Cause)}, {"error", Message}});
  // Scheduled first: the host may throw.
  scheduleOpen(std::chrono::steady_clock::now() + toChrono(RetryDelay));
  release();
}

void voter_folder::scheduleOpen(std::chrono::steady_clock::time_point At) {
  RetryTimer.expires_at(At);
  RetryTimer.async_wait([this, Closed = ++Generation](auto Error) {
    if (!Error && Closed == Generation)
      open();
  });
}

void voter_folder::write(control::persist Write) {
  if (Writer)
    Writer->write(std::move(Write));
}

void voter_folder::close() {
  ++Generation;
  release();
}

void voter_folder::release() {
  Host.onFolderClosed();
  Writer.reset();
  Disk.reset();
}

void voter_folder::reopen() {
  scheduleOpen(LastOpening + toChrono(RetryDelay));
  release();
}

void voter_folder::replace() {
  close();
  MustRetire = true;
  open();
}

} // namespace bulrush::fleet

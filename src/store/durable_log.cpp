#include "store/durable_log.h"

#include "store/log_file.h"
#include "store/log_records.h"

#include <algorithm>
#include <optional>

namespace bulrush::store {

using control::log_entry;
using control::log_snapshot;

namespace {

constexpr char LogName[] = "log";
constexpr char SnapshotName[] = "snapshot";
constexpr char FormerSuffix[] = ".former";

/// Adds entries; one replaces all with its index or a larger one.
void mergeEntries(std::vector<log_entry> &All,
                  const std::vector<log_entry> &More) {
  for (const log_entry &Entry : More) {
    while (!All.empty() && All.back().Index >= Entry.Index)
      All.pop_back();
    All.push_back(Entry);
  }
}

/// Keeps the entries that follow the snapshot. Where the entry at its index
/// comes from another term, none of them does.
void dropCoveredEntries(std::vector<log_entry> &Entries,
                        const log_snapshot &Snapshot) {
  for (const log_entry &Entry : Entries)
    if (Entry.Index == Snapshot.Index && Entry.Term != Snapshot.Term) {
      Entries.clear();
      return;
    }
  std::erase_if(Entries, [&](const log_entry &Entry) {
    return Entry.Index <= Snapshot.Index;
  });
  if (!Entries.empty() &&
      Entries.front().Index.Value != Snapshot.Index.Value + 1)
    Entries.clear();
}

bool hasGap(const std::vector<log_entry> &Entries, log_index Base) {
  for (const log_entry &Entry : Entries)
    if (Entry.Index.Value != ++Base.Value)
      return true;
  return false;
}

/// Text of a file, or nothing where there is no such file.
expected<std::optional<std::string>> readIfThere(disk &Disk,
                                                 const std::string &Name) {
  auto Bytes = Disk.read(Name);
  if (Bytes)
    return std::optional<std::string>(std::move(*Bytes));
  if (Bytes.error().Fault == disk_fault::not_found)
    return std::optional<std::string>();
  return fail(Bytes.error().Message);
}

/// What the two files hold together.
struct folder_contents {
  log_header Header;
  log_batch Log;
  std::optional<log_snapshot> Snapshot;
  std::uint64_t TornBytes = 0;
};

expected<void> readLog(const std::string &Bytes, folder_contents &Out) {
  expected<log_contents> Contents = parseLog(Bytes, LogName);
  if (!Contents)
    return fail(Contents.error());
  if (Contents->Records.empty())
    return fail(std::string(LogName) + ": damaged record at byte 0");
  Out.TornBytes = Contents->TornBytes;
  expected<log_header> Header = decodeHeader(Contents->Records.front());
  if (!Header)
    return fail(std::string(LogName) + ": " + Header.error().Message);
  Out.Header = *Header;
  for (const std::string &Record : Contents->Records) {
    expected<log_batch> Batch = decodeBatch(Record);
    if (!Batch)
      return fail(std::string(LogName) + ": " + Batch.error().Message);
    Out.Log.Hard = std::move(Batch->Hard);
    mergeEntries(Out.Log.Entries, Batch->Entries);
  }
  return {};
}

expected<void> readSnapshot(const std::string &Bytes, folder_contents &Out) {
  expected<std::string> Payload = parseWhole(Bytes, SnapshotName);
  if (!Payload)
    return fail(Payload.error());
  expected<log_snapshot> Snapshot = decodeSnapshot(*Payload);
  if (!Snapshot)
    return fail(std::string(SnapshotName) + ": " + Snapshot.error().Message);
  Out.Snapshot = std::move(*Snapshot);
  return {};
}

expected<void> joinFiles(folder_contents &Out) {
  const log_index Base = Out.Snapshot ? Out.Snapshot->Index : log_index{0};
  if (Base < Out.Header.SnapshotIndex)
    return fail(std::string(SnapshotName) + ": missing or older than the log");
  if (Out.Snapshot)
    dropCoveredEntries(Out.Log.Entries, *Out.Snapshot);
  if (hasGap(Out.Log.Entries, Base))
    return fail(std::string(LogName) + ": entries are missing");
  return {};
}

/// Nothing where the folder is empty.
expected<std::optional<folder_contents>> readFolder(disk &Disk) {
  auto Log = readIfThere(Disk, LogName);
  if (!Log)
    return fail(Log.error());
  auto Snapshot = readIfThere(Disk, SnapshotName);
  if (!Snapshot)
    return fail(Snapshot.error());
  if (!*Log)
    return std::optional<folder_contents>();
  folder_contents Contents;
  if (auto Read = readLog(**Log, Contents); !Read)
    return fail(Read.error());
  if (*Snapshot)
    if (auto Read = readSnapshot(**Snapshot, Contents); !Read)
      return fail(Read.error());
  if (auto Joined = joinFiles(Contents); !Joined)
    return fail(Joined.error());
  return std::optional<folder_contents>(std::move(Contents));
}

/// Whether the files were written by this folder and not copied into it.
expected<bool> isOwn(disk &Disk, const folder_options &Options,
                     const std::optional<folder_contents> &Contents) {
  if (!Contents)
    return false;
  if (!Options.HasStableFileIds)
    return true;
  auto Fingerprint = Disk.fingerprint(LogName);
  if (!Fingerprint)
    return fail(Fingerprint.error().Message);
  return *Fingerprint == Contents->Header.Fingerprint;
}

/// Puts files aside that belong to no member of this folder.
expected<folder_notice> clearFolder(disk &Disk) {
  auto Names = Disk.list();
  if (!Names)
    return fail(Names.error().Message);
  const bool Empty =
      std::none_of(Names->begin(), Names->end(), [](const std::string &Name) {
        return Name == LogName || Name == SnapshotName;
      });
  if (Empty)
    return folder_notice::created;
  if (auto Done = durable_log::retire(Disk); !Done)
    return fail(Done.error().Message);
  return folder_notice::copied_files;
}

} // namespace

struct durable_log::impl {
  disk &Disk;
  log_header Header;
  std::optional<log_file> Log;
  log_batch Known; ///< what the log file holds, merged
  std::optional<log_snapshot> Snapshot;
  log_batch Noted; ///< not on disk yet
  std::optional<log_snapshot> NotedSnapshot;
  control::write_id LastWrite;
  bool Pending = false;
  bool DropLog = false;
  vm_id Vm;
  std::vector<folder_notice> Notices;
  std::uint64_t TornBytes = 0;

  explicit impl(disk &Disk) : Disk(Disk) {}

  /// Starts a new log file that holds what is known.
  disk_result<void> rewriteLog() {
    if (Snapshot)
      Header.SnapshotIndex = Snapshot->Index;
    auto File =
        log_file::create(Disk, LogName, [this](std::uint64_t Fingerprint) {
          Header.Fingerprint = Fingerprint;
          return encodeFirst(Header, Known);
        });
    if (!File)
      return tl::unexpected<disk_error>(File.error());
    Log = std::move(*File);
    return {};
  }

  disk_result<void> writeNoted() {
    if (NotedSnapshot) {
      auto Done =
          replaceFile(Disk, SnapshotName, encodeSnapshot(*NotedSnapshot));
      if (!Done)
        return Done;
      Snapshot = std::move(NotedSnapshot);
      NotedSnapshot.reset();
    } else if (!DropLog) {
      return Log->append(encodeBatch(Noted));
    }
    return rewriteLog();
  }

  void mergeNoted() {
    if (DropLog)
      Known.Entries.clear();
    Known.Hard = Noted.Hard;
    mergeEntries(Known.Entries, Noted.Entries);
    if (NotedSnapshot)
      dropCoveredEntries(Known.Entries, *NotedSnapshot);
  }
};

durable_log::durable_log(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
durable_log::durable_log(durable_log &&) noexcept = default;
durable_log &durable_log::operator=(durable_log &&) noexcept = default;
durable_log::~durable_log() = default;

expected<durable_log> durable_log::open(disk &Disk,
                                        const folder_options &Options) {
  auto Impl = std::make_unique<impl>(Disk);
  Impl->Vm = Options.Vm;
  auto Contents = readFolder(Disk);
  if (!Contents)
    return fail(Contents.error());
  expected<bool> Own = isOwn(Disk, Options, *Contents);
  if (!Own)
    return fail(Own.error());
  const bool Known = *Own;
  if (!Known) {
    expected<folder_notice> Cleared = clearFolder(Disk);
    if (!Cleared)
      return fail(Cleared.error());
    Impl->Notices.push_back(*Cleared);
  }
  if (Known) {
    Impl->Header = (*Contents)->Header;
    Impl->Known = std::move((*Contents)->Log);
    Impl->Snapshot = std::move((*Contents)->Snapshot);
    Impl->TornBytes = (*Contents)->TornBytes;
    if (Impl->TornBytes > 0)
      Impl->Notices.push_back(folder_notice::torn_tail);
  } else {
    Impl->Header.Voter = {Options.NewVoterId};
  }
  Impl->Header.Boot = {
      std::max(Impl->Header.Boot.Value + 1, Options.MinIncarnation)};
  if (auto Done = Impl->rewriteLog(); !Done)
    return fail(Done.error().Message);
  return durable_log(std::move(Impl));
}

control::recovered_state durable_log::state() const {
  control::recovered_state State;
  State.Self = Impl->Header.Voter;
  State.Vm = Impl->Vm;
  State.Boot = Impl->Header.Boot;
  State.Hard = Impl->Known.Hard;
  State.Snapshot = Impl->Snapshot;
  State.Entries = Impl->Known.Entries;
  return State;
}

const std::vector<folder_notice> &durable_log::notices() const {
  return Impl->Notices;
}

std::uint64_t durable_log::tornBytes() const { return Impl->TornBytes; }

void durable_log::write(const control::persist &Write) {
  if (Write.DropLog) {
    Impl->DropLog = true;
    Impl->Noted.Entries.clear();
  }
  Impl->Noted.Hard = Write.Hard;
  mergeEntries(Impl->Noted.Entries, Write.Entries);
  if (Write.Snapshot)
    Impl->NotedSnapshot = Write.Snapshot;
  Impl->LastWrite = Write.Write;
  Impl->Pending = true;
}

disk_result<control::write_id> durable_log::sync() {
  if (!Impl->Pending)
    return Impl->LastWrite;
  Impl->mergeNoted();
  if (auto Done = Impl->writeNoted(); !Done)
    return tl::unexpected<disk_error>(Done.error());
  Impl->Noted.Entries.clear();
  Impl->Pending = Impl->DropLog = false;
  return Impl->LastWrite;
}

bool durable_log::pending() const { return Impl->Pending; }

disk_result<void> durable_log::retire(disk &Disk) {
  for (const std::string Name : {LogName, SnapshotName}) {
    auto Moved = Disk.rename(Name, Name + FormerSuffix);
    if (!Moved && Moved.error().Fault != disk_fault::not_found)
      return Moved;
  }
  return Disk.syncDirectory();
}

} // namespace bulrush::store

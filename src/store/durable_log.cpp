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
constexpr char BootstrapName[] = "bootstrap";
constexpr char RetiredSuffix[] = ".former";
constexpr char DamagedSuffix[] = ".damaged";

/// Appends `Newer` to `Entries`; a newer entry replaces all with the same or a
/// larger index.
void mergeEntries(std::vector<log_entry> &Entries,
                  const std::vector<log_entry> &Newer) {
  for (const log_entry &Entry : Newer) {
    while (!Entries.empty() && Entries.back().Index >= Entry.Index)
      Entries.pop_back();
    Entries.push_back(Entry);
  }
}

/// Drops the entries that the snapshot covers. Drops all entries if the one at
/// the snapshot's index has another term or if there is a gap after the
/// snapshot, as they don't continue the snapshot then.
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

tl::unexpected<folder_error> damaged(std::string Message) {
  return failFolder(folder_fault::damaged, std::move(Message));
}

/// The checksum of a record holds, so a build has written it like this.
tl::unexpected<folder_error> unknownFormat(const std::string &Name,
                                           const error &Error) {
  return failFolder(folder_fault::unknown_format, Name + ": " + Error.Message);
}

/// Returns the contents of a file, or no value if it doesn't exist.
folder_result<std::optional<std::string>>
readIfPresent(disk &Disk, const std::string &Name) {
  auto Bytes = Disk.read(Name);
  if (Bytes)
    return std::optional<std::string>(std::move(*Bytes));
  if (Bytes.error().Fault == disk_fault::not_found)
    return std::optional<std::string>();
  if (Bytes.error().Fault == disk_fault::not_a_file)
    return damaged(Bytes.error().Message);
  return failFolder(folder_fault::disk, Bytes.error().Message);
}

/// Decoded contents of the log and snapshot files.
struct folder_contents {
  log_header Header;
  log_batch Log;
  std::optional<log_snapshot> Snapshot;
  std::uint64_t TornBytes = 0;
};

folder_result<void> readLog(const std::string &Bytes, folder_contents &Out) {
  expected<log_contents> Contents = parseLog(Bytes, LogName);
  if (!Contents)
    return damaged(Contents.error().Message);
  Out.TornBytes = Contents->TornBytes;
  expected<log_header> Header = decodeHeader(Contents->Records.front());
  if (!Header)
    return unknownFormat(LogName, Header.error());
  Out.Header = *Header;
  for (const std::string &Record : Contents->Records) {
    expected<log_batch> Batch = decodeBatch(Record);
    if (!Batch)
      return unknownFormat(LogName, Batch.error());
    Out.Log.Hard = std::move(Batch->Hard);
    mergeEntries(Out.Log.Entries, Batch->Entries);
  }
  return {};
}

folder_result<void> readSnapshot(const std::string &Bytes,
                                 folder_contents &Out) {
  expected<std::string> Payload = parseSingleRecord(Bytes, SnapshotName);
  if (!Payload)
    return damaged(Payload.error().Message);
  expected<log_snapshot> Snapshot = decodeSnapshot(*Payload);
  if (!Snapshot)
    return unknownFormat(SnapshotName, Snapshot.error());
  Out.Snapshot = std::move(*Snapshot);
  return {};
}

folder_result<void> mergeLogAndSnapshot(folder_contents &Out) {
  const log_index Base = Out.Snapshot ? Out.Snapshot->Index : log_index{0};
  if (Base < Out.Header.SnapshotIndex)
    return damaged(std::string(SnapshotName) +
                   ": missing or older than the log");
  if (Out.Snapshot)
    dropCoveredEntries(Out.Log.Entries, *Out.Snapshot);
  if (hasGap(Out.Log.Entries, Base))
    return damaged(std::string(LogName) + ": entries are missing");
  return {};
}

/// Returns no value if the folder has no log file.
folder_result<std::optional<folder_contents>> readFolder(disk &Disk) {
  auto Log = readIfPresent(Disk, LogName);
  if (!Log)
    return tl::unexpected<folder_error>(Log.error());
  auto Snapshot = readIfPresent(Disk, SnapshotName);
  if (!Snapshot)
    return tl::unexpected<folder_error>(Snapshot.error());
  if (!*Log)
    return std::optional<folder_contents>();
  folder_contents Contents;
  if (auto Read = readLog(**Log, Contents); !Read)
    return tl::unexpected<folder_error>(Read.error());
  if (*Snapshot)
    if (auto Read = readSnapshot(**Snapshot, Contents); !Read)
      return tl::unexpected<folder_error>(Read.error());
  if (auto Joined = mergeLogAndSnapshot(Contents); !Joined)
    return tl::unexpected<folder_error>(Joined.error());
  return std::optional<folder_contents>(std::move(Contents));
}

folder_result<std::optional<control::bootstrap_record>>
readBootstrap(disk &Disk, control::voter_id Voter) {
  auto Bytes = readIfPresent(Disk, BootstrapName);
  if (!Bytes)
    return tl::unexpected<folder_error>(Bytes.error());
  if (!*Bytes)
    return std::optional<control::bootstrap_record>();
  auto Payload = parseSingleRecord(**Bytes, BootstrapName);
  if (!Payload)
    return damaged(Payload.error().Message);
  auto Record = decodeBootstrap(*Payload, Voter);
  if (!Record)
    return unknownFormat(BootstrapName, Record.error());
  return *Record;
}

/// Whether the folder holds files of a member other than its own: one that was
/// given up, was damaged, or has lost its log.
folder_result<bool> hasFormerMember(disk &Disk, bool HasOwnRecord) {
  auto Names = Disk.list();
  if (!Names)
    return failFolder(folder_fault::disk, Names.error().Message);
  return std::any_of(
      Names->begin(), Names->end(), [&](const std::string &Name) {
        return Name.ends_with(RetiredSuffix) || Name.ends_with(DamagedSuffix) ||
               (Name == BootstrapName && !HasOwnRecord);
      });
}

/// Whether the log file was written in this folder, as opposed to copied into
/// it.
folder_result<bool> isOriginal(disk &Disk, const folder_options &Options,
                               const std::optional<folder_contents> &Contents) {
  if (!Contents)
    return false;
  if (!Options.HasStableFileIds)
    return true;
  auto FileId = Disk.fileId(LogName);
  if (!FileId)
    return failFolder(folder_fault::disk, FileId.error().Message);
  return *FileId == Contents->Header.FileId;
}

/// Retires files that were not written by this folder's member, if there are
/// any, and returns the notice that describes the folder.
folder_result<folder_notice> retireFiles(disk &Disk) {
  auto Names = Disk.list();
  if (!Names)
    return failFolder(folder_fault::disk, Names.error().Message);
  const bool Empty =
      std::none_of(Names->begin(), Names->end(), [](const std::string &Name) {
        return Name == LogName || Name == SnapshotName;
      });
  if (Empty)
    return folder_notice::created;
  if (auto Done = durable_log::retire(Disk); !Done)
    return failFolder(folder_fault::disk, Done.error().Message);
  return folder_notice::copied_files;
}

/// Size in bytes of the log and the snapshot under the names that end in
/// `Suffix`. What cannot be read counts as empty.
std::size_t sizeOfEntries(disk &Disk, const std::string &Suffix) {
  std::size_t Size = 0;
  for (const std::string Name : {LogName, SnapshotName}) {
    const auto Bytes = Disk.read(Name + Suffix);
    Size += Bytes ? Bytes->size() : 0;
  }
  return Size;
}

/// Whether the folder's files are kept instead of those that were set aside
/// earlier. A snapshot shows that its member was in a group, so that the
/// earlier files are of a member that was replaced; without one the files that
/// hold more entries are kept.
disk_result<bool> replacesSetAside(disk &Disk) {
  const auto Names = Disk.list();
  if (!Names)
    return tl::unexpected<disk_error>(Names.error());
  const bool HasSnapshot =
      std::find(Names->begin(), Names->end(), SnapshotName) != Names->end();
  return HasSnapshot ||
         sizeOfEntries(Disk, "") >= sizeOfEntries(Disk, DamagedSuffix);
}

} // namespace

struct durable_log::impl {
  disk &Disk;
  log_header Header;
  std::optional<log_file> Log;
  log_batch Stored; ///< merged contents of the log file
  std::optional<log_snapshot> Snapshot;
  log_batch Buffered; ///< merged writes since the last sync
  std::optional<log_snapshot> BufferedSnapshot;
  std::optional<control::bootstrap_record> Bootstrap;
  std::optional<control::bootstrap_record> BufferedBootstrap;
  bool HasFormerMember = false;
  control::write_id LastWrite;
  bool Pending = false;
  bool DropLog = false;
  vm_id Vm;
  std::vector<folder_notice> Notices;
  std::uint64_t TornBytes = 0;
  std::string Damage;

  explicit impl(disk &Disk) : Disk(Disk) {}

  /// Whether the folder's member has joined a group, so that its bootstrap
  /// record isn't used any more.
  bool hasGroup() const { return Snapshot && !Snapshot->Group.Members.empty(); }

  /// Replaces the log file by a new one that holds `Header` and `Stored`.
  disk_result<void> rewriteLog() {
    if (Snapshot)
      Header.SnapshotIndex = Snapshot->Index;
    auto File = log_file::create(Disk, LogName, [this](std::uint64_t FileId) {
      Header.FileId = FileId;
      return encodeFirstRecord(Header, Stored);
    });
    if (!File)
      return tl::unexpected<disk_error>(File.error());
    Log = std::move(*File);
    return {};
  }

  disk_result<void> writeBuffered() {
    if (BufferedBootstrap) {
      auto Done =
          replaceFile(Disk, BootstrapName,
                      encodeBootstrap(Header.Voter, *BufferedBootstrap));
      if (!Done)
        return Done;
      Bootstrap = std::move(BufferedBootstrap);
      BufferedBootstrap.reset();
    }
    if (BufferedSnapshot) {
      auto Done =
          replaceFile(Disk, SnapshotName, encodeSnapshot(*BufferedSnapshot));
      if (!Done)
        return Done;
      Snapshot = std::move(BufferedSnapshot);
      BufferedSnapshot.reset();
    } else if (!DropLog) {
      return Log->append(encodeBatch(Buffered));
    }
    return rewriteLog();
  }

  void mergeBuffered() {
    if (DropLog)
      Stored.Entries.clear();
    Stored.Hard = Buffered.Hard;
    mergeEntries(Stored.Entries, Buffered.Entries);
    if (BufferedSnapshot)
      dropCoveredEntries(Stored.Entries, *BufferedSnapshot);
  }
};

durable_log::durable_log(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
durable_log::durable_log(durable_log &&) noexcept = default;
durable_log &durable_log::operator=(durable_log &&) noexcept = default;
durable_log::~durable_log() = default;

folder_result<durable_log> durable_log::open(disk &Disk,
                                             const folder_options &Options) {
  auto Impl = std::make_unique<impl>(Disk);
  Impl->Vm = Options.Vm;
  auto Contents = readFolder(Disk);
  if (!Contents)
    return tl::unexpected<folder_error>(Contents.error());
  folder_result<bool> Original = isOriginal(Disk, Options, *Contents);
  if (!Original)
    return tl::unexpected<folder_error>(Original.error());
  const bool IsOriginal = *Original;
  if (!IsOriginal) {
    folder_result<folder_notice> Notice = retireFiles(Disk);
    if (!Notice)
      return tl::unexpected<folder_error>(Notice.error());
    Impl->Notices.push_back(*Notice);
  }
  if (IsOriginal) {
    Impl->Header = (*Contents)->Header;
    Impl->Stored = std::move((*Contents)->Log);
    Impl->Snapshot = std::move((*Contents)->Snapshot);
    Impl->TornBytes = (*Contents)->TornBytes;
    if (Impl->TornBytes > 0)
      Impl->Notices.push_back(folder_notice::torn_tail);
  } else {
    Impl->Header.Voter = {Options.NewVoterId};
  }
  auto Bootstrap = readBootstrap(Disk, Impl->Header.Voter);
  if (Bootstrap) {
    Impl->Bootstrap = std::move(*Bootstrap);
  } else if (Bootstrap.error().Fault == folder_fault::damaged &&
             Impl->hasGroup()) {
    Impl->Damage = Bootstrap.error().Message;
    Impl->Notices.push_back(folder_notice::damaged_bootstrap);
  } else {
    return tl::unexpected<folder_error>(Bootstrap.error());
  }
  folder_result<bool> HasFormer =
      hasFormerMember(Disk, Impl->Bootstrap.has_value());
  if (!HasFormer)
    return tl::unexpected<folder_error>(HasFormer.error());
  Impl->HasFormerMember = *HasFormer;
  Impl->Header.Boot = {
      std::max(Impl->Header.Boot.Value + 1, Options.MinIncarnation)};
  if (auto Done = Impl->rewriteLog(); !Done)
    return failFolder(folder_fault::disk, Done.error().Message);
  return durable_log(std::move(Impl));
}

folder_result<durable_log>
durable_log::openRepaired(disk &Disk, const folder_options &Options) {
  auto Log = open(Disk, Options);
  if (Log || Log.error().Fault != folder_fault::damaged)
    return Log;
  const std::string Damage = Log.error().Message;
  if (const auto Done = setAside(Disk); !Done)
    return failFolder(folder_fault::disk,
                      Damage + "; not set aside: " + Done.error().Message);
  Log = open(Disk, Options);
  if (!Log)
    return failFolder(Log.error().Fault,
                      Damage + "; set aside, then: " + Log.error().Message);
  std::vector<folder_notice> &Notices = Log->Impl->Notices;
  Notices.insert(Notices.begin(), folder_notice::damaged_files);
  Log->Impl->Damage = Damage;
  return Log;
}

/// A folder may be damaged again before its member has joined a group, and the
/// earlier files are the ones that hold entries then. The log goes first, as in
/// `retire`.
disk_result<void> durable_log::setAside(disk &Disk) {
  const auto Replaces = replacesSetAside(Disk);
  if (!Replaces)
    return tl::unexpected<disk_error>(Replaces.error());
  for (const std::string Name : {LogName, SnapshotName, BootstrapName}) {
    const std::string KeptName = Name + DamagedSuffix;
    if (auto Done = Disk.remove(*Replaces ? KeptName : Name); !Done)
      return Done;
    if (*Replaces)
      if (auto Done = Disk.rename(Name, KeptName);
          !Done && Done.error().Fault != disk_fault::not_found)
        return Done;
    if (auto Synced = Disk.syncDirectory(); !Synced)
      return Synced;
  }
  return {};
}

control::recovered_state durable_log::state() const {
  control::recovered_state State;
  State.Self = Impl->Header.Voter;
  State.Vm = Impl->Vm;
  State.Boot = Impl->Header.Boot;
  State.Hard = Impl->Stored.Hard;
  State.Snapshot = Impl->Snapshot;
  State.Entries = Impl->Stored.Entries;
  State.Bootstrap = Impl->Bootstrap;
  State.HasFormerMember = Impl->HasFormerMember;
  return State;
}

const std::vector<folder_notice> &durable_log::notices() const {
  return Impl->Notices;
}

std::uint64_t durable_log::tornBytes() const { return Impl->TornBytes; }

const std::string &durable_log::damage() const { return Impl->Damage; }

void durable_log::write(const control::persist &Write) {
  if (Write.DropLog) {
    Impl->DropLog = true;
    Impl->Buffered.Entries.clear();
  }
  Impl->Buffered.Hard = Write.Hard;
  mergeEntries(Impl->Buffered.Entries, Write.Entries);
  if (Write.Snapshot)
    Impl->BufferedSnapshot = Write.Snapshot;
  if (Write.Bootstrap)
    Impl->BufferedBootstrap = Write.Bootstrap;
  Impl->LastWrite = Write.Write;
  Impl->Pending = true;
}

disk_result<control::write_id> durable_log::sync() {
  if (!Impl->Pending)
    return Impl->LastWrite;
  Impl->mergeBuffered();
  if (auto Done = Impl->writeBuffered(); !Done)
    return tl::unexpected<disk_error>(Done.error());
  Impl->Buffered.Entries.clear();
  Impl->Pending = Impl->DropLog = false;
  return Impl->LastWrite;
}

bool durable_log::pending() const { return Impl->Pending; }

/// The log goes first, durably: a folder with a log but without its snapshot is
/// damaged, one with only a snapshot is retired by the next `open`.
disk_result<void> durable_log::retire(disk &Disk) {
  for (const std::string Name : {LogName, SnapshotName}) {
    auto Moved = Disk.rename(Name, Name + RetiredSuffix);
    if (!Moved && Moved.error().Fault != disk_fault::not_found)
      return Moved;
    if (auto Synced = Disk.syncDirectory(); !Synced)
      return Synced;
  }
  return {};
}

} // namespace bulrush::store

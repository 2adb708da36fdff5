/// An in-memory data folder that loses unsynced changes on a simulated crash.
#pragma once

#include "store/disk.h"

#include <map>
#include <optional>
#include <random>

namespace bulrush::test {

using store::disk_error;
using store::disk_fault;
using store::disk_result;

class fake_disk final : public store::disk {
public:
  struct content {
    std::string Current;
    std::string Synced;
    std::uint64_t FileId = 0;
    bool IsFolder = false;
  };
  using folder = std::map<std::string, std::shared_ptr<content>>;

  std::optional<disk_fault> Fault; ///< if set, all modifying calls fail with it
  /// If set, this many modifying calls succeed and the next one sets `Fault`.
  std::optional<std::size_t> CallsUntilFault;
  bool FaultsReads = false;  ///< whether reading and listing fail as well
  bool WritesPartly = false; ///< whether a refused append leaves some bytes
  std::size_t Syncs = 0;

  /// Simulates a power failure. Each file keeps a random prefix of its unsynced
  /// bytes, possibly with one corrupted byte; each unsynced change of a file
  /// name is lost or kept at random, independently of the others.
  void crash(std::mt19937_64 &Random) {
    Names = SyncedNames;
    for (const name_change &Change : UnsyncedChanges)
      if (Random() % 2)
        apply(Change, Names);
    UnsyncedChanges.clear();
    for (auto &[Name, File] : Names) {
      std::string Kept = File->Synced;
      const std::size_t Unsynced = File->Current.size() - Kept.size();
      const std::size_t Tail = Unsynced ? Random() % (Unsynced + 1) : 0;
      Kept += File->Current.substr(Kept.size(), Tail);
      if (Tail > 0 && Random() % 2)
        Kept[Kept.size() - 1 - Random() % Tail] ^= 0x55;
      File->Current = File->Synced = Kept;
    }
    SyncedNames = Names;
  }

  /// Returns a copy of all files. `restore` gives them new file ids, as copying
  /// does, unless `Image` is set, which restores a disk image with its ids.
  std::map<std::string, content> backup() const {
    std::map<std::string, content> Copy;
    for (const auto &[Name, File] : Names)
      Copy[Name] = *File;
    return Copy;
  }
  void restore(const std::map<std::string, content> &Copy, bool Image) {
    Names.clear();
    for (const auto &[Name, File] : Copy) {
      Names[Name] = std::make_shared<content>(File);
      Names[Name]->Synced = File.Current;
      if (!Image)
        Names[Name]->FileId = ++LastFileId;
    }
    SyncedNames = Names;
    UnsyncedChanges.clear();
  }
  void wipe() { restore({}, false); }
  std::string &bytes(const std::string &Name) {
    return Names.at(Name)->Current;
  }
  /// Makes all files and names durable as they are.
  void syncAll() {
    for (auto &[Name, File] : Names)
      File->Synced = File->Current;
    SyncedNames = Names;
    UnsyncedChanges.clear();
  }
  /// Puts a folder in the place of a file.
  void makeFolder(const std::string &Name) {
    const auto Folder = std::make_shared<content>();
    Folder->IsFolder = true;
    Names[Name] = SyncedNames[Name] = Folder;
  }
  bool has(const std::string &Name) const { return Names.count(Name) > 0; }

  disk_result<std::unique_ptr<store::disk_file>>
  open(const std::string &Name) override {
    if (fails())
      return failed();
    if (!has(Name)) {
      const auto File = std::make_shared<content>();
      File->FileId = ++LastFileId;
      change({"", Name, File});
    }
    return std::make_unique<fake_file>(*this, Names.at(Name));
  }
  disk_result<std::string> read(const std::string &Name) override {
    if (FaultsReads && fails())
      return failed();
    if (!has(Name))
      return missing(Name);
    if (Names[Name]->IsFolder)
      return tl::unexpected<disk_error>(
          disk_error{disk_fault::not_a_file, Name + ": is a folder"});
    return Names[Name]->Current;
  }
  disk_result<void> rename(const std::string &From,
                           const std::string &To) override {
    if (fails())
      return failed();
    if (!has(From))
      return missing(From);
    change({From, To, Names.at(From)});
    return {};
  }
  disk_result<void> remove(const std::string &Name) override {
    if (fails())
      return failed();
    change({Name, "", nullptr});
    return {};
  }
  disk_result<std::vector<std::string>> list() override {
    if (FaultsReads && fails())
      return failed();
    std::vector<std::string> Result;
    for (const auto &[Name, File] : Names)
      Result.push_back(Name);
    return Result;
  }
  disk_result<void> syncDirectory() override {
    if (fails())
      return failed();
    SyncedNames = Names;
    UnsyncedChanges.clear();
    return {};
  }
  disk_result<std::uint64_t> fileId(const std::string &Name) override {
    if (FaultsReads && fails())
      return failed();
    if (!has(Name))
      return missing(Name);
    return Names[Name]->FileId;
  }

private:
  /// A created file has no former name, and a removed one has no new name.
  struct name_change {
    std::string From;
    std::string To;
    std::shared_ptr<content> File;
  };

  class fake_file final : public store::disk_file {
  public:
    fake_file(fake_disk &Disk, std::shared_ptr<content> File)
        : Disk(Disk), File(std::move(File)) {}
    disk_result<void> append(std::string_view Bytes) override {
      if (Disk.fails()) {
        if (Disk.WritesPartly)
          File->Current += Bytes.substr(0, Bytes.size() / 2);
        return Disk.failed();
      }
      File->Current += Bytes;
      return {};
    }
    disk_result<void> sync() override {
      if (Disk.fails())
        return Disk.failed();
      File->Synced = File->Current;
      ++Disk.Syncs;
      return {};
    }

  private:
    fake_disk &Disk;
    std::shared_ptr<content> File;
  };

  static void apply(const name_change &Change, folder &To) {
    To.erase(Change.From);
    if (!Change.To.empty())
      To[Change.To] = Change.File;
  }
  void change(name_change Change) {
    apply(Change, Names);
    UnsyncedChanges.push_back(std::move(Change));
  }

  bool fails() {
    if (CallsUntilFault && (*CallsUntilFault)-- == 0) {
      CallsUntilFault.reset();
      Fault = disk_fault::full;
    }
    return Fault.has_value();
  }
  tl::unexpected<disk_error> failed() const {
    return tl::unexpected<disk_error>(disk_error{*Fault, "fake fault"});
  }
  static tl::unexpected<disk_error> missing(const std::string &Name) {
    return tl::unexpected<disk_error>(
        disk_error{disk_fault::not_found, Name + ": missing"});
  }

  folder Names;
  folder SyncedNames;
  std::vector<name_change> UnsyncedChanges; ///< since `SyncedNames`
  std::uint64_t LastFileId = 0;
};

} // namespace bulrush::test

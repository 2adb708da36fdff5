#include "store/disk.h"

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace bulrush::store {

namespace {

constexpr mode_t FolderMode = 0700;
constexpr mode_t FileMode = 0600;
constexpr char LockName[] = "lock";

tl::unexpected<disk_error> systemError(const std::string &Operation, int Code) {
  disk_fault Fault = disk_fault::other;
  if (Code == ENOENT)
    Fault = disk_fault::not_found;
  else if (Code == EISDIR)
    Fault = disk_fault::not_a_file;
  else if (Code == ENOSPC || Code == EDQUOT || Code == EFBIG)
    Fault = disk_fault::full;
  else if (Code == EROFS || Code == EACCES || Code == EPERM)
    Fault = disk_fault::read_only;
  return tl::unexpected<disk_error>(
      disk_error{Fault, Operation + ": " + std::strerror(Code)});
}

/// Owns a file descriptor.
class descriptor {
public:
  explicit descriptor(int Number) : Number(Number) {}
  ~descriptor() {
    if (Number >= 0)
      ::close(Number);
  }
  descriptor(descriptor &&Other) noexcept : Number(Other.Number) {
    Other.Number = -1;
  }
  descriptor(const descriptor &) = delete;
  descriptor &operator=(const descriptor &) = delete;
  descriptor &operator=(descriptor &&) = delete;

  bool valid() const { return Number >= 0; }
  int get() const { return Number; }

private:
  int Number;
};

disk_result<void> syncDescriptor(const descriptor &File,
                                 const std::string &Path) {
  if (::fsync(File.get()) != 0)
    return systemError("sync " + Path, errno);
  return {};
}

class posix_file final : public disk_file {
public:
  posix_file(descriptor File, std::string Path)
      : File(std::move(File)), Path(std::move(Path)) {}

  disk_result<void> append(std::string_view Bytes) override {
    while (!Bytes.empty()) {
      const ssize_t Written = ::write(File.get(), Bytes.data(), Bytes.size());
      if (Written < 0 && errno == EINTR)
        continue;
      if (Written < 0)
        return systemError("write " + Path, errno);
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
    return {};
  }

  disk_result<void> sync() override {
    if (::fdatasync(File.get()) != 0)
      return systemError("sync " + Path, errno);
    return {};
  }

private:
  descriptor File;
  std::string Path;
};

class posix_disk final : public disk {
public:
  posix_disk(std::string Folder, descriptor Lock)
      : Folder(std::move(Folder)), Lock(std::move(Lock)) {}

  disk_result<std::unique_ptr<disk_file>>
  open(const std::string &Name) override {
    const std::string Path = pathOf(Name);
    descriptor File(::open(
        Path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FileMode));
    if (!File.valid())
      return systemError("open " + Path, errno);
    return std::make_unique<posix_file>(std::move(File), Path);
  }

  disk_result<std::string> read(const std::string &Name) override {
    constexpr std::size_t BlockBytes = 1 << 16;
    const std::string Path = pathOf(Name);
    descriptor File(::open(Path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!File.valid())
      return systemError("open " + Path, errno);
    std::string Bytes;
    std::string Block(BlockBytes, '\0');
    for (;;) {
      const ssize_t Count = ::read(File.get(), Block.data(), Block.size());
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0)
        return systemError("read " + Path, errno);
      if (Count == 0)
        return Bytes;
      Bytes.append(Block.data(), static_cast<std::size_t>(Count));
    }
  }

  disk_result<void> rename(const std::string &From,
                           const std::string &To) override {
    if (::rename(pathOf(From).c_str(), pathOf(To).c_str()) != 0)
      return systemError("rename " + pathOf(From) + " to " + To, errno);
    return {};
  }

  disk_result<void> remove(const std::string &Name) override {
    if (::unlink(pathOf(Name).c_str()) == 0 || errno == ENOENT)
      return {};
    if (errno != EISDIR)
      return systemError("remove " + pathOf(Name), errno);
    std::error_code Error;
    std::filesystem::remove_all(pathOf(Name), Error);
    if (Error)
      return systemError("remove " + pathOf(Name), Error.value());
    return {};
  }

  disk_result<std::vector<std::string>> list() override {
    DIR *Open = ::opendir(Folder.c_str());
    if (!Open)
      return systemError("list " + Folder, errno);
    std::vector<std::string> Names;
    while (const dirent *Item = ::readdir(Open)) {
      const std::string Name = Item->d_name;
      if (Name != "." && Name != ".." && Name != LockName)
        Names.push_back(Name);
    }
    ::closedir(Open);
    return Names;
  }

  disk_result<void> syncDirectory() override {
    descriptor File(::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!File.valid())
      return systemError("open " + Folder, errno);
    return syncDescriptor(File, Folder);
  }

  disk_result<std::uint64_t> fileId(const std::string &Name) override {
    const std::string Path = pathOf(Name);
    struct statx Status {};
    if (::statx(AT_FDCWD, Path.c_str(), 0, STATX_INO | STATX_BTIME, &Status) !=
        0)
      return systemError("stat " + Path, errno);
    constexpr std::uint64_t Prime = 0x9E3779B97F4A7C15ULL;
    std::uint64_t FileId = Status.stx_ino;
    if (Status.stx_mask & STATX_BTIME) {
      FileId =
          FileId * Prime + static_cast<std::uint64_t>(Status.stx_btime.tv_sec);
      FileId = FileId * Prime + Status.stx_btime.tv_nsec;
    }
    return FileId;
  }

private:
  std::string pathOf(const std::string &Name) const {
    return Folder + "/" + Name;
  }

  std::string Folder;
  descriptor Lock;
};

/// A folder in the place of the lock file is locked instead: to replace it
/// would race with another process.
descriptor openLock(const std::string &Path) {
  descriptor File(::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (File.valid() || errno != EISDIR)
    return File;
  return descriptor(::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
}

} // namespace

disk_result<std::unique_ptr<disk>> openPosixDisk(const std::string &Path) {
  if (::mkdir(Path.c_str(), FolderMode) != 0 && errno != EEXIST)
    return systemError("create " + Path, errno);
  const std::string LockPath = Path + "/" + LockName;
  descriptor Lock = openLock(LockPath);
  if (!Lock.valid())
    return systemError("open " + LockPath, errno);
  if (::flock(Lock.get(), LOCK_EX | LOCK_NB) != 0)
    return systemError("data folder " + Path + " is used by another process",
                       errno);
  return std::make_unique<posix_disk>(Path, std::move(Lock));
}

} // namespace bulrush::store

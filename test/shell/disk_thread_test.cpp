#include "fake_disk.h"
#include "fleet/disk_thread.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <new>

using namespace bulrush;

namespace {

/// A disk whose files run out of memory in each write from `IsExhausted` on.
class exhausted_disk final : public store::disk {
public:
  std::atomic<bool> IsExhausted = false;

  store::disk_result<std::unique_ptr<store::disk_file>>
  open(const std::string &Name) override {
    auto File = Disk.open(Name);
    if (!File)
      return File;
    return std::make_unique<exhausted_file>(std::move(*File), IsExhausted);
  }
  store::disk_result<std::string> read(const std::string &Name) override {
    return Disk.read(Name);
  }
  store::disk_result<void> rename(const std::string &From,
                                  const std::string &To) override {
    return Disk.rename(From, To);
  }
  store::disk_result<void> remove(const std::string &Name) override {
    return Disk.remove(Name);
  }
  store::disk_result<std::vector<std::string>> list() override {
    return Disk.list();
  }
  store::disk_result<void> syncDirectory() override {
    return Disk.syncDirectory();
  }
  store::disk_result<std::uint64_t> fileId(const std::string &Name) override {
    return Disk.fileId(Name);
  }

private:
  class exhausted_file final : public store::disk_file {
  public:
    exhausted_file(std::unique_ptr<store::disk_file> File,
                   const std::atomic<bool> &IsExhausted)
        : File(std::move(File)), IsExhausted(IsExhausted) {}
    store::disk_result<void> append(std::string_view Bytes) override {
      if (IsExhausted)
        throw std::bad_alloc();
      return File->append(Bytes);
    }
    store::disk_result<void> sync() override { return File->sync(); }

  private:
    std::unique_ptr<store::disk_file> File;
    const std::atomic<bool> &IsExhausted;
  };

  test::fake_disk Disk;
};

} // namespace

// Guards against a process that ends by itself, since an exception left its
// writer thread.
TEST_CASE("an exception in the writer thread is a disk error", "[folder]") {
  exhausted_disk Disk;
  store::folder_options Options;
  Options.Vm = vm_id{1};
  Options.NewVoterId = 1;
  auto Log = store::durable_log::open(Disk, Options);
  REQUIRE(Log);
  std::promise<std::string> Failure;
  fleet::disk_thread Writer(
      std::move(*Log), [](control::write_id) {},
      [&](const store::disk_error &Error) {
        Failure.set_value(Error.Message);
      });
  Disk.IsExhausted = true;
  control::persist Write;
  Write.Write = control::write_id{1};
  Writer.write(Write);
  auto Reported = Failure.get_future();
  REQUIRE(Reported.wait_for(std::chrono::seconds(5)) ==
          std::future_status::ready);
  CHECK(Reported.get() == std::bad_alloc().what());
}

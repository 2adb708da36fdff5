#include "fleet/voter_folder.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace bulrush;

namespace {

namespace files = std::filesystem;

struct fixture final : fleet::voter_folder_host {
  files::path Path = files::temp_directory_path() /
                     ("voter_folder_test." + std::to_string(::getpid()));
  boost::asio::io_context Io;
  std::optional<control::recovered_state> State;
  control::write_id Persisted;
  int Openings = 0;
  bool ThrowsOnce = false; ///< in the next `onFolderOpened`
  fleet::voter_folder Folder{Io, Path.string(), vm_id{1}, *this};

  ~fixture() override {
    Folder.close();
    files::remove_all(Path);
  }
  fixture() { files::remove_all(Path); }
  fixture(const fixture &) = delete;
  fixture &operator=(const fixture &) = delete;

  void onFolderOpened(control::recovered_state Opened) override {
    ++Openings;
    if (std::exchange(ThrowsOnce, false))
      throw std::runtime_error("no memory");
    State = std::move(Opened);
  }
  void onPersisted(control::write_id Write) override { Persisted = Write; }
  void onFolderClosed() override { State.reset(); }

  void runFor(std::chrono::milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
  /// A name that a file cannot get, so that files cannot be set aside.
  files::path blockedName() const { return Path / "log.former"; }
};

constexpr std::chrono::milliseconds MoreThanRetryDelay{700};

} // namespace

// Guards against a voter that votes again as a member that it is no more, since
// its folder could not be set aside while the disk refused that.
TEST_CASE("a folder that cannot be set aside is not used until it is",
          "[folder]") {
  fixture Test;
  Test.Folder.open();
  REQUIRE(Test.State);
  const control::voter_id Former = Test.State->Self;
  files::create_directory(Test.blockedName());
  Test.Folder.replace();
  CHECK_FALSE(Test.State);
  Test.runFor(MoreThanRetryDelay);
  CHECK_FALSE(Test.State);
  files::remove(Test.blockedName());
  Test.runFor(MoreThanRetryDelay);
  REQUIRE(Test.State);
  CHECK(Test.State->Self != Former);
}

// Guards against a folder that is opened again after the process closed it for
// its end.
TEST_CASE("a closed folder stays closed", "[folder]") {
  fixture Test;
  std::ofstream(Test.Path) << "a file in the place of the folder";
  Test.Folder.open();
  REQUIRE_FALSE(Test.State);
  Test.Folder.close();
  files::remove(Test.Path);
  Test.runFor(MoreThanRetryDelay);
  CHECK_FALSE(Test.State);
}

// Guards against a damaged folder that is tried again for ever, so that its
// registry never serves again.
TEST_CASE("a damaged folder is opened as that of a new member", "[folder]") {
  fixture Test;
  Test.Folder.open();
  REQUIRE(Test.State);
  const control::voter_id Former = Test.State->Self;
  Test.Folder.close();
  files::resize_file(Test.Path / "log", 0);
  Test.Folder.open();
  REQUIRE(Test.State);
  CHECK(Test.State->Self != Former);
  CHECK(Test.State->HasFormerMember);
  CHECK(files::exists(Test.Path / "log.damaged"));
}

// Guards against a voter that never votes again, since an exception kept its
// folder from being opened and no retry was due.
TEST_CASE("a folder is opened again after an exception", "[folder]") {
  fixture Test;
  Test.ThrowsOnce = true;
  try {
    Test.Folder.open();
  } catch (const std::runtime_error &) { // the event loop goes on
  }
  CHECK_FALSE(Test.State);
  Test.runFor(MoreThanRetryDelay);
  CHECK(Test.State);
}

// Guards against a loop without a pause that takes the processor and the disk,
// when each step after an opening fails.
TEST_CASE("a folder that is reopened again and again is opened with pauses",
          "[folder]") {
  fixture Test;
  Test.Folder.open();
  std::this_thread::sleep_for(MoreThanRetryDelay);
  Test.Folder.reopen();
  Test.runFor(std::chrono::milliseconds(50));
  CHECK(Test.Openings == 2);
  Test.Folder.reopen();
  Test.runFor(std::chrono::milliseconds(50));
  CHECK_FALSE(Test.State);
  Test.runFor(MoreThanRetryDelay);
  CHECK(Test.State);
  CHECK(Test.Openings == 3);
}

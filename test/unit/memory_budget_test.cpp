#include "http/memory_budget.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace bulrush;
using namespace bulrush::http;

namespace {

constexpr std::size_t KiB = 1024;
constexpr instant Start{1000};
constexpr millis Short{100}; ///< an ordinary client needs no longer
constexpr millis Long{5000};

struct client final : memory_holder {
  explicit client(const std::shared_ptr<memory_budget> &Budget)
      : Account(Budget, *this) {}
  void evict() override { IsEvicted = true; }

  memory_account Account;
  bool IsEvicted = false;
};

struct fixture {
  std::shared_ptr<memory_budget> Budget =
      std::make_shared<memory_budget>(100 * KiB);
  client First{Budget};
  client Second{Budget};
  client Newest{Budget};

  void read(client &Client, std::size_t Bytes, instant Since) {
    Client.Account.setRequestBytes(Bytes * KiB);
    Client.Account.beginReading(Since);
  }
  bool fits(std::size_t Bytes, instant Now) {
    Newest.Account.setRequestBytes(Bytes * KiB);
    return Budget->fitsRequest(Newest.Account, Bytes * KiB, Now);
  }
  bool fitsResponse(std::size_t Bytes, instant Now) {
    Newest.Account.setResponseBytes(Bytes * KiB);
    return Budget->fitsResponse(Newest.Account, Now);
  }
  std::size_t used() const { return Budget->usedBytes() / KiB; }
  void write(client &Client, std::size_t Bytes, instant Since) {
    Client.Account.setResponseBytes(Bytes * KiB);
    Client.Account.beginWriting(Since);
  }
};

} // namespace

// Guards against uploads that together take more memory than there is.
TEST_CASE("the newest request is refused when requests exceed their half") {
  fixture F;
  F.read(F.First, 30, Start);
  CHECK(F.fits(20, Start + Short));
  CHECK_FALSE(F.fits(21, Start + Short));
  CHECK_FALSE(F.First.IsEvicted);
}

// Guards against uploads that keep small requests out.
TEST_CASE("small requests fit beside as many uploads as are let in") {
  fixture F;
  F.read(F.First, 50, Start);
  CHECK(F.fits(10, Start + Short));
  F.read(F.Second, 16, Start);
  CHECK_FALSE(F.fits(10, Start + Short));
}

// Guards against slow uploads that keep ordinary requests out.
TEST_CASE("the slowest upload gives way to a new request") {
  fixture F;
  F.read(F.First, 25, Start);
  F.read(F.Second, 25, Start + Short);
  CHECK(F.fits(20, Start + Long));
  CHECK(F.First.IsEvicted);
  CHECK_FALSE(F.Second.IsEvicted);
  CHECK(F.used() == 45);
}

// Guards against a request inside the limits that is refused in calm.
TEST_CASE("a client that is alone is never refused or evicted") {
  fixture F;
  F.read(F.First, 5, Start + Long);
  F.read(F.Newest, 90, Start);
  CHECK(F.fits(95, Start + Long));
  F.Newest.Account.setRequestBytes(0);
  F.write(F.Newest, 150, Start);
  CHECK(F.Budget->fitsResponse(F.Newest.Account, Start + Long));
  CHECK_FALSE(F.Newest.IsEvicted);
}

// Guards against responses that nobody reads and that fill the memory.
TEST_CASE("the client that has been reading a response for longest gives way") {
  fixture F;
  F.write(F.First, 50, Start);
  F.write(F.Second, 50, Start + Short);
  CHECK(F.fitsResponse(40, Start + Short));
  CHECK(F.First.IsEvicted);
  CHECK_FALSE(F.Second.IsEvicted);
  CHECK(F.used() == 90);
}

// Guards against a response that waits behind another one on its connection
// and so is never written.
TEST_CASE("a response that no writer can make room for is dropped") {
  fixture F;
  F.First.Account.setRequestBytes(50 * KiB);
  CHECK_FALSE(F.fitsResponse(60, Start));
  CHECK(F.Newest.IsEvicted);
  CHECK(F.used() == 50);
}

// Guards against requests that are refused because of responses that nobody
// reads.
TEST_CASE("a slow reader of responses gives way to a new request") {
  fixture F;
  F.write(F.First, 95, Start);
  CHECK_FALSE(F.fits(10, Start + Short));
  CHECK(F.fits(10, Start + Long));
  CHECK(F.First.IsEvicted);
}

// Guards against bytes that count for ever, which would refuse every request
// in the end, and against calls for a connection that is gone.
TEST_CASE("an account that has ended counts nothing") {
  fixture F;
  {
    client Gone(F.Budget);
    F.read(Gone, 40, Start);
    F.write(Gone, 40, Start);
    CHECK(F.used() == 80);
  }
  CHECK(F.used() == 0);
  F.write(F.First, 60, Start);
  F.Newest.Account.beginWriting(Start + Long);
  CHECK(F.fitsResponse(60, Start + Long));
  F.First.Account.setResponseBytes(70 * KiB); // evicted
  F.First.Account.endWriting();
  CHECK(F.used() == 60);
}

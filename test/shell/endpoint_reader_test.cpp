#include "fleet/endpoint_reader.h"
#include "fleet/handler_guard.h"
#include "http/server.h"

#include <catch2/catch.hpp>
#include <stdexcept>

using namespace bulrush;

namespace {

constexpr std::uint16_t Port = 19'087;

class empty_page final : public http::handler {
public:
  void handle(http::request, http::responder Respond) override {
    RespondedAt = Clock.now();
    Respond({});
  }

  boot_clock_source Clock;
  instant RespondedAt;
};

/// Of the first of two endpoints; the other one is warm.
constexpr millis PageColdFor{250};

struct fixture {
  /// Throws in the first `Failures` calls.
  class throwing_codec final : public fleet::endpoint_list_codec {
  public:
    explicit throwing_codec(int Failures) : Failures(Failures) {}
    http::request page(const std::string &) const override {
      return {"GET", "/", {}, {}};
    }
    expected<fleet::endpoint_page>
    decode(const http::response &) const override {
      if (Failures-- > 0)
        throw std::invalid_argument("a name that is not UTF-8");
      fleet::endpoint_page Out;
      Out.Endpoints.resize(2);
      Out.Endpoints[0].ColdFor = PageColdFor;
      return Out;
    }

  private:
    mutable int Failures;
  };

  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  fleet::handler_guard Guard{Metrics};
  empty_page Handler;
  http::server Server{Io, serverSettings(), Handler, Metrics};
  boot_clock_source Clock;
  int Readings = 0;
  std::vector<relay::listed_endpoint> Listed; ///< at the last reading
  instant ReadAt;

  static http::server_settings serverSettings() {
    http::server_settings Out;
    Out.Listen = {"127.0.0.1", Port};
    return Out;
  }
  static fleet::reader_settings readerSettings() {
    fleet::reader_settings Out;
    Out.Server = {"127.0.0.1", Port};
    Out.Interval = Out.RetryDelay = {20};
    return Out;
  }

  /// Runs until the second reading; at most 5 s.
  void read(int DecodeFailures, int HandlerFailures) {
    REQUIRE(Server.start());
    fleet::endpoint_reader Reader(
        Io, readerSettings(), std::make_shared<throwing_codec>(DecodeFailures),
        Clock, [&](auto Found, instant StartedAt) {
          if (++Readings == 2)
            Io.stop();
          Listed = std::move(Found);
          ReadAt = StartedAt;
          if (HandlerFailures-- > 0)
            throw std::runtime_error("a reading that cannot be published");
        });
    Reader.start();
    boost::asio::steady_timer Limit(Io, std::chrono::seconds(5));
    Limit.async_wait([this](auto) { Io.stop(); });
    Guard.run(Io);
  }
};

} // namespace

// Guards against a list of endpoints that is read no more after one reading
// could not be handled.
TEST_CASE("the list is read again after an exception in its handler",
          "[endpoint_list]") {
  fixture Test;
  Test.read(0, 1);
  CHECK(Test.Readings == 2);
}

// Guards against a list of endpoints that is read no more after one page whose
// decoding threw.
TEST_CASE("the list is read again after an exception in its codec",
          "[endpoint_list]") {
  fixture Test;
  Test.read(1, 0);
  CHECK(Test.Readings == 2);
}

// Guards against a cold time that ends too early because its page was made
// after the reading began.
TEST_CASE("a cold time is counted from the arrival of its page",
          "[endpoint_list][cold]") {
  fixture Test;
  Test.read(0, 0);
  REQUIRE(Test.Listed.size() == 2);
  CHECK(Test.ReadAt + Test.Listed[0].ColdFor >=
        Test.Handler.RespondedAt + PageColdFor);
  CHECK(Test.Listed[1].ColdFor == millis{0});
}

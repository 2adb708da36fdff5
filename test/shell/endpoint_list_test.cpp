#include "fleet/endpoint_reader.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace bulrush;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr char Host[] = "127.64.0.2";
constexpr std::uint16_t Port = 19'089;

/// A page is two numbers, of entries and of unreadable entries, filled up with
/// blanks, and a token without blanks if another page follows.
class plain_list_codec final : public fleet::endpoint_list_codec {
public:
  http::request page(const std::string &Token) const override {
    return {"GET", "/" + Token, {}, {}};
  }
  expected<fleet::endpoint_page>
  decode(const http::response &Response) const override {
    std::istringstream Text(Response.Body);
    std::size_t Entries = 0;
    fleet::endpoint_page Out;
    Text >> Entries >> Out.Unreadable >> Out.NextToken;
    Out.Endpoints.resize(Entries);
    return Out;
  }
};

/// Answers each request with `Page`, the first one of a reading or not.
class list_server {
public:
  explicit list_server(asio::io_context &Io)
      : Acceptor(Io, {asio::ip::make_address(Host), Port}) {
    accept();
  }

  std::string Page;
  std::size_t FirstPages = 0;
  std::size_t Pages = 0;

private:
  using socket_ptr = std::shared_ptr<tcp::socket>;

  void accept() {
    Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      answer(std::make_shared<tcp::socket>(std::move(Socket)),
             std::make_shared<std::string>());
      accept();
    });
  }
  void answer(const socket_ptr &Socket,
              const std::shared_ptr<std::string> &Request) {
    asio::async_read_until(
        *Socket, asio::dynamic_buffer(*Request), "\r\n\r\n",
        [this, Socket, Request](auto Error, auto) {
          if (Error)
            return;
          ++Pages;
          FirstPages += Request->rfind("GET / ", 0) == 0 ? 1 : 0;
          Request->clear();
          const std::string Response = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                       std::to_string(Page.size()) +
                                       "\r\n\r\n" + Page;
          boost::system::error_code Ignored;
          asio::write(*Socket, asio::buffer(Response), Ignored);
          answer(Socket, Request);
        });
  }

  tcp::acceptor Acceptor;
};

struct reader_fixture {
  explicit reader_fixture(fleet::reader_settings Given = settings())
      : Settings(std::move(Given)) {
    Reader.start();
  }

  static fleet::reader_settings settings() {
    fleet::reader_settings Out;
    Out.Server = {Host, Port};
    Out.Interval = {50};
    Out.RetryDelay = {50};
    Out.MaxEntries = 100;
    Out.MaxPages = 20;
    Out.MaxBytes = 10'000;
    return Out;
  }
  /// Runs until `FirstPages` readings have begun, for 2 s at most.
  void runReadings(std::size_t Count) {
    Server.FirstPages = 0;
    Server.Pages = 0;
    for (int I = 0; I < 200 && Server.FirstPages < Count; ++I)
      Io.run_for(std::chrono::milliseconds(10));
  }

  fleet::reader_settings Settings;
  asio::io_context Io;
  steady_clock_source Clock;
  list_server Server{Io};
  std::vector<std::size_t> Found;
  fleet::endpoint_reader Reader{
      Io, Settings, std::make_shared<plain_list_codec>(), Clock,
      [this](const std::vector<relay::listed_endpoint> &Endpoints, instant) {
        Found.push_back(Endpoints.size());
      }};
};

std::string filled(std::string Page, std::size_t Bytes) {
  Page.resize(Bytes, ' ');
  return Page;
}

} // namespace

// Guards against a list whose pages never end: it takes all memory of the
// reader, and no further reading ever begins.
TEST_CASE("a list that never ends is given up and read anew", "[list]") {
  reader_fixture Test;
  Test.Server.Page = GENERATE(std::string("10 0 more"),   // entries
                              std::string("0 10 more"),   // unreadable ones
                              std::string("0 0 more"),    // empty pages
                              filled("0 0 more", 1'000)); // bytes
  Test.runReadings(3);
  CHECK(Test.Server.FirstPages == 3);
  CHECK(Test.Server.Pages <= 3 * 21);
  CHECK(Test.Found.empty());
}

// Guards against a list whose pages never end and come so slowly that no other
// limit is reached for hours.
TEST_CASE("a list that takes too long is given up and read anew", "[list]") {
  fleet::reader_settings Settings = reader_fixture::settings();
  Settings.MaxPages = SIZE_MAX;
  Settings.MaxBytes = SIZE_MAX;
  Settings.MaxTime = {200};
  reader_fixture Test(Settings);
  Test.Server.Page = "0 0 more";
  Test.runReadings(3);
  CHECK(Test.Server.FirstPages == 3);
}

// Guards against a reader that does not recover from a list that never ends.
TEST_CASE("after a list that never ends the next whole one is taken",
          "[list]") {
  reader_fixture Test;
  Test.Server.Page = "10 0 more";
  Test.runReadings(2);
  Test.Server.Page = "7 0";
  Test.runReadings(2);
  REQUIRE(!Test.Found.empty());
  CHECK(Test.Found.back() == 7);
}

// Guards against a limit that refuses a list of the greatest size allowed.
TEST_CASE("a list at the limit is taken", "[list]") {
  reader_fixture Test;
  Test.Server.Page = GENERATE(std::string("100 0"), filled("3 0", 10'000));
  Test.runReadings(2);
  CHECK(!Test.Found.empty());
}

#include "fleet/endpoint_reader.h"

#include "fleet/process_start.h"
#include "telemetry/log.h"

namespace bulrush::fleet {

namespace {

using telemetry::severity;

http::client_settings clientSettings(const reader_settings &Settings) {
  http::client_settings Out;
  Out.Server = Settings.Server;
  Out.MaxConnections = 1;
  Out.UnackedTimeout = Settings.PageTimeout;
  return Out;
}

} // namespace

endpoint_reader::endpoint_reader(
    boost::asio::io_context &Io, reader_settings Given,
    std::shared_ptr<const endpoint_list_codec> Codec, const clock_source &Clock,
    directory_handler OnRead)
    : Settings(std::move(Given)), Codec(std::move(Codec)), Clock(Clock),
      OnRead(std::move(OnRead)), Client(Io, clientSettings(Settings)),
      Timer(Io) {}

void endpoint_reader::start() {
  if (IsRunning)
    return;
  IsRunning = true;
  schedule(millis{0}, true);
}

void endpoint_reader::stop() {
  if (!IsRunning)
    return;
  IsRunning = false;
  Timer.cancel();
  if (Exchange != 0)
    Client.cancel(Exchange);
  Exchange = 0;
}

void endpoint_reader::schedule(millis Delay, bool Restart) {
  if (Restart) {
    Endpoints.clear();
    Unreadable = 0;
    Pages = 0;
    Bytes = 0;
    PageToken.clear();
  }
  IsWaitingForPage = false;
  Timer.expires_after(toChrono(Delay));
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error && IsRunning)
      onTimer();
  });
}

void endpoint_reader::onTimer() {
  if (!IsWaitingForPage) {
    if (PageToken.empty())
      StartedAt = Clock.now();
    readPage();
    return;
  }
  Client.cancel(Exchange);
  onPage({http::exchange_status::lost, {}});
}

void endpoint_reader::readPage() {
  IsWaitingForPage = true;
  Timer.expires_after(toChrono(Settings.PageTimeout));
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error && IsRunning)
      onTimer();
  });
  Exchange = Client.send(Codec->page(PageToken), [this](auto Result) {
    if (IsRunning)
      onPage(Result);
  });
}

/// An exception of the codec is an unreadable page: the next reading may
/// succeed.
expected<endpoint_page>
endpoint_reader::decode(const http::exchange_result &Result) {
  if (Result.Status == http::exchange_status::malformed_response)
    return fail("endpoint list: malformed response");
  if (Result.Status != http::exchange_status::done)
    return fail("no response");
  expected<endpoint_page> Page;
  try {
    Page = Codec->decode(Result.Response);
  } catch (const std::exception &Error) {
    return fail(Error.what());
  }
  if (!Page)
    return Page;
  const auto Checked = checkLimits(Result.Response.Body.size(),
                                   Page->Endpoints.size() + Page->Unreadable);
  if (!Checked)
    return tl::unexpected(Checked.error());
  return Page;
}

/// Counts a page. Returns an error if the list is longer, or takes longer, than
/// any list may.
expected<void> endpoint_reader::checkLimits(std::size_t PageBytes,
                                            std::size_t PageEntries) {
  ++Pages;
  Bytes += PageBytes;
  const std::size_t Entries = Endpoints.size() + Unreadable + PageEntries;
  const auto TooMany = [](std::size_t Limit, const char *Unit) {
    return fail("endpoint list: more than " + std::to_string(Limit) + Unit);
  };
  if (Pages > Settings.MaxPages)
    return TooMany(Settings.MaxPages, " pages");
  if (Bytes > Settings.MaxBytes)
    return TooMany(Settings.MaxBytes, " bytes");
  if (Entries > Settings.MaxEntries)
    return TooMany(Settings.MaxEntries, " entries");
  if (Clock.now() - StartedAt > Settings.MaxTime)
    return TooMany(static_cast<std::size_t>(Settings.MaxTime.Count), " ms");
  return {};
}

void endpoint_reader::onPage(const http::exchange_result &Result) {
  Exchange = 0;
  Timer.cancel();
  auto Page = decode(Result);
  if (!Page) {
    if (!IsUnavailable)
      telemetry::logEvent(severity::warning, "endpoint_list_lost",
                          {{"error", Page.error().Message}});
    IsUnavailable = true;
    schedule(Settings.RetryDelay, true);
    return;
  }
  Unreadable += Page->Unreadable;
  // A page is made at some time until it arrives. Counted from its arrival, a
  // cold time does not end too early.
  const millis SinceStart = Clock.now() - StartedAt;
  for (relay::listed_endpoint &Each : Page->Endpoints) {
    if (Each.ColdFor > millis{0})
      Each.ColdFor += SinceStart;
    Endpoints.push_back(std::move(Each));
  }
  if (!Page->NextToken.empty()) {
    PageToken = Page->NextToken;
    readPage();
    return;
  }
  if (IsUnavailable)
    telemetry::logEvent(severity::info, "endpoint_list_regained", {});
  IsUnavailable = false;
  if (Unreadable != LoggedUnreadable)
    telemetry::logEvent(severity::warning, "endpoint_list_unreadable_entries",
                        {{"count", Unreadable}});
  LoggedUnreadable = Unreadable;
  std::vector<relay::listed_endpoint> Found = std::move(Endpoints);
  // Scheduled first: the handler may throw or stop the reader.
  schedule(Settings.Interval, true);
  OnRead(std::move(Found), StartedAt);
}

} // namespace bulrush::fleet

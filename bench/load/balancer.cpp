#include "balancer.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

namespace bulrush::bench {
namespace {

constexpr std::size_t MaxConnectionsPerEntry = 300;
constexpr std::size_t MaxWaitingPerEntry = 100'000;
constexpr millis PollTimeout{1000};
constexpr unsigned StatusOk = 200;

http::client_settings clientSettings(const address &Server,
                                     std::size_t Connections, millis Timeout) {
  http::client_settings Settings;
  Settings.Server = Server;
  Settings.MaxConnections = Connections;
  Settings.MaxWaiting = MaxWaitingPerEntry;
  Settings.ExchangeTimeout = Timeout;
  return Settings;
}

} // namespace

balancer::balancer(boost::asio::io_context &Io, const load_settings &Settings)
    : Io(Io), Timer(Io), PollInterval(Settings.PollInterval),
      SentTo(Settings.Entries.size()) {
  for (const address &Server : Settings.Entries) {
    entry Entry;
    Entry.RequestClient = std::make_unique<http::client>(
        Io, clientSettings(Server, MaxConnectionsPerEntry, Settings.Timeout));
    Entry.PollClient = std::make_unique<http::client>(
        Io, clientSettings(Server, 1, PollTimeout));
    Entries.push_back(std::move(Entry));
  }
}

void balancer::start(std::function<void()> OnFirstPoll) {
  this->OnFirstPoll = std::move(OnFirstPoll);
  FirstPollsPending = Entries.size();
  poll();
}

void balancer::stop() {
  IsStopped = true;
  Timer.cancel();
}

void balancer::poll() {
  for (entry &Entry : Entries)
    Entry.PollClient->send(
        {"GET", "/readyz", {}, {}},
        [this, &Entry](const http::exchange_result &Result) {
          Entry.IsReady = Result.Status == http::exchange_status::done &&
                          Result.Response.Status == StatusOk;
          if (FirstPollsPending > 0 && --FirstPollsPending == 0)
            OnFirstPoll();
        });
  Timer.expires_after(
      std::chrono::milliseconds(static_cast<std::int64_t>(PollInterval.Count)));
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error && !IsStopped)
      poll();
  });
}

std::size_t balancer::readyCount() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(),
                    [](const entry &Entry) { return Entry.IsReady; }));
}

std::size_t balancer::nextReadyEntry() {
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    const std::size_t Candidate = Next++ % Entries.size();
    if (Entries[Candidate].IsReady)
      return Candidate;
  }
  return Entries.size();
}

void balancer::send(const http::request &Request, const handler &Done) {
  const std::size_t Entry = nextReadyEntry();
  if (Entry < Entries.size()) {
    sendTo(Entry, Request, Done, true);
    return;
  }
  boost::asio::post(Io, [Done, Entry] {
    Done(Entry, {http::exchange_status::not_sent, {}});
  });
}

void balancer::sendTo(std::size_t Entry, const http::request &Request,
                      const handler &Done, bool MayRetry) {
  ++SentTo[Entry];
  Entries[Entry].RequestClient->send(
      Request,
      [this, Entry, Request, Done, MayRetry](http::exchange_result Result) {
        if (Result.Status != http::exchange_status::connect_failed) {
          Done(Entry, std::move(Result));
          return;
        }
        Entries[Entry].IsReady = false;
        const std::size_t Other = nextReadyEntry();
        if (!MayRetry || Other >= Entries.size())
          Done(Entry, std::move(Result));
        else
          sendTo(Other, Request, Done, false);
      });
}

} // namespace bulrush::bench

#include "fleet/endpoint_links.h"

#include "fleet/process_start.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bulrush::fleet {

namespace {

/// Longer than any round trip inside a region.
constexpr millis ConnectTimeout{700};
constexpr millis UnackedTimeout{1000};
/// A health check that takes longer counts as failed.
constexpr millis ProbeTimeout{700};
constexpr millis ProbeSweepInterval{300};
constexpr millis IdleTimeout{20'000};
/// Few connections are kept idle: an endpoint holds the connections of a relay
/// that failed without closing them for a while, and the restarted relay must
/// fit within the endpoint's connection limit beside them.
constexpr std::size_t MinIdle = 1;
constexpr millis SpareTimeout{700};
constexpr millis ConnectBackoff{300};
/// Upper bound for every attempt; its request has timed out by then.
constexpr millis ExchangeTimeout{60'000};

http::client_settings settingsFor(const address &Server,
                                  const request_codec &Codec) {
  http::client_settings Out;
  Out.Server = Server;
  Out.ConnectTimeout = ConnectTimeout;
  Out.UnackedTimeout = UnackedTimeout;
  Out.IdleTimeout = IdleTimeout;
  Out.MinIdle = MinIdle;
  Out.SpareTimeout = SpareTimeout;
  Out.ConnectBackoff = ConnectBackoff;
  Out.ExchangeTimeout = ExchangeTimeout;
  Out.EchoHeader = Codec.echoHeader();
  Out.MaxBodyBytes = MaxReplyBytes;
  return Out;
}

relay::attempt_end toAttemptEnd(http::exchange_status Status) {
  switch (Status) {
  case http::exchange_status::done:
    return relay::attempt_end::replied;
  case http::exchange_status::connect_failed:
  case http::exchange_status::connect_refused:
    return relay::attempt_end::connect_failed;
  case http::exchange_status::not_sent:
    return relay::attempt_end::not_sent;
  case http::exchange_status::lost:
    return relay::attempt_end::lost;
  case http::exchange_status::connection_rejected:
    return relay::attempt_end::connection_rejected;
  case http::exchange_status::stale_connection:
    return relay::attempt_end::stale_connection;
  case http::exchange_status::malformed_response:
    return relay::attempt_end::malformed_response;
  }
  return relay::attempt_end::lost;
}

} // namespace

endpoint_links::endpoint_links(boost::asio::io_context &Io,
                               std::shared_ptr<const request_codec> Codec,
                               telemetry::metrics &Metrics,
                               relay_event_handler OnEvent)
    : Io(Io), Codec(std::move(Codec)), Metrics(Metrics),
      OnEvent(std::move(OnEvent)) {}

endpoint_links::link_ptr endpoint_links::find(relay::endpoint_no No) const {
  const auto Found = Links.find(No);
  return Found == Links.end() ? nullptr : Found->second;
}

/// HTTP clients are created on demand, because most relays send requests to
/// only a few endpoints.
void endpoint_links::open(const relay::open_endpoint &Action) {
  link_ptr &Link = Links[Action.Endpoint];
  const bool IsNew = !Link;
  if (IsNew)
    Link = std::make_shared<endpoint_link>();
  Link->Listed = Action.Listed;
  Link->HealthPath = Action.HealthPath;
  Link->Connections = Action.Connections;
  if (Link->Client)
    Link->Client->setMaxConnections(Action.Connections);
  if (IsNew && Action.ShouldPreconnect && !Action.Listed.IsLeaving)
    clientOf(*Link).preconnect(1);
}

void endpoint_links::preconnect(const relay::preconnect_endpoint &Action) {
  if (const link_ptr Link = find(Action.Endpoint))
    clientOf(*Link).preconnect(1);
}

http::client &endpoint_links::clientOf(endpoint_link &Link) const {
  if (!Link.Client) {
    http::client_settings Settings = settingsFor(Link.Listed.Address, *Codec);
    Settings.MaxConnections = Link.Connections;
    Link.Client = std::make_unique<http::client>(Io, Settings);
  }
  return *Link.Client;
}

http::client &endpoint_links::proberOf(endpoint_link &Link) const {
  if (!Link.Prober) {
    http::client_settings Settings = settingsFor(Link.Listed.Address, *Codec);
    Settings.MaxConnections = 1;
    Settings.ExchangeTimeout = ProbeTimeout;
    Settings.SweepInterval = ProbeSweepInterval;
    Link.Prober = std::make_unique<http::client>(Io, Settings);
  }
  return *Link.Prober;
}

void endpoint_links::close(const relay::close_endpoint &Action) {
  const link_ptr Link = find(Action.Endpoint);
  if (!Link)
    return;
  Link->IsClosing = true;
  if (Link->Client)
    Link->Client->closeIdle();
  eraseIfDrained(Action.Endpoint);
}

void endpoint_links::withdraw(const relay::withdraw_attempts &Action) {
  const link_ptr Link = find(Action.Endpoint);
  if (Link && Link->Client)
    Link->Client->withdraw();
}

void endpoint_links::eraseIfDrained(relay::endpoint_no No) {
  const link_ptr Link = find(No);
  if (Link && Link->IsClosing && Link->Attempts.empty())
    Links.erase(No);
}

void endpoint_links::postEvent(relay::relay_event Event) {
  boost::asio::post(Io, [this, Event = std::move(Event)] { OnEvent(Event); });
}

void endpoint_links::send(const relay::send_attempt &Action) {
  const link_ptr Link = find(Action.Endpoint);
  if (!Link) {
    postEvent(relay::attempt_ended{Action.Attempt, relay::attempt_end::not_sent,
                                   nullptr});
    return;
  }
  Link->Attempts[Action.Attempt] = clientOf(*Link).send(
      Codec->encode(*Action.Content, Link->Listed.Identity.Instance,
                    Action.Remaining),
      [this, Weak = std::weak_ptr(Link),
       Attempt = Action.Attempt](http::exchange_result Result) {
        onExchangeEnded(Weak, Attempt, std::move(Result));
      },
      Action.WantsFreshConnection ? http::connection_choice::fresh
                                  : http::connection_choice::any);
}

void endpoint_links::onExchangeEnded(const std::weak_ptr<endpoint_link> &Weak,
                                     relay::attempt_no Attempt,
                                     http::exchange_result Result) {
  if (const auto Link = Weak.lock())
    Link->Attempts.erase(Attempt);
  relay::attempt_ended Event{Attempt, toAttemptEnd(Result.Status), nullptr};
  if (Result.ConnectionWait > millis{0})
    Metrics.observe("stage", "connect", Result.ConnectionWait);
  if (Event.End == relay::attempt_end::replied)
    Metrics.observe("stage", "endpoint", Result.ResponseTime);
  if (Event.End == relay::attempt_end::replied)
    Event.Reply = std::make_shared<const relay::endpoint_reply>(
        Codec->decode(std::move(Result.Response)));
  OnEvent(Event);
}

void endpoint_links::cancel(const relay::cancel_attempt &Action) {
  const link_ptr Link = find(Action.Endpoint);
  if (!Link)
    return;
  const auto Found = Link->Attempts.find(Action.Attempt);
  if (Found == Link->Attempts.end())
    return;
  Link->Client->cancel(Found->second);
  Link->Attempts.erase(Found);
  eraseIfDrained(Action.Endpoint);
}

void endpoint_links::probe(const relay::probe_endpoint &Action) {
  const link_ptr Link = find(Action.Endpoint);
  if (!Link) {
    relay::probe_ended Event;
    Event.Endpoint = Action.Endpoint;
    postEvent(Event);
    return;
  }
  http::client &Prober = proberOf(*Link);
  Prober.closeIdle();
  Prober.send(healthRequest(*Link), [this, No = Action.Endpoint](
                                        const http::exchange_result &Result) {
    onProbed(No, Result);
  });
}

http::request endpoint_links::healthRequest(const endpoint_link &Link) {
  http::request Out;
  Out.Method = "GET";
  Out.Target = Link.HealthPath;
  return Out;
}

/// An endpoint that refuses new connections may still serve those that are
/// open. Otherwise these may have become unresponsive together with the
/// endpoint.
void endpoint_links::onProbed(relay::endpoint_no No,
                              const http::exchange_result &Result) {
  const link_ptr Link = find(No);
  if (Link && Link->Client) {
    if (Result.Status == http::exchange_status::connect_refused) {
      probeOpenConnection(No, *Link);
      return;
    }
    Link->Client->closeIdle();
  }
  reportProbe(No, Result);
}

void endpoint_links::probeOpenConnection(relay::endpoint_no No,
                                         endpoint_link &Link) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
  const http::exchange_id Id = Link.Client->send(
      healthRequest(Link),
      [this, No, Timer](const http::exchange_result &Result) {
        Timer->cancel();
        reportProbe(No, Result);
      },
      http::connection_choice::idle);
  Timer->expires_after(toChrono(ProbeTimeout));
  Timer->async_wait([this, No, Id, Timer](boost::system::error_code Error) {
    if (Error)
      return;
    if (const link_ptr Known = find(No); Known && Known->Client) {
      Known->Client->cancel(Id);
      Known->Client->closeIdle();
    }
    reportProbe(No, {http::exchange_status::lost, {}, {}, {}});
  });
}

void endpoint_links::reportProbe(relay::endpoint_no No,
                                 const http::exchange_result &Result) {
  relay::probe_ended Event;
  Event.Endpoint = No;
  Event.HasReplied = Result.Status == http::exchange_status::done;
  if (Event.HasReplied) {
    const endpoint_health Health = Codec->decodeHealth(Result.Response);
    Event.IsHealthy = Health.IsHealthy;
    Event.Instance = Health.Instance;
    Event.ColdFor = Health.ColdFor;
    Event.IsLeaving = Health.IsLeaving;
    Event.RetryAfter = Health.RetryAfter;
    Event.RateLimit = Health.RateLimit;
  }
  OnEvent(Event);
}

} // namespace bulrush::fleet

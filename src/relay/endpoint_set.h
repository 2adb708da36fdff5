/// All endpoints that one daemon knows, by service, and the choice among them.
#pragma once

#include "relay/events.h"
#include "relay/service_budget.h"

#include <map>
#include <random>
#include <unordered_map>

namespace bulrush::relay {

/// Whether some endpoint of a service can take a request.
enum class availability : std::uint8_t {
  open, ///< one can now
  busy, ///< each that could has its share of requests in flight, or is probed
  none  ///< all are down, cold, leaving or out
};

/// One service in one life of the daemon.
struct service_state {
  service_name Name;
  std::string HealthPath = "/";
  std::uint32_t MaxConnections = 0; ///< of an endpoint; 0: no catalog names it
  double ColdRate = 0;
  bool IsSliced = false; ///< few relays ask it
  std::vector<endpoint_no> Endpoints;
  service_budget Budget;
};

/// When a reply is wanted.
struct wanted_reply {
  millis Typical;     ///< what such a request usually takes
  millis InGoodTime;  ///< no later reply is as good as an early one
  instant By = Never; ///< nobody waits for a later one
};

class endpoint_set final : public endpoint_places {
public:
  endpoint_set(const relay_settings &Settings, std::uint64_t Seed);

  void install(const catalog &Catalog, relay_actions &Out);
  void install(const directory_change &Change, instant AsOf, instant Now,
               relay_actions &Out);
  void setZonesOut(const std::set<std::string> &Zones, instant Now);
  void setPeers(std::uint32_t Count, relay_actions &Out);
  /// Which services few relays ask, and how many these are.
  void setSliced(const std::set<service_name> &Names, std::size_t Sharers,
                 relay_actions &Out);

  service_state &service(const service_name &Name);
  /// Wants connections to the endpoints of the own zone, once for each.
  void preconnect(const service_state &Service, relay_actions &Out);
  endpoint_state *find(endpoint_no No);
  /// How many are listed, and of these cold, and suspects.
  void count(std::size_t &Listed, std::size_t &Cold, std::size_t &Suspected,
             instant Now) const;
  std::vector<std::string> zonesOf(const service_name &Service) const override;

  /// An endpoint for one request that is not one of `Tried`: of the own zone
  /// while it is likely to reply in good time, else the one that is likely to
  /// reply first. Null when none can take the request or is likely to reply by
  /// `By`.
  endpoint_state *choose(const service_state &Service,
                         const std::vector<endpoint_no> &Tried,
                         const wanted_reply &Wanted, instant Now);
  /// Whether a request that comes now can be served: some endpoint has room, or
  /// is likely to reply by `By` all the same.
  bool canServe(const service_state &Service, millis Typical, instant By,
                instant Now) const;
  availability available(const service_state &Service, instant Now,
                         const std::vector<endpoint_no> &Tried = {}) const;

  /// Asks for the probes that are due.
  void probe(instant Now, relay_actions &Out);
  instant nextProbe() const;
  /// Notes that trust was lost; the endpoint gets probes from now on.
  void suspect(endpoint_state &Endpoint, instant Now, relay_actions &Out);
  void on(const probe_ended &Event, instant Now, relay_actions &Out);

private:
  void resizeBudget(service_state &Service) const;
  std::size_t limitOf(const service_state &Service) const;
  void open(endpoint_state &Endpoint, relay_actions &Out) const;
  void add(const listed_endpoint &Entry, instant AsOf, relay_actions &Out);
  static void refresh(endpoint_state &Endpoint, const listed_endpoint &Entry,
                      instant AsOf, instant Now, relay_actions &Out);
  void remove(endpoint_state &Endpoint, relay_actions &Out);
  std::vector<endpoint_identity>
  identitiesBeside(const std::vector<listed_endpoint> &Named) const;
  void dropRetired();
  double cost(const endpoint_state &Endpoint, millis Typical, instant Now);
  bool isGoodEnough(const endpoint_state &Endpoint, const wanted_reply &Wanted,
                    instant Now) const;

  relay_settings Settings;
  std::minstd_rand Random;
  std::uint32_t Peers = 1;
  std::size_t Sharers = 1; ///< of a sliced service
  std::set<std::string> ZonesOut;
  std::map<std::string, std::unique_ptr<service_state>> Services;
  std::unordered_map<endpoint_no, std::unique_ptr<endpoint_state>> Endpoints;
  std::map<endpoint_identity, endpoint_no> ByIdentity;
  std::set<endpoint_no> Suspects;
  directory_order Order;
  std::uint32_t LastNumber = 0;
};

} // namespace bulrush::relay

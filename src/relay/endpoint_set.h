/// Endpoints known to one relay, grouped by service, and endpoint selection.
#pragma once

#include "relay/events.h"
#include "relay/service_budget.h"
#include "relay/version_split.h"
#include "relay/work_order.h"

#include <map>
#include <random>
#include <unordered_map>

namespace bulrush::relay {

/// Whether some endpoint of a service can accept a request.
enum class availability : std::uint8_t {
  open, ///< an endpoint accepts requests now
  busy, ///< endpoints are at their limit, or suspect with no failed probe yet
  none  ///< all are down, cold, leaving, or in a zone that is out of service
};

/// State of one service; kept across catalog versions until the process ends.
struct service_state {
  service_name Name;
  std::string HealthPath = "/";
  /// Per endpoint, over all relays; 0 until a catalog lists the service.
  std::uint32_t MaxConnections = 0;
  double ColdRate = 0;   ///< requests per second that a cold endpoint can serve
  bool IsSliced = false; ///< only a few relays send requests to it
  /// The relays that the plans of all zones name for it; they share its retry
  /// budget. Empty: all relays do.
  std::set<vm_id> PlannedRelays;
  std::vector<endpoint_no> Endpoints;
  /// Several other relays reach none of the endpoints either; until then no
  /// further one is asked.
  instant UnreachableElsewhereUntil{-1e300};
  service_budget Budget;
  /// Null without a version policy: all versions are used alike.
  std::unique_ptr<version_split> Split;
  role_set UsedRoles = AllRoles; ///< of the endpoints that may get requests
  work_order Queue;              ///< parts that wait for an endpoint
  /// The endpoints that accept requests do not accept the first parts in
  /// `Queue`, so others need not wait for those.
  bool IsHeadBlocked = false;
};

/// Timing limits on the reply to one request.
struct reply_timing {
  millis TypicalLatency; ///< median of such requests
  /// A local endpoint that is expected to reply within this is preferred.
  millis PreferredLatency;
  instant LatestAt = Never; ///< a later reply would go unused
  /// An endpoint that was slow a while ago may be tried again: a short stall is
  /// over by now.
  bool IgnoresPastSlowness = false;
  /// Until when the request may wait to be sent.
  instant LatestSendAt{-1e300};
  /// The part was not offered to the endpoints before; counts as demand.
  bool IsFirstTry = false;
  /// Neither a hedge nor a retry; may go to the target of a rollout.
  bool IsFirstAttempt = false;
};

class endpoint_set final : public zone_lookup {
public:
  endpoint_set(const relay_settings &Settings, std::uint64_t Seed);

  /// Applies the service settings of a catalog.
  void install(const catalog &Catalog, relay_actions &Out);
  /// Applies a directory change that was read at `AsOf`. Ignores a full change
  /// that is older than the installed directory, and any other whose base is
  /// not the installed version.
  void install(const directory_change &Change, instant AsOf, instant Now,
               relay_actions &Out);
  /// Sets the zones that get no requests.
  void setZonesOut(const std::set<std::string> &Zones, instant Now);
  /// Sets the number of relays that share the endpoints, this one included;
  /// ignores 0.
  void setRelayCount(std::uint32_t Count, instant Now, relay_actions &Out);
  /// Sets the services that belong to sliced queries: only `RelaysPerShard`
  /// relays send requests to each of them.
  void setSlicedServices(const std::set<service_name> &Names,
                         std::size_t RelaysPerShard, relay_actions &Out);
  /// Sets the relays that are planned to query services. All relays share the
  /// budgets of the other services.
  void setPlannedRelays(const std::map<service_name, std::set<vm_id>> &Planned);

  /// Applies what the registry's leader decided on the versions of services.
  /// Withdraws the waiting attempts from endpoints that get none any more.
  /// Returns whether a policy changed.
  bool on(const version_policies_arrived &Event, instant Now,
          relay_actions &Out);
  /// Records that a message of the registry's leader arrived.
  void noteLeader(instant Now) { LeaderHeardAt = Now; }
  /// The share of the target version that this relay acts on.
  double shareOf(const version_split &Split, instant Now) const {
    return Split.share(isInTouch(Now));
  }
  /// Records that a first attempt was sent to an endpoint of a service with a
  /// version policy.
  void onFirstAttempt(service_state &Service, const endpoint_state &To,
                      instant Now) const {
    Service.Split->onFirstAttempt(To.versionRole(), isInTouch(Now));
  }

  /// Returns the state of a service; creates it on first use.
  service_state &service(const service_name &Name);
  /// Requests a connection to each endpoint in the local zone, once per
  /// endpoint.
  void preconnect(const service_state &Service, relay_actions &Out);
  /// Returns null if there is no such endpoint.
  endpoint_state *find(endpoint_no No);
  /// Counts the listed endpoints, and those of them that are cold or suspect.
  /// The counters must be 0 before the call.
  void count(std::size_t &Listed, std::size_t &Cold, std::size_t &Suspected,
             instant Now) const;
  std::vector<std::string> zonesOf(const service_name &Service) const override;

  /// Selects an endpoint that is not in `Tried` for one request, of a version
  /// that the policy of the service permits. Prefers
  /// endpoints of the local zone that are not stalled, rarely fail and are
  /// expected to reply within `PreferredLatency` (see `isPreferred`). Among
  /// equally preferred ones it selects the one of the lowest cost (see `cost`).
  /// Returns null if no endpoint both accepts requests and is expected to reply
  /// by `LatestAt`.
  endpoint_state *choose(const service_state &Service,
                         const std::vector<endpoint_no> &Tried,
                         const reply_timing &Timing, instant Now);
  /// Whether a request that arrives now can be served: some endpoint of a
  /// permitted version accepts requests, or has reached its limit but is
  /// expected to reply by `LatestAt`.
  bool canServe(const service_state &Service, millis TypicalLatency,
                instant LatestAt, instant Now) const;
  /// Availability, to an attempt as `Timing` describes it, over all endpoints
  /// that are not in `Tried`.
  availability available(const service_state &Service, instant Now,
                         const std::vector<endpoint_no> &Tried = {},
                         const reply_timing &Timing = {}) const;

  /// Whether this relay reaches none of the endpoints that may get requests,
  /// while there are some: each was probed without success. `IsReachLost`: it
  /// reaches no endpoint of any service. `IsFirstAttempt`: asked for one.
  bool isUnreachable(const service_state &Service, bool IsReachLost,
                     bool IsFirstAttempt, instant Now) const;

  /// Stops sending requests to an endpoint that announced that it stops soon.
  /// Remembered for the incarnation, even while the directory does not list it.
  /// Returns whether this was new.
  bool announceLeaving(const endpoint_identity &Identity, instant Now,
                       relay_actions &Out);
  /// Listed endpoints of these services that announced that they stop soon.
  std::vector<endpoint_identity>
  announcedLeaving(const std::vector<service_name> &Services) const;
  /// Sends no requests to the endpoint for the time that it asked for, bounded
  /// by `endpointPause`.
  void pause(endpoint_state &Endpoint, millis Time, instant Now,
             relay_actions &Out);
  /// Applies the rate limit that a reply to a request sent at `SentAt` states;
  /// without one, lifts the limit unless it was stated after that time.
  void onRateLimit(endpoint_state &Endpoint, std::optional<request_rate> Limit,
                   instant SentAt, instant Now, relay_actions &Out);
  /// Logs that the endpoint stated a rate limit that is not a number.
  static void reportInvalidRateLimit(const endpoint_state &Endpoint,
                                     relay_actions &Out);
  /// Applies what the registry's leader tells of rate limits.
  void on(const limit_grants_arrived &Event, instant Now, relay_actions &Out);
  /// Reports the endpoints with a rate limit and this relay's demand, if that
  /// is due.
  void reportLimits(instant Now, relay_actions &Out);
  /// When the next report is due; `Never` if no endpoint has a rate limit.
  instant nextLimitReport() const;
  /// When the first endpoint not in `Tried` ends a pause; `Never` if none is
  /// excluded by a pause alone.
  instant nextPauseEnd(const service_state &Service, instant Now,
                       const std::vector<endpoint_no> &Tried = {}) const;
  /// Logs that the endpoint stated a retry delay that is not a number.
  static void reportInvalidRetryAfter(const endpoint_state &Endpoint,
                                      relay_actions &Out);
  /// A random time from 0 to `Max`.
  millis drawTime(millis Max);

  /// Starts the health checks that endpoints of the service need before they
  /// get requests. Called by the relays that need them only, so that a warm
  /// endpoint does not get a connection of each relay at the same moment.
  void startDueChecks(const service_state &Service, instant Now);
  /// Emits the health probes that are due; returns the endpoints.
  std::vector<endpoint_no> sendDueProbes(instant Now, relay_actions &Out);
  /// When the next probe is due; `Never` if none is scheduled.
  instant nextProbe(instant Now) const;
  /// Stops sending requests to the endpoint and starts probing it.
  void markSuspect(endpoint_state &Endpoint, instant Now, relay_actions &Out);
  void on(const probe_ended &Event, instant Now, relay_actions &Out);
  /// Probes up to `Count` endpoints that may get requests and are not in
  /// `Except`. Without a reply, their state stays as it is.
  void probeOthers(const std::set<endpoint_no> &Except, std::size_t Count,
                   instant Now, relay_actions &Out);

private:
  /// An endpoint that may be chosen for a request.
  struct candidate {
    endpoint_state *Endpoint = nullptr;
    double Cost = 0;
    bool IsPreferred = false;

    bool isBetterThan(const candidate &Other) const {
      return IsPreferred != Other.IsPreferred
                 ? IsPreferred
                 : !Other.Endpoint || Cost < Other.Cost;
    }
  };

  // endpoint_versions.cpp: version policies
  bool isInTouch(instant Now) const;
  version_choice choiceFor(const service_state &Service, bool IsFirstAttempt,
                           instant Now) const;
  bool setPolicy(const version_policy &Policy, relay_actions &Out);
  void updateRoles(service_state &Service, relay_actions &Out);
  bool canReplace(const version_choice &Choice, const service_state &Service,
                  const std::vector<endpoint_no> &Tried,
                  const reply_timing &Timing, instant Now) const;

  // The same functions as above, over the endpoints of some versions.
  endpoint_state *chooseOf(role_set Roles, const service_state &Service,
                           const std::vector<endpoint_no> &Tried,
                           const reply_timing &Timing, instant Now);
  availability availableOf(role_set Roles, const service_state &Service,
                           instant Now,
                           const std::vector<endpoint_no> &Tried) const;
  instant nextPauseEndOf(role_set Roles, const service_state &Service,
                         instant Now,
                         const std::vector<endpoint_no> &Tried) const;
  std::vector<std::string> zonesOf(role_set Roles,
                                   const service_state &Service) const;

  std::uint32_t sharingRelays(const service_state &Service) const;
  std::uint32_t budgetShares(const service_state &Service) const;
  void resizeBudget(service_state &Service) const;
  std::size_t connectionLimit(const service_state &Service) const;
  /// The part of a rate limit for each relay if all have the same.
  request_rate evenShare(request_rate Limit) const;
  void applyRateLimit(endpoint_state &Endpoint, request_rate Limit,
                      instant StatedAt, instant Now, relay_actions &Out);
  void liftRateLimit(endpoint_state &Endpoint, instant StatedAt,
                     relay_actions &Out);
  static bool isBusy(const endpoint_state &Endpoint, instant Now);
  static limit_report makeLimitReport(endpoint_state &Endpoint, instant Now);
  void apply(const limit_statement &Statement, endpoint_state &Endpoint,
             instant Now, relay_actions &Out);
  /// Asks the leader for a turn until `By` at the endpoint, which has a rate
  /// limit.
  void askForTurn(endpoint_state &Endpoint, instant By, instant Now);
  /// Emits `open_endpoint` with the current connection limit, once a catalog
  /// has listed the service.
  void emitOpen(endpoint_state &Endpoint, relay_actions &Out) const;
  void add(const listed_endpoint &Entry, instant AsOf, relay_actions &Out);
  void refresh(endpoint_state &Endpoint, const listed_endpoint &Entry,
               instant AsOf, instant Now, relay_actions &Out);
  void noteVerification(const endpoint_state &Endpoint);
  void remove(endpoint_state &Endpoint, relay_actions &Out);
  bool isLastOfService(const endpoint_state &Endpoint, instant Now) const;
  void forgetOldAnnouncements(instant Now);
  /// Known endpoints that are missing from `Listed`.
  std::vector<endpoint_identity>
  identitiesNotIn(const std::vector<listed_endpoint> &Listed) const;
  /// Erases removed endpoints that have no request in flight.
  void eraseRemoved();
  static bool isInTime(const endpoint_state &Endpoint,
                       const reply_timing &Timing, instant Now);
  double cost(const endpoint_state &Endpoint, millis TypicalLatency,
              instant Now);
  bool isPreferred(const endpoint_state &Endpoint, const reply_timing &Timing,
                   instant Now) const;

  relay_settings Settings;
  std::uint64_t Seed;
  std::minstd_rand Random;
  std::uint32_t RelayCount = 1;
  bool IsRelayCountKnown = false;
  /// Relays that send requests to one sliced service.
  std::size_t RelaysPerShard = 1;
  std::set<std::string> ZonesOut;
  std::map<std::string, std::unique_ptr<service_state>> Services;
  std::unordered_map<endpoint_no, std::unique_ptr<endpoint_state>> Endpoints;
  std::map<endpoint_identity, endpoint_no> ByIdentity;
  std::set<endpoint_no> Suspects;
  std::set<endpoint_no> Unverified; ///< may hold some that are verified
  std::set<endpoint_no> Limited;    ///< endpoints with a rate limit
  /// Statements of a lifted limit to be reported.
  std::vector<limit_statement> Lifted;
  instant LimitsReportedAt{-1e300};
  bool IsLimitReportDue = false;        ///< there is something new to report
  std::map<endpoint_no, millis> Asking; ///< for a turn within this time
  /// Endpoints that announced that they stop soon, and when.
  std::map<endpoint_identity, instant> LeavingSince;
  instant LeaderHeardAt{-1e300};
  directory_version Version;
  std::uint32_t LastEndpointNo = 0;
};

} // namespace bulrush::relay

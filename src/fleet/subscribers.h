/// Sends registry updates from the leader to subscribed relay daemons.
#pragma once

#include "fleet/catalog_updates.h"
#include "fleet/frame_link.h"
#include "fleet/messages.h"
#include "fleet/registry_node.h"
#include "relay/crash_history.h"
#include "relay/limit_allocator.h"
#include "relay/quota_ledger.h"

#include <algorithm>
#include <map>

namespace bulrush::fleet {

/// The subscribed daemons, each with its link and the version last sent to it.
class subscribers {
public:
  /// Called when a subscriber joins, applies a revision or leaves.
  using event_handler = std::function<void(const node_event &)>;

  /// `CatalogUpdates` must outlive this object.
  subscribers(const catalog_updates &CatalogUpdates, event_handler OnEvent)
      : CatalogUpdates(CatalogUpdates), OnEvent(std::move(OnEvent)) {}

  /// Adds the sender of a `subscribe` message and sends it the full roster, a
  /// heartbeat, the state and the directory.
  void add(std::shared_ptr<frame_link> Link, const subscribe &Request,
           const control::registry_state &State,
           const std::vector<vm_id> &Voters, std::uint32_t FleetSize,
           instant Now);
  void onApplied(const frame_link *Link, const applied &Applied, instant Now);
  /// Grants the subscriber its parts of the rate limits that it reports, and
  /// tells all subscribers of limits that are new, changed or lifted.
  void onLimitReports(const frame_link *Link, const limit_reports &Message,
                      instant Now);
  /// Grants the subscriber tokens of the accounts that it reports.
  void onQuotaReports(const frame_link *Link, const quota_reports &Message,
                      instant Now);
  /// Begins as a leader of `FleetSize` relays: nothing is known of what they
  /// spent of the accounts' quotas. `clear` leaves quotas alone: it may run
  /// after the node leads again.
  void startQuotas(std::uint32_t FleetSize, instant Now);
  /// Takes the accounts of the catalog in force.
  void updateQuotas(instant Now);
  /// Notices relays that are silent. To be called at least every 100 ms.
  void tickQuotas(instant Now) { Quotas.tick(Now); }
  /// Counts crashes that a subscriber reports, and tells all subscribers which
  /// requests are quarantined. Returns the decisions that changed.
  std::vector<relay::verdict_notice>
  onCrashReports(const crash_reports &Message, instant Now);
  /// Applies quarantines that an earlier leader decided on.
  void loadQuarantines(const std::vector<relay::verdict_notice> &Notices,
                       instant Now);
  /// Removes the subscriber of a link that was closed by the peer.
  void onClosed(const frame_link *Link, instant Now);

  void sendState(const control::registry_state &State,
                 const std::vector<vm_id> &Voters);
  /// Replaces the version policies of the next `fleet_state` messages.
  void setPolicies(const std::vector<relay::version_policy> &New);
  /// Sends policies that changed to all subscribers that can apply them.
  void sendPolicies(const version_policies &Changed);
  /// Replaces the directory and sends `Change`, the difference from the
  /// previous directory, to all subscribers.
  void setDirectory(relay::directory Directory, relay::directory_change Change,
                    instant Now);
  void sendHeartbeat(revision Revision, std::uint32_t FleetSize);
  /// Sends the changes of the set of active relays since the last call, if any.
  void sendRosterChange();
  /// Drops subscribers that have sent nothing for `HeartbeatTimeout`.
  void dropSilent(instant Now);
  void clear();
  std::size_t count() const { return All.size(); }
  /// Returns the vms of all subscribers, also of those that are leaving.
  std::vector<vm_id> relays() const;
  /// Returns nothing if the link is not that of a subscriber.
  std::optional<vm_id> vmOf(const frame_link *Link) const;
  /// Returns the lowest level that a subscribed daemon has announced; that of
  /// this build if there is none.
  std::uint32_t lowestLevel() const;
  std::size_t quarantineCount(instant Now) const {
    return Crashes.quarantined(Now);
  }
  /// Number of endpoints with a rate limit.
  std::size_t limitCount() const { return Limits.count(); }
  /// Number of accounts with a quota, and of those that are limited.
  std::size_t quotaCount() const { return Quotas.count(); }
  std::size_t limitedQuotaCount() const { return Quotas.limitedCount(); }

private:
  struct subscriber {
    subscriber_id Id;
    std::shared_ptr<frame_link> Link;
    std::string Node;
    relay::relay_peer Peer;
    std::uint32_t Level = 0; ///< of the daemon's build
    bool IsLeaving = false;
    std::uint64_t CatalogVersion = 0; ///< last version sent
    instant ReceivedAt;
  };

  relay_list currentRelays() const;

  void sendState(subscriber &Subscriber, const control::registry_state &State,
                 const std::vector<vm_id> &Voters);
  void sendDirectory(subscriber &Subscriber, instant Now);
  void drop(const frame_link *Link, const char *Reason);
  void sendToAll(const fleet_message &Message);
  void sendQuotas(const relay::quota_ledger::outcome &Grants);
  static void logVerdicts(const std::vector<relay::verdict_notice> &Notices);
  static void logLimits(const std::vector<relay::limit_grant> &News,
                        const std::string &Node);

  /// Encoded `fleet_state` messages by the catalog version that the receiver
  /// holds. They are cached because many relays subscribe at once.
  struct encoded_state {
    revision Revision;
    std::vector<vm_id> Voters;
    std::map<std::uint64_t, std::string> Bytes;
  };

  const catalog_updates &CatalogUpdates;
  event_handler OnEvent;
  encoded_state Encoded;
  std::string EncodedDirectory; ///< of the full directory
  instant EncodedDirectoryAt{-1e300};
  std::map<const frame_link *, subscriber> All;
  subscriber_id LastId;
  std::vector<relay::version_policy> Policies;
  relay::directory Directory;
  relay_list SentRelays;
  relay::limit_allocator Limits;
  relay::crash_history Crashes;
  relay::quota_ledger Quotas;
};

} // namespace bulrush::fleet

/// The daemons that are kept up to date by this leader.
#pragma once

#include "fleet/catalog_feed.h"
#include "fleet/frame_link.h"
#include "fleet/messages.h"
#include "fleet/registry_node.h"

#include <algorithm>
#include <map>

namespace bulrush::fleet {

/// What each subscriber was told, and its link.
class subscribers {
public:
  /// Told with each subscriber that acts on a revision or has gone.
  using event_handler = std::function<void(const node_event &)>;

  /// `Feed` must outlive this.
  subscribers(const catalog_updates &CatalogUpdates, event_handler OnEvent)
      : CatalogUpdates(CatalogUpdates), OnEvent(std::move(OnEvent)) {}

  /// Takes a link that asked to be kept up to date.
  void add(std::shared_ptr<frame_link> Link, const subscribe &Request,
           const control::registry_state &State,
           const std::vector<vm_id> &Voters, std::uint32_t FleetSize,
           instant Now);
  void onApplied(const frame_link *Link, const applied &Applied, instant Now);
  /// A link was closed by the other side.
  void onClosed(const frame_link *Link);

  void sendState(const control::registry_state &State,
                 const std::vector<vm_id> &Voters);
  /// `Change` leads from the directory before to this one.
  void setDirectory(relay::directory Directory, relay::directory_change Change,
                    instant ReadAt, instant Now);
  void sendHeartbeat(revision Revision, std::uint32_t FleetSize);
  /// Tells who takes part where that has changed.
  void sendRosterChange();
  /// Closes the links of subscribers that were silent for too long.
  void dropSilent(instant Now);
  void clear();
  std::size_t count() const { return All.size(); }

private:
  struct subscriber {
    subscriber_id Id;
    std::shared_ptr<frame_link> Link;
    std::string Node;
    relay::relay_peer Peer;
    bool IsLeaving = false;
    std::uint64_t CatalogVersion = 0; ///< that it was sent last
    instant ReceivedAt;
  };

  relay_zones currentRelays() const;

  void sendState(subscriber &Subscriber, const control::registry_state &State,
                 const std::vector<vm_id> &Voters);
  void sendDirectory(subscriber &Subscriber, instant Now);
  void drop(const frame_link *Link, const char *Reason);

  /// The state as relays are told it, by the catalog that they hold: many ask
  /// for the same at once.
  struct encoded_state {
    revision Revision;
    std::vector<vm_id> Voters;
    std::map<std::uint64_t, std::string> Bytes;
  };

  const catalog_updates &CatalogUpdates;
  event_handler OnEvent;
  encoded_state Encoded;
  std::string EncodedDirectory; ///< encoded
  instant EncodedDirectoryAt{-1e300};
  std::map<const frame_link *, subscriber> All;
  subscriber_id LastId;
  relay::directory Directory;
  instant DirectoryReadAt;
  relay_zones SentRelays;
};

} // namespace bulrush::fleet

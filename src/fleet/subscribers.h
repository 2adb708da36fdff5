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
  subscribers(const catalog_feed &Feed, event_handler OnEvent)
      : Feed(Feed), OnEvent(std::move(OnEvent)) {}

  /// Takes a link that asked to be kept up to date.
  void add(std::shared_ptr<frame_link> Link, const subscribe &Asked,
           const control::registry_state &State,
           const std::vector<vm_id> &Voters, std::uint32_t FleetSize,
           instant Now);
  void onApplied(const frame_link *Link, const applied &Applied, instant Now);
  /// A link was closed by the other side.
  void onClosed(const frame_link *Link);

  void tellState(const control::registry_state &State,
                 const std::vector<vm_id> &Voters);
  /// `Change` leads from the directory before to this one.
  void setDirectory(relay::directory Directory, relay::directory_change Change,
                    instant ReadAt, instant Now);
  void sendHeartbeat(revision Revision, std::uint32_t FleetSize);
  /// Tells who takes part where that has changed.
  void tellRoster();
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
    instant HeardAt;
  };

  relay_zones currentRelays() const;

  void tellState(subscriber &Subscriber, const control::registry_state &State,
                 const std::vector<vm_id> &Voters);
  void tellDirectory(subscriber &Subscriber, instant Now);
  void drop(const frame_link *Link, const char *Why);

  /// The state as relays are told it, by the catalog that they hold: many ask
  /// for the same at once.
  struct encoded_state {
    revision Revision;
    std::vector<vm_id> Voters;
    std::map<std::uint64_t, std::string> Bytes;
  };

  const catalog_feed &Feed;
  event_handler OnEvent;
  encoded_state Encoded;
  std::string WholeDirectory; ///< encoded
  instant WholeDirectoryAt{-1e300};
  std::map<const frame_link *, subscriber> All;
  subscriber_id Last;
  relay::directory Directory;
  instant DirectoryReadAt;
  relay_zones ToldRelays;
};

} // namespace bulrush::fleet

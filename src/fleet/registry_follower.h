/// Finds the registry's leader and subscribes one relay daemon to its updates.
#pragma once

#include "fleet/frame_link.h"
#include "fleet/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace bulrush::fleet {

struct follower_settings {
  std::string Node;
  std::string Zone;
  std::uint16_t Port = 0;
  vm_id Self;
  std::vector<vm_id> Seeds;
  incarnation_id Incarnation;
};

/// Receives the updates of a `registry_follower`.
class follower_host {
public:
  virtual ~follower_host() = default;
  /// Applies a state that is not older than the last one. Returns false if its
  /// catalog change does not apply to the current catalog.
  virtual bool onState(const fleet_state &State) = 0;
  virtual void onDirectory(endpoint_directory Directory) = 0;
  virtual void onFleetSize(std::uint32_t Count) = 0;
  virtual void onRoster(const relay_list &Relays) = 0;
  virtual void onLimitGrants(const limit_grants &Message) = 0;
  virtual void onVerdicts(const request_verdicts &Message) = 0;
  virtual void onQuotaGrants(const quota_grants &Message) = 0;
  virtual void onVersionPolicies(const version_policies &Message) = 0;
  /// A message from a registry cannot be read.
  virtual void onRefused(const std::string &Bytes, const error &Error) = 0;
  /// The daemon follows a leader from now on; it may have followed the same one
  /// before.
  virtual void onLeaderFound() = 0;
  /// Returns the seeds from the current settings.
  virtual std::vector<vm_id> seeds() = 0;
};

/// Runs on the thread of its `io_context`.
class registry_follower {
public:
  registry_follower(boost::asio::io_context &Io, follower_settings Settings,
                    const clock_source &Clock, follower_host &Host);

  void start();
  void stop();
  void addVms(const std::vector<vm_id> &Vms);
  /// Revision of the state that this daemon has applied.
  bulrush::revision revision() const { return Revision; }
  /// Level of the leader's build, by its last state; 0 while there is none. No
  /// message of a kind of a higher level must be sent to the leader.
  std::uint32_t leaderLevel() const { return LeaderLevel; }
  /// Time since the last message from the registry's leader.
  millis leaderSilence() const { return Clock.now() - ReceivedAt; }
  /// Tells the leader that this daemon is about to stop, so that other relays
  /// send it no shard requests. Updates continue to arrive.
  void announceLeaving();
  /// Tells the leader whether this daemon reaches endpoints.
  void setReach(bool HasReach);
  /// Sends the message to the leader; drops it while there is none.
  void send(const fleet_message &Message);

private:
  /// A link on which this daemon has sent `subscribe` to a vm.
  struct subscription {
    std::shared_ptr<frame_link> Link;
    instant ReceivedAt; ///< last message; before it, when connecting began
  };

  void scheduleTick();
  void onTick();
  void subscribeToNext();
  void subscribeTo(vm_id Vm);
  vm_id nextCandidate();
  millis timeoutOf(vm_id Vm, const subscription &Subscription) const;
  void onFrame(vm_id Vm, const std::string &Bytes);
  void drop(vm_id Vm, const char *Reason);
  void on(vm_id Vm, const fleet_state &State);
  void on(vm_id Vm, const redirect &Redirect);
  void on(vm_id Vm, endpoint_directory Directory);
  void follow(vm_id Vm, const fleet_state &State);
  void sendApplied();
  bool isFollowing() const { return Leader.Value != 0; }

  boost::asio::io_context &Io;
  follower_settings Settings;
  const clock_source &Clock;
  follower_host &Host;
  boost::asio::steady_timer Ticker;
  std::map<vm_id, subscription> Subscriptions;
  vm_id Leader; ///< the vm whose updates are applied; 0: none
  std::uint32_t LeaderLevel = 0;
  /// Level of the leader that sent the catalog. A leader of an older build
  /// leaves out what it does not know.
  std::uint32_t CatalogLevel = 0;
  bool HasFollowedLeader = false;
  bool IsLeaving = false;
  bool HasReach = true;
  instant SubscribedAt{-1e300};
  instant AppliedSentAt{-1e300};
  std::set<vm_id> Vms;
  vm_id LastTried;
  bulrush::revision Revision;
  instant ReceivedAt; ///< time of the last message from the leader
  std::uint64_t CatalogVersion = 0;
  relay::directory_version Directory; ///< version that the host holds
  relay_list Relays;
};

} // namespace bulrush::fleet

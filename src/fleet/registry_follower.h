/// Keeps one relay daemon up to date: finds the registry's leader and follows
/// it.
#pragma once

#include "fleet/frame_link.h"
#include "fleet/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace bulrush::fleet {

struct follower_settings {
  std::string Node;
  std::string Zone;
  std::uint16_t Port = 0;
  std::vector<vm_id> Seeds;
  incarnation_id Incarnation;
};

/// What the follower tells.
class follower_host {
public:
  virtual ~follower_host() = default;
  /// A newer state; returns false when its catalog cannot be used.
  virtual bool take(const fleet_state &State) = 0;
  virtual void take(endpoint_directory Directory) = 0;
  virtual void takePeers(std::uint32_t Count) = 0;
  /// Seeds as the settings name them now.
  virtual std::vector<vm_id> seeds() = 0;
};

/// Runs on the thread of its `io_context`.
class registry_follower {
public:
  registry_follower(boost::asio::io_context &Io, follower_settings Settings,
                    const clock_source &Clock, follower_host &Host);

  void start();
  void stop();
  void addMachines(const std::vector<vm_id> &Machines);

private:
  void tickLater();
  void onTick();
  void connect();
  void connectTo(vm_id Machine);
  vm_id nextMachine();
  void ask();
  void onFrame(const std::string &Bytes);
  void onLost(const char *Why);
  void on(const fleet_state &State);
  void on(endpoint_directory &Directory);
  void on(const leader_beat &Beat);
  void on(const redirect &Redirect);
  void tellApplied();

  boost::asio::io_context &Io;
  follower_settings Settings;
  const clock_source &Clock;
  follower_host &Host;
  boost::asio::steady_timer Ticker;
  std::shared_ptr<frame_link> Link;
  vm_id Asked; ///< the machine that `Link` leads to
  bool IsFollowing = false;
  bool WasFollowing = false;
  instant HeardAt;
  instant ConnectAt{-1e300};
  instant ToldAt{-1e300};
  std::set<vm_id> Machines;
  vm_id Hinted; ///< the leader, by a redirect
  vm_id LastTried;
  revision Revision;
  std::uint64_t CatalogVersion = 0;
};

} // namespace bulrush::fleet

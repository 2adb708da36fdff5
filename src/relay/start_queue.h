/// What comes before a daemon has learnt its catalog and directory.
#pragma once

#include "relay/events.h"

#include <utility>
#include <vector>

namespace bulrush::relay {

/// After a start the catalog arrives within moments: a request that waits for
/// it is served, one that is refused may find the next daemon no further. Waits
/// are bounded by the client's patience, and by the time that a start takes.
class start_queue {
public:
  struct entry {
    request_arrived Event;
    instant ArrivedAt;
    instant Until;
  };
  /// Shards that another relay has asked for.
  struct shard_request_entry {
    shard_request_arrived Event;
    instant ArrivedAt;
  };

  /// A daemon that has just started has its catalog by then.
  static constexpr millis StartTime{1500};

  /// The time begins with the first event.
  void noteTime(instant Now) { StartedAt = std::min(StartedAt, Now); }
  /// Takes the request, or returns false when it is to be refused at once.
  bool add(const request_arrived &Event, instant Now) {
    const instant Until = std::min(
        Now + Event.ClientTimeout * ClientTimeoutShare, StartedAt + StartTime);
    if (Until <= Now || Entries.size() >= MaxEntries)
      return false;
    Entries.push_back({Event, Now, Until});
    return true;
  }
  /// The asker gives it to another relay where it hears nothing.
  void add(const shard_request_arrived &Event, instant Now) {
    if (ShardRequests.size() < MaxEntries)
      ShardRequests.push_back({Event, Now});
  }
  void remove(vm_id From, shard_request_id ShardRequest) {
    std::erase_if(ShardRequests, [&](const shard_request_entry &Each) {
      return Each.Event.From == From && Each.Event.Request.Id == ShardRequest;
    });
  }
  std::vector<shard_request_entry> takeShardRequests() {
    return std::exchange(ShardRequests, {});
  }
  /// Drops the request of a client that has left; false when it is not here.
  bool remove(query_id Request) {
    return std::erase_if(Entries, [&](const entry &Each) {
             return Each.Event.Request == Request;
           }) > 0;
  }
  /// Takes out what has waited for as long as it may.
  std::vector<entry> takeOverdue(instant Now) {
    return take([Now](const entry &Each) { return Each.Until <= Now; });
  }
  std::vector<entry> takeAll() {
    return take([](const entry &) { return true; });
  }
  instant nextOverdue() const {
    instant Next = Never;
    for (const entry &Each : Entries)
      Next = std::min(Next, Each.Until);
    return Next;
  }
  /// How long until the catalog is there, as far as the time since the start
  /// tells.
  millis expectedWait(instant Now) const {
    return StartTime - (Now - StartedAt);
  }
  std::size_t size() const { return Entries.size(); }

private:
  /// A client that is refused after it still has time to come back.
  static constexpr double ClientTimeoutShare = 0.5;
  static constexpr std::size_t MaxEntries = 1000;

  template <class Wanted> std::vector<entry> take(Wanted IsWanted) {
    std::vector<entry> Out;
    std::vector<entry> Kept;
    for (entry &Each : Entries)
      (IsWanted(Each) ? Out : Kept).push_back(std::move(Each));
    Entries = std::move(Kept);
    return Out;
  }

  instant StartedAt = Never;
  std::vector<entry> Entries; ///< in the order of their arrival
  std::vector<shard_request_entry>
      ShardRequests; ///< in the order of their arrival
};

} // namespace bulrush::relay

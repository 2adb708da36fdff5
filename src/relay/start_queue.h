/// Requests that arrive before the relay has its catalog and directory.
#pragma once

#include "relay/events.h"

#include <utility>
#include <vector>

namespace bulrush::relay {

/// Holds requests during startup. The catalog usually arrives shortly after a
/// start, so a waiting request is served, while a refused one may reach another
/// relay that is starting too. The wait is limited by the client's timeout and
/// by the time that a start takes.
class start_queue {
public:
  /// A client's request.
  struct entry {
    request_arrived Event;
    instant ArrivedAt;
    instant Until; ///< refused at this time
  };
  /// A shard request of another relay.
  struct shard_request_entry {
    shard_request_arrived Event;
    instant ArrivedAt;
  };

  /// Time from its start within which a relay is expected to have its catalog.
  static constexpr millis MaxStartupTime{1500};

  /// Sets the start time on the first event; later calls have no effect.
  void markStarted(instant Now) { StartedAt = std::min(StartedAt, Now); }
  /// Queues the request. Returns false if it is to be refused immediately.
  bool add(const request_arrived &Event, instant Now) {
    const instant Until =
        std::min(Now + Event.ClientTimeout * ClientTimeoutShare,
                 StartedAt + MaxStartupTime);
    if (Until <= Now || Entries.size() >= MaxEntries)
      return false;
    Entries.push_back({Event, Now, Until});
    return true;
  }
  /// Queues a shard request, or drops it if the queue is full: without a reply
  /// the requester retries the slice elsewhere.
  void add(const shard_request_arrived &Event, instant Now) {
    if (ShardRequests.size() < MaxEntries)
      ShardRequests.push_back({Event, Now});
  }
  /// Removes a shard request that its requester has cancelled.
  void remove(requester_link From, shard_request_id ShardRequest) {
    std::erase_if(ShardRequests, [&](const shard_request_entry &Each) {
      return Each.Event.From == From && Each.Event.Request.Id == ShardRequest;
    });
  }
  /// Removes the shard requests from a link; returns their number.
  std::size_t remove(requester_link From) {
    return std::erase_if(ShardRequests, [&](const shard_request_entry &Each) {
      return Each.Event.From == From;
    });
  }
  std::vector<shard_request_entry> takeShardRequests() {
    return std::exchange(ShardRequests, {});
  }
  /// Removes the request of a client that has left. Returns false if it is not
  /// queued.
  bool remove(query_id Request) {
    return std::erase_if(Entries, [&](const entry &Each) {
             return Each.Event.Request == Request;
           }) > 0;
  }
  /// Removes and returns the requests whose wait limit has passed.
  std::vector<entry> takeTimedOut(instant Now) {
    return take([Now](const entry &Each) { return Each.Until <= Now; });
  }
  std::vector<entry> takeRequests() {
    return take([](const entry &) { return true; });
  }
  instant nextTimeout() const {
    instant Next = Never;
    for (const entry &Each : Entries)
      Next = std::min(Next, Each.Until);
    return Next;
  }
  /// Expected time until the catalog arrives; negative once a start has taken
  /// longer than expected.
  millis expectedWait(instant Now) const {
    return MaxStartupTime - (Now - StartedAt);
  }
  std::size_t size() const { return Entries.size(); }

private:
  /// Share of the client's timeout that a request may wait, so that a refused
  /// client still has time to retry.
  static constexpr double ClientTimeoutShare = 0.5;
  static constexpr std::size_t MaxEntries = 1000;

  template <class Predicate> std::vector<entry> take(Predicate Matches) {
    std::vector<entry> Out;
    std::vector<entry> Kept;
    for (entry &Each : Entries)
      (Matches(Each) ? Out : Kept).push_back(std::move(Each));
    Entries = std::move(Kept);
    return Out;
  }

  instant StartedAt = Never;
  std::vector<entry> Entries; ///< in the order of their arrival
  std::vector<shard_request_entry>
      ShardRequests; ///< in the order of their arrival
};

} // namespace bulrush::relay

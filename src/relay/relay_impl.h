/// The inside of the relay; see relay.h.
#pragma once

#include "query/wake_queue.h"
#include "relay/relay.h"
#include "relay/request_work.h"
#include "relay/start_queue.h"

namespace bulrush::relay {

class relay::impl {
public:
  impl(relay_settings Settings, std::uint64_t Seed);

  void step(const relay_event &Event, instant Now, relay_actions &Actions);
  std::size_t active() const { return Works.size() + Starting.size(); }
  bool isReady() const { return Table && HasDirectory; }
  relay_gauges gauges(instant At) const;
  catalog_version version() const {
    return Table ? Table->content().Version : catalog_version{};
  }

private:
  // relay.cpp: events
  void on(const request_arrived &Event);
  void on(const attempt_ended &Event);
  void on(const client_left &Event);
  void on(const probe_ended &Event);
  void on(const catalog_arrived &Event);
  void on(const directory_arrived &Event);
  void on(const zones_out_arrived &Event);
  void on(const peers_counted &Event);
  void on(const peers_arrived &Event);
  void on(const ask_arrived &Event);
  void on(const ask_cancelled &Event);
  void on(const repeat_granted &Event);
  void on(const ask_replied &Event);
  void on(const peer_lost &Event);
  void on(const timer_fired &Event);
  void admit(const request_arrived &Event, instant ArrivedAt);
  void admit(const ask_arrived &Event, instant ArrivedAt);
  void admitStarting();
  void armTimer();
  void wakeAt(request_work &Work, instant At);
  void lookAt(request_work &Work);
  void retryWaiting();
  request_work *find(query_id Request);
  static millis hedgeDelay(const route_state &Learnt, millis Objective);
  millis travelOf(client_distance Client) const;
  void setTimes(request_work &Work, instant ArrivedAt, millis Patience,
                client_distance Client) const;
  service_name pickTarget(request_work &Work) const;
  bool canCover(request_work &Work) const;

  // relay_attempts.cpp: the way of one part
  instant waitsUntil(const request_work &Work) const;
  instant wantedBy(const request_work &Work) const;
  wanted_reply wantedReply(const request_work &Work) const;
  void begin(request_work &Work, request_part &Part);
  bool send(request_work &Work, request_part &Part, double Reserve = 0);
  void hedge(request_work &Work, request_part &Part);
  void takeReply(request_work &Work, request_part &Part, endpoint_no From,
                 const attempt_ended &Event);
  void tryAgain(request_work &Work, request_part &Part);
  void waitAfterShed(request_part &Part, endpoint_no Endpoint);
  attempt_verdict verdictOf(const request_work *Work,
                            const attempt_ended &Event) const;
  void observe(route_state &Learnt, millis Took);
  void noteAttempt(const request_work &Work, const request_part &Part,
                   const endpoint_state *Endpoint, attempt_verdict Verdict,
                   const attempt_ended &Event, millis Took);

  // relay_slices.cpp: shards that other relays ask; relay_asked.cpp: what they
  // ask here
  void scatter(request_work &Work);
  void noteSliced();
  void warmSlices();
  static vm_id otherOf(const slice &Slice, vm_id To);
  vm_id pickPeer(vm_id First, vm_id Second) const;
  void ask(request_work &Work, const std::vector<std::size_t> &Parts,
           const ask_target &Target);
  void beginHere(request_work &Work, const std::vector<std::size_t> &Parts);
  void askAgain(request_work &Work, std::size_t Index);
  void repeatSilent(request_work &Work);
  void noteSilent(vm_id Peer, const std::string &RequestId);
  void noteHeard(vm_id Peer, const std::string &RequestId);
  static void failUnasked(request_work &Work,
                          const std::vector<std::size_t> &Parts);
  void takeSlice(request_work &Work, slice_ask &Ask, const shard_reply &Reply);
  void cancelAsks(const request_work &Work, bool HasClientLeft);
  void settleAsked(request_work &Work);
  bool mayRepeat(request_work &Work);
  static bool hasNews(const request_work &Work);
  void tellAsker(request_work &Work, bool IsFinal);

  // relay_answers.cpp: the end of a request
  void settle(request_work &Work);
  void settleGather(request_work &Work);
  void settleSingle(request_work &Work);
  void answerGathered(request_work &Work);
  void answerReply(request_work &Work,
                   std::shared_ptr<const endpoint_reply> Reply);
  void refuse(request_work &Work, relay_refusal Reason);
  void atDeadline(request_work &Work);
  void give(request_work &Work, give_answer Answer);
  void noteStages(request_work &Work) const;
  static void noteLacking(request_work &Work);
  void forget(request_work &Work, bool Linger);
  millis retryAfter(const request_work &Work) const;
  void refuseUnrouted(const request_arrived &Event, instant ArrivedAt,
                      unsigned Status, relay_refusal Reason);

  struct attempt_place {
    query_id Request;
    std::size_t Part = 0;
    endpoint_no Endpoint;
    instant SentAt;
    route_state *Learnt = nullptr;
  };
  struct lingering_attempt {
    attempt_no Attempt;
    instant Until;
  };
  void cancel(attempt_no Attempt, attempt_verdict Verdict);
  void cancelLingering();

  /// A relay that was not heard in time.
  struct peer_silence {
    instant Until; ///< not asked until then
    millis PassedOver;
  };
  struct ask_place {
    query_id Request;
    std::size_t Index = 0;
  };

  relay_settings Settings;
  endpoint_set Endpoints;
  slice_map Slices;
  std::unordered_map<ask_no, ask_place> Asks; ///< of this relay, not ended
  std::map<std::pair<vm_id, ask_no>, query_id> AskedHere;
  std::map<vm_id, peer_silence> UnresponsivePeers;
  std::uint64_t LastAsk = 0;
  std::uint64_t LastAsked = 0;
  std::shared_ptr<const route_table> Table;
  bool HasDirectory = false;
  std::map<std::string, route_state> Routes; ///< by host and prefix
  std::unordered_map<query_id, std::unique_ptr<request_work>> Works;
  std::unordered_map<attempt_no, attempt_place> Attempts;
  std::vector<lingering_attempt> Lingering; ///< of requests that have ended
  std::set<query_id> Waiting; ///< with a part that no endpoint could take
  query::wake_queue Wakes;
  instant HousekeepingAt = Never;
  std::uint64_t LastAttempt = 0;
  start_queue Starting;
  instant Now;                  ///< of the step under way
  relay_actions *Out = nullptr; ///< of the step under way
};

} // namespace bulrush::relay

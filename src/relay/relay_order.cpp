// Parts that wait for an endpoint, and the order in which they are sent.
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Waiting parts of a service that are tried in vain after an event that may
/// have made capacity available. A part may be refused by the endpoints that
/// accept others, such as those that it was sent to before.
constexpr std::size_t MaxBlockedTries = 8;
/// Waiting parts of one account that count as sent soon.
constexpr std::size_t MaxNext = 3;
/// Rounds of sends per step. Parts that end in one may free capacity for
/// another service.
constexpr int MaxDispatchRounds = 8;

} // namespace

work_item relay::impl::itemOf(const request_state &Request,
                              const request_part &Part) const {
  work_item Out;
  Out.Request = Request.Id;
  Out.Part = static_cast<std::size_t>(&Part - Request.Parts.data());
  Out.Urgency = Request.Urgency;
  Out.Account = Request.Content->Account;
  Out.SendBy = std::max(waitLimit(Request), latestSendAfterPause(Request));
  Out.ArrivedAt = Request.ArrivedAt;
  return Out;
}

/// Lets the part wait in the queue of its service.
void relay::impl::enqueue(request_state &Request, request_part &Part) {
  service_state &Service = *Part.Service;
  Part.Queued = itemOf(Request, Part);
  if (!std::exchange(Part.HasWaited, true))
    Request.LogEvent.QueuedBehind =
        std::max(Request.LogEvent.QueuedBehind,
                 static_cast<std::uint32_t>(Service.Queue.ahead(*Part.Queued)));
  Service.Queue.add(*Part.Queued);
  Backlogged[Service.Name] = &Service;
}

/// Has no effect if the part does not wait.
void relay::impl::unqueue(request_part &Part) {
  if (!Part.Queued)
    return;
  Part.Service->Queue.remove(*Part.Queued);
  Part.Queued.reset();
}

/// Whether another part that can be sent goes before this one, which does not
/// wait in the queue.
bool relay::impl::isBehind(const request_state &Request,
                           const request_part &Part) const {
  const service_state &Service = *Part.Service;
  return !Service.Queue.isEmpty() && !Service.IsHeadBlocked &&
         Service.Queue.hasItemBefore(itemOf(Request, Part));
}

/// Whether the part would have to wait until it cannot end in time. That is by
/// its objective if its account has several parts waiting, so that the queue of
/// an account that sends too much stays short and what is served of it is worth
/// something; else by its deadline. A shard request uses the deadline too: its
/// query, whose other parts may be running, can no longer be refused as not
/// run. Asked once, on its arrival: later it has come closer to its turn.
bool relay::impl::isHopeless(const request_state &Request,
                             const request_part &Part) const {
  const work_order &Queue = Part.Service->Queue;
  if (Part.HasWaited || Queue.isEmpty())
    return false;
  const work_item Item = itemOf(Request, Part);
  const auto Wait = Queue.expectedWait(Item);
  const bool IsByObjective = !Item.Account.Value.empty() &&
                             !Request.Requester &&
                             Queue.waitingOfAccount(Item) >= MaxNext;
  const instant Latest =
      IsByObjective ? Request.SoftDeadline - Request.RouteState->Median.value()
                    : Item.SendBy;
  return Wait && Now + *Wait > Latest;
}

/// Whether the part is among the next of its account, and its reply may
/// still meet the objective. Such a part is sent soon even if the account's
/// other parts have to wait long: with 0.2 of the objective for all, small
/// accounts lost 1 to 2% of their requests beside a flooding one, each time
/// that endpoints refused requests and the limits on concurrency fell.
bool relay::impl::isNextInTime(const request_state &Request,
                               const request_part &Part) const {
  return Part.Queued && !Part.Queued->Account.Value.empty() &&
         Now + Request.RouteState->Median.value() < Request.SoftDeadline &&
         Part.Service->Queue.isAmongFirst(
             *Part.Queued,
             Part.Service->Queue.waitingOfAccount(*Part.Queued) <= MaxNext
                 ? MaxNext
                 : 1);
}

/// Capacity may have become available at the endpoints of the service: its
/// waiting parts are tried at the end of this step.
void relay::impl::markFreed(service_state &Service) {
  if (!Service.Queue.isEmpty())
    Freed.insert(&Service);
}

/// Capacity may have become available at the endpoints of any service.
void relay::impl::markAllFreed() {
  std::erase_if(Backlogged,
                [](const auto &Each) { return Each.second->Queue.isEmpty(); });
  for (const auto &[Name, Service] : Backlogged)
    Freed.insert(Service);
}

void relay::impl::dispatchFreed() {
  for (int Round = 0; Round < MaxDispatchRounds && !Freed.empty(); ++Round) {
    std::vector<service_state *> Services(Freed.begin(), Freed.end());
    Freed.clear();
    // The order of pointers differs from run to run.
    std::sort(Services.begin(), Services.end(),
              [](const service_state *A, const service_state *B) {
                return A->Name < B->Name;
              });
    for (service_state *Each : Services)
      dispatch(*Each);
  }
  Freed.clear();
}

/// Sends waiting parts of the service in their order while its endpoints accept
/// requests.
void relay::impl::dispatch(service_state &Service) {
  Service.IsHeadBlocked = false;
  std::vector<work_item> Blocked;
  while (Endpoints.available(Service, Now) == availability::open) {
    const bool IsStarted = startNext(Service, Blocked);
    Service.IsHeadBlocked = !Blocked.empty();
    if (!IsStarted)
      return;
  }
  Service.IsHeadBlocked = false;
}

/// Starts the first waiting part of the service that is not in `Blocked`, and
/// adds it to `Blocked` if it still waits. Returns false if there is none, or
/// if too many are blocked.
bool relay::impl::startNext(service_state &Service,
                            std::vector<work_item> &Blocked) {
  const work_item *Next = Service.Queue.next(Blocked);
  if (!Next || Blocked.size() >= MaxBlockedTries)
    return false;
  const work_item Item = *Next;
  request_state *Request = find(Item.Request);
  if (!Request || !Request->Parts[Item.Part].Queued) {
    Service.Queue.remove(Item);
    return true;
  }
  request_part &Part = Request->Parts[Item.Part];
  if (Now > Item.SendBy && Service.Queue.size() > 1) {
    // Its reply would come too late, while others are still in time.
    unqueue(Part);
    Part.Phase = part_phase::failed;
  } else {
    startPart(*Request, Part, true);
  }
  if (Part.Phase == part_phase::waiting)
    Blocked.push_back(Item);
  settle(*Request);
  return true;
}

/// Ends the wait of parts for an endpoint that turned out to be cold, unless
/// another one of the service may take them.
void relay::impl::endWaitForCold(service_state &Service) {
  std::vector<work_item> Blocked;
  while (Endpoints.available(Service, Now) == availability::none &&
         startNext(Service, Blocked)) {
  }
}

} // namespace bulrush::relay

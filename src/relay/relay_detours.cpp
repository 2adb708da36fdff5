// Parts whose endpoints this relay does not reach while other relays may: these
// are requested from another relay. One that cannot reach them either says so
// at once, and never requests them from a third relay itself.
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Relays that a part is requested from because this relay does not reach its
/// endpoints, or the previous one did not.
constexpr std::uint32_t MaxDetours = 3;
/// Time for which no relay is asked for a service whose endpoints `MaxDetours`
/// other relays do not reach either.
constexpr millis UnreachableElsewhereTime{1000};
/// A relay that reaches no endpoint gets no slices for this long, unless it
/// replies with results before.
constexpr millis ReachLostBackoff{1000};

} // namespace

bool relay::impl::isUnreachable(const request_part &Part) const {
  return Endpoints.isUnreachable(*Part.Service, Reach.isLost(), Part.isUnsent(),
                                 Now);
}

/// Whether a part that is unreachable from here may be requested from another
/// relay. That one might run it, so the rules of a retry apply.
bool relay::impl::mayDetour(const request_state &Request,
                            const request_part &Part) const {
  const bool IsSafe = Request.Route->IsIdempotent || Part.PossibleRuns == 0;
  return !Request.Requester && IsSafe && Part.Detours < MaxDetours &&
         Part.PossibleRuns < Request.Route->MaxAttempts &&
         Now >= Part.Service->UnreachableElsewhereUntil &&
         Now < Request.Deadline && pickDetour(Request);
}

void relay::impl::markUnreachable(request_state &Request, request_part &Part) {
  ++Request.LogEvent.Unreachable;
  Part.IsUnreachable = true;
  Part.Phase =
      mayDetour(Request, Part) ? part_phase::unreachable : part_phase::failed;
}

bool relay::impl::isInBackoff(vm_id Peer) const {
  const auto Found = UnresponsivePeers.find(Peer);
  return Found != UnresponsivePeers.end() && Now < Found->second.Until;
}

/// The next relay in turn, so that the relays left share the load. Relays of a
/// zone often lose their paths together, so those of other zones come first.
/// Null if none can be asked.
const relay_peer *relay::impl::pickDetour(const request_state &Request) const {
  const std::vector<relay_peer> &Others = Slices.others();
  const std::vector<vm_id> &Excluded = Request.RelaysWithoutPath;
  const relay_peer *Fallback = nullptr;
  for (std::size_t I = 0; I < Others.size(); ++I) {
    const relay_peer &Each = Others[(NextDetour + I) % Others.size()];
    if (isInBackoff(Each.Vm) ||
        std::find(Excluded.begin(), Excluded.end(), Each.Vm) != Excluded.end())
      continue;
    if (Each.Zone != Settings.Zone &&
        Request.ZonesWithoutPath.count(Each.Zone) == 0)
      return &Each;
    Fallback = Fallback ? Fallback : &Each;
  }
  return Fallback;
}

/// Requests all unreachable parts from one other relay: those without an
/// attempt so far apart from the others, whose attempts count as retries.
void relay::impl::detour(request_state &Request) {
  std::map<std::uint32_t, std::vector<std::size_t>> ByPriorRuns;
  for (std::size_t I = 0; I < Request.Parts.size(); ++I)
    if (Request.Parts[I].Phase == part_phase::unreachable)
      ByPriorRuns[Request.Parts[I].PossibleRuns].push_back(I);
  if (ByPriorRuns.empty())
    return;
  const relay_peer *To = pickDetour(Request);
  for (const auto &[PriorRuns, Parts] : ByPriorRuns) {
    for (const std::size_t PartIndex : Parts) {
      ++Request.Parts[PartIndex].Detours;
      Request.Parts[PartIndex].Phase = part_phase::failed;
    }
    if (!To)
      continue;
    Request.LogEvent.Detours += static_cast<std::uint32_t>(Parts.size());
    Request.LogEvent.DetouredTo = To->Vm;
    const bool IsCrossZone = To->Zone != Settings.Zone;
    sendShardRequest(Request, Parts, {To->Vm, {}, IsCrossZone, PriorRuns});
  }
  if (To)
    NextDetour = static_cast<std::size_t>(To - Slices.others().data()) + 1;
}

/// Starts the parts again that another relay did not reach: here, or at a
/// further relay.
void relay::impl::restartUnreachable(request_state &Request,
                                     const slice_request &Slice,
                                     const shard_reply &Reply) {
  if (Reply.Unreachable.empty() && Reply.Interrupted.empty())
    return;
  Request.RelaysWithoutPath.push_back(Slice.Target.To);
  for (const relay_peer &Each : Slices.others())
    if (Each.Vm == Slice.Target.To)
      Request.ZonesWithoutPath.insert(Each.Zone);
  const std::uint32_t PriorRuns = Slice.Target.PriorRuns;
  const auto Restart = [&](std::uint32_t Index, std::uint32_t Runs) {
    if (Index >= Slice.Parts.size())
      return;
    const std::size_t PartIndex = Slice.Parts[Index];
    request_part &Part = Request.Parts[PartIndex];
    if (Part.Phase != part_phase::delegated || Request.isDelegated(PartIndex))
      return;
    if (!Reply.IsReachLost && Part.Detours >= MaxDetours)
      Part.Service->UnreachableElsewhereUntil = Now + UnreachableElsewhereTime;
    Part.PossibleRuns = std::max(Part.PossibleRuns, Runs);
    Part.Deliveries = std::max(Part.Deliveries, Runs);
    Part.RepeatReason = repeat_reason::detour;
    const bool MayRestart = Part.PossibleRuns < Request.Route->MaxAttempts;
    Part.Phase = part_phase::failed;
    if (MayRestart)
      startPart(Request, Part);
  };
  for (const std::uint32_t Each : Reply.Unreachable)
    Restart(Each, PriorRuns);
  for (const std::uint32_t Each : Reply.Interrupted)
    Restart(Each, PriorRuns + 1);
}

/// Ends the attempts of a request whose endpoints have become unreachable, so
/// that other relays can retry its parts. The attempts of a request that must
/// not run twice go on.
void relay::impl::interruptRunning(request_state &Request) {
  for (request_part &Part : Request.Parts) {
    const bool IsRunning = Part.Phase == part_phase::running ||
                           Part.Phase == part_phase::awaiting_grant;
    if (!IsRunning && Part.Phase != part_phase::waiting)
      continue;
    if (IsRunning && !Request.Route->IsIdempotent)
      continue;
    for (const running_attempt &Each : std::exchange(Part.Running, {}))
      cancel(Each.Attempt, attempt_verdict::unreachable);
    startPart(Request, Part);
  }
}

/// Passes over a relay that reaches no endpoint for a while.
void relay::impl::markWithoutReach(vm_id Peer, const std::string &RequestId) {
  peer_backoff &Backoff = UnresponsivePeers[Peer];
  const bool IsNew = Now >= Backoff.Until;
  Backoff = {Now + ReachLostBackoff, ReachLostBackoff};
  if (IsNew)
    Out->push_back(peer_log_event{Peer, RequestId, ReachLostBackoff, true});
}

} // namespace bulrush::relay

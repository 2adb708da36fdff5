#include "relay/rollout_controller.h"

#include "relay/rollout_judge.h"

#include <deque>
#include <map>

namespace bulrush::relay {

namespace {

/// Highest share of the canary, as part of `rollout_limits::CanaryShare`; the
/// rest of the allowance is kept for the last step.
constexpr double MaxCanaryPart = 0.8;
/// Replies that the canary should get where its share could be less.
constexpr double CanaryReplies = 30;
/// Services so slow that the canary would get fewer than `SlowServiceReplies`
/// by `SlowServiceTime` of the duration have a higher share.
constexpr double SlowServiceReplies = 10;
constexpr double WantedServiceReplies = 18;
constexpr double SlowServiceTime = 0.6;
constexpr double MaxSlowServiceShare = 0.5;
constexpr double UnknownServiceShare = 0.25; ///< no request seen so far
/// Part of the slack that a canary with a higher share may use.
constexpr double CanarySlackPart = 0.5;
/// The canary's share is adapted at most this often, and only by more than
/// `NotableChange`, as each change is a message to all relays.
constexpr millis AdaptInterval{1000};
constexpr double NotableChange = 0.25;
/// The same until the rate has been measured for `FirstMeasuredTime`.
constexpr double FirstCanaryPart = 0.4;
constexpr millis FirstMeasuredTime{500};
/// Shorter measurements of the rate are not used.
constexpr millis MinMeasuredTime{900};

/// Requests of this time are not known to the leader yet: half of the report
/// interval of 300 ms, and the time of travel.
constexpr millis UnreportedTime{200};
/// Time until the next decision is in force on all relays.
constexpr millis ReactionTime{160};
constexpr millis RateWindow{3000};
/// A multiple of the report interval, so that each relay's reports of an equal
/// time are in it.
constexpr millis BurstWindow{900};
/// Hedges and retries count as sent but not as reached: the part of the
/// requests that surely is first attempts.
constexpr double FirstAttemptPart = 0.95;
/// The rest of the duration is counted at this part of the lowest measured
/// rate.
constexpr double SureRatePart = 0.9;
constexpr double FixedMargin = 6; ///< requests
/// Requests left at which the last step is given up.
constexpr double LeastAllowance = 2;

/// The middle step.
constexpr double RampShare = 0.3;
constexpr millis RampTime{500};
/// The middle step is left out if the last step would become shorter than this.
constexpr millis MinFullTime{1300};
/// The last step is held for this part of the duration, or until it can have
/// got `FullReplies`, where the allowance lasts.
constexpr double FullPart = 0.4;
constexpr millis WantedFullTime{1500};
constexpr double FullReplies = 30;
/// Time of the canary before the last step, when the target comes late.
constexpr millis MinCanaryTime{500};
/// Time before the deadline at which a confirmed rollout ends, so that the end
/// is committed by then.
constexpr millis CommitTime{300};
/// The same where more replies are wanted: the version is under suspicion, or
/// has had all requests only for a short time.
constexpr millis LateCommitTime{150};
constexpr millis HeldTime{1000};
constexpr double LowSuspicion = 0.25;

/// A load of more than this many times the one at which the old version was
/// measured strains the target version.
constexpr double StrainFactor = 1.2;
constexpr double StrainDeviations = 1.7;
/// Below this many requests in `BurstWindow`, `RateWindow` is used.
constexpr double FrequentRequests = 30;
/// Part of the attempts at the target version without any reply that tells of a
/// crash of its endpoints; considered for `StrainTime`.
constexpr double CrashPart = 0.2;
constexpr millis StrainTime{1500};
/// Attempts without any reply from which a target version counts as
/// unreachable if they are most of the attempts of `UnreachableTime`.
constexpr double UnreachableAttempts = 3;
constexpr millis UnreachableTime{600};
/// Bad replies, and time before the limit on a bad version's last request, from
/// which suspicion is enough for a rollback: they are known late, and the
/// decision takes time to be in force.
constexpr double ManyBadReplies = 40;
constexpr millis RollbackReserve{1500};
constexpr std::size_t SharesKept = 8;
/// A new leader waits this long for the counts of all relays before it raises
/// the share.
constexpr millis TakeoverTime{1000};

/// What the last step of `Requests` on average may exceed them by.
double margin(double Requests) { return FixedMargin + std::sqrt(Requests); }

bool isFewer(const version_counts &A, const version_counts &B) {
  return A.Sent < B.Sent || A.Answers < B.Answers || A.Failures < B.Failures ||
         A.Unreachable < B.Unreachable;
}

version_counts difference(const version_counts &A, const version_counts &B) {
  version_counts Out;
  Out.Sent = A.Sent - B.Sent;
  Out.Answers = A.Answers - B.Answers;
  Out.Failures = A.Failures - B.Failures;
  Out.Unreachable = A.Unreachable - B.Unreachable;
  for (std::size_t I = 0; I < LatencyBins; ++I)
    Out.Latency[I] = A.Latency[I] - std::min(A.Latency[I], B.Latency[I]);
  return Out;
}

} // namespace

class rollout_controller::impl {
public:
  impl(rollout_order TheOrder, rollout_limits TheLimits, millis Elapsed,
       instant Now)
      : Order(std::move(TheOrder)), Limits(TheLimits), OrderedAt(Now - Elapsed),
        StartedAt(Now) {}

  void onReport(vm_id Relay, const rollout_report &Report, instant Now);
  rollout_decision step(const rollout_surroundings &Around, instant Now);

  rollout_order Order;

private:
  struct relay_record {
    std::map<std::string, route_counts> Routes;
    double Share = 0;
    std::uint32_t OldInFlight = 0;
    instant ReceivedAt;
  };
  struct rate_sample {
    instant At;
    double Reached = 0;
  };
  struct attempt_sample {
    instant At;
    double Sent = 0;
    double Unreachable = 0;
  };
  struct share_period {
    instant Since;
    double Share = 0;
  };
  enum class stage : std::uint8_t { waiting, canary, ramp, full, ended };
  /// Stage, share and reason of the next decision.
  struct plan {
    stage Stage = stage::waiting;
    double Share = 0;
    std::string Reason;
  };

  millis left(instant Now) const { return OrderedAt + Order.Duration - Now; }
  double reached() const;
  void sampleRate(const rollout_surroundings &Around, instant Now);
  double unreported(instant Now) const;
  bool isSpent(instant Now) const;
  double bound(instant Now) const;
  double allowance(instant Now) const;
  bool isStrained(const rollout_surroundings &Around, instant Now);
  bool isConfirmed(const rollout_surroundings &Around) const;
  std::string obstacle(const rollout_surroundings &Around) const;
  double canaryShare(instant Now) const;
  plan planCanary(instant Now) const;
  plan planShare(const rollout_surroundings &Around, instant Now) const;
  rollout_state outcome(const rollout_surroundings &Around, instant Now,
                        const rollout_judge::result &Judged,
                        std::string &Reason) const;
  void enter(plan Plan, instant Now);
  rollout_decision decision(const rollout_judge::result &Judged, instant Now);
  static const char *name(stage Stage);

  rollout_limits Limits;
  instant OrderedAt;
  instant StartedAt; ///< of this object: the order or a change of leader
  rollout_judge Judge;

  std::map<vm_id, relay_record> Relays;
  version_counts Old; ///< of all relays, also of those that have gone
  version_counts New;
  std::deque<rate_sample> Rates;
  std::deque<attempt_sample> Attempts;
  bool AreAllKnown = false; ///< the counts of all relays
  double MeanRate = 0;      ///< requests per second, since the order
  double RecentRate = 0;
  double BurstRate = 0;
  double MeanRateBefore = 0; ///< before the last steps

  rollout_state State = rollout_state::in_progress;
  plan Current;
  std::deque<share_period> Shares; ///< the last ones
  instant StageSince;
  instant TargetSince{Never.Ms}; ///< the target has endpoints
  instant AdaptedAt{-1e300};
  instant StrainedUntil{-1e300};
  bool IsUnreachable = false;  ///< the target version, lately
  instant ManyBadAt{Never.Ms}; ///< `ManyBadReplies` were reached
  std::size_t MostTargets = 0;

  bool IsReported = false; ///< the first decision was returned
};

void rollout_controller::impl::onReport(vm_id Relay,
                                        const rollout_report &Report,
                                        instant Now) {
  if (Report.Rollout != Order.Id)
    return;
  relay_record &Record = Relays[Relay];
  const bool HasRestarted = std::any_of(
      Report.Routes.begin(), Report.Routes.end(), [&](const route_counts &Is) {
        const auto Was = Record.Routes.find(Is.RouteKey);
        return Was != Record.Routes.end() &&
               (isFewer(Is.Old, Was->second.Old) ||
                isFewer(Is.New, Was->second.New));
      });
  if (HasRestarted)
    Record.Routes.clear();
  for (const route_counts &Is : Report.Routes) {
    route_counts &Was = Record.Routes[Is.RouteKey];
    const version_counts MoreOld = difference(Is.Old, Was.Old);
    const version_counts MoreNew = difference(Is.New, Was.New);
    Was = Is;
    Judge.add(Is.RouteKey, MoreOld, MoreNew);
    for (const auto &[To, More] :
         {std::pair{&Old, &MoreOld}, std::pair{&New, &MoreNew}}) {
      To->Sent += More->Sent;
      To->Answers += More->Answers;
      To->Failures += More->Failures;
      To->Unreachable += More->Unreachable;
    }
    if (MoreNew.Sent + MoreNew.Unreachable > 0)
      Attempts.push_back({Now, static_cast<double>(MoreNew.Sent),
                          static_cast<double>(MoreNew.Unreachable)});
  }
  Record.Share = Report.Share;
  Record.OldInFlight = Report.OldInFlight;
  Record.ReceivedAt = Now;
}

/// Requests that reached the service. Attempts that failed may have been
/// repeated.
double rollout_controller::impl::reached() const {
  const double Sent = static_cast<double>(Old.Sent + New.Sent);
  const double Repeated = static_cast<double>(
      Old.Failures + New.Failures + Old.Unreachable + New.Unreachable);
  return std::max(0.0, Sent * FirstAttemptPart - Repeated);
}

void rollout_controller::impl::sampleRate(const rollout_surroundings &Around,
                                          instant Now) {
  if (!AreAllKnown) {
    // The counts of a relay that reports for the first time to a new leader are
    // those of the whole rollout.
    AreAllKnown = Now - StartedAt >= TakeoverTime ||
                  (!Around.Relays.empty() &&
                   std::all_of(Around.Relays.begin(), Around.Relays.end(),
                               [&](vm_id Id) { return Relays.contains(Id); }));
    if (!AreAllKnown && StartedAt > OrderedAt)
      return;
  }
  const double Sent = static_cast<double>(Old.Sent + New.Sent);
  Rates.push_back({Now, Sent});
  while (Now - Rates.front().At > RateWindow)
    Rates.pop_front();
  const millis Measured = Now - OrderedAt - UnreportedTime;
  MeanRate = Sent * 1000 / std::max(Measured.Count, FirstMeasuredTime.Count);
  const millis Span = Now - Rates.front().At;
  RecentRate = Span >= MinMeasuredTime
                   ? (Sent - Rates.front().Reached) * 1000 / Span.Count
                   : MeanRate;
  const auto Late =
      std::find_if(Rates.begin(), Rates.end(), [&](const rate_sample &Each) {
        return Now - Each.At <= BurstWindow;
      });
  BurstRate = std::max({MeanRate, RecentRate,
                        Span >= MinMeasuredTime
                            ? (Sent - Late->Reached) * 1000 / BurstWindow.Count
                            : 0.0});
  if (Current.Stage == stage::waiting || Current.Stage == stage::canary)
    MeanRateBefore = MeanRate;
}

/// Estimate of the requests sent to the target version and not reported yet.
double rollout_controller::impl::unreported(instant Now) const {
  double Requests = 0;
  instant Until = Now;
  for (auto Each = Shares.rbegin(); Each != Shares.rend(); ++Each) {
    const instant From = std::max(Each->Since, Now - UnreportedTime);
    Requests += Each->Share * BurstRate * (Until - From).Count / 1000;
    if (Each->Since <= Now - UnreportedTime)
      break;
    Until = Each->Since;
  }
  return Requests;
}

/// What the target version may get by the deadline.
double rollout_controller::impl::bound(instant Now) const {
  const double Rate =
      std::min(MeanRate, RecentRate) * SureRatePart * FirstAttemptPart;
  const double Left = std::max(0.0, left(Now).Count);
  return Limits.CanaryShare * (reached() + Rate * Left / 1000) +
         Limits.CanarySlack;
}

/// What the target version may get from now on.
double rollout_controller::impl::allowance(instant Now) const {
  return bound(Now) - static_cast<double>(New.Sent) - unreported(Now);
}

/// All requests until the next decision is in force would exceed the allowance.
bool rollout_controller::impl::isSpent(instant Now) const {
  const millis Time = std::clamp(left(Now), millis{0}, ReactionTime);
  return allowance(Now) - BurstRate * Time.Count / 1000 < LeastAllowance;
}

bool rollout_controller::impl::isStrained(const rollout_surroundings &Around,
                                          instant Now) {
  while (!Attempts.empty() && Now - Attempts.front().At > StrainTime)
    Attempts.pop_front();
  double Sent = 0;
  double Unreachable = 0;
  double LateSent = 0;
  double LateUnreachable = 0;
  for (const attempt_sample &Each : Attempts) {
    Sent += Each.Sent;
    Unreachable += Each.Unreachable;
    if (Now - Each.At > UnreachableTime)
      continue;
    LateSent += Each.Sent;
    LateUnreachable += Each.Unreachable;
  }
  IsUnreachable =
      LateUnreachable >= UnreachableAttempts && LateUnreachable > LateSent / 2;
  MostTargets = std::max(MostTargets, Around.TargetEndpoints);
  const bool IsFull = Current.Share > MaxSlowServiceShare;
  const bool IsFrequent =
      MeanRateBefore * BurstWindow.Count / 1000 >= FrequentRequests;
  const double Seconds = (IsFrequent ? BurstWindow : RateWindow).Count / 1000;
  const double Usual = MeanRateBefore * Seconds;
  const bool IsBurst =
      (IsFrequent ? BurstRate : RecentRate) * Seconds >
      StrainFactor * Usual + StrainDeviations * std::sqrt(Usual);
  const bool HasCrashed = Unreachable > 1 && Unreachable > Sent * CrashPart;
  const bool IsSmaller = IsFull && Around.TargetEndpoints < MostTargets;
  if (HasCrashed || IsSmaller || (IsFull && IsBurst))
    StrainedUntil = Now + StrainTime;
  return Now < StrainedUntil;
}

/// All relays in touch act on share 1 and have nothing in flight to the old
/// version.
bool rollout_controller::impl::isConfirmed(
    const rollout_surroundings &Around) const {
  return Current.Stage == stage::full && !Around.Relays.empty() &&
         std::all_of(Around.Relays.begin(), Around.Relays.end(), [&](vm_id Id) {
           const auto Found = Relays.find(Id);
           return Found != Relays.end() && Found->second.Share >= 1 &&
                  Found->second.OldInFlight == 0 &&
                  Found->second.ReceivedAt > StageSince;
         });
}

/// Why the target version can get nothing; empty if it can.
std::string
rollout_controller::impl::obstacle(const rollout_surroundings &Around) const {
  if (!Around.IsServiceListed)
    return "service not in the catalog";
  if (!Around.CanSplit)
    return "relays of an older build";
  if (Around.TargetEndpoints == 0)
    return MostTargets > 0 ? "target version has no endpoints left"
                           : "target version has no endpoints";
  return {};
}

double rollout_controller::impl::canaryShare(instant Now) const {
  const bool IsTakeover = StartedAt > OrderedAt;
  const bool IsMeasured =
      IsTakeover ? AreAllKnown : Now - OrderedAt >= FirstMeasuredTime;
  if (!IsMeasured)
    return FirstCanaryPart * Limits.CanaryShare;
  const double MaxShare = MaxCanaryPart * Limits.CanaryShare;
  const double Requests = MeanRate * Order.Duration.Count / 1000;
  if (Requests <= 0)
    return UnknownServiceShare;
  const double EarlyRequests = Requests * SlowServiceTime;
  if (EarlyRequests * MaxShare < SlowServiceReplies)
    return std::min(WantedServiceReplies / EarlyRequests, MaxSlowServiceShare);
  // At high rates, what the canary does not get prolongs the last step.
  const double FullRequests = MeanRate * WantedFullTime.Count / 1000;
  const double Spare =
      (bound(Now) - FullRequests - margin(FullRequests)) / Requests;
  return std::clamp(Spare, std::min(MaxShare, CanaryReplies / Requests),
                    MaxShare);
}

rollout_controller::impl::plan
rollout_controller::impl::planCanary(instant Now) const {
  double Share = canaryShare(Now);
  if (Current.Stage == stage::canary && Current.Share > 0 &&
      (Now - AdaptedAt < AdaptInterval ||
       std::abs(Share - Current.Share) < Current.Share * NotableChange))
    Share = Current.Share;
  const double Used = static_cast<double>(New.Sent) + unreported(Now);
  if (Used > MaxCanaryPart * Limits.CanaryShare * reached() +
                 Limits.CanarySlack * CanarySlackPart)
    return {stage::canary, 0, "canary has used its allowance"};
  return {stage::canary, Share, "comparing versions"};
}

rollout_controller::impl::plan
rollout_controller::impl::planShare(const rollout_surroundings &Around,
                                    instant Now) const {
  if (const std::string Why = obstacle(Around); !Why.empty())
    return {stage::waiting, 0, Why};
  const double Rate = std::max({MeanRate, RecentRate, 1e-6});
  const double Allowed = allowance(Now);
  if (Around.OldEndpoints == 0 && Current.Stage != stage::full) {
    if (!isSpent(Now))
      return {stage::ramp, 1, "old version has no endpoints"};
    return {stage::canary, 0, "allowance used, old version has no endpoints"};
  }
  if (Current.Stage == stage::full) {
    if (!isSpent(Now))
      return Current;
    return {stage::canary, 0, "allowance used in the last step"};
  }
  const bool IsTakeover = StartedAt > OrderedAt;
  if (Now - TargetSince < MinCanaryTime || (IsTakeover && !AreAllKnown))
    return planCanary(Now);

  const millis Wanted{
      std::min(Order.Duration.Count * FullPart,
               std::max(WantedFullTime.Count, FullReplies * 1000 / Rate))};
  const double Margin = margin(
      std::clamp(Rate * Wanted.Count / 1000, 0.0, std::max(0.0, Allowed)));
  // Time for which the allowance lasts if all requests go to the target.
  const millis Affordable{std::max(0.0, Allowed - Margin) * 1000 / Rate};
  if (left(Now) <= std::min(Wanted, Affordable))
    return {stage::full, 1, "all requests"};
  if (Current.Stage == stage::ramp && Around.OldEndpoints > 0 &&
      Current.Share < 1)
    return Current;
  const millis Saved = RampTime * (1 - RampShare);
  if (Current.Share < RampShare &&
      left(Now) <= std::min(Wanted + RampTime, Affordable + Saved) &&
      Affordable - RampTime * RampShare >= MinFullTime)
    return {stage::ramp, RampShare, "no worse than the old version"};
  return planCanary(Now);
}

rollout_state rollout_controller::impl::outcome(
    const rollout_surroundings &Around, instant Now,
    const rollout_judge::result &Judged, std::string &Reason) const {
  if (Judged.Verdict == rollout_verdict::bad) {
    Reason = Judged.Reason;
    return rollout_state::rolled_back;
  }
  if (Judged.IsSuspect &&
      Now - ManyBadAt >= Limits.RollbackTime - RollbackReserve) {
    Reason = "suspected for long: " + Judged.Reason;
    return rollout_state::rolled_back;
  }
  const bool IsAtDeadline = left(Now) <= millis{0};
  const std::string Obstacle =
      IsUnreachable ? "target version cannot be reached" : obstacle(Around);
  if (!Obstacle.empty() || !isConfirmed(Around)) {
    if (!IsAtDeadline)
      return rollout_state::in_progress;
    Reason = Obstacle.empty() ? "not confirmed by all relays" : Obstacle;
    return rollout_state::rolled_back;
  }
  if (Judged.IsSuspect) {
    if (!IsAtDeadline)
      return rollout_state::in_progress;
    Reason = "suspected: " + Judged.Reason;
    return rollout_state::rolled_back;
  }
  const bool IsHeld = Now - StageSince >= HeldTime;

  const millis EndTime =
      IsHeld && Judged.Suspicion < LowSuspicion ? CommitTime : LateCommitTime;
  if (!isSpent(Now) && left(Now) > EndTime)
    return rollout_state::in_progress;
  Reason = "confirmed by all relays";
  return rollout_state::complete;
}

void rollout_controller::impl::enter(plan Plan, instant Now) {
  if (Plan.Stage != Current.Stage)
    StageSince = Now;
  if (Plan.Share != Current.Share) {
    AdaptedAt = Now;
    Shares.push_back({Now, Plan.Share});
    if (Shares.size() > SharesKept)
      Shares.pop_front();
  }
  Current = std::move(Plan);
}

rollout_decision
rollout_controller::impl::step(const rollout_surroundings &Around,
                               instant Now) {
  if (State != rollout_state::in_progress) {
    rollout_decision Out = decision(Judge.evaluate(false, Now), Now);
    Out.IsChanged = false;
    return Out;
  }
  const plan Before = Current;
  sampleRate(Around, Now);
  const bool IsStrained = isStrained(Around, Now);
  if (Around.TargetEndpoints > 0)
    TargetSince = std::min(TargetSince, Now);
  const rollout_judge::result Judged = Judge.evaluate(IsStrained, Now);
  if (Judged.New.Failures + Judged.New.Slow >= ManyBadReplies)
    ManyBadAt = std::min(ManyBadAt, Now);
  std::string Reason;
  State = outcome(Around, Now, Judged, Reason);
  if (State == rollout_state::in_progress)
    enter(planShare(Around, Now), Now);
  else
    enter({stage::ended, State == rollout_state::complete ? 1.0 : 0.0, Reason},
          Now);
  rollout_decision Out = decision(Judged, Now);
  Out.IsChanged = !IsReported || Current.Stage != Before.Stage ||
                  Current.Share != Before.Share;
  IsReported = true;
  return Out;
}

const char *rollout_controller::impl::name(stage Stage) {
  switch (Stage) {
  case stage::waiting:
    return "waiting";
  case stage::canary:
    return "canary";
  case stage::ramp:
    return "ramp";
  case stage::full:
    return "full";
  case stage::ended:
    break;
  }
  return "ended";
}

rollout_decision
rollout_controller::impl::decision(const rollout_judge::result &Judged,
                                   instant Now) {
  const auto Rounded = [](double Count) {
    return static_cast<std::uint64_t>(Count);
  };
  rollout_decision Out;
  Out.State = State;
  Out.Share = Current.Share;
  Out.Step = name(Current.Stage);
  Out.Reason = Current.Reason;
  Out.Elapsed = Now - OrderedAt;
  Out.Exposed = New.Sent;
  Out.Reached = Old.Sent + New.Sent;
  Out.OldFailures = Rounded(Judged.Old.Failures);
  Out.NewFailures = Rounded(Judged.New.Failures);
  Out.OldSlow = Rounded(Judged.Old.Slow);
  Out.NewSlow = Rounded(Judged.New.Slow);
  return Out;
}

rollout_controller::rollout_controller(rollout_order Order,
                                       rollout_limits Limits, millis Elapsed,
                                       instant Now)
    : Impl(std::make_unique<impl>(std::move(Order), Limits, Elapsed, Now)) {}
rollout_controller::~rollout_controller() = default;
rollout_controller::rollout_controller(rollout_controller &&) noexcept =
    default;
rollout_controller &
rollout_controller::operator=(rollout_controller &&) noexcept = default;

void rollout_controller::onReport(vm_id Relay, const rollout_report &Report,
                                  instant Now) {
  Impl->onReport(Relay, Report, Now);
}

rollout_decision rollout_controller::step(const rollout_surroundings &Around,
                                          instant Now) {
  return Impl->step(Around, Now);
}

const rollout_order &rollout_controller::order() const { return Impl->Order; }

} // namespace bulrush::relay

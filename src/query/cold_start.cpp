#include "query/cold_start.h"

#include "query/service_time.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Tells a sign of warmth that has proved to follow the endpoint's state from
/// one that may never change: it must have said cold in the same life first.
class checked_sign {
public:
  /// Takes what the sign says; true when it has turned from cold to warm.
  bool turnsWarm(bool SaysCold, std::uint64_t Generation) {
    if (SaysCold) {
      ColdIn = Generation;
      return false;
    }
    const bool Turns = Generation != 0 && ColdIn == Generation;
    ColdIn = 0;
    return Turns && !Distrusted;
  }
  void distrust() { Distrusted = true; }

private:
  std::uint64_t ColdIn = 0;
  bool Distrusted = false;
};

/// Cold is inferred from what the endpoint does. Cold: one request in flight;
/// every so many successes open one more slot. All slots open at once when the
/// endpoint is in a life in which it was warm before, or when a checked sign
/// turns from cold to warm.
class inferred_warmth final : public warmth {
public:
  inferred_warmth(const owner_settings &Settings, std::uint32_t Slots)
      : Settings(Settings), Slots(Slots), Needed(Settings.RampReplies),
        ProbeDelay(Settings.FirstProbeDelay), Usual(Settings.FirstServiceTime) {
  }

  void forget() override {
    close();
    Needed = Settings.RampReplies;
    Generation = 0;
    FlagWasSet = false;
    OpensAt = {};
    ProbeDelay = Settings.FirstProbeDelay;
  }

  endpoint_cause onReply(const attempt_evidence &Evidence,
                         instant Now) override {
    if (isNewGeneration(Evidence.Generation)) {
      close();
      Usual = service_time(Settings.FirstServiceTime);
      FlagWasSet = Evidence.Cold;
      return endpoint_cause::generation_changed;
    }
    switch (Evidence.Kind) {
    case reply_kind::answered:
      return onAnswer(Evidence, Now);
    case reply_kind::shed:
      return onFailure(Evidence, endpoint_cause::shed, Now);
    case reply_kind::connection_lost:
      return onFailure(Evidence, endpoint_cause::connection_lost, Now);
    case reply_kind::connect_refused:
      return onFailure(Evidence, endpoint_cause::connect_refused, Now);
    case reply_kind::timed_out:
    case reply_kind::expired_running:
      return onTimeout(Evidence, Now);
    default:
      return endpoint_cause::success;
    }
  }

  /// Reports mislead, so one is not believed before it has been checked.
  void onHealth(health_state State, std::uint64_t Reported) override {
    if (isNewGeneration(Reported))
      close();
    if (Reported != Generation || ConfirmedIn != Epoch)
      return; // of an earlier life, perhaps
    const bool SaysCold = State != health_state::warm;
    if (Health.turnsWarm(SaysCold, Reported) && !Warm)
      openBySign();
  }

  void onWarmSeen(std::uint64_t Reported) override {
    WarmGeneration = Reported;
  }

  std::uint32_t open() const override { return Open; }
  instant opensAt() const override { return OpensAt; }
  bool isWarm() const override { return Warm; }
  std::uint32_t epoch() const override { return Epoch; }
  std::uint64_t warmGeneration() const override { return WarmGeneration; }

private:
  /// Bound of the doubling of the successes that open a slot.
  static constexpr std::uint32_t MostDoubling = 8;
  /// An endpoint that never needs all open slots ramps slower by this.
  static constexpr std::uint32_t IdleFactor = 2;

  /// Remembers `Reported`; false for the first one, and for the one before,
  /// which a late report may still carry.
  bool isNewGeneration(std::uint64_t Reported) {
    if (Reported == 0 || Reported == Generation ||
        Reported == EarlierGeneration)
      return false;
    const bool IsFirst = Generation == 0;
    EarlierGeneration = Generation;
    Generation = Reported;
    return !IsFirst;
  }

  void close() {
    Warm = false;
    Open = 1;
    Successes = 0;
    WasFull = false;
    OnTrial = false;
    SlowReplies = 0;
    ++Epoch;
  }

  endpoint_cause onAnswer(const attempt_evidence &Evidence, instant Now) {
    const bool FlagRose = Evidence.Cold && !FlagWasSet;
    FlagWasSet = Evidence.Cold;
    const bool FlagTurned = Flag.turnsWarm(Evidence.Cold, Evidence.Generation);
    if (Warm && FlagRose) {
      close();
      WarmGeneration = 0;
      return endpoint_cause::cold_flag;
    }
    if (Warm && isSlow(Evidence) && isJump(Evidence, Now)) {
      close();
      WarmGeneration = 0;
      Usual = service_time(Settings.FirstServiceTime);
      return endpoint_cause::latency_jump;
    }
    ProbeDelay = Settings.FirstProbeDelay;
    if (!isSlow(Evidence)) {
      SlowReplies = 0;
      Usual.add(Evidence.Latency);
    }
    if (Evidence.Epoch != Epoch)
      return endpoint_cause::success;
    ConfirmedIn = Epoch;
    succeed(Evidence, FlagTurned);
    return endpoint_cause::success;
  }

  bool isSlow(const attempt_evidence &Evidence) const {
    return Usual.seen() &&
           Evidence.Latency > Usual.mean() * Settings.JumpFactor;
  }

  /// Slow requests make a jump when each was sent after the one before had
  /// ended: one pause that holds up many at once is none.
  bool isJump(const attempt_evidence &Evidence, instant Now) {
    if (SlowReplies > 0 && Evidence.Sent < LastSlow)
      return false;
    LastSlow = Now;
    return ++SlowReplies >= Settings.JumpReplies;
  }

  void succeed(const attempt_evidence &Evidence, bool FlagTurned) {
    if (Warm) {
      OnTrial = OnTrial && ++Successes < Needed;
      return;
    }
    const bool WasWarm = WarmGeneration != 0 && !Evidence.Cold &&
                         Evidence.Generation == WarmGeneration;
    if (WasWarm)
      openAll();
    else if (FlagTurned)
      openBySign();
    else
      climb(Evidence);
  }

  void openAll() {
    Warm = true;
    Open = Slots;
    Successes = 0;
    WarmGeneration = Generation;
  }

  void openBySign() {
    openAll();
    OnTrial = true;
  }

  void climb(const attempt_evidence &Evidence) {
    ++Successes;
    WasFull |= Evidence.Saturated;
    if (Successes < Needed * (WasFull ? 1 : IdleFactor))
      return;
    Successes = 0;
    WasFull = false;
    Open = std::min(Open + 1, Slots);
    if (Open < Slots)
      return;
    openAll();
    Needed = Settings.RampReplies;
  }

  endpoint_cause onFailure(const attempt_evidence &Evidence,
                           endpoint_cause Cause, instant Now) {
    if (Evidence.Epoch != Epoch)
      return Cause; // sent before the slots closed
    if (OnTrial) {
      Flag.distrust();
      Health.distrust();
    }
    if (Cause == endpoint_cause::shed || Cause == endpoint_cause::timed_out)
      WarmGeneration = 0; // its life has not changed, yet it bears less
    const bool WasProbe = !Warm && Open == 1;
    if (!Warm && !WasProbe)
      Needed = std::min(Needed * 2, Settings.RampReplies * MostDoubling);
    close();
    const millis Hint =
        std::min(Evidence.RetryAfter, Settings.LongestProbeDelay);
    OpensAt = Now + std::max(ProbeDelay, Hint);
    if (WasProbe)
      ProbeDelay = std::min(ProbeDelay * 2, Settings.LongestProbeDelay);
    return Cause;
  }

  /// A request that was sent shortly before its deadline says nothing. One
  /// timeout of a warm endpoint may be a straggler.
  endpoint_cause onTimeout(const attempt_evidence &Evidence, instant Now) {
    if (Evidence.Latency <= Usual.mean() * Settings.JumpFactor)
      return endpoint_cause::success;
    if (Warm && !isJump(Evidence, Now))
      return endpoint_cause::success;
    return onFailure(Evidence, endpoint_cause::timed_out, Now);
  }

  const owner_settings &Settings;
  std::uint32_t Slots;
  bool Warm = false;
  std::uint32_t Open = 1;
  std::uint32_t Epoch = 0;
  std::uint32_t Needed;        ///< successes that open the next slot
  std::uint32_t Successes = 0; ///< since the last slot opened
  bool WasFull = false;        ///< all open slots were in use since then
  instant OpensAt;
  millis ProbeDelay;
  std::uint64_t Generation = 0;
  std::uint64_t EarlierGeneration = 0;
  std::uint32_t ConfirmedIn = 0; ///< epoch in which a reply had `Generation`
  std::uint64_t WarmGeneration = 0;
  bool FlagWasSet = false;
  checked_sign Flag;
  checked_sign Health;
  bool OnTrial = false; ///< opened by a sign, and not proved since
  service_time Usual;
  std::uint32_t SlowReplies = 0; ///< one after the other
  instant LastSlow;
};

/// Baseline: an endpoint is cold while its health reports say so.
class reported_warmth final : public warmth {
public:
  explicit reported_warmth(std::uint32_t Slots) : Slots(Slots) {}

  void forget() override { Warm = true; }
  endpoint_cause onReply(const attempt_evidence &, instant) override {
    return endpoint_cause::success;
  }
  void onHealth(health_state State, std::uint64_t) override {
    const bool NowWarm = State != health_state::cold;
    Epoch += NowWarm != Warm ? 1 : 0;
    Warm = NowWarm;
  }
  std::uint32_t open() const override { return Warm ? Slots : 1; }
  instant opensAt() const override { return {}; }
  bool isWarm() const override { return Warm; }
  std::uint32_t epoch() const override { return Epoch; }
  void onWarmSeen(std::uint64_t) override {}
  std::uint64_t warmGeneration() const override { return 0; }

private:
  std::uint32_t Slots;
  std::uint32_t Epoch = 0;
  bool Warm = true;
};

} // namespace

std::unique_ptr<warmth> makeWarmth(const owner_settings &Settings,
                                   std::uint32_t Slots) {
  if (Settings.Cold == cold_policy::trust_health)
    return std::make_unique<reported_warmth>(Slots);
  return std::make_unique<inferred_warmth>(Settings, Slots);
}

} // namespace bulrush::query

#include "query/cold_start.h"

#include "query/service_time.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Cold is inferred from what the endpoint does. Cold: one request in flight;
/// every so many successes open one more slot. The flag in a reply can only
/// close slots: an endpoint that says it is warm is not believed.
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
    switch (Evidence.What) {
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

  /// Reports mislead, so one can only close slots, by a new generation.
  void onHealth(health_state, std::uint64_t Reported) override {
    if (isNewGeneration(Reported))
      close();
  }

  std::uint32_t open() const override { return Open; }
  instant opensAt() const override { return OpensAt; }
  bool isWarm() const override { return Warm; }
  std::uint32_t epoch() const override { return Epoch; }

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
    SlowReplies = 0;
    ++Epoch;
  }

  endpoint_cause onAnswer(const attempt_evidence &Evidence, instant Now) {
    const bool FlagRose = Evidence.Cold && !FlagWasSet;
    FlagWasSet = Evidence.Cold;
    if (Warm && FlagRose) {
      close();
      return endpoint_cause::cold_flag;
    }
    if (Warm && isSlow(Evidence) && isJump(Evidence, Now)) {
      close();
      Usual = service_time(Settings.FirstServiceTime);
      return endpoint_cause::latency_jump;
    }
    ProbeDelay = Settings.FirstProbeDelay;
    if (!isSlow(Evidence)) {
      SlowReplies = 0;
      Usual.add(Evidence.Latency);
    }
    if (!Warm && Evidence.Epoch == Epoch)
      climb(Evidence);
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
    Warm = true;
    Needed = Settings.RampReplies;
  }

  endpoint_cause onFailure(const attempt_evidence &Evidence,
                           endpoint_cause Cause, instant Now) {
    if (Evidence.Epoch != Epoch)
      return Cause; // sent before the slots closed
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

  /// One timeout of a warm endpoint may be a straggler.
  endpoint_cause onTimeout(const attempt_evidence &Evidence, instant Now) {
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
  bool FlagWasSet = false;
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

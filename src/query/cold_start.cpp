#include "query/cold_start.h"

#include "query/service_time.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Cold is inferred from what the endpoint does. Cold: one request in flight;
/// each success with all open slots in use opens one more.
class inferred_warmth final : public warmth {
public:
  inferred_warmth(const owner_settings &Settings, std::uint32_t Slots)
      : Settings(Settings), Slots(Slots), ProbeDelay(Settings.FirstProbeDelay),
        Usual(Settings.FirstServiceTime) {}

  void forget() override {
    close();
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
      return onAnswer(Evidence);
    case reply_kind::shed:
      return onFailure(Evidence, endpoint_cause::shed, Now);
    case reply_kind::connection_lost:
      return onFailure(Evidence, endpoint_cause::connection_lost, Now);
    case reply_kind::connect_refused:
      return onFailure(Evidence, endpoint_cause::connect_refused, Now);
    case reply_kind::timed_out:
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
  /// A success with free slots left says less than one with all in use.
  static constexpr double IdleSuccess = 1.0 / 8;

  /// Remembers `Reported`; false for the first one.
  bool isNewGeneration(std::uint64_t Reported) {
    if (Reported == 0 || Reported == Generation)
      return false;
    const bool IsFirst = Generation == 0;
    Generation = Reported;
    return !IsFirst;
  }

  void close() {
    Warm = false;
    Open = 1;
    Credit = 0;
    SlowReplies = 0;
    ++Epoch;
  }

  endpoint_cause onAnswer(const attempt_evidence &Evidence) {
    const bool FlagRose = Evidence.Cold && !FlagWasSet;
    FlagWasSet = Evidence.Cold;
    if (Warm && FlagRose) {
      close();
      return endpoint_cause::cold_flag;
    }
    if (Warm && isJump(Evidence.Latency)) {
      close();
      Usual = service_time(Settings.FirstServiceTime);
      return endpoint_cause::latency_jump;
    }
    if (SlowReplies == 0)
      Usual.add(Evidence.Latency);
    ProbeDelay = Settings.FirstProbeDelay;
    if (!Warm && Evidence.Epoch == Epoch)
      addCredit(Evidence);
    return endpoint_cause::success;
  }

  bool isJump(millis Latency) {
    if (!Usual.seen() || Latency < Usual.mean() * Settings.JumpFactor) {
      SlowReplies = 0;
      return false;
    }
    return ++SlowReplies >= Settings.JumpReplies;
  }

  void addCredit(const attempt_evidence &Evidence) {
    double Worth = Evidence.Saturated ? 1 : IdleSuccess;
    if (Evidence.Cold)
      Worth /= Settings.FlaggedReplies;
    Credit += Worth;
    if (Credit < 1)
      return;
    Credit = 0;
    ++Epoch;
    if (Open < Slots)
      ++Open;
    else
      Warm = true;
  }

  endpoint_cause onFailure(const attempt_evidence &Evidence,
                           endpoint_cause Cause, instant Now) {
    if (Evidence.Epoch != Epoch && !Warm && Open == 1)
      return Cause; // sent before the slots closed
    const bool ProbeFailed = !Warm && Open == 1;
    close();
    const millis Hint =
        std::min(Evidence.RetryAfter, Settings.LongestProbeDelay);
    OpensAt = Now + std::max(ProbeDelay, Hint);
    if (ProbeFailed)
      ProbeDelay = std::min(ProbeDelay * 2, Settings.LongestProbeDelay);
    return Cause;
  }

  /// One timeout of a warm endpoint may be a straggler.
  endpoint_cause onTimeout(const attempt_evidence &Evidence, instant Now) {
    if (Warm && ++SlowReplies < Settings.JumpReplies)
      return endpoint_cause::success;
    return onFailure(Evidence, endpoint_cause::timed_out, Now);
  }

  const owner_settings &Settings;
  std::uint32_t Slots;
  bool Warm = false;
  std::uint32_t Open = 1;
  std::uint32_t Epoch = 0;
  double Credit = 0; ///< of successes, towards the next slot
  instant OpensAt;
  millis ProbeDelay;
  std::uint64_t Generation = 0;
  bool FlagWasSet = false;
  service_time Usual;
  std::uint32_t SlowReplies = 0;
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

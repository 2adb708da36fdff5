/// Compares the replies of a rollout's target version with those of the old.
#pragma once

#include "relay/rollout_report.h"

#include <deque>
#include <map>

namespace bulrush::relay {

enum class rollout_verdict : std::uint8_t {
  undecided, ///< too few replies
  good,      ///< so far no worse than the old version
  bad        ///< final
};

/// Counts of replies of one version.
struct reply_tally {
  double Answers = 0;  ///< failures included
  double Failures = 0; ///< replies that report or are an error
  double Timed = 0;    ///< replies whose latency could be compared
  double Slow = 0;     ///< those of `Timed` that are slow

  reply_tally &operator+=(const reply_tally &Other);
};

/// Sequential test on the share of bad replies: cumulative sums of
/// log-likelihood ratios (CUSUM). They return to 0 while the replies are good,
/// so that a fault that starts late is found as quickly as one that shows at
/// once.
class sequential_test {
public:
  /// At most `MaxWeight` replies of any `BatchTime` count in full; more are
  /// scaled down to it, as replies of one moment share their causes.
  explicit sequential_test(double MaxWeight) : MaxWeight(MaxWeight) {}
  /// Adds `Count` replies of which `Bad` are bad, where the old version has the
  /// share `OldShare` of bad replies.
  void add(double Count, double Bad, double OldShare, instant Now);
  /// Natural logarithm of the likelihood ratio.
  double evidence() const;

private:
  static constexpr std::size_t Hypotheses = 2;
  double ratio(std::size_t Hypothesis) const;

  double MaxWeight;
  std::array<double, Hypotheses> Sums{}; ///< of the batches that have ended
  instant BatchStart{-1e300};
  double Count = 0; ///< of the present batch
  double Bad = 0;
  double OldShare = 0;
};

/// One object for each rollout in progress. Deterministic, no I/O. Attempts
/// without any reply are not judged.
class rollout_judge {
public:
  struct result {
    rollout_verdict Verdict = rollout_verdict::undecided;
    std::string Reason; ///< of a verdict `bad`, or of the highest suspicion
    /// From 0 to 1: evidence against the version relative to what the verdict
    /// `bad` needs.
    double Suspicion = 0;
    /// Enough evidence for a rollback when no time is left for more.
    bool IsSuspect = false;
    reply_tally Old;
    reply_tally New;
  };

  /// Adds replies to the requests of one route.
  void add(const std::string &RouteKey, const version_counts &Old,
           const version_counts &New);
  /// Judges the replies added since the last call. `IsStrained`: the target
  /// version has a load, or losses of endpoints, that the old version did not
  /// have while it was measured. Then slow replies are no evidence, and
  /// failures only if they are many.
  result evaluate(bool IsStrained, instant Now);

private:
  struct old_batch {
    instant At;
    version_counts Counts;
  };
  struct comparison {
    sequential_test Failures;
    sequential_test Slow;
    reply_tally New; ///< without strain
    comparison();
  };
  /// Shares of bad replies that the old version has.
  struct old_shares {
    double Failures = 0;
    double Slow = 0;
  };
  struct route_state {
    version_counts OldTotal;
    std::deque<old_batch> OldRecent;
    version_counts OldPending;
    version_counts NewPending;
    comparison Compared;
    bool IsTimed = false; ///< the old median is known
    std::size_t SlowBin = LatencyBins;
  };

  static void takeOld(route_state &Route, instant Now);
  static reply_tally tally(const route_state &Route,
                           const version_counts &Counts);
  static reply_tally takeNew(route_state &Route);
  static old_shares sharesOf(const reply_tally &Total,
                             const reply_tally &Recent, old_shares Prior);
  static void compare(comparison &With, const reply_tally &New,
                      old_shares Shares, bool IsStrained, instant Now);
  static void assess(const comparison &Of, old_shares Shares,
                     const std::string &Where, result &Out);

  std::map<std::string, route_state> Routes;
  comparison Overall;
  reply_tally NewTotal;
  result Last;
};

} // namespace bulrush::relay

/// Decides which software versions of one service get requests.
#pragma once

#include "relay/version_policy.h"

#include <initializer_list>

namespace bulrush::relay {

/// What the policy of a service says about the version of an endpoint. The
/// values are bits of a `role_set`.
enum class version_role : std::uint8_t {
  /// May get requests; every version of a service without policy.
  current = 1,
  target = 2,    ///< version of the rollout in progress
  unordered = 4, ///< gets requests only while no current endpoint is listed
  barred = 8     ///< was rolled back; gets no requests
};

/// A set of roles.
class role_set {
public:
  constexpr role_set() = default;
  constexpr role_set(std::initializer_list<version_role> Roles) {
    for (const version_role Each : Roles)
      Bits |= static_cast<unsigned>(Each);
  }

  constexpr bool contains(version_role Role) const {
    return (Bits & static_cast<unsigned>(Role)) != 0;
  }
  constexpr bool isEmpty() const { return Bits == 0; }
  constexpr role_set with(role_set Other) const {
    role_set Out = *this;
    Out.Bits |= Other.Bits;
    return Out;
  }
  /// Whether a role is in both sets.
  constexpr bool meets(role_set Other) const {
    return (Bits & Other.Bits) != 0;
  }
  bool operator==(const role_set &) const = default;

private:
  unsigned Bits = 0;
};

/// Endpoints of every version, as used for a service without policy.
inline constexpr role_set AllRoles{version_role::current, version_role::target,
                                   version_role::unordered,
                                   version_role::barred};

/// Endpoints that one attempt may be sent to.
struct version_choice {
  role_set Preferred;
  role_set Otherwise; ///< if no preferred endpoint accepts the attempt
  /// `Otherwise` only if no preferred endpoint can take requests at all, or
  /// after a pause that ends in time.
  bool IsLastResort = false;

  role_set all() const { return Preferred.with(Otherwise); }
};

/// The part of a service's policy that one relay acts on, without I/O.
///
/// While a rollout is in progress, first attempts are split by smooth weighted
/// round robin: each first attempt that is sent adds the share to a credit, and
/// one for the target is due whenever the credit reaches 1. The credit starts
/// at a random value, so that the first attempts of many relays that see less
/// than one request for the target each still add up to the share.
class version_split {
public:
  /// `Seed` determines the start of the credits; it differs between relays.
  version_split(version_policy Policy, std::uint64_t Seed);

  const version_policy &policy() const { return Policy; }
  /// A policy with another rollout starts with a new credit.
  void setPolicy(version_policy New);
  /// Sets the roles of the listed endpoints.
  void setListed(role_set Roles) { Listed = Roles; }
  /// Sets how many relays send requests to the service; at least 1.
  void setRelayCount(std::uint32_t Count) { RelayCount = Count; }

  version_role roleOf(const software_version &Version) const;
  bool isInProgress() const {
    return Policy.State == rollout_state::in_progress;
  }
  /// The share of the target version that the relay acts on: 0 while it is out
  /// of touch with the leader.
  double share(bool IsInTouch) const;
  /// Which endpoints an attempt may be sent to. Hedges and retries are no first
  /// attempts.
  version_choice choose(bool IsFirstAttempt, bool IsInTouch) const;
  /// Records that a first attempt was sent.
  void onFirstAttempt(version_role To, bool IsInTouch);
  /// Endpoints that get requests while the relay is in touch with the leader.
  role_set used() const;

private:
  bool isTargetDue(double Share) const { return Credit + Share >= 1; }
  bool mayReplaceOld(double Share) const;
  role_set oldRoles() const;
  double drawStart() const;

  version_policy Policy;
  std::uint64_t Seed;
  role_set Listed;
  std::uint32_t RelayCount = 1;
  double Credit = 0; ///< of the target, in first attempts
};

} // namespace bulrush::relay

/// Time in milliseconds: the one duration type, the one point type and the
/// clock that cores never see.
#pragma once

#include <compare>

namespace bulrush {

/// A duration in milliseconds; fractions are allowed. Example: `millis{2.5} +
/// millis{1}`.
struct millis {
  double Count = 0;

  constexpr auto operator<=>(const millis &) const = default;
  constexpr millis operator+(millis Other) const {
    return {Count + Other.Count};
  }
  constexpr millis operator-(millis Other) const {
    return {Count - Other.Count};
  }
  constexpr millis operator*(double Factor) const { return {Count * Factor}; }
  constexpr double operator/(millis Other) const { return Count / Other.Count; }
  constexpr millis &operator+=(millis Other) {
    Count += Other.Count;
    return *this;
  }
};

/// A point on the monotonic clock of one process, in milliseconds since an
/// arbitrary start. Points of two processes must never be compared.
struct instant {
  double Ms = 0;

  constexpr auto operator<=>(const instant &) const = default;
  constexpr instant operator+(millis D) const { return {Ms + D.Count}; }
  constexpr instant operator-(millis D) const { return {Ms - D.Count}; }
  constexpr millis operator-(instant Other) const { return {Ms - Other.Ms}; }
};

/// A point later than every other.
inline constexpr instant Never{1e300};

/// Source of `instant`s. Shells hold one; a core gets `Now` as an argument
/// instead.
class clock_source {
public:
  virtual ~clock_source() = default;
  virtual instant now() const = 0;
};

/// The monotonic clock of the operating system.
class steady_clock_source final : public clock_source {
public:
  instant now() const override;
};

/// Like the monotonic clock, but it also counts the time for which the machine
/// was suspended: a lease must not outlive a suspension.
class boot_clock_source final : public clock_source {
public:
  instant now() const override;
};

} // namespace bulrush

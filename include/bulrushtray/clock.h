/// Durations, time points and clocks, all in milliseconds.
#pragma once

#include <compare>

namespace bulrush {

/// A duration in milliseconds, possibly fractional. Example: `millis{2.5} +
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

/// A time point on the monotonic clock of one process, in milliseconds since an
/// arbitrary epoch. Time points of two processes must never be compared.
struct instant {
  double Ms = 0;

  constexpr auto operator<=>(const instant &) const = default;
  constexpr instant operator+(millis D) const { return {Ms + D.Count}; }
  constexpr instant operator-(millis D) const { return {Ms - D.Count}; }
  constexpr millis operator-(instant Other) const { return {Ms - Other.Ms}; }
};

/// Compares greater than every time point in use.
inline constexpr instant Never{1e300};

/// Reads the current time. Only the I/O shells hold a clock; the cores are
/// deterministic and get the current time as the argument `Now`.
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

/// A monotonic clock that also advances while the machine is suspended, so that
/// a lease does not outlive a suspension.
class boot_clock_source final : public clock_source {
public:
  instant now() const override;
};

} // namespace bulrush

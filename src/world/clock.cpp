#include "bulrushtray/clock.h"

#include <chrono>
#include <ctime>

namespace bulrush {

instant steady_clock_source::now() const {
  using fractional_millis = std::chrono::duration<double, std::milli>;
  const auto SinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return {fractional_millis(SinceStart).count()};
}

instant boot_clock_source::now() const {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return {static_cast<double>(Time.tv_sec) * 1e3 +
          static_cast<double>(Time.tv_nsec) / 1e6};
}

} // namespace bulrush

#include "bulrushtray/clock.h"

#include <chrono>

namespace bulrush {

instant steady_clock_source::now() const {
  using fractional_millis = std::chrono::duration<double, std::milli>;
  const auto SinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return {fractional_millis(SinceStart).count()};
}

} // namespace bulrush

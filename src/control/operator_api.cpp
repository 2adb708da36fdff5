#include "control/operator_api.h"

#include <array>

namespace bulrush::control {

std::string_view toString(confirm_status Status) {
  constexpr std::array<std::string_view, 6> Names = {
      "accepted", "conflict", "invalid", "reused_id", "not_run", "unknown"};
  return Names[static_cast<std::size_t>(Status)];
}

} // namespace bulrush::control

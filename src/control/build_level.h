/// The level of this build, by which processes of different builds tell what
/// the others understand.
#pragma once

#include <cstdint>

namespace bulrush::control {

/// Level of this build. It rises with each kind of log entry or snapshot field
/// that the builds before do not understand. Builds that announce no level
/// have level 0.
inline constexpr std::uint32_t BuildLevel = 1;

} // namespace bulrush::control

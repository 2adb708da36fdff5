/// Numbers as text.
#pragma once

#include <string>

namespace bulrush {

/// Returns the shortest decimal text that reads back as the same number.
std::string toShortestText(double Number);

} // namespace bulrush

#include "world/number_text.h"

#include <array>
#include <charconv>

namespace bulrush {

std::string toShortestText(double Number) {
  std::array<char, 32> Text{};
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Number);
  return {Text.data(), End.ptr};
}

} // namespace bulrush

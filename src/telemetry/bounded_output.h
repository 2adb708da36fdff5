/// Lines to a descriptor that nobody may be reading.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace bulrush::telemetry {

/// Holds at most `Bound` bytes of lines and writes what the descriptor takes
/// without waiting. What does not fit is dropped, counted, and told by a line
/// of its own once there is room. Not safe to use from several threads.
class bounded_output {
public:
  /// Does not own `Descriptor`.
  explicit bounded_output(int Descriptor, std::size_t Bound = 256 << 10)
      : Descriptor(Descriptor), Bound(Bound) {}

  /// Takes one line without its end.
  void append(const std::string &Line);
  /// Writes as much as goes without waiting.
  void flush();

  std::uint64_t dropped() const { return Dropped; }
  std::size_t held() const { return Held; }

private:
  bool hasRoom() const;

  int Descriptor;
  std::size_t Bound;
  std::deque<std::string> Lines;
  std::size_t Held = 0;    ///< bytes
  std::size_t Written = 0; ///< bytes of the first line
  std::uint64_t Dropped = 0;
  std::uint64_t Untold = 0; ///< dropped since the last line that tells so
};

} // namespace bulrush::telemetry

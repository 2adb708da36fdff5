/// Non-blocking line output to a descriptor whose reader may have stalled.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace bulrush::telemetry {

/// Buffers at most `MaxBytes` bytes of lines and writes them without blocking.
/// Lines that do not fit are dropped and counted; once the buffer has room
/// again, a line `event=lines_dropped` reports their number. Not thread-safe.
class bounded_output {
public:
  /// Does not own `Descriptor`.
  explicit bounded_output(int Descriptor, std::size_t MaxBytes = 256 << 10)
      : Descriptor(Descriptor), MaxBytes(MaxBytes) {}

  /// Adds one line, given without its newline, to the buffer or drops it.
  void append(const std::string &Line);
  /// Writes as many buffered bytes as the descriptor accepts without blocking.
  void flush();

  std::uint64_t dropped() const { return Dropped; }
  std::size_t bufferedBytes() const { return BufferedBytes; }

private:
  /// Whether the descriptor accepts `PIPE_BUF` bytes without blocking.
  bool isWritable() const;

  int Descriptor;
  std::size_t MaxBytes;
  std::deque<std::string> Lines;
  std::size_t BufferedBytes = 0;    ///< with newlines
  std::size_t FirstLineWritten = 0; ///< bytes
  std::uint64_t Dropped = 0;
  std::uint64_t UnreportedDrops = 0; ///< lines dropped since the last report
};

} // namespace bulrush::telemetry

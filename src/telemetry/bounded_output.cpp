#include "telemetry/bounded_output.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace bulrush::telemetry {

void bounded_output::append(const std::string &Line) {
  if (BufferedBytes + Line.size() + 1 > MaxBytes) {
    ++Dropped;
    ++UnreportedDrops;
    return;
  }
  if (UnreportedDrops > 0) {
    Lines.push_back(
        "event=lines_dropped count=" + std::to_string(UnreportedDrops) + '\n');
    BufferedBytes += Lines.back().size();
    UnreportedDrops = 0;
  }
  Lines.push_back(Line + '\n');
  BufferedBytes += Lines.back().size();
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
bool bounded_output::isWritable() const {
  pollfd Poll{Descriptor, POLLOUT, 0};
  return ::poll(&Poll, 1, 0) > 0 && (Poll.revents & POLLOUT) != 0;
}

void bounded_output::flush() {
  while (!Lines.empty() && isWritable()) {
    const std::string &First = Lines.front();
    const std::size_t Size =
        std::min<std::size_t>(First.size() - FirstLineWritten, PIPE_BUF);
    const ssize_t Count =
        ::write(Descriptor, First.data() + FirstLineWritten, Size);
    if (Count <= 0)
      return;
    FirstLineWritten += static_cast<std::size_t>(Count);
    if (FirstLineWritten < First.size())
      continue;
    BufferedBytes -= First.size();
    FirstLineWritten = 0;
    Lines.pop_front();
  }
}

} // namespace bulrush::telemetry

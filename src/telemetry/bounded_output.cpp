#include "telemetry/bounded_output.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace bulrush::telemetry {

void bounded_output::append(const std::string &Line) {
  if (Held + Line.size() + 1 > Bound) {
    ++Dropped;
    ++Untold;
    return;
  }
  if (Untold > 0) {
    Lines.push_back("event=lines_dropped count=" + std::to_string(Untold) +
                    '\n');
    Held += Lines.back().size();
    Untold = 0;
  }
  Lines.push_back(Line + '\n');
  Held += Lines.back().size();
}

/// A descriptor that polls as writable takes this many bytes at once.
bool bounded_output::hasRoom() const {
  pollfd Poll{Descriptor, POLLOUT, 0};
  return ::poll(&Poll, 1, 0) > 0 && (Poll.revents & POLLOUT) != 0;
}

void bounded_output::flush() {
  while (!Lines.empty() && hasRoom()) {
    const std::string &First = Lines.front();
    const std::size_t Size =
        std::min<std::size_t>(First.size() - Written, PIPE_BUF);
    const ssize_t Taken = ::write(Descriptor, First.data() + Written, Size);
    if (Taken <= 0)
      return;
    Written += static_cast<std::size_t>(Taken);
    if (Written < First.size())
      continue;
    Held -= First.size();
    Written = 0;
    Lines.pop_front();
  }
}

} // namespace bulrush::telemetry

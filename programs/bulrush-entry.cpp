/// bulrush-entry: the entry daemon of bulrushtray.
#include "command_line.h"
#include "daemon/entry_daemon.h"
#include "settings/entry_settings.h"

using namespace bulrush;

namespace {

constexpr const char *Purpose =
    "Entry daemon of bulrushtray: receives searches and commands from callers, "
    "forwards them to the endpoints and merges the responses. Stops gracefully "
    "on SIGTERM. Exit codes: 0 stopped, 1 failed, 2 bad settings, 3 stopped "
    "with requests unfinished.";

} // namespace

int main(int Count, char **Arguments) {
  return programs::runDaemon<daemon::entry_daemon>(
      "entry", Purpose, settings::loadEntrySettings, Count, Arguments);
}

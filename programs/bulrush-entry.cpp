/// bulrush-entry: one entry process of bulrushtray.
#include "command_line.h"
#include "daemon/entry_daemon.h"
#include "settings/entry_settings.h"

using namespace bulrush;

namespace {

constexpr const char *Purpose =
    "Entry daemon of bulrushtray: takes callers' searches and commands, sends "
    "them to the endpoints and gathers the answers. Stops gracefully on "
    "SIGTERM. Exit codes: 0 stopped, 1 failed, 2 bad settings, 3 stopped with "
    "work cut off.";

} // namespace

int main(int Count, char **Arguments) {
  return programs::runDaemon<daemon::entry_daemon>(
      "entry", Purpose, settings::loadEntrySettings, Count, Arguments);
}

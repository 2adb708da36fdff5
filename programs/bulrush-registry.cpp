// The registry on the users' platform: a voter that replicates the catalog.
#include "fleet/registry_daemon.h"
#include "platform/adapter.h"

#include <tclap/CmdLine.h>

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Registry of a fleet of relays");
  TCLAP::ValueArg<std::uint32_t> FleetSize(
      "", "registries",
      "registries of a new fleet, if there are exactly two for each one that "
      "may be lost and one more; 0: unknown",
      false, 0, "number", Line);
  Line.parse(Count, Arguments);
  const auto Adapter = bulrush::platform::makeAdapter();
  return bulrush::fleet::runRegistry(Adapter, FleetSize.getValue());
}

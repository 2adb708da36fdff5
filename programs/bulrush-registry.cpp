// The registry on the users' platform: a voter that replicates the catalog.
#include "fleet/registry_daemon.h"
#include "platform/adapter.h"

int main() {
  const auto Adapter = bulrush::platform::makeAdapter();
  return bulrush::fleet::runRegistry(Adapter);
}

// The registry on the users' platform: a voter with the replicated catalog.
#include "fleet/registry_daemon.h"
#include "platform/adapter.h"

int main() {
  const auto Adapter = bulrush::platform::makeAdapter();
  return bulrush::fleet::runRegistry(Adapter);
}

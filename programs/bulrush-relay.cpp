// The relay on the users' platform: forwards client requests to endpoints.
#include "fleet/relay_daemon.h"
#include "platform/adapter.h"

int main() {
  const auto Adapter = bulrush::platform::makeAdapter();
  return bulrush::fleet::runRelay(Adapter);
}

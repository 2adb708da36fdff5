#include "fleet/catalog_feed.h"

#include "telemetry/log.h"

namespace bulrush::fleet {

void catalog_feed::update(const control::registry_state &State) {
  if (State.CatalogVersion <= Current.Version.Value)
    return;
  auto New = Codec->decode(*State.Catalog);
  if (!New) {
    telemetry::logEvent(
        telemetry::severity::error, "catalog_refused",
        {{"version", State.CatalogVersion}, {"error", New.error().Message}});
    return;
  }
  Last = changeBetween(Current, *New);
  Current = std::move(*New);
}

std::optional<relay::catalog_change>
catalog_feed::changeSince(std::uint64_t Held) const {
  if (Held >= Current.Version.Value)
    return std::nullopt;
  return Last.Base.Value == Held ? Last : fullChange(Current);
}

} // namespace bulrush::fleet

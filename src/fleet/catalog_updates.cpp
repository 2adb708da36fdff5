#include "fleet/catalog_updates.h"

#include "telemetry/log.h"

namespace bulrush::fleet {

void catalog_updates::update(const control::registry_state &State) {
  if (State.CatalogVersion <= Current.Version.Value)
    return;
  auto New = Codec->decode(*State.Catalog);
  if (!New) {
    telemetry::logEvent(
        telemetry::severity::error, "catalog_refused",
        {{"version", State.CatalogVersion}, {"error", New.error().Message}});
    return;
  }
  LastChange = changeBetween(Current, *New);
  Current = std::move(*New);
}

std::optional<relay::catalog_change>
catalog_updates::changeSince(std::uint64_t HeldVersion) const {
  if (HeldVersion >= Current.Version.Value)
    return std::nullopt;
  return LastChange.Base.Value == HeldVersion ? LastChange
                                              : fullChange(Current);
}

} // namespace bulrush::fleet

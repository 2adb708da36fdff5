#include "fleet/catalog_updates.h"

#include "telemetry/log.h"

#include <algorithm>

namespace bulrush::fleet {

void catalog_updates::update(const control::registry_state &State) {
  if (State.CatalogVersion <= LoggedVersion)
    return;
  auto New = Codec->restore(*State.Catalog);
  if (!New) {
    telemetry::logEvent(
        telemetry::severity::error, "catalog_refused",
        {{"version", State.CatalogVersion}, {"error", New.error().Message}});
    return;
  }
  LoggedVersion = State.CatalogVersion;
  StatedVersion = New->Version.Value == 0 ? LoggedVersion : New->Version.Value;
  if (StatedVersion != LoggedVersion)
    telemetry::logEvent(
        telemetry::severity::warning, "catalog_version_rounded",
        {{"version", StatedVersion}, {"logged_version", LoggedVersion}});
  New->Version = {std::max(LoggedVersion, StatedVersion)};
  LastChange = changeBetween(Current, *New);
  Current = std::move(*New);
}

bool catalog_updates::isBetweenVersions(std::uint64_t Version) const {
  const auto [Low, High] = std::minmax(LoggedVersion, StatedVersion);
  return Version > Low && Version <= High;
}

std::optional<relay::catalog_change>
catalog_updates::changeSince(std::uint64_t HeldVersion) const {
  if (HeldVersion >= Current.Version.Value)
    return std::nullopt;
  return LastChange.Base.Value == HeldVersion ? LastChange
                                              : fullChange(Current);
}

} // namespace bulrush::fleet

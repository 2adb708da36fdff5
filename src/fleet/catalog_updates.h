/// Decoded catalog changes for relays.
#pragma once

#include "fleet/adapter.h"
#include "relay/catalog_change.h"

namespace bulrush::fleet {

/// Decodes each catalog once for all relays and keeps the change from the
/// previous catalog.
///
/// Builds up to commit 12859f4 round versions above 2^53, so that the version
/// in the log and the one in the catalog's text may differ. Relays then get the
/// higher of the two, since they never go back to a lower one.
class catalog_updates {
public:
  explicit catalog_updates(std::shared_ptr<const catalog_codec> Codec)
      : Codec(std::move(Codec)) {}

  /// Decodes the state's catalog if its version is newer. A catalog that cannot
  /// be decoded is logged and ignored; this is unexpected, because catalogs are
  /// validated before they are accepted.
  void update(const control::registry_state &State);
  /// Returns the latest catalog.
  const relay::catalog &current() const { return Current; }
  /// Returns the version that operators gave the latest catalog.
  std::uint64_t statedVersion() const { return StatedVersion; }
  /// Returns whether `Version` lies between the version in the log and the one
  /// in the text, so that the log would not order it as operators do.
  bool isBetweenVersions(std::uint64_t Version) const;
  /// Returns the update for a relay that holds version `HeldVersion`: the last
  /// change, or the full catalog for an older version. Returns nothing if the
  /// relay is up to date.
  std::optional<relay::catalog_change>
  changeSince(std::uint64_t HeldVersion) const;

private:
  std::shared_ptr<const catalog_codec> Codec;
  relay::catalog Current;
  std::uint64_t LoggedVersion = 0;  ///< of `Current` in the log
  std::uint64_t StatedVersion = 0;  ///< of `Current` in its text
  relay::catalog_change LastChange; ///< from the previous catalog to `Current`
};

} // namespace bulrush::fleet

/// The catalog in force, as relays are told it.
#pragma once

#include "fleet/adapter.h"
#include "relay/catalog_change.h"

namespace bulrush::fleet {

/// Decodes each catalog once for all relays, and tells what has changed since
/// the one before.
class catalog_updates {
public:
  explicit catalog_updates(std::shared_ptr<const catalog_codec> Codec)
      : Codec(std::move(Codec)) {}

  /// Takes the state's catalog where it is a new one. What cannot be decoded is
  /// logged and left out: it was checked before it was accepted.
  void update(const control::registry_state &State);
  /// What a relay needs that holds this version; nothing when it needs none.
  std::optional<relay::catalog_change>
  changeSince(std::uint64_t HeldVersion) const;

private:
  std::shared_ptr<const catalog_codec> Codec;
  relay::catalog Current;
  relay::catalog_change LastChange; ///< from the one before to `Current`
};

} // namespace bulrush::fleet

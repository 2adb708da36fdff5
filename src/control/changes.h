/// Changes that operators may ask for, and what each does to the accepted
/// configuration.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/fleet_config.h"

#include <string>
#include <variant>

namespace bulrush::control {

/// Creates an intent, or replaces the one of the same name.
struct put_intent {
  intent Intent;

  bool operator==(const put_intent &) const = default;
};
/// Removes an intent.
struct drop_intent {
  intent_name Name;

  bool operator==(const drop_intent &) const = default;
};
/// Takes a zone out: its endpoints get no new work.
struct zone_out {
  zone_id Zone;

  bool operator==(const zone_out &) const = default;
};
/// Brings a zone back.
struct zone_in {
  zone_id Zone;

  bool operator==(const zone_in &) const = default;
};
/// An endpoint starts leaving: it gets no new work.
struct endpoint_leave {
  endpoint_id Endpoint;

  bool operator==(const endpoint_leave &) const = default;
};
/// A leaving endpoint takes part again.
struct endpoint_return {
  endpoint_id Endpoint;

  bool operator==(const endpoint_return &) const = default;
};
/// A machine with a disk joins the voters of the replicated log.
struct add_voter {
  vm_id Vm;

  bool operator==(const add_voter &) const = default;
};
/// A machine leaves the voters of the replicated log.
struct remove_voter {
  vm_id Vm;

  bool operator==(const remove_voter &) const = default;
};

using change =
    std::variant<put_intent, drop_intent, zone_out, zone_in, endpoint_leave,
                 endpoint_return, add_voter, remove_voter>;

/// One line that names every field of the change. Equal changes have equal
/// lines, different ones different lines.
std::string describe(const change &Change);

/// A number that tells different changes apart, for recognising a resend.
std::uint64_t fingerprint(const change &Change);

/// A number that tells different configurations apart, for finding a copy that
/// has gone astray.
std::uint64_t digest(const fleet_config &Config);

/// Checks a change against the deployment and the configuration it would apply
/// to. The error names the field, the value and what is allowed.
expected<void> validate(const deployment &Deployment,
                        const fleet_config &Config, const change &Change);

/// Applies a change that `validate` accepts; the revision goes up by one.
void applyTo(fleet_config &Config, const change &Change);

} // namespace bulrush::control

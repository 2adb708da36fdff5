/// Changes that operators can make to the configuration.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/fleet_config.h"

#include <string>
#include <variant>

namespace bulrush::control {

/// Creates an intent, or replaces the intent of the same name.
struct put_intent {
  intent Intent;

  bool operator==(const put_intent &) const = default;
};
/// Removes an intent.
struct drop_intent {
  intent_name Name;

  bool operator==(const drop_intent &) const = default;
};
/// Takes a zone out of service: its endpoints get no new requests.
struct zone_out {
  zone_id Zone;

  bool operator==(const zone_out &) const = default;
};
/// Returns a zone to service.
struct zone_in {
  zone_id Zone;

  bool operator==(const zone_in &) const = default;
};
/// Drains an endpoint: it gets no new requests.
struct endpoint_leave {
  endpoint_id Endpoint;

  bool operator==(const endpoint_leave &) const = default;
};
/// Returns a draining endpoint to service.
struct endpoint_return {
  endpoint_id Endpoint;

  bool operator==(const endpoint_return &) const = default;
};
/// Adds a VM with a disk to the voters of the replicated log.
struct add_voter {
  vm_id Vm;

  bool operator==(const add_voter &) const = default;
};
/// Removes a VM from the voters of the replicated log.
struct remove_voter {
  vm_id Vm;

  bool operator==(const remove_voter &) const = default;
};

using change =
    std::variant<put_intent, drop_intent, zone_out, zone_in, endpoint_leave,
                 endpoint_return, add_voter, remove_voter>;

/// Formats a change in one line with all its fields. Two changes are equal
/// exactly if their lines are equal.
std::string describe(const change &Change);

/// Returns a hash of a change, which detects whether a command is a resend.
std::uint64_t fingerprint(const change &Change);

/// Returns a hash of a configuration, which detects replicas that differ.
std::uint64_t digest(const fleet_config &Config);

/// Checks a change against the deployment and the configuration it would apply
/// to. The error states the field, its value and the allowed values.
expected<void> validate(const deployment &Deployment,
                        const fleet_config &Config, const change &Change);

/// Applies a change that `validate` accepts and increments the revision.
void applyTo(fleet_config &Config, const change &Change);

} // namespace bulrush::control

/// Table of the sub-requests that an owner has admitted.
#pragma once

#include "query/owner_events.h"

#include <cstddef>
#include <memory_resource>
#include <optional>
#include <unordered_map>

namespace bulrush::query {

enum class work_state : std::uint8_t {
  free,
  queued,
  sent,
  abandoned ///< replied to, but it may still run at the endpoint
};

/// One admitted sub-request.
struct work_item {
  sub_request Request;
  vm_id From;
  incarnation_id Incarnation;
  shared_body Body;
  instant Arrived;
  instant Deadline;
  instant Sent;
  std::uint32_t InFlightAtSend =
      0;                   ///< requests in flight just after it was sent
  bool Saturated = false;  ///< it took the last allowed slot
  std::uint32_t Epoch = 0; ///< `cold_start_state::epoch` when it was sent
  bool CancelSent = false;
  work_state State = work_state::free;
};

/// Reuses its entries, so that steady traffic allocates no memory for them.
class work_table {
public:
  explicit work_table(std::pmr::memory_resource &Memory) : ByKey(&Memory) {}

  /// Returns nothing if the table already holds this sub-request of the same
  /// process.
  std::optional<attempt_id> add(work_item &&Item) {
    const sub_request_key Key{Item.From, Item.Incarnation, Item.Request.Sub};
    const auto [Position, IsNew] = ByKey.try_emplace(Key);
    if (!IsNew)
      return std::nullopt;
    const std::uint32_t Index = allocateIndex();
    entry &Entry = Entries[Index];
    Entry.Item = std::move(Item);
    Position->second = {(Entry.Generation << 32) | Index};
    return Position->second;
  }

  /// Returns null if the item has been removed.
  work_item *find(attempt_id Attempt) {
    const auto Index = static_cast<std::uint32_t>(Attempt.Value);
    if (Index >= Entries.size())
      return nullptr;
    entry &Entry = Entries[Index];
    const bool IsSame = Entry.Generation == Attempt.Value >> 32;
    return IsSame && Entry.Item.State != work_state::free ? &Entry.Item
                                                          : nullptr;
  }

  /// Returns the item of an attempt that must be in the table.
  const work_item &get(attempt_id Attempt) const {
    return Entries[static_cast<std::uint32_t>(Attempt.Value)].Item;
  }
  work_item &get(attempt_id Attempt) {
    return Entries[static_cast<std::uint32_t>(Attempt.Value)].Item;
  }

  std::optional<attempt_id> find(vm_id From, incarnation_id Incarnation,
                                 sub_id Sub) const {
    const auto Found = ByKey.find({From, Incarnation, Sub});
    if (Found == ByKey.end())
      return std::nullopt;
    return Found->second;
  }

  /// Removes the lookup by VM, incarnation and sub-request id; the item stays
  /// in the table.
  void eraseKey(const work_item &Item) {
    ByKey.erase({Item.From, Item.Incarnation, Item.Request.Sub});
  }

  void remove(attempt_id Attempt) {
    const auto Index = static_cast<std::uint32_t>(Attempt.Value);
    entry &Entry = Entries[Index];
    Entry.Item.State = work_state::free;
    Entry.Item.Body.reset();
    ++Entry.Generation;
    FreeIndices.push_back(Index);
  }

  std::size_t size() const { return Entries.size() - FreeIndices.size(); }

private:
  struct sub_request_key {
    vm_id From;
    incarnation_id Incarnation;
    sub_id Sub;
    bool operator==(const sub_request_key &) const = default;
  };
  struct sub_request_key_hash {
    std::size_t operator()(const sub_request_key &Key) const {
      constexpr std::uint64_t OddMultiplier = 0x9e3779b97f4a7c15;
      std::uint64_t Hash = Key.Sub.Value * OddMultiplier;
      Hash = (Hash ^ Key.Incarnation.Value ^ Key.From.Value) * OddMultiplier;
      return Hash ^ (Hash >> 32);
    }
  };
  struct entry {
    work_item Item;
    std::uint64_t Generation = 1;
  };

  std::uint32_t allocateIndex() {
    if (FreeIndices.empty()) {
      Entries.emplace_back();
      return static_cast<std::uint32_t>(Entries.size() - 1);
    }
    const std::uint32_t Index = FreeIndices.back();
    FreeIndices.pop_back();
    return Index;
  }

  std::vector<entry> Entries;
  std::vector<std::uint32_t> FreeIndices;
  std::pmr::unordered_map<sub_request_key, attempt_id, sub_request_key_hash>
      ByKey;
};

} // namespace bulrush::query

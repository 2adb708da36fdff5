/// The sub-requests that an owner holds.
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
  abandoned ///< its reply has gone out, but it may still run at the endpoint
};

/// One sub-request at an owner.
struct work_item {
  sub_request Request;
  vm_id From;
  incarnation_id Incarnation;
  shared_body Body;
  instant Arrived;
  instant Deadline;
  instant Sent;
  std::uint32_t Level = 0; ///< in flight when it was sent, itself included
  bool Saturated = false;  ///< it took the last slot that might be used
  std::uint32_t Epoch = 0; ///< `warmth::epoch` when it was sent
  bool CancelSent = false;
  work_state State = work_state::free;
};

/// Slots that are used again, so that steady traffic allocates nothing.
class work_table {
public:
  explicit work_table(std::pmr::memory_resource &Memory) : ByName(&Memory) {}

  /// Fails when the same sub-request of the same process is already held.
  std::optional<attempt_id> add(work_item &&Item) {
    const name Name{Item.From, Item.Incarnation, Item.Request.Sub};
    const auto [Place, IsNew] = ByName.try_emplace(Name);
    if (!IsNew)
      return std::nullopt;
    const std::uint32_t Index = takeIndex();
    entry &Entry = Entries[Index];
    Entry.Item = std::move(Item);
    Place->second = {(Entry.Generation << 32) | Index};
    return Place->second;
  }

  /// Null when the item is gone.
  work_item *find(attempt_id Attempt) {
    const auto Index = static_cast<std::uint32_t>(Attempt.Value);
    if (Index >= Entries.size())
      return nullptr;
    entry &Entry = Entries[Index];
    const bool IsSame = Entry.Generation == Attempt.Value >> 32;
    return IsSame && Entry.Item.State != work_state::free ? &Entry.Item
                                                          : nullptr;
  }

  /// The item of an attempt that is held.
  const work_item &get(attempt_id Attempt) const {
    return Entries[static_cast<std::uint32_t>(Attempt.Value)].Item;
  }
  work_item &get(attempt_id Attempt) {
    return Entries[static_cast<std::uint32_t>(Attempt.Value)].Item;
  }

  std::optional<attempt_id> find(vm_id From, incarnation_id Incarnation,
                                 sub_id Sub) const {
    const auto Found = ByName.find({From, Incarnation, Sub});
    if (Found == ByName.end())
      return std::nullopt;
    return Found->second;
  }

  /// The item can no longer be found by its name; its slot stays taken.
  void forgetName(const work_item &Item) {
    ByName.erase({Item.From, Item.Incarnation, Item.Request.Sub});
  }

  void remove(attempt_id Attempt) {
    const auto Index = static_cast<std::uint32_t>(Attempt.Value);
    entry &Entry = Entries[Index];
    Entry.Item.State = work_state::free;
    Entry.Item.Body.reset();
    ++Entry.Generation;
    Free.push_back(Index);
  }

  std::size_t size() const { return Entries.size() - Free.size(); }

private:
  struct name {
    vm_id From;
    incarnation_id Incarnation;
    sub_id Sub;
    bool operator==(const name &) const = default;
  };
  struct name_hash {
    std::size_t operator()(const name &Name) const {
      constexpr std::uint64_t Odd = 0x9e3779b97f4a7c15;
      std::uint64_t Hash = Name.Sub.Value * Odd;
      Hash = (Hash ^ Name.Incarnation.Value ^ Name.From.Value) * Odd;
      return Hash ^ (Hash >> 32);
    }
  };
  struct entry {
    work_item Item;
    std::uint64_t Generation = 1;
  };

  std::uint32_t takeIndex() {
    if (Free.empty()) {
      Entries.emplace_back();
      return static_cast<std::uint32_t>(Entries.size() - 1);
    }
    const std::uint32_t Index = Free.back();
    Free.pop_back();
    return Index;
  }

  std::vector<entry> Entries;
  std::vector<std::uint32_t> Free;
  std::pmr::unordered_map<name, attempt_id, name_hash> ByName;
};

} // namespace bulrush::query

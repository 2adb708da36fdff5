#include "relay/catalog_change.h"

#include <map>

namespace bulrush::relay {

namespace {

const service_name &keyOf(const service &Each) { return Each.Name; }
route_key keyOf(const route &Each) { return {Each.Host, Each.PathPrefix}; }
const account_name &keyOf(const account &Each) { return Each.Name; }

template <class Key, class Item>
std::map<Key, const Item *> byKey(const std::vector<Item> &Items) {
  std::map<Key, const Item *> Out;
  for (const Item &Each : Items)
    Out[keyOf(Each)] = &Each;
  return Out;
}

template <class Key, class Item>
void compare(const std::vector<Item> &Old, const std::vector<Item> &New,
             std::vector<Item> &Changed, std::vector<Key> &Removed) {
  const auto Before = byKey<Key>(Old);
  const auto After = byKey<Key>(New);
  for (const auto &[Name, Each] : After) {
    const auto Known = Before.find(Name);
    if (Known == Before.end() || !(*Known->second == *Each))
      Changed.push_back(*Each);
  }
  for (const auto &[Name, Each] : Before)
    if (!After.count(Name))
      Removed.push_back(Name);
}

template <class Key, class Item>
std::vector<Item> merge(const std::vector<Item> &Old,
                        const std::vector<Item> &Changed,
                        const std::vector<Key> &Removed) {
  auto All = byKey<Key>(Old);
  for (const Item &Each : Changed)
    All[keyOf(Each)] = &Each;
  for (const Key &Each : Removed)
    All.erase(Each);
  std::vector<Item> Out;
  Out.reserve(All.size());
  for (const auto &[Name, Each] : All)
    Out.push_back(*Each);
  return Out;
}

std::optional<std::vector<account>> accountsOf(const catalog_change &Change,
                                               std::vector<account> Accounts) {
  if (!Change.HasAccounts)
    return std::nullopt;
  return Accounts;
}

} // namespace

catalog_change fullChange(const catalog &Catalog) {
  return {{},
          Catalog.Version,
          Catalog.Services,
          {},
          Catalog.Routes,
          {},
          Catalog.Limits,
          Catalog.Accounts.value_or(std::vector<account>{}),
          {},
          Catalog.Accounts.has_value()};
}

catalog_change changeBetween(const catalog &Old, const catalog &New) {
  catalog_change Out;
  Out.Base = Old.Version;
  Out.Version = New.Version;
  Out.Limits = New.Limits;
  compare(Old.Services, New.Services, Out.Services, Out.RemovedServices);
  compare(Old.Routes, New.Routes, Out.Routes, Out.RemovedRoutes);
  const std::vector<account> None;
  compare(Old.Accounts ? *Old.Accounts : None,
          New.Accounts ? *New.Accounts : None, Out.Accounts,
          Out.RemovedAccounts);
  Out.HasAccounts = New.Accounts.has_value();
  return Out;
}

std::optional<catalog> applyChange(const catalog &Old,
                                   const catalog_change &Change) {
  if (Change.isFull())
    return catalog{Change.Version, Change.Services, Change.Routes,
                   Change.Limits, accountsOf(Change, Change.Accounts)};
  if (Change.Base != Old.Version)
    return std::nullopt;
  return catalog{
      Change.Version,
      merge(Old.Services, Change.Services, Change.RemovedServices),
      merge(Old.Routes, Change.Routes, Change.RemovedRoutes), Change.Limits,
      accountsOf(Change, merge(Old.Accounts.value_or(std::vector<account>{}),
                               Change.Accounts, Change.RemovedAccounts))};
}

} // namespace bulrush::relay

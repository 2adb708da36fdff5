#include "relay/catalog_change.h"

#include <map>

namespace bulrush::relay {

namespace {

const service_name &keyOf(const service &Each) { return Each.Name; }
route_key keyOf(const route &Each) { return {Each.Host, Each.PathPrefix}; }

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

} // namespace

catalog_change fullChange(const catalog &Catalog) {
  return {{}, Catalog.Version, Catalog.Services, {}, Catalog.Routes,
          {}, Catalog.Limits};
}

catalog_change changeBetween(const catalog &Old, const catalog &New) {
  catalog_change Out;
  Out.Base = Old.Version;
  Out.Version = New.Version;
  Out.Limits = New.Limits;
  compare(Old.Services, New.Services, Out.Services, Out.RemovedServices);
  compare(Old.Routes, New.Routes, Out.Routes, Out.RemovedRoutes);
  return Out;
}

std::optional<catalog> applyChange(const catalog &Old,
                                   const catalog_change &Change) {
  if (Change.isFull())
    return catalog{Change.Version, Change.Services, Change.Routes,
                   Change.Limits};
  if (Change.Base != Old.Version)
    return std::nullopt;
  return catalog{Change.Version,
                 merge(Old.Services, Change.Services, Change.RemovedServices),
                 merge(Old.Routes, Change.Routes, Change.RemovedRoutes),
                 Change.Limits};
}

} // namespace bulrush::relay

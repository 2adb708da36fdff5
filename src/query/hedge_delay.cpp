#include "query/hedge_delay.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Samples before an estimate is used.
constexpr std::uint32_t EnoughSamples = 20;
constexpr double EndpointStep = 0.05;
constexpr double PoolStep = 0.02;
/// Weight of one reply in the share of late ones.
constexpr float LateWeight = 1.0F / 64;

/// The place for a class in a row that grows on demand.
template <class T>
T &at(std::vector<std::vector<T>> &Table, std::size_t Row, intent_class Class) {
  if (Table.size() <= Row)
    Table.resize(Row + 1);
  std::vector<T> &Cells = Table[Row];
  if (Cells.size() <= Class.Value)
    Cells.resize(Class.Value + 1);
  return Cells[Class.Value];
}

template <class T>
const T *find(const std::vector<std::vector<T>> &Table, std::size_t Row,
              intent_class Class) {
  if (Row >= Table.size() || Class.Value >= Table[Row].size())
    return nullptr;
  return &Table[Row][Class.Value];
}

} // namespace

void quantile_tracker::observe(double Sample, double Quantile, double Step) {
  if (Count == 0)
    Value = static_cast<float>(Sample);
  Count = std::min(Count + 1, SettledSamples);
  const double Factor = Step * SettledSamples / Count;
  const double Limited = std::min(Factor, 0.5);
  if (Sample > Value)
    Value *= static_cast<float>(1 + Limited * Quantile);
  else
    Value *= static_cast<float>(1 - Limited * (1 - Quantile));
}

void hedge_delay::late_share::observe(bool Late) {
  Share += LateWeight * ((Late ? 1.0F : 0.0F) - Share);
}

hedge_delay::hedge_delay(const endpoint_table &Endpoints,
                         const hedge_settings &Settings)
    : Endpoints(Endpoints), Settings(Settings) {}

void hedge_delay::observe(endpoint_id Endpoint, intent_class Class,
                          millis Latency) {
  const endpoint_view &View = Endpoints[Endpoint];
  class_state &Pool = at(PerPool, View.Pool.Value, Class);
  if (Pool.Latency.count() >= EnoughSamples) {
    const bool Late = Latency.Count > Pool.Latency.value();
    Pool.Late.observe(Late);
    at(PerZone, View.Zone.Value, Class).observe(Late);
  }
  Pool.Latency.observe(Latency.Count, Settings.Quantile, PoolStep);
  at(PerEndpoint, Endpoint.Value, Class)
      .observe(Latency.Count, Settings.Quantile, EndpointStep);
}

millis hedge_delay::delay(endpoint_id Endpoint, intent_class Class,
                          millis Deadline) const {
  const class_state *Pool =
      find(PerPool, Endpoints[Endpoint].Pool.Value, Class);
  if (!Pool || Pool->Latency.count() < EnoughSamples)
    return Deadline * Settings.InitialShare;
  double Delay = Pool->Latency.value();
  const quantile_tracker *Own = find(PerEndpoint, Endpoint.Value, Class);
  if (Own && Own->isSettled())
    Delay = std::min(Own->value(), Delay * Settings.SlowEndpointRatio);
  return std::max(millis{Delay}, Settings.MinDelay);
}

bool hedge_delay::isShifted(pool_id Pool, intent_class Class) const {
  const class_state *State = find(PerPool, Pool.Value, Class);
  return State && State->Late.Share > Settings.ShiftedShare;
}

bool hedge_delay::isZoneShifted(zone_id Zone, intent_class Class) const {
  const late_share *Late = find(PerZone, Zone.Value, Class);
  return Late && Late->Share > Settings.ShiftedShare;
}

} // namespace bulrush::query

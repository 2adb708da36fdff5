#include "query/hedge_delay.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Minimum number of samples before a pool's estimate is used.
constexpr std::uint32_t MinSamples = 20;
/// Step sizes of the quantile trackers after convergence, as a fraction of the
/// estimate.
constexpr double EndpointStepSize = 0.05;
constexpr double PoolStepSize = 0.02;
/// Weight of one reply in the share of late replies.
constexpr float LateWeight = 1.0F / 64;

/// Returns the cell of a class, growing the table and the row as needed.
template <class T>
T &cellFor(std::vector<std::vector<T>> &Table, std::size_t Row,
           intent_class Class) {
  if (Table.size() <= Row)
    Table.resize(Row + 1);
  std::vector<T> &Cells = Table[Row];
  if (Cells.size() <= Class.Value)
    Cells.resize(Class.Value + 1);
  return Cells[Class.Value];
}

template <class T>
const T *findCell(const std::vector<std::vector<T>> &Table, std::size_t Row,
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
  const double StepSize = std::min(Factor, 0.5);
  if (Sample > Value)
    Value *= static_cast<float>(1 + StepSize * Quantile);
  else
    Value *= static_cast<float>(1 - StepSize * (1 - Quantile));
}

void hedge_delay_estimator::late_share::observe(bool Late) {
  Share += LateWeight * ((Late ? 1.0F : 0.0F) - Share);
}

hedge_delay_estimator::hedge_delay_estimator(const endpoint_table &Endpoints,
                                             const hedge_settings &Settings)
    : Endpoints(Endpoints), Settings(Settings) {}

void hedge_delay_estimator::observe(endpoint_id Endpoint, intent_class Class,
                                    millis Latency) {
  const endpoint_view &View = Endpoints[Endpoint];
  class_state &Pool = cellFor(PerPool, View.Pool.Value, Class);
  if (Pool.Latency.count() >= MinSamples) {
    const bool Late = Latency.Count > Pool.Latency.value();
    Pool.Late.observe(Late);
    cellFor(PerZone, View.Zone.Value, Class).observe(Late);
  }
  Pool.Latency.observe(Latency.Count, Settings.Quantile, PoolStepSize);
  cellFor(PerEndpoint, Endpoint.Value, Class)
      .observe(Latency.Count, Settings.Quantile, EndpointStepSize);
}

millis hedge_delay_estimator::delay(endpoint_id Endpoint, intent_class Class,
                                    millis Deadline) const {
  const class_state *Pool =
      findCell(PerPool, Endpoints[Endpoint].Pool.Value, Class);
  if (!Pool || Pool->Latency.count() < MinSamples)
    return Deadline * Settings.InitialDeadlineShare;
  double Delay = Pool->Latency.value();
  const quantile_tracker *Own = findCell(PerEndpoint, Endpoint.Value, Class);
  if (Own && Own->isSettled())
    Delay = std::min(Own->value(), Delay * Settings.MaxEndpointRatio);
  return std::max(millis{Delay}, Settings.MinDelay);
}

bool hedge_delay_estimator::isPoolSlow(pool_id Pool, intent_class Class) const {
  const class_state *State = findCell(PerPool, Pool.Value, Class);
  return State && State->Late.Share > Settings.MaxLateShare;
}

bool hedge_delay_estimator::isZoneSlow(zone_id Zone, intent_class Class) const {
  const late_share *Late = findCell(PerZone, Zone.Value, Class);
  return Late && Late->Share > Settings.MaxLateShare;
}

} // namespace bulrush::query

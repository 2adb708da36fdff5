/// Selects the replica of a shard that an attempt is sent to.
#pragma once

#include "query/endpoint_table.h"
#include "query/router_settings.h"

#include <random>

namespace bulrush::query {

/// Selects by "power of two choices" on queue length, concurrency limit and
/// recent latency. Cold endpoints get a small share of the attempts, so that
/// they warm up; an endpoint that sheds load is selected only if there is no
/// other.
class replica_selector {
public:
  replica_selector(const endpoint_table &Endpoints,
                   const replica_settings &Settings, std::uint64_t Seed);

  /// Selects a holder outside `Tried` for a primary attempt or a retry. Returns
  /// nothing if no such holder is usable.
  std::optional<endpoint_id> choose(const std::vector<endpoint_id> &Holders,
                                    const std::vector<endpoint_id> &Tried);

  /// Selects a warm holder outside `Tried` for a hedge.
  std::optional<endpoint_id> chooseWarm(const std::vector<endpoint_id> &Holders,
                                        const std::vector<endpoint_id> &Tried);

  /// Returns a random number in [0, 1).
  double drawUniform();

private:
  enum class selection_tier : std::uint8_t { warm, cold, shedding, none };

  static selection_tier tierOf(const endpoint_view &View);
  bool shouldWarmUp(const endpoint_view &View);
  void collect(const std::vector<endpoint_id> &Holders,
               const std::vector<endpoint_id> &Tried,
               selection_tier WantedTier);
  endpoint_id pickBetter();
  double score(endpoint_id Id) const;

  const endpoint_table &Endpoints;
  replica_settings Settings;
  std::minstd_rand Random;
  /// Scratch: candidates of the current selection.
  std::vector<endpoint_id> Candidates;
};

} // namespace bulrush::query

/// Which holder of a shard gets an attempt.
#pragma once

#include "query/endpoint_table.h"
#include "query/router_settings.h"

#include <random>

namespace bulrush::query {

/// Power of two choices on queue, limit and recent latency. Cold endpoints take
/// part in a small share of the choices, so that they can warm up; an endpoint
/// that sheds is chosen only when there is no other.
class replica_choice {
public:
  replica_choice(const endpoint_table &Endpoints,
                 const replica_settings &Settings, std::uint64_t Seed);

  /// A holder for a first attempt or a retry, not one of `Tried`; nothing when
  /// none may get work.
  std::optional<endpoint_id> choose(const std::vector<endpoint_id> &Holders,
                                    const std::vector<endpoint_id> &Tried);

  /// A holder for a hedge: warm and not one of `Tried`.
  std::optional<endpoint_id> chooseWarm(const std::vector<endpoint_id> &Holders,
                                        const std::vector<endpoint_id> &Tried);

  /// A number in [0, 1), for jitter.
  double draw();

private:
  enum class tier : std::uint8_t { warm, cold, shedding, none };

  static tier tierOf(const endpoint_view &View);
  bool takesPart(const endpoint_view &View);
  void collect(const std::vector<endpoint_id> &Holders,
               const std::vector<endpoint_id> &Tried, tier Wanted);
  endpoint_id better();
  double score(endpoint_id Id) const;

  const endpoint_table &Endpoints;
  replica_settings Settings;
  std::minstd_rand Random;
  std::vector<endpoint_id> Candidates; ///< of the choice under way
};

} // namespace bulrush::query

#include "record.h"

#include <nlohmann/json.hpp>

namespace bulrush::bench {

using nlohmann::json;

void countArrival(endpoint_record &Record, instant Now) {
  ++Record.Requests.Arrived;
  Record.LastArrival = Now;
  const double Offset = (Now - Record.Began) / ArrivalBucket;
  const auto Bucket = Offset > 0 ? static_cast<std::size_t>(Offset) : 0;
  if (Bucket >= Record.Arrivals.size())
    Record.Arrivals.resize(Bucket + 1);
  ++Record.Arrivals[Bucket];
}

namespace {

json wall(instant Point, double WallOfZero) {
  if (Point == Never || Point.Ms < 0)
    return nullptr;
  return Point.Ms + WallOfZero;
}

json countsOf(const request_counts &Counts) {
  return {{"arrived", Counts.Arrived},
          {"answered", Counts.Answered},
          {"shed", Counts.Shed},
          {"drained", Counts.Drained},
          {"snapshotMissing", Counts.SnapshotMissing},
          {"expired", Counts.Expired},
          {"cancelled", Counts.Cancelled},
          {"cutByFall", Counts.CutByFall},
          {"lostReplies", Counts.LostReplies},
          {"lateReplies", Counts.LateReplies},
          {"hedges", Counts.Hedges}};
}

json coldsOf(const std::vector<cold_period> &Colds, double WallOfZero) {
  json Result = json::array();
  for (const cold_period &Cold : Colds)
    Result.push_back({{"began", wall(Cold.Began, WallOfZero)},
                      {"firstArrival", wall(Cold.FirstArrival, WallOfZero)},
                      {"warm", wall(Cold.Warm, WallOfZero)},
                      {"rampRequests", Cold.RampRequests},
                      {"afterFall", Cold.AfterFall}});
  return Result;
}

} // namespace

std::string toJson(const endpoint_record &Record, double WallOfZero,
                   bool WithServiceTimes, bool WithKeys) {
  json Breaches = json::array();
  for (const instant Point : Record.BreachTimes)
    Breaches.push_back(wall(Point, WallOfZero));
  json Result = {{"began", wall(Record.Began, WallOfZero)},
                 {"requests", countsOf(Record.Requests)},
                 {"arrivalBucketMs", ArrivalBucket.Count},
                 {"arrivals", Record.Arrivals},
                 {"lastArrival", wall(Record.LastArrival, WallOfZero)},
                 {"maxInFlight", Record.MaxInFlight},
                 {"maxInFlightCold", Record.MaxInFlightCold},
                 {"coldBreaches", Record.ColdBreaches},
                 {"excessBeforeSign", Record.ExcessBeforeSign},
                 {"breachTimes", Breaches},
                 {"falls", Record.Falls},
                 {"maxConnections", Record.MaxConnections},
                 {"connectionsOpened", Record.ConnectionsOpened},
                 {"connectionsRefused", Record.ConnectionsRefused},
                 {"colds", coldsOf(Record.Colds, WallOfZero)},
                 {"maxWakeLagMs", Record.MaxWakeLag.Count}};
  if (WithServiceTimes)
    Result["serviceTimesMs"] = Record.ServiceTimes;
  if (WithKeys)
    Result["runsByKey"] = Record.RunsByKey;
  return Result.dump();
}

} // namespace bulrush::bench

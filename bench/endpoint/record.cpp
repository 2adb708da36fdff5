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

json toWallClock(instant Point, double WallClockAtZero) {
  if (Point == Never || Point.Ms < 0)
    return nullptr;
  return Point.Ms + WallClockAtZero;
}

json countsJson(const request_counts &Counts) {
  return {{"arrived", Counts.Arrived},
          {"answered", Counts.Answered},
          {"shed", Counts.Shed},
          {"drained", Counts.Drained},
          {"snapshotMissing", Counts.SnapshotMissing},
          {"expired", Counts.Expired},
          {"cancelled", Counts.Cancelled},
          {"cutByFall", Counts.LostInCrash},
          {"lostReplies", Counts.LostReplies},
          {"lateReplies", Counts.LateReplies},
          {"hedges", Counts.Hedges}};
}

json coldPeriodsJson(const std::vector<cold_period> &ColdPeriods,
                     double WallClockAtZero) {
  json Result = json::array();
  for (const cold_period &Cold : ColdPeriods)
    Result.push_back(
        {{"began", toWallClock(Cold.Began, WallClockAtZero)},
         {"firstArrival", toWallClock(Cold.FirstArrival, WallClockAtZero)},
         {"warm", toWallClock(Cold.Warm, WallClockAtZero)},
         {"rampRequests", Cold.RampRequests},
         {"afterFall", Cold.AfterCrash}});
  return Result;
}

} // namespace

std::string toJson(const endpoint_record &Record, double WallClockAtZero,
                   bool WithServiceTimes, bool WithKeys) {
  json Breaches = json::array();
  for (const instant Point : Record.BreachTimes)
    Breaches.push_back(toWallClock(Point, WallClockAtZero));
  json Result = {
      {"began", toWallClock(Record.Began, WallClockAtZero)},
      {"requests", countsJson(Record.Requests)},
      {"arrivalBucketMs", ArrivalBucket.Count},
      {"arrivals", Record.Arrivals},
      {"lastArrival", toWallClock(Record.LastArrival, WallClockAtZero)},
      {"maxInFlight", Record.MaxInFlight},
      {"maxInFlightCold", Record.MaxInFlightCold},
      {"coldBreaches", Record.ColdBreaches},
      {"excessBeforeSign", Record.ExcessBeforeDetectable},
      {"breachTimes", Breaches},
      {"falls", Record.Crashes},
      {"maxConnections", Record.MaxConnections},
      {"connectionsOpened", Record.ConnectionsOpened},
      {"connectionsRefused", Record.ConnectionsRefused},
      {"colds", coldPeriodsJson(Record.ColdPeriods, WallClockAtZero)},
      {"maxWakeLagMs", Record.MaxTimerLag.Count}};
  if (WithServiceTimes)
    Result["serviceTimesMs"] = Record.ServiceTimes;
  if (WithKeys)
    Result["runsByKey"] = Record.RunsByKey;
  return Result.dump();
}

} // namespace bulrush::bench

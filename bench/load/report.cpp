#include "report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrush::bench {
namespace {

using nlohmann::json;

json latencyJson(std::vector<float> &Latencies) {
  double Sum = 0;
  for (const float Latency : Latencies)
    Sum += Latency;
  const double Count =
      static_cast<double>(std::max<std::size_t>(1, Latencies.size()));
  return {{"mean", Sum / Count},
          {"p50", quantile(Latencies, 0.5)},
          {"p90", quantile(Latencies, 0.9)},
          {"p99", quantile(Latencies, 0.99)},
          {"p999", quantile(Latencies, 0.999)},
          {"max", quantile(Latencies, 1)}};
}

json secondsJson(std::vector<class_second> &Seconds) {
  json Series = json::array();
  for (class_second &Second : Seconds)
    Series.push_back({{"sent", Second.Sent},
                      {"answered", Second.Answered},
                      {"notRun", Second.NotRun},
                      {"unknown", Second.Unknown},
                      {"coverage", Second.CoverageSum},
                      {"p99", quantile(Second.Latencies, 0.99)}});
  return Series;
}

json entrySeriesJson(const std::vector<entry_series> &Entries) {
  json Out = json::array();
  for (const entry_series &Series : Entries) {
    json Seconds = json::array();
    for (const entry_second &Second : Series)
      Seconds.push_back({{"sent", Second.Sent}, {"answered", Second.Answered}});
    Out.push_back(std::move(Seconds));
  }
  return Out;
}

json classJson(const load_class &Class, class_statistics &Statistics) {
  const double Answered =
      static_cast<double>(std::max<std::uint64_t>(1, Statistics.Answered));
  return {{"rate", Class.Rate},
          {"weight", Class.Weight},
          {"sent", Statistics.Sent},
          {"answered", Statistics.Answered},
          {"notRun", Statistics.NotRun},
          {"unknown", Statistics.Unknown},
          {"complete", Statistics.Complete},
          {"meanCoverage", Statistics.CoverageSum / Answered},
          {"reasons", Statistics.Reasons},
          {"latencyMs", latencyJson(Statistics.Latencies)},
          {"refusalLatencyMs", latencyJson(Statistics.RefusalLatencies)},
          {"series", secondsJson(Statistics.Seconds)}};
}

json examplesJson(const std::vector<wrong_answer> &Examples) {
  json Out = json::array();
  for (const wrong_answer &Wrong : Examples)
    Out.push_back({{"class", Wrong.Class},
                   {"request", Wrong.Request},
                   {"fault", toString(Wrong.Fault)},
                   {"received", Wrong.Body}});
  return Out;
}

} // namespace

std::string reportJson(const load_settings &Settings, load_results &Results,
                       std::uint64_t WrongTotals) {
  json Classes = json::object();
  for (std::size_t I = 0; I < Settings.Classes.size(); ++I)
    Classes[Settings.Classes[I].Name] =
        classJson(Settings.Classes[I], Results.Classes[I]);
  json Faults = json::object();
  std::uint64_t Wrong = WrongTotals;
  for (const auto &[Fault, Count] : Results.Faults) {
    Faults[std::string(toString(Fault))] = Count;
    Wrong += Count;
  }
  if (WrongTotals > 0)
    Faults[std::string(toString(answer_fault::untrue_total))] = WrongTotals;
  const json Report = {{"run", Settings.Run},
                       {"seed", Settings.Seed},
                       {"seconds", Settings.Duration.Count / 1000},
                       {"clientLinkMs", Settings.ClientLink.Count},
                       {"firstWallMs", Results.FirstWallMs},
                       {"verified", Results.Verified},
                       {"wrong", Wrong},
                       {"faults", Faults},
                       {"wrongExamples", examplesJson(Results.Examples)},
                       {"sendLagMs", latencyJson(Results.SendLags)},
                       {"sentTo", Results.SentTo},
                       {"entrySeries", entrySeriesJson(Results.Entries)},
                       {"classes", Classes},
                       {"outcomesByKey", Results.OutcomesByKey}};
  return Report.dump(1);
}

} // namespace bulrush::bench

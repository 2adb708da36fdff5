#include "statistics.h"

#include <algorithm>
#include <cmath>

namespace bulrush::bench {
namespace {

constexpr millis Second{1000};

double coverageOf(const checked_answer &Answer) {
  if (Answer.Total == 0)
    return 1;
  return static_cast<double>(Answer.Covered) / Answer.Total;
}

} // namespace

void class_statistics::add(const caller_result &Result) {
  const checked_answer &Answer = Result.Answer;
  const auto Index = static_cast<std::size_t>(Result.Offset / Second);
  if (Index >= Seconds.size())
    Seconds.resize(Index + 1);
  class_second &CurrentSecond = Seconds[Index];
  const auto Latency = static_cast<float>(Result.Latency.Count);
  ++Sent;
  ++CurrentSecond.Sent;
  if (Answer.Outcome == outcome::answered) {
    ++Answered;
    ++CurrentSecond.Answered;
    CoverageSum += coverageOf(Answer);
    CurrentSecond.CoverageSum += coverageOf(Answer);
    Complete += Answer.Covered == Answer.Total ? 1 : 0;
    Latencies.push_back(Latency);
    CurrentSecond.Latencies.push_back(Latency);
    return;
  }
  RefusalLatencies.push_back(Latency);
  std::string Reason(toString(Answer.Outcome));
  Reason += ':';
  Reason += Answer.Reason;
  ++Reasons[Reason];
  const bool WasRefused = Answer.Outcome == outcome::not_run;
  ++(WasRefused ? NotRun : Unknown);
  ++(WasRefused ? CurrentSecond.NotRun : CurrentSecond.Unknown);
}

void addResult(entry_series &Series, const caller_result &Result,
               double Weight) {
  const auto Index = static_cast<std::size_t>(Result.Offset / Second);
  if (Index >= Series.size())
    Series.resize(Index + 1);
  Series[Index].Sent += Weight;
  if (Result.Answer.Outcome == outcome::answered)
    Series[Index].Answered += Weight;
}

double quantile(std::vector<float> &Values, double Share) {
  if (Values.empty())
    return 0;
  const double Rank = std::ceil(Share * static_cast<double>(Values.size()));
  const auto Index = static_cast<std::ptrdiff_t>(std::max(0.0, Rank - 1));
  const auto Nth = Values.begin() + Index;
  std::nth_element(Values.begin(), Nth, Values.end());
  return *Nth;
}

} // namespace bulrush::bench

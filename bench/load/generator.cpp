#include "generator.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>

namespace bulrush::bench {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t MaxExamples = 20;
constexpr std::size_t ExampleBytes = 600;
constexpr double MillisPerSecond = 1000;
constexpr millis ResendDelay{50};
constexpr auto FinishCheckInterval = std::chrono::milliseconds(20);

std::chrono::steady_clock::time_point toTimePoint(instant Point) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double, std::milli>(Point.Ms)));
}

double wallClockMs() {
  using namespace std::chrono;
  const duration<double, std::milli> Wall =
      system_clock::now().time_since_epoch();
  return Wall.count();
}

/// A scheduled request and the state of its resends.
struct call {
  std::size_t Class = 0;
  std::uint64_t Number = 0;
  instant Due;
  std::string Key; ///< idempotency key; empty for searches
  std::uint32_t ResendCount = 0;
  bool IsDuplicate =
      false; ///< a resend after an answer; left out of the statistics
};

/// The outcome and, if present, the reason, such as `not_run:no_owner`.
std::string outcomeLabel(const checked_answer &Answer) {
  std::string Name(bulrush::toString(Answer.Outcome));
  if (!Answer.Reason.empty())
    Name.append(":").append(Answer.Reason);
  return Name;
}

checked_answer failedExchange(http::exchange_status Status) {
  checked_answer Answer;
  const bool Sent = Status != http::exchange_status::connect_failed &&
                    Status != http::exchange_status::not_sent;
  Answer.Outcome = Sent ? outcome::unknown : outcome::not_run;
  Answer.Reason = Sent ? "connection_lost" : "no_entry";
  return Answer;
}

} // namespace

struct generator::impl : std::enable_shared_from_this<impl> {
  asio::io_context &Io;
  load_settings Settings;
  listener Listener;
  balancer Balancer;
  steady_clock_source Clock;
  std::mt19937_64 Random;
  asio::steady_timer Timer;
  asio::steady_timer MeasureTimer;
  std::vector<instant> NextDue;
  instant MeasureFrom = Never;
  instant End = Never;
  std::uint64_t LastNumber = 0;
  std::uint64_t Outstanding = 0;
  load_results Results;

  impl(asio::io_context &Io, load_settings S, listener L)
      : Io(Io), Settings(std::move(S)), Listener(std::move(L)),
        Balancer(Io, Settings), Random(Settings.Seed), Timer(Io),
        MeasureTimer(Io) {
    Results.Classes.resize(Settings.Classes.size());
    Results.Entries.resize(Settings.Entries.size() + 1);
  }

  void begin() {
    const instant Now = Clock.now();
    MeasureFrom = Now + Settings.Warmup;
    End = MeasureFrom + Settings.Duration;
    for (const load_class &Class : Settings.Classes)
      NextDue.push_back(Now + drawInterarrivalTime(Class));
    MeasureTimer.expires_at(toTimePoint(MeasureFrom));
    MeasureTimer.async_wait([Self = shared_from_this()](error_code) {
      Self->Results.FirstWallMs = wallClockMs();
      Self->Listener.Measuring();
    });
    armTimer();
  }

  millis drawInterarrivalTime(const load_class &Class) {
    if (Class.Rate <= 0)
      return millis{1e15};
    std::exponential_distribution<double> Distribution(Class.Rate /
                                                       MillisPerSecond);
    return {Distribution(Random)};
  }

  void armTimer() {
    const instant Next = *std::min_element(NextDue.begin(), NextDue.end());
    Timer.expires_at(toTimePoint(std::min(Next, End)));
    Timer.async_wait([Self = shared_from_this()](error_code Error) {
      if (!Error)
        Self->sendDue();
    });
  }

  void sendDue() {
    const instant Now = Clock.now();
    for (std::size_t I = 0; I < NextDue.size(); ++I)
      while (NextDue[I] <= Now && NextDue[I] < End) {
        sendNew(I, NextDue[I], Now);
        NextDue[I] = NextDue[I] + drawInterarrivalTime(Settings.Classes[I]);
      }
    if (Now >= End)
      awaitAnswers();
    else
      armTimer();
  }

  void awaitAnswers() {
    if (Outstanding == 0) {
      Balancer.stop();
      Results.SentTo = Balancer.sentTo();
      Listener.Finished();
      return;
    }
    Timer.expires_after(FinishCheckInterval);
    Timer.async_wait(
        [Self = shared_from_this()](error_code) { Self->awaitAnswers(); });
  }

  void sendNew(std::size_t Class, instant Due, instant Now) {
    call Call;
    Call.Class = Class;
    Call.Number = ++LastNumber;
    Call.Due = Due;
    if (Settings.Classes[Class].IsCommand)
      Call.Key = newKey(Call.Number);
    if (Due >= MeasureFrom)
      Results.SendLags.push_back(static_cast<float>((Now - Due).Count));
    send(Call);
  }

  /// Returns a new idempotency key. It starts with its time of issue in
  /// milliseconds since 1970.
  std::string newKey(std::uint64_t Number) const {
    return std::to_string(static_cast<std::uint64_t>(wallClockMs())) + '-' +
           Settings.Run + '-' + std::to_string(Number);
  }

  void send(const call &Call) {
    const load_class &Class = Settings.Classes[Call.Class];
    expected_answer Expected;
    Expected.Token = Settings.Run + "-t" + std::to_string(Call.Number);
    Expected.Request = Settings.Run + "-r" + std::to_string(Call.Number) + "-" +
                       std::to_string(Call.ResendCount);
    Expected.MinCoverage = Class.MinCoverage;
    Expected.IsCommand = Class.IsCommand;
    http::request Request;
    Request.Method = "POST";
    Request.Target =
        (Class.IsCommand ? "/v1/command/" : "/v1/search/") + Class.Kind;
    Request.Headers = {{"Authorization", "Bearer " + Class.ApiKey},
                       {"Bulrush-Request-Id", Expected.Request},
                       {"Content-Type", "application/json"}};
    if (Class.IsCommand)
      Request.Headers.push_back({"Idempotency-Key", Call.Key});
    Request.Body = R"({"query":")" + Class.Kind + R"(","token":")" +
                   Expected.Token + "\"}";
    ++Outstanding;
    Balancer.send(Request,
                  [Self = shared_from_this(), Call, Expected](
                      std::size_t Entry, const http::exchange_result &R) {
                    Self->onResult(Call, Expected, Entry, R);
                  });
  }

  void onResult(const call &Call, const expected_answer &Expected,
                std::size_t Entry, const http::exchange_result &Result) {
    --Outstanding;
    const instant Now = Clock.now();
    const bool IsDone = Result.Status == http::exchange_status::done;
    checked_answer Answer = IsDone
                                ? checkAnswer(Expected, Result.Response.Status,
                                              Result.Response.Body)
                                : failedExchange(Result.Status);
    if (IsDone)
      recordChecked(Call, Expected, Answer, Result.Response);
    if (!Call.Key.empty())
      Results.OutcomesByKey[Call.Key].push_back(outcomeLabel(Answer));
    if (scheduleResend(Call, Answer) || Call.IsDuplicate ||
        Call.Due < MeasureFrom)
      return;
    const millis Latency =
        (Now - Call.Due) + Settings.ClientLink + Settings.ClientLink;
    const caller_result Final{Call.Due - MeasureFrom, Latency, Answer};
    Results.Classes[Call.Class].add(Final);
    addResult(Results.Entries[Entry], Final,
              Settings.Classes[Call.Class].Weight);
  }

  void recordChecked(const call &Call, const expected_answer &Expected,
                     const checked_answer &Answer,
                     const http::response &Response) {
    const load_class &Class = Settings.Classes[Call.Class];
    ++Results.Verified;
    if (Answer.Outcome == outcome::answered && !Class.IsCommand)
      Results.ReportedTotals.add(Class.Pool, Answer);
    if (Answer.Fault == answer_fault::none)
      return;
    ++Results.Faults[Answer.Fault];
    if (Results.Examples.size() < MaxExamples)
      Results.Examples.push_back({Class.Name, Expected.Request, Answer.Fault,
                                  std::to_string(Response.Status) + ' ' +
                                      Response.Body.substr(0, ExampleBytes)});
  }

  /// Schedules a resend if the class asks for one. Returns true if the result
  /// of the resend replaces `Answer` in the statistics.
  bool scheduleResend(const call &Call, const checked_answer &Answer) {
    const load_class &Class = Settings.Classes[Call.Class];
    if (!Class.IsCommand)
      return false;
    call Resend = Call;
    ++Resend.ResendCount;
    if (Answer.Outcome == outcome::unknown &&
        Call.ResendCount < Class.Resends) {
      resendLater(Resend);
      return true;
    }
    const double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    if (!Call.IsDuplicate && Answer.Outcome == outcome::answered &&
        Draw < Class.ResendAnswered) {
      Resend.IsDuplicate = true;
      resendLater(Resend);
    }
    return false;
  }

  void resendLater(const call &Call) {
    ++Outstanding;
    const auto Delay = std::make_shared<asio::steady_timer>(Io);
    Delay->expires_after(std::chrono::milliseconds(
        static_cast<std::int64_t>(ResendDelay.Count)));
    Delay->async_wait([Self = shared_from_this(), Call, Delay](error_code) {
      --Self->Outstanding;
      Self->send(Call);
    });
  }
};

generator::generator(asio::io_context &Io, load_settings Settings,
                     listener Listener)
    : Impl(std::make_shared<impl>(Io, std::move(Settings),
                                  std::move(Listener))) {}
generator::~generator() = default;

void generator::start() {
  Impl->Balancer.start([Self = Impl] { Self->begin(); });
}

load_results &generator::results() { return Impl->Results; }

} // namespace bulrush::bench

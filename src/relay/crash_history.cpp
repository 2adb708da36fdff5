#include "relay/crash_history.h"

#include <algorithm>
#include <cmath>

namespace bulrush::relay {

namespace {

constexpr std::size_t MaxCrashes = 3;
/// From this many crashes on, relays report whether endpoints answer the
/// request.
constexpr std::size_t WatchedCrashes = 2;
/// Endpoints that go down within this time of each other, while the request is
/// at all of them, count once: a common cause, such as a lost host, is more
/// likely than the request.
constexpr millis CommonCauseTime{20};
/// Times in reports differ by less than this from when things happened.
constexpr millis ReportJitter{5};
/// Two relays that saw the same crash differ by less than this.
constexpr millis SameCrashTime{2000};
constexpr millis FirstQuarantine{600'000};
constexpr std::uint32_t MaxDoublings = 8;
/// Entries without news are forgotten this long after their quarantine.
constexpr millis EntryLifetime{600'000};
constexpr std::size_t MaxEntries = 1024;
constexpr std::size_t MaxCrashesKept = 16; ///< of one request

} // namespace

void crash_history::add(request_fingerprint Request, const known_crash &Crash,
                        instant Now) {
  entry &Entry = entryOf(Request, Now);
  const bool IsKnown = std::any_of(
      Entry.Crashes.begin(), Entry.Crashes.end(), [&](const known_crash &Each) {
        return Each.Endpoint == Crash.Endpoint &&
               std::abs((Each.At - Crash.At).Count) < SameCrashTime.Count;
      });
  if (IsKnown)
    return;
  if (Entry.Crashes.size() == MaxCrashesKept)
    Entry.Crashes.erase(Entry.Crashes.begin());
  Entry.Crashes.push_back(Crash);
  if (countSeparate(Entry) < MaxCrashes || Now < Entry.QuarantinedUntil)
    return;
  const double Doublings = std::min(Entry.Quarantines, MaxDoublings);
  Entry.QuarantinedUntil = Now + FirstQuarantine * std::exp2(Doublings);
  ++Entry.Quarantines;
}

std::vector<verdict_notice>
crash_history::apply(const std::vector<crash_report> &Reports, instant Now) {
  std::vector<verdict_notice> Changed;
  for (const crash_report &Each : Reports) {
    const request_verdict Old = verdict(Each.Request, Now);
    for (const crash_mark &Mark : Each.Crashes)
      add(Each.Request,
          {Mark.Endpoint, Now - Mark.Age - Mark.RanFor, Now - Mark.Age}, Now);
    if (Each.HasSucceeded)
      clear(Each.Request);
    else if (Each.QuarantineLeft > millis{0})
      apply({Each.Request, request_verdict::quarantined, Each.QuarantineLeft},
            Now);
    if (verdict(Each.Request, Now) != Old)
      Changed.push_back(noticeOf(Each.Request, Now));
  }
  return Changed;
}

void crash_history::apply(const verdict_notice &Notice, instant Now) {
  if (Notice.Verdict == request_verdict::cleared) {
    clear(Notice.Request);
    return;
  }
  entry &Entry = entryOf(Notice.Request, Now);
  Entry.IsWatchedElsewhere = true;
  Entry.QuarantinedUntil =
      std::max(Entry.QuarantinedUntil, Now + Notice.QuarantineLeft);
}

request_verdict crash_history::verdict(request_fingerprint Request,
                                       instant Now) const {
  const auto Found = Entries.find(Request);
  if (Found == Entries.end())
    return request_verdict::cleared;
  if (Now < Found->second.QuarantinedUntil)
    return request_verdict::quarantined;
  return Found->second.IsWatchedElsewhere ||
                 countSeparate(Found->second) >= WatchedCrashes
             ? request_verdict::watched
             : request_verdict::cleared;
}

millis crash_history::quarantineLeft(request_fingerprint Request,
                                     instant Now) const {
  const auto Found = Entries.find(Request);
  return Found == Entries.end()
             ? millis{0}
             : std::max(millis{0}, Found->second.QuarantinedUntil - Now);
}

std::size_t crash_history::quarantined(instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return Now < Each.second.QuarantinedUntil;
      }));
}

std::size_t crash_history::countSeparate(const entry &Entry) {
  std::vector<known_crash> Crashes = Entry.Crashes;
  std::sort(
      Crashes.begin(), Crashes.end(),
      [](const known_crash &A, const known_crash &B) { return A.At < B.At; });
  std::size_t Count = 0;
  instant LastCounted{-1e300};
  for (const known_crash &Each : Crashes) {
    const bool WasThere = Each.SentAt + ReportJitter < LastCounted;
    if (WasThere && Each.At - LastCounted <= CommonCauseTime)
      continue;
    ++Count;
    LastCounted = Each.At;
  }
  return Count;
}

crash_history::entry &crash_history::entryOf(request_fingerprint Request,
                                             instant Now) {
  forgetOld(Now);
  entry &Entry = Entries[Request];
  Entry.UpdatedAt = Now;
  return Entry;
}

/// Makes room for one entry.
void crash_history::forgetOld(instant Now) {
  std::erase_if(Entries, [&](const auto &Each) {
    return Now - std::max(Each.second.UpdatedAt, Each.second.QuarantinedUntil) >
           EntryLifetime;
  });
  if (Entries.size() < MaxEntries)
    return;
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(), [](const auto &A, const auto &B) {
        return std::max(A.second.UpdatedAt, A.second.QuarantinedUntil) <
               std::max(B.second.UpdatedAt, B.second.QuarantinedUntil);
      }));
}

std::vector<crash_report> crash_history::reports(instant Now) const {
  std::vector<crash_report> Out;
  for (const auto &[Request, Entry] : Entries) {
    crash_report &Report = Out.emplace_back();
    Report.Request = Request;
    Report.QuarantineLeft = quarantineLeft(Request, Now);
    for (const known_crash &Each : Entry.Crashes)
      Report.Crashes.push_back(
          {Each.Endpoint, Each.At - Each.SentAt, Now - Each.At});
  }
  return Out;
}

std::vector<verdict_notice> crash_history::notices(instant Now) const {
  std::vector<verdict_notice> Out;
  for (const auto &[Request, Entry] : Entries)
    if (verdict(Request, Now) != request_verdict::cleared)
      Out.push_back(noticeOf(Request, Now));
  return Out;
}

verdict_notice crash_history::noticeOf(request_fingerprint Request,
                                       instant Now) const {
  return {Request, verdict(Request, Now), quarantineLeft(Request, Now)};
}

} // namespace bulrush::relay

#include "control/ledger.h"

#include <charconv>

namespace bulrush::control {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionOffset = 14;
constexpr std::size_t MaxTimeDigits = 15;

bool isUuid7(const std::string &Text) {
  return Text.size() == UuidLength && Text[8] == '-' && Text[13] == '-' &&
         Text[UuidVersionOffset] == '7' && Text[18] == '-' && Text[23] == '-';
}

expected<wall_time> parseTime(const std::string &Digits, int Base) {
  wall_time Out;
  const char *End = Digits.data() + Digits.size();
  const auto Result = std::from_chars(Digits.data(), End, Out.Ms, Base);
  if (Digits.empty() || Result.ptr != End || Result.ec != std::errc{} ||
      Out.Ms < 0)
    return fail("Idempotency-Key carries no issue time; allowed: a version 7 "
                "UUID, or milliseconds since 1970, a dash and any text");
  return Out;
}

ledger_answer answerWith(const run_id &Run, ledger_verdict Verdict) {
  return {Run, Verdict, outcome::unknown, refusal::none, {}};
}

} // namespace

expected<wall_time> issueTime(const idempotency_key &Key) {
  const std::string &Text = Key.Value;
  if (isUuid7(Text))
    return parseTime(Text.substr(0, 8) + Text.substr(9, 4), 16);
  const std::size_t Dash = Text.find('-');
  if (Dash == std::string::npos || Dash > MaxTimeDigits)
    return parseTime("", 10);
  return parseTime(Text.substr(0, Dash), 10);
}

ledger_answer ledger::start(const ledger_start &Start, wall_time Now) {
  removeExpired(Now);
  const auto Issued = issueTime(Start.Key.Key);
  if (!Issued || *Issued > Now + Limits.MaxIssuedAhead)
    return answerWith(Start.Run, ledger_verdict::bad_key);
  if (*Issued < Now - Limits.KeyLifetime)
    return answerWith(Start.Run, ledger_verdict::expired);
  const auto Found = Records.find(Start.Key);
  if (Found == Records.end()) {
    if (Records.size() >= Limits.MaxRecords)
      return answerWith(Start.Run, ledger_verdict::full);
    ledger_record Record;
    Record.Key = Start.Key;
    Record.Fingerprint = Start.Fingerprint;
    Record.Issued = *Issued;
    Record.Run = Start.Run;
    Records.emplace(Start.Key, std::move(Record));
    ByIssueTime.emplace(*Issued, Start.Key);
    return answerWith(Start.Run, ledger_verdict::granted);
  }
  ledger_record &Record = Found->second;
  if (Record.Fingerprint != Start.Fingerprint)
    return answerWith(Start.Run, ledger_verdict::reused);
  if (!Record.Finished) {
    const bool IsSameRun = Record.Run == Start.Run;
    return answerWith(Start.Run, IsSameRun ? ledger_verdict::granted
                                           : ledger_verdict::started);
  }
  if (Record.Outcome == outcome::not_run && Record.Run != Start.Run) {
    Record.Finished = false;
    Record.Outcome = outcome::unknown;
    Record.Reason = refusal::none;
    Record.Run = Start.Run;
    return answerWith(Start.Run, ledger_verdict::granted);
  }
  return {Start.Run, ledger_verdict::finished, Record.Outcome, Record.Reason,
          Record.Body};
}

ledger_answer ledger::finish(const ledger_finish &Finish) {
  ledger_answer Recorded = answerWith(Finish.Run, ledger_verdict::recorded);
  const auto Found = Records.find(Finish.Key);
  if (Found == Records.end())
    return Recorded;
  ledger_record &Record = Found->second;
  if (Record.Run != Finish.Run || Record.Finished)
    return Recorded;
  Record.Finished = true;
  Record.Outcome = Finish.Outcome;
  Record.Reason = Finish.Reason;
  if (Finish.Body.size() <= Limits.MaxBodyBytes)
    Record.Body = Finish.Body;
  return Recorded;
}

std::vector<ledger_record> ledger::records() const {
  std::vector<ledger_record> Out;
  Out.reserve(Records.size());
  for (const auto &[Key, Record] : Records)
    Out.push_back(Record);
  return Out;
}

void ledger::restore(std::vector<ledger_record> NewRecords) {
  Records.clear();
  ByIssueTime.clear();
  for (ledger_record &Record : NewRecords) {
    ByIssueTime.emplace(Record.Issued, Record.Key);
    ledger_key Key = Record.Key;
    Records.emplace(std::move(Key), std::move(Record));
  }
}

void ledger::removeExpired(wall_time Now) {
  const auto End = ByIssueTime.lower_bound(Now - Limits.KeyLifetime);
  for (auto It = ByIssueTime.begin(); It != End; ++It)
    Records.erase(It->second);
  ByIssueTime.erase(ByIssueTime.begin(), End);
}

} // namespace bulrush::control

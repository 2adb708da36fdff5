#include "wire/quota_codec.h"

namespace bulrush::wire {

void toProto(const fleet::quota_reports &From, QuotaReports &To) {
  To.set_first(From.IsFirst);
  for (const relay::quota_report &Each : From.Reports) {
    QuotaReport &Report = *To.add_reports();
    Report.set_account(Each.Account.Value);
    Report.set_spent(Each.Spent);
    Report.set_spent_new(Each.New);
    Report.set_returned(Each.Returned);
    Report.set_wanted(Each.Wanted);
    Report.set_held(Each.Held);
    Report.mutable_recent()->Assign(Each.Recent.begin(), Each.Recent.end());
  }
}

fleet::quota_reports fromProto(const QuotaReports &From) {
  fleet::quota_reports To;
  To.IsFirst = From.first();
  for (const QuotaReport &Item : From.reports()) {
    relay::quota_report &Each = To.Reports.emplace_back();
    Each.Account = {Item.account()};
    Each.Spent = Item.spent();
    Each.New = Item.spent_new();
    Each.Returned = Item.returned();
    Each.Wanted = Item.wanted();
    Each.Held = Item.held();
    Each.Recent.assign(Item.recent().begin(), Item.recent().end());
  }
  return To;
}

void toProto(const fleet::quota_grants &From, QuotaGrants &To) {
  for (const relay::quota_grant &Each : From.Grants) {
    QuotaGrant &Grant = *To.add_grants();
    Grant.set_account(Each.Account.Value);
    Grant.set_tokens(Each.Tokens);
    Grant.set_answered(Each.Answered);
    Grant.set_limited(Each.IsLimited);
    Grant.set_retry_in_ms(static_cast<float>(Each.RetryIn.Count));
    Grant.set_interval_ms(static_cast<float>(Each.Interval.Count));
  }
}

fleet::quota_grants fromProto(const QuotaGrants &From) {
  fleet::quota_grants To;
  for (const QuotaGrant &Item : From.grants())
    To.Grants.push_back({{Item.account()},
                         Item.tokens(),
                         Item.answered(),
                         Item.limited(),
                         {Item.retry_in_ms()},
                         {Item.interval_ms()}});
  return To;
}

} // namespace bulrush::wire

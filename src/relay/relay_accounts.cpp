// Accounts of the clients: checks their keys and quotas before requests are
// admitted.
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

constexpr char KeyHeader[] = "Authorization";

/// The key that the client sent; empty if it sent none, several, or one that is
/// malformed.
std::string_view keyOf(const opaque_request &Request) {
  const std::string *Value = nullptr;
  for (const credential_header &Each : Request.Credentials) {
    if (!http::isNamed(Each.Header, KeyHeader))
      continue;
    if (Value)
      return {};
    Value = &Each.Header.Value;
  }
  return Value ? bearerKey(*Value) : std::string_view();
}

/// A copy without the credentials.
std::shared_ptr<opaque_request>
copyWithoutCredentials(const opaque_request &Request) {
  auto Out = std::make_shared<opaque_request>();
  Out->RequestId = Request.RequestId;
  Out->Method = Request.Method;
  Out->Host = Request.Host;
  Out->Target = Request.Target;
  Out->Headers.reserve(Request.Headers.size() + Request.Credentials.size() + 1);
  Out->Headers.assign(Request.Headers.begin(), Request.Headers.end());
  Out->Body = Request.Body;
  return Out;
}

/// The request with all headers as the client sent them, in their order.
std::shared_ptr<const opaque_request>
restoreCredentials(const std::shared_ptr<const opaque_request> &Request) {
  if (Request->Credentials.empty())
    return Request;
  auto Out = copyWithoutCredentials(*Request);
  for (const credential_header &Each : Request->Credentials) {
    const auto At = std::min(Each.Position, Out->Headers.size());
    Out->Headers.insert(Out->Headers.begin() + static_cast<std::ptrdiff_t>(At),
                        Each.Header);
  }
  return Out;
}

} // namespace

/// Finds the account of a request of a client. If the catalog has accounts, the
/// content to forward names the account and has no credentials.
relay::impl::identified_request
relay::impl::identify(const std::shared_ptr<const opaque_request> &Content,
                      const route &Route) const {
  if (!Accounts)
    return {restoreCredentials(Content), nullptr, true};
  const account *Account = Accounts->find(keyOf(*Content));
  if (!Account && !Route.IsPublic)
    return {Content, nullptr, false};
  if (!Account && Content->Credentials.empty())
    return {Content, nullptr, true};
  auto Forwarded = copyWithoutCredentials(*Content);
  if (Account) {
    Forwarded->Account = Account->Name;
    if (!Settings.AccountHeader.empty())
      Forwarded->Headers.push_back(
          {Settings.AccountHeader, Account->Name.Value});
  }
  return {std::move(Forwarded), Account, true};
}

/// Admits or refuses requests that waited for a token of their account.
void relay::impl::apply(const std::vector<quota_decision> &Decisions) {
  for (const quota_decision &Each : Decisions) {
    const auto Found = QuotaWaiters.find(Each.Request);
    if (Found == QuotaWaiters.end())
      continue;
    const quota_waiter Waiter = std::move(Found->second);
    QuotaWaiters.erase(Found);
    admit(Waiter.Event, Waiter.ArrivedAt, &Each);
  }
}

void relay::impl::reportQuotas() {
  if (auto Due = Quotas.takeReports(Now))
    Out->push_back(send_quota_reports{Due->IsFirst, std::move(Due->Reports)});
}

void relay::impl::countActive(const request_state &Request, int Change) {
  const account_name &Account = Request.Content->Account;
  if (Account.Value.empty())
    return;
  const auto Known = ActiveByAccount.try_emplace(Account, 0).first;
  Known->second += static_cast<std::size_t>(Change);
  ActiveOfAccounts += static_cast<std::size_t>(Change);
  if (Known->second == 0)
    ActiveByAccount.erase(Known);
}

/// Whether another account has more requests in progress than this one.
bool relay::impl::isBesideLarger(const account_name &Account) const {
  const auto Own = ActiveByAccount.find(Account);
  return Own != ActiveByAccount.end() &&
         std::any_of(
             ActiveByAccount.begin(), ActiveByAccount.end(),
             [&](const auto &Each) { return Each.second > Own->second; });
}

} // namespace bulrush::relay

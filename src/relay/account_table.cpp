#include "relay/account_table.h"

#include <algorithm>
#include <xxhash.h>

namespace bulrush::relay {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

/// Compares all bytes of two texts of equal length, wherever they differ.
/// `volatile` keeps the compiler from ending the loop early.
bool isEqualInConstantTime(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  volatile unsigned char Difference = 0;
  for (std::size_t I = 0; I < A.size(); ++I)
    Difference = static_cast<unsigned char>(
        Difference |
        (static_cast<unsigned char>(A[I]) ^ static_cast<unsigned char>(B[I])));
  return Difference == 0;
}

} // namespace

std::string_view bearerKey(std::string_view Authorization) {
  if (!Authorization.starts_with(BearerPrefix))
    return {};
  const std::string_view Key = Authorization.substr(BearerPrefix.size());
  return Key.size() <= MaxKeyBytes ? Key : std::string_view();
}

account_table::account_table(const std::vector<account> &Accounts,
                             std::uint64_t Seed)
    : Seed(Seed) {
  std::size_t Count = 0;
  for (const account &Each : Accounts)
    Count += Each.Keys.size();
  Entries.reserve(Count);
  for (const account &Each : Accounts)
    for (const std::string &Key : Each.Keys)
      Entries.push_back({hashOf(Key), &Key, &Each});
  std::sort(Entries.begin(), Entries.end(),
            [](const entry &A, const entry &B) { return A.Hash < B.Hash; });
}

std::uint64_t account_table::hashOf(std::string_view Key) const {
  return XXH3_64bits_withSeed(Key.data(), Key.size(), Seed);
}

const account *account_table::find(std::string_view Key) const {
  if (Key.empty() || Key.size() > MaxKeyBytes)
    return nullptr;
  const std::uint64_t Hash = hashOf(Key);
  auto Found = std::lower_bound(
      Entries.begin(), Entries.end(), Hash,
      [](const entry &Each, std::uint64_t Value) { return Each.Hash < Value; });
  for (; Found != Entries.end() && Found->Hash == Hash; ++Found)
    if (isEqualInConstantTime(*Found->Key, Key))
      return Found->Account;
  return nullptr;
}

} // namespace bulrush::relay

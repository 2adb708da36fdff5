/// Finds the client account that an API key belongs to.
#pragma once

#include "relay/catalog.h"

#include <string_view>

namespace bulrush::relay {

/// Longest key that is compared; longer ones are unknown.
inline constexpr std::size_t MaxKeyBytes = 256;

/// Returns the key in the value of an `Authorization` header (RFC 6750); empty
/// if the value is not `Bearer KEY` or the key is longer than `MaxKeyBytes`.
std::string_view bearerKey(std::string_view Authorization);

/// Index of the accounts of one catalog by key. The time of a lookup reveals
/// nothing of the bytes of the known keys: the position of a key depends on a
/// hash with a secret seed, and equal hashes are followed by a comparison whose
/// time depends on the lengths only.
class account_table {
public:
  /// Refers to `Accounts` and their keys, which must outlive the table. Draw
  /// `Seed` at random at the start of the process.
  account_table(const std::vector<account> &Accounts, std::uint64_t Seed);

  /// Returns null if no account has the key. An empty key belongs to none.
  const account *find(std::string_view Key) const;

  /// Memory of the index, without the accounts.
  std::size_t sizeInBytes() const { return Entries.capacity() * sizeof(entry); }

private:
  struct entry {
    std::uint64_t Hash = 0;
    const std::string *Key = nullptr;
    const account *Account = nullptr;
  };

  std::uint64_t hashOf(std::string_view Key) const;

  std::uint64_t Seed;
  std::vector<entry> Entries; ///< by hash
};

} // namespace bulrush::relay

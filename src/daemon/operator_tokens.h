/// Authentication of operators by bearer token.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/ids.h"

#include <map>
#include <string>

namespace bulrush::daemon {

/// Holds one token per operator. Without a token file every request is allowed.
class operator_tokens {
public:
  /// Reads a JSON file such as
  /// `{"operators": [{"name": "anna", "tokenFile": "anna.token"}]}`.
  static expected<operator_tokens> load(const std::string &Path);

  /// Whether the token belongs to the operator. The comparison takes constant
  /// time for all tokens of the right length.
  bool isAllowed(const operator_id &Operator, const std::string &Token) const;
  /// Whether the token belongs to any operator.
  bool isKnown(const std::string &Token) const;

private:
  bool AllowsAnyToken = true;
  std::map<operator_id, std::string> Tokens;
};

} // namespace bulrush::daemon

/// Who may speak for which operator.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/ids.h"

#include <map>
#include <string>

namespace bulrush::daemon {

/// One token an operator. Without a file every operator is let in.
class operator_tokens {
public:
  /// Reads `{"operators": [{"name": "anna", "tokenFile": "anna.token"}]}`.
  static expected<operator_tokens> load(const std::string &Path);

  /// Whether the token belongs to the operator. Takes the same time for each
  /// wrong token of the right length.
  bool isAllowed(const operator_id &Operator, const std::string &Token) const;
  /// Whether the token belongs to any operator.
  bool isKnown(const std::string &Token) const;

private:
  bool IsOpen = true;
  std::map<operator_id, std::string> Tokens;
};

} // namespace bulrush::daemon

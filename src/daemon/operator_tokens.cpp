#include "daemon/operator_tokens.h"

#include "settings/json_reader.h"
#include "settings/paths.h"

namespace bulrush::daemon {

namespace {

constexpr std::size_t MinTokenCharacters = 16;

bool equalInConstantTime(const std::string &Left, const std::string &Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I]) ^
                  static_cast<unsigned char>(Right[I]);
  return Difference == 0;
}

std::string trimTrailingSpace(std::string Text) {
  while (!Text.empty() && std::isspace(static_cast<unsigned char>(Text.back())))
    Text.pop_back();
  return Text;
}

} // namespace

expected<operator_tokens> operator_tokens::load(const std::string &Path) {
  operator_tokens Out;
  if (Path.empty())
    return Out;
  const auto Text = settings::readFile(Path);
  if (!Text)
    return fail(Text.error());
  struct token_file {
    operator_id Operator;
    std::string File;
  };
  std::vector<token_file> Files;
  const auto Read =
      settings::readObject(*Text, Path, [&](settings::object_reader &Reader) {
        Reader.objects("operators", true, [&](settings::object_reader &Item) {
          Files.push_back(
              {{Item.text("name")},
               settings::resolvePath(Path, Item.text("tokenFile"))});
        });
      });
  if (!Read)
    return fail(Read.error());
  for (const token_file &Each : Files) {
    const auto Token = settings::readFile(Each.File);
    if (!Token)
      return fail(Token.error());
    std::string Trimmed = trimTrailingSpace(*Token);
    if (Trimmed.size() < MinTokenCharacters)
      return fail(Each.File + ": a token must have at least 16 characters");
    Out.Tokens[Each.Operator] = std::move(Trimmed);
  }
  Out.AllowsAnyToken = false;
  return Out;
}

bool operator_tokens::isAllowed(const operator_id &Operator,
                                const std::string &Token) const {
  if (AllowsAnyToken)
    return true;
  const auto Found = Tokens.find(Operator);
  return Found != Tokens.end() && equalInConstantTime(Found->second, Token);
}

bool operator_tokens::isKnown(const std::string &Token) const {
  bool IsKnown = AllowsAnyToken;
  for (const auto &[Operator, Known] : Tokens)
    IsKnown = equalInConstantTime(Known, Token) || IsKnown;
  return IsKnown;
}

} // namespace bulrush::daemon

#include "ctl/table.h"

#include <algorithm>
#include <vector>

namespace bulrush::ctl {

namespace {

using nlohmann::json;

bool isObjectArray(const json &Value) {
  return Value.is_array() && !Value.empty() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const json &Item) { return Item.is_object(); });
}

std::string cellText(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_array())
    return Value.dump();
  std::string Out;
  for (const json &Item : Value)
    Out += (Out.empty() ? "" : " ") + cellText(Item);
  return Out.empty() ? "-" : Out;
}

std::string padded(std::string Text, std::size_t Width) {
  Text.resize(std::max(Width, Text.size()), ' ');
  return Text;
}

struct column {
  std::string Name;
  std::size_t Width = 0;
};

std::vector<column> columnsOf(const json &Rows) {
  std::vector<column> Out;
  for (const json &Row : Rows)
    for (const auto &[Key, Value] : Row.items()) {
      auto Found = std::find_if(
          Out.begin(), Out.end(),
          [&, &Name = Key](const column &C) { return C.Name == Name; });
      if (Found == Out.end())
        Found = Out.insert(Out.end(), {Key, Key.size()});
      Found->Width = std::max(Found->Width, cellText(Value).size());
    }
  return Out;
}

std::string rowsText(const json &Rows, const std::string &Indent) {
  const std::vector<column> Columns = columnsOf(Rows);
  std::string Out = Indent;
  for (const column &Column : Columns)
    Out += padded(Column.Name, Column.Width) + "  ";
  Out += '\n';
  for (const json &Row : Rows) {
    Out += Indent;
    for (const column &Column : Columns) {
      const auto Found = Row.find(Column.Name);
      Out += padded(Found == Row.end() ? "-" : cellText(*Found), Column.Width) +
             "  ";
    }
    Out += '\n';
  }
  return Out;
}

std::string objectText(const json &Object, const std::string &Indent) {
  std::string Out;
  for (const auto &[Key, Value] : Object.items()) {
    if (isObjectArray(Value))
      Out += Indent + Key + ":\n" + rowsText(Value, Indent + "  ");
    else if (Value.is_object())
      Out += Indent + Key + ":\n" + objectText(Value, Indent + "  ");
    else
      Out += Indent + Key + ": " + cellText(Value) + '\n';
  }
  return Out;
}

} // namespace

std::string toTable(const json &Json) {
  if (isObjectArray(Json))
    return rowsText(Json, "");
  if (Json.is_object())
    return objectText(Json, "");
  return cellText(Json) + '\n';
}

} // namespace bulrush::ctl

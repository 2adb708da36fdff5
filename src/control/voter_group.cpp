#include "control/voter_group.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrush::control {

using nlohmann::json;

const group_member *voter_group::find(voter_id Id) const {
  for (const group_member &Member : Members)
    if (Member.Id == Id)
      return &Member;
  return nullptr;
}

const group_member *voter_group::findByVm(vm_id Vm) const {
  const group_member *Found = nullptr;
  for (const group_member &Member : Members)
    if (Member.Vm == Vm && (!Found || Member.Role == member_role::voter))
      Found = &Member;
  return Found;
}

bool voter_group::hasVoter(voter_id Id) const {
  const group_member *Member = find(Id);
  return Member && Member->Role == member_role::voter;
}

std::size_t voter_group::voterCount() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [](const group_member &M) {
        return M.Role == member_role::voter;
      }));
}

voter_group voter_group::with(group_member Member) const {
  voter_group Result = without(Member.Id);
  auto Position = std::find_if(
      Result.Members.begin(), Result.Members.end(),
      [&](const group_member &Other) { return Member.Id < Other.Id; });
  Result.Members.insert(Position, Member);
  return Result;
}

voter_group voter_group::without(voter_id Id) const {
  voter_group Result;
  for (const group_member &Member : Members)
    if (Member.Id != Id)
      Result.Members.push_back(Member);
  return Result;
}

std::string encodeGroup(const voter_group &Group) {
  json Members = json::array();
  for (const group_member &Member : Group.Members)
    Members.push_back(
        {Member.Id.Value, Member.Vm.Value, Member.Role == member_role::voter});
  return Members.dump();
}

expected<voter_group> decodeGroup(std::string_view Bytes) {
  json Members = json::parse(Bytes, nullptr, false);
  if (!Members.is_array())
    return fail("voter group: not a list");
  voter_group Group;
  for (const json &Item : Members) {
    if (!Item.is_array() || Item.size() != 3 || !Item[0].is_number_unsigned() ||
        !Item[1].is_number_unsigned() || !Item[2].is_boolean())
      return fail("voter group: malformed member");
    group_member Member{voter_id{Item[0].get<std::uint64_t>()},
                        vm_id{Item[1].get<std::uint32_t>()},
                        Item[2].get<bool>() ? member_role::voter
                                            : member_role::learner};
    Group = Group.with(Member);
  }
  return Group;
}

} // namespace bulrush::control

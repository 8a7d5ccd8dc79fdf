// Resolves a key to its slice with the catalogue, and the slice to its members
// with the assignment.
#include "orioledoor/oriolectl/explanation.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/catalogue/catalogue.h"

namespace orioledoor::ctl {
namespace {

using nlohmann::json;

absl::Status notFound(const std::string &Message) {
  return makeError(absl::StatusCode::kNotFound, "explain key", "", Message);
}

// Returns the recorded member, or a deposed placeholder if the assignment no
// longer lists it.
ownership::Member findMemberOrDeposed(const ownership::Assignment &Recorded,
                                      MemberId Id) {
  const ownership::Member *Found = Recorded.find(Id);
  if (Found)
    return *Found;
  ownership::Member Removed;
  Removed.Id = Id;
  Removed.Deposed = true;
  return Removed;
}

json memberJson(const ExplainedMember &Value) {
  const ownership::Member &Member = Value.Member;
  json Out = {{"part", Value.Role},
              {"member", Member.Id.Value},
              {"node", Member.Name},
              {"address", Member.HttpAddress},
              {"region", Member.Region},
              {"failure_domain", Member.FailureDomain},
              {"state", Member.Deposed   ? "deposed"
                        : Member.Leaving ? "leaving"
                                         : "member"}};
  if (Value.Role != "guardian")
    Out["fence"] = Value.FenceNumber.Value;
  return Out;
}

json membersJson(const std::vector<ExplainedMember> &Members) {
  json Out = json::array();
  std::ranges::transform(Members, std::back_inserter(Out), memberJson);
  return Out;
}

} // namespace

const ExplainedMember *Explanation::actingOwner() const {
  auto Found =
      std::ranges::find_if(this->Succession, [](const ExplainedMember &M) {
        return !M.Member.Deposed;
      });
  return Found == this->Succession.end() ? nullptr : &*Found;
}

absl::StatusOr<Explanation> explainKey(const Catalogue &Services,
                                       const ownership::Assignment &Recorded,
                                       std::string_view Service,
                                       std::string_view Key) {
  const ServiceEntry *Entry = Services.find(Service);
  if (!Entry)
    return notFound(
        absl::StrCat("the catalogue has no service \"", toAbsl(Service), "\""));
  if (Key.empty())
    return notFound("the key is empty");
  Explanation Result;
  Result.Service = Service;
  Result.Key = Key;
  Result.DividedByKey = Entry->DividedByKey;
  Result.Slice = sliceOf(Key, Entry->Slices);
  Result.AssignmentVersion = Recorded.Version;
  SliceRef Ref{Entry->Id, Result.Slice};
  const ownership::SliceOwner *Owner = Recorded.find(Ref);
  if (!Owner)
    return notFound(absl::StrCat("assignment version ", Recorded.Version,
                                 " has no ",
                                 sliceSubject(Service, Result.Slice)));
  ownership::SuccessionList List = Recorded.successionOf(Ref);
  for (MemberId Id : List.Members) {
    std::uint32_t Position =
        static_cast<std::uint32_t>(Result.Succession.size());
    std::string Role = Position == 0             ? "owner"
                       : Id == Owner->MoveTarget ? "move target"
                                                 : "successor";
    Result.Succession.push_back({findMemberOrDeposed(Recorded, Id),
                                 std::move(Role),
                                 Fence{List.FencingNumber.Value + Position}});
  }
  if (!Result.Succession.empty())
    for (const ownership::Guardian &Guardian :
         Result.Succession.front().Member.Guardians)
      Result.Guardians.push_back(
          {findMemberOrDeposed(Recorded, Guardian.Member), "guardian",
           Fence{}});
  return Result;
}

json explanationJson(const Explanation &Value) {
  json Out = {{"service", Value.Service},
              {"key", Value.Key},
              {"slice", Value.Slice},
              {"divided_by_key", Value.DividedByKey},
              {"assignment_version", Value.AssignmentVersion},
              {"owner", nullptr},
              {"succession", membersJson(Value.Succession)},
              {"guardians", membersJson(Value.Guardians)}};
  if (const ExplainedMember *ActingOwner = Value.actingOwner()) {
    Out["owner"] = ActingOwner->Member.Id.Value;
    Out["owner_node"] = ActingOwner->Member.Name;
    Out["owner_address"] = ActingOwner->Member.HttpAddress;
    Out["fence"] = ActingOwner->FenceNumber.Value;
  }
  return Out;
}

} // namespace orioledoor::ctl

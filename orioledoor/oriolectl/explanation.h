// Where a key belongs according to the store, and what led there.
//
//   absl::StatusOr<Explanation> Found =
//       explainKey(Catalogue, Assignment, "consulta", "font-17");
#ifndef ORIOLEDOOR_ORIOLECTL_EXPLANATION_H
#define ORIOLEDOOR_ORIOLECTL_EXPLANATION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/status/statusor.h"
#include "orioledoor/base/ids.h"
#include "orioledoor/ownership/assignment.h"

namespace orioledoor {
struct Catalogue;
} // namespace orioledoor

namespace orioledoor::ctl {

// A member and its part in the succession list of the slice.
struct ExplainedMember {
  ownership::Member Member;
  // "owner", "move target", "successor" or "guardian".
  std::string Part;
  // The number under which it serves when it is first; 0 for guardians.
  Fence Number;
};

struct Explanation {
  std::string Service;
  std::string Key;
  std::uint32_t Slice = 0;
  bool DividedByKey = false;
  std::uint64_t AssignmentVersion = 0;
  // The recorded list: owner first. Empty if the slice has no owner yet.
  std::vector<ExplainedMember> Succession;
  // Of the recorded owner.
  std::vector<ExplainedMember> Guardians;

  // The first of the list that is not deposed, or null: the owner by the rule
  // of ownership, as far as the document given to explainKey() says.
  const ExplainedMember *acting() const;
};

// Errors: kNotFound if the catalogue has no such service, the assignment has
// no slices for it yet, or Key is empty.
absl::StatusOr<Explanation> explainKey(const Catalogue &Services,
                                       const ownership::Assignment &Recorded,
                                       std::string_view Service,
                                       std::string_view Key);

// "owner" is the member id of acting(), or null.
nlohmann::json explanationJson(const Explanation &Value);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_EXPLANATION_H

// Determines which member owns a key according to the documents in the store,
// and the members that would succeed it.
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

// A member and its role for the slice of the key.
struct ExplainedMember {
  ownership::Member Member;
  // "owner", "move target", "successor" or "guardian".
  std::string Role;
  // The fence that the member uses when all members before it in the list are
  // deposed; 0 for guardians.
  Fence FenceNumber;
};

struct Explanation {
  std::string Service;
  std::string Key;
  std::uint32_t Slice = 0;
  bool DividedByKey = false;
  std::uint64_t AssignmentVersion = 0;
  // The succession list as recorded in the assignment, with the owner first.
  // Empty if the slice has no owner yet.
  std::vector<ExplainedMember> Succession;
  // The guardians of the recorded owner.
  std::vector<ExplainedMember> Guardians;

  // Returns the first member of Succession that is not deposed, or null if
  // there is none. It is the owner in effect according to the assignment that
  // was passed to explainKey().
  const ExplainedMember *actingOwner() const;
};

// Looks up the slice of Key and its members. Errors: kNotFound if the catalogue
// does not contain the service, the assignment does not contain its slices yet,
// or Key is empty.
absl::StatusOr<Explanation> explainKey(const Catalogue &Services,
                                       const ownership::Assignment &Recorded,
                                       std::string_view Service,
                                       std::string_view Key);

// Returns the explanation as JSON. The field "owner" is the member id of
// actingOwner(), or null.
nlohmann::json explanationJson(const Explanation &Value);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_EXPLANATION_H

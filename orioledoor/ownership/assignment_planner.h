// Works out the next version of the assignment from the current one and from
// what the coordinator knows. Pure: the coordinator asks for the promises and
// consents that the plan names and writes Next only once it has them all.
// See docs/design.md, sections 4.3 and 4.4.
//
//   AssignmentPlan Plan = planAssignment(Input);
//   if (Plan.hasChanges()) gather(Plan.Promises, Plan.Consents);
#ifndef ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_PLANNER_H
#define ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_PLANNER_H

#include <functional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/join_request.h"
#include "orioledoor/ownership/message.h"

namespace orioledoor {
struct Catalogue;
} // namespace orioledoor

namespace orioledoor::ownership {

class FactSet;
class LoadModel;

// One reason for a new version, for the audit trail.
struct PlannedChange {
  std::string Action;
  std::string Subject;
  std::string From;
  std::string To;
  std::string Reason;
};

// A guardian that is to give up its present term for a member.
struct RequiredConsent {
  MemberId Guardian;
  MemberId Member;

  friend auto operator<=>(const RequiredConsent &,
                          const RequiredConsent &) = default;
};

struct AssignmentPlanInput {
  const Assignment &Current;
  const Catalogue &ActiveCatalogue;
  const FactSet &Known;
  const LoadModel &Loads;
  Instant Now;
  std::span<const JoinRequest> JoinRequests;
  // Perhaps no member holds a permission: admit one, without guardians, so
  // that it permits itself.
  bool AdmitSingleMember = false;
  // Handovers that the new owner reported.
  std::span<const YieldAck> CompletedHandovers;
  // Members whose regions an operator declared lost, long enough ago.
  std::set<MemberId> DeclaredLostMembers;
  // Members that announced that they are leaving.
  std::set<MemberId> LeavingMembers;
  // Members that did not answer lately; changes that need their promise wait.
  std::set<MemberId> UnresponsiveMembers;
  // Guardians that released a live member and may be named again now.
  std::set<RequiredConsent> RenewableGuardians;
  // Services whose slices may get their first owners.
  std::function<bool(ServiceId)> MayAssignFirstOwners;
  // Whether the slice rested long enough since its last move.
  std::function<bool(SliceRef)> MoveCooldownElapsed;
};

struct AssignmentPlan {
  Assignment Next;
  std::vector<PlannedChange> Changes;
  // Each must promise to act as a successor only under Next or newer.
  std::set<MemberId> RequiredPromises;
  std::set<RequiredConsent> RequiredConsents;
  // Names whose join requests Next answers.
  std::vector<std::string> AdmittedNames;
  std::vector<SliceRef> StartedMoves;

  bool hasChanges() const { return !this->Changes.empty(); }
};

// Complexity: linear in slices and members, times members for guardians and
// successors that have to be chosen.
AssignmentPlan planAssignment(const AssignmentPlanInput &Input);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_PLANNER_H

// Computes the next version of the assignment from the current version and the
// facts known to the coordinator. A pure function: the coordinator requests the
// promises and consents that the plan requires and writes Next only after it
// has received all of them. See docs/design.md, sections 4.3 and 4.4.
//
//   AssignmentPlan Plan = planAssignment(Input);
//   if (Plan.hasChanges())
//     requestResponses(Plan.RequiredPromises, Plan.RequiredConsents);
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

// One change in a new version, recorded in the audit trail.
struct PlannedChange {
  std::string Action;
  std::string Subject;
  std::string From;
  std::string To;
  std::string Reason;
};

// Identifies a guardian that must consent to give up its current term for a
// member.
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
  // Possibly no member holds a permission: admit a single member without
  // guardians, so that it grants permissions to itself.
  bool AdmitSingleMember = false;
  // Completed handovers, as reported to the coordinator.
  std::span<const YieldAck> CompletedHandovers;
  // Members in regions that an operator declared lost, after the safety delay.
  std::set<MemberId> DeclaredLostMembers;
  // Members that announced that they are leaving.
  std::set<MemberId> LeavingMembers;
  // Members that recently did not reply. Changes that need a promise from them
  // are postponed.
  std::set<MemberId> UnresponsiveMembers;
  // Guardians that released a live member and may be assigned to it again.
  std::set<RequiredConsent> RenewableGuardians;
  // Whether the slices of the service may get their first owners.
  std::function<bool(ServiceId)> MayAssignFirstOwners;
  // Whether enough time has passed since the last move of the slice.
  std::function<bool(SliceRef)> MoveCooldownElapsed;
};

struct AssignmentPlan {
  Assignment Next;
  std::vector<PlannedChange> Changes;
  // Members that must promise to act as a successor only under Next or a newer
  // version.
  std::set<MemberId> RequiredPromises;
  std::set<RequiredConsent> RequiredConsents;
  // Names of the nodes whose join requests Next fulfills.
  std::vector<std::string> AdmittedNames;
  std::vector<SliceRef> StartedMoves;

  bool hasChanges() const { return !this->Changes.empty(); }
};

// Complexity: linear in the number of slices and members, plus O(members^2) for
// each guardian and O(members) for each successor that must be chosen.
AssignmentPlan planAssignment(const AssignmentPlanInput &Input);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_PLANNER_H

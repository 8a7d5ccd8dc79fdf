// Chooses guardians and successors. Part of the assignment planner.
#ifndef ORIOLEDOOR_OWNERSHIP_INTERNAL_CANDIDATES_H
#define ORIOLEDOOR_OWNERSHIP_INTERNAL_CANDIDATES_H

#include <vector>

#include "orioledoor/base/ids.h"

namespace orioledoor::ownership {

struct Assignment;
struct Member;

namespace internal {

// Adds guardians to Subject, a member of Next, until two live ones that do not
// leave are recorded: one in its region, one in another, both in other failure
// domains. Their term is Next.Version. Linear in the members.
void addGuardians(const Assignment &Next, Member &Subject);

// The successors that Subject should have, a list a bucket. Keeps those of
// the present lists that are live and do not leave, so that lists change
// rarely. Linear in the members.
std::vector<std::vector<MemberId>> chooseSuccessors(const Assignment &Next,
                                                    const Member &Subject);

} // namespace internal
} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_CANDIDATES_H

// Chooses guardians and successors for a member. Part of the assignment
// planner.
#ifndef ORIOLEDOOR_OWNERSHIP_INTERNAL_CANDIDATES_H
#define ORIOLEDOOR_OWNERSHIP_INTERNAL_CANDIDATES_H

#include <vector>

#include "orioledoor/base/ids.h"

namespace orioledoor::ownership {

struct Assignment;
struct Member;

namespace internal {

// Adds guardians to Subject, a member of Next, until it has two that are live
// and not leaving: if possible one in its region and one in another, and always
// in other failure domains. Their term is Next.Version. Complexity:
// O(members^2) for each guardian added.
void addGuardians(const Assignment &Next, Member &Subject);

// Returns the successors that Subject should have, one list per bucket. Keeps
// current successors that are live and not leaving, so that lists rarely
// change. Linear in the number of members.
std::vector<std::vector<MemberId>> chooseSuccessors(const Assignment &Next,
                                                    const Member &Subject);

} // namespace internal
} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_CANDIDATES_H

// The guardian's side of permissions: grants, releases, consents, and deriving
// that a member is deposed. See docs/design.md, section 4.2.
//
//   GuardianRole Duty(Node);
//   Duty.handle(Now, From, Received, HoldsPermission, Output);  // a Renew
//   DerivedFacts News = Duty.tick(Now, HoldsPermission, Output);
#ifndef ORIOLEDOOR_OWNERSHIP_GUARDIAN_ROLE_H
#define ORIOLEDOOR_OWNERSHIP_GUARDIAN_ROLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/effect.h"

namespace orioledoor::ownership {

struct NodeState;

// A guardian releases a member after this long without a renewal, or with
// renewals that say that it holds no permission.
inline constexpr Duration ReleaseAfter = std::chrono::milliseconds(500);

// Facts that arose at this guardian and are to be told to those concerned.
struct DerivedFacts {
  std::vector<Release> Releases;
  std::vector<MemberId> Deposed;
};

// Not thread-safe. A tick is linear in the members guarded (about 2).
class GuardianRole {
public:
  explicit GuardianRole(NodeState &Node);

  // The assignment changed: takes up and gives up duties.
  void assignmentChanged(Instant Now);
  // Gives up all duties: this node is no longer a member.
  void reset();

  // HoldsPermission: this node itself holds one at Now.
  DerivedFacts tick(Instant Now, bool HoldsPermission, Effects &Output);
  void handle(Instant Now, const std::string &From, const Renew &Received,
              bool HoldsPermission, Effects &Output);
  void handle(const std::string &From, const ConsentRequest &Received);

  // Members guarded under the assignment held.
  std::vector<MemberId> members() const;

private:
  struct GuardedMember {
    std::uint64_t Term = 0;
    Instant LastRenewal;
    // Since when the member was granted and yet says that it holds no
    // permission.
    std::optional<Instant> UnpermittedSince;
    // No grant of this node is alive after it.
    Instant GrantsEnd;
    // The member may still permit itself: not to be released before it has
    // shown that it knows of its guardian.
    bool AwaitsFirstRenewal = false;
    bool Released = false;
    bool ReleaseAnnounced = false;
  };
  struct PendingConsent {
    std::string ReplyTo;
    std::uint64_t Version = 0;
    // Grants that this node sent before have ended by then.
    Instant GrantsEnd;
    bool Answered = false;
  };

  bool hasConsented(MemberId Member) const;
  bool isReleasedByOther(MemberId Member) const;
  void announceRelease(MemberId Member, GuardedMember &Guarded, Instant Now,
                       DerivedFacts &Derived, Effects &Output);

  NodeState &Node;
  std::map<MemberId, GuardedMember> GuardedMembers;
  // Neither grants to nor derivations about the member below the version.
  std::map<MemberId, PendingConsent> Consents;
  Instant LastTick;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_GUARDIAN_ROLE_H

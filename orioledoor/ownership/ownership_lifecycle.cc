// Lifecycle of a membership: admission, loss of the permission, leaving, and
// the effects of a new assignment or fact. Continues the implementation of
// OwnershipReducer; ownership_reducer.cc dispatches events.
#include <algorithm>
#include <utility>

#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/ownership_reducer.h"

namespace orioledoor::ownership {
namespace {

// A member that holds no permission for this long leaves and joins again as a
// new member.
constexpr Duration UnpermittedLimit = std::chrono::milliseconds(1500);
// The same limit for a member whose guardians can no longer grant. With the 800
// ms for which the last grant of a lost guardian lasts, other members serve its
// slices within 2 s. A limit this short must not apply to every member: a fleet
// that had lost all permissions then did not recover (seed 60330 of the
// differential test).
constexpr Duration NoGuardianLimit = std::chrono::milliseconds(700);
// Maximum time that a planned stop waits for slices and guardian assignments to
// be moved.
constexpr Duration LeavingLimit = std::chrono::seconds(20);
// The write that records a member as leaving also names guardians that replace
// it. Their grants count only after the leaving member has granted under that
// version.
constexpr Duration HandoverTime = std::chrono::seconds(1);
// Delay before the process exits, during which the announcement that the member
// left is repeated because a message may be lost.
constexpr Duration ExitDelay = std::chrono::milliseconds(300);

} // namespace

void OwnershipReducer::updateParts(Instant Now, Effects &Output) {
  if (std::optional<DistributionUpdate> Update = this->Distributor.takeUpdate())
    this->applyUpdate(Now, *Update, Output);
  if (this->Node.Id && this->Node.isDeposed(this->Node.Id))
    this->endMembership(Now, this->CurrentStage == Stage::Active, Output);
  if (this->RefreshedVersion == this->Node.Current->Version &&
      this->RefreshedFacts == this->Node.FactsRevision)
    return;
  this->RefreshedVersion = this->Node.Current->Version;
  this->RefreshedFacts = this->Node.FactsRevision;
  this->Slices.refresh(Now, Output);
  this->IsStoreWatcher = this->isStoreWatcher();
}

void OwnershipReducer::applyUpdate(Instant Now,
                                   const DistributionUpdate &Update,
                                   Effects &Output) {
  if (Update.NewAssignment) {
    bool Newer = Update.NewAssignment->Version > this->Node.Current->Version;
    MemberId Before = this->Node.Current->Coordinator;
    this->Node.Current = Update.NewAssignment;
    if (Newer) {
      for (const Member &M : this->Node.Current->Members)
        if (M.Deposed)
          this->Node.recordDeposed(M.Id, Now);
      // A new coordinator does not have this node's load yet.
      if (this->Node.Current->Coordinator != Before)
        this->Reporter.reportAtNextTick();
      if (MemberId Id = this->Join.admittedAs())
        this->enterMembership(Now, Id, Output);
      this->Permission.updateFromAssignment(Now);
      this->Guardianship.updateFromAssignment(Now);
      this->Node.Known.prune(*this->Node.Current);
      writeLog(events::AssignmentApplied,
               {{"version", std::to_string(this->Node.Current->Version)}},
               Output);
    }
    this->OwnCoordinator.updateAssignment(*this->Node.Current,
                                          Update.ModRevision);
    if (Newer)
      this->Distributor.announceVersions(Output);
  }
  if (Update.NewCatalogue) {
    this->OwnCoordinator.updateCatalogue(Update.NewCatalogue);
    this->Distributor.announceVersions(Output);
  }
}

void OwnershipReducer::enterMembership(Instant Now, MemberId Id,
                                       Effects &Output) {
  this->Join.stop();
  this->Node.Id = Id;
  this->LastPermittedAt = Now;
  this->WasPermitted = false;
  this->OwnCoordinator.setSelf(Id);
  this->Reporter.reportAtNextTick();
  writeLog(events::MemberAdmitted, {{"member", std::to_string(Id.Value)}},
           Output);
}

void OwnershipReducer::endMembership(Instant Now, bool Rejoin,
                                     Effects &Output) {
  MemberId FormerId = std::exchange(this->Node.Id, MemberId{});
  this->Slices.reset(Output);
  this->Permission.reset();
  this->Guardianship.reset();
  this->OwnCoordinator.setSelf({});
  this->IsStoreWatcher = false;
  ++this->Node.FactsRevision;
  this->Node.Known.addLeft(FormerId, Now);
  this->FactGossip.announce(Now, Facts{{}, {}, {FormerId}, {}}, Output);
  writeLog(events::MemberLeft, {{"member", std::to_string(FormerId.Value)}},
           Output);
  this->CurrentStage = Rejoin ? Stage::Active : Stage::Stopped;
  if (Rejoin && this->Target)
    this->Join.start(Now, *this->Target);
  if (this->ExitRequested)
    this->ExitAt = Now + ExitDelay;
}

void OwnershipReducer::trackPermission(Instant Now, Effects &Output) {
  if (!this->Node.Id)
    return;
  bool Holds = this->Permission.holds(Now);
  if (Holds)
    this->LastPermittedAt = Now;
  if (std::exchange(this->WasPermitted, Holds) != Holds)
    writeLog(Holds ? events::PermissionGained : events::PermissionLost, {},
             Output);
  auto CanGrant = [&](const PermissionHolder::GuardianLink &Link) {
    return this->Permission.isEffective(Link) &&
           !this->Node.isDeposed(Link.Recorded.Member);
  };
  bool NoGuardianCanGrant =
      !this->Permission.guardianLinks().empty() &&
      std::ranges::none_of(this->Permission.guardianLinks(), CanGrant);
  if (Now - this->LastPermittedAt >=
      (NoGuardianCanGrant ? NoGuardianLimit : UnpermittedLimit))
    this->endMembership(Now, this->CurrentStage == Stage::Active, Output);
}

void OwnershipReducer::startLeaving(Instant Now, Effects &Output) {
  this->Join.stop();
  if (!this->Node.Id) {
    this->CurrentStage = Stage::Stopped;
    if (this->ExitRequested)
      this->ExitAt = Now;
    return;
  }
  if (this->CurrentStage != Stage::Active)
    return;
  this->CurrentStage = Stage::Leaving;
  this->LeavingStartedAt = Now;
  this->LeavingRecordedAt.reset();
  this->Reporter.reportAtNextTick();
  writeLog(events::StopStarted, {}, Output);
}

void OwnershipReducer::advanceLeaving(Instant Now, Effects &Output) {
  if (this->ExitAt && Now >= *this->ExitAt) {
    this->ExitAt.reset();
    Output.push_back(StopCompleted{});
  }
  if (!this->Node.Id)
    return;
  if (this->CurrentStage == Stage::PermissionExpiring &&
      !this->Permission.holds(Now))
    return this->endMembership(Now, false, Output);
  if (this->CurrentStage != Stage::Leaving)
    return;
  const Member *Self = this->Node.self();
  if (Self && Self->Leaving && !this->LeavingRecordedAt)
    this->LeavingRecordedAt = Now;
  if (this->LeavingRecordedAt &&
      Now - *this->LeavingRecordedAt >= HandoverTime && this->Slices.isIdle())
    return this->endMembership(Now, false, Output);
  bool NoOtherMember =
      std::ranges::none_of(this->Node.Current->Members, [&](const Member &M) {
        return M.Id != this->Node.Id && !this->Node.isDeposed(M.Id);
      });
  if (!NoOtherMember && Now - this->LeavingStartedAt < LeavingLimit)
    return;
  writeLog(events::StopOverdue,
           {{"slices", std::to_string(this->Slices.ownedCount())},
            {"duties", std::to_string(this->Guardianship.members().size())}},
           Output);
  // Work in flight ends before the permission expires.
  this->CurrentStage = Stage::PermissionExpiring;
  this->Permission.stopRenewing();
}

bool OwnershipReducer::isStoreWatcher() const {
  const std::vector<Member> &Members = this->Node.Current->Members;
  auto Lowest = std::ranges::find_if(Members, [&](const Member &M) {
    return M.FailureDomain == this->Node.Self.FailureDomain && !M.Leaving &&
           !this->Node.isDeposed(M.Id);
  });
  return this->Node.Id && Lowest != Members.end() &&
         Lowest->Id == this->Node.Id;
}

void OwnershipReducer::updateRoles(Instant Now, Effects &Output) {
  bool IsActive = this->CurrentStage == Stage::Active;
  // A coordinator that lost its membership admits itself again.
  bool Eligible =
      IsActive && (this->IsStoreWatcher || this->Join.mayCoordinate(Now) ||
                   (this->Join.isActive() && this->OwnCoordinator.isActive()));
  this->OwnCoordinator.setEligible(Eligible);
  this->OwnCoordinator.setPermitted(this->Permission.holds(Now));
  this->Distributor.setWatching(Eligible || this->IsStoreWatcher, Output);
}

} // namespace orioledoor::ownership

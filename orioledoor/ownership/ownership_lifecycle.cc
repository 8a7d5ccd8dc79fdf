// The life of a membership: admission, loss of the permission, leaving, and
// what follows from a new assignment or fact. Second part of
// OwnershipReducer; ownership_reducer.cc dispatches events.
#include <algorithm>
#include <utility>

#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/ownership_reducer.h"

namespace orioledoor::ownership {
namespace {

// A member that held no permission for this long starts over as a new member.
constexpr Duration UnpermittedLimit = std::chrono::milliseconds(1500);
// The same for a member none of whose guardians can grant again: with the 800
// ms that a lost guardian's last grant lasts, its slices are open elsewhere
// within 2 s. Applied to every member, it kept a fleet that had lost all
// permissions from settling (seed 60330 of the differential test).
constexpr Duration NoGuardianLimit = std::chrono::milliseconds(700);
// After it, a planned stop no longer waits for slices and duties to be moved.
constexpr Duration LeavingLimit = std::chrono::seconds(20);
// The write that records a member as leaving names guardians in its place; they
// count once it has granted under that version.
constexpr Duration HandoverTime = std::chrono::seconds(1);
// Time to repeat Left, which may be lost, before the process exits.
constexpr Duration ExitDelay = std::chrono::milliseconds(300);

} // namespace

void OwnershipReducer::settle(Instant Now, Effects &Output) {
  if (std::optional<DistributionNews> News = this->Distributor.takeNews())
    this->applyNews(Now, *News, Output);
  if (this->Node.Id && this->Node.isDeposed(this->Node.Id))
    this->depart(Now, this->Phase == Stage::Active, Output);
  if (this->SeenVersion == this->Node.Current->Version &&
      this->SeenFacts == this->Node.FactsRevision)
    return;
  this->SeenVersion = this->Node.Current->Version;
  this->SeenFacts = this->Node.FactsRevision;
  this->Slices.refresh(Now, Output);
  this->DomainWatcher = this->isDomainWatcher();
}

void OwnershipReducer::applyNews(Instant Now, const DistributionNews &News,
                                 Effects &Output) {
  if (News.NewAssignment) {
    bool Newer = News.NewAssignment->Version > this->Node.Current->Version;
    MemberId Before = this->Node.Current->Coordinator;
    this->Node.Current = News.NewAssignment;
    if (Newer) {
      for (const Member &M : this->Node.Current->Members)
        if (M.Deposed)
          this->Node.learnDeposed(M.Id, Now);
      // A new coordinator does not know this node's load yet.
      if (this->Node.Current->Coordinator != Before)
        this->Load.hurry();
      if (MemberId Id = this->Join.admittedAs())
        this->becomeMember(Now, Id, Output);
      this->Permission.assignmentChanged(Now);
      this->Duty.assignmentChanged(Now);
      this->Node.Known.prune(*this->Node.Current);
      writeLog(events::AssignmentApplied,
               {{"version", std::to_string(this->Node.Current->Version)}},
               Output);
    }
    this->Planner.observe(*this->Node.Current, News.ModRevision);
    if (Newer)
      this->Distributor.pushVersions(Output);
  }
  if (News.NewCatalogue) {
    this->Planner.observe(News.NewCatalogue);
    this->Distributor.pushVersions(Output);
  }
}

void OwnershipReducer::becomeMember(Instant Now, MemberId Id, Effects &Output) {
  this->Join.stop();
  this->Node.Id = Id;
  this->LastPermitted = Now;
  this->WasPermitted = false;
  this->Planner.setSelf(Id);
  this->Load.hurry();
  writeLog(events::MemberAdmitted, {{"member", std::to_string(Id.Value)}},
           Output);
}

void OwnershipReducer::depart(Instant Now, bool Rejoin, Effects &Output) {
  MemberId Former = std::exchange(this->Node.Id, MemberId{});
  this->Slices.reset(Output);
  this->Permission.reset();
  this->Duty.reset();
  this->Planner.setSelf({});
  this->DomainWatcher = false;
  ++this->Node.FactsRevision;
  this->Node.Known.addLeft(Former, Now);
  this->Spread.announce(Now, Facts{{}, {}, {Former}, {}}, Output);
  writeLog(events::MemberLeft, {{"member", std::to_string(Former.Value)}},
           Output);
  this->Phase = Rejoin ? Stage::Active : Stage::Stopped;
  if (Rejoin && this->Target)
    this->Join.start(Now, *this->Target);
  if (this->ExitWanted)
    this->ExitAt = Now + ExitDelay;
}

void OwnershipReducer::watchPermission(Instant Now, Effects &Output) {
  if (!this->Node.Id)
    return;
  bool Holds = this->Permission.holds(Now);
  if (Holds)
    this->LastPermitted = Now;
  if (std::exchange(this->WasPermitted, Holds) != Holds)
    writeLog(Holds ? events::PermissionGained : events::PermissionLost, {},
             Output);
  auto CanGrant = [&](const PermissionKeeper::Link &Through) {
    return this->Permission.counts(Through) &&
           !this->Node.isDeposed(Through.Recorded.Member);
  };
  bool Hopeless = !this->Permission.links().empty() &&
                  std::ranges::none_of(this->Permission.links(), CanGrant);
  if (Now - this->LastPermitted >=
      (Hopeless ? NoGuardianLimit : UnpermittedLimit))
    this->depart(Now, this->Phase == Stage::Active, Output);
}

void OwnershipReducer::startLeaving(Instant Now, Effects &Output) {
  this->Join.stop();
  if (!this->Node.Id) {
    this->Phase = Stage::Stopped;
    if (this->ExitWanted)
      this->ExitAt = Now;
    return;
  }
  if (this->Phase != Stage::Active)
    return;
  this->Phase = Stage::Leaving;
  this->LeavingSince = Now;
  this->LeavingRecorded.reset();
  this->Load.hurry();
  writeLog(events::StopStarted, {}, Output);
}

void OwnershipReducer::advanceLeaving(Instant Now, Effects &Output) {
  if (this->ExitAt && Now >= *this->ExitAt) {
    this->ExitAt.reset();
    Output.push_back(StopCompleted{});
  }
  if (!this->Node.Id)
    return;
  if (this->Phase == Stage::RunningOut && !this->Permission.holds(Now))
    return this->depart(Now, false, Output);
  if (this->Phase != Stage::Leaving)
    return;
  const Member *Self = this->Node.self();
  if (Self && Self->Leaving && !this->LeavingRecorded)
    this->LeavingRecorded = Now;
  if (this->LeavingRecorded && Now - *this->LeavingRecorded >= HandoverTime &&
      this->Slices.isIdle())
    return this->depart(Now, false, Output);
  bool Alone =
      std::ranges::none_of(this->Node.Current->Members, [&](const Member &M) {
        return M.Id != this->Node.Id && !this->Node.isDeposed(M.Id);
      });
  if (!Alone && Now - this->LeavingSince < LeavingLimit)
    return;
  writeLog(events::StopOverdue,
           {{"slices", std::to_string(this->Slices.ownedCount())},
            {"duties", std::to_string(this->Duty.members().size())}},
           Output);
  // Work in flight ends before the permission does.
  this->Phase = Stage::RunningOut;
  this->Permission.stopRenewing();
}

bool OwnershipReducer::isDomainWatcher() const {
  const std::vector<Member> &Members = this->Node.Current->Members;
  auto Lowest = std::ranges::find_if(Members, [&](const Member &M) {
    return M.FailureDomain == this->Node.Self.FailureDomain && !M.Leaving &&
           !this->Node.isDeposed(M.Id);
  });
  return this->Node.Id && Lowest != Members.end() &&
         Lowest->Id == this->Node.Id;
}

void OwnershipReducer::updateRoles(Instant Now, Effects &Output) {
  bool Staying = this->Phase == Stage::Active;
  // A coordinator that lost its membership admits itself again.
  bool Eligible =
      Staying && (this->DomainWatcher || this->Join.mayCoordinate(Now) ||
                  (this->Join.isActive() && this->Planner.isActive()));
  this->Planner.setEligible(Eligible);
  this->Planner.setPermitted(this->Permission.holds(Now));
  this->Distributor.setWatching(Eligible || this->DomainWatcher, Output);
}

} // namespace orioledoor::ownership

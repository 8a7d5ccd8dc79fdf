// The steps of the coordinator's cycle: load, plan, check, request responses,
// write.
#include <algorithm>
#include <functional>
#include <ranges>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/ownership/internal/coordinator_state.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership {

using internal::CoordinatorPhase;

namespace {

// Facts that arrive within this interval are combined in one write.
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
// Time after new input during which the coordinator plans at PlanInterval,
// because the expiry of grants and the assignment of first owners depend only
// on time.
constexpr Duration FrequentPlanningTime = std::chrono::seconds(3);
// Limits the coordinator to two writes per second, regardless of the number of
// failures.
constexpr Duration WriteInterval = std::chrono::milliseconds(500);
constexpr Duration ResponseTimeout = std::chrono::milliseconds(600);
constexpr Duration RequestResendInterval = std::chrono::milliseconds(100);
// The coordinator does not write to a store that takes longer than this to
// reply to the check.
constexpr Duration CheckTimeout = std::chrono::milliseconds(300);
constexpr Duration StoreErrorRetryDelay = std::chrono::milliseconds(500);
// The slices of a service get their first owners once no member has joined for
// this long, so that they are not all assigned to the first member.
constexpr Duration FirstOwnerDelay = std::chrono::milliseconds(1500);
// Delay between admissions while this node holds no permission. In this state
// possibly no member holds one, and newly admitted members would get guardians
// that cannot grant. Members leave after 1.5 s without a permission, and lost
// members are deposed 0.8 s after their guardians. After this delay, therefore,
// the only members left are those that hold a permission, or at most
// MaxSimultaneousLosses others, in which case this node is admitted alone.
constexpr Duration UnpermittedAdmissionDelay = std::chrono::seconds(4);
// Maximum number of members that may have been lost at the same time and are
// still recorded as live.
constexpr std::ptrdiff_t MaxSimultaneousLosses = 2;
// Minimum time between two moves of a slice; longer than the delay of load
// reports.
constexpr Duration MoveCooldown = std::chrono::seconds(60);
// Permissions and grants of members in a region declared lost have expired
// after this delay.
constexpr Duration DeclaredLostDelay = std::chrono::milliseconds(1700);

} // namespace

void Coordinator::State::detectNewInput(Instant Now,
                                        const FactSet &KnownFacts) {
  if (!this->HasNewInput && KnownFacts.changeCount() == this->SeenFactCount)
    return;
  this->HasNewInput = false;
  this->SeenFactCount = KnownFacts.changeCount();
  this->FrequentPlanningUntil = Now + FrequentPlanningTime;
  this->NextPlan = std::min(this->NextPlan, Now + PlanInterval);
}

void Coordinator::State::loadFromStore(Instant Now, Effects &Output) {
  this->CurrentPhase = CoordinatorPhase::Loading;
  this->sendStoreRequest(StoreRange{.Key = keys::Assignment},
                         this->AssignmentReadId, Now, Output);
  this->sendStoreRequest(StoreRange{.Key = keys::JoinPrefix, .Prefix = true},
                         this->JoinsReadId, Now, Output);
}

void Coordinator::State::addJoin(std::string_view Value) {
  absl::StatusOr<JoinRequest> Join = decodeJoinRequest(Value);
  if (!Join.ok())
    return;
  this->PendingJoins[Join->Name] = *Join;
  this->HasNewInput = true;
}

void Coordinator::State::setStoredAssignment(const Assignment &Newer,
                                             std::int64_t ModRevision) {
  this->StoredAssignment = Newer;
  this->StoredRevision = ModRevision;
  this->HasNewInput = true;
  std::erase_if(this->CompletedHandovers, [&](const auto &Entry) {
    const SliceOwner *Owner = this->StoredAssignment.find(Entry.first);
    return !Owner || Owner->FencingNumber >= Entry.second.FencingNumber;
  });
  std::erase_if(this->LeavingMembers, [&](MemberId Id) {
    return this->StoredAssignment.isDeposed(Id);
  });
}

std::set<MemberId> Coordinator::State::membersDeclaredLost(Instant Now) const {
  std::set<MemberId> Result;
  if (!this->CatalogueActiveSince ||
      Now - *this->CatalogueActiveSince < DeclaredLostDelay)
    return Result;
  for (const Member &M : this->StoredAssignment.Members)
    if (std::ranges::any_of(
            this->ActiveCatalogue->Regions, [&](const RegionEntry &R) {
              return R.Name == M.Region && R.State == RegionState::Lost;
            }))
      Result.insert(M.Id);
  return Result;
}

std::set<MemberId> Coordinator::State::unresponsiveMembers(Instant Now) {
  std::erase_if(this->UnresponsiveUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::set<MemberId> Result;
  for (const auto &[Id, Until] : this->UnresponsiveUntil)
    Result.insert(Id);
  return Result;
}

std::string Coordinator::State::addressOf(MemberId Id) const {
  const Member *M = this->StoredAssignment.find(Id);
  return M ? M->PeerAddress : std::string();
}

bool Coordinator::State::mayAdmitSingleMember() const {
  auto Live = this->StoredAssignment.Members |
              std::views::filter(std::not_fn(&Member::Deposed));
  return !this->Permitted &&
         std::ranges::distance(Live) <= MaxSimultaneousLosses;
}

std::vector<JoinRequest>
Coordinator::State::admissibleJoins(Instant Now) const {
  auto Waiting = std::views::values(this->PendingJoins);
  std::vector<JoinRequest> Result(Waiting.begin(), Waiting.end());
  auto IsOwn = [&](const JoinRequest &Join) {
    return Join.Name == this->Local.Name;
  };
  bool Recent = std::ranges::any_of(
      std::views::values(this->LastAdmission),
      [&](Instant Last) { return Now - Last < UnpermittedAdmissionDelay; });
  bool AnyLive = std::ranges::any_of(this->StoredAssignment.Members,
                                     std::not_fn(&Member::Deposed));
  if (!this->Permitted && AnyLive)
    std::erase_if(Result, [&](const JoinRequest &Join) {
      return Recent || (this->mayAdmitSingleMember() && !IsOwn(Join));
    });
  // Sorts this node first: the first member can grant permissions to itself at
  // once.
  std::ranges::stable_partition(Result, IsOwn);
  return Result;
}

void Coordinator::State::plan(Instant Now, const FactSet &KnownFacts,
                              Effects &Output) {
  if (!this->ActiveCatalogue)
    return;
  std::vector<JoinRequest> Requests = this->admissibleJoins(Now);
  std::vector<YieldAck> Handovers;
  Handovers.reserve(this->CompletedHandovers.size());
  for (const auto &[Slice, Ack] : this->CompletedHandovers)
    Handovers.push_back(Ack);
  auto MayAssignFirstOwners = [&](ServiceId Id) {
    if (std::ranges::any_of(Requests, [&](const JoinRequest &Join) {
          return serviceIdOf(Join.Service) == Id &&
                 !this->StoredAssignment.findByToken(Join.Token);
        }))
      return false;
    auto Last = this->LastAdmission.find(Id);
    return Last == this->LastAdmission.end() ||
           Now - Last->second >= FirstOwnerDelay;
  };
  auto MoveCooldownElapsed = [&](SliceRef Slice) {
    auto Last = this->LastMove.find(Slice);
    return Last == this->LastMove.end() || Now - Last->second >= MoveCooldown;
  };
  AssignmentPlanInput Input{
      .Current = this->StoredAssignment,
      .ActiveCatalogue = *this->ActiveCatalogue,
      .Known = KnownFacts,
      .Loads = this->Loads,
      .Now = Now,
      .JoinRequests = Requests,
      .AdmitSingleMember = this->mayAdmitSingleMember(),
      .CompletedHandovers = Handovers,
      .DeclaredLostMembers = this->membersDeclaredLost(Now),
      .LeavingMembers = this->LeavingMembers,
      .UnresponsiveMembers = this->unresponsiveMembers(Now),
      .RenewableGuardians = this->GuardianRenewals.renewablePairs(
          this->StoredAssignment, KnownFacts, this->Loads, Now),
      .MayAssignFirstOwners = MayAssignFirstOwners,
      .MoveCooldownElapsed = MoveCooldownElapsed};
  this->PendingPlan = planAssignment(Input);
  bool NewCoordinator =
      this->Self && this->StoredAssignment.Coordinator != this->Self;
  if (!this->PendingPlan.hasChanges() && !NewCoordinator)
    return;
  if (NewCoordinator)
    this->PendingPlan.Changes.push_back(
        PlannedChange{"coordinate", "assignment",
                      std::to_string(this->StoredAssignment.Coordinator.Value),
                      std::to_string(this->Self.Value), "lease won"});
  if (this->Self)
    this->PendingPlan.Next.Coordinator = this->Self;
  // Promises bind the successors until the outcome of the write is known, so
  // the coordinator checks that the store responds before it requests any.
  this->CurrentPhase = CoordinatorPhase::Checking;
  this->sendStoreRequest(StoreRange{.Key = keys::Assignment}, this->CheckReadId,
                         Now, Output);
}

void Coordinator::State::finishCheck(Instant Now, const StoreReply &Reply,
                                     Effects &Output) {
  this->CheckReadId = 0;
  std::int64_t Found =
      Reply.Entries.empty() ? 0 : Reply.Entries.front().ModRevision;
  if (Reply.Status.ok() && Found == this->StoredRevision &&
      Now - this->RequestSentAt <= CheckTimeout) {
    this->startRequestingResponses(Now, Output);
    return;
  }
  // Loads the assignment again, because another node wrote it or the store is
  // failing.
  this->CurrentPhase = CoordinatorPhase::Passive;
  this->NextPlan = Now + StoreErrorRetryDelay;
}

void Coordinator::State::startRequestingResponses(Instant Now,
                                                  Effects &Output) {
  this->Attempt = this->nextRequestId();
  this->ReceivedPromises.clear();
  this->ReceivedConsents.clear();
  this->CurrentPhase = CoordinatorPhase::AwaitingResponses;
  this->ResponseDeadline = Now + ResponseTimeout;
  this->NextResend = Now;
  this->requestResponses(Now, Output);
}

// Releases the successors from promises for a write that will not happen. Those
// that do not receive the message remain bound until they receive a newer
// assignment.
void Coordinator::State::withdrawPromises(Effects &Output) {
  if (this->Attempt == 0)
    return;
  for (MemberId Id : this->PendingPlan.RequiredPromises)
    Output.push_back(
        SendPeer{this->addressOf(Id), PromiseWithdrawn{this->Attempt}});
  this->Attempt = 0;
}

bool Coordinator::State::hasAllResponses() const {
  return std::ranges::includes(this->ReceivedPromises,
                               this->PendingPlan.RequiredPromises) &&
         std::ranges::includes(this->ReceivedConsents,
                               this->PendingPlan.RequiredConsents);
}

// Sends requests to the members that have not replied. The reducer delivers
// messages to this node's own address itself.
void Coordinator::State::requestResponses(Instant Now, Effects &Output) {
  if (Now < this->NextResend)
    return;
  this->NextResend = Now + RequestResendInterval;
  std::uint64_t Version = this->PendingPlan.Next.Version;
  for (MemberId Id : this->PendingPlan.RequiredPromises)
    if (!this->ReceivedPromises.contains(Id))
      Output.push_back(SendPeer{this->addressOf(Id),
                                PromiseRequest{Version, this->Attempt}});
  for (const RequiredConsent &Needed : this->PendingPlan.RequiredConsents)
    if (!this->ReceivedConsents.contains(Needed))
      Output.push_back(SendPeer{this->addressOf(Needed.Guardian),
                                ConsentRequest{Needed.Member, Version}});
}

void Coordinator::State::startWrite(Instant Now, std::int64_t WallMicros,
                                    Effects &Output) {
  this->CurrentPhase = CoordinatorPhase::Writing;
  StoreTxn Txn;
  Txn.Compares = {{keys::Assignment, this->StoredRevision}};
  Txn.Puts = {{keys::Assignment, encodeAssignment(this->PendingPlan.Next), 0}};
  std::string Outcome = "recorded in assignment version " +
                        std::to_string(this->PendingPlan.Next.Version);
  std::vector<AuditRecord> Records;
  Records.reserve(this->PendingPlan.Changes.size());
  for (const PlannedChange &C : this->PendingPlan.Changes)
    Records.push_back(
        AuditRecord{WallMicros, "rule: coordinator " + this->Local.Name,
                    C.Action, C.Subject, C.From, C.To, C.Reason, Outcome});
  Txn.Puts.push_back({auditKey(WallMicros, this->PendingPlan.Next.Version),
                      encodeAuditRecords(Records), 0});
  for (const std::string &Name : this->PendingPlan.AdmittedNames)
    Txn.Deletes.push_back(keys::JoinPrefix + Name);
  this->sendStoreRequest(std::move(Txn), this->WriteRequestId, Now, Output);
}

void Coordinator::State::finishWrite(Instant Now, const StoreReply &Reply,
                                     Effects &Output) {
  this->WriteRequestId = 0;
  this->NextWrite = Now + WriteInterval;
  this->NextPlan = Now;
  if (!Reply.Status.ok()) {
    this->NextPlan = Now + StoreErrorRetryDelay;
    // An unknown outcome is resolved by reading the assignment again.
    this->CurrentPhase = CoordinatorPhase::Passive;
    if (absl::IsUnavailable(Reply.Status))
      this->withdrawPromises(Output);
    return;
  }
  this->CurrentPhase = CoordinatorPhase::Ready;
  if (!Reply.Succeeded) {
    // Another node wrote the assignment; load it.
    this->withdrawPromises(Output);
    this->CurrentPhase = CoordinatorPhase::Passive;
    return;
  }
  this->Attempt = 0;
  for (const std::string &Name : this->PendingPlan.AdmittedNames) {
    auto Join = this->PendingJoins.find(Name);
    if (Join == this->PendingJoins.end())
      continue;
    this->LastAdmission[serviceIdOf(Join->second.Service)] = Now;
    if (this->PendingPlan.Next.findByToken(Join->second.Token))
      this->PendingJoins.erase(Join);
  }
  for (SliceRef Slice : this->PendingPlan.StartedMoves)
    this->LastMove[Slice] = Now;
  this->GuardianRenewals.recordRenewals(this->PendingPlan.RequiredConsents,
                                        Now);
  this->setStoredAssignment(this->PendingPlan.Next, Reply.Revision);
}

} // namespace orioledoor::ownership

// The steps of the coordinator's cycle.
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

// Facts that arrive within this time share one write.
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
// After news the coordinator plans at PlanInterval for this long, since the
// wait for ended grants and the start of slices depend on time alone.
constexpr Duration FrequentPlanningTime = std::chrono::seconds(3);
// At most two writes a second, whatever is lost.
constexpr Duration WriteInterval = std::chrono::milliseconds(500);
constexpr Duration GatherTimeout = std::chrono::milliseconds(600);
constexpr Duration GatherResendInterval = std::chrono::milliseconds(100);
// A store that answers the check later than this does not get the write.
constexpr Duration CheckTimeout = std::chrono::milliseconds(300);
constexpr Duration StoreErrorPause = std::chrono::milliseconds(500);
// A service's slices get their first owners once no member has joined for
// this long, so that the first member does not get them all.
constexpr Duration FirstOwnerDelay = std::chrono::milliseconds(1500);
// While this node holds no permission, perhaps no member does, and then those
// admitted now get guardians that cannot grant. Members give up after 1.5 s and
// lost ones are deposed 0.8 s after their guardians, so after this pause only
// permitted members are left, or those of MaxSimultaneousLosses, beside which
// this node starts alone.
constexpr Duration UnpermittedPause = std::chrono::seconds(4);
// Members that may be lost at once and yet be recorded.
constexpr std::ptrdiff_t MaxSimultaneousLosses = 2;
// A slice rests after a move; longer than load reports may lag.
constexpr Duration MoveCooldown = std::chrono::seconds(60);
// Permissions and guard duties of a region declared lost have ended by then.
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
    return !Owner || Owner->Number >= Entry.second.Number;
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
      [&](Instant Last) { return Now - Last < UnpermittedPause; });
  bool AnyLive = std::ranges::any_of(this->StoredAssignment.Members,
                                     std::not_fn(&Member::Deposed));
  if (!this->Permitted && AnyLive)
    std::erase_if(Result, [&](const JoinRequest &Join) {
      return Recent || (this->mayAdmitSingleMember() && !IsOwn(Join));
    });
  // This node first: as the first member it permits itself at once.
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
      .RenewableGuardians = this->Renewals.renewablePairs(
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
  // Promises bind successors until the write is known, so the store is to
  // answer before any is asked for.
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
    this->startGathering(Now, Output);
    return;
  }
  // Loads anew, for somebody else wrote or the store is in trouble.
  this->CurrentPhase = CoordinatorPhase::Passive;
  this->NextPlan = Now + StoreErrorPause;
}

void Coordinator::State::startGathering(Instant Now, Effects &Output) {
  this->Attempt = this->nextRequestId();
  this->ReceivedPromises.clear();
  this->ReceivedConsents.clear();
  this->CurrentPhase = CoordinatorPhase::Gathering;
  this->GatherDeadline = Now + GatherTimeout;
  this->NextResend = Now;
  this->requestResponses(Now, Output);
}

// Frees the successors from promises for a write that will not happen. Those
// that do not hear it stay bound until they see a newer assignment.
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

// Asks those that have not answered; the reducer delivers messages to the own
// address itself.
void Coordinator::State::requestResponses(Instant Now, Effects &Output) {
  if (Now < this->NextResend)
    return;
  this->NextResend = Now + GatherResendInterval;
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
    this->NextPlan = Now + StoreErrorPause;
    // An unknown outcome is resolved by reading the document back.
    this->CurrentPhase = CoordinatorPhase::Passive;
    if (absl::IsUnavailable(Reply.Status))
      this->withdrawPromises(Output);
    return;
  }
  this->CurrentPhase = CoordinatorPhase::Ready;
  if (!Reply.Succeeded) {
    // Somebody else wrote; load what is there.
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
  this->Renewals.recordRenewals(this->PendingPlan.RequiredConsents, Now);
  this->setStoredAssignment(this->PendingPlan.Next, Reply.Revision);
}

} // namespace orioledoor::ownership

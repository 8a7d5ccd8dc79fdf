// The steps of the coordinator's cycle.
#include <algorithm>
#include <functional>
#include <ranges>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/ownership/internal/coordinator_state.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership {

using internal::Phase;

namespace {

// Facts that arrive within this time share one write.
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
// After news the coordinator plans at PlanInterval for this long, since the
// wait for ended grants and the start of slices depend on time alone.
constexpr Duration BusyTime = std::chrono::seconds(3);
// At most two writes a second, whatever is lost.
constexpr Duration WriteInterval = std::chrono::milliseconds(500);
constexpr Duration GatherTimeout = std::chrono::milliseconds(600);
constexpr Duration GatherRepeat = std::chrono::milliseconds(100);
// A store that answers the check later than this does not get the write.
constexpr Duration CheckLimit = std::chrono::milliseconds(300);
constexpr Duration StoreErrorPause = std::chrono::milliseconds(500);
// A service's slices get their first owners once no member has joined for
// this long, so that the first member does not get them all.
constexpr Duration StartDelay = std::chrono::milliseconds(1500);
// While this node holds no permission, perhaps no member does, and then those
// admitted now get guardians that cannot grant. Members give up after 1.5 s and
// lost ones are deposed 0.8 s after their guardians, so after this pause only
// permitted members are left, or those of LostAtOnce, beside which this node
// starts alone.
constexpr Duration UnpermittedPause = std::chrono::seconds(4);
// Members that may be lost at once and yet be recorded.
constexpr std::ptrdiff_t LostAtOnce = 2;
// A slice rests after a move; longer than load reports may lag.
constexpr Duration MoveRest = std::chrono::seconds(60);
// Permissions and guard duties of a region declared lost have ended by then.
constexpr Duration DeclaredLostDelay = std::chrono::milliseconds(1700);

} // namespace

void Coordinator::State::noticeNews(Instant Now, const FactSet &Known) {
  if (!this->News && Known.changes() == this->SeenFacts)
    return;
  this->News = false;
  this->SeenFacts = Known.changes();
  this->BusyUntil = Now + BusyTime;
  this->NextPlan = std::min(this->NextPlan, Now + PlanInterval);
}

void Coordinator::State::load(Instant Now, Effects &Output) {
  this->Current = Phase::Loading;
  this->call(StoreRange{.Key = keys::Assignment}, this->OpenAssignment, Now,
             Output);
  this->call(StoreRange{.Key = keys::JoinPrefix, .Prefix = true},
             this->OpenJoins, Now, Output);
}

void Coordinator::State::addJoin(std::string_view Value) {
  absl::StatusOr<JoinRequest> Join = decodeJoinRequest(Value);
  if (!Join.ok())
    return;
  this->Joins[Join->Name] = *Join;
  this->News = true;
}

void Coordinator::State::adopt(const Assignment &Newer,
                               std::int64_t ModRevision) {
  this->Doc = Newer;
  this->DocRevision = ModRevision;
  this->News = true;
  std::erase_if(this->Yielded, [&](const auto &Entry) {
    const SliceOwner *Owner = this->Doc.find(Entry.first);
    return !Owner || Owner->Number >= Entry.second.Number;
  });
  std::erase_if(this->Leaving,
                [&](MemberId Id) { return this->Doc.isDeposed(Id); });
}

std::set<MemberId> Coordinator::State::declaredLost(Instant Now) const {
  std::set<MemberId> Result;
  if (!this->EntriesSince || Now - *this->EntriesSince < DeclaredLostDelay)
    return Result;
  for (const Member &M : this->Doc.Members)
    if (std::ranges::any_of(this->Entries->Regions, [&](const RegionEntry &R) {
          return R.Name == M.Region && R.State == RegionState::Lost;
        }))
      Result.insert(M.Id);
  return Result;
}

std::set<MemberId> Coordinator::State::unresponsive(Instant Now) {
  std::erase_if(this->UnresponsiveUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::set<MemberId> Result;
  for (const auto &[Id, Until] : this->UnresponsiveUntil)
    Result.insert(Id);
  return Result;
}

std::string Coordinator::State::addressOf(MemberId Id) const {
  const Member *M = this->Doc.find(Id);
  return M ? M->PeerAddress : std::string();
}

bool Coordinator::State::mayStartAlone() const {
  auto Live =
      this->Doc.Members | std::views::filter(std::not_fn(&Member::Deposed));
  return !this->Permitted && std::ranges::distance(Live) <= LostAtOnce;
}

std::vector<JoinRequest> Coordinator::State::admissible(Instant Now) const {
  auto Pending = std::views::values(this->Joins);
  std::vector<JoinRequest> Result(Pending.begin(), Pending.end());
  auto IsOwn = [&](const JoinRequest &Join) {
    return Join.Name == this->Local.Name;
  };
  bool Recent = std::ranges::any_of(
      std::views::values(this->LastAdmission),
      [&](Instant Last) { return Now - Last < UnpermittedPause; });
  bool Alive =
      std::ranges::any_of(this->Doc.Members, std::not_fn(&Member::Deposed));
  if (!this->Permitted && Alive)
    std::erase_if(Result, [&](const JoinRequest &Join) {
      return Recent || (this->mayStartAlone() && !IsOwn(Join));
    });
  // This node first: as the first member it permits itself at once.
  std::ranges::stable_partition(Result, IsOwn);
  return Result;
}

void Coordinator::State::plan(Instant Now, const FactSet &Known,
                              Effects &Output) {
  if (!this->Entries)
    return;
  std::vector<JoinRequest> Requests = this->admissible(Now);
  std::vector<YieldAck> Handovers;
  Handovers.reserve(this->Yielded.size());
  for (const auto &[Slice, Ack] : this->Yielded)
    Handovers.push_back(Ack);
  auto MayStart = [&](ServiceId Id) {
    if (std::ranges::any_of(Requests, [&](const JoinRequest &Join) {
          return serviceIdOf(Join.Service) == Id &&
                 !this->Doc.findByToken(Join.Token);
        }))
      return false;
    auto Last = this->LastAdmission.find(Id);
    return Last == this->LastAdmission.end() ||
           Now - Last->second >= StartDelay;
  };
  auto Rested = [&](SliceRef Slice) {
    auto Last = this->LastMove.find(Slice);
    return Last == this->LastMove.end() || Now - Last->second >= MoveRest;
  };
  AssignmentPlanInput Input{
      .Current = this->Doc,
      .Entries = *this->Entries,
      .Known = Known,
      .Loads = this->Loads,
      .Now = Now,
      .Joins = Requests,
      .AdmitAlone = this->mayStartAlone(),
      .Yielded = Handovers,
      .DeclaredLost = this->declaredLost(Now),
      .Leaving = this->Leaving,
      .Unresponsive = this->unresponsive(Now),
      .Renewable = this->Renewals.due(this->Doc, Known, this->Loads, Now),
      .MayStart = MayStart,
      .Rested = Rested};
  this->Pending = planAssignment(Input);
  bool NewCoordinator = this->Self && this->Doc.Coordinator != this->Self;
  if (!this->Pending.isChange() && !NewCoordinator)
    return;
  if (NewCoordinator)
    this->Pending.Changes.push_back(PlannedChange{
        "coordinate", "assignment", std::to_string(this->Doc.Coordinator.Value),
        std::to_string(this->Self.Value), "lease won"});
  if (this->Self)
    this->Pending.Next.Coordinator = this->Self;
  // Promises bind successors until the write is known, so the store is to
  // answer before any is asked for.
  this->Current = Phase::Checking;
  this->call(StoreRange{.Key = keys::Assignment}, this->OpenCheck, Now, Output);
}

void Coordinator::State::finishCheck(Instant Now, const StoreReply &Reply,
                                     Effects &Output) {
  this->OpenCheck = 0;
  std::int64_t Found =
      Reply.Entries.empty() ? 0 : Reply.Entries.front().ModRevision;
  if (Reply.Status.ok() && Found == this->DocRevision &&
      Now - this->OpenedAt <= CheckLimit) {
    this->startGathering(Now, Output);
    return;
  }
  // Loads anew, for somebody else wrote or the store is in trouble.
  this->Current = Phase::Passive;
  this->NextPlan = Now + StoreErrorPause;
}

void Coordinator::State::startGathering(Instant Now, Effects &Output) {
  this->Attempt = this->nextId();
  this->Promised.clear();
  this->Consented.clear();
  this->Current = Phase::Gathering;
  this->GatherEnd = Now + GatherTimeout;
  this->NextRepeat = Now;
  this->gather(Now, Output);
}

// Frees the successors from promises for a write that will not happen. Those
// that do not hear it stay bound until they see a newer assignment.
void Coordinator::State::withdraw(Effects &Output) {
  if (this->Attempt == 0)
    return;
  for (MemberId Id : this->Pending.Promises)
    Output.push_back(
        SendPeer{this->addressOf(Id), PromiseWithdrawn{this->Attempt}});
  this->Attempt = 0;
}

bool Coordinator::State::isGathered() const {
  return std::ranges::includes(this->Promised, this->Pending.Promises) &&
         std::ranges::includes(this->Consented, this->Pending.Consents);
}

// Asks those that have not answered; the reducer delivers messages to the own
// address itself.
void Coordinator::State::gather(Instant Now, Effects &Output) {
  if (Now < this->NextRepeat)
    return;
  this->NextRepeat = Now + GatherRepeat;
  std::uint64_t Version = this->Pending.Next.Version;
  for (MemberId Id : this->Pending.Promises)
    if (!this->Promised.contains(Id))
      Output.push_back(SendPeer{this->addressOf(Id),
                                PromiseRequest{Version, this->Attempt}});
  for (const ConsentNeeded &Needed : this->Pending.Consents)
    if (!this->Consented.contains(Needed))
      Output.push_back(SendPeer{this->addressOf(Needed.Guardian),
                                ConsentRequest{Needed.Member, Version}});
}

void Coordinator::State::startWrite(Instant Now, std::int64_t WallMicros,
                                    Effects &Output) {
  this->Current = Phase::Writing;
  StoreTxn Txn;
  Txn.Compares = {{keys::Assignment, this->DocRevision}};
  Txn.Puts = {{keys::Assignment, encodeAssignment(this->Pending.Next), 0}};
  std::string Outcome = "recorded in assignment version " +
                        std::to_string(this->Pending.Next.Version);
  std::vector<AuditRecord> Records;
  Records.reserve(this->Pending.Changes.size());
  for (const PlannedChange &C : this->Pending.Changes)
    Records.push_back(
        AuditRecord{WallMicros, "rule: coordinator " + this->Local.Name,
                    C.Action, C.Subject, C.From, C.To, C.Reason, Outcome});
  Txn.Puts.push_back({auditKey(WallMicros, this->Pending.Next.Version),
                      encodeAuditRecords(Records), 0});
  for (const std::string &Name : this->Pending.Admitted)
    Txn.Deletes.push_back(keys::JoinPrefix + Name);
  this->call(std::move(Txn), this->OpenWrite, Now, Output);
}

void Coordinator::State::finishWrite(Instant Now, const StoreReply &Reply,
                                     Effects &Output) {
  this->OpenWrite = 0;
  this->NextWrite = Now + WriteInterval;
  this->NextPlan = Now;
  if (!Reply.Status.ok()) {
    this->NextPlan = Now + StoreErrorPause;
    // An unknown outcome is resolved by reading the document back.
    this->Current = Phase::Passive;
    if (absl::IsUnavailable(Reply.Status))
      this->withdraw(Output);
    return;
  }
  this->Current = Phase::Ready;
  if (!Reply.Succeeded) {
    // Somebody else wrote; load what is there.
    this->withdraw(Output);
    this->Current = Phase::Passive;
    return;
  }
  this->Attempt = 0;
  for (const std::string &Name : this->Pending.Admitted) {
    auto Join = this->Joins.find(Name);
    if (Join == this->Joins.end())
      continue;
    this->LastAdmission[serviceIdOf(Join->second.Service)] = Now;
    if (this->Pending.Next.findByToken(Join->second.Token))
      this->Joins.erase(Join);
  }
  for (SliceRef Slice : this->Pending.Moved)
    this->LastMove[Slice] = Now;
  this->Renewals.written(this->Pending.Consents, Now);
  this->adopt(this->Pending.Next, Reply.Revision);
}

} // namespace orioledoor::ownership

// The coordinator's cycle: load, plan, gather promises and consents, write.
#include "orioledoor/ownership/coordinator.h"

#include <algorithm>
#include <functional>
#include <map>
#include <ranges>
#include <set>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/assignment_planner.h"
#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/internal/guardian_renewal.h"
#include "orioledoor/ownership/internal/lease_keeper.h"
#include "orioledoor/ownership/internal/spend_allocator.h"
#include "orioledoor/ownership/load_model.h"
#include "orioledoor/ownership/local_node.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership {
namespace {

// Facts that arrive within this time share one write.
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
// After news the coordinator plans at PlanInterval for this long, since the
// wait for ended grants and the start of slices depend on time alone.
constexpr Duration BusyTime = std::chrono::seconds(3);
// Without news it only looks for worthwhile moves. A plan reads every slice,
// which at PlanInterval would exceed the control budget of its node.
constexpr Duration IdlePlanInterval = std::chrono::seconds(5);
// At most two writes a second, whatever is lost.
constexpr Duration WriteInterval = std::chrono::milliseconds(500);
constexpr Duration GatherTimeout = std::chrono::milliseconds(600);
constexpr Duration GatherRepeat = std::chrono::milliseconds(100);
// How long changes avoid members that did not answer a gathering.
constexpr Duration UnresponsivePause = std::chrono::seconds(3);
constexpr Duration StoreErrorPause = std::chrono::milliseconds(500);
// The shell ends every store call earlier; guards against a lost reply.
constexpr Duration StoreReplyTimeout = std::chrono::seconds(10);
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

enum class Phase { Passive, Loading, Ready, Gathering, Writing };

} // namespace

struct Coordinator::State {
  explicit State(const LocalNode &Self)
      : Local(Self), Lease(Self.Name),
        NextRequest(CoordinatorRequestBit | (Self.Seed & 0xffff) << 40) {}

  std::uint64_t nextId() { return ++this->NextRequest; }

  void call(StoreRequestBody Body, std::uint64_t &Open, Instant Now,
            Effects &Output) {
    Open = this->nextId();
    this->OpenedAt = Now;
    Output.push_back(
        CallStore{StoreRequest{.Id = Open, .Body = std::move(Body)}});
  }

  void noticeNews(Instant Now, const FactSet &Known);
  void load(Instant Now, Effects &Output);
  void plan(Instant Now, const FactSet &Known, Effects &Output);
  // All recorded members may be lost, so that nobody can grant or depose.
  bool mayStartAlone() const;
  // The join requests that the next version may grant.
  std::vector<JoinRequest> admissible(Instant Now) const;
  void gather(Instant Now, Effects &Output);
  bool isGathered() const;
  void startWrite(Instant Now, std::int64_t WallMicros, Effects &Output);
  void finishWrite(Instant Now, const StoreReply &Reply);
  void adopt(const Assignment &Newer, std::int64_t ModRevision);
  void addJoin(std::string_view Value);
  std::set<MemberId> declaredLost(Instant Now) const;
  std::set<MemberId> unresponsive(Instant Now);
  std::string addressOf(MemberId Id) const;

  LocalNode Local;
  MemberId Self;
  bool Permitted = false;
  internal::LeaseKeeper Lease;
  internal::SpendAllocator Spend;
  internal::GuardianRenewal Renewals;
  LoadModel Loads;
  std::uint64_t NextRequest;

  Phase Current = Phase::Passive;
  Instant OpenedAt;
  Instant NextPlan;
  Instant NextWrite;
  // News arrived since the last tick.
  bool News = true;
  Instant BusyUntil;
  std::uint64_t SeenFacts = 0;

  // The store's document as last read or written; DocRevision is the store
  // revision of its last change, 0 while the key is absent.
  Assignment Doc;
  std::int64_t DocRevision = 0;
  std::uint64_t OpenAssignment = 0;
  std::uint64_t OpenJoins = 0;
  std::uint64_t OpenWrite = 0;

  std::shared_ptr<const Catalogue> Entries;
  // When Entries came into force here; set by the next tick.
  std::optional<Instant> EntriesSince;

  // By node name; a newer request of a node replaces its older one.
  std::map<std::string, JoinRequest> Joins;
  std::map<SliceRef, YieldAck> Yielded;
  std::set<MemberId> Leaving;
  std::map<MemberId, Instant> UnresponsiveUntil;
  std::map<ServiceId, Instant> LastAdmission;
  std::map<SliceRef, Instant> LastMove;

  AssignmentPlan Pending;
  std::set<MemberId> Promised;
  std::set<ConsentNeeded> Consented;
  Instant GatherEnd;
  Instant NextRepeat;
};

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
  this->Promised.clear();
  this->Consented.clear();
  this->Current = Phase::Gathering;
  this->GatherEnd = Now + GatherTimeout;
  this->NextRepeat = Now;
  this->gather(Now, Output);
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
      Output.push_back(SendPeer{this->addressOf(Id), PromiseRequest{Version}});
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

void Coordinator::State::finishWrite(Instant Now, const StoreReply &Reply) {
  this->OpenWrite = 0;
  this->NextWrite = Now + WriteInterval;
  this->NextPlan = Now;
  if (!Reply.Status.ok()) {
    this->NextPlan = Now + StoreErrorPause;
    // An unknown outcome is resolved by reading the document back.
    this->Current =
        absl::IsUnavailable(Reply.Status) ? Phase::Ready : Phase::Passive;
    return;
  }
  this->Current = Phase::Ready;
  if (!Reply.Succeeded) {
    // Somebody else wrote; load what is there.
    this->Current = Phase::Passive;
    return;
  }
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

Coordinator::Coordinator(const LocalNode &Self)
    : Own(std::make_unique<State>(Self)) {}
Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator &&) noexcept = default;
Coordinator &Coordinator::operator=(Coordinator &&) noexcept = default;

void Coordinator::setEligible(bool Eligible) {
  this->Own->Lease.setEligible(Eligible);
}

void Coordinator::setSelf(MemberId Self) { this->Own->Self = Self; }

void Coordinator::setPermitted(bool Permitted) {
  this->Own->Permitted = Permitted;
}

bool Coordinator::isActive() const {
  return this->Own->Current != Phase::Passive;
}

void Coordinator::tick(Instant Now, std::int64_t WallMicros,
                       const FactSet &Known, Effects &Output) {
  State &S = *this->Own;
  if (S.Entries && !S.EntriesSince)
    S.EntriesSince = Now;
  if (auto Request = S.Lease.tick(Now, S.nextId()))
    Output.push_back(CallStore{std::move(*Request)});
  if (!S.Lease.isHeld(Now)) {
    // A write that is still open is settled by its comparison.
    S.Current = Phase::Passive;
    return;
  }
  S.noticeNews(Now, Known);
  bool ReplyOverdue = Now - S.OpenedAt >= StoreReplyTimeout;
  if (S.Entries)
    S.Spend.tick(Now, *S.Entries, [&] { return S.nextId(); }, Output);
  switch (S.Current) {
  case Phase::Passive:
    if (Now >= S.NextPlan)
      S.load(Now, Output);
    break;
  case Phase::Loading:
  case Phase::Writing:
    if (ReplyOverdue)
      S.Current = Phase::Passive;
    break;
  case Phase::Ready:
    if (Now < S.NextPlan || Now < S.NextWrite)
      break;
    S.NextPlan = Now + (Now < S.BusyUntil ? PlanInterval : IdlePlanInterval);
    S.plan(Now, Known, Output);
    break;
  case Phase::Gathering:
    S.gather(Now, Output);
    break;
  }
  if (S.Current != Phase::Gathering)
    return;
  if (S.isGathered()) {
    S.startWrite(Now, WallMicros, Output);
  } else if (Now >= S.GatherEnd) {
    for (MemberId Id : S.Pending.Promises)
      if (!S.Promised.contains(Id))
        S.UnresponsiveUntil[Id] = Now + UnresponsivePause;
    S.Renewals.failed(S.Pending.Consents, S.Consented, Now);
    S.Current = Phase::Ready;
    S.NextPlan = Now;
  }
}

void Coordinator::observe(const Assignment &Current, std::int64_t ModRevision) {
  State &S = *this->Own;
  // Only a document of the store can be the base of a write.
  if (ModRevision > S.DocRevision && S.Current != Phase::Writing &&
      S.Current != Phase::Gathering)
    S.adopt(Current, ModRevision);
}

void Coordinator::observe(std::shared_ptr<const Catalogue> Current) {
  this->Own->Entries = std::move(Current);
  this->Own->EntriesSince.reset();
  this->Own->News = true;
}

void Coordinator::handle(Instant Now, const StoreReply &Reply,
                         Effects &Output) {
  State &S = *this->Own;
  if (S.Lease.handle(Now, Reply) || S.Spend.handle(Reply, Output))
    return;
  if (Reply.Id == S.OpenWrite && S.Current == Phase::Writing) {
    S.finishWrite(Now, Reply);
    return;
  }
  if (S.Current != Phase::Loading ||
      (Reply.Id != S.OpenAssignment && Reply.Id != S.OpenJoins))
    return;
  bool IsAssignment = Reply.Id == S.OpenAssignment;
  (IsAssignment ? S.OpenAssignment : S.OpenJoins) = 0;
  absl::StatusOr<Assignment> Read{Assignment{}};
  if (IsAssignment && Reply.Status.ok() && !Reply.Entries.empty())
    Read = decodeAssignment(Reply.Entries.front().Value);
  if (!Reply.Status.ok() || !Read.ok()) {
    S.Current = Phase::Passive;
    S.NextPlan = Now + StoreErrorPause;
    return;
  }
  if (IsAssignment)
    S.adopt(*Read,
            Reply.Entries.empty() ? 0 : Reply.Entries.front().ModRevision);
  else
    for (const StoreEntry &Entry : Reply.Entries)
      S.addJoin(Entry.Value);
  if (S.OpenAssignment == 0 && S.OpenJoins == 0) {
    S.Current = Phase::Ready;
    S.NextPlan = Now;
  }
}

void Coordinator::handle(Instant Now, const StoreChange &Change) {
  State &S = *this->Own;
  if (Change.Entry.Key == keys::Coordinator && Change.Deleted)
    S.Lease.onReleased(Now);
  if (Change.Entry.Key.starts_with(keys::JoinPrefix) && !Change.Deleted)
    S.addJoin(Change.Entry.Value);
}

void Coordinator::handle(Instant, const Promise &Received) {
  State &S = *this->Own;
  if (S.Current != Phase::Gathering ||
      Received.Version < S.Pending.Next.Version)
    return;
  // A member that already serves slices of an owner that this plan takes for
  // live may be displaced by it; gossip brings the fact before the next plan.
  auto IsGone = [&](MemberId Id) { return S.Pending.Next.isDeposed(Id); };
  if (std::ranges::all_of(Received.ActingFor, IsGone))
    S.Promised.insert(Received.From);
}

void Coordinator::handle(Instant, const Consent &Received) {
  State &S = *this->Own;
  if (S.Current == Phase::Gathering &&
      Received.Version == S.Pending.Next.Version)
    S.Consented.insert(ConsentNeeded{Received.From, Received.Member});
}

void Coordinator::handle(Instant, const YieldAck &Received) {
  State &S = *this->Own;
  const SliceOwner *Owner = S.Doc.find(Received.Slice);
  if (!Owner || Owner->Number < Received.Number) {
    S.Yielded[Received.Slice] = Received;
    S.News = true;
  }
}

void Coordinator::handle(Instant Now, const LoadReport &Received) {
  State &S = *this->Own;
  S.Loads.add(Received, Now);
  if (Received.Leaving && !S.Doc.isDeposed(Received.From))
    S.News |= S.Leaving.insert(Received.From).second;
}

void Coordinator::handle(Instant, std::string_view From,
                         const SpendRequest &Received) {
  this->Own->Spend.request(From, Received);
}

} // namespace orioledoor::ownership

// The passes that lead from one assignment to the next.
#include "orioledoor/ownership/assignment_planner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/internal/candidates.h"
#include "orioledoor/ownership/placement.h"

namespace orioledoor::ownership {
namespace {

// Slices in planned motion at once for balance, and for members that leave.
// Leaving members must be rid of new work within a few seconds.
constexpr std::size_t MaxMovesInMotion = 32;
constexpr std::size_t MaxLeavingInMotion = 2048;

std::string nameOf(const Assignment &In, MemberId Id) {
  const Member *M = In.find(Id);
  return memberSubject(Id) + (M ? " " + M->Name : std::string());
}

class Passes {
public:
  explicit Passes(const AssignmentPlanInput &Input) : Input(Input) {
    this->Plan.Next = Input.Current;
    this->Plan.Next.Version = Input.Current.Version + 1;
  }

  AssignmentPlan run() {
    this->recordDeposed();
    this->recordLeaving();
    this->recordYields();
    this->replaceDeposedOwners();
    this->admit();
    this->createServices();
    this->updateGuardians();
    this->updateSuccessors();
    this->removeUnreferenced();
    this->startSlices();
    this->planMoves();
    this->noteSliceChanges();
    return std::move(this->Plan);
  }

private:
  void note(std::string Action, std::string Subject, std::string From,
            std::string To, std::string Reason) {
    this->Plan.Changes.push_back(
        PlannedChange{std::move(Action), std::move(Subject), std::move(From),
                      std::move(To), std::move(Reason)});
  }

  // Slices that changed in the same way share one record of the audit trail.
  struct SliceChange {
    std::string Action;
    ServiceId Service;
    MemberId From;
    MemberId To;
    std::string Reason;

    friend auto operator<=>(const SliceChange &, const SliceChange &) = default;
  };

  void noteSlice(std::string Action, SliceRef Slice, MemberId From, MemberId To,
                 std::string Reason) {
    ++this->SliceChanges[SliceChange{std::move(Action), Slice.Service, From, To,
                                     std::move(Reason)}];
  }

  void noteSliceChanges() {
    auto Name = [&](MemberId Id) {
      return Id ? nameOf(this->Input.Current.find(Id) ? this->Input.Current
                                                      : this->Plan.Next,
                         Id)
                : std::string();
    };
    for (const auto &[Change, Count] : this->SliceChanges) {
      const ServiceEntry *Entry = this->Input.Entries.find(Change.Service);
      this->note(Change.Action,
                 std::to_string(Count) + " slices of " +
                     (Entry ? Entry->Name : std::string("removed service")),
                 Name(Change.From), Name(Change.To), Change.Reason);
    }
  }

  bool isGone(MemberId Id) const {
    const Member *M = this->Plan.Next.find(Id);
    return !M || M->Deposed;
  }

  // Collects the promises that a change behind Behind positions of the list
  // needs. False, and nothing collected, if one cannot be had now.
  bool collectPromises(const SuccessionList &Old, std::size_t Behind) {
    auto Displaced = std::span(Old.Members).subspan(Behind);
    auto Live = [&](MemberId Id) { return !this->isGone(Id); };
    if (std::ranges::any_of(Displaced, [&](MemberId Id) {
          return Live(Id) && this->Input.Unresponsive.contains(Id);
        }))
      return false;
    std::ranges::copy_if(
        Displaced,
        std::inserter(this->Plan.Promises, this->Plan.Promises.end()), Live);
    return true;
  }

  void recordDeposed() {
    for (Member &M : this->Plan.Next.Members) {
      if (M.Deposed)
        continue;
      bool Derived = this->Input.Known.isDeposed(M.Id) ||
                     this->Input.Known.impliesDeposed(M.Id, this->Input.Current,
                                                      this->Input.Now);
      bool Declared = this->Input.DeclaredLost.contains(M.Id);
      if (!Derived && !Declared)
        continue;
      M.Deposed = true;
      this->note("depose", nameOf(this->Plan.Next, M.Id), "member", "deposed",
                 Derived ? "permission ended" : "region declared lost");
    }
  }

  void recordLeaving() {
    for (Member &M : this->Plan.Next.Members) {
      if (M.Leaving || M.Deposed || !this->Input.Leaving.contains(M.Id))
        continue;
      M.Leaving = true;
      this->note("leave", nameOf(this->Plan.Next, M.Id), "member", "leaving",
                 "planned stop");
    }
  }

  // Records the new owner of slices that were handed over.
  void recordYields() {
    for (const YieldAck &Ack : this->Input.Yielded) {
      SuccessionList Old = this->Input.Current.successionOf(Ack.Slice);
      auto Position = Old.positionOf(Ack.From);
      if (!Position || *Position == 0 ||
          Old.Number.Value + *Position != Ack.Number.Value ||
          // With both deposed the next in the old list may serve already.
          (this->isGone(Ack.From) && this->isGone(Old.Members.front())) ||
          !this->collectPromises(Old, *Position + 1))
        continue;
      // If the receiver is deposed, so may be the owner, and the old list's
      // deposed successors may have served above the receiver's number.
      Fence Number = Ack.Number;
      if (this->isGone(Ack.From))
        Number.Value += static_cast<std::uint32_t>(Old.Members.size());
      this->setOwner(Ack.Slice, Ack.From, Number);
      this->noteSlice("move", Ack.Slice, Old.Members.front(), Ack.From,
                      "handover completed");
    }
  }

  void setOwner(SliceRef Slice, MemberId Owner, Fence Number) {
    this->Plan.Next.find(Slice.Service)->Slices[Slice.Slice] =
        SliceOwner{Owner, Number, MemberId{}};
  }

  // Puts the first live member of each list at its head.
  void replaceDeposedOwners() {
    for (ServiceSlices &Service : this->Plan.Next.Services)
      for (std::uint32_t I = 0; I < Service.Slices.size(); ++I)
        if (Service.Slices[I].Owner && this->isGone(Service.Slices[I].Owner)) {
          this->replaceOwner(SliceRef{Service.Service, I});
        } else if (Service.Slices[I].MoveTarget &&
                   this->isGone(Service.Slices[I].MoveTarget)) {
          this->dropMoveTarget(SliceRef{Service.Service, I});
        }
  }

  void replaceOwner(SliceRef Slice) {
    SuccessionList Old = this->Plan.Next.successionOf(Slice);
    auto First = std::ranges::find_if_not(
        Old.Members, [&](MemberId Id) { return this->isGone(Id); });
    auto Position = static_cast<std::uint32_t>(First - Old.Members.begin());
    if (First == Old.Members.end()) {
      // Nobody is left in the list; startSlices picks an owner.
      this->setOwner(Slice, MemberId{}, Fence{Old.Number.Value + Position});
      this->noteSlice("succeed", Slice, Old.Members.front(), MemberId{},
                      "owner and successors deposed");
      return;
    }
    if (!this->collectPromises(Old, Position + 1))
      return;
    this->setOwner(Slice, *First, Fence{Old.Number.Value + Position});
    this->noteSlice("succeed", Slice, Old.Members.front(), *First,
                    "owner deposed");
  }

  void dropMoveTarget(SliceRef Slice) {
    SuccessionList Old = this->Plan.Next.successionOf(Slice);
    if (!this->collectPromises(Old, 1))
      return;
    // The target may have served before it was lost; the owner goes on above
    // every number of the old list.
    SliceOwner &Owner =
        this->Plan.Next.find(Slice.Service)->Slices[Slice.Slice];
    MemberId Gone = std::exchange(Owner.MoveTarget, MemberId{});
    Owner.Number.Value += static_cast<std::uint32_t>(Old.Members.size());
    this->noteSlice("cancel move", Slice, Old.Members.front(), Gone,
                    "move target deposed");
  }

  void admit() {
    // The first live member gets no guardians and permits itself; guardians
    // admitted together with it would all wait for each other's grants.
    this->Alone =
        this->Input.AdmitAlone ||
        std::ranges::all_of(this->Plan.Next.Members, &Member::Deposed);
    for (const JoinRequest &Join : this->Input.Joins) {
      ServiceId Service = serviceIdOf(Join.Service);
      if (this->Plan.Next.findByToken(Join.Token)) {
        this->Plan.Admitted.push_back(Join.Name);
        continue;
      }
      if (!this->Input.Entries.find(Service))
        continue;
      Member New;
      New.Id = MemberId{this->Plan.Next.NextMemberId++};
      New.Name = Join.Name;
      New.Token = Join.Token;
      New.PeerAddress = Join.PeerAddress;
      New.HttpAddress = Join.HttpAddress;
      New.Region = Join.Region;
      New.FailureDomain = Join.FailureDomain;
      New.Service = Service;
      New.Slots = Join.Slots;
      New.AdmittedAt = this->Plan.Next.Version;
      // Ids grow, so the order by id holds.
      this->Plan.Next.Members.push_back(New);
      this->Plan.Admitted.push_back(Join.Name);
      this->note("admit", nameOf(this->Plan.Next, New.Id), "", Join.Service,
                 "join request");
      if (this->Alone)
        return;
    }
  }

  void createServices() {
    for (const ServiceEntry &Entry : this->Input.Entries.Services) {
      if (this->Plan.Next.find(Entry.Id))
        continue;
      this->Plan.Next.Services.push_back(
          ServiceSlices{Entry.Id, std::vector<SliceOwner>(Entry.Slices)});
      this->note("create service", Entry.Name, "",
                 std::to_string(Entry.Slices) + " slices", "catalogue");
    }
  }

  // A deposed guardian stays recorded until its last grants have ended;
  // otherwise the remaining ones could depose a member that holds one.
  bool hasLapsed(const Guardian &G) const {
    if (!this->Plan.Next.find(G.Member))
      return true;
    auto Since = this->Input.Known.deposedSince(G.Member);
    return this->isGone(G.Member) && Since &&
           this->Input.Now - *Since >= GrantLapse;
  }

  void updateGuardians() {
    for (Member &M : this->Plan.Next.Members) {
      if (M.Deposed || (this->Alone && M.AdmittedAt == this->Plan.Next.Version))
        continue;
      std::vector<Guardian> Before = M.Guardians;
      std::erase_if(M.Guardians,
                    [&](const Guardian &G) { return this->hasLapsed(G); });
      for (Guardian &G : M.Guardians) {
        ConsentNeeded Needed{G.Member, M.Id};
        if (!this->Input.Renewable.contains(Needed))
          continue;
        G.Term = this->Plan.Next.Version;
        this->Plan.Consents.insert(Needed);
      }
      internal::addGuardians(this->Plan.Next, M);
      if (Before.empty() && !M.Guardians.empty() &&
          M.AdmittedAt != this->Plan.Next.Version)
        M.AloneUntil = this->Plan.Next.Version;
      if (M.Guardians != Before)
        this->note("guard", nameOf(this->Plan.Next, M.Id),
                   std::to_string(Before.size()) + " guardians",
                   std::to_string(M.Guardians.size()) + " guardians",
                   "keep two guardians");
    }
  }

  // One bucket of a member's page.
  using Bucket = std::pair<MemberId, std::uint32_t>;

  static Bucket bucketOf(const SliceOwner &Owner, std::uint32_t Slice) {
    return {Owner.Owner, Slice % SuccessorBuckets};
  }

  void updateSuccessors() {
    std::set<Bucket> Moving;
    for (const ServiceSlices &Service : this->Plan.Next.Services)
      for (std::uint32_t I = 0; I < Service.Slices.size(); ++I)
        if (Service.Slices[I].MoveTarget)
          Moving.insert(bucketOf(Service.Slices[I], I));
    std::map<Bucket, std::uint32_t> Raised;
    for (Member &M : this->Plan.Next.Members)
      if (!M.Deposed && this->updateSuccessorsOf(M, Moving, Raised))
        this->note("successors", nameOf(this->Plan.Next, M.Id), "", "",
                   "keep two successors a bucket");
    if (Raised.empty())
      return;
    for (ServiceSlices &Service : this->Plan.Next.Services)
      for (std::uint32_t I = 0; I < Service.Slices.size(); ++I) {
        auto Found = Raised.find(bucketOf(Service.Slices[I], I));
        if (Found != Raised.end())
          Service.Slices[I].Number.Value += Found->second;
      }
  }

  // A deposed successor that is replaced may have served, if the owner is
  // deposed, too, and the coordinator does not know it yet. Raised gets what
  // lifts the numbers of the new list above those of the old one. Slices in
  // motion keep their numbers, so their buckets wait.
  bool updateSuccessorsOf(Member &M, const std::set<Bucket> &Moving,
                          std::map<Bucket, std::uint32_t> &Raised) {
    bool Changed = false;
    std::vector<std::vector<MemberId>> Wanted =
        internal::chooseSuccessors(this->Plan.Next, M);
    if (M.Successors.empty() &&
        std::ranges::any_of(Wanted, [](auto &List) { return !List.empty(); })) {
      // An empty list has nobody to displace.
      M.Successors = std::move(Wanted);
      return true;
    }
    for (std::uint32_t B = 0; B < M.Successors.size(); ++B) {
      std::vector<MemberId> &Old = M.Successors[B];
      bool Lost = std::ranges::any_of(
          Old, [&](MemberId Id) { return this->isGone(Id); });
      auto Size = static_cast<std::uint32_t>(Old.size());
      if ((Lost && Moving.contains({M.Id, B})) ||
          !this->updateBucket(Old, Wanted[B]))
        continue;
      Changed = true;
      if (Lost)
        Raised[{M.Id, B}] = Size + 1;
    }
    return Changed;
  }

  bool updateBucket(std::vector<MemberId> &Old, std::vector<MemberId> &Wanted) {
    if (Old == Wanted)
      return false;
    // A longer list with the same beginning displaces nobody.
    bool Appends = Wanted.size() > Old.size() &&
                   std::ranges::equal(Old, std::span(Wanted).first(Old.size()));
    if (!Appends && !this->collectPromises(SuccessionList{Old, {}}, 0))
      return false;
    Old = Wanted;
    return true;
  }

  void removeUnreferenced() {
    std::set<MemberId> Used;
    for (const Member &M : this->Plan.Next.Members) {
      // A deposed member's successors still count while it owns slices.
      for (const Guardian &G : M.Guardians)
        if (!M.Deposed)
          Used.insert(G.Member);
      for (const std::vector<MemberId> &List : M.Successors)
        Used.insert(List.begin(), List.end());
    }
    for (const ServiceSlices &Service : this->Plan.Next.Services)
      for (const SliceOwner &Owner : Service.Slices) {
        Used.insert(Owner.Owner);
        Used.insert(Owner.MoveTarget);
      }
    std::size_t Removed =
        std::erase_if(this->Plan.Next.Members, [&](const Member &M) {
          return M.Deposed && !Used.contains(M.Id);
        });
    if (Removed > 0)
      this->note("remove", std::to_string(Removed) + " members", "deposed", "",
                 "no longer referred to");
  }

  // Gives slices without an owner to the members with the fewest slices.
  void startSlices() {
    for (ServiceSlices &Service : this->Plan.Next.Services) {
      if (!this->Input.MayStart(Service.Service))
        continue;
      std::vector<MemberId> Owners =
          eligibleOwners(this->Plan.Next, Service.Service);
      if (Owners.empty())
        continue;
      std::map<MemberId, std::size_t> Counts;
      for (const SliceOwner &Owner : Service.Slices)
        ++Counts[Owner.Owner];
      for (SliceOwner &Slice : Service.Slices) {
        if (Slice.Owner)
          continue;
        MemberId Least = *std::ranges::min_element(
            Owners, {}, [&](MemberId Id) { return Counts[Id]; });
        ++Counts[Least];
        Slice.Owner = Least;
        Slice.Number.Value += 1;
        this->noteSlice("start", SliceRef{Service.Service, 0}, MemberId{},
                        Least, "no live owner");
      }
    }
  }

  void planMoves() {
    for (const ServiceSlices &Service : this->Plan.Next.Services) {
      auto Moving = static_cast<std::size_t>(
          std::ranges::count_if(Service.Slices, [](const SliceOwner &S) {
            return static_cast<bool>(S.MoveTarget);
          }));
      PlacementQuery Query{
          .Current = this->Plan.Next,
          .Service = Service.Service,
          .Weights = this->Input.Entries.Weights,
          .Loads = this->Input.Loads,
          .MayMove = [this](SliceRef S) { return this->mayMove(S); },
          .MaxMoves = MaxMovesInMotion - std::min(Moving, MaxMovesInMotion),
          .MaxLeavingMoves =
              MaxLeavingInMotion - std::min(Moving, MaxLeavingInMotion)};
      std::vector<SliceMove> Moves = ownership::planMoves(Query);
      std::ranges::for_each(Moves,
                            [this](const SliceMove &M) { this->start(M); });
    }
  }

  bool mayMove(SliceRef Slice) const {
    const SliceOwner *Owner = this->Plan.Next.find(Slice);
    const Member *From = this->Plan.Next.find(Owner->Owner);
    if (!From || From->Deposed)
      return false;
    if (!From->Leaving && !this->Input.Rested(Slice))
      return false;
    // A deposed successor may have served; its position is not given to the
    // move target.
    SuccessionList List = this->Plan.Next.successionOf(Slice);
    return std::ranges::none_of(List.Members, [&](MemberId Id) {
      return this->Input.Unresponsive.contains(Id) || this->isGone(Id);
    });
  }

  void start(const SliceMove &Move) {
    SuccessionList Old = this->Input.Current.successionOf(Move.Slice);
    // A slice that got its first owner in this version has no older list.
    if (Old.Members.empty() ||
        !this->collectPromises(this->Plan.Next.successionOf(Move.Slice), 1) ||
        !this->collectPromises(Old, 1))
      return;
    this->Plan.Next.find(Move.Slice.Service)
        ->Slices[Move.Slice.Slice]
        .MoveTarget = Move.To;
    this->Plan.Moved.push_back(Move.Slice);
    this->noteSlice("start move", Move.Slice, Move.From, Move.To,
                    "placement cost");
  }

  const AssignmentPlanInput &Input;
  AssignmentPlan Plan;
  std::map<SliceChange, std::size_t> SliceChanges;
  // The member that this version admits gets no guardians yet.
  bool Alone = false;
};

} // namespace

AssignmentPlan planAssignment(const AssignmentPlanInput &Input) {
  return Passes(Input).run();
}

} // namespace orioledoor::ownership

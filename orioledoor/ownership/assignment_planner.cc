// The planning steps that derive the next assignment from the current one.
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

// Maximum number of slices that move at the same time: for load balance, and
// away from leaving members. A leaving member must be free of new work within a
// few seconds, so its limit is higher.
constexpr std::size_t MaxConcurrentMoves = 32;
constexpr std::size_t MaxConcurrentLeavingMoves = 2048;

std::string describeMember(const Assignment &In, MemberId Id) {
  const Member *M = In.find(Id);
  return memberSubject(Id) + (M ? " " + M->Name : std::string());
}

class AssignmentPlanner {
public:
  explicit AssignmentPlanner(const AssignmentPlanInput &Input) : Input(Input) {
    this->Plan.Next = Input.Current;
    this->Plan.Next.Version = Input.Current.Version + 1;
  }

  AssignmentPlan run() {
    this->recordDeposed();
    this->recordLeaving();
    this->recordHandovers();
    this->replaceDeposedOwners();
    this->admitMembers();
    this->createServices();
    this->updateGuardians();
    this->updateSuccessors();
    this->removeUnreferenced();
    this->assignFirstOwners();
    this->planMoves();
    this->appendSliceChanges();
    return std::move(this->Plan);
  }

private:
  void appendChange(std::string Action, std::string Subject, std::string From,
                    std::string To, std::string Reason) {
    this->Plan.Changes.push_back(
        PlannedChange{std::move(Action), std::move(Subject), std::move(From),
                      std::move(To), std::move(Reason)});
  }

  // Slices that changed in the same way share one audit record.
  struct SliceChange {
    std::string Action;
    ServiceId Service;
    MemberId From;
    MemberId To;
    std::string Reason;

    friend auto operator<=>(const SliceChange &, const SliceChange &) = default;
  };

  void countSliceChange(std::string Action, SliceRef Slice, MemberId From,
                        MemberId To, std::string Reason) {
    ++this->SliceChanges[SliceChange{std::move(Action), Slice.Service, From, To,
                                     std::move(Reason)}];
  }

  void appendSliceChanges() {
    auto Name = [&](MemberId Id) {
      return Id ? describeMember(this->Input.Current.find(Id)
                                     ? this->Input.Current
                                     : this->Plan.Next,
                                 Id)
                : std::string();
    };
    for (const auto &[Change, Count] : this->SliceChanges) {
      const ServiceEntry *Entry =
          this->Input.ActiveCatalogue.find(Change.Service);
      this->appendChange(
          Change.Action,
          std::to_string(Count) + " slices of " +
              (Entry ? Entry->Name : std::string("removed service")),
          Name(Change.From), Name(Change.To), Change.Reason);
    }
  }

  bool isDeposedOrRemoved(MemberId Id) const {
    const Member *M = this->Plan.Next.find(Id);
    return !M || M->Deposed;
  }

  // Adds the promises needed to change the part of the list from position
  // FirstDisplaced on. Returns false and adds nothing if one of the members is
  // unresponsive.
  bool collectPromises(const SuccessionList &Previous,
                       std::size_t FirstDisplaced) {
    auto Displaced = std::span(Previous.Members).subspan(FirstDisplaced);
    auto Live = [&](MemberId Id) { return !this->isDeposedOrRemoved(Id); };
    if (std::ranges::any_of(Displaced, [&](MemberId Id) {
          return Live(Id) && this->Input.UnresponsiveMembers.contains(Id);
        }))
      return false;
    std::ranges::copy_if(Displaced,
                         std::inserter(this->Plan.RequiredPromises,
                                       this->Plan.RequiredPromises.end()),
                         Live);
    return true;
  }

  void recordDeposed() {
    for (Member &M : this->Plan.Next.Members) {
      if (M.Deposed)
        continue;
      bool Derived = this->Input.Known.isDeposed(M.Id) ||
                     this->Input.Known.impliesDeposed(M.Id, this->Input.Current,
                                                      this->Input.Now);
      bool Declared = this->Input.DeclaredLostMembers.contains(M.Id);
      if (!Derived && !Declared)
        continue;
      M.Deposed = true;
      this->appendChange("depose", describeMember(this->Plan.Next, M.Id),
                         "member", "deposed",
                         Derived ? "permission ended" : "region declared lost");
    }
  }

  void recordLeaving() {
    for (Member &M : this->Plan.Next.Members) {
      if (M.Leaving || M.Deposed || !this->Input.LeavingMembers.contains(M.Id))
        continue;
      M.Leaving = true;
      this->appendChange("leave", describeMember(this->Plan.Next, M.Id),
                         "member", "leaving", "planned stop");
    }
  }

  // Records the new owners of slices whose handover is complete.
  void recordHandovers() {
    for (const YieldAck &Ack : this->Input.CompletedHandovers) {
      SuccessionList Previous = this->Input.Current.successionOf(Ack.Slice);
      auto Position = Previous.positionOf(Ack.From);
      if (!Position || *Position == 0 ||
          Previous.FencingNumber.Value + *Position != Ack.FencingNumber.Value ||
          // If both are deposed, the next member in the previous list may
          // already serve the slice.
          (this->isDeposedOrRemoved(Ack.From) &&
           this->isDeposedOrRemoved(Previous.Members.front())) ||
          !this->collectPromises(Previous, *Position + 1))
        continue;
      // If the receiver is deposed, the owner may be deposed too, and deposed
      // successors from the previous list may have served the slice under
      // numbers above the receiver's.
      Fence FencingNumber = Ack.FencingNumber;
      if (this->isDeposedOrRemoved(Ack.From))
        FencingNumber.Value +=
            static_cast<std::uint32_t>(Previous.Members.size());
      this->setOwner(Ack.Slice, Ack.From, FencingNumber);
      this->countSliceChange("move", Ack.Slice, Previous.Members.front(),
                             Ack.From, "handover completed");
    }
  }

  void setOwner(SliceRef Slice, MemberId Owner, Fence FencingNumber) {
    this->Plan.Next.find(Slice.Service)->Slices[Slice.Slice] =
        SliceOwner{Owner, FencingNumber, MemberId{}};
  }

  // Makes the first live member of each succession list the owner.
  void replaceDeposedOwners() {
    for (ServiceSlices &Service : this->Plan.Next.Services)
      for (std::uint32_t I = 0; I < Service.Slices.size(); ++I)
        if (Service.Slices[I].Owner &&
            this->isDeposedOrRemoved(Service.Slices[I].Owner)) {
          this->replaceOwner(SliceRef{Service.Service, I});
        } else if (Service.Slices[I].MoveTarget &&
                   this->isDeposedOrRemoved(Service.Slices[I].MoveTarget)) {
          this->cancelMove(SliceRef{Service.Service, I});
        }
  }

  void replaceOwner(SliceRef Slice) {
    SuccessionList Previous = this->Plan.Next.successionOf(Slice);
    auto First = std::ranges::find_if_not(Previous.Members, [&](MemberId Id) {
      return this->isDeposedOrRemoved(Id);
    });
    auto Position =
        static_cast<std::uint32_t>(First - Previous.Members.begin());
    if (First == Previous.Members.end()) {
      // No live member is left in the list; assignFirstOwners chooses an owner.
      this->setOwner(Slice, MemberId{},
                     Fence{Previous.FencingNumber.Value + Position});
      this->countSliceChange("succeed", Slice, Previous.Members.front(),
                             MemberId{}, "owner and successors deposed");
      return;
    }
    if (!this->collectPromises(Previous, Position + 1))
      return;
    this->setOwner(Slice, *First,
                   Fence{Previous.FencingNumber.Value + Position});
    this->countSliceChange("succeed", Slice, Previous.Members.front(), *First,
                           "owner deposed");
  }

  void cancelMove(SliceRef Slice) {
    SuccessionList Previous = this->Plan.Next.successionOf(Slice);
    if (!this->collectPromises(Previous, 1))
      return;
    // The move target may have served the slice before it failed; the owner
    // continues with a fencing number above all numbers of the previous list.
    SliceOwner &Owner =
        this->Plan.Next.find(Slice.Service)->Slices[Slice.Slice];
    MemberId CancelledTarget = std::exchange(Owner.MoveTarget, MemberId{});
    Owner.FencingNumber.Value +=
        static_cast<std::uint32_t>(Previous.Members.size());
    this->countSliceChange("cancel move", Slice, Previous.Members.front(),
                           CancelledTarget, "move target deposed");
  }

  void admitMembers() {
    // The first live member gets no guardians and grants permissions to itself.
    // Guardians admitted in the same version would wait for each other's
    // grants.
    this->SingleAdmission =
        this->Input.AdmitSingleMember ||
        std::ranges::all_of(this->Plan.Next.Members, &Member::Deposed);
    for (const JoinRequest &Join : this->Input.JoinRequests) {
      ServiceId Service = serviceIdOf(Join.Service);
      if (this->Plan.Next.findByToken(Join.Token)) {
        this->Plan.AdmittedNames.push_back(Join.Name);
        continue;
      }
      if (!this->Input.ActiveCatalogue.find(Service))
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
      // Ids increase, so Members remains sorted by id.
      this->Plan.Next.Members.push_back(New);
      this->Plan.AdmittedNames.push_back(Join.Name);
      this->appendChange("admit", describeMember(this->Plan.Next, New.Id), "",
                         Join.Service, "join request");
      if (this->SingleAdmission)
        return;
    }
  }

  void createServices() {
    for (const ServiceEntry &Entry : this->Input.ActiveCatalogue.Services) {
      if (this->Plan.Next.find(Entry.Id))
        continue;
      this->Plan.Next.Services.push_back(
          ServiceSlices{Entry.Id, std::vector<SliceOwner>(Entry.Slices)});
      this->appendChange("create service", Entry.Name, "",
                         std::to_string(Entry.Slices) + " slices", "catalogue");
    }
  }

  // A deposed guardian stays in the assignment until its last grants have
  // expired; otherwise the remaining guardians could depose a member that still
  // holds one of those grants.
  bool haveGrantsEnded(const Guardian &G) const {
    if (!this->Plan.Next.find(G.Member))
      return true;
    auto Since = this->Input.Known.deposedSince(G.Member);
    return this->isDeposedOrRemoved(G.Member) && Since &&
           this->Input.Now - *Since >= GrantExpiryDelay;
  }

  void updateGuardians() {
    for (Member &M : this->Plan.Next.Members) {
      if (M.Deposed ||
          (this->SingleAdmission && M.AdmittedAt == this->Plan.Next.Version))
        continue;
      std::vector<Guardian> PreviousGuardians = M.Guardians;
      std::erase_if(M.Guardians, [&](const Guardian &G) {
        return this->haveGrantsEnded(G);
      });
      for (Guardian &G : M.Guardians) {
        RequiredConsent Needed{G.Member, M.Id};
        if (!this->Input.RenewableGuardians.contains(Needed))
          continue;
        G.Term = this->Plan.Next.Version;
        this->Plan.RequiredConsents.insert(Needed);
      }
      internal::addGuardians(this->Plan.Next, M);
      if (PreviousGuardians.empty() && !M.Guardians.empty() &&
          M.AdmittedAt != this->Plan.Next.Version)
        M.SelfPermittedUntil = this->Plan.Next.Version;
      if (M.Guardians != PreviousGuardians)
        this->appendChange("guard", describeMember(this->Plan.Next, M.Id),
                           std::to_string(PreviousGuardians.size()) +
                               " guardians",
                           std::to_string(M.Guardians.size()) + " guardians",
                           "keep two guardians");
    }
  }

  // One bucket of a member's slices.
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
    std::map<Bucket, std::uint32_t> FenceIncrements;
    for (Member &M : this->Plan.Next.Members)
      if (!M.Deposed && this->updateSuccessorsOf(M, Moving, FenceIncrements))
        this->appendChange("successors", describeMember(this->Plan.Next, M.Id),
                           "", "", "keep two successors a bucket");
    if (FenceIncrements.empty())
      return;
    for (ServiceSlices &Service : this->Plan.Next.Services)
      for (std::uint32_t I = 0; I < Service.Slices.size(); ++I) {
        auto Found = FenceIncrements.find(bucketOf(Service.Slices[I], I));
        if (Found != FenceIncrements.end())
          Service.Slices[I].FencingNumber.Value += Found->second;
      }
  }

  // A deposed successor that is being replaced may have served slices if the
  // owner is also deposed and the coordinator does not know that yet.
  // FenceIncrements receives the increment that raises the numbers of the new
  // list above those of the old list. Slices that are being moved keep their
  // numbers, so changes to their buckets wait.
  bool updateSuccessorsOf(Member &M, const std::set<Bucket> &Moving,
                          std::map<Bucket, std::uint32_t> &FenceIncrements) {
    bool Changed = false;
    std::vector<std::vector<MemberId>> Desired =
        internal::chooseSuccessors(this->Plan.Next, M);
    if (M.Successors.empty() && std::ranges::any_of(Desired, [](auto &List) {
          return !List.empty();
        })) {
      // An empty list displaces no member.
      M.Successors = std::move(Desired);
      return true;
    }
    for (std::uint32_t B = 0; B < M.Successors.size(); ++B) {
      std::vector<MemberId> &Previous = M.Successors[B];
      bool Lost = std::ranges::any_of(
          Previous, [&](MemberId Id) { return this->isDeposedOrRemoved(Id); });
      auto Size = static_cast<std::uint32_t>(Previous.size());
      if ((Lost && Moving.contains({M.Id, B})) ||
          !this->updateBucket(Previous, Desired[B]))
        continue;
      Changed = true;
      if (Lost)
        FenceIncrements[{M.Id, B}] = Size + 1;
    }
    return Changed;
  }

  bool updateBucket(std::vector<MemberId> &Previous,
                    std::vector<MemberId> &Desired) {
    if (Previous == Desired)
      return false;
    // Appending to the list displaces no member.
    bool Appends =
        Desired.size() > Previous.size() &&
        std::ranges::equal(Previous, std::span(Desired).first(Previous.size()));
    if (!Appends && !this->collectPromises(SuccessionList{Previous, {}}, 0))
      return false;
    Previous = Desired;
    return true;
  }

  void removeUnreferenced() {
    std::set<MemberId> Referenced;
    for (const Member &M : this->Plan.Next.Members) {
      // The successors of a deposed member remain referenced while it owns
      // slices.
      for (const Guardian &G : M.Guardians)
        if (!M.Deposed)
          Referenced.insert(G.Member);
      for (const std::vector<MemberId> &List : M.Successors)
        Referenced.insert(List.begin(), List.end());
    }
    for (const ServiceSlices &Service : this->Plan.Next.Services)
      for (const SliceOwner &Owner : Service.Slices) {
        Referenced.insert(Owner.Owner);
        Referenced.insert(Owner.MoveTarget);
      }
    std::size_t Removed =
        std::erase_if(this->Plan.Next.Members, [&](const Member &M) {
          return M.Deposed && !Referenced.contains(M.Id);
        });
    if (Removed > 0)
      this->appendChange("remove", std::to_string(Removed) + " members",
                         "deposed", "", "no longer referred to");
  }

  // Assigns slices without an owner to the members with the fewest slices.
  void assignFirstOwners() {
    for (ServiceSlices &Service : this->Plan.Next.Services) {
      if (!this->Input.MayAssignFirstOwners(Service.Service))
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
        Slice.FencingNumber.Value += 1;
        this->countSliceChange("start", SliceRef{Service.Service, 0},
                               MemberId{}, Least, "no live owner");
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
          .Weights = this->Input.ActiveCatalogue.Weights,
          .Loads = this->Input.Loads,
          .MayMove = [this](SliceRef S) { return this->mayMove(S); },
          .MaxMoves = MaxConcurrentMoves - std::min(Moving, MaxConcurrentMoves),
          .MaxLeavingMoves = MaxConcurrentLeavingMoves -
                             std::min(Moving, MaxConcurrentLeavingMoves)};
      std::vector<SliceMove> Moves = ownership::planMoves(Query);
      std::ranges::for_each(Moves,
                            [this](const SliceMove &M) { this->startMove(M); });
    }
  }

  bool mayMove(SliceRef Slice) const {
    const SliceOwner *Owner = this->Plan.Next.find(Slice);
    const Member *From = this->Plan.Next.find(Owner->Owner);
    if (!From || From->Deposed)
      return false;
    if (!From->Leaving && !this->Input.MoveCooldownElapsed(Slice))
      return false;
    // A deposed successor may have served the slice, so its position must not
    // be given to the move target.
    SuccessionList List = this->Plan.Next.successionOf(Slice);
    return std::ranges::none_of(List.Members, [&](MemberId Id) {
      return this->Input.UnresponsiveMembers.contains(Id) ||
             this->isDeposedOrRemoved(Id);
    });
  }

  void startMove(const SliceMove &Move) {
    SuccessionList Previous = this->Input.Current.successionOf(Move.Slice);
    // A slice that gets its first owner in this version has no previous list.
    if (Previous.Members.empty() ||
        !this->collectPromises(this->Plan.Next.successionOf(Move.Slice), 1) ||
        !this->collectPromises(Previous, 1))
      return;
    this->Plan.Next.find(Move.Slice.Service)
        ->Slices[Move.Slice.Slice]
        .MoveTarget = Move.To;
    this->Plan.StartedMoves.push_back(Move.Slice);
    this->countSliceChange("start move", Move.Slice, Move.From, Move.To,
                           "placement cost");
  }

  const AssignmentPlanInput &Input;
  AssignmentPlan Plan;
  std::map<SliceChange, std::size_t> SliceChanges;
  // The member admitted by this version gets no guardians yet.
  bool SingleAdmission = false;
};

} // namespace

AssignmentPlan planAssignment(const AssignmentPlanInput &Input) {
  return AssignmentPlanner(Input).run();
}

} // namespace orioledoor::ownership

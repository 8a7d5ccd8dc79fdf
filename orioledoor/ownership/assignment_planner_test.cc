// Checks the rules that keep consecutive versions of the assignment compatible:
// a plan that displaces a live successor without its promise could let two
// members serve the same slice.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/ownership/assignment_planner.h"
#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/load_model.h"

namespace orioledoor::ownership {
namespace {

constexpr std::uint32_t SliceCount = 64;

JoinRequest makeJoinRequest(std::uint64_t Token) {
  std::uint64_t Domain = Token % 6;
  return JoinRequest{.Name = "node-" + std::to_string(Token),
                     .Token = Token,
                     .PeerAddress = "tcp://127.0.0.1:1",
                     .HttpAddress = "127.0.0.1:2",
                     .Region = "region-" + std::to_string(Domain / 2),
                     .FailureDomain = "domain-" + std::to_string(Domain),
                     .Service = "consulta",
                     .Slots = 20};
}

// Plans consecutive versions and checks each of them.
class PlannerFixture {
public:
  PlannerFixture() {
    ServiceEntry Entry;
    Entry.Name = "consulta";
    Entry.Id = serviceIdOf(Entry.Name);
    Entry.Slices = SliceCount;
    this->Entries.Services.push_back(Entry);
  }

  AssignmentPlan planNextVersion(std::span<const JoinRequest> Joins = {}) {
    AssignmentPlanInput Input{
        .Current = this->Current,
        .ActiveCatalogue = this->Entries,
        .Known = this->Known,
        .Loads = this->Loads,
        .Now = this->Now,
        .JoinRequests = Joins,
        .AdmitSingleMember = false,
        .CompletedHandovers = this->Yielded,
        .DeclaredLostMembers = {},
        .LeavingMembers = this->Leaving,
        .UnresponsiveMembers = this->UnresponsiveMembers,
        .RenewableGuardians = {},
        .MayAssignFirstOwners = [&](ServiceId) { return this->Started; },
        .MoveCooldownElapsed = [](SliceRef) { return true; }};
    AssignmentPlan Plan = planAssignment(Input);
    this->checkDisplacedPromised(Plan);
    this->checkFencingNumbers(Plan);
    this->Current = Plan.Next;
    this->Now = this->Now + std::chrono::seconds(1);
    return Plan;
  }

  // Like the coordinator, assigns first owners once no join request is pending.
  AssignmentPlan admitAndAssign(std::span<const JoinRequest> Joins) {
    this->Started = false;
    AssignmentPlan First = this->planNextVersion(Joins);
    // Members admitted in the same version as the first would wait for each
    // other's grants forever.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.AdmittedNames.size());
    CPPUNIT_ASSERT(First.Next.Members.front().Guardians.empty());
    this->Started = true;
    return this->planNextVersion(Joins);
  }

  void checkDisplacedPromised(const AssignmentPlan &Plan) const {
    for (std::uint32_t I = 0; I < SliceCount; ++I) {
      SliceRef Slice{serviceIdOf("consulta"), I};
      SuccessionList Old = this->Current.successionOf(Slice);
      SuccessionList New = Plan.Next.successionOf(Slice);
      for (std::size_t P = 1; P < Old.Members.size(); ++P) {
        MemberId Id = Old.Members[P];
        if (Plan.Next.isDeposed(Id) || Plan.RequiredPromises.contains(Id))
          continue;
        auto Position = New.positionOf(Id);
        CPPUNIT_ASSERT(Position);
        // No member precedes the owner, so its fencing number may increase.
        if (*Position == 0)
          CPPUNIT_ASSERT(New.FencingNumber.Value >=
                         Old.FencingNumber.Value + P);
        else
          CPPUNIT_ASSERT_EQUAL(Old.FencingNumber.Value + P,
                               New.FencingNumber.Value + *Position);
      }
    }
  }

  // The recorded fencing number of a slice never decreases.
  void checkFencingNumbers(const AssignmentPlan &Plan) const {
    for (std::uint32_t I = 0; I < SliceCount; ++I) {
      SliceRef Slice{serviceIdOf("consulta"), I};
      const SliceOwner *Old = this->Current.find(Slice);
      const SliceOwner *New = Plan.Next.find(Slice);
      CPPUNIT_ASSERT(New);
      if (Old)
        CPPUNIT_ASSERT(Old->FencingNumber <= New->FencingNumber);
    }
  }

  std::size_t ownedBy(MemberId Id) const {
    const ServiceSlices &Service = this->Current.Services.front();
    return static_cast<std::size_t>(
        std::ranges::count(Service.Slices, Id, &SliceOwner::Owner));
  }

  Catalogue Entries;
  Assignment Current;
  FactSet Known;
  LoadModel Loads;
  Instant Now{1'000'000};
  bool Started = true;
  std::vector<YieldAck> Yielded;
  std::set<MemberId> Leaving;
  std::set<MemberId> UnresponsiveMembers;
};

class AssignmentPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AssignmentPlannerTest);
  CPPUNIT_TEST(distributesFirstOwners);
  CPPUNIT_TEST(guardiansAreInOtherDomains);
  CPPUNIT_TEST(successorsTakeOver);
  CPPUNIT_TEST(unresponsiveSuccessorBlocksChange);
  CPPUNIT_TEST(leavingMemberLosesItsSlices);
  CPPUNIT_TEST(randomSequencesStayCompatible);
  CPPUNIT_TEST(encodingRoundTrips);
  CPPUNIT_TEST_SUITE_END();

public:
  static std::vector<JoinRequest> makeJoinRequests(std::uint64_t From,
                                                   std::uint64_t To) {
    std::vector<JoinRequest> Result;
    for (std::uint64_t T = From; T <= To; ++T)
      Result.push_back(makeJoinRequest(T));
    return Result;
  }

  void distributesFirstOwners() {
    PlannerFixture F;
    AssignmentPlan Plan = F.admitAndAssign(makeJoinRequests(1, 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Plan.AdmittedNames.size());
    CPPUNIT_ASSERT(Plan.RequiredPromises.empty());
    for (const Member &M : F.Current.Members)
      CPPUNIT_ASSERT(F.ownedBy(M.Id) >= 10 && F.ownedBy(M.Id) <= 11);
  }

  // If a failure domain contained a member and its guardians, its loss would
  // leave no member able to depose the lost one.
  void guardiansAreInOtherDomains() {
    PlannerFixture F;
    F.admitAndAssign(makeJoinRequests(1, 18));
    for (const Member &M : F.Current.Members) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, M.Guardians.size());
      const Member *First = F.Current.find(M.Guardians[0].Member);
      const Member *Second = F.Current.find(M.Guardians[1].Member);
      CPPUNIT_ASSERT(First->FailureDomain != M.FailureDomain);
      CPPUNIT_ASSERT(Second->FailureDomain != M.FailureDomain);
      CPPUNIT_ASSERT(First->Region == M.Region);
      CPPUNIT_ASSERT(Second->Region != M.Region);
    }
  }

  void successorsTakeOver() {
    PlannerFixture F;
    F.admitAndAssign(makeJoinRequests(1, 6));
    F.Known.addDeposed(MemberId{3}, F.Now);
    F.planNextVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.ownedBy(MemberId{3}));
    F.planNextVersion();
    CPPUNIT_ASSERT(!F.Current.find(MemberId{3}));
  }

  // Writing without the promise of an unreachable member could give a slice two
  // owners after the next failure.
  void unresponsiveSuccessorBlocksChange() {
    PlannerFixture F;
    F.admitAndAssign(makeJoinRequests(1, 6));
    SuccessionList Before =
        F.Current.successionOf({serviceIdOf("consulta"), 0});
    F.Known.addDeposed(Before.Members[0], F.Now);
    F.UnresponsiveMembers.insert(Before.Members[2]);
    F.planNextVersion();
    SuccessionList After = F.Current.successionOf({serviceIdOf("consulta"), 0});
    CPPUNIT_ASSERT(Before.Members == After.Members);
  }

  void leavingMemberLosesItsSlices() {
    PlannerFixture F;
    F.admitAndAssign(makeJoinRequests(1, 6));
    F.Leaving.insert(MemberId{2});
    F.planNextVersion();
    const ServiceSlices &Service = F.Current.Services.front();
    for (std::uint32_t I = 0; I < SliceCount; ++I) {
      const SliceOwner &Owner = Service.Slices[I];
      if (Owner.Owner != MemberId{2})
        continue;
      CPPUNIT_ASSERT(Owner.MoveTarget);
      F.Yielded.push_back(YieldAck{Owner.MoveTarget,
                                   {Service.Service, I},
                                   Fence{Owner.FencingNumber.Value + 1}});
    }
    F.planNextVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.ownedBy(MemberId{2}));
  }

  void randomSequencesStayCompatible() {
    for (unsigned Seed = 0; Seed < 200; ++Seed)
      this->randomSequence(Seed);
  }

  void randomSequence(unsigned Seed) {
    std::mt19937 Random(Seed);
    PlannerFixture F;
    std::uint64_t NextToken = 7;
    F.admitAndAssign(makeJoinRequests(1, 6));
    for (int Step = 0; Step < 30; ++Step) {
      F.UnresponsiveMembers.clear();
      F.Yielded.clear();
      std::vector<JoinRequest> New;
      std::vector<MemberId> Live;
      for (const Member &M : F.Current.Members)
        if (!M.Deposed)
          Live.push_back(M.Id);
      auto Any = [&] { return Live[Random() % Live.size()]; };
      switch (Random() % 5) {
      case 0:
        New.push_back(makeJoinRequest(NextToken++));
        break;
      case 1:
        if (Live.size() > 3)
          F.Known.addDeposed(Any(), F.Now);
        break;
      case 2:
        F.Leaving.insert(Any());
        break;
      case 3:
        F.UnresponsiveMembers.insert(Any());
        break;
      default:
        for (std::uint32_t I = 0; I < SliceCount; ++I) {
          const SliceOwner &Owner = F.Current.Services.front().Slices[I];
          if (Owner.MoveTarget && Random() % 2 == 0)
            F.Yielded.push_back(YieldAck{Owner.MoveTarget,
                                         {serviceIdOf("consulta"), I},
                                         Fence{Owner.FencingNumber.Value + 1}});
        }
      }
      F.planNextVersion(New);
    }
  }

  void encodingRoundTrips() {
    PlannerFixture F;
    F.admitAndAssign(makeJoinRequests(1, 18));
    std::string Bytes = encodeAssignment(F.Current);
    absl::StatusOr<Assignment> Read = decodeAssignment(Bytes);
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT(encodeAssignment(*Read) == Bytes);
    CPPUNIT_ASSERT(!decodeAssignment(Bytes.substr(0, 50)).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssignmentPlannerTest);

} // namespace
} // namespace orioledoor::ownership

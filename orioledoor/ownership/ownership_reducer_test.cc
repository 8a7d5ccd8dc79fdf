// Single rules of the member side: when a permission counts, when a guardian
// grants and releases, and how a planned move changes hands.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "orioledoor/ownership/guard_duty.h"
#include "orioledoor/ownership/node_state.h"
#include "orioledoor/ownership/permission_keeper.h"
#include "orioledoor/ownership/slice_keeper.h"

namespace orioledoor::ownership {
namespace {

using std::chrono::milliseconds;

constexpr ServiceId Service{7};
constexpr SliceRef Slice{Service, 0};

Member memberOf(std::uint32_t Id, std::vector<Guardian> Guardians) {
  Member M;
  M.Id = MemberId{Id};
  M.PeerAddress = "tcp://127.0.0.1:" + std::to_string(Id);
  M.Service = Service;
  M.AdmittedAt = 1;
  M.Guardians = std::move(Guardians);
  M.Successors.assign(SuccessorBuckets, {MemberId{2}, MemberId{3}});
  return M;
}

// Four members; 1 is guarded by 2 and 3 and owns the only slice.
Assignment baseline() {
  Assignment A;
  A.Version = 1;
  A.NextMemberId = 5;
  A.Coordinator = MemberId{4};
  for (std::uint32_t Id = 1; Id <= 4; ++Id)
    A.Members.push_back(memberOf(
        Id, Id == 1 ? std::vector<Guardian>{{MemberId{2}, 1}, {MemberId{3}, 1}}
                    : std::vector<Guardian>{}));
  A.Services.push_back(
      {Service, {SliceOwner{MemberId{1}, Fence{1}, MemberId{}}}});
  return A;
}

NodeState nodeOf(std::uint32_t Id, const Assignment &Current) {
  NodeState Node(
      LocalNode{.Name = "n",
                .PeerAddress = "tcp://127.0.0.1:" + std::to_string(Id),
                .HttpAddress = "",
                .Region = "",
                .FailureDomain = "",
                .Seed = 5,
                .Seeds = {}});
  Node.Id = MemberId{Id};
  Node.Current = std::make_shared<const Assignment>(Current);
  return Node;
}

Renew renewOf(std::uint32_t Id) {
  Renew Result;
  Result.From = MemberId{Id};
  return Result;
}

// The messages of type T in Output.
template <typename T> std::vector<T> sent(const Effects &Output) {
  std::vector<T> Result;
  for (const Effect &E : Output)
    if (const auto *Message = std::get_if<SendPeer>(&E))
      if (const auto *Body = std::get_if<T>(&Message->Body))
        Result.push_back(*Body);
  return Result;
}

template <typename T> std::size_t countOf(const Effects &Output) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Output, [](const Effect &E) { return std::holds_alternative<T>(E); }));
}

class OwnershipReducerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipReducerTest);
  CPPUNIT_TEST(permissionLastsFromSending);
  CPPUNIT_TEST(grantsOfEarlierIncarnationAreIgnored);
  CPPUNIT_TEST(addedGuardianCountsOnceOlderOnesKnowIt);
  CPPUNIT_TEST(releaseWaitsForLastGrant);
  CPPUNIT_TEST(guardianWithoutPermissionRefuses);
  CPPUNIT_TEST(consentStopsGrants);
  CPPUNIT_TEST(promiseKeepsSuccessorBack);
  CPPUNIT_TEST(moveChangesHandsOnce);
  CPPUNIT_TEST(slowDrainIsResumed);
  CPPUNIT_TEST_SUITE_END();

  Instant Now{1'000'000'000};

  void advance(milliseconds By) { this->Now = this->Now + By; }

  Grant answer(const Renew &Asked, std::uint32_t From, std::uint64_t Version) {
    return Grant{MemberId{From}, Asked.Sequence, Asked.SentAt, PermissionLength,
                 Versions{Version, 0}};
  }

public:
  // Counting from the arrival of the grant would outlast the guardian's wait.
  void permissionLastsFromSending() {
    NodeState Node = nodeOf(1, baseline());
    PermissionKeeper Keeper(Node);
    Effects Output;
    Keeper.assignmentChanged(this->Now);
    Keeper.tick(this->Now, Output);
    auto Renewals = sent<Renew>(Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Renewals.size());
    Instant SentAt = this->Now;
    this->advance(milliseconds(300));
    Keeper.handle(this->Now, this->answer(Renewals[0], 2, 1));
    CPPUNIT_ASSERT(Keeper.permissionEnd() == SentAt + PermissionLength);
    CPPUNIT_ASSERT(!Keeper.holds(SentAt + PermissionLength));
  }

  // A late grant to a former member id would let the new one serve unguarded.
  void grantsOfEarlierIncarnationAreIgnored() {
    NodeState Node = nodeOf(1, baseline());
    PermissionKeeper Keeper(Node);
    Effects Output;
    Keeper.assignmentChanged(this->Now);
    Keeper.tick(this->Now, Output);
    Keeper.reset();
    Keeper.assignmentChanged(this->Now);
    Keeper.handle(this->Now, this->answer(sent<Renew>(Output)[0], 2, 1));
    CPPUNIT_ASSERT(!Keeper.holds(this->Now));
  }

  // An older guardian that does not know of the added one could derive that
  // the member is deposed while the added one still grants.
  void addedGuardianCountsOnceOlderOnesKnowIt() {
    Assignment A = baseline();
    A.Version = 2;
    A.Members[0].Guardians.push_back({MemberId{4}, 2});
    NodeState Node = nodeOf(1, A);
    PermissionKeeper Keeper(Node);
    Effects Output;
    Keeper.assignmentChanged(this->Now);
    Keeper.tick(this->Now, Output);
    auto Renewals = sent<Renew>(Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Renewals.size());
    Keeper.handle(this->Now, this->answer(Renewals[2], 4, 2));
    CPPUNIT_ASSERT(!Keeper.holds(this->Now));
    this->advance(milliseconds(200));
    Output.clear();
    Keeper.tick(this->Now, Output);
    Renewals = sent<Renew>(Output);
    Keeper.handle(this->Now, this->answer(Renewals[0], 2, 2));
    Keeper.handle(this->Now, this->answer(Renewals[1], 3, 1));
    CPPUNIT_ASSERT(!Keeper.counts(Keeper.links()[2]));
    Keeper.handle(this->Now, this->answer(Renewals[1], 3, 2));
    CPPUNIT_ASSERT(Keeper.counts(Keeper.links()[2]));
  }

  void releaseWaitsForLastGrant() {
    NodeState Node = nodeOf(2, baseline());
    GuardDuty Duty(Node);
    Effects Output;
    Duty.assignmentChanged(this->Now);
    Duty.tick(this->Now, true, Output);
    Duty.handle(this->Now, "a", renewOf(1), true, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Grant>(Output).size());
    Instant Granted = this->Now;
    bool Released = false;
    while (!Released && this->Now < Granted + milliseconds(2'000)) {
      this->advance(milliseconds(20));
      Released = !Duty.tick(this->Now, true, Output).Releases.empty();
    }
    CPPUNIT_ASSERT(this->Now >= Granted + GrantLapse);
    CPPUNIT_ASSERT(this->Now <= Granted + GrantLapse + milliseconds(20));
    Output.clear();
    Duty.handle(this->Now, "a", renewOf(1), true, Output);
    CPPUNIT_ASSERT(sent<Refuse>(Output).at(0).Released);
  }

  // A deposed guardian that granted would keep a member alive that others
  // believe deposed.
  void guardianWithoutPermissionRefuses() {
    NodeState Node = nodeOf(2, baseline());
    GuardDuty Duty(Node);
    Effects Output;
    Duty.assignmentChanged(this->Now);
    Duty.handle(this->Now, "a", renewOf(1), false, Output);
    Duty.handle(this->Now, "a", renewOf(4), true, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent<Refuse>(Output).size());
  }

  void consentStopsGrants() {
    NodeState Node = nodeOf(2, baseline());
    GuardDuty Duty(Node);
    Effects Output;
    Duty.assignmentChanged(this->Now);
    Duty.handle(this->Now, "a", renewOf(1), true, Output);
    Duty.handle("c", ConsentRequest{MemberId{1}, 2});
    Output.clear();
    Duty.handle(this->Now, "a", renewOf(1), true, Output);
    CPPUNIT_ASSERT(sent<Grant>(Output).empty());
    Duty.tick(this->Now, true, Output);
    CPPUNIT_ASSERT(sent<Consent>(Output).empty());
    this->advance(milliseconds(808));
    Duty.tick(this->Now, true, Output);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, sent<Consent>(Output).at(0).Version);
  }

  // Two members could serve a slice whose list is being changed.
  void promiseKeepsSuccessorBack() {
    NodeState Node = nodeOf(2, baseline());
    SliceKeeper Slices(Node);
    Effects Output;
    Slices.refresh(this->Now, Output);
    Slices.handle("c", PromiseRequest{2}, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Promise>(Output).size());
    Node.learnDeposed(MemberId{1}, this->Now);
    Slices.refresh(this->Now, Output);
    CPPUNIT_ASSERT(!Slices.owned(Slice));
    Assignment Next = baseline();
    Next.Version = 2;
    Node.Current = std::make_shared<const Assignment>(Next);
    Slices.refresh(this->Now, Output);
    CPPUNIT_ASSERT(Slices.owned(Slice) == Fence{2});
  }

  void moveChangesHandsOnce() {
    Assignment A = baseline();
    A.Services[0].Slices[0].MoveTarget = MemberId{4};
    NodeState From = nodeOf(1, A);
    NodeState To = nodeOf(4, A);
    SliceKeeper Giver(From);
    SliceKeeper Taker(To);
    Effects Given;
    Giver.refresh(this->Now, Given);
    Taker.refresh(this->Now, Given);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<DrainSlice>(Given));
    CPPUNIT_ASSERT(Giver.owned(Slice) && !Taker.owned(Slice));
    Giver.handle(this->Now, SliceDrained{Slice, "table"}, Given);
    CPPUNIT_ASSERT(!Giver.owned(Slice));
    Yield Handed = sent<Yield>(Given).at(0);
    Effects Taken;
    Taker.handle(this->Now, "a", Handed, Taken);
    Taker.handle(this->Now, "a", Handed, Taken);
    CPPUNIT_ASSERT(Taker.owned(Slice) == Fence{2});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<AdoptSlice>(Taken));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent<YieldAck>(Taken).size());
    Giver.handle(this->Now, sent<YieldAck>(Taken)[0], Given);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<DropSlice>(Given));
    CPPUNIT_ASSERT(Giver.isIdle());
  }

  void slowDrainIsResumed() {
    Assignment A = baseline();
    A.Services[0].Slices[0].MoveTarget = MemberId{4};
    NodeState Node = nodeOf(1, A);
    SliceKeeper Slices(Node);
    Effects Output;
    Slices.refresh(this->Now, Output);
    this->advance(milliseconds(2'000));
    Slices.tick(this->Now, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<ResumeSlice>(Output));
    Slices.handle(this->Now, SliceDrained{Slice, ""}, Output);
    CPPUNIT_ASSERT(Slices.owned(Slice));
    this->advance(milliseconds(5'000));
    Slices.tick(this->Now, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, countOf<DrainSlice>(Output));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipReducerTest);

} // namespace
} // namespace orioledoor::ownership

// Tests individual rules of the ownership protocol: when a permission is
// effective, when a guardian grants and releases, and how a planned move
// transfers a slice.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "orioledoor/ownership/guardian_role.h"
#include "orioledoor/ownership/node_state.h"
#include "orioledoor/ownership/permission_holder.h"
#include "orioledoor/ownership/slice_ownership.h"

namespace orioledoor::ownership {
namespace {

using std::chrono::milliseconds;

constexpr ServiceId Service{7};
constexpr SliceRef Slice{Service, 0};

Member makeMember(std::uint32_t Id, std::vector<Guardian> Guardians) {
  Member M;
  M.Id = MemberId{Id};
  M.PeerAddress = "tcp://127.0.0.1:" + std::to_string(Id);
  M.Service = Service;
  M.AdmittedAt = 1;
  M.Guardians = std::move(Guardians);
  M.Successors.assign(SuccessorBuckets, {MemberId{2}, MemberId{3}});
  return M;
}

// Four members; member 1 has the guardians 2 and 3 and owns the only slice.
Assignment baseline() {
  Assignment A;
  A.Version = 1;
  A.NextMemberId = 5;
  A.Coordinator = MemberId{4};
  for (std::uint32_t Id = 1; Id <= 4; ++Id)
    A.Members.push_back(makeMember(
        Id, Id == 1 ? std::vector<Guardian>{{MemberId{2}, 1}, {MemberId{3}, 1}}
                    : std::vector<Guardian>{}));
  A.Services.push_back(
      {Service, {SliceOwner{MemberId{1}, Fence{1}, MemberId{}}}});
  return A;
}

NodeState makeNode(std::uint32_t Id, const Assignment &Current) {
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

Renew makeRenewal(std::uint32_t Id) {
  Renew Result;
  Result.From = MemberId{Id};
  return Result;
}

// The messages of type T in Output.
template <typename T> std::vector<T> sentMessages(const Effects &Output) {
  std::vector<T> Result;
  for (const Effect &E : Output)
    if (const auto *Message = std::get_if<SendPeer>(&E))
      if (const auto *Body = std::get_if<T>(&Message->Body))
        Result.push_back(*Body);
  return Result;
}

template <typename T> std::size_t countEffects(const Effects &Output) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Output, [](const Effect &E) { return std::holds_alternative<T>(E); }));
}

class OwnershipReducerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipReducerTest);
  CPPUNIT_TEST(permissionIsCountedFromSending);
  CPPUNIT_TEST(grantsOfEarlierIncarnationAreIgnored);
  CPPUNIT_TEST(addedGuardianIsEffectiveOnceOthersKnowIt);
  CPPUNIT_TEST(releaseWaitsForLastGrant);
  CPPUNIT_TEST(guardianWithoutPermissionRefuses);
  CPPUNIT_TEST(consentStopsGrants);
  CPPUNIT_TEST(promiseDelaysTakeover);
  CPPUNIT_TEST(moveTransfersSliceOnce);
  CPPUNIT_TEST(slowDrainIsResumed);
  CPPUNIT_TEST_SUITE_END();

  Instant Now{1'000'000'000};

  void advance(milliseconds By) { this->Now = this->Now + By; }

  Grant makeGrant(const Renew &Request, std::uint32_t From,
                  std::uint64_t Version) {
    return Grant{MemberId{From}, Request.Sequence, Request.SentAt,
                 PermissionLength, Versions{Version, 0}};
  }

public:
  // A permission counted from the arrival of the grant would outlast the time
  // for which the guardian waits.
  void permissionIsCountedFromSending() {
    NodeState Node = makeNode(1, baseline());
    PermissionHolder Holder(Node);
    Effects Output;
    Holder.updateFromAssignment(this->Now);
    Holder.tick(this->Now, Output);
    auto Renewals = sentMessages<Renew>(Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Renewals.size());
    Instant SentAt = this->Now;
    this->advance(milliseconds(300));
    Holder.handle(this->Now, this->makeGrant(Renewals[0], 2, 1));
    CPPUNIT_ASSERT(Holder.permissionEnd() == SentAt + PermissionLength);
    CPPUNIT_ASSERT(!Holder.holds(SentAt + PermissionLength));
  }

  // A late grant to an earlier member id would let the new member serve without
  // a guardian's permission.
  void grantsOfEarlierIncarnationAreIgnored() {
    NodeState Node = makeNode(1, baseline());
    PermissionHolder Holder(Node);
    Effects Output;
    Holder.updateFromAssignment(this->Now);
    Holder.tick(this->Now, Output);
    Holder.reset();
    Holder.updateFromAssignment(this->Now);
    Holder.handle(this->Now,
                  this->makeGrant(sentMessages<Renew>(Output)[0], 2, 1));
    CPPUNIT_ASSERT(!Holder.holds(this->Now));
  }

  // A guardian with an older term that does not know the added one could
  // conclude that the member is deposed while the added one still grants.
  void addedGuardianIsEffectiveOnceOthersKnowIt() {
    Assignment A = baseline();
    A.Version = 2;
    A.Members[0].Guardians.push_back({MemberId{4}, 2});
    NodeState Node = makeNode(1, A);
    PermissionHolder Holder(Node);
    Effects Output;
    Holder.updateFromAssignment(this->Now);
    Holder.tick(this->Now, Output);
    auto Renewals = sentMessages<Renew>(Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Renewals.size());
    Holder.handle(this->Now, this->makeGrant(Renewals[2], 4, 2));
    CPPUNIT_ASSERT(!Holder.holds(this->Now));
    this->advance(milliseconds(200));
    Output.clear();
    Holder.tick(this->Now, Output);
    Renewals = sentMessages<Renew>(Output);
    Holder.handle(this->Now, this->makeGrant(Renewals[0], 2, 2));
    Holder.handle(this->Now, this->makeGrant(Renewals[1], 3, 1));
    CPPUNIT_ASSERT(!Holder.isEffective(Holder.guardianLinks()[2]));
    Holder.handle(this->Now, this->makeGrant(Renewals[1], 3, 2));
    CPPUNIT_ASSERT(Holder.isEffective(Holder.guardianLinks()[2]));
  }

  void releaseWaitsForLastGrant() {
    NodeState Node = makeNode(2, baseline());
    GuardianRole Guardianship(Node);
    Effects Output;
    Guardianship.updateFromAssignment(this->Now);
    Guardianship.tick(this->Now, true, Output);
    Guardianship.handle(this->Now, "a", makeRenewal(1), true, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sentMessages<Grant>(Output).size());
    Instant Granted = this->Now;
    bool Released = false;
    while (!Released && this->Now < Granted + milliseconds(2'000)) {
      this->advance(milliseconds(20));
      Released = !Guardianship.tick(this->Now, true, Output).Releases.empty();
    }
    CPPUNIT_ASSERT(this->Now >= Granted + GrantExpiryDelay);
    CPPUNIT_ASSERT(this->Now <= Granted + GrantExpiryDelay + milliseconds(20));
    Output.clear();
    Guardianship.handle(this->Now, "a", makeRenewal(1), true, Output);
    CPPUNIT_ASSERT(sentMessages<Refuse>(Output).at(0).Released);
  }

  // A grant by a deposed guardian would let a member serve that others consider
  // deposed.
  void guardianWithoutPermissionRefuses() {
    NodeState Node = makeNode(2, baseline());
    GuardianRole Guardianship(Node);
    Effects Output;
    Guardianship.updateFromAssignment(this->Now);
    Guardianship.handle(this->Now, "a", makeRenewal(1), false, Output);
    Guardianship.handle(this->Now, "a", makeRenewal(4), true, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sentMessages<Refuse>(Output).size());
  }

  void consentStopsGrants() {
    NodeState Node = makeNode(2, baseline());
    GuardianRole Guardianship(Node);
    Effects Output;
    Guardianship.updateFromAssignment(this->Now);
    Guardianship.handle(this->Now, "a", makeRenewal(1), true, Output);
    Guardianship.handle("c", ConsentRequest{MemberId{1}, 2});
    Output.clear();
    Guardianship.handle(this->Now, "a", makeRenewal(1), true, Output);
    CPPUNIT_ASSERT(sentMessages<Grant>(Output).empty());
    Guardianship.tick(this->Now, true, Output);
    CPPUNIT_ASSERT(sentMessages<Consent>(Output).empty());
    this->advance(milliseconds(808));
    Guardianship.tick(this->Now, true, Output);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         sentMessages<Consent>(Output).at(0).Version);
  }

  // Otherwise two members could serve a slice whose succession list is being
  // changed.
  void promiseDelaysTakeover() {
    NodeState Node = makeNode(2, baseline());
    SliceOwnership Ownership(Node);
    Effects Output;
    Ownership.refresh(this->Now, Output);
    Ownership.handle("c", PromiseRequest{2}, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sentMessages<Promise>(Output).size());
    Node.recordDeposed(MemberId{1}, this->Now);
    Ownership.refresh(this->Now, Output);
    CPPUNIT_ASSERT(!Ownership.owned(Slice));
    Assignment Next = baseline();
    Next.Version = 2;
    Node.Current = std::make_shared<const Assignment>(Next);
    Ownership.refresh(this->Now, Output);
    CPPUNIT_ASSERT(Ownership.owned(Slice) == Fence{2});
  }

  void moveTransfersSliceOnce() {
    Assignment A = baseline();
    A.Services[0].Slices[0].MoveTarget = MemberId{4};
    NodeState From = makeNode(1, A);
    NodeState To = makeNode(4, A);
    SliceOwnership Sender(From);
    SliceOwnership Receiver(To);
    Effects SenderOutput;
    Sender.refresh(this->Now, SenderOutput);
    Receiver.refresh(this->Now, SenderOutput);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countEffects<DrainSlice>(SenderOutput));
    CPPUNIT_ASSERT(Sender.owned(Slice) && !Receiver.owned(Slice));
    Sender.handle(this->Now, SliceDrained{Slice, "table"}, SenderOutput);
    CPPUNIT_ASSERT(!Sender.owned(Slice));
    Yield SentYield = sentMessages<Yield>(SenderOutput).at(0);
    Effects ReceiverOutput;
    Receiver.handle(this->Now, "a", SentYield, ReceiverOutput);
    Receiver.handle(this->Now, "a", SentYield, ReceiverOutput);
    CPPUNIT_ASSERT(Receiver.owned(Slice) == Fence{2});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countEffects<AdoptSlice>(ReceiverOutput));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         sentMessages<YieldAck>(ReceiverOutput).size());
    Sender.handle(this->Now, sentMessages<YieldAck>(ReceiverOutput)[0],
                  SenderOutput);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countEffects<DropSlice>(SenderOutput));
    CPPUNIT_ASSERT(Sender.isIdle());
  }

  void slowDrainIsResumed() {
    Assignment A = baseline();
    A.Services[0].Slices[0].MoveTarget = MemberId{4};
    NodeState Node = makeNode(1, A);
    SliceOwnership Ownership(Node);
    Effects Output;
    Ownership.refresh(this->Now, Output);
    this->advance(milliseconds(2'000));
    Ownership.tick(this->Now, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countEffects<ResumeSlice>(Output));
    Ownership.handle(this->Now, SliceDrained{Slice, ""}, Output);
    CPPUNIT_ASSERT(Ownership.owned(Slice));
    this->advance(milliseconds(5'000));
    Ownership.tick(this->Now, Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, countEffects<DrainSlice>(Output));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipReducerTest);

} // namespace
} // namespace orioledoor::ownership

// Tests single cases of the request reducer: normal requests, retries, moves
// and stale routes.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/requests/request_reducer.h"

namespace orioledoor::requests {
namespace {

using namespace std::chrono_literals;

struct FixedRouting {
  std::optional<ownership::Route> Next;
  bool Open = true;
  Instant ValidUntil{std::int64_t{1} << 60};

  std::optional<ownership::Route> route(SliceRef /*Slice*/) const {
    return this->Next;
  }
  std::optional<ownership::Gate> gate(SliceRef /*Slice*/, Instant Now) const {
    if (!this->Open || Now >= this->ValidUntil)
      return std::nullopt;
    return ownership::Gate{Fence{3}, this->ValidUntil};
  }
  std::vector<ownership::Route> membersOf(ServiceId /*Service*/) const {
    return {*this->Next};
  }
  double ownedShare(ServiceId /*Service*/) const { return 1; }
  Instant permissionEnd() const { return this->ValidUntil; }
};

std::shared_ptr<const Catalogue> sampleCatalogue() {
  auto Value = std::make_shared<Catalogue>();
  ServiceEntry Entry;
  Entry.Name = "desk";
  Entry.Id = serviceIdOf("desk");
  Entry.DividedByKey = true;
  Entry.Slices = 1;
  Value->Services.push_back(Entry);
  return Value;
}

class Node {
public:
  explicit Node(std::uint64_t Seed) : Reducer(ReducerOptions{"self", Seed}) {
    this->Routes.Next = ownership::Route{MemberId{1}, "self", true, true};
    this->feed(CatalogueChanged{sampleCatalogue()});
    this->feed(TargetChanged{
        .Ready = true, .Service = "desk", .Slots = 1, .Connections = 8});
  }

  // Returns the effects other than log records.
  Effects feed(Event Input, Duration Elapsed = 1ms) {
    this->Now = this->Now + Elapsed;
    Effects Output;
    this->Reducer.handle(std::move(Input), this->Now, this->Routes, Output);
    std::erase_if(Output, [](const Effect &E) {
      return std::holds_alternative<WriteLog>(E);
    });
    return Output;
  }

  FixedRouting Routes;

  Instant Now{1'000'000};

private:
  RequestReducer<FixedRouting> Reducer;
};

SliceRef onlySlice() { return SliceRef{serviceIdOf("desk"), 0}; }

CallerRequest post(std::uint64_t CallerId, const std::string &OperationId,
                   std::uint32_t Attempt = 1) {
  CallerRequest Event;
  Event.CallerId = CallerId;
  Event.Request = std::make_shared<HttpRequest>(
      HttpRequest{"POST", "desk", "k", "", {}, "body"});
  Event.OperationId = OperationId;
  Event.Attempt = Attempt;
  return Event;
}

CallerRequest get(std::uint64_t CallerId) {
  CallerRequest Event;
  Event.CallerId = CallerId;
  Event.Request = std::make_shared<HttpRequest>(
      HttpRequest{"GET", "desk", "k", "", {}, ""});
  return Event;
}

// Returns the first effect of type T; fails the test if there is none.
template <typename T> T firstOf(const Effects &Output) {
  auto Found = std::ranges::find_if(
      Output, [](const Effect &E) { return std::holds_alternative<T>(E); });
  CPPUNIT_ASSERT(Found != Output.end());
  return std::get<T>(*Found);
}

std::string headerOf(const HttpAnswer &Value, std::string_view Name) {
  auto Found = std::ranges::find(Value.Headers, Name, &Header::Name);
  return Found == Value.Headers.end() ? "" : Found->Value;
}

class RequestReducerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestReducerTest);
  CPPUNIT_TEST(localRequestIsCalledAndAnswered);
  CPPUNIT_TEST(remoteRequestIsForwardedAndAnswered);
  CPPUNIT_TEST(missingOwnerDoesNotCountAsTry);
  CPPUNIT_TEST(brokenCallDelaysRetryUntilProbed);
  CPPUNIT_TEST(drainedSliceForwardsParkedRequests);
  CPPUNIT_TEST(staleRoutesEndAtTheHopLimit);
  CPPUNIT_TEST(resendOfRunningOperationGetsItsAnswer);
  CPPUNIT_TEST(queuedRequestIsCancelledAndRefused);
  CPPUNIT_TEST(permissionBoundsTheCall);
  CPPUNIT_TEST(sharedServiceNeedsNoSlice);
  CPPUNIT_TEST_SUITE_END();

public:
  // A request runs on the local target, and a resend gets the stored answer.
  void localRequestIsCalledAndAnswered() {
    Node N(7);
    N.feed(AdoptSlice{onlySlice(), Fence{3}, "", false});
    Effects Output = N.feed(post(1, "op"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Output.size());
    const auto &Call = std::get<CallTarget>(Output[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), Call.Request->Body);
    Output = N.feed(TargetAnswered{Call.CallId, {200, {}, "done"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Output.size());
    const auto &Reply = std::get<ReplyCaller>(Output[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Reply.Answer.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("ran"),
                         headerOf(Reply.Answer, "Oriole-Outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"),
                         headerOf(Reply.Answer, "Oriole-Fence"));
    Output = N.feed(post(2, "op", 2));
    CPPUNIT_ASSERT_EQUAL(std::string("done"),
                         std::get<ReplyCaller>(Output.at(0)).Answer.Body);
  }

  // Only the answer to the open try may reach the caller.
  void remoteRequestIsForwardedAndAnswered() {
    Node N(7);
    N.Routes.Next = ownership::Route{MemberId{2}, "peer", false, true};
    Effects Output = N.feed(post(1, "op"));
    const auto &Sent = std::get<SendPeer>(Output.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("peer"), Sent.To);
    auto ForwardMessage = std::get<Forward>(Sent.Body);
    Answer CurrentAnswer;
    CurrentAnswer.EntryId = ForwardMessage.EntryId;
    CurrentAnswer.RequestId = ForwardMessage.RequestId;
    CurrentAnswer.Result = Outcome::Ran;
    CurrentAnswer.Response = {200, {}, "done"};
    Answer LateAnswer = CurrentAnswer;
    ++LateAnswer.RequestId;
    CPPUNIT_ASSERT(N.feed(PeerMessage{"peer", LateAnswer}).empty());
    Output = N.feed(PeerMessage{"peer", CurrentAnswer});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         std::get<ReplyCaller>(Output.at(0)).CallerId);
    CPPUNIT_ASSERT(N.feed(PeerMessage{"peer", CurrentAnswer}).empty());
  }

  // While a slice has no owner, requests must wait for the new owner without
  // using up their tries.
  void missingOwnerDoesNotCountAsTry() {
    Node N(7);
    N.Routes.Next = ownership::Route{MemberId{2}, "peer", false, true};
    CallerRequest Request = post(1, "op");
    Request.MaxTries = 1;
    Effects Output = N.feed(Request);
    for (int I = 0; I < 20; ++I) {
      auto ForwardMessage = std::get<Forward>(firstOf<SendPeer>(Output).Body);
      N.feed(PeerSendFailed{"peer", ForwardMessage.EntryId,
                            ForwardMessage.RequestId});
      Output = N.feed(Tick{}, 100ms);
    }
    N.Routes.Next.reset();
    auto ForwardMessage = std::get<Forward>(firstOf<SendPeer>(Output).Body);
    N.feed(PeerSendFailed{"peer", ForwardMessage.EntryId,
                          ForwardMessage.RequestId});
    CPPUNIT_ASSERT(N.feed(Tick{}, 100ms).empty());
    Output.clear();
    for (int I = 0; I < 20 && Output.empty(); ++I)
      Output = N.feed(Tick{}, 100ms);
    auto Reply = firstOf<ReplyCaller>(Output);
    CPPUNIT_ASSERT_EQUAL(503, Reply.Answer.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         headerOf(Reply.Answer, "Oriole-Outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         headerOf(Reply.Answer, "Retry-After"));
  }

  // A retry that starts before the probes have decided could crash a second
  // target.
  void brokenCallDelaysRetryUntilProbed() {
    Node N(7);
    N.feed(AdoptSlice{onlySlice(), Fence{3}, "", false});
    auto BreakCall = [&N](std::uint64_t CallerId) {
      auto Call = firstOf<CallTarget>(N.feed(get(CallerId)));
      CPPUNIT_ASSERT(
          N.feed(TargetFailed{Call.CallId, TargetFailure::ConnectionLost, ""})
              .empty());
    };
    BreakCall(1);
    // Another answer shows that the target is alive, so the retry starts.
    auto Other = firstOf<CallTarget>(N.feed(post(2, "op")));
    N.feed(TargetAnswered{Other.CallId, {200, {}, ""}});
    auto Retry = firstOf<CallTarget>(N.feed(Tick{}, 20ms));
    N.feed(TargetAnswered{Retry.CallId, {200, {}, ""}});
    BreakCall(3);
    Effects Output = N.feed(TargetChanged{.Lost = true}, 1500ms);
    CPPUNIT_ASSERT(std::holds_alternative<Broadcast>(Output.at(0)));
    auto Notice = std::get<CrashNotice>(firstOf<Broadcast>(Output).Body);
    CPPUNIT_ASSERT(Notice.Confirmed);
    N.feed(PeerMessage{"peer", CrashNotice{Notice.Digest, 1, true}});
    Output = N.feed(get(4));
    CPPUNIT_ASSERT_EQUAL(422, firstOf<ReplyCaller>(Output).Answer.Status);
  }

  // Requests that arrive during a move must reach the new owner.
  void drainedSliceForwardsParkedRequests() {
    Node N(7);
    N.feed(AdoptSlice{onlySlice(), Fence{3}, "", false});
    auto Call = firstOf<CallTarget>(N.feed(post(1, "a")));
    N.feed(post(2, "b"));
    CPPUNIT_ASSERT(N.feed(DrainSlice{onlySlice()}).empty());
    CPPUNIT_ASSERT(N.feed(post(3, "c")).empty());
    Effects Output = N.feed(TargetAnswered{Call.CallId, {200, {}, ""}});
    firstOf<ReplyCaller>(Output);
    std::string Table = firstOf<SliceDrained>(Output).Table;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Output.size());
    N.Routes.Next = ownership::Route{MemberId{2}, "peer", false, true};
    N.Routes.Open = false;
    Output = N.feed(DropSlice{onlySlice()});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Output.size());
    auto ForwardMessage = std::get<Forward>(firstOf<SendPeer>(Output).Body);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ForwardMessage.OperationId);
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(ForwardMessage.Hops));
    CPPUNIT_ASSERT(OperationTable::decode(Table, N.Now)->find("a", N.Now));
    CPPUNIT_ASSERT(!OperationTable::decode(Table, N.Now)->find("b", N.Now));
    // A slice that returns without its table must not be treated as new.
    N.Routes = FixedRouting{ownership::Route{MemberId{1}, "self", true, true}};
    N.feed(AdoptSlice{onlySlice(), Fence{5}, "", false});
    auto Reply = firstOf<ReplyCaller>(N.feed(post(4, "a", 2)));
    CPPUNIT_ASSERT_EQUAL(503, Reply.Answer.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         headerOf(Reply.Answer, "Oriole-Outcome"));
  }

  // Two nodes that each consider the other the owner must not forward a request
  // forever.
  void staleRoutesEndAtTheHopLimit() {
    Node N(7);
    N.Routes.Next = ownership::Route{MemberId{2}, "peer", false, true};
    Forward ForwardMessage;
    ForwardMessage.EntryId = 99;
    ForwardMessage.RequestId = 1;
    ForwardMessage.ReplyTo = "entry";
    ForwardMessage.Slice = onlySlice();
    ForwardMessage.Request = get(1).Request;
    ForwardMessage.Remaining = 1s;
    Effects Output = N.feed(PeerMessage{"entry", ForwardMessage});
    CPPUNIT_ASSERT_EQUAL(std::string("peer"), firstOf<SendPeer>(Output).To);
    CPPUNIT_ASSERT(N.feed(PeerMessage{"entry", ForwardMessage}).empty());
    ForwardMessage.Hops = 2;
    Output = N.feed(PeerMessage{"peer", ForwardMessage});
    CPPUNIT_ASSERT_EQUAL(std::string("entry"), firstOf<SendPeer>(Output).To);
    auto ReplyMessage = std::get<Answer>(firstOf<SendPeer>(Output).Body);
    CPPUNIT_ASSERT(ReplyMessage.Result == Outcome::NotRun);
    CPPUNIT_ASSERT(ReplyMessage.Retry == RetryAdvice::Free);
  }

  // A resend of a running operation must neither run nor be refused.
  void resendOfRunningOperationGetsItsAnswer() {
    Node N(7);
    N.feed(AdoptSlice{onlySlice(), Fence{3}, "", false});
    auto Call = firstOf<CallTarget>(N.feed(post(1, "a")));
    CPPUNIT_ASSERT(N.feed(CallerDisconnected{1}).empty());
    CPPUNIT_ASSERT(N.feed(post(2, "a", 2)).empty());
    Effects Output = N.feed(TargetAnswered{Call.CallId, {200, {}, "done"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Output.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         firstOf<ReplyCaller>(Output).CallerId);
    CallerRequest Changed = post(3, "a", 2);
    Changed.Request = std::make_shared<HttpRequest>(
        HttpRequest{"POST", "desk", "k", "", {}, "other"});
    Output = N.feed(Changed);
    CPPUNIT_ASSERT_EQUAL(409, firstOf<ReplyCaller>(Output).Answer.Status);
  }

  // A queued request whose caller disconnected must not reach the target, and
  // one that cannot meet its deadline must be refused at once.
  void queuedRequestIsCancelledAndRefused() {
    Node N(7);
    N.feed(AdoptSlice{onlySlice(), Fence{3}, "", false});
    auto Call = firstOf<CallTarget>(N.feed(post(1, "a")));
    CPPUNIT_ASSERT(N.feed(get(2)).empty());
    N.feed(CallerDisconnected{2});
    CallerRequest ShortDeadline = get(3);
    ShortDeadline.Timeout = 1ms;
    auto Reply = firstOf<ReplyCaller>(N.feed(ShortDeadline));
    CPPUNIT_ASSERT_EQUAL(503, Reply.Answer.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         headerOf(Reply.Answer, "Retry-After"));
    Effects Output = N.feed(TargetAnswered{Call.CallId, {200, {}, ""}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Output.size());
  }

  // Calls must end before the permission does, unless the target checks fencing
  // numbers.
  void permissionBoundsTheCall() {
    Node N(7);
    N.feed(AdoptSlice{onlySlice(), Fence{3}, "", false});
    N.Routes.ValidUntil = N.Now + 501ms;
    auto Call = firstOf<CallTarget>(N.feed(post(1, "a")));
    CPPUNIT_ASSERT(Call.Timeout == Duration(500ms));
    CPPUNIT_ASSERT(Call.NotAfter == N.Routes.ValidUntil);
    N.feed(TargetChanged{.Ready = true,
                         .Service = "desk",
                         .Slots = 2,
                         .Connections = 8,
                         .ChecksFence = true});
    Call = firstOf<CallTarget>(N.feed(post(2, "b")));
    CPPUNIT_ASSERT(Call.Timeout == Duration(30s));
  }

  // In a service that is not divided by key any member serves idempotent
  // requests, even if it owns no slice.
  void sharedServiceNeedsNoSlice() {
    Node N(7);
    auto Shared = std::make_shared<Catalogue>(*sampleCatalogue());
    Shared->Services[0].DividedByKey = false;
    N.feed(CatalogueChanged{Shared});
    N.Routes.Open = false;
    auto Call = firstOf<CallTarget>(N.feed(get(1)));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Call.FencingNumber.Value);
    CPPUNIT_ASSERT(N.feed(post(2, "op")).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestReducerTest);

} // namespace
} // namespace orioledoor::requests

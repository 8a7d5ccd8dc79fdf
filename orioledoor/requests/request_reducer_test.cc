// Guards the plain path of a request through the reducer and its rules about
// retries, moves and stale routes, one case at a time.
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

  // Returns the effects that are not log records.
  Effects feed(Event Input, Duration Pass = 1ms) {
    this->Now = this->Now + Pass;
    Effects Output;
    this->Reducer.handle(std::move(Input), this->Now, this->Routes, Output);
    std::erase_if(Output, [](const Effect &E) {
      return std::holds_alternative<WriteLog>(E);
    });
    return Output;
  }

  FixedRouting Routes;

private:
  RequestReducer<FixedRouting> Reducer;
  Instant Now{1'000'000};
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

std::string headerOf(const HttpAnswer &Value, std::string_view Name) {
  auto Found = std::ranges::find(Value.Headers, Name, &Header::Name);
  return Found == Value.Headers.end() ? "" : Found->Value;
}

class RequestReducerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestReducerTest);
  CPPUNIT_TEST(localRequestIsCalledAndAnswered);
  CPPUNIT_TEST(remoteRequestIsForwardedAndAnswered);
  CPPUNIT_TEST_SUITE_END();

public:
  // The plain path, and the kept answer for a resend.
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

  // The answer of another try must not reach the caller.
  void remoteRequestIsForwardedAndAnswered() {
    Node N(7);
    N.Routes.Next = ownership::Route{MemberId{2}, "peer", false, true};
    Effects Output = N.feed(post(1, "op"));
    const auto &Sent = std::get<SendPeer>(Output.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("peer"), Sent.To);
    auto F = std::get<Forward>(Sent.Body);
    Answer Right;
    Right.EntryId = F.EntryId;
    Right.RequestId = F.RequestId;
    Right.Result = Outcome::Ran;
    Right.Answered = {200, {}, "done"};
    Answer Late = Right;
    ++Late.RequestId;
    CPPUNIT_ASSERT(N.feed(PeerMessage{"peer", Late}).empty());
    Output = N.feed(PeerMessage{"peer", Right});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         std::get<ReplyCaller>(Output.at(0)).CallerId);
    CPPUNIT_ASSERT(N.feed(PeerMessage{"peer", Right}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestReducerTest);

} // namespace
} // namespace orioledoor::requests

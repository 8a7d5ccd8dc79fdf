// A sidecar reducer with its clock and the effects of the last event, for
// tests.
#ifndef ORIOLEDOOR_SIDECAR_TESTING_REDUCER_FIXTURE_H
#define ORIOLEDOOR_SIDECAR_TESTING_REDUCER_FIXTURE_H

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "orioledoor/keyspace/key_map.h"
#include "orioledoor/keyspace/key_planner.h"
#include "orioledoor/sidecar/reducer.h"

namespace orioledoor::sidecar::testing {

inline constexpr char OwnAddress[] = "tcp://10.0.0.1:7100";
// Address of the target, as the settings name it.
inline constexpr char TargetAddress[] = "10.0.0.1:8301";
// Store revision of the key map that a fleet starts with.
inline constexpr std::int64_t KeyMapRevision = 9;

inline SidecarOptions newOptions() {
  SidecarOptions Options;
  Options.Node = OwnAddress;
  Options.Process = 1;
  Options.Place = {"d1", "r1"};
  Options.Service = "keyed";
  Options.TargetAddress = TargetAddress;
  return Options;
}

class ReducerFixture {
public:
  explicit ReducerFixture(const SidecarOptions &InitialOptions = newOptions())
      : Reducer(InitialOptions) {
    this->dispatch(Started{});
  }

  void dispatch(Event NewEvent) {
    this->Out = this->Reducer.handle(std::move(NewEvent), this->Now);
  }
  void advance(Duration Time) {
    Instant End = this->Now + Time;
    Effects AllEffects;
    while (this->Now < End) {
      this->Now = this->Now + std::chrono::milliseconds(20);
      for (Effect &NewEffect : this->Reducer.handle(TimerTicked{}, this->Now))
        AllEffects.push_back(std::move(NewEffect));
    }
    this->Out = std::move(AllEffects);
  }
  template <typename T> const T *find() const {
    for (const Effect &NewEffect : this->Out)
      if (const auto *Found = std::get_if<T>(&NewEffect))
        return Found;
    return nullptr;
  }
  template <typename T> const T *findMessage() const {
    for (const Effect &NewEffect : this->Out)
      if (const auto *Message = std::get_if<SendMessage>(&NewEffect))
        if (const auto *Found = std::get_if<T>(&Message->Body))
          return Found;
    return nullptr;
  }
  // Sends a request for which no route matches and returns the status of the
  // answer.
  int statusForCaller(std::uint64_t Caller) {
    this->dispatch(CallerRequestReceived{
        {.Caller = Caller,
         .AttemptId = "a",
         .Content = std::make_shared<routing::RequestContent>()}});
    const auto *Reply = this->find<ReplyToCaller>();
    CPPUNIT_ASSERT(Reply);
    return Reply->Answer.Status;
  }
  // Answers the open store call.
  void reply(StoreReply Reply) {
    const auto *Call = this->find<CallStore>();
    CPPUNIT_ASSERT(Call);
    Reply.Id = Call->Request.Id;
    this->dispatch(StoreReplyReceived{std::move(Reply)});
  }
  void joinFleet(const keyspace::KeyMap *Map = nullptr) {
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = 1;
    Table->Services["keyed"] = {"keyed", "/health", 0, true};
    Table->finish();
    StoreReply Granted{.Lease = 5, .TimeToLive = std::chrono::seconds(3)};
    this->reply(Granted);
    StoreReply Written{.Succeeded = true, .Revision = 10};
    this->reply(Written);
    StoreReply Read{.Revision = 10};
    NodeEntry Entry;
    Entry.Node = OwnAddress;
    Entry.Process = 1;
    Read.Entries = {{keyspace::KeyPlanner::nodeEntryKey(OwnAddress),
                     encodeNodeEntry(Entry), 10}};
    if (Map)
      Read.Entries.push_back({std::string(KeysPrefix) + "keyed",
                              keyspace::encodeKeyMap(*Map), KeyMapRevision});
    this->reply(Read);
    this->dispatch(ConfigDecoded{Table});
  }
  // Adds the safe route "/read/" to the service "plain", and two other nodes
  // whose targets serve it.
  void addReadRoute() {
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = 2;
    Table->Services["keyed"] = {"keyed", "/health", 0, true};
    Table->Services["plain"] = {"plain", "/health", 0, false};
    routing::Route Read{.Name = "read", .Host = "h", .Prefix = "/read/"};
    Read.Services = {{"plain", 1}};
    Read.Idempotent = true;
    Read.Timeout = std::chrono::seconds(4);
    Read.TargetLatency = std::chrono::seconds(1);
    Read.Attempts = 2;
    Table->add(Read);
    Table->finish();
    this->dispatch(ConfigDecoded{Table});
    std::uint64_t Process = 2;
    for (const char *Node : {"tcp://10.0.0.2:7100", "tcp://10.0.0.3:7100"}) {
      NodeEntry Entry;
      Entry.Node = Node;
      Entry.Process = Process;
      Entry.Place = {"d1", "r1"};
      Entry.Target = {"i-" + std::to_string(Process), 1, Node};
      Entry.Service = "plain";
      Entry.State = routing::TargetState::Ready;
      Entry.Slots = 4;
      Entry.Sequence = 1;
      this->dispatch(PeerMessageReceived{
          Node, routing::NodeNotice{static_cast<std::int64_t>(10 + Process),
                                    encodeNodeEntry(Entry)}});
      ++Process;
    }
  }
  // Sends a request for that route.
  void sendRead(std::uint64_t Caller, Duration TimeLeft) {
    auto Content = std::make_shared<routing::RequestContent>();
    Content->Method = "GET";
    Content->Host = "h";
    Content->Target = "/read/x";
    this->dispatch(CallerRequestReceived{{.Caller = Caller,
                                          .AttemptId = "a",
                                          .TimeLeft = TimeLeft,
                                          .FirstByteAt = this->Now,
                                          .Content = Content}});
  }
  void report(std::int64_t Sequence, std::int64_t StartTimeMs = 1,
              Duration ColdRemaining = Duration(0)) {
    routing::TargetReport Report;
    Report.Instance = "i-1";
    Report.Address = TargetAddress;
    Report.Service = "keyed";
    Report.Slots = 2;
    Report.StartTimeMs = StartTimeMs;
    Report.Sequence = Sequence;
    Report.ColdRemaining = ColdRemaining;
    this->dispatch(
        TargetReportReceived{static_cast<std::uint64_t>(Sequence), Report});
  }

  // Another node forwards a request for a key; it knows the map of MapRevision.
  void forwardKeyed(const std::string &From, std::uint64_t Id,
                    std::int64_t MapRevision) {
    this->dispatch(PeerMessageReceived{
        From, routing::Forward{
                  .Id = Id,
                  .Process = 9,
                  .Service = "keyed",
                  .AttemptId = "a",
                  .TimeLeft = std::chrono::seconds(2),
                  .LatencyLeft = std::chrono::seconds(1),
                  .Key = 1,
                  .KeyMapRevision = MapRevision,
                  .Content = std::make_shared<routing::RequestContent>()}});
  }

  Instant Now{std::int64_t{10'000'000}};
  SidecarReducer Reducer;
  Effects Out;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_REDUCER_FIXTURE_H

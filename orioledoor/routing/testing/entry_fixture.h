// An entry node with two targets, for the tests of EntryReducer.
#ifndef ORIOLEDOOR_ROUTING_TESTING_ENTRY_FIXTURE_H
#define ORIOLEDOOR_ROUTING_TESTING_ENTRY_FIXTURE_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "orioledoor/routing/entry.h"

namespace orioledoor::routing::testing {

inline constexpr char OwnNode[] = "tcp://10.0.0.1:7100";
inline constexpr char NearNode[] = "tcp://10.0.0.2:7100";
inline constexpr std::size_t BodyBytes = 60'000;
inline constexpr char FarNode[] = "tcp://10.0.0.3:7100";

inline SharedRouteTable newTable() {
  auto Table = std::make_shared<RouteTable>();
  Table->Version = 7;
  Table->Services["keyed"] = {"keyed", "/health", 0, true};
  Table->Services["plain"] = {"plain", "/health", 0, false};
  Route Read{.Name = "read", .Host = "h", .Prefix = "/read/"};
  Read.Services = {{"plain", 1}};
  Read.Idempotent = true;
  Read.Timeout = std::chrono::milliseconds(1200);
  Read.TargetLatency = std::chrono::milliseconds(400);
  Read.Attempts = 2;
  Route Write = Read;
  Write.Name = "write";
  Write.Prefix = "/write/";
  Write.Idempotent = false;
  Route Keyed = Read;
  Keyed.Name = "keyed";
  Keyed.Prefix = "/keyed/";
  Keyed.Services = {{"keyed", 1}};
  Route Split = Read;
  Split.Prefix = "/split/";
  Split.Services = {{"plain", 90}, {"keyed", 10}};
  for (const Route &TestRoute : {Read, Write, Keyed, Split})
    Table->add(TestRoute);
  Table->finish();
  return Table;
}

// An EntryReducer with two ready targets, one of them near.
class EntryFixture {
public:
  explicit EntryFixture(std::uint64_t Process = 1)
      : Directory({"d1", "r1"}, OwnNode),
        Entry({.Node = OwnNode,
               .Process = Process,
               .Budget = {.Ratio = 0, .FleetExtra = 3}},
              this->Directory,
              [this](std::string_view, std::int32_t) { return this->Owner; }) {
    this->Entry.setTable(newTable());
    this->Entry.setFleetSize(1);
    this->addTarget(NearNode, {"d1", "r1"});
    this->addTarget(FarNode, {"d2", "r2"});
    this->Owner.Node = NearNode;
  }

  void addTarget(const std::string &Node, const Location &Place) {
    this->Directory.setNode(Node, Place);
    this->Directory.update({.Process = 1,
                            .Sequence = 1,
                            .Target = {"i", 1, Node},
                            .Service = "plain",
                            .State = TargetState::Ready,
                            .Slots = 4,
                            .ServiceTime = std::chrono::milliseconds(50)},
                           this->Now);
  }

  void sendRequest(std::uint64_t Caller, const std::string &Target,
                   std::int32_t Key = NoKey) {
    auto Content = std::make_shared<RequestContent>();
    Content->Method = "GET";
    Content->Host = "h";
    Content->Target = Target;
    this->Out.clear();
    this->Entry.handleRequest({.Caller = Caller,
                               .AttemptId = "a" + std::to_string(Caller),
                               .CallerService = "mine",
                               .TimeLeft = std::chrono::milliseconds(2500),
                               .Key = Key,
                               .FirstByteAt = this->Now,
                               .LocalRepeatShare = this->LocalRepeatShare,
                               .Content = Content},
                              this->Now, this->Out);
  }

  void setLink(const std::string &Node, std::uint64_t BytesPerSecond) {
    this->Directory.setNode(Node, this->Directory.find(Node)->Place,
                            BytesPerSecond);
  }

  void upload(std::uint64_t Caller) {
    auto Content = std::make_shared<RequestContent>();
    Content->Method = "POST";
    Content->Host = "h";
    Content->Target = "/write/x";
    Content->Body = std::string(BodyBytes, 'x');
    this->Out.clear();
    this->Entry.handleRequest({.Caller = Caller,
                               .AttemptId = "u" + std::to_string(Caller),
                               .CallerService = "mine",
                               .TimeLeft = std::chrono::milliseconds(2500),
                               .FirstByteAt = this->Now,
                               .Content = Content},
                              this->Now, this->Out);
  }

  // Returns the open Forward and the node that it was sent to.
  const Forward *sent(std::string *To = nullptr) const {
    for (const Effect &Output : this->Out)
      if (const auto *Message = std::get_if<SendMessage>(&Output))
        if (const auto *Found = std::get_if<Forward>(&Message->Body)) {
          if (To)
            *To = Message->To;
          return Found;
        }
    return nullptr;
  }
  // Returns the Forward that was cancelled; 0 if there is none.
  std::uint64_t cancelled() const {
    for (const Effect &Output : this->Out)
      if (const auto *Message = std::get_if<SendMessage>(&Output))
        if (const auto *Found = std::get_if<CancelForward>(&Message->Body))
          return Found->Id;
    return 0;
  }
  const HttpAnswer *reply() const {
    for (const Effect &Output : this->Out)
      if (const auto *Found = std::get_if<ReplyToCaller>(&Output))
        return &Found->Answer;
    return nullptr;
  }
  int status() const { return this->reply() ? this->reply()->Status : 0; }

  void receiveResult(const std::string &From, Outcome Code, int Status = 0) {
    ForwardResult Result;
    Result.Id = this->sent()->Id;
    Result.Code = Code;
    Result.Answer.Status = Status;
    this->Out.clear();
    this->Entry.handleResult(From, Result, this->Now, this->Out);
  }
  void advance(Duration Time) {
    this->Now = this->Now + Time;
    this->Out.clear();
    this->Entry.tick(this->Now, this->Out);
  }

  Instant Now{std::int64_t{1'000'000}};
  TargetDirectory Directory;
  KeyOwner Owner;
  EntryReducer Entry;
  Effects Out;
  // As in CallerRequest, for the next requests.
  double LocalRepeatShare = 0;
};

} // namespace orioledoor::routing::testing

#endif // ORIOLEDOOR_ROUTING_TESTING_ENTRY_FIXTURE_H

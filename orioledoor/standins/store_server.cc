// HTTP side, faults, counters and watches of the stand-in store.
#include "orioledoor/standins/store_server.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "orioledoor/standins/gateway_json.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::standins {
namespace {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr int GrpcInvalidArgument = 3;
constexpr int GrpcResourceExhausted = 8;
constexpr Milliseconds LeaseCheckPeriod(50);

bool isWrite(std::string_view Kind) {
  return Kind != "range" && Kind != "watch";
}

} // namespace

StoreServer::StoreServer(Loop &Events, std::uint16_t Port)
    : Events(Events), Http(Events, Port, [this](const Call &Request) {
        this->serve(Request);
      }) {
  this->Model.onChange([this](const std::vector<StoredChange> &Changes) {
    this->publish(Changes);
  });
  Events.every(LeaseCheckPeriod,
               [this] { this->Model.expireLeases(readClock()); });
}

void StoreServer::Rate::count() {
  std::int64_t Now = readClock().micros() / 1'000'000;
  if (std::exchange(this->Second, Now) != Now)
    this->Calls = 0;
  this->Highest = std::max(this->Highest, ++this->Calls);
}

bool StoreServer::useUp(std::int64_t &Remaining) {
  if (Remaining > 0)
    --Remaining;
  else if (Remaining == 0)
    return false;
  return true;
}

void StoreServer::setFaults(const Json &Faults) {
  this->Outage = Faults.value("outage", this->Outage);
  this->Latency =
      Milliseconds(Faults.value("latency_ms", this->Latency.count() / 1000));
  this->AnswerLatency = Milliseconds(
      Faults.value("answer_latency_ms", this->AnswerLatency.count() / 1000));
  this->LoseAnswers = Faults.value("lose_answers", this->LoseAnswers);
  this->Reject = Faults.value("reject", this->Reject);
  if (Faults.contains("compact"))
    this->Model.compact(Faults.at("compact").get<std::int64_t>());
  if (Faults.value("silence_watches", false) || this->Outage == "silent")
    for (Watch &Open : this->Watches)
      Open.Silenced = true;
  if (Faults.value("close_watches", false) || this->Outage == "closed")
    for (const Watch &Open : this->Watches)
      Open.Stream->drop();
}

Json StoreServer::counters() const {
  Json Answer(this->Counters);
  Answer["open_watches"] = this->Watches.size();
  Answer["highest_reads_per_second"] = this->Reads.Highest;
  Answer["highest_writes_per_second"] = this->Writes.Highest;
  Answer["revision"] = this->Model.revision();
  return Answer;
}

void StoreServer::serve(const Call &Request) {
  if (Request->path() == "/standin/counters")
    return Request->reply(200, this->counters().dump());
  if (Request->path() == "/standin/faults") {
    try {
      this->setFaults(Json::parse(Request->body()));
      return Request->reply(200, "{}");
    } catch (const Json::exception &Error) {
      return Request->reply(400, Json{{"error", Error.what()}}.dump());
    }
  }
  std::string_view Kind = kindOf(Request->path());
  if (Kind.empty())
    return Request->reply(404, "{}");
  ++this->Counters[std::string(Kind)];
  (isWrite(Kind) ? this->Writes : this->Reads).count();
  if (this->Latency == Duration(0))
    return this->execute(Request, Kind);
  this->Events.after(this->Latency,
                     [this, Request, Kind] { this->execute(Request, Kind); });
}

void StoreServer::execute(const Call &Request, std::string_view Kind) {
  if (this->Outage == "closed")
    return Request->drop();
  if (this->Outage == "silent")
    return this->Held.push_back(Request);
  GatewayAnswer Answer;
  if (useUp(this->Reject)) {
    ++this->Counters["rejected"];
    Answer = gatewayError(429, GrpcResourceExhausted,
                          "etcdserver: too many requests");
  } else {
    try {
      Json Body = Json::parse(Request->body());
      if (Kind == "watch")
        return this->openWatch(Request, Body.at("create_request"));
      Answer = executeGateway(this->Model, Kind, Body, readClock());
    } catch (const Json::exception &Error) {
      Answer = gatewayError(400, GrpcInvalidArgument, Error.what());
    }
    if (isWrite(Kind) && useUp(this->LoseAnswers)) {
      ++this->Counters["answers_lost"];
      return Request->drop();
    }
  }
  if (this->AnswerLatency == Duration(0))
    return Request->reply(Answer.Code, Answer.Body);
  this->Events.after(this->AnswerLatency, [Request, Answer] {
    Request->reply(Answer.Code, Answer.Body);
  });
}

void StoreServer::openWatch(const Call &Request, const Json &Body) {
  Watch Opened{Request, bytesOf(Body, "key"), bytesOf(Body, "range_end")};
  std::int64_t From = integerOf(Body, "start_revision");
  std::int64_t Now = this->Model.revision();
  Request->startStream();
  Request->sendChunk(watchLine(Now, {}, {{"created", true}}));
  auto Missed = this->Model.changesFrom(From > 0 ? From : Now + 1, Opened.Key,
                                        Opened.End);
  if (!Missed) {
    Request->sendChunk(watchLine(
        Now, {},
        {{"canceled", true},
         {"compact_revision", std::to_string(this->Model.compactRevision())}}));
    return Request->endStream();
  }
  this->send(Opened, *Missed);
  auto At = this->Watches.insert(this->Watches.end(), std::move(Opened));
  Request->onClosed([this, At] { this->Watches.erase(At); });
}

void StoreServer::publish(const std::vector<StoredChange> &Changes) {
  for (const Watch &Open : this->Watches)
    this->send(Open, Changes);
}

void StoreServer::send(const Watch &To,
                       const std::vector<StoredChange> &Changes) {
  std::vector<StoredChange> Wanted;
  std::ranges::copy_if(Changes, std::back_inserter(Wanted),
                       [&](const StoredChange &Change) {
                         return inRange(Change.After.Key, To.Key, To.End);
                       });
  if (!Wanted.empty() && !To.Silenced)
    To.Stream->sendChunk(
        watchLine(this->Model.revision(), Wanted, Json::object()));
}

} // namespace orioledoor::standins

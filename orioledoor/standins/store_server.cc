// HTTP interface, faults, counters and watches of the stand-in store.
#include "orioledoor/standins/store_server.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "orioledoor/platform/names.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/store_execution.h"

namespace orioledoor::standins {
namespace {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds LeaseCheckPeriod(50);

// Counter names, in the order of the alternatives of StoreServiceCall.
constexpr std::array<std::string_view,
                     std::variant_size_v<platform::StoreServiceCall>>
    CallKinds{"range",           "txn",          "lease_grant",
              "lease_keepalive", "lease_revoke", "watch"};

std::string_view kindOf(const platform::StoreServiceCall &Call) {
  return CallKinds.at(Call.index());
}

bool isWrite(const platform::StoreServiceCall &Call) {
  return !std::holds_alternative<platform::StoreServiceRange>(Call) &&
         !std::holds_alternative<platform::StoreServiceWatch>(Call);
}

} // namespace

StoreServer::StoreServer(Loop &Events, std::uint16_t Port)
    : Events(Events), Http(Events, Port, [this](const ExchangePtr &Request) {
        this->serve(Request);
      }) {
  this->Model.onChange([this](const std::vector<StoredChange> &Changes) {
    this->publish(Changes);
  });
  Events.every(LeaseCheckPeriod,
               [this] { this->Model.expireLeases(readClock()); });
}

void StoreServer::Rate::recordCall() {
  std::int64_t Now = readClock().micros() / 1'000'000;
  if (std::exchange(this->Second, Now) != Now)
    this->Calls = 0;
  this->HighestPerSecond = std::max(this->HighestPerSecond, ++this->Calls);
}

bool StoreServer::consumeFault(std::int64_t &Remaining) {
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
  this->AnswersToDrop = Faults.value("lose_answers", this->AnswersToDrop);
  this->CallsToReject = Faults.value("reject", this->CallsToReject);
  if (Faults.contains("compact"))
    this->Model.compact(Faults.at("compact").get<std::int64_t>());
  this->Era = Faults.value("era", this->Era);
  if (Faults.value("take_copy", false))
    this->Model.takeCopy();
  if (Faults.value("roll_back", false))
    this->rollBack();
  if (Faults.value("silence_watches", false) || this->Outage == "silent")
    for (Watch &Open : this->Watches)
      Open.Silenced = true;
  if (Faults.value("close_watches", false) || this->Outage == "closed")
    for (const Watch &Open : this->Watches)
      Open.Request->drop();
}

void StoreServer::rollBack() {
  this->Model.rollBack();
  ++this->Era;
  for (const Watch &Open : std::list<Watch>(this->Watches))
    Open.Request->drop();
  for (const ExchangePtr &Open : std::exchange(this->UnansweredRequests, {}))
    Open->drop();
}

Json StoreServer::counters() const {
  Json Answer(this->Counters);
  Answer["open_watches"] = this->Watches.size();
  Answer["highest_reads_per_second"] = this->Reads.HighestPerSecond;
  Answer["highest_writes_per_second"] = this->Writes.HighestPerSecond;
  Answer["revision"] = this->Model.revision();
  return Answer;
}

void StoreServer::serve(const ExchangePtr &Request) {
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
  absl::StatusOr<platform::StoreServiceCall> Served = platform::decodeCall(
      Request->method(), Request->path(), Request->query(), Request->body());
  if (!Served.ok()) {
    StoreReply ErrorReply;
    ErrorReply.Status = Served.status();
    return this->reply(Request, platform::encodeReply({}, ErrorReply));
  }
  ++this->Counters[std::string(kindOf(*Served))];
  (isWrite(*Served) ? this->Writes : this->Reads).recordCall();
  if (this->Latency == Duration(0))
    return this->execute(Request, *Served);
  this->Events.after(this->Latency,
                     [this, Request, Served = *std::move(Served)] {
                       this->execute(Request, Served);
                     });
}

void StoreServer::execute(const ExchangePtr &Request,
                          const platform::StoreServiceCall &Served) {
  if (this->Outage == "closed")
    return Request->drop();
  if (this->Outage == "silent")
    return this->UnansweredRequests.push_back(Request);
  if (consumeFault(this->CallsToReject)) {
    ++this->Counters["rejected"];
    StoreReply Rejected;
    Rejected.Status = absl::ResourceExhaustedError("too many calls");
    return this->reply(Request, platform::encodeReply(Served, Rejected));
  }
  if (const auto *Watched = std::get_if<platform::StoreServiceWatch>(&Served))
    return this->openWatch(Request, *Watched);
  platform::StoreHttpResponse Answer =
      executeCall(this->Model, Served, readClock());
  if (isWrite(Served) && consumeFault(this->AnswersToDrop)) {
    ++this->Counters["answers_lost"];
    return Request->drop();
  }
  this->reply(Request, Answer);
}

void StoreServer::reply(const ExchangePtr &Request,
                        const platform::StoreHttpResponse &Answer) {
  auto Send = [Request, Answer, Era = this->Era] {
    HeaderList Headers{{"Content-Type", "application/json"}};
    if (Era != 0)
      Headers.push_back({platform::names::StoreEra, std::to_string(Era)});
    Request->reply(Answer.Status, Answer.Body, Headers);
  };
  if (this->AnswerLatency == Duration(0))
    return Send();
  this->Events.after(this->AnswerLatency, Send);
}

void StoreServer::openWatch(const ExchangePtr &Request,
                            const platform::StoreServiceWatch &WatchCall) {
  StoreWatchUpdate Update;
  Update.Revision = this->Model.revision();
  std::optional<std::vector<StoredChange>> PastChanges =
      this->Model.changesFrom(WatchCall.Revision + 1, WatchCall.Prefix,
                              endOfPrefix(WatchCall.Prefix));
  if (!PastChanges || WatchCall.Revision > this->Model.revision())
    Update.Status = absl::OutOfRangeError("history is gone");
  else
    Update.Changes = toStoreChanges(*PastChanges);
  if (!Update.Status.ok() || !Update.Changes.empty())
    return this->reply(Request, platform::encodeWatchResponse(Update));
  std::uint64_t Id = ++this->LastWatchId;
  this->Watches.push_back({Id, Request, WatchCall.Prefix});
  Request->onClosed([this, Id] {
    std::erase_if(this->Watches,
                  [Id](const Watch &Each) { return Each.Id == Id; });
  });
  this->Events.after(WatchCall.Wait, [this, Id] {
    StoreWatchUpdate EmptyUpdate;
    EmptyUpdate.Revision = this->Model.revision();
    this->endWatch(Id, EmptyUpdate);
  });
}

void StoreServer::publish(const std::vector<StoredChange> &Changes) {
  std::vector<std::pair<std::uint64_t, StoreWatchUpdate>> WatchUpdates;
  for (const Watch &Open : this->Watches) {
    std::vector<StoredChange> Wanted;
    std::ranges::copy_if(Changes, std::back_inserter(Wanted),
                         [&](const StoredChange &Change) {
                           return Change.After.Key.starts_with(Open.Prefix);
                         });
    if (!Wanted.empty())
      WatchUpdates.push_back({Open.Id,
                              {.Changes = toStoreChanges(Wanted),
                               .Revision = this->Model.revision()}});
  }
  for (const auto &[Id, Update] : WatchUpdates)
    this->endWatch(Id, Update);
}

void StoreServer::endWatch(std::uint64_t Id, const StoreWatchUpdate &Update) {
  auto Found = std::ranges::find(this->Watches, Id, &Watch::Id);
  if (Found == this->Watches.end() || Found->Silenced)
    return;
  ExchangePtr Request = Found->Request;
  this->Watches.erase(Found);
  this->reply(Request, platform::encodeWatchResponse(Update));
}

} // namespace orioledoor::standins

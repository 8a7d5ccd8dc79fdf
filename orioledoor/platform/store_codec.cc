// JSON and paths of the store's calls.
#include "orioledoor/platform/store_codec.h"

#include <cctype>
#include <exception>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/platform/internal/store_json.h"

namespace orioledoor::platform {
namespace {

using internal::decodeItem;
using internal::encodeValue;
using internal::EndPrefix;
using internal::KeepPrefix;
using internal::KeyPath;
using internal::LeasePath;
using internal::RangePath;
using internal::TxnPath;
using internal::WatchPath;
using nlohmann::json;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int HistoryGone = 410;
constexpr int ConditionFailed = 412;
constexpr int TooMany = 429;
constexpr int Unavailable = 503;

std::string escaped(std::string_view Text) {
  constexpr char Digits[] = "0123456789ABCDEF";
  std::string Result;
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) ||
        std::string_view("-._~/").find(C) != std::string_view::npos) {
      Result += C;
      continue;
    }
    Result += '%';
    Result += Digits[Byte >> 4];
    Result += Digits[Byte & 15];
  }
  return Result;
}

struct CallEncoder {
  std::string_view After;

  StoreCall operator()(const StoreRange &Range) const {
    if (!Range.Prefix)
      return {"GET", std::string(KeyPath) + "?key=" + escaped(Range.Key), ""};
    std::string Target =
        std::string(RangePath) + "?pathPrefix=" + escaped(Range.Key);
    if (!this->After.empty())
      Target += "&after=" + escaped(this->After);
    if (Range.AllowStale)
      Target += "&allowStale=1";
    return {"GET", Target, ""};
  }
  StoreCall operator()(const StoreTxn &Txn) const {
    json Expected = json::array();
    for (const StoreCompare &Each : Txn.Compares)
      Expected.push_back({{"key", Each.Key}, {"revision", Each.ModRevision}});
    json Write = json::array();
    for (const StorePut &Each : Txn.Puts)
      Write.push_back({{"key", Each.Key},
                       {"value", encodeValue(Each.Value)},
                       {"lease", Each.Lease}});
    json Body = {
        {"expected", Expected}, {"write", Write}, {"remove", Txn.Deletes}};
    return {"POST", TxnPath, Body.dump()};
  }
  StoreCall operator()(const StoreLeaseGrant &Grant) const {
    json Body = {
        {"ttlMs", std::chrono::milliseconds(Grant.TimeToLive).count()}};
    return {"POST", LeasePath, Body.dump()};
  }
  StoreCall operator()(const StoreLeaseKeepAlive &Keep) const {
    return {"POST", KeepPrefix + std::to_string(Keep.Lease), ""};
  }
  StoreCall operator()(const StoreLeaseRevoke &Revoke) const {
    return {"DELETE", EndPrefix + std::to_string(Revoke.Lease), ""};
  }
};

// Fills in what an answer to the request says.
struct ReplyReader {
  int Status;
  std::string_view Body;
  StoreReply &Reply;
  bool *More;

  void operator()(const StoreRange &Range) const {
    if (this->Status == NotFound)
      return;
    json In = json::parse(this->Body);
    this->Reply.Revision = In.at("at");
    if (!Range.Prefix) {
      this->Reply.Entries.push_back(decodeItem(In));
      return;
    }
    for (const json &Item : In.at("items"))
      this->Reply.Entries.push_back(decodeItem(Item));
    if (this->More)
      *this->More = In.value("hasMore", false);
  }
  void operator()(const StoreTxn &) const {
    if (this->Status == NotFound)
      throw std::out_of_range("no such lease");
    json In = json::parse(this->Body);
    this->Reply.Succeeded = this->Status == Ok;
    if (this->Reply.Succeeded) {
      this->Reply.Revision = In.at("revision");
      return;
    }
    // Items that do not exist have no value.
    for (const json &Item : In.at("items"))
      if (Item.is_object() && Item.contains("value"))
        this->Reply.Entries.push_back(decodeItem(Item));
  }
  void operator()(const StoreLeaseGrant &) const {
    json In = json::parse(this->Body);
    this->Reply.Lease = In.at("lease");
    this->setTime(In);
  }
  void operator()(const StoreLeaseKeepAlive &Keep) const {
    this->Reply.Lease = Keep.Lease;
    if (this->Status == Ok)
      this->setTime(json::parse(this->Body));
  }
  void operator()(const StoreLeaseRevoke &) const {}

private:
  void setTime(const json &In) const {
    auto Millis = In.at("ttlMs").get<std::int64_t>();
    // Whole seconds, and at least one while the lease lives.
    this->Reply.TimeToLive = std::chrono::seconds((Millis + 999) / 1000);
  }
};

} // namespace

StoreCall encodeCall(const StoreRequestBody &Request, std::string_view After) {
  return std::visit(CallEncoder{After}, Request);
}

StoreReply decodeReply(const StoreRequest &Request, int Status,
                       std::string_view Body, std::string_view Peer,
                       bool *More) {
  StoreReply Reply{.Id = Request.Id};
  if (Status == Unavailable || Status == TooMany) {
    // Nothing was done in either case.
    Reply.Status = makeError(absl::StatusCode::kUnavailable, "call store", Peer,
                             "answered " + std::to_string(Status));
    return Reply;
  }
  if (Status != Ok && Status != NotFound && Status != ConditionFailed) {
    Reply.Status = makeError(absl::StatusCode::kInvalidArgument, "call store",
                             Peer, "answered " + std::to_string(Status));
    return Reply;
  }
  try {
    std::visit(ReplyReader{Status, Body, Reply, More}, Request.Body);
  } catch (const std::exception &Error) {
    absl::StatusCode Code = Status == NotFound ? absl::StatusCode::kNotFound
                                               : absl::StatusCode::kUnknown;
    Reply.Status = makeError(Code, "read answer of store", Peer, Error.what());
  }
  return Reply;
}

std::string encodeWatch(std::string_view Prefix, std::int64_t Revision,
                        std::chrono::milliseconds WaitTime) {
  return std::string(WatchPath) + "?pathPrefix=" + escaped(Prefix) +
         "&after=" + std::to_string(Revision) +
         "&waitMs=" + std::to_string(WaitTime.count());
}

StoreWatchUpdate decodeWatch(int Status, std::string_view Body,
                             std::string_view Peer) {
  StoreWatchUpdate Update;
  if (Status != Ok) {
    Update.Status =
        makeError(Status == HistoryGone ? absl::StatusCode::kOutOfRange
                                        : absl::StatusCode::kUnavailable,
                  "watch store", Peer, "answered " + std::to_string(Status));
    return Update;
  }
  try {
    json In = json::parse(Body);
    Update.Revision = In.at("at");
    for (const json &Event : In.at("events")) {
      if (Event.contains("tombstone"))
        Update.Changes.push_back(
            {.Entry = {.Key = Event.at("key"),
                       .ModRevision = Event.at("revision")},
             .Deleted = true});
      else
        Update.Changes.push_back({.Entry = decodeItem(Event)});
    }
  } catch (const std::exception &Error) {
    Update.Changes.clear();
    Update.Status = makeError(absl::StatusCode::kUnavailable,
                              "read watch of store", Peer, Error.what());
  }
  return Update;
}

} // namespace orioledoor::platform

// Implements the JSON encoding and the paths of the calls to the store.
#include "orioledoor/platform/store_codec.h"

#include <cctype>
#include <charconv>
#include <exception>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/platform/internal/store_json.h"
#include "orioledoor/platform/names.h"
#include "orioledoor/wire/internal/http_headers.h"

namespace orioledoor::platform {
namespace {

using internal::decodeItem;
using internal::encodeValue;
using internal::KeyPath;
using internal::LeaseKeepAlivePrefix;
using internal::LeasePath;
using internal::LeaseRevokePrefix;
using internal::RangePath;
using internal::TxnPath;
using internal::WatchPath;
using nlohmann::json;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int HistoryCompacted = 410;
constexpr int ConditionFailed = 412;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

std::string percentEncode(std::string_view Text) {
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

  StoreHttpRequest operator()(const StoreRange &Range) const {
    if (!Range.Prefix)
      return {"GET", std::string(KeyPath) + "?key=" + percentEncode(Range.Key),
              ""};
    std::string Target =
        std::string(RangePath) + "?pathPrefix=" + percentEncode(Range.Key);
    if (!this->After.empty())
      Target += "&after=" + percentEncode(this->After);
    if (Range.AllowStale)
      Target += "&allowStale=1";
    return {"GET", Target, ""};
  }
  StoreHttpRequest operator()(const StoreTxn &Txn) const {
    json Expected = json::array();
    for (const StoreCompare &Entry : Txn.Compares)
      Expected.push_back({{"key", Entry.Key}, {"revision", Entry.ModRevision}});
    json Write = json::array();
    for (const StorePut &Entry : Txn.Puts)
      Write.push_back({{"key", Entry.Key},
                       {"value", encodeValue(Entry.Value)},
                       {"lease", Entry.Lease}});
    json Body = {
        {"expected", Expected}, {"write", Write}, {"remove", Txn.Deletes}};
    return {"POST", TxnPath, Body.dump()};
  }
  StoreHttpRequest operator()(const StoreLeaseGrant &Grant) const {
    json Body = {
        {"ttlMs", std::chrono::milliseconds(Grant.TimeToLive).count()}};
    return {"POST", LeasePath, Body.dump()};
  }
  StoreHttpRequest operator()(const StoreLeaseKeepAlive &Keep) const {
    return {"POST", LeaseKeepAlivePrefix + std::to_string(Keep.Lease), ""};
  }
  StoreHttpRequest operator()(const StoreLeaseRevoke &Revoke) const {
    return {"DELETE", LeaseRevokePrefix + std::to_string(Revoke.Lease), ""};
  }
};

// Sets the fields of a reply from the response to the request.
struct ReplyDecoder {
  int Status;
  std::string_view Body;
  StoreReply &Reply;
  bool *More;

  void operator()(const StoreRange &Range) const {
    if (this->Status == NotFound) {
      json Missing = json::parse(this->Body, nullptr, false);
      if (Missing.is_object())
        this->Reply.Revision = Missing.value("at", std::int64_t{0});
      return;
    }
    json Object = json::parse(this->Body);
    this->Reply.Revision = Object.at("at");
    if (!Range.Prefix) {
      this->Reply.Entries.push_back(decodeItem(Object));
      return;
    }
    for (const json &Item : Object.at("items"))
      this->Reply.Entries.push_back(decodeItem(Item));
    if (this->More)
      *this->More = Object.value("hasMore", false);
  }
  void operator()(const StoreTxn &) const {
    if (this->Status == NotFound)
      throw std::out_of_range("no such lease");
    json Object = json::parse(this->Body);
    this->Reply.Succeeded = this->Status == Ok;
    if (this->Reply.Succeeded) {
      this->Reply.Revision = Object.at("revision");
      return;
    }
    // Items of keys that do not exist have no value.
    for (const json &Item : Object.at("items"))
      if (Item.is_object() && Item.contains("value"))
        this->Reply.Entries.push_back(decodeItem(Item));
  }
  void operator()(const StoreLeaseGrant &) const {
    json Object = json::parse(this->Body);
    this->Reply.Lease = Object.at("lease");
    this->setTimeToLive(Object);
  }
  void operator()(const StoreLeaseKeepAlive &Keep) const {
    this->Reply.Lease = Keep.Lease;
    if (this->Status == Ok)
      this->setTimeToLive(json::parse(this->Body));
  }
  void operator()(const StoreLeaseRevoke &) const {}

private:
  void setTimeToLive(const json &Object) const {
    auto TimeToLiveMs = Object.at("ttlMs").get<std::int64_t>();
    // Rounds up to whole seconds, so that the value is at least one while the
    // lease is alive.
    this->Reply.TimeToLive = std::chrono::seconds((TimeToLiveMs + 999) / 1000);
  }
};

} // namespace

StoreHttpRequest encodeCall(const StoreRequestBody &Request,
                            std::string_view After) {
  return std::visit(CallEncoder{After}, Request);
}

StoreReply decodeReply(const StoreRequest &Request, int Status,
                       std::string_view Body, std::string_view Peer,
                       bool *More) {
  StoreReply Reply{.Id = Request.Id};
  if (Status == ServiceUnavailable || Status == TooManyRequests) {
    // The store executed nothing in either case.
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
    std::visit(ReplyDecoder{Status, Body, Reply, More}, Request.Body);
  } catch (const std::exception &Error) {
    absl::StatusCode Code = Status == NotFound ? absl::StatusCode::kNotFound
                                               : absl::StatusCode::kUnknown;
    Reply.Status = makeError(Code, "read answer of store", Peer, Error.what());
  }
  return Reply;
}

std::int64_t decodeEra(const std::vector<requests::Header> &Headers) {
  const requests::Header *Found =
      wire::internal::findHeader(Headers, names::StoreEra);
  if (!Found)
    return 0;
  std::int64_t Era = -1;
  const char *End = Found->Value.data() + Found->Value.size();
  auto [Rest, Error] = std::from_chars(Found->Value.data(), End, Era);
  return Error == std::errc() && Rest == End && Era >= 0 ? Era : -1;
}

std::string encodeWatch(std::string_view Prefix, std::int64_t Revision,
                        std::chrono::milliseconds WaitTime) {
  return std::string(WatchPath) + "?pathPrefix=" + percentEncode(Prefix) +
         "&after=" + std::to_string(Revision) +
         "&waitMs=" + std::to_string(WaitTime.count());
}

StoreWatchUpdate decodeWatch(int Status, std::string_view Body,
                             std::string_view Peer) {
  StoreWatchUpdate Update;
  if (Status != Ok) {
    Update.Status =
        makeError(Status == HistoryCompacted ? absl::StatusCode::kOutOfRange
                                             : absl::StatusCode::kUnavailable,
                  "watch store", Peer, "answered " + std::to_string(Status));
    return Update;
  }
  try {
    json Object = json::parse(Body);
    Update.Revision = Object.at("at");
    for (const json &Event : Object.at("events")) {
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

// Implements the parsing of calls and the encoding of responses in the JSON of
// the store.
#include "orioledoor/platform/store_service_codec.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "orioledoor/base/error.h"
#include "orioledoor/platform/internal/store_json.h"

namespace orioledoor::platform {
namespace {

using internal::decodeValue;
using internal::encodeItem;
using internal::KeyPath;
using internal::LeaseKeepAlivePrefix;
using internal::LeasePath;
using internal::LeaseRevokePrefix;
using internal::RangePath;
using internal::TxnPath;
using internal::WatchPath;
using nlohmann::json;

constexpr char Step[] = "read call to store";

using Arguments = std::map<std::string, std::string, std::less<>>;

std::string percentDecode(std::string_view Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%' || Index + 2 >= Text.size()) {
      Result += Text[Index];
      continue;
    }
    Result += absl::HexStringToBytes(toAbsl(Text.substr(Index + 1, 2)));
    Index += 2;
  }
  return Result;
}

Arguments parseQuery(std::string_view Query) {
  Arguments Result;
  for (absl::string_view Part :
       absl::StrSplit(toAbsl(Query), '&', absl::SkipEmpty())) {
    std::pair<std::string, std::string> NameAndValue =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    Result[NameAndValue.first] = percentDecode(NameAndValue.second);
  }
  return Result;
}

std::int64_t parseInteger(std::string_view Text) {
  std::int64_t Value = 0;
  if (!absl::SimpleAtoi(toAbsl(Text), &Value))
    throw std::invalid_argument("not a whole number");
  return Value;
}

StoreTxn readTxn(std::string_view Body) {
  json Object = json::parse(Body);
  StoreTxn Txn;
  const json EmptyList = json::array();
  for (const json &Row : Object.value("expected", EmptyList))
    Txn.Compares.push_back(
        {.Key = Row.at("key"), .ModRevision = Row.at("revision")});
  for (const json &Row : Object.value("write", EmptyList))
    Txn.Puts.push_back({.Key = Row.at("key"),
                        .Value = decodeValue(Row.at("value")),
                        .Lease = Row.value("lease", std::int64_t{0})});
  for (const json &Key : Object.value("remove", EmptyList))
    Txn.Deletes.push_back(Key);
  if (Txn.Compares.size() + Txn.Puts.size() + Txn.Deletes.size() >
      MaxTxnEntries)
    throw std::invalid_argument("too many entries");
  return Txn;
}

StoreServiceCall readGet(std::string_view Path, const Arguments &Query) {
  if (Path == KeyPath)
    return StoreServiceRange{.Range = {.Key = Query.at("key")}};
  if (Path == WatchPath)
    return StoreServiceWatch{
        .Prefix = Query.at("pathPrefix"),
        .Revision = parseInteger(Query.at("after")),
        .Wait = std::chrono::milliseconds(parseInteger(Query.at("waitMs")))};
  StoreServiceRange Range{
      .Range = {.Key = Query.at("pathPrefix"), .Prefix = true}};
  if (auto After = Query.find("after"); After != Query.end())
    Range.After = After->second;
  Range.Range.AllowStale = Query.contains("allowStale");
  return Range;
}

StoreServiceCall readCall(std::string_view Path, const Arguments &Query,
                          std::string_view Body) {
  if (Path == TxnPath)
    return readTxn(Body);
  if (Path == LeasePath)
    return StoreLeaseGrant{std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::milliseconds(
            json::parse(Body).at("ttlMs").get<std::int64_t>()))};
  if (Path.starts_with(LeaseKeepAlivePrefix))
    return StoreLeaseKeepAlive{parseInteger(
        Path.substr(std::string_view(LeaseKeepAlivePrefix).size()))};
  if (Path.starts_with(LeaseRevokePrefix))
    return StoreLeaseRevoke{
        parseInteger(Path.substr(std::string_view(LeaseRevokePrefix).size()))};
  return readGet(Path, Query);
}

bool isKnownCall(std::string_view Method, std::string_view Path) {
  if (Method == "GET")
    return Path == KeyPath || Path == RangePath || Path == WatchPath;
  if (Method == "POST")
    return Path == TxnPath || Path == LeasePath ||
           Path.starts_with(LeaseKeepAlivePrefix);
  return Method == "DELETE" && Path.starts_with(LeaseRevokePrefix);
}

json encodeItems(const std::vector<StoreEntry> &Entries) {
  json Items = json::array();
  std::ranges::transform(Entries, std::back_inserter(Items), encodeItem);
  return Items;
}

// Encodes the response to a call that the store executed.
struct ResponseEncoder {
  const StoreReply &Reply;
  bool More;

  StoreHttpResponse operator()(const StoreServiceRange &Call) const {
    if (Call.Range.Prefix)
      return {200, json{{"items", encodeItems(this->Reply.Entries)},
                        {"hasMore", this->More},
                        {"at", this->Reply.Revision}}
                       .dump()};
    if (this->Reply.Entries.empty())
      return {404, json{{"at", this->Reply.Revision}}.dump()};
    json Item = encodeItem(this->Reply.Entries.front());
    Item["at"] = this->Reply.Revision;
    return {200, Item.dump()};
  }
  StoreHttpResponse operator()(const StoreTxn &) const {
    if (this->Reply.Succeeded)
      return {200, json{{"revision", this->Reply.Revision}}.dump()};
    return {412, json{{"items", encodeItems(this->Reply.Entries)}}.dump()};
  }
  StoreHttpResponse operator()(const StoreLeaseGrant &) const {
    return leaseResponse();
  }
  StoreHttpResponse operator()(const StoreLeaseKeepAlive &) const {
    return leaseResponse();
  }
  StoreHttpResponse operator()(const StoreLeaseRevoke &) const {
    return {200, "{}"};
  }
  StoreHttpResponse operator()(const StoreServiceWatch &) const {
    return {200, "{}"};
  }

private:
  StoreHttpResponse leaseResponse() const {
    if (this->Reply.TimeToLive.count() == 0)
      return {404, "{}"};
    return {200,
            json{{"lease", this->Reply.Lease},
                 {"ttlMs",
                  std::chrono::milliseconds(this->Reply.TimeToLive).count()}}
                .dump()};
  }
};

int httpStatus(absl::StatusCode Code) {
  switch (Code) {
  case absl::StatusCode::kNotFound:
    return 404;
  case absl::StatusCode::kOutOfRange:
    return 410;
  case absl::StatusCode::kPermissionDenied:
    return 403;
  case absl::StatusCode::kResourceExhausted:
    return 429;
  case absl::StatusCode::kInvalidArgument:
    return 400;
  default:
    return 503;
  }
}

StoreHttpResponse errorResponse(const absl::Status &Status) {
  return {httpStatus(Status.code()),
          json{{"error", std::string(Status.message())}}.dump()};
}

} // namespace

absl::StatusOr<StoreServiceCall> decodeCall(std::string_view Method,
                                            std::string_view Path,
                                            std::string_view Query,
                                            std::string_view Body) {
  if (!isKnownCall(Method, Path))
    return makeError(absl::StatusCode::kNotFound, Step, "caller",
                     "no such call");
  try {
    return readCall(Path, parseQuery(Query), Body);
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, Step, "caller",
                     Error.what());
  }
}

StoreHttpResponse encodeReply(const StoreServiceCall &Call,
                              const StoreReply &Reply, bool More) {
  if (!Reply.Status.ok())
    return errorResponse(Reply.Status);
  return std::visit(ResponseEncoder{Reply, More}, Call);
}

StoreHttpResponse encodeWatchResponse(const StoreWatchUpdate &Update) {
  if (!Update.Status.ok())
    return errorResponse(Update.Status);
  json Events = json::array();
  for (const StoreChange &Change : Update.Changes)
    Events.push_back(Change.Deleted
                         ? json{{"key", Change.Entry.Key},
                                {"revision", Change.Entry.ModRevision},
                                {"tombstone", true}}
                         : encodeItem(Change.Entry));
  return {200, json{{"events", Events}, {"at", Update.Revision}}.dump()};
}

} // namespace orioledoor::platform

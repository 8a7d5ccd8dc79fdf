// Reads calls and writes answers in the store's JSON.
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
using internal::EndPrefix;
using internal::KeepPrefix;
using internal::KeyPath;
using internal::LeasePath;
using internal::RangePath;
using internal::TxnPath;
using internal::WatchPath;
using nlohmann::json;

constexpr char Step[] = "read call to store";

using Arguments = std::map<std::string, std::string, std::less<>>;

std::string unescaped(std::string_view Text) {
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%' || At + 2 >= Text.size()) {
      Result += Text[At];
      continue;
    }
    Result += absl::HexStringToBytes(toAbsl(Text.substr(At + 1, 2)));
    At += 2;
  }
  return Result;
}

Arguments argumentsOf(std::string_view Query) {
  Arguments Found;
  for (absl::string_view Part :
       absl::StrSplit(toAbsl(Query), '&', absl::SkipEmpty())) {
    std::pair<std::string, std::string> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    Found[Pair.first] = unescaped(Pair.second);
  }
  return Found;
}

std::int64_t numberOf(std::string_view Text) {
  std::int64_t Value = 0;
  if (!absl::SimpleAtoi(toAbsl(Text), &Value))
    throw std::invalid_argument("not a whole number");
  return Value;
}

StoreTxn readTxn(std::string_view Body) {
  json In = json::parse(Body);
  StoreTxn Txn;
  const json None = json::array();
  for (const json &Row : In.value("expected", None))
    Txn.Compares.push_back(
        {.Key = Row.at("key"), .ModRevision = Row.at("revision")});
  for (const json &Row : In.value("write", None))
    Txn.Puts.push_back({.Key = Row.at("key"),
                        .Value = decodeValue(Row.at("value")),
                        .Lease = Row.value("lease", std::int64_t{0})});
  for (const json &Key : In.value("remove", None))
    Txn.Deletes.push_back(Key);
  if (Txn.Compares.size() + Txn.Puts.size() + Txn.Deletes.size() >
      MaxTxnEntries)
    throw std::invalid_argument("too many entries");
  return Txn;
}

ServedCall readGet(std::string_view Path, const Arguments &Given) {
  if (Path == KeyPath)
    return ServedRange{.Range = {.Key = Given.at("key")}};
  if (Path == WatchPath)
    return ServedWatch{
        .Prefix = Given.at("pathPrefix"),
        .Revision = numberOf(Given.at("after")),
        .Wait = std::chrono::milliseconds(numberOf(Given.at("waitMs")))};
  ServedRange Range{.Range = {.Key = Given.at("pathPrefix"), .Prefix = true}};
  if (auto After = Given.find("after"); After != Given.end())
    Range.After = After->second;
  Range.Range.AllowStale = Given.contains("allowStale");
  return Range;
}

ServedCall readCall(std::string_view Path, const Arguments &Given,
                    std::string_view Body) {
  if (Path == TxnPath)
    return readTxn(Body);
  if (Path == LeasePath)
    return StoreLeaseGrant{std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::milliseconds(
            json::parse(Body).at("ttlMs").get<std::int64_t>()))};
  if (Path.starts_with(KeepPrefix))
    return StoreLeaseKeepAlive{
        numberOf(Path.substr(std::string_view(KeepPrefix).size()))};
  if (Path.starts_with(EndPrefix))
    return StoreLeaseRevoke{
        numberOf(Path.substr(std::string_view(EndPrefix).size()))};
  return readGet(Path, Given);
}

bool isCall(std::string_view Method, std::string_view Path) {
  if (Method == "GET")
    return Path == KeyPath || Path == RangePath || Path == WatchPath;
  if (Method == "POST")
    return Path == TxnPath || Path == LeasePath || Path.starts_with(KeepPrefix);
  return Method == "DELETE" && Path.starts_with(EndPrefix);
}

json itemsOf(const std::vector<StoreEntry> &Entries) {
  json Items = json::array();
  std::ranges::transform(Entries, std::back_inserter(Items), encodeItem);
  return Items;
}

// Writes the answer to a call that the store carried out.
struct AnswerWriter {
  const StoreReply &Reply;
  bool More;

  StoreAnswer operator()(const ServedRange &Call) const {
    if (Call.Range.Prefix)
      return {200, json{{"items", itemsOf(this->Reply.Entries)},
                        {"hasMore", this->More},
                        {"at", this->Reply.Revision}}
                       .dump()};
    if (this->Reply.Entries.empty())
      return {404, json{{"at", this->Reply.Revision}}.dump()};
    json Item = encodeItem(this->Reply.Entries.front());
    Item["at"] = this->Reply.Revision;
    return {200, Item.dump()};
  }
  StoreAnswer operator()(const StoreTxn &) const {
    if (this->Reply.Succeeded)
      return {200, json{{"revision", this->Reply.Revision}}.dump()};
    return {412, json{{"items", itemsOf(this->Reply.Entries)}}.dump()};
  }
  StoreAnswer operator()(const StoreLeaseGrant &) const { return lease(); }
  StoreAnswer operator()(const StoreLeaseKeepAlive &) const { return lease(); }
  StoreAnswer operator()(const StoreLeaseRevoke &) const { return {200, "{}"}; }
  StoreAnswer operator()(const ServedWatch &) const { return {200, "{}"}; }

private:
  StoreAnswer lease() const {
    if (this->Reply.TimeToLive.count() == 0)
      return {404, "{}"};
    return {200,
            json{{"lease", this->Reply.Lease},
                 {"ttlMs",
                  std::chrono::milliseconds(this->Reply.TimeToLive).count()}}
                .dump()};
  }
};

int statusOf(absl::StatusCode Code) {
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

StoreAnswer errorAnswer(const absl::Status &Status) {
  return {statusOf(Status.code()),
          json{{"error", std::string(Status.message())}}.dump()};
}

} // namespace

absl::StatusOr<ServedCall> decodeCall(std::string_view Method,
                                      std::string_view Path,
                                      std::string_view Query,
                                      std::string_view Body) {
  if (!isCall(Method, Path))
    return makeError(absl::StatusCode::kNotFound, Step, "caller",
                     "no such call");
  try {
    return readCall(Path, argumentsOf(Query), Body);
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, Step, "caller",
                     Error.what());
  }
}

StoreAnswer encodeReply(const ServedCall &Call, const StoreReply &Reply,
                        bool More) {
  if (!Reply.Status.ok())
    return errorAnswer(Reply.Status);
  return std::visit(AnswerWriter{Reply, More}, Call);
}

StoreAnswer encodeWatchAnswer(const StoreWatchUpdate &Update) {
  if (!Update.Status.ok())
    return errorAnswer(Update.Status);
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

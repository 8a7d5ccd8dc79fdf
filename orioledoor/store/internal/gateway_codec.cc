// JSON of the etcd v3 gateway (etcd.io, "gRPC gateway").
#include "orioledoor/store/internal/gateway_codec.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "orioledoor/base/error.h"

namespace orioledoor::internal {
namespace {

using Json = nlohmann::json;

std::string encoded(std::string_view Bytes) {
  return absl::Base64Escape(toAbsl(Bytes));
}

std::string decoded(const Json &Object, const char *Field) {
  std::string Bytes;
  auto At = Object.find(Field);
  if (At != Object.end())
    absl::Base64Unescape(At->get_ref<const std::string &>(), &Bytes);
  return Bytes;
}

// The gateway writes 64-bit integers as strings and omits zeros.
std::int64_t integer(const Json &Object, const char *Field) {
  auto At = Object.find(Field);
  if (At == Object.end())
    return 0;
  if (At->is_number())
    return At->get<std::int64_t>();
  const auto &Text = At->get_ref<const std::string &>();
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

// The end of the range of all keys that start with Prefix. Prefixes end in a
// byte other than 0xff, so the last byte can be incremented.
std::string rangeEnd(std::string_view Prefix) {
  std::string End(Prefix);
  if (End.empty())
    return std::string(1, '\0');
  End.back() = static_cast<char>(End.back() + 1);
  return End;
}

Json rangeOf(const StoreRange &Range) {
  Json Object{{"key", encoded(Range.Key)}};
  if (Range.Prefix)
    Object["range_end"] = encoded(rangeEnd(Range.Key));
  if (Range.Limit > 0)
    Object["limit"] = std::to_string(Range.Limit);
  if (Range.Descending) {
    Object["sort_order"] = "DESCEND";
    Object["sort_target"] = "KEY";
  }
  return Object;
}

Json txnOf(const StoreTxn &Txn) {
  Json Compares = Json::array();
  Json Reads = Json::array();
  for (const StoreCompare &Compare : Txn.Compares) {
    Compares.push_back({{"key", encoded(Compare.Key)},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(Compare.ModRevision)}});
    Reads.push_back(
        {{"request_range", rangeOf(StoreRange{.Key = Compare.Key})}});
  }
  Json Writes = Json::array();
  for (const StorePut &Put : Txn.Puts) {
    Json Body{{"key", encoded(Put.Key)}, {"value", encoded(Put.Value)}};
    if (Put.Lease != 0)
      Body["lease"] = std::to_string(Put.Lease);
    Writes.push_back({{"request_put", std::move(Body)}});
  }
  for (const std::string &Key : Txn.Deletes)
    Writes.push_back({{"request_delete_range", {{"key", encoded(Key)}}}});
  return {{"compare", std::move(Compares)},
          {"success", std::move(Writes)},
          {"failure", std::move(Reads)}};
}

struct PathOf {
  std::string_view operator()(const StoreRange &) { return "/v3/kv/range"; }
  std::string_view operator()(const StoreTxn &) { return "/v3/kv/txn"; }
  std::string_view operator()(const StoreLeaseGrant &) {
    return "/v3/lease/grant";
  }
  std::string_view operator()(const StoreLeaseKeepAlive &) {
    return "/v3/lease/keepalive";
  }
  std::string_view operator()(const StoreLeaseRevoke &) {
    return "/v3/lease/revoke";
  }
};

struct JsonOf {
  Json operator()(const StoreRange &Range) { return rangeOf(Range); }
  Json operator()(const StoreTxn &Txn) { return txnOf(Txn); }
  Json operator()(const StoreLeaseGrant &Grant) {
    return {{"TTL", std::to_string(Grant.TimeToLive.count())}};
  }
  Json operator()(const StoreLeaseKeepAlive &KeepAlive) {
    return {{"ID", std::to_string(KeepAlive.Lease)}};
  }
  Json operator()(const StoreLeaseRevoke &Revoke) {
    return {{"ID", std::to_string(Revoke.Lease)}};
  }
};

StoreEntry entryOf(const Json &Object) {
  return {decoded(Object, "key"), decoded(Object, "value"),
          integer(Object, "mod_revision")};
}

void addEntries(const Json &Range, std::vector<StoreEntry> &Entries) {
  if (auto At = Range.find("kvs"); At != Range.end())
    std::ranges::transform(*At, std::back_inserter(Entries), entryOf);
}

// Fills Reply from the answer to the request it belongs to.
struct ReadAnswer {
  const Json &Answer;
  StoreReply &Reply;

  void operator()(const StoreRange &) {
    addEntries(this->Answer, this->Reply.Entries);
  }
  void operator()(const StoreTxn &) {
    this->Reply.Succeeded = this->Answer.value("succeeded", false);
    if (this->Reply.Succeeded || !this->Answer.contains("responses"))
      return;
    for (const Json &Response : this->Answer.at("responses"))
      if (auto At = Response.find("response_range"); At != Response.end())
        addEntries(*At, this->Reply.Entries);
  }
  void operator()(const StoreLeaseGrant &) { this->readLease(); }
  void operator()(const StoreLeaseKeepAlive &) { this->readLease(); }
  void operator()(const StoreLeaseRevoke &Revoke) {
    this->Reply.Lease = Revoke.Lease;
  }
  void readLease() {
    this->Reply.Lease = integer(this->Answer, "ID");
    this->Reply.TimeToLive = std::chrono::seconds(integer(this->Answer, "TTL"));
  }
};

bool isRead(const StoreRequest &Request) {
  return std::holds_alternative<StoreRange>(Request.Body);
}

// The status for a call that failed without an answer of the store.
absl::Status transportError(const StoreRequest &Request, Transport Outcome,
                            std::string_view Peer) {
  std::string_view Step = gatewayPath(Request.Body);
  switch (Outcome) {
  case Transport::NotSent:
    return makeError(absl::StatusCode::kUnavailable, Step, Peer,
                     "no connection could be established");
  case Transport::TimedOut:
    return makeError(absl::StatusCode::kDeadlineExceeded, Step, Peer,
                     "no answer in time");
  default:
    return makeError(isRead(Request) ? absl::StatusCode::kUnavailable
                                     : absl::StatusCode::kUnknown,
                     Step, Peer, "the connection failed before the answer");
  }
}

// The code for an error that the store answered. Only errors by which the
// store shows that it refused the request count as "not applied". The store
// also answers Unavailable when it stopped waiting for its own agreement.
absl::StatusCode codeOf(const StoreRequest &Request, int GrpcCode,
                        std::string_view Message) {
  auto Code = static_cast<absl::StatusCode>(GrpcCode);
  switch (Code) {
  case absl::StatusCode::kInvalidArgument:
  case absl::StatusCode::kNotFound:
  case absl::StatusCode::kAlreadyExists:
  case absl::StatusCode::kPermissionDenied:
  case absl::StatusCode::kFailedPrecondition:
  case absl::StatusCode::kOutOfRange:
  case absl::StatusCode::kUnimplemented:
  case absl::StatusCode::kUnauthenticated:
    return Code;
  case absl::StatusCode::kResourceExhausted:
    return absl::StatusCode::kUnavailable;
  default:
    break;
  }
  if (isRead(Request) || absl::StrContains(toAbsl(Message), "no leader"))
    return absl::StatusCode::kUnavailable;
  return absl::StatusCode::kUnknown;
}

absl::Status answeredError(const StoreRequest &Request,
                           const HttpResult &Result, std::string_view Peer) {
  Json Answer = Json::parse(Result.Body, nullptr, false);
  std::string Message = absl::StrCat("HTTP status ", Result.Code);
  // 429 comes from a limit in front of the store, which answers without a
  // code of its own.
  int GrpcCode =
      static_cast<int>(Result.Code == 429 ? absl::StatusCode::kResourceExhausted
                                          : absl::StatusCode::kUnknown);
  if (Answer.is_object()) {
    if (auto Code = Answer.find("code");
        Code != Answer.end() && Code->is_number_integer())
      GrpcCode = Code->get<int>();
    if (auto Text = Answer.find("message");
        Text != Answer.end() && Text->is_string())
      Message = absl::StrCat(Message, ", ", Text->get<std::string>());
  }
  return makeError(codeOf(Request, GrpcCode, Message),
                   gatewayPath(Request.Body), Peer, Message);
}

} // namespace

std::string_view gatewayPath(const StoreRequestBody &Body) {
  return std::visit(PathOf{}, Body);
}

std::string encodeRequest(const StoreRequestBody &Body) {
  return std::visit(JsonOf{}, Body).dump();
}

StoreReply decodeReply(const StoreRequest &Request, const HttpResult &Result,
                       std::string_view Peer) {
  StoreReply Reply{.Id = Request.Id};
  if (Result.Outcome != Transport::Answered) {
    Reply.Status = transportError(Request, Result.Outcome, Peer);
    return Reply;
  }
  if (Result.Code != 200) {
    Reply.Status = answeredError(Request, Result, Peer);
    return Reply;
  }
  try {
    Json Answer = Json::parse(Result.Body);
    // The answer to a keep-alive is a stream of one message.
    if (Answer.contains("result"))
      Answer = Json(Answer.at("result"));
    Reply.Revision = integer(Answer.at("header"), "revision");
    std::visit(ReadAnswer{Answer, Reply}, Request.Body);
  } catch (const Json::exception &Error) {
    Reply = {.Id = Request.Id};
    Reply.Status = makeError(
        isRead(Request) ? absl::StatusCode::kUnavailable
                        : absl::StatusCode::kUnknown,
        gatewayPath(Request.Body), Peer,
        absl::StrCat("the answer is not of the gateway: ", Error.what()));
  }
  return Reply;
}

std::string encodeWatch(std::string_view Prefix, std::int64_t FromRevision) {
  Json Create{{"key", encoded(Prefix)},
              {"range_end", encoded(rangeEnd(Prefix))},
              {"progress_notify", true}};
  if (FromRevision > 0)
    Create["start_revision"] = std::to_string(FromRevision);
  return Json{{"create_request", std::move(Create)}}.dump();
}

absl::StatusOr<WatchMessage> decodeWatchMessage(std::string_view Line,
                                                std::string_view Peer) {
  try {
    Json Document = Json::parse(Line);
    if (Document.contains("error"))
      return makeError(absl::StatusCode::kUnavailable, "/v3/watch", Peer,
                       Document.at("error").dump());
    const Json &Result = Document.at("result");
    WatchMessage Message;
    Message.Revision = integer(Result.at("header"), "revision");
    Message.Created = Result.value("created", false);
    Message.Canceled = Result.value("canceled", false);
    Message.CancelReason = Result.value("cancel_reason", "");
    Message.CompactRevision = integer(Result, "compact_revision");
    if (auto Events = Result.find("events"); Events != Result.end())
      for (const Json &Event : *Events)
        Message.Changes.push_back(
            {entryOf(Event.at("kv")), Event.value("type", "PUT") == "DELETE"});
    return Message;
  } catch (const Json::exception &Error) {
    return makeError(
        absl::StatusCode::kUnavailable, "/v3/watch", Peer,
        absl::StrCat("the answer is not of the gateway: ", Error.what()));
  }
}

std::string encodePrefixState(std::string_view Prefix) {
  return Json{{"key", encoded(Prefix)},
              {"range_end", encoded(rangeEnd(Prefix))},
              {"limit", "1"},
              {"keys_only", true},
              {"sort_order", "DESCEND"},
              {"sort_target", "MOD"}}
      .dump();
}

absl::StatusOr<PrefixState> decodePrefixState(const HttpResult &Result) {
  if (Result.Outcome != Transport::Answered || Result.Code != 200)
    return absl::UnavailableError("the state of the prefix was not answered");
  try {
    Json Answer = Json::parse(Result.Body);
    std::vector<StoreEntry> Entries;
    addEntries(Answer, Entries);
    return PrefixState{Entries.empty() ? 0 : Entries.front().ModRevision,
                       integer(Answer, "count")};
  } catch (const Json::exception &Error) {
    return absl::UnavailableError(Error.what());
  }
}

} // namespace orioledoor::internal

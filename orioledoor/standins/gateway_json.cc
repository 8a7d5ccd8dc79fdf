// Range, transaction and lease calls in JSON. 64-bit integers are strings and
// zero fields are omitted, as the gateway writes them.
#include "orioledoor/standins/gateway_json.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "orioledoor/base/error.h"

namespace orioledoor::standins {
namespace {

using Json = nlohmann::json;

constexpr int GrpcInvalidArgument = 3;
constexpr int GrpcNotFound = 5;
constexpr char NoLease[] = "etcdserver: requested lease not found";

constexpr std::array<std::pair<std::string_view, std::string_view>, 8> Kinds{{
    {"/v3/kv/range", "range"},
    {"/v3/kv/put", "put"},
    {"/v3/kv/deleterange", "deleterange"},
    {"/v3/kv/txn", "txn"},
    {"/v3/lease/grant", "lease_grant"},
    {"/v3/lease/keepalive", "lease_keepalive"},
    {"/v3/lease/revoke", "lease_revoke"},
    {"/v3/watch", "watch"},
}};

Json headerOf(std::int64_t Revision) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(Revision)},
          {"raft_term", "2"}};
}

void setInteger(Json &Object, const char *Field, std::int64_t Value) {
  if (Value != 0)
    Object[Field] = std::to_string(Value);
}

Json keyValueOf(const StoredKey &Entry, bool WithValue) {
  Json Object{{"key", absl::Base64Escape(Entry.Key)}};
  setInteger(Object, "create_revision", Entry.CreateRevision);
  setInteger(Object, "mod_revision", Entry.ModRevision);
  setInteger(Object, "version", Entry.Version);
  setInteger(Object, "lease", Entry.Lease);
  if (WithValue && !Entry.Value.empty())
    Object["value"] = absl::Base64Escape(Entry.Value);
  return Object;
}

Json readRange(const StoreModel &Model, const Json &Body) {
  auto Found = Model.range(bytesOf(Body, "key"), bytesOf(Body, "range_end"));
  std::int64_t Count = std::ssize(Found);
  if (Body.value("sort_target", "KEY") == "MOD")
    std::ranges::sort(Found, {}, &StoredKey::ModRevision);
  if (Body.value("sort_order", "NONE") == "DESCEND")
    std::ranges::reverse(Found);
  if (std::int64_t Limit = integerOf(Body, "limit"); Limit > 0 && Limit < Count)
    Found.resize(static_cast<std::size_t>(Limit));
  Json Answer{{"header", headerOf(Model.revision())}};
  setInteger(Answer, "count", Count);
  if (std::ssize(Found) < Count)
    Answer["more"] = true;
  for (const StoredKey &Entry : Found)
    Answer["kvs"].push_back(keyValueOf(Entry, !Body.value("keys_only", false)));
  return Answer;
}

bool holds(const StoreModel &Model, const Json &Compare) {
  const StoredKey *Entry = Model.find(bytesOf(Compare, "key"));
  std::string Target = Compare.value("target", "VERSION");
  std::int64_t Actual = 0;
  std::int64_t Wanted = 0;
  if (Target == "MOD") {
    Actual = Entry ? Entry->ModRevision : 0;
    Wanted = integerOf(Compare, "mod_revision");
  } else if (Target == "CREATE") {
    Actual = Entry ? Entry->CreateRevision : 0;
    Wanted = integerOf(Compare, "create_revision");
  } else if (Target == "VALUE") {
    return Entry && Entry->Value == bytesOf(Compare, "value");
  } else {
    Actual = Entry ? Entry->Version : 0;
    Wanted = integerOf(Compare, "version");
  }
  std::string Result = Compare.value("result", "EQUAL");
  if (Result == "GREATER")
    return Actual > Wanted;
  if (Result == "LESS")
    return Actual < Wanted;
  return (Actual == Wanted) == (Result == "EQUAL");
}

bool leaseIsMissing(const StoreModel &Model, const Json &Put) {
  std::int64_t Lease = integerOf(Put, "lease");
  return Lease != 0 && !Model.hasLease(Lease);
}

Json applyOperation(StoreModel &Model, const Json &Operation) {
  if (auto At = Operation.find("request_put"); At != Operation.end()) {
    Model.put(bytesOf(*At, "key"), bytesOf(*At, "value"),
              integerOf(*At, "lease"));
    return {{"response_put", {{"header", headerOf(Model.revision() + 1)}}}};
  }
  if (auto At = Operation.find("request_delete_range"); At != Operation.end()) {
    Json Deleted{{"header", headerOf(Model.revision() + 1)}};
    setInteger(Deleted, "deleted",
               Model.remove(bytesOf(*At, "key"), bytesOf(*At, "range_end")));
    return {{"response_delete_range", std::move(Deleted)}};
  }
  return {{"response_range", readRange(Model, Operation.at("request_range"))}};
}

GatewayAnswer runTxn(StoreModel &Model, const Json &Body) {
  const Json Empty = Json::array();
  const Json Compares = Body.value("compare", Empty);
  bool Succeeded = std::ranges::all_of(
      Compares, [&](const Json &Compare) { return holds(Model, Compare); });
  const Json Operations = Body.value(Succeeded ? "success" : "failure", Empty);
  if (std::ranges::any_of(Operations, [&](const Json &Operation) {
        return Operation.contains("request_put") &&
               leaseIsMissing(Model, Operation.at("request_put"));
      }))
    return gatewayError(404, GrpcNotFound, NoLease);
  Json Responses = Json::array();
  Model.begin();
  for (const Json &Operation : Operations)
    Responses.push_back(applyOperation(Model, Operation));
  Model.commit();
  Json Answer{{"header", headerOf(Model.revision())}};
  if (Succeeded)
    Answer["succeeded"] = true;
  if (!Responses.empty())
    Answer["responses"] = std::move(Responses);
  return {200, Answer.dump()};
}

GatewayAnswer runWrite(StoreModel &Model, const char *Operation,
                       const char *Response, const Json &Body) {
  if (leaseIsMissing(Model, Body))
    return gatewayError(404, GrpcNotFound, NoLease);
  Model.begin();
  Json Answer = applyOperation(Model, {{Operation, Body}}).at(Response);
  Model.commit();
  return {200, Answer.dump()};
}

GatewayAnswer grantLease(StoreModel &Model, const Json &Body, Instant Now) {
  std::int64_t Seconds = integerOf(Body, "TTL");
  if (Seconds <= 0)
    return gatewayError(400, GrpcInvalidArgument,
                        "etcdserver: too small lease TTL");
  std::int64_t Id = Model.grantLease(std::chrono::seconds(Seconds), Now);
  return {200, Json{{"header", headerOf(Model.revision())},
                    {"ID", std::to_string(Id)},
                    {"TTL", std::to_string(Seconds)}}
                   .dump()};
}

GatewayAnswer keepAlive(StoreModel &Model, const Json &Body, Instant Now) {
  std::int64_t Id = integerOf(Body, "ID");
  Json Result{{"header", headerOf(Model.revision())},
              {"ID", std::to_string(Id)}};
  if (auto Left = Model.keepAlive(Id, Now))
    setInteger(Result, "TTL",
               std::chrono::duration_cast<std::chrono::seconds>(*Left).count());
  return {200, Json{{"result", std::move(Result)}}.dump() + '\n'};
}

} // namespace

std::string_view kindOf(std::string_view Path) {
  auto At =
      std::ranges::find(Kinds, Path, [](auto &Pair) { return Pair.first; });
  return At == Kinds.end() ? std::string_view() : At->second;
}

GatewayAnswer executeGateway(StoreModel &Model, std::string_view Kind,
                             const Json &Body, Instant Now) {
  if (Kind == "range")
    return {200, readRange(Model, Body).dump()};
  if (Kind == "txn")
    return runTxn(Model, Body);
  if (Kind == "put")
    return runWrite(Model, "request_put", "response_put", Body);
  if (Kind == "deleterange")
    return runWrite(Model, "request_delete_range", "response_delete_range",
                    Body);
  if (Kind == "lease_grant")
    return grantLease(Model, Body, Now);
  if (Kind == "lease_keepalive")
    return keepAlive(Model, Body, Now);
  if (!Model.revokeLease(integerOf(Body, "ID")))
    return gatewayError(404, GrpcNotFound, NoLease);
  return {200, Json{{"header", headerOf(Model.revision())}}.dump()};
}

GatewayAnswer gatewayError(int HttpCode, int GrpcCode,
                           std::string_view Message) {
  return {HttpCode,
          Json{{"error", Message}, {"code", GrpcCode}, {"message", Message}}
              .dump()};
}

std::string watchLine(std::int64_t Revision,
                      const std::vector<StoredChange> &Changes,
                      const Json &Extra) {
  Json Result{{"header", headerOf(Revision)}};
  Result.update(Extra);
  for (const StoredChange &Change : Changes) {
    Json Event{{"kv", keyValueOf(Change.After, true)}};
    if (Change.Deleted)
      Event["type"] = "DELETE";
    Result["events"].push_back(std::move(Event));
  }
  return Json{{"result", std::move(Result)}}.dump() + '\n';
}

std::string bytesOf(const Json &Object, const char *Field) {
  std::string Bytes;
  if (auto At = Object.find(Field); At != Object.end())
    absl::Base64Unescape(At->get_ref<const std::string &>(), &Bytes);
  return Bytes;
}

std::int64_t integerOf(const Json &Object, const char *Field) {
  auto At = Object.find(Field);
  if (At == Object.end())
    return 0;
  if (At->is_number())
    return At->get<std::int64_t>();
  std::int64_t Value = 0;
  return absl::SimpleAtoi(At->get_ref<const std::string &>(), &Value) ? Value
                                                                      : 0;
}

} // namespace orioledoor::standins

// Asks nodes by evhttp, one connection each.
#include "orioledoor/oriolectl/node_status.h"

#include <algorithm>
#include <cstddef>
#include <memory>

#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/oriolectl/event_loop.h"

namespace orioledoor::ctl {
namespace {

using nlohmann::json;

constexpr char StatusPath[] = "/oriole/status";
constexpr std::ptrdiff_t MaxBody = 64 << 10;

// One question to one node. Destroyed only outside of callbacks.
class StatusCall {
public:
  StatusCall(EventLoop &Loop, const Endpoint &Address)
      : Connection(evhttp_connection_base_new(Loop.base(), nullptr,
                                              Address.Host.c_str(),
                                              Address.Port),
                   evhttp_connection_free) {
    this->Result.Address = Address;
    this->Result.Error = "no answer in time";
    evhttp_connection_set_max_body_size(this->Connection.get(), MaxBody);
    evhttp_request *Request = evhttp_request_new(&StatusCall::answered, this);
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Host",
                      formatEndpoint(Address).c_str());
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Connection",
                      "close");
    if (evhttp_make_request(this->Connection.get(), Request, EVHTTP_REQ_GET,
                            StatusPath) != 0)
      this->finish("cannot connect");
  }
  StatusCall(const StatusCall &) = delete;
  StatusCall &operator=(const StatusCall &) = delete;

  bool isDone() const { return this->Done; }
  NodeStatus result() const { return this->Result; }

private:
  static void answered(evhttp_request *Request, void *Argument) {
    static_cast<StatusCall *>(Argument)->read(Request);
  }

  void read(evhttp_request *Request) {
    int Code = Request ? evhttp_request_get_response_code(Request) : 0;
    if (Code == 0)
      return this->finish("no connection or no whole answer");
    if (Code != HTTP_OK)
      return this->finish("answered with HTTP status " + std::to_string(Code));
    evbuffer *Input = evhttp_request_get_input_buffer(Request);
    std::string Body(evbuffer_get_length(Input), '\0');
    evbuffer_copyout(Input, Body.data(), Body.size());
    absl::StatusOr<NodeStatus> Decoded = decodeNodeStatus(Body);
    if (!Decoded.ok())
      return this->finish(std::string(Decoded.status().message()));
    Decoded->Address = this->Result.Address;
    this->Result = std::move(*Decoded);
    this->finish("");
  }

  void finish(std::string Error) {
    this->Result.Error = std::move(Error);
    this->Done = true;
  }

  NodeStatus Result;
  bool Done = false;
  // Last, so that it is closed before what its callback uses.
  std::unique_ptr<evhttp_connection, void (*)(evhttp_connection *)> Connection;
};

// The facts are optional, so that status works with nodes that omit them.
std::vector<MemberId> goneMembers(const json &In) {
  std::vector<MemberId> Gone;
  json Facts = In.value("facts", json::object());
  for (const char *Kind : {"deposed", "left"})
    for (const json &Id : Facts.value(Kind, json::array()))
      Gone.push_back(MemberId{Id.get<std::uint32_t>()});
  return Gone;
}

} // namespace

absl::StatusOr<NodeStatus> decodeNodeStatus(std::string_view Body) {
  try {
    json In = json::parse(Body);
    NodeStatus Status;
    Status.Node = In.at("node").get<std::string>();
    Status.Member = In.at("member").get<std::uint32_t>();
    Status.CatalogueRevision = In.at("catalogue_revision").get<std::uint64_t>();
    Status.AssignmentVersion = In.at("assignment_version").get<std::uint64_t>();
    Status.SlicesOwned = In.at("slices_owned").get<std::uint64_t>();
    Status.PermissionMs = In.at("permission_ms").get<std::int64_t>();
    Status.Ready = In.at("ready").get<bool>();
    Status.Gone = goneMembers(In);
    return Status;
  } catch (const json::exception &Error) {
    return makeError(absl::StatusCode::kDataLoss, "decode node status", "",
                     Error.what());
  }
}

json statusJson(const NodeStatus &Status) {
  json Out = {{"address", formatEndpoint(Status.Address)}};
  if (!Status.Error.empty()) {
    Out["error"] = Status.Error;
    return Out;
  }
  Out["node"] = Status.Node;
  Out["member"] = Status.Member;
  Out["catalogue_revision"] = Status.CatalogueRevision;
  Out["assignment_version"] = Status.AssignmentVersion;
  Out["slices_owned"] = Status.SlicesOwned;
  Out["permission_ms"] = Status.PermissionMs;
  Out["ready"] = Status.Ready;
  return Out;
}

std::vector<NodeStatus> fetchStatuses(EventLoop &Loop,
                                      std::span<const Endpoint> Nodes,
                                      Duration Limit) {
  std::vector<std::unique_ptr<StatusCall>> Calls;
  for (const Endpoint &Node : Nodes)
    Calls.push_back(std::make_unique<StatusCall>(Loop, Node));
  Loop.runUntil(
      [&] {
        return std::ranges::all_of(
            Calls, [](const auto &Call) { return Call->isDone(); });
      },
      Limit);
  std::vector<NodeStatus> Results(Calls.size());
  std::ranges::transform(Calls, Results.begin(),
                         [](const auto &Call) { return Call->result(); });
  return Results;
}

} // namespace orioledoor::ctl

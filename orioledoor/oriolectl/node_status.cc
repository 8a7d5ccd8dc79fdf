// Queries nodes with evhttp, using one connection per node.
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
constexpr std::ptrdiff_t MaxBodyBytes = 64 << 10;

// A status request to one node. Must not be destroyed from a libevent callback.
class StatusFetch {
public:
  StatusFetch(EventLoop &Loop, const Endpoint &Address)
      : Connection(evhttp_connection_base_new(Loop.base(), nullptr,
                                              Address.Host.c_str(),
                                              Address.Port),
                   evhttp_connection_free) {
    this->Result.Address = Address;
    this->Result.Error = "no answer in time";
    evhttp_connection_set_max_body_size(this->Connection.get(), MaxBodyBytes);
    evhttp_request *Request =
        evhttp_request_new(&StatusFetch::onResponse, this);
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Host",
                      formatEndpoint(Address).c_str());
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Connection",
                      "close");
    if (evhttp_make_request(this->Connection.get(), Request, EVHTTP_REQ_GET,
                            StatusPath) != 0)
      this->finish("cannot connect");
  }
  StatusFetch(const StatusFetch &) = delete;
  StatusFetch &operator=(const StatusFetch &) = delete;

  bool isDone() const { return this->Done; }
  NodeStatus result() const { return this->Result; }

private:
  static void onResponse(evhttp_request *Request, void *Argument) {
    static_cast<StatusFetch *>(Argument)->handleResponse(Request);
  }

  void handleResponse(evhttp_request *Request) {
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
  // Declared last, so that it is closed before the members that its callback
  // uses are destroyed.
  std::unique_ptr<evhttp_connection, void (*)(evhttp_connection *)> Connection;
};

// Returns the members listed as deposed or left under "facts". The field is
// optional, because some nodes omit it.
std::vector<MemberId> parseDepartedMembers(const json &Root) {
  std::vector<MemberId> DepartedMembers;
  json Facts = Root.value("facts", json::object());
  for (const char *Kind : {"deposed", "left"})
    for (const json &Id : Facts.value(Kind, json::array()))
      DepartedMembers.push_back(MemberId{Id.get<std::uint32_t>()});
  return DepartedMembers;
}

} // namespace

absl::StatusOr<NodeStatus> decodeNodeStatus(std::string_view Body) {
  try {
    json Root = json::parse(Body);
    NodeStatus Status;
    Status.Node = Root.at("node").get<std::string>();
    Status.Member = Root.at("member").get<std::uint32_t>();
    Status.CatalogueRevision =
        Root.at("catalogue_revision").get<std::uint64_t>();
    Status.AssignmentVersion =
        Root.at("assignment_version").get<std::uint64_t>();
    Status.SlicesOwned = Root.at("slices_owned").get<std::uint64_t>();
    Status.PermissionMs = Root.at("permission_ms").get<std::int64_t>();
    Status.Ready = Root.at("ready").get<bool>();
    Status.DepartedMembers = parseDepartedMembers(Root);
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
                                      Duration Timeout) {
  std::vector<std::unique_ptr<StatusFetch>> Fetches;
  for (const Endpoint &Node : Nodes)
    Fetches.push_back(std::make_unique<StatusFetch>(Loop, Node));
  Loop.runUntil(
      [&] {
        return std::ranges::all_of(
            Fetches, [](const auto &Fetch) { return Fetch->isDone(); });
      },
      Timeout);
  std::vector<NodeStatus> Results(Fetches.size());
  std::ranges::transform(Fetches, Results.begin(),
                         [](const auto &Fetch) { return Fetch->result(); });
  return Results;
}

} // namespace orioledoor::ctl

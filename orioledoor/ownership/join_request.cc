// JSON encoding of a join request.
#include "orioledoor/ownership/join_request.h"

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"

namespace orioledoor::ownership {

std::string encodeJoinRequest(const JoinRequest &Value) {
  nlohmann::json Out = {{"name", Value.Name},
                        {"token", Value.Token},
                        {"peer_address", Value.PeerAddress},
                        {"http_address", Value.HttpAddress},
                        {"region", Value.Region},
                        {"failure_domain", Value.FailureDomain},
                        {"service", Value.Service},
                        {"slots", Value.Slots}};
  return Out.dump();
}

absl::StatusOr<JoinRequest> decodeJoinRequest(std::string_view Json) {
  try {
    nlohmann::json In = nlohmann::json::parse(Json);
    return JoinRequest{.Name = In.at("name"),
                       .Token = In.at("token"),
                       .PeerAddress = In.at("peer_address"),
                       .HttpAddress = In.at("http_address"),
                       .Region = In.at("region"),
                       .FailureDomain = In.at("failure_domain"),
                       .Service = In.at("service"),
                       .Slots = In.at("slots")};
  } catch (const nlohmann::json::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "decode join request",
                     "", Error.what());
  }
}

} // namespace orioledoor::ownership

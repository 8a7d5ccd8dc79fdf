// The store's side of the JSON gateway of the etcd v3 interface: carries out
// one call on a StoreModel.
//
//   GatewayAnswer Answer = executeGateway(Model, "txn", Body, Now);
#ifndef ORIOLEDOOR_STANDINS_GATEWAY_JSON_H
#define ORIOLEDOOR_STANDINS_GATEWAY_JSON_H

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/standins/store_model.h"

namespace orioledoor::standins {

struct GatewayAnswer {
  int Code = 200;
  std::string Body;
};

// The kind of the call at Path: range, put, deleterange, txn, lease_grant,
// lease_keepalive, lease_revoke or watch; empty if there is no such call.
std::string_view kindOf(std::string_view Path);

// Carries out any call but a watch. Throws nlohmann::json::exception if Body
// is not as the interface asks.
GatewayAnswer executeGateway(StoreModel &Model, std::string_view Kind,
                             const nlohmann::json &Body, Instant Now);

// An error as the gateway writes it, with a gRPC code.
GatewayAnswer gatewayError(int HttpCode, int GrpcCode,
                           std::string_view Message);

// One line of a watch's answer. Extra is merged into the result.
std::string watchLine(std::int64_t Revision,
                      const std::vector<StoredChange> &Changes,
                      const nlohmann::json &Extra);

// A base64 field of Object; empty if absent.
std::string bytesOf(const nlohmann::json &Object, const char *Field);

// A 64-bit integer field, as a string or a number; 0 if absent.
std::int64_t integerOf(const nlohmann::json &Object, const char *Field);

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_GATEWAY_JSON_H

// Adds the headers for the target to the caller's request.
#include "orioledoor/daemon/target_call.h"

#include <utility>

#include "orioledoor/requests/effect.h"
#include "orioledoor/wire/caller_request.h"

namespace orioledoor::daemon {

wire::HttpCall makeTargetCall(const requests::CallTarget &Effect,
                              const Endpoint &Target) {
  std::vector<requests::Header> Headers = Effect.Request->Headers;
  if (!Effect.OperationId.empty())
    Headers.push_back({"Idempotency-Key", Effect.OperationId});
  Headers.push_back(
      {"Oriole-Fence", std::to_string(Effect.FencingNumber.Value)});
  Headers.push_back(
      {"Oriole-Timeout-Ms", std::to_string(Effect.Timeout.count() / 1000)});
  return {.Server = Target,
          .Method = Effect.Request->Method,
          .Target = wire::requestTarget(*Effect.Request),
          .Headers = std::move(Headers),
          .Body = Effect.Request->Body,
          .Timeout = Effect.Timeout,
          .NotAfter = Effect.NotAfter,
          .FreshConnection = false};
}

} // namespace orioledoor::daemon

// Builds and reads statuses that carry a step and a peer.
#include "orioledoor/base/error.h"

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace orioledoor {
namespace {

constexpr char StepUrl[] = "orioledoor/step";
constexpr char PeerUrl[] = "orioledoor/peer";

std::string payloadOf(const absl::Status &Error, absl::string_view Url) {
  auto Payload = Error.GetPayload(Url);
  return Payload ? std::string(*Payload) : std::string();
}

} // namespace

absl::Status makeError(absl::StatusCode Code, std::string_view Step,
                       std::string_view Peer, std::string_view Message) {
  std::string Text = absl::StrCat(toAbsl(Step), Peer.empty() ? "" : " at ",
                                  toAbsl(Peer), ": ", toAbsl(Message));
  absl::Status Error(Code, Text);
  Error.SetPayload(StepUrl, absl::Cord(toAbsl(Step)));
  Error.SetPayload(PeerUrl, absl::Cord(toAbsl(Peer)));
  return Error;
}

std::string stepOf(const absl::Status &Error) {
  return payloadOf(Error, StepUrl);
}

std::string peerOf(const absl::Status &Error) {
  return payloadOf(Error, PeerUrl);
}

} // namespace orioledoor

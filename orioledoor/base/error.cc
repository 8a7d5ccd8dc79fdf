// Builds statuses that carry a step and a peer, and reads the two back.
#include "orioledoor/base/error.h"

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace orioledoor {
namespace {

constexpr char StepPayloadUrl[] = "orioledoor/step";
constexpr char PeerPayloadUrl[] = "orioledoor/peer";

std::string payloadText(const absl::Status &Error, absl::string_view Url) {
  auto Payload = Error.GetPayload(Url);
  return Payload ? std::string(*Payload) : std::string();
}

} // namespace

absl::Status makeError(absl::StatusCode Code, std::string_view Step,
                       std::string_view Peer, std::string_view Message) {
  std::string Text = absl::StrCat(toAbsl(Step), Peer.empty() ? "" : " at ",
                                  toAbsl(Peer), ": ", toAbsl(Message));
  absl::Status Error(Code, Text);
  Error.SetPayload(StepPayloadUrl, absl::Cord(toAbsl(Step)));
  Error.SetPayload(PeerPayloadUrl, absl::Cord(toAbsl(Peer)));
  return Error;
}

std::string stepOf(const absl::Status &Error) {
  return payloadText(Error, StepPayloadUrl);
}

std::string peerOf(const absl::Status &Error) {
  return payloadText(Error, PeerPayloadUrl);
}

} // namespace orioledoor

// absl::Status errors that record the step and the peer at which they occurred,
// and conversions between std::string_view and absl::string_view.
//
//   return makeError(absl::StatusCode::kUnavailable, "forward", "member 7",
//                    "no answer to a ping within 300 ms");
#ifndef ORIOLEDOOR_BASE_ERROR_H
#define ORIOLEDOOR_BASE_ERROR_H

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace orioledoor {

// Debian builds Abseil with its own string_view type instead of an alias of
// std::string_view. The result refers to the bytes of Text.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}
inline std::string_view toStd(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

// Returns a status with the message "STEP at PEER: MESSAGE" and with the step
// and the peer as payloads. An empty Peer means the local process; the message
// is then "STEP: MESSAGE".
absl::Status makeError(absl::StatusCode Code, std::string_view Step,
                       std::string_view Peer, std::string_view Message);

// Returns the step at which Error occurred; empty if makeError() did not create
// it.
std::string stepOf(const absl::Status &Error);

// Returns the peer at which Error occurred; empty for the local process.
std::string peerOf(const absl::Status &Error);

} // namespace orioledoor

#endif // ORIOLEDOOR_BASE_ERROR_H

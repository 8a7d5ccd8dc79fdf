// Errors as absl::Status that carry the step and the peer at which they
// arose, and conversions for Debian's absl::string_view.
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

// Debian builds Abseil with a string_view type of its own.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}
inline std::string_view toStd(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

// A status whose message reads "STEP at PEER: MESSAGE" and whose payloads
// keep the step and the peer. An empty Peer means the local process.
absl::Status makeError(absl::StatusCode Code, std::string_view Step,
                       std::string_view Peer, std::string_view Message);

// The step at which Error arose; empty if makeError did not create it.
std::string stepOf(const absl::Status &Error);

// The peer at which Error arose; empty for the local process.
std::string peerOf(const absl::Status &Error);

} // namespace orioledoor

#endif // ORIOLEDOOR_BASE_ERROR_H

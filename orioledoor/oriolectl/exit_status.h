// Exit statuses of oriolectl, as documented by `oriolectl help`.
#ifndef ORIOLEDOOR_ORIOLECTL_EXIT_STATUS_H
#define ORIOLEDOOR_ORIOLECTL_EXIT_STATUS_H

#include "absl/status/status.h"

namespace orioledoor::ctl {

enum class ExitStatus {
  Success = 0,
  // Unknown command or option, or an option is missing.
  Usage = 1,
  // A file, an option value or a document in the store is not valid.
  InvalidInput = 2,
  // Another change was applied after the base revision.
  Conflict = 3,
  // The store or a node did not answer.
  Unreachable = 4,
  // A write may or may not have taken effect.
  OutcomeUnknown = 5,
  // --wait ended before every node had the revision in force.
  TimedOut = 6,
};

// Maps Status to an exit status: kUnavailable to Unreachable, kAborted to
// Conflict, kUnknown to OutcomeUnknown, kDeadlineExceeded to TimedOut and any
// other error to InvalidInput.
inline ExitStatus toExitStatus(const absl::Status &Status) {
  switch (Status.code()) {
  case absl::StatusCode::kOk:
    return ExitStatus::Success;
  case absl::StatusCode::kUnavailable:
    return ExitStatus::Unreachable;
  case absl::StatusCode::kAborted:
    return ExitStatus::Conflict;
  case absl::StatusCode::kUnknown:
    return ExitStatus::OutcomeUnknown;
  case absl::StatusCode::kDeadlineExceeded:
    return ExitStatus::TimedOut;
  default:
    return ExitStatus::InvalidInput;
  }
}

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_EXIT_STATUS_H

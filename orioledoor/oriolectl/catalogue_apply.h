// Writes a catalogue change to the store in one transaction: it compares the
// base revision and writes the current catalogue, the history entry and the
// audit record.
//
//   ApplyRequest Request{.Text = Yaml, .FileName = "catalogue.yaml",
//                        .Base = 7, .Author = "ana", .Comment = "",
//                        .ApplyId = "5f0c...", .TimeMicros = Now};
//   absl::StatusOr<ApplyResult> Result = applyCatalogue(Store, Request);
#ifndef ORIOLEDOOR_ORIOLECTL_CATALOGUE_APPLY_H
#define ORIOLEDOOR_ORIOLECTL_CATALOGUE_APPLY_H

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/catalogue/catalogue_diff.h"

namespace orioledoor::ctl {

class StoreSession;

struct ApplyRequest {
  // The new catalogue as YAML.
  std::string Text;
  // The source of Text, used in error messages.
  std::string FileName;
  // The revision that the change is based on; 0 for the first catalogue.
  std::uint64_t Base = 0;
  std::string Author;
  std::string Comment;
  // Unique to this request. Identifies its write in the store if the response
  // was lost.
  std::string ApplyId;
  // UTC, microseconds since 1970.
  std::int64_t TimeMicros = 0;
};

// Time limits of applyCatalogue().
struct ApplyLimits {
  // How long a write is retried. Only a write that provably was not applied is
  // retried.
  Duration RetryTimeout = std::chrono::seconds(10);
  // How long the store is polled for the outcome of a write whose response was
  // lost.
  Duration OutcomeTimeout = std::chrono::seconds(5);
  Duration PollInterval = std::chrono::milliseconds(250);
};

struct ApplyResult {
  // The current revision; equal to the base if the text is unchanged.
  std::uint64_t Revision = 0;
  // Empty for the first catalogue and if only layout or comments changed.
  std::vector<CatalogueChange> Changes;
};

// Applies the change at most once. Blocks until the outcome is known or a time
// limit expires.
//
// Errors:
//   kInvalidArgument     the text is not a valid catalogue
//   kFailedPrecondition  the change is not allowed (slices, deployment)
//   kAborted             the base is not the current revision; not applied
//   kUnavailable         the store does not answer; not applied
//   kUnknown             the write may still take effect
absl::StatusOr<ApplyResult> applyCatalogue(StoreSession &Store,
                                           const ApplyRequest &Request,
                                           const ApplyLimits &Limits = {});

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_CATALOGUE_APPLY_H

// Writes a catalogue change to the store: one transaction that compares the
// base, with the history entry and the audit record.
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
  // YAML.
  std::string Text;
  // For messages.
  std::string FileName;
  // The revision that the change was made from; 0 for the first catalogue.
  std::uint64_t Base = 0;
  std::string Author;
  std::string Comment;
  // Unique to this request; resolves a write whose answer was lost.
  std::string ApplyId;
  // UTC, microseconds since 1970.
  std::int64_t TimeMicros = 0;
};

// How long applyCatalogue() tries.
struct ApplyLimits {
  // Writes are sent again, while provably none was applied, for this long.
  Duration Retry = std::chrono::seconds(10);
  // A write without an answer is looked for in the store for this long.
  Duration ReadBack = std::chrono::seconds(5);
  Duration Pause = std::chrono::milliseconds(250);
};

struct ApplyResult {
  // In force from now on; equal to the base if the text was the same.
  std::uint64_t Revision = 0;
  // Empty for the first catalogue and if only layout or comments changed.
  std::vector<CatalogueChange> Changes;
};

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

// A settings file that may change while the process runs, with or without a
// signal.
//
//   SettingsFile File("/etc/orioledoor/node.yaml");
//   absl::StatusOr<std::string> Text = File.read();
//   if (std::optional<std::string> Changed = File.readIfChanged())
//     ... // apply it
#ifndef ORIOLEDOOR_CATALOGUE_SETTINGS_FILE_H
#define ORIOLEDOOR_CATALOGUE_SETTINGS_FILE_H

#include <optional>
#include <string>
#include <utility>

#include "absl/status/statusor.h"

namespace orioledoor {

// Not thread-safe.
class SettingsFile {
public:
  explicit SettingsFile(std::string FileName) : FileName(std::move(FileName)) {}

  // Returns the content. Errors: kNotFound if the file can't be opened.
  absl::StatusOr<std::string> read();

  // Returns the content if it differs from what was returned last. The text is
  // compared, since the time of the last change may be too coarse. Returns
  // nothing for a file that is absent or empty, as it is for a moment while it
  // is replaced.
  std::optional<std::string> readIfChanged();

  const std::string &name() const { return this->FileName; }

private:
  std::string FileName;
  // The content that was returned last.
  std::string Text;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_SETTINGS_FILE_H

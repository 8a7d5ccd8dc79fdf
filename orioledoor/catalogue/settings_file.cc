// Reads the whole file each time; settings are about a kilobyte.
#include "orioledoor/catalogue/settings_file.h"

#include <fstream>
#include <iterator>

#include "orioledoor/base/error.h"

namespace orioledoor {

absl::StatusOr<std::string> SettingsFile::read() {
  std::ifstream File(this->FileName);
  if (!File)
    return makeError(absl::StatusCode::kNotFound, "read settings",
                     this->FileName, "the file can't be opened for reading");
  this->Text.assign(std::istreambuf_iterator<char>(File), {});
  return this->Text;
}

std::optional<std::string> SettingsFile::readIfChanged() {
  std::string Known = this->Text;
  absl::StatusOr<std::string> Current = this->read();
  if (Current.ok() && !Current->empty() && *Current != Known)
    return *std::move(Current);
  this->Text = std::move(Known);
  return std::nullopt;
}

} // namespace orioledoor

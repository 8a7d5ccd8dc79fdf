// Reads the whole file each time; settings are about a kilobyte.
#include "orioledoor/catalogue/settings_file.h"

#include <fstream>
#include <iterator>

#include "orioledoor/base/error.h"

namespace orioledoor {

namespace {

absl::StatusOr<std::string> readWhole(const std::string &FileName) {
  std::ifstream File(FileName);
  if (!File)
    return makeError(absl::StatusCode::kNotFound, "read settings", FileName,
                     "the file can't be opened for reading");
  return std::string(std::istreambuf_iterator<char>(File), {});
}

} // namespace

absl::StatusOr<std::string> SettingsFile::read() {
  absl::StatusOr<std::string> Current = readWhole(this->FileName);
  if (Current.ok())
    this->Text = *Current;
  return Current;
}

std::optional<std::string> SettingsFile::readIfChanged() {
  absl::StatusOr<std::string> Current = readWhole(this->FileName);
  if (!Current.ok() || Current->empty() || *Current == this->Text)
    return std::nullopt;
  this->Text = *std::move(Current);
  return this->Text;
}

} // namespace orioledoor

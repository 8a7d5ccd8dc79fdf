// Validates option values and reads input files.
#include "orioledoor/oriolectl/invocation.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <iterator>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"

namespace orioledoor::ctl {

std::string Invocation::optionText(const std::string &Option) const {
  return this->hasOption(Option) ? this->Options[Option].as<std::string>()
                                 : std::string();
}

std::optional<std::uint64_t>
Invocation::optionNumber(const std::string &Option) const {
  if (!this->hasOption(Option))
    return std::nullopt;
  std::string Text = this->optionText(Option);
  std::uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    throw UsageError("--" + Option + " is \"" + Text +
                     "\"; expected a whole number");
  return Value;
}

std::uint64_t Invocation::requireNumber(const std::string &Option) const {
  std::optional<std::uint64_t> Value = this->optionNumber(Option);
  if (!Value)
    throw UsageError("--" + Option + " is missing; expected a whole number");
  return *Value;
}

Endpoint Invocation::storeAddress() const {
  std::string Text = this->optionText("store");
  if (Text.empty())
    throw UsageError("--store is missing; expected IP:PORT of the store");
  std::optional<Endpoint> Parsed = parseEndpoint(Text);
  if (!Parsed)
    throw UsageError("--store is \"" + Text + "\"; expected IP:PORT");
  return *Parsed;
}

std::string Invocation::author() const {
  std::string Text = this->optionText("author");
  if (Text.empty())
    throw UsageError("--author is missing and USER is not set; expected the "
                     "name of the person who makes the change");
  return Text;
}

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (!In.is_open() || In.bad())
    return makeError(absl::StatusCode::kInvalidArgument, "read file", "",
                     "cannot read \"" + Path + "\"");
  return Text;
}

} // namespace orioledoor::ctl

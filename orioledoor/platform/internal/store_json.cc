// Implements the base64 encoding of values and the encoding of items.
#include "orioledoor/platform/internal/store_json.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

namespace orioledoor::platform::internal {

using nlohmann::json;

std::string decodeValue(const json &Text) {
  std::string Bytes;
  if (!absl::Base64Unescape(Text.get_ref<const std::string &>(), &Bytes))
    throw std::out_of_range("a value is not base64");
  return Bytes;
}

std::string encodeValue(const std::string &Bytes) {
  return absl::Base64Escape(Bytes);
}

json encodeItem(const StoreEntry &Entry) {
  return {{"key", Entry.Key},
          {"value", encodeValue(Entry.Value)},
          {"revision", Entry.ModRevision}};
}

StoreEntry decodeItem(const json &Item) {
  return {.Key = Item.at("key"),
          .Value = decodeValue(Item.at("value")),
          .ModRevision = Item.at("revision")};
}

} // namespace orioledoor::platform::internal

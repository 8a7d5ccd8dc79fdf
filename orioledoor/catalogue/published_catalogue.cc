// Encodes published catalogues as JSON.
#include "orioledoor/catalogue/published_catalogue.h"

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"

namespace orioledoor {

using Json = nlohmann::json;

std::string encodePublishedCatalogue(const PublishedCatalogue &Value) {
  Json Object = {{"revision", Value.Revision}, {"apply_id", Value.ApplyId},
                 {"author", Value.Author},     {"time_us", Value.TimeMicros},
                 {"comment", Value.Comment},   {"text", Value.Text}};
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<PublishedCatalogue>
decodePublishedCatalogue(std::string_view Text) {
  try {
    Json Object = Json::parse(Text);
    return PublishedCatalogue{
        .Revision = Object.at("revision").get<std::uint64_t>(),
        .ApplyId = Object.at("apply_id").get<std::string>(),
        .Author = Object.at("author").get<std::string>(),
        .TimeMicros = Object.at("time_us").get<std::int64_t>(),
        .Comment = Object.at("comment").get<std::string>(),
        .Text = Object.at("text").get<std::string>()};
  } catch (const Json::exception &Error) {
    return makeError(absl::StatusCode::kDataLoss, "decode catalogue", "",
                     Error.what());
  }
}

} // namespace orioledoor

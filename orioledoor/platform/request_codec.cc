// Headers of the request path.
#include "orioledoor/platform/request_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "orioledoor/platform/names.h"
#include "orioledoor/wire/internal/http_headers.h"

namespace orioledoor::platform {
namespace {

using requests::Header;
using wire::internal::equalsIgnoreCase;
using wire::internal::findHeader;

constexpr std::int64_t MaxKey = 65535;
// A day; longer deadlines are as good as none.
constexpr std::int64_t MaxDeadlineMs = 86'400'000;

// The router sets these itself, whatever the caller sent.
constexpr std::array<std::string_view, 4> OwnHeaders = {
    names::DeadlineRemaining, names::CallerService, names::ExpectedInstance,
    names::AttemptId};

std::optional<std::int64_t> readNumber(const std::vector<Header> &Headers,
                                       std::string_view Name,
                                       std::int64_t High) {
  const Header *Found = findHeader(Headers, Name);
  if (!Found)
    return std::nullopt;
  const std::string &Text = Found->Value;
  std::int64_t Number = 0;
  // A fraction of a millisecond is left out.
  auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || Number < 0 ||
      (Stop != Text.data() + Text.size() && *Stop != '.'))
    return std::nullopt;
  return std::min(Number, High);
}

} // namespace

routing::CallerRequest decodeCallerRequest(std::uint64_t Caller,
                                           wire::IncomingRequest Incoming) {
  routing::CallerRequest Request;
  Request.Caller = Caller;
  Request.FirstByteAt = Incoming.FirstByteAt;
  if (const Header *Id = findHeader(Incoming.Headers, names::AttemptId))
    Request.AttemptId = Id->Value;
  if (auto Millis =
          readNumber(Incoming.Headers, names::DeadlineRemaining, MaxDeadlineMs))
    Request.TimeLeft = std::chrono::milliseconds(*Millis);
  if (auto Key = readNumber(Incoming.Headers, names::ShardKey, MaxKey + 1);
      Key && *Key <= MaxKey)
    Request.Key = static_cast<std::int32_t>(*Key);
  std::erase_if(Incoming.Headers, [](const Header &Each) {
    return std::ranges::any_of(OwnHeaders, [&Each](std::string_view Own) {
      return equalsIgnoreCase(Each.Name, Own);
    });
  });
  auto Content = std::make_shared<routing::RequestContent>();
  Content->Method = std::move(Incoming.Method);
  Content->Target = std::move(Incoming.Target);
  Content->Host = std::move(Incoming.Host);
  Content->Headers = std::move(Incoming.Headers);
  Content->Body = std::move(Incoming.Body);
  Request.Content = std::move(Content);
  return Request;
}

wire::HttpCall encodeTargetCall(const routing::StartCall &Asked) {
  wire::HttpCall Call;
  Call.Method = Asked.Content->Method;
  Call.Target = Asked.Content->Target;
  Call.Host = Asked.Content->Host;
  Call.Headers = Asked.Content->Headers;
  Call.Headers.push_back({names::AttemptId, Asked.AttemptId});
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Asked.TimeLeft);
  Call.Headers.push_back(
      {names::DeadlineRemaining, std::to_string(Millis.count())});
  Call.Headers.push_back({names::CallerService, Asked.CallerService});
  Call.Headers.push_back({names::ExpectedInstance, Asked.Instance});
  Call.EchoHeader = names::AttemptId;
  Call.Body = Asked.Content->Body;
  return Call;
}

bool isNotExecuted(const requests::HttpAnswer &Answer) {
  return Answer.Status >= 400 &&
         findHeader(Answer.Headers, names::NotExecuted) != nullptr;
}

} // namespace orioledoor::platform

// Implements the mapping of headers to requests and calls.
#include "orioledoor/platform/request_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
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

// Another instance than the expected one answers with this status, and so does
// a target that does not hold the key.
constexpr int WrongInstanceStatus = 421;
constexpr std::int64_t MaxKey = 65535;
// One day. Longer deadlines have the effect of none.
constexpr std::int64_t MaxDeadlineMs = 86'400'000;
// More requests or slots do not fit on one VM.
constexpr std::uint32_t MaxStatedRequests = 1'000'000;
// A target that takes a hundred times as long has stopped in effect.
constexpr std::uint32_t MaxPercent = 10'000;

// Headers that the router sets itself; the values that callers send are
// dropped.
constexpr std::array<std::string_view, 4> RouterHeaders = {
    names::DeadlineRemaining, names::CallerService, names::ExpectedInstance,
    names::AttemptId};

std::optional<std::int64_t> readNumberHeader(const std::vector<Header> &Headers,
                                             std::string_view Name,
                                             std::int64_t Max) {
  const Header *Found = findHeader(Headers, Name);
  if (!Found)
    return std::nullopt;
  const std::string &Text = Found->Value;
  std::int64_t Number = 0;
  // Fractions of a millisecond are ignored.
  auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || Number < 0 ||
      (Stop != Text.data() + Text.size() && *Stop != '.'))
    return std::nullopt;
  return std::min(Number, Max);
}

// Returns a rate that is a finite decimal number and not negative.
std::optional<double> parseRate(std::string_view Text) {
  double Rate = 0;
  auto [Stop, Error] = std::from_chars(Text.data(), Text.data() + Text.size(),
                                       Rate, std::chars_format::fixed);
  if (Error != std::errc() || Stop != Text.data() + Text.size() ||
      !std::isfinite(Rate) || std::signbit(Rate))
    return std::nullopt;
  return Rate;
}

// Returns a load of three or four integers between commas, all within their
// bounds.
std::optional<routing::StatedLoad> parseLoad(std::string_view Text) {
  std::array<std::uint32_t, 4> Figures{};
  std::size_t Count = 0;
  for (const char *Next = Text.data(), *End = Next + Text.size();;) {
    if (Count == Figures.size())
      return std::nullopt;
    while (Next != End && *Next == ' ')
      ++Next;
    auto [Stop, Error] = std::from_chars(Next, End, Figures[Count]);
    if (Error != std::errc())
      return std::nullopt;
    ++Count;
    if (Stop == End)
      break;
    if (*Stop != ',')
      return std::nullopt;
    Next = Stop + 1;
  }
  auto [Running, Waiting, Slots, Percent] = Figures;
  if (Count < 3 || std::max({Running, Waiting, Slots}) > MaxStatedRequests ||
      Slots == 0 || (Count == 4 && (Percent == 0 || Percent > MaxPercent)))
    return std::nullopt;
  return routing::StatedLoad{Running, Waiting, Slots, Percent};
}

} // namespace

routing::CallerRequest decodeCallerRequest(std::uint64_t Caller,
                                           wire::IncomingRequest Incoming) {
  routing::CallerRequest Request;
  Request.Caller = Caller;
  Request.FirstByteAt = Incoming.FirstByteAt;
  if (const Header *AttemptIdHeader =
          findHeader(Incoming.Headers, names::AttemptId))
    Request.AttemptId = AttemptIdHeader->Value;
  if (auto TimeLeftMs = readNumberHeader(
          Incoming.Headers, names::DeadlineRemaining, MaxDeadlineMs))
    Request.TimeLeft = std::chrono::milliseconds(*TimeLeftMs);
  if (auto Key =
          readNumberHeader(Incoming.Headers, names::ShardKey, MaxKey + 1);
      Key && *Key <= MaxKey)
    Request.Key = static_cast<std::int32_t>(*Key);
  std::erase_if(Incoming.Headers, [](const Header &Field) {
    return std::ranges::any_of(
        RouterHeaders, [&Field](std::string_view RouterHeader) {
          return equalsIgnoreCase(Field.Name, RouterHeader);
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

wire::HttpCall encodeTargetCall(const routing::StartCall &Request) {
  wire::HttpCall Call;
  Call.Method = Request.Content->Method;
  Call.Target = Request.Content->Target;
  Call.Host = Request.Content->Host;
  Call.Headers = Request.Content->Headers;
  Call.Headers.push_back({names::AttemptId, Request.AttemptId});
  auto TimeLeftMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Request.TimeLeft);
  Call.Headers.push_back(
      {names::DeadlineRemaining, std::to_string(TimeLeftMs.count())});
  Call.Headers.push_back({names::CallerService, Request.CallerService});
  Call.Headers.push_back({names::ExpectedInstance, Request.Instance});
  Call.EchoHeader = names::AttemptId;
  Call.FinalHeader = names::NotExecuted;
  Call.Body = Request.Content->Body;
  return Call;
}

bool isNotExecuted(const requests::HttpAnswer &Answer) {
  return Answer.Status >= 400 &&
         findHeader(Answer.Headers, names::NotExecuted) != nullptr;
}

std::optional<routing::TargetSignals>
decodeTargetSignals(const requests::HttpAnswer &Answer) {
  if (Answer.Status == WrongInstanceStatus)
    return std::nullopt;
  routing::TargetSignals Signals;
  const Header *Leaving = findHeader(Answer.Headers, names::ServerLeaving);
  Signals.Leaving = Leaving && Leaving->Value == "1";
  if (const Header *Limit = findHeader(Answer.Headers, names::ServerLimit)) {
    Signals.RateLimit = parseRate(Limit->Value);
    Signals.RateLimitUnreadable = !Signals.RateLimit;
  }
  if (const Header *Load = findHeader(Answer.Headers, names::ServerLoad)) {
    Signals.Load = parseLoad(Load->Value);
    Signals.LoadUnreadable = !Signals.Load;
  }
  return Signals;
}

} // namespace orioledoor::platform

// Parses the path and the Oriole headers.
#include "orioledoor/wire/caller_request.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <memory>
#include <optional>
#include <utility>

#include "orioledoor/base/error.h"
#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/internal/http_headers.h"

namespace orioledoor::wire {
namespace {

constexpr std::size_t MaxKeyBytes = 1024;
constexpr std::size_t MaxOperationIdBytes = 256;
// A day. Larger values are meant as "no limit" and would overflow sums.
constexpr std::uint64_t MaxMillis = 86'400'000;

absl::Status invalid(std::string_view Message) {
  return makeError(absl::StatusCode::kInvalidArgument, "parse request", "",
                   Message);
}

// Removes the header from the list; empty if it is absent.
std::optional<std::string> takeHeader(std::vector<requests::Header> &From,
                                      std::string_view Name) {
  auto Found = std::ranges::find_if(From, [Name](const requests::Header &Each) {
    return internal::equalNames(Each.Name, Name);
  });
  if (Found == From.end())
    return std::nullopt;
  std::string Value = std::move(Found->Value);
  std::erase_if(From, [Name](const requests::Header &Each) {
    return internal::equalNames(Each.Name, Name);
  });
  return Value;
}

// A non-negative decimal number; empty if the header is missing.
absl::StatusOr<std::optional<std::uint64_t>>
takeNumber(std::vector<requests::Header> &From, std::string_view Name) {
  std::optional<std::string> Text = takeHeader(From, Name);
  if (!Text)
    return std::nullopt;
  std::uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  auto [Stop, Error] = std::from_chars(Text->data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return invalid(std::string(Name) + " is not a whole number: " + *Text);
  return Value;
}

int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

// Everything outside the unreserved set of RFC 3986 is encoded, so that equal
// keys have equal targets.
std::string percentEncode(std::string_view Text) {
  constexpr char Digits[] = "0123456789ABCDEF";
  std::string Result;
  Result.reserve(Text.size());
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) != 0 || C == '-' || C == '_' || C == '.' ||
        C == '~') {
      Result += C;
    } else {
      Result += '%';
      Result += Digits[Byte >> 4];
      Result += Digits[Byte & 15];
    }
  }
  return Result;
}

// Splits Target into decoded service and key and the raw rest.
absl::Status parseTarget(std::string_view Target,
                         requests::HttpRequest &Result) {
  if (Target.empty() || Target.front() != '/')
    return invalid("the path does not start with '/'");
  Target.remove_prefix(1);
  std::size_t Query = std::min(Target.find('?'), Target.size());
  std::size_t Slash = Target.substr(0, Query).find('/');
  if (Slash == std::string_view::npos)
    return invalid("the path has no key; expected /SERVICE/KEY");
  std::string_view Rest = Target.substr(Slash + 1);
  std::size_t KeyEnd = std::min(Rest.find_first_of("/?"), Rest.size());
  absl::StatusOr<std::string> Service = percentDecode(Target.substr(0, Slash));
  absl::StatusOr<std::string> Key = percentDecode(Rest.substr(0, KeyEnd));
  if (!Service.ok())
    return Service.status();
  if (!Key.ok())
    return Key.status();
  if (Service->empty() || Key->empty())
    return invalid("the path has no key; expected /SERVICE/KEY");
  if (Key->size() > MaxKeyBytes)
    return invalid("the key is longer than 1024 bytes");
  Result.Service = *std::move(Service);
  Result.Key = *std::move(Key);
  Result.Path = Rest.substr(KeyEnd);
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::string> percentDecode(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%') {
      Result += Text[At];
      continue;
    }
    int High = At + 1 < Text.size() ? hexValue(Text[At + 1]) : -1;
    int Low = At + 2 < Text.size() ? hexValue(Text[At + 2]) : -1;
    if (High < 0 || Low < 0 || High + Low == 0)
      return invalid("the path has a malformed percent sequence");
    Result += static_cast<char>(High * 16 + Low);
    At += 2;
  }
  return Result;
}

std::string targetOf(const requests::HttpRequest &Request) {
  return "/" + percentEncode(Request.Service) + "/" +
         percentEncode(Request.Key) + Request.Path;
}

absl::StatusOr<requests::CallerRequest>
parseCallerRequest(IncomingRequest Incoming) {
  requests::CallerRequest Result;
  auto Request = std::make_shared<requests::HttpRequest>();
  std::vector<requests::Header> &Headers = Incoming.Headers;
  if (absl::Status Parsed = parseTarget(Incoming.Target, *Request);
      !Parsed.ok())
    return Parsed;
  Result.OperationId = takeHeader(Headers, "Idempotency-Key").value_or("");
  if (Result.OperationId.size() > MaxOperationIdBytes)
    return invalid("Idempotency-Key is longer than 256 bytes");
  auto Timeout = takeNumber(Headers, "Oriole-Timeout-Ms");
  auto Tries = takeNumber(Headers, "Oriole-Max-Tries");
  auto Attempt = takeNumber(Headers, "Oriole-Attempt");
  auto Age = takeNumber(Headers, "Oriole-Age-Ms");
  for (const auto *Number : {&Timeout, &Tries, &Attempt, &Age})
    if (!Number->ok())
      return Number->status();
  if (*Timeout == std::uint64_t{0})
    return makeError(absl::StatusCode::kDeadlineExceeded, "parse request", "",
                     "Oriole-Timeout-Ms is 0: the deadline has passed");
  auto Count = [](std::optional<std::uint64_t> Number) {
    constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(Number.value_or(0), Max));
  };
  auto Millis = [](std::uint64_t Number) {
    return std::chrono::milliseconds(std::min(Number, MaxMillis));
  };
  if (*Timeout)
    Result.Timeout = Millis(**Timeout);
  if (*Age)
    Result.Age = Millis(**Age);
  Result.MaxTries = Count(*Tries);
  Result.Attempt = Count(*Attempt);
  Request->Method = std::move(Incoming.Method);
  Request->Headers = std::move(Headers);
  Request->Body = std::move(Incoming.Body);
  Result.Request = std::move(Request);
  return Result;
}

} // namespace orioledoor::wire

// Implements the parsing of the path and of the Oriole headers.
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
// One day. Larger values mean "no limit" and would overflow sums.
constexpr std::uint64_t MaxTimeMs = 86'400'000;

absl::Status invalidRequestError(std::string_view Message) {
  return makeError(absl::StatusCode::kInvalidArgument, "parse request", "",
                   Message);
}

// Removes the header from the list and returns its value, or nullopt if it is
// absent.
std::optional<std::string> extractHeader(std::vector<requests::Header> &Headers,
                                         std::string_view Name) {
  auto Found =
      std::ranges::find_if(Headers, [Name](const requests::Header &Field) {
        return internal::equalsIgnoreCase(Field.Name, Name);
      });
  if (Found == Headers.end())
    return std::nullopt;
  std::string Value = std::move(Found->Value);
  std::erase_if(Headers, [Name](const requests::Header &Field) {
    return internal::equalsIgnoreCase(Field.Name, Name);
  });
  return Value;
}

// Removes a header with a non-negative decimal number and returns the number,
// or nullopt if the header is absent.
absl::StatusOr<std::optional<std::uint64_t>>
extractNumber(std::vector<requests::Header> &Headers, std::string_view Name) {
  std::optional<std::string> Text = extractHeader(Headers, Name);
  if (!Text)
    return std::nullopt;
  std::uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  auto [Stop, Error] = std::from_chars(Text->data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return invalidRequestError(std::string(Name) +
                               " is not a whole number: " + *Text);
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

// Encodes all characters outside the unreserved set of RFC 3986, so that equal
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

// Splits Target into the decoded service and key and the raw remaining path.
absl::Status parseTarget(std::string_view Target,
                         requests::HttpRequest &Result) {
  if (Target.empty() || Target.front() != '/')
    return invalidRequestError("the path does not start with '/'");
  Target.remove_prefix(1);
  std::size_t QueryStart = std::min(Target.find('?'), Target.size());
  std::size_t ServiceEnd = Target.substr(0, QueryStart).find('/');
  if (ServiceEnd == std::string_view::npos)
    return invalidRequestError("the path has no key; expected /SERVICE/KEY");
  std::string_view KeyAndPath = Target.substr(ServiceEnd + 1);
  std::size_t KeyEnd =
      std::min(KeyAndPath.find_first_of("/?"), KeyAndPath.size());
  absl::StatusOr<std::string> Service =
      percentDecode(Target.substr(0, ServiceEnd));
  absl::StatusOr<std::string> Key = percentDecode(KeyAndPath.substr(0, KeyEnd));
  if (!Service.ok())
    return Service.status();
  if (!Key.ok())
    return Key.status();
  if (Service->empty() || Key->empty())
    return invalidRequestError("the path has no key; expected /SERVICE/KEY");
  if (Key->size() > MaxKeyBytes)
    return invalidRequestError("the key is longer than 1024 bytes");
  Result.Service = *std::move(Service);
  Result.Key = *std::move(Key);
  Result.Path = KeyAndPath.substr(KeyEnd);
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::string> percentDecode(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%') {
      Result += Text[Index];
      continue;
    }
    int High = Index + 1 < Text.size() ? hexValue(Text[Index + 1]) : -1;
    int Low = Index + 2 < Text.size() ? hexValue(Text[Index + 2]) : -1;
    if (High < 0 || Low < 0 || High + Low == 0)
      return invalidRequestError("the path has a malformed percent sequence");
    Result += static_cast<char>(High * 16 + Low);
    Index += 2;
  }
  return Result;
}

std::string requestTarget(const requests::HttpRequest &Request) {
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
  Result.OperationId = extractHeader(Headers, "Idempotency-Key").value_or("");
  if (Result.OperationId.size() > MaxOperationIdBytes)
    return invalidRequestError("Idempotency-Key is longer than 256 bytes");
  auto Timeout = extractNumber(Headers, "Oriole-Timeout-Ms");
  auto Tries = extractNumber(Headers, "Oriole-Max-Tries");
  auto Attempt = extractNumber(Headers, "Oriole-Attempt");
  auto Age = extractNumber(Headers, "Oriole-Age-Ms");
  for (const auto *Number : {&Timeout, &Tries, &Attempt, &Age})
    if (!Number->ok())
      return Number->status();
  if (*Timeout == std::uint64_t{0})
    return makeError(absl::StatusCode::kDeadlineExceeded, "parse request", "",
                     "Oriole-Timeout-Ms is 0: the deadline has passed");
  auto ClampToUint32 = [](std::optional<std::uint64_t> Number) {
    constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(Number.value_or(0), Max));
  };
  auto ToMilliseconds = [](std::uint64_t Number) {
    return std::chrono::milliseconds(std::min(Number, MaxTimeMs));
  };
  if (*Timeout)
    Result.Timeout = ToMilliseconds(**Timeout);
  if (*Age)
    Result.Age = ToMilliseconds(**Age);
  Result.MaxTries = ClampToUint32(*Tries);
  Result.Attempt = ClampToUint32(*Attempt);
  Request->Method = std::move(Incoming.Method);
  Request->Headers = std::move(Headers);
  Request->Body = std::move(Incoming.Body);
  Result.Request = std::move(Request);
  return Result;
}

} // namespace orioledoor::wire

// Implements header filtering, framing checks and error bodies.
#include "orioledoor/wire/internal/http_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

namespace orioledoor::wire::internal {
namespace {

constexpr std::array<std::string_view, 12> HopByHopNames = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "proxy-authorization",
    "proxy-authenticate",
    "content-length",
    "host",
    "expect"};

bool isHopByHop(std::string_view Name) {
  return std::ranges::any_of(HopByHopNames,
                             [Name](std::string_view HopByHopName) {
                               return equalsIgnoreCase(HopByHopName, Name);
                             });
}

std::string_view trimWhitespace(std::string_view Text) {
  auto IsSpace = [](char C) { return C == ' ' || C == '\t'; };
  while (!Text.empty() && IsSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && IsSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

// Returns whether Name is an element of the comma-separated List.
bool listContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    std::size_t Comma = List.find(',');
    if (equalsIgnoreCase(trimWhitespace(List.substr(0, Comma)), Name))
      return true;
    if (Comma == std::string_view::npos)
      return false;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

bool isToken(std::string_view Name) {
  return !Name.empty() && std::ranges::all_of(Name, [](char C) {
    return std::isalnum(static_cast<unsigned char>(C)) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(C) !=
               std::string_view::npos;
  });
}

bool isFieldValue(std::string_view Value) {
  return std::ranges::none_of(
      Value, [](char C) { return C == '\r' || C == '\n' || C == '\0'; });
}

template <typename Function>
void forEachHeader(const evkeyvalq &Headers, Function Visit) {
  for (const evkeyval *Entry = Headers.tqh_first; Entry;
       Entry = Entry->next.tqe_next)
    Visit(std::string_view(Entry->key), std::string_view(Entry->value));
}

} // namespace

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  auto Lower = [](char C) {
    return std::tolower(static_cast<unsigned char>(C));
  };
  return std::ranges::equal(Left, Right, {}, Lower, Lower);
}

const requests::Header *findHeader(const std::vector<requests::Header> &Headers,
                                   std::string_view Name) {
  auto Found =
      std::ranges::find_if(Headers, [Name](const requests::Header &Field) {
        return equalsIgnoreCase(Field.Name, Name);
      });
  return Found == Headers.end() ? nullptr : &*Found;
}

std::vector<requests::Header> endToEndHeaders(const evkeyvalq &Headers) {
  const char *Found = evhttp_find_header(&Headers, "Connection");
  std::string_view ConnectionOptions = Found ? Found : "";
  std::vector<requests::Header> Result;
  forEachHeader(Headers, [&](std::string_view Name, std::string_view Value) {
    if (!isHopByHop(Name) &&
        (ConnectionOptions.empty() || !listContains(ConnectionOptions, Name)))
      Result.push_back({std::string(Name), std::string(Value)});
  });
  return Result;
}

bool hasAmbiguousFraming(const evkeyvalq &Headers) {
  int ContentLengthCount = 0;
  int TransferEncodingCount = 0;
  bool Malformed = false;
  forEachHeader(Headers, [&](std::string_view Name, std::string_view Value) {
    // Parsers that ignore the space treat "Content-Length : 3" as framing.
    Malformed |= !isToken(Name);
    if (equalsIgnoreCase(Name, "content-length")) {
      ++ContentLengthCount;
      Malformed |= Value.empty() || !std::ranges::all_of(Value, [](char C) {
                     return C >= '0' && C <= '9';
                   });
    } else if (equalsIgnoreCase(Name, "transfer-encoding")) {
      ++TransferEncodingCount;
      Malformed |= !equalsIgnoreCase(Value, "chunked");
    }
  });
  return Malformed || ContentLengthCount + TransferEncodingCount > 1;
}

void addHeaders(evkeyvalq &Output,
                const std::vector<requests::Header> &Headers) {
  for (const requests::Header &Field : Headers)
    if (isToken(Field.Name) && isFieldValue(Field.Value) &&
        !isHopByHop(Field.Name))
      evhttp_add_header(&Output, Field.Name.c_str(), Field.Value.c_str());
}

std::string errorBody(std::string_view Outcome, std::string_view Step,
                      std::string_view Peer, std::string_view Message) {
  nlohmann::ordered_json Body = {{"outcome", Outcome},
                                 {"step", Step},
                                 {"peer", Peer},
                                 {"message", Message}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

std::string_view reasonPhrase(int Status) {
  static constexpr std::array<std::pair<int, std::string_view>, 22> Reasons = {{
      {200, "OK"},
      {201, "Created"},
      {202, "Accepted"},
      {204, "No Content"},
      {206, "Partial Content"},
      {304, "Not Modified"},
      {400, "Bad Request"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {408, "Request Timeout"},
      {409, "Conflict"},
      {410, "Gone"},
      {413, "Content Too Large"},
      {422, "Unprocessable Content"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {501, "Not Implemented"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
  }};
  auto Found = std::ranges::find(Reasons, Status,
                                 &std::pair<int, std::string_view>::first);
  return Found == Reasons.end() ? std::string_view("Status") : Found->second;
}

} // namespace orioledoor::wire::internal

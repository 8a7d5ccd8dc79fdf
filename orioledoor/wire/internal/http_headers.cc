// Header filtering, framing checks and error bodies.
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
  return std::ranges::any_of(HopByHopNames, [Name](std::string_view Known) {
    return equalNames(Known, Name);
  });
}

std::string_view trimmed(std::string_view Text) {
  auto IsSpace = [](char C) { return C == ' ' || C == '\t'; };
  while (!Text.empty() && IsSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && IsSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

// Whether Name is an element of the comma-separated List.
bool lists(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    std::size_t Comma = List.find(',');
    if (equalNames(trimmed(List.substr(0, Comma)), Name))
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

template <typename Function> void forEach(const evkeyvalq &In, Function Call) {
  for (const evkeyval *Entry = In.tqh_first; Entry;
       Entry = Entry->next.tqe_next)
    Call(std::string_view(Entry->key), std::string_view(Entry->value));
}

} // namespace

bool equalNames(std::string_view Left, std::string_view Right) {
  auto Lower = [](char C) {
    return std::tolower(static_cast<unsigned char>(C));
  };
  return std::ranges::equal(Left, Right, {}, Lower, Lower);
}

const requests::Header *findHeader(const std::vector<requests::Header> &In,
                                   std::string_view Name) {
  auto Found = std::ranges::find_if(In, [Name](const requests::Header &Each) {
    return equalNames(Each.Name, Name);
  });
  return Found == In.end() ? nullptr : &*Found;
}

std::vector<requests::Header> endToEndHeaders(const evkeyvalq &From) {
  const char *Found = evhttp_find_header(&From, "Connection");
  std::string_view Listed = Found ? Found : "";
  std::vector<requests::Header> Result;
  forEach(From, [&](std::string_view Name, std::string_view Value) {
    if (!isHopByHop(Name) && (Listed.empty() || !lists(Listed, Name)))
      Result.push_back({std::string(Name), std::string(Value)});
  });
  return Result;
}

bool hasAmbiguousFraming(const evkeyvalq &Headers) {
  int Lengths = 0;
  int Codings = 0;
  bool Malformed = false;
  forEach(Headers, [&](std::string_view Name, std::string_view Value) {
    // "Content-Length : 3" frames the message for parsers that drop the space.
    Malformed |= !isToken(Name);
    if (equalNames(Name, "content-length")) {
      ++Lengths;
      Malformed |= Value.empty() || !std::ranges::all_of(Value, [](char C) {
                     return C >= '0' && C <= '9';
                   });
    } else if (equalNames(Name, "transfer-encoding")) {
      ++Codings;
      Malformed |= !equalNames(Value, "chunked");
    }
  });
  return Malformed || Lengths + Codings > 1;
}

void addHeaders(evkeyvalq &To, const std::vector<requests::Header> &Headers) {
  for (const requests::Header &Each : Headers)
    if (isToken(Each.Name) && isFieldValue(Each.Value) &&
        !isHopByHop(Each.Name))
      evhttp_add_header(&To, Each.Name.c_str(), Each.Value.c_str());
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

std::string_view reasonOf(int Status) {
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

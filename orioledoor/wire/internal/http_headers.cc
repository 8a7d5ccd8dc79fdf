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

// Examines the headers of a message that determine where it ends.
class FramingCheck {
public:
  void add(std::string_view Name, std::string_view Value) {
    // Parsers that ignore the space treat "Content-Length : 3" as framing.
    this->Malformed |= !isToken(Name);
    if (equalsIgnoreCase(Name, "content-length")) {
      ++this->FramingHeaders;
      this->Malformed |=
          Value.empty() || !std::ranges::all_of(Value, [](char C) {
            return C >= '0' && C <= '9';
          });
    } else if (equalsIgnoreCase(Name, "transfer-encoding")) {
      ++this->FramingHeaders;
      this->Malformed |= !equalsIgnoreCase(Value, "chunked");
    }
  }

  bool isAmbiguous() const {
    return this->Malformed || this->FramingHeaders > 1;
  }

private:
  int FramingHeaders = 0;
  bool Malformed = false;
};

bool isForwardable(const requests::Header &Field) {
  return isToken(Field.Name) && isFieldValue(Field.Value) &&
         !isHopByHop(Field.Name);
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

std::vector<requests::Header>
endToEndHeaders(std::vector<requests::Header> Headers) {
  const requests::Header *Found = findHeader(Headers, "Connection");
  std::string ConnectionOptions = Found ? Found->Value : "";
  std::erase_if(Headers, [&ConnectionOptions](const requests::Header &Field) {
    return isHopByHop(Field.Name) ||
           listContains(ConnectionOptions, Field.Name);
  });
  return Headers;
}

bool hasAmbiguousFraming(const evkeyvalq &Headers) {
  FramingCheck Check;
  forEachHeader(Headers,
                [&Check](std::string_view Name, std::string_view Value) {
                  Check.add(Name, Value);
                });
  return Check.isAmbiguous();
}

bool hasAmbiguousFraming(const std::vector<requests::Header> &Headers) {
  FramingCheck Check;
  for (const requests::Header &Field : Headers)
    Check.add(Field.Name, Field.Value);
  return Check.isAmbiguous();
}

void addHeaders(evkeyvalq &Output,
                const std::vector<requests::Header> &Headers) {
  for (const requests::Header &Field : Headers)
    if (isForwardable(Field))
      evhttp_add_header(&Output, Field.Name.c_str(), Field.Value.c_str());
}

void appendHeaders(std::string &Output,
                   const std::vector<requests::Header> &Headers) {
  for (const requests::Header &Field : Headers)
    if (isForwardable(Field))
      Output.append(Field.Name).append(": ").append(Field.Value).append("\r\n");
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

// An HTTP request and answer as the request reducer sees them.
#ifndef ORIOLEDOOR_REQUESTS_HTTP_TYPES_H
#define ORIOLEDOOR_REQUESTS_HTTP_TYPES_H

#include <memory>
#include <string>
#include <vector>

namespace orioledoor::requests {

struct Header {
  std::string Name;
  std::string Value;
};

// Path holds the part after the key ("" or "/rest?query").
struct HttpRequest {
  std::string Method;
  std::string Service;
  std::string Key;
  std::string Path;
  // End-to-end headers only; hop-by-hop ones are dropped by the shell.
  std::vector<Header> Headers;
  std::string Body;
};

// Shared by the entry's record, its tries and the call, so that no retry copies
// the body. Never null in events, messages and effects.
using SharedRequest = std::shared_ptr<const HttpRequest>;

struct HttpAnswer {
  int Status = 0;
  std::vector<Header> Headers;
  std::string Body;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_HTTP_TYPES_H

// HTTP requests and answers as the request reducer sees them.
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

// Path holds the part after the key: "" or, for example, "/rest?query".
struct HttpRequest {
  std::string Method;
  std::string Service;
  std::string Key;
  std::string Path;
  // End-to-end headers only; the I/O layer removes the hop-by-hop headers.
  std::vector<Header> Headers;
  std::string Body;
};

// Shared by the pending request, its tries and the call to the target, so that
// retries don't copy the body. Never null in events, messages and effects.
using SharedRequest = std::shared_ptr<const HttpRequest>;

struct HttpAnswer {
  int Status = 0;
  std::vector<Header> Headers;
  std::string Body;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_HTTP_TYPES_H

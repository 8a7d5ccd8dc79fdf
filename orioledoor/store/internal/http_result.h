// The outcome of one HTTP call to the store.
#ifndef ORIOLEDOOR_STORE_INTERNAL_HTTP_RESULT_H
#define ORIOLEDOOR_STORE_INTERNAL_HTTP_RESULT_H

#include <string>

namespace orioledoor::internal {

enum class Transport {
  // An answer arrived whole; Code and Body are set.
  Answered,
  // No connection was established, so no byte of the request was sent.
  NotSent,
  // The connection failed after it was established.
  Broken,
  // No answer in time on an established connection.
  TimedOut,
};

struct HttpResult {
  Transport Outcome = Transport::NotSent;
  int Code = 0;
  std::string Body;
};

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_STORE_INTERNAL_HTTP_RESULT_H

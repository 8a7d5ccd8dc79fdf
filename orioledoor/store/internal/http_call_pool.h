// HTTP POST calls to one server, each on its own kept-alive connection.
//
//   HttpCallPool Pool(Base, Later, "127.0.0.1", 2379, 2s);
//   Pool.post("/v3/kv/range", Json, [](HttpResult Result) { ... });
#ifndef ORIOLEDOOR_STORE_INTERNAL_HTTP_CALL_POOL_H
#define ORIOLEDOOR_STORE_INTERNAL_HTTP_CALL_POOL_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/store/internal/deferred_queue.h"
#include "orioledoor/store/internal/http_result.h"
#include "orioledoor/store/internal/libevent_ptr.h"

struct evhttp_request;

namespace orioledoor::internal {

// Not thread-safe.
class HttpCallPool {
public:
  using Callback = std::function<void(HttpResult)>;

  // Timeout covers a whole call, including the time to connect.
  HttpCallPool(event_base *Base, DeferredQueue &Later, std::string_view Host,
               std::uint16_t Port, Duration Timeout);
  // Drops open calls without invoking their callbacks.
  ~HttpCallPool();
  HttpCallPool(const HttpCallPool &) = delete;
  HttpCallPool &operator=(const HttpCallPool &) = delete;

  // Which connection a call uses. A fresh one cannot have gone silent before.
  enum class Use { Kept, Fresh };

  // Invokes OnResult exactly once, from the loop.
  void post(std::string_view Path, std::string_view Json, Callback OnResult,
            Use Connection = Use::Kept);

  // Closes the kept connections that no call uses, since they may have gone
  // silent.
  void closeIdle() { this->Idle.clear(); }

private:
  struct Call;

  ConnectionPtr takeConnection(Use Wanted);
  void answered(Call &Open, evhttp_request *Request);
  void timedOut(Call &Open);
  void finish(Call &Open, HttpResult Result, bool Reusable);

  event_base *Base;
  DeferredQueue &Later;
  std::string Host;
  std::uint16_t Port;
  Duration Timeout;
  std::uint64_t LastId = 0;
  std::vector<ConnectionPtr> Idle;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> Calls;
};

// A POST request with a JSON body for "HOST:PORT"; Done as for
// evhttp_request_new. Never null.
evhttp_request *newJsonRequest(std::string_view Host, std::uint16_t Port,
                               std::string_view Json,
                               void (*Done)(evhttp_request *, void *),
                               void *Argument);

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_STORE_INTERNAL_HTTP_CALL_POOL_H

// Posts JSON to HTTP servers, each time over a new connection.
//
//   JsonPoster Poster(Events);
//   Poster.post("127.0.0.1:22100", "/oriole/announce", Json, [](int Code) {});
#ifndef ORIOLEDOOR_STANDINS_JSON_POSTER_H
#define ORIOLEDOOR_STANDINS_JSON_POSTER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

struct evhttp_connection;
struct evhttp_request;

namespace orioledoor::standins {

class Loop;

// Not thread-safe.
class JsonPoster {
public:
  // The HTTP status, or 0 if there was no answer within 2 s.
  using Callback = std::function<void(int)>;

  explicit JsonPoster(Loop &Events);
  // Cancels the pending posts without calling their callbacks.
  ~JsonPoster();
  JsonPoster(const JsonPoster &) = delete;
  JsonPoster &operator=(const JsonPoster &) = delete;

  // Peer is "IP:PORT".
  void post(std::string_view Peer, std::string_view Path, std::string_view Json,
            Callback OnAnswer);

private:
  struct PendingPost;

  Loop &Events;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<PendingPost>> PendingPosts;
};

// Splits "IP:PORT" into its parts; the port is 0 if Peer is malformed.
std::pair<std::string, std::uint16_t> splitPeer(std::string_view Peer);

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_JSON_POSTER_H

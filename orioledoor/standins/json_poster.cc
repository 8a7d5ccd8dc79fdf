// One evhttp client connection a post.
#include "orioledoor/standins/json_poster.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include "absl/strings/numbers.h"
#include "orioledoor/base/error.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::standins {
namespace {

constexpr int TimeoutSeconds = 2;

} // namespace

struct JsonPoster::Post {
  Post() = default;
  Post(const Post &) = delete;
  Post &operator=(const Post &) = delete;
  ~Post() { evhttp_connection_free(this->Connection); }

  JsonPoster *Owner = nullptr;
  std::uint64_t Id = 0;
  evhttp_connection *Connection = nullptr;
  Callback OnAnswer;
};

JsonPoster::JsonPoster(Loop &Events) : Events(Events) {}

JsonPoster::~JsonPoster() = default;

void JsonPoster::post(std::string_view Peer, std::string_view Path,
                      std::string_view Json, Callback OnAnswer) {
  auto [Host, Port] = splitPeer(Peer);
  auto Owned = std::make_unique<Post>();
  Post &Open = *Owned;
  Open.Owner = this;
  Open.Id = ++this->LastId;
  Open.OnAnswer = std::move(OnAnswer);
  Open.Connection = evhttp_connection_base_bufferevent_new(
      this->Events.base(), nullptr, nullptr, Host.c_str(), Port);
  evhttp_connection_set_timeout(Open.Connection, TimeoutSeconds);
  this->Posts.emplace(Open.Id, std::move(Owned));
  evhttp_request *Request = evhttp_request_new(
      [](evhttp_request *Answer, void *Argument) {
        auto *Ended = static_cast<Post *>(Argument);
        int Code = Answer ? evhttp_request_get_response_code(Answer) : 0;
        // The connection must not be freed inside its callback.
        Ended->Owner->Events.after(
            Duration(0), [Owner = Ended->Owner, Id = Ended->Id, Code] {
              auto Node = Owner->Posts.extract(Id);
              if (!Node.empty() && Node.mapped()->OnAnswer)
                Node.mapped()->OnAnswer(Code);
            });
      },
      &Open);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", std::string(Peer).c_str());
  evhttp_add_header(Headers, "Content-Type", "application/json");
  evhttp_add_header(Headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(Request), Json.data(),
               Json.size());
  evhttp_make_request(Open.Connection, Request, EVHTTP_REQ_POST,
                      std::string(Path).c_str());
}

std::pair<std::string, std::uint16_t> splitPeer(std::string_view Peer) {
  std::size_t Colon = Peer.rfind(':');
  std::uint32_t Port = 0;
  if (Colon == std::string_view::npos ||
      !absl::SimpleAtoi(toAbsl(Peer.substr(Colon + 1)), &Port) || Port > 65535)
    return {std::string(Peer), 0};
  return {std::string(Peer.substr(0, Colon)), static_cast<std::uint16_t>(Port)};
}

} // namespace orioledoor::standins

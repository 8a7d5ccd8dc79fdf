// Uses one evhttp client connection for each post.
#include "orioledoor/standins/json_poster.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include "absl/strings/numbers.h"
#include "orioledoor/base/error.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::standins {
namespace {

constexpr int AnswerTimeoutSeconds = 2;

} // namespace

struct JsonPoster::PendingPost {
  PendingPost() = default;
  PendingPost(const PendingPost &) = delete;
  PendingPost &operator=(const PendingPost &) = delete;
  ~PendingPost() { evhttp_connection_free(this->Connection); }

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
  auto NewPost = std::make_unique<PendingPost>();
  PendingPost &Pending = *NewPost;
  Pending.Owner = this;
  Pending.Id = ++this->LastId;
  Pending.OnAnswer = std::move(OnAnswer);
  Pending.Connection = evhttp_connection_base_bufferevent_new(
      this->Events.base(), nullptr, nullptr, Host.c_str(), Port);
  evhttp_connection_set_timeout(Pending.Connection, AnswerTimeoutSeconds);
  this->PendingPosts.emplace(Pending.Id, std::move(NewPost));
  evhttp_request *Request = evhttp_request_new(
      [](evhttp_request *Answer, void *Argument) {
        auto *Ended = static_cast<PendingPost *>(Argument);
        int Code = Answer ? evhttp_request_get_response_code(Answer) : 0;
        // Deferred: the connection must not be freed inside its callback.
        Ended->Owner->Events.after(
            Duration(0), [Owner = Ended->Owner, Id = Ended->Id, Code] {
              auto Node = Owner->PendingPosts.extract(Id);
              if (!Node.empty() && Node.mapped()->OnAnswer)
                Node.mapped()->OnAnswer(Code);
            });
      },
      &Pending);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", std::string(Peer).c_str());
  evhttp_add_header(Headers, "Content-Type", "application/json");
  evhttp_add_header(Headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(Request), Json.data(),
               Json.size());
  evhttp_make_request(Pending.Connection, Request, EVHTTP_REQ_POST,
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

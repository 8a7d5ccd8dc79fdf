// Reads the streamed answer of /v3/watch and checks that it keeps up.
#include "orioledoor/store/internal/watch_stream.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/time.h>

#include <algorithm>
#include <ranges>
#include <utility>

#include "absl/status/status.h"
#include "orioledoor/base/error.h"
#include "orioledoor/store/events.h"
#include "orioledoor/store/internal/gateway_codec.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::internal {
namespace {

// evhttp closes a connection without traffic after 50 s by default, although a
// watch may rightly be silent.
constexpr int WatchIdleSeconds = 24 * 3600;

} // namespace

WatchStream::WatchStream(event_base *Base, DeferredQueue &Later,
                         HttpCallPool &Pool, std::string_view Host,
                         std::uint16_t Port, const EtcdClientLimits &Limits,
                         EtcdClient::LogCallback OnLog,
                         StoreWatchCallback OnUpdate)
    : Base(Base), Later(Later), Pool(Pool), Host(Host), Port(Port),
      Peer(this->Host + ':' + std::to_string(Port)), Limits(Limits),
      OnLog(std::move(OnLog)), OnUpdate(std::move(OnUpdate)),
      Timer(evtimer_new(
          Base,
          [](evutil_socket_t, short, void *Self) {
            static_cast<WatchStream *>(Self)->timerExpired();
          },
          this)) {}

WatchStream::~WatchStream() = default;

void WatchStream::open(std::int64_t FromRevision) {
  this->Delivered = FromRevision > 0 ? FromRevision - 1 : 0;
  this->Connection.reset(evhttp_connection_base_bufferevent_new(
      this->Base, nullptr, nullptr, this->Host.c_str(), this->Port));
  evhttp_connection_set_timeout(this->Connection.get(), WatchIdleSeconds);
  evhttp_request *Request = newJsonRequest(
      this->Host, this->Port, encodeWatch(keys::Root, FromRevision),
      [](evhttp_request *, void *Self) {
        static_cast<WatchStream *>(Self)->end(
            absl::UnavailableError("the connection ended"));
      },
      this);
  evhttp_request_set_chunked_cb(Request, [](evhttp_request *Answer,
                                            void *Self) {
    evbuffer *Input = evhttp_request_get_input_buffer(Answer);
    std::size_t Size = evbuffer_get_length(Input);
    auto *Bytes = reinterpret_cast<const char *>(evbuffer_pullup(Input, -1));
    static_cast<WatchStream *>(Self)->received({Bytes, Size});
  });
  armTimer(this->Timer.get(), this->Limits.Call);
  if (evhttp_make_request(this->Connection.get(), Request, EVHTTP_REQ_POST,
                          "/v3/watch") != 0)
    this->end(absl::UnavailableError("no connection could be established"));
}

void WatchStream::received(std::string_view Bytes) {
  this->Partial += Bytes;
  std::size_t Complete = this->Partial.rfind('\n') + 1;
  std::string Lines = this->Partial.substr(0, Complete);
  this->Partial.erase(0, Complete);
  for (auto Line : std::views::split(std::string_view(Lines), '\n')) {
    if (this->Ended || Line.empty())
      continue;
    auto Message = decodeWatchMessage({Line.begin(), Line.end()}, this->Peer);
    if (Message.ok())
      this->handle(std::move(*Message));
    else
      this->end(Message.status());
  }
}

void WatchStream::handle(WatchMessage Message) {
  if (Message.Canceled) {
    bool Compacted = Message.CompactRevision > 0;
    return this->end(
        absl::Status(Compacted ? absl::StatusCode::kOutOfRange
                               : absl::StatusCode::kUnavailable,
                     "the store ended the watch: " + Message.CancelReason));
  }
  if (Message.Created) {
    this->Created = true;
    if (this->Delivered == 0)
      this->Delivered = Message.Revision;
    this->log(events::StoreWatchOpened, std::to_string(this->Delivered + 1));
  }
  // With changes, the header may be ahead of changes that are still to come
  // in further messages; only a notice of progress vouches for its revision.
  std::int64_t Revision = Message.Created ? 0 : Message.Revision;
  if (!Message.Changes.empty())
    Revision = std::ranges::max(
        Message.Changes | std::views::transform([](const StoreChange &Change) {
          return Change.Entry.ModRevision;
        }));
  if (Revision > 0) {
    this->Delivered = std::max(this->Delivered, Revision);
    this->deliver(
        {absl::OkStatus(), std::move(Message.Changes), this->Delivered});
  }
  armTimer(this->Timer.get(),
           this->isBehind() ? this->Limits.WatchLag : this->Limits.WatchProbe);
}

void WatchStream::timerExpired() {
  if (!this->Created)
    return this->end(absl::UnavailableError("no answer in time"));
  if (this->isBehind())
    return this->end(
        absl::UnavailableError("a change was not delivered in time"));
  if (!this->Probing)
    this->probe();
}

void WatchStream::probe() {
  this->Probing = true;
  // Kept connections may have gone silent together with the watch.
  this->Pool.post(
      "/v3/kv/range", encodePrefixState(keys::Root),
      [this, Token = std::weak_ptr(this->Alive),
       AtStart = this->Delivered](const HttpResult &Result) {
        if (Token.expired() || this->Ended)
          return;
        this->Probing = false;
        if (auto State = decodePrefixState(Result); State.ok())
          this->probed(*State, AtStart);
        armTimer(this->Timer.get(), this->isBehind() ? this->Limits.WatchLag
                                                     : this->Limits.WatchProbe);
      },
      HttpCallPool::Use::Fresh);
}

void WatchStream::probed(const PrefixState &State,
                         std::int64_t DeliveredAtStart) {
  // A deleted key shows only in the count. A delete between two reads is
  // missing if nothing was delivered since the start of the earlier one.
  bool Deleted = State.Count < this->LastCount &&
                 this->Delivered == this->DeliveredAtLastProbe;
  this->LastCount = State.Count;
  this->DeliveredAtLastProbe = DeliveredAtStart;
  this->Expected =
      std::max(State.NewestRevision, Deleted ? this->Delivered + 1 : 0);
}

void WatchStream::end(const absl::Status &Status) {
  if (this->Ended)
    return;
  this->Ended = true;
  evtimer_del(this->Timer.get());
  // What broke the watch may have broken them as well.
  this->Pool.closeIdle();
  this->log(events::StoreWatchEnded, std::string(Status.message()));
  this->deliver({makeError(Status.code(), "/v3/watch", this->Peer,
                           toStd(Status.message())),
                 {},
                 this->Delivered});
}

void WatchStream::deliver(StoreWatchUpdate Update) {
  this->Later.push([this, Token = std::weak_ptr(this->Alive),
                    Update = std::move(Update)]() mutable {
    if (Token.expired())
      return;
    if (!Update.Status.ok())
      this->Connection.reset();
    // The callback may destroy the stream, and itself with it.
    StoreWatchCallback Callback = this->OnUpdate;
    Callback(std::move(Update));
  });
}

void WatchStream::log(const EventDefinition &Event, std::string Detail) {
  if (this->OnLog)
    this->OnLog({&Event,
                 {{"store", this->Peer},
                  {&Event == &events::StoreWatchOpened ? "from" : "reason",
                   std::move(Detail)}}});
}

} // namespace orioledoor::internal

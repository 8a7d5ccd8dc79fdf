// Composes the call pool, the gateway's JSON and the watch.
#include "orioledoor/store/etcd_client.h"

#include <string>
#include <utility>

#include "orioledoor/store/events.h"
#include "orioledoor/store/internal/deferred_queue.h"
#include "orioledoor/store/internal/gateway_codec.h"
#include "orioledoor/store/internal/http_call_pool.h"
#include "orioledoor/store/internal/watch_stream.h"

namespace orioledoor {

static_assert(StoreClient<EtcdClient>);

struct EtcdClient::Impl {
  Impl(event_base *Base, std::string_view Host, std::uint16_t Port,
       LogCallback OnLog, const EtcdClientLimits &Limits)
      : Base(Base), Host(Host), Port(Port),
        Peer(this->Host + ':' + std::to_string(Port)), OnLog(std::move(OnLog)),
        Limits(Limits), Later(Base),
        Pool(Base, this->Later, Host, Port, Limits.Call) {}

  event_base *Base;
  std::string Host;
  std::uint16_t Port;
  std::string Peer;
  LogCallback OnLog;
  EtcdClientLimits Limits;
  internal::DeferredQueue Later;
  internal::HttpCallPool Pool;
  std::unique_ptr<internal::WatchStream> Stream;
};

EtcdClient::EtcdClient(event_base *Base, std::string_view Host,
                       std::uint16_t Port, LogCallback OnLog,
                       EtcdClientLimits Limits)
    : Body(std::make_unique<Impl>(Base, Host, Port, std::move(OnLog), Limits)) {
}

EtcdClient::~EtcdClient() = default;

void EtcdClient::call(StoreRequest Request, StoreReplyCallback OnReply) {
  std::string Json = internal::encodeRequest(Request.Body);
  std::string Path(internal::gatewayPath(Request.Body));
  this->Body->Pool.post(
      Path, Json,
      [Body = this->Body.get(), Request = std::move(Request),
       OnReply = std::move(OnReply)](const internal::HttpResult &Result) {
        StoreReply Reply = internal::decodeReply(Request, Result, Body->Peer);
        if (!Reply.Status.ok() && Body->OnLog)
          Body->OnLog({&events::StoreCallFailed,
                       {{"error", std::string(Reply.Status.message())}}});
        OnReply(std::move(Reply));
      });
}

void EtcdClient::watch(std::int64_t FromRevision, StoreWatchCallback OnUpdate) {
  Impl &Parts = *this->Body;
  Parts.Stream = std::make_unique<internal::WatchStream>(
      Parts.Base, Parts.Later, Parts.Pool, Parts.Host, Parts.Port, Parts.Limits,
      Parts.OnLog, std::move(OnUpdate));
  Parts.Stream->open(FromRevision);
}

void EtcdClient::stopWatching() { this->Body->Stream.reset(); }

} // namespace orioledoor

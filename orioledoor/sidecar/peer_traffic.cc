// Names of the counters.
#include "orioledoor/sidecar/peer_traffic.h"

#include <string>
#include <string_view>

namespace orioledoor::sidecar {
namespace {

// In the order of the alternatives of routing::Message.
constexpr std::array<std::string_view, std::variant_size_v<routing::Message>>
    KindNames = {"forward",        "result",        "cancel",        "status",
                 "crash",          "key-load",      "key-map",       "resume",
                 "fetch-body",     "body",          "fetch-config",  "config",
                 "key-map-change", "node",          "crash-cleared", "confirm",
                 "confirmed",      "target-leaving"};

constexpr std::array<std::string_view, routing::DistanceCount> DistanceNames = {
    "same-domain", "same-region", "other-region"};

} // namespace

void PeerTraffic::recordSent(const routing::Message &Sent,
                             routing::Distance Where, std::size_t Bytes) {
  auto Place = static_cast<std::size_t>(Where);
  Counters &Found = this->ByKind[Sent.index()][Place];
  if (!Found.Bytes) {
    std::string Labels = "kind=\"" + std::string(KindNames[Sent.index()]) +
                         "\",distance=\"" + std::string(DistanceNames[Place]) +
                         "\"";
    Found.Bytes =
        &this->Metrics.counter("oriole_peer_sent_bytes_total", Labels);
    Found.Messages =
        &this->Metrics.counter("oriole_peer_sent_messages_total", Labels);
  }
  Found.Bytes->add(Bytes);
  Found.Messages->add(1);
}

} // namespace orioledoor::sidecar

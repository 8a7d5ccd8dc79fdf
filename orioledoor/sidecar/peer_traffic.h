// Counts the bytes of messages to other nodes by kind and distance, since
// traffic between failure domains and regions is paid by volume.
//
//   PeerTraffic Traffic(Metrics);
//   Traffic.recordSent(Message, routing::Distance::OtherRegion, Bytes);
#ifndef ORIOLEDOOR_SIDECAR_PEER_TRAFFIC_H
#define ORIOLEDOOR_SIDECAR_PEER_TRAFFIC_H

#include <array>
#include <cstddef>
#include <variant>

#include "orioledoor/routing/message.h"
#include "orioledoor/routing/target_directory.h"
#include "orioledoor/telemetry/metrics.h"

namespace orioledoor::sidecar {

// Not thread-safe.
class PeerTraffic {
public:
  // Metrics must outlive the object.
  explicit PeerTraffic(MetricsRegistry &Metrics) : Metrics(Metrics) {}

  // Adds a message of Bytes encoded bytes, without the headers of its batch.
  void recordSent(const routing::Message &Sent, routing::Distance Where,
                  std::size_t Bytes);

private:
  struct Counters {
    Counter *Bytes = nullptr;
    Counter *Messages = nullptr;
  };

  MetricsRegistry &Metrics;
  // Found once, since a look-up by name takes longer than the rest of a send.
  std::array<std::array<Counters, routing::DistanceCount>,
             std::variant_size_v<routing::Message>>
      ByKind{};
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_PEER_TRAFFIC_H

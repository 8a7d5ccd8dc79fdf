// Carries frames between nodes over nng PUSH/PULL sockets on TCP, inside a
// libevent loop.
//
//   auto Opened = PeerTransport::open(Base, {.Address = "tcp://10.0.0.1:7000"},
//                                     Callbacks);
//   (*Opened)->send("tcp://10.0.0.2:7000", Channel::Control, Payload);
//
// One push socket a peer is dialled when first needed. Frames that are sent
// within one turn of the event loop share an nng message. Every batch
// acknowledges the newest one received from its receiver, so a connection that
// swallows data is noticed: a peer that left a batch unacknowledged for
// OverdueAfter, or from which an answer is awaited and nothing was heard for
// that time, is pinged; without an acknowledgement within PingTimeout, and the
// time that the bytes on their way take over a slow link, the socket is closed,
// reported as lost and dialled afresh with the next send.
#ifndef ORIOLEDOOR_WIRE_PEER_TRANSPORT_H
#define ORIOLEDOOR_WIRE_PEER_TRANSPORT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/telemetry/log_record.h"
#include "orioledoor/wire/frame.h"

struct event_base;

namespace orioledoor::wire {

// Names a frame to its sender when it comes back as not sent.
struct FrameTag {
  std::uint64_t Scope = 0;
  std::uint64_t Id = 0;

  friend bool operator==(const FrameTag &, const FrameTag &) = default;
};

// Frames and their payload bytes with headers, of one channel.
struct ChannelCounters {
  std::uint64_t FramesOut = 0;
  std::uint64_t FramesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t BytesIn = 0;
};

struct TransportCounters {
  ChannelCounters Control;
  ChannelCounters Requests;
  // nng messages; the bytes are those of batch headers and empty batches.
  std::uint64_t BatchesOut = 0;
  std::uint64_t BatchesIn = 0;
  std::uint64_t HeaderBytesOut = 0;
  std::uint64_t HeaderBytesIn = 0;
  std::uint64_t Pings = 0;
  std::uint64_t ConnectionsLost = 0;
  std::uint64_t FramesNotSent = 0;
  std::uint64_t UnknownVersions = 0;
  std::uint64_t Malformed = 0;
};

struct PeerTransportOptions {
  // "tcp://IP:PORT": listened on, and sent to peers as the address to answer.
  std::string Address;
  Duration OverdueAfter = std::chrono::milliseconds(250);
  Duration PingTimeout = std::chrono::milliseconds(300);
  // A frame that waited this long for a connection was not sent. Two round
  // trips between regions take 32 ms.
  Duration ConnectTimeout = std::chrono::milliseconds(300);
  // A batch is handed over before it grows beyond this; 0 sends every frame in
  // a message of its own.
  std::size_t BatchBytes = 64U << 10;
};

struct PeerTransportCallbacks {
  // The views end with the call.
  std::function<void(std::string_view From, Channel Kind,
                     std::string_view Payload)>
      Received;
  // The frame was certainly not sent. Never called from within send().
  std::function<void(std::string_view To, Channel Kind, FrameTag Tag)> NotSent;
  // The connection to Peer is gone; frames handed to it may be lost.
  std::function<void(std::string_view Peer)> Lost;
  std::function<void(const LogRecord &Record)> Log;
};

// Not thread-safe: all calls and callbacks happen on the loop's thread.
class PeerTransport {
public:
  // Listens on Options.Address. Errors: kUnavailable with nng's reason.
  static absl::StatusOr<std::unique_ptr<PeerTransport>>
  open(event_base *Base, PeerTransportOptions Options,
       PeerTransportCallbacks Callbacks);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  // Queues a frame; never blocks. Tag comes back with NotSent.
  void send(std::string_view To, Channel Kind, std::string_view Payload,
            FrameTag Tag = {});

  // An answer from Peer is awaited until the given time at most; answered()
  // ends one such wait.
  void awaitAnswer(std::string_view Peer, Instant Until);
  void answered(std::string_view Peer);

  // Sends pings and finds lost connections. Call every 20 ms.
  void tick(Instant Now);

  // Hands over all queued frames now instead of at the end of the turn.
  void flush();

  const TransportCounters &counters() const;

private:
  struct Impl;
  explicit PeerTransport(std::unique_ptr<Impl> Own);
  std::unique_ptr<Impl> Own;
};

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_PEER_TRANSPORT_H

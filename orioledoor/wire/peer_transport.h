// Exchanges frames between nodes over nng PUSH/PULL sockets on TCP, inside a
// libevent loop.
//
//   auto Opened = PeerTransport::open(Base, {.Address = "tcp://10.0.0.1:7000"},
//                                     Callbacks);
//   (*Opened)->send("tcp://10.0.0.2:7000", Channel::Control, Payload);
//
// Each peer has one push socket, which is dialed on first use. Frames that are
// sent within one iteration of the event loop share an nng message.
//
// Every batch acknowledges the newest batch received from its recipient, which
// detects connections that accept data and do not deliver it. A peer is pinged
// if it left a batch unacknowledged for PingAfter, or if an answer is expected
// from it and nothing was received for that time. If the ping is not
// acknowledged within PingTimeout plus the time that the bytes in flight take
// on a slow link, the socket is closed and reported as lost. The next send
// dials a new connection.
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

// Identifies a frame to its sender. The transport does not interpret the fields
// and passes them back with OnNotSent.
struct FrameTag {
  std::uint64_t Scope = 0;
  std::uint64_t Id = 0;

  friend bool operator==(const FrameTag &, const FrameTag &) = default;
};

// Frames of one channel; the bytes include payloads and frame headers.
struct ChannelCounters {
  std::uint64_t FramesOut = 0;
  std::uint64_t FramesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t BytesIn = 0;
};

struct TransportCounters {
  ChannelCounters Control;
  ChannelCounters Requests;
  // Counts nng messages; the header bytes are those of batch headers and of
  // batches without frames.
  std::uint64_t BatchesOut = 0;
  std::uint64_t BatchesIn = 0;
  std::uint64_t HeaderBytesOut = 0;
  std::uint64_t HeaderBytesIn = 0;
  std::uint64_t Pings = 0;
  std::uint64_t ConnectionsLost = 0;
  // Frames on lost connections that their recipients had not acknowledged.
  // Those may have been delivered or not.
  std::uint64_t FramesUnacknowledged = 0;
  std::uint64_t FramesNotSent = 0;
  // Received batches that were dropped.
  std::uint64_t UnknownVersions = 0;
  std::uint64_t Malformed = 0;
};

struct PeerTransportOptions {
  // "tcp://IP:PORT". Peers send their frames to it.
  std::string Address;
  // Address to listen on, if it is not Address itself.
  std::string ListenAddress{};
  // Time without an acknowledgment or an expected answer after which a peer is
  // pinged.
  Duration PingAfter = std::chrono::milliseconds(250);
  // Time after which an unacknowledged ping means that the connection is lost.
  Duration PingTimeout = std::chrono::milliseconds(300);
  // Time after which a frame that waits for a connection is reported as not
  // sent. Two round trips between regions take 32 ms.
  Duration ConnectTimeout = std::chrono::milliseconds(300);
  // A batch is sent before it grows beyond this size; 0 sends every frame in a
  // message of its own.
  std::size_t FlushThresholdBytes = 64U << 10;
};

struct PeerTransportCallbacks {
  // Invoked for each received frame. The views are valid only during the call.
  std::function<void(std::string_view PeerAddress, Channel FrameChannel,
                     std::string_view Payload)>
      OnFrame;
  // Invoked if the frame was definitely not sent. Never called from within
  // send().
  std::function<void(std::string_view PeerAddress, Channel FrameChannel,
                     FrameTag Tag)>
      OnNotSent;
  // Invoked when the connection to a peer is lost; frames passed to it may be
  // lost.
  std::function<void(std::string_view PeerAddress)> OnConnectionLost;
  // Invoked after the frames of the first batch that arrives over a new
  // connection from a peer. What the peer sent over an earlier one may be lost,
  // of which only the peer is told by OnConnectionLost. Optional.
  std::function<void(std::string_view PeerAddress)> OnNewConnection{};
  std::function<void(const LogRecord &Record)> OnLog;
};

// Not thread-safe: all calls and callbacks happen on the thread of the event
// loop.
class PeerTransport {
public:
  // Listens on Options.ListenAddress, or on Options.Address if that is empty.
  //
  // Errors: kUnavailable with the reason that nng gives.
  static absl::StatusOr<std::unique_ptr<PeerTransport>>
  open(event_base *Base, PeerTransportOptions Options,
       PeerTransportCallbacks Callbacks);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  // Queues a frame; never blocks. OnNotSent passes Tag back.
  void send(std::string_view PeerAddress, Channel FrameChannel,
            std::string_view Payload, FrameTag Tag = {});

  // expectAnswer() states that a peer will send an answer before Until at the
  // latest, so that its silence is detected; recordAnswer() ends one such wait.
  void expectAnswer(std::string_view PeerAddress, Instant Until);
  void recordAnswer(std::string_view PeerAddress);

  // Sends pings and detects lost connections. Must be called every 20 ms.
  void tick(Instant Now);

  // Sends all queued frames now instead of at the end of the iteration of the
  // event loop.
  void flush();

  // Returns the number of frames that are queued, or that their recipients have
  // not acknowledged on connections that are not lost. Linear in the number of
  // peers and of unacknowledged batches.
  std::size_t undeliveredFrames() const;

  const TransportCounters &counters() const;

private:
  struct Impl;
  explicit PeerTransport(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_PEER_TRANSPORT_H

// Implements PeerTransport: the sockets of the peers and the detection of lost
// connections.
#include "orioledoor/wire/peer_transport.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <functional>
#include <limits>
#include <numeric>
#include <optional>
#include <random>
#include <ranges>
#include <unordered_map>
#include <utility>
#include <vector>

#include <event2/event.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include "orioledoor/base/error.h"
#include "orioledoor/wire/events.h"
#include "orioledoor/wire/internal/event_ptr.h"
#include "orioledoor/wire/internal/message_port.h"
#include "orioledoor/wire/internal/peer.h"
#include "orioledoor/wire/internal/pipe_notifier.h"
#include "orioledoor/wire/internal/socket_closer.h"

namespace orioledoor::wire {
namespace {

using internal::Peer;
using internal::QueuedFrame;

// Number of batches that nng buffers for a connection that does not drain.
// Frames of further batches are reported as not sent.
constexpr int SendBufferBatches = 128;
constexpr int ReceiveBufferBatches = 512;
// Limits the messages received in one iteration of the event loop, so that
// timers and callers are served under load.
constexpr int MaxReceivesPerLoopIteration = 256;
// Size from which a batch requests an immediate acknowledgment. The
// acknowledgment shows the sender that the connection makes progress, if only
// slowly.
constexpr std::size_t ImmediateAckBatchBytes = 16U << 10;
// Maximum number of frames queued for a peer that is not connected.
constexpr std::size_t MaxQueuedFrames = 4096;
// A longer gap between ticks means that this process was paused and that
// acknowledgments may be waiting unread. Two thirds of the ping timeout.
constexpr Duration MaxTickGap = std::chrono::milliseconds(200);
// Time without traffic after which the state of a peer is dropped and its
// socket is closed.
constexpr Duration IdlePeerTimeout = std::chrono::minutes(5);
constexpr std::size_t MaxPeers = 8192;

struct RejectedFrame {
  std::string PeerAddress;
  Channel FrameChannel;
  FrameTag Tag;
};

struct AddressHash {
  using is_transparent = void; // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>{}(Text);
  }
};

// Returns a random epoch, so that a restarted process does not use those of its
// predecessor, however soon it starts. Not 0, and far from the largest value.
std::uint32_t initialEpoch() { return (std::random_device()() >> 1) | 1U; }

} // namespace

struct PeerTransport::Impl {
  event_base *Base = nullptr;
  PeerTransportOptions Options;
  PeerTransportCallbacks Callbacks;
  TransportCounters Counters;
  internal::PipeNotifier Notifier;
  // Declared after Notifier, which must outlive the sockets that Closer closes.
  internal::SocketCloser Closer;
  internal::MessagePort Messages;
  std::optional<nng_socket> Inbound;
  internal::EventPtr ReceiveEvent;
  internal::EventPtr PipeEvent;
  internal::EventPtr FlushEvent;
  std::unordered_map<std::string, std::unique_ptr<Peer>, AddressHash,
                     std::equal_to<>>
      Peers;
  std::unordered_map<int, Peer *> PeersBySocket;
  std::vector<Peer *> PeersToFlush;
  std::vector<RejectedFrame> RejectedFrames;
  std::uint32_t NextEpoch = initialEpoch();
  Instant LastTick;

  ~Impl() {
    for (auto &Entry : this->Peers)
      this->closeSocket(*Entry.second);
    if (this->Inbound)
      nng_close(*this->Inbound);
  }

  ChannelCounters &countersOf(Channel FrameChannel) {
    return FrameChannel == Channel::Control ? this->Counters.Control
                                            : this->Counters.Requests;
  }

  void log(const EventDefinition &Event, std::vector<LogField> Fields) const {
    if (this->Callbacks.OnLog)
      this->Callbacks.OnLog({&Event, std::move(Fields)});
  }

  // Returns the peer with Address and adds it if it is unknown. Returns null if
  // MaxPeers are known.
  Peer *findOrAddPeer(std::string_view Address) {
    auto Found = this->Peers.find(Address);
    if (Found != this->Peers.end())
      return Found->second.get();
    if (this->Peers.size() >= MaxPeers)
      return nullptr;
    auto Added = std::make_unique<Peer>();
    Added->Address = Address;
    Added->LastUsedAt = readClock();
    return this->Peers.emplace(Address, std::move(Added)).first->second.get();
  }

  void scheduleFlush(Peer &Remote) {
    if (!std::exchange(Remote.FlushScheduled, true))
      this->PeersToFlush.push_back(&Remote);
    event_active(this->FlushEvent.get(), 0, 0);
  }

  void rejectFrame(std::string_view PeerAddress, Channel FrameChannel,
                   FrameTag Tag) {
    ++this->Counters.FramesNotSent;
    this->RejectedFrames.push_back(
        {std::string(PeerAddress), FrameChannel, Tag});
    event_active(this->FlushEvent.get(), 0, 0);
  }

  void rejectQueuedFrames(Peer &Remote) {
    for (const QueuedFrame &Frame : Remote.Frames)
      this->rejectFrame(Remote.Address, Frame.FrameChannel, Frame.Tag);
    Remote.Frames.clear();
    Remote.Batch.clear();
  }

  void closeSocket(Peer &Remote) {
    if (!Remote.Socket)
      return;
    this->PeersBySocket.erase(nng_socket_id(*Remote.Socket));
    this->Closer.close(*Remote.Socket);
    Remote.Socket.reset();
    Remote.Connected = false;
    Remote.PingSentAt.reset();
    Remote.PingDue = false;
  }

  static void onPipe(nng_pipe Pipe, nng_pipe_ev Event, void *Context) {
    static_cast<internal::PipeNotifier *>(Context)->report(
        {nng_socket_id(nng_pipe_socket(Pipe)), Event == NNG_PIPE_EV_ADD_POST});
  }

  bool dial(Peer &Remote) {
    nng_socket Socket;
    if (nng_push0_open(&Socket) != 0)
      return false;
    nng_socket_set_int(Socket, NNG_OPT_SENDBUF, SendBufferBatches);
    // Each socket is used for one connection attempt; after a failed one a new
    // socket is opened, because the dialer waits for the connect timeout of the
    // system, which is minutes.
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, 50);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, 100);
    nng_pipe_notify(Socket, NNG_PIPE_EV_ADD_POST, onPipe, &this->Notifier);
    nng_pipe_notify(Socket, NNG_PIPE_EV_REM_POST, onPipe, &this->Notifier);
    if (nng_dial(Socket, Remote.Address.c_str(), nullptr, NNG_FLAG_NONBLOCK) !=
        0) {
      nng_close(Socket);
      return false;
    }
    Remote.Socket = Socket;
    Remote.resetForNewConnection(this->NextEpoch++, readClock());
    this->PeersBySocket[nng_socket_id(Socket)] = &Remote;
    return true;
  }

  void sendBatch(Peer &Remote, Instant Now) {
    if (Remote.Batch.empty()) {
      if (!Remote.AckDue && !Remote.PingDue)
        return;
      Remote.Batch = startBatch(this->Options.Address);
    }
    BatchHeader Header{.Epoch = Remote.Epoch,
                       .Sequence = Remote.LastSentSequence + 1,
                       .AckEpoch = Remote.ReceivedEpoch,
                       .AckSequence = Remote.ReceivedSequence,
                       .WantsAck =
                           Remote.PingDue ||
                           Remote.Batch.size() >= ImmediateAckBatchBytes};
    finishBatch(Remote.Batch, Header);
    if (!this->Messages.send(*Remote.Socket, Remote.Batch)) {
      this->rejectQueuedFrames(Remote);
      Remote.Batch.clear();
      return;
    }
    Remote.recordSentBatch(Remote.Batch.size(), Remote.Frames.size());
    if (!Remote.Frames.empty()) {
      if (Remote.AckedSequence >= Remote.LastSequenceWithFrames)
        Remote.UnackedSince = Now;
      Remote.LastSequenceWithFrames = Remote.LastSentSequence;
    }
    Remote.AckDue = false;
    if (std::exchange(Remote.PingDue, false)) {
      Remote.PingSentAt = Now;
      Remote.PingSequence = Remote.LastSentSequence;
      ++this->Counters.Pings;
    }
    ++this->Counters.BatchesOut;
    std::size_t HeaderBytes = Remote.Batch.size();
    for (const QueuedFrame &Frame : Remote.Frames) {
      ChannelCounters &FrameCounters = this->countersOf(Frame.FrameChannel);
      ++FrameCounters.FramesOut;
      FrameCounters.BytesOut += Frame.Bytes;
      HeaderBytes -= Frame.Bytes;
    }
    this->Counters.HeaderBytesOut += HeaderBytes;
    Remote.LastUsedAt = Now;
    Remote.Frames.clear();
    Remote.Batch.clear();
  }

  void send(std::string_view PeerAddress, Channel FrameChannel,
            std::string_view Payload, FrameTag Tag) {
    bool Valid = !PeerAddress.empty() &&
                 PeerAddress.size() <= MaxAddressBytes &&
                 Payload.size() <= MaxPayloadBytes;
    Peer *Found = Valid ? this->findOrAddPeer(PeerAddress) : nullptr;
    if (!Found) {
      this->rejectFrame(PeerAddress, FrameChannel, Tag);
      return;
    }
    std::size_t Limit =
        Found->Connected ? this->Options.FlushThresholdBytes : MaxPayloadBytes;
    if (!Found->Frames.empty() &&
        (Found->Batch.size() + Payload.size() > Limit ||
         Found->Frames.size() >= MaxQueuedFrames)) {
      if (!Found->Connected) {
        this->rejectFrame(PeerAddress, FrameChannel, Tag);
        return;
      }
      this->sendBatch(*Found, readClock());
    }
    if (Found->Batch.empty())
      Found->Batch = startBatch(this->Options.Address);
    std::size_t Before = Found->Batch.size();
    appendFrame(Found->Batch, FrameChannel, Payload);
    Found->Frames.push_back({FrameChannel, Tag, Found->Batch.size() - Before});
    this->scheduleFlush(*Found);
  }

  void flush() {
    Instant Now = readClock();
    for (Peer *Remote : std::exchange(this->PeersToFlush, {})) {
      Remote->FlushScheduled = false;
      if (!Remote->Socket && !this->dial(*Remote)) {
        this->rejectQueuedFrames(*Remote);
        Remote->AckDue = false;
        continue;
      }
      if (Remote->Connected)
        this->sendBatch(*Remote, Now);
    }
    for (const RejectedFrame &Frame : std::exchange(this->RejectedFrames, {}))
      this->Callbacks.OnNotSent(Frame.PeerAddress, Frame.FrameChannel,
                                Frame.Tag);
  }

  void dropConnection(Peer &Remote, std::string_view Reason) {
    std::size_t Unacknowledged = Remote.framesInFlight();
    Duration Silence = readClock() - Remote.LastReceivedAt;
    this->closeSocket(Remote);
    this->rejectQueuedFrames(Remote);
    ++this->Counters.ConnectionsLost;
    this->Counters.FramesUnacknowledged += Unacknowledged;
    this->log(PeerConnectionLost,
              {{"peer", Remote.Address},
               {"reason", std::string(Reason)},
               {"unacknowledged", std::to_string(Unacknowledged)},
               {"silent_ms", std::to_string(Silence.count() / 1000)}});
    this->Callbacks.OnConnectionLost(Remote.Address);
  }

  void onPipeChanges() {
    for (internal::PipeChange Change : this->Notifier.takeChanges()) {
      auto Found = this->PeersBySocket.find(Change.Socket);
      if (Found == this->PeersBySocket.end())
        continue;
      Peer &Remote = *Found->second;
      if (Change.Connected) {
        Remote.Connected = true;
        Remote.ReportedUnreachable = false;
        Remote.LastReceivedAt = readClock();
        this->scheduleFlush(Remote);
      } else {
        this->dropConnection(Remote, "closed by the peer");
      }
    }
  }

  void onBatch(const BatchView &Batch, std::uint32_t Pipe) {
    Peer *Remote = this->findOrAddPeer(Batch.Sender);
    if (!Remote)
      return;
    Remote->LastReceivedAt = readClock();
    Remote->LastUsedAt = Remote->LastReceivedAt;
    const BatchHeader &Header = Batch.Header;
    bool IsNewConnection = Header.Epoch != Remote->ReceivedEpoch &&
                           Header.Epoch != Remote->PreviousReceivedEpoch;
    if (Header.Epoch == Remote->ReceivedEpoch) {
      Remote->ReceivedSequence = Header.Sequence;
    } else if (IsNewConnection) {
      // The sender dialed a new connection. On this side its previous
      // connection may stay half-open forever.
      if (Remote->ReceivedPipeId != 0 && Remote->ReceivedPipeId != Pipe)
        nng_pipe_close(nng_pipe{Remote->ReceivedPipeId});
      Remote->PreviousReceivedEpoch = Remote->ReceivedEpoch;
      Remote->ReceivedEpoch = Header.Epoch;
      Remote->ReceivedSequence = Header.Sequence;
      Remote->ReceivedPipeId = Pipe;
    }
    if (Header.AckEpoch == Remote->Epoch &&
        Header.AckSequence - Remote->AckedSequence <=
            Remote->LastSentSequence - Remote->AckedSequence) {
      Remote->recordAcknowledgment(Header.AckSequence, Remote->LastReceivedAt);
    }
    if (Header.WantsAck) {
      Remote->AckDue = true;
      this->scheduleFlush(*Remote);
    }
    for (const FrameView &Frame : Batch.Frames)
      this->Callbacks.OnFrame(Batch.Sender, Frame.FrameChannel, Frame.Payload);
    if (IsNewConnection && this->Callbacks.OnNewConnection)
      this->Callbacks.OnNewConnection(Batch.Sender);
  }

  void countReceivedBatch(const BatchView &Batch, std::size_t Bytes) {
    ++this->Counters.BatchesIn;
    for (const FrameView &Frame : Batch.Frames) {
      ChannelCounters &FrameCounters = this->countersOf(Frame.FrameChannel);
      std::size_t FrameBytes = Frame.Payload.size() + 5;
      ++FrameCounters.FramesIn;
      FrameCounters.BytesIn += FrameBytes;
      Bytes -= FrameBytes;
    }
    this->Counters.HeaderBytesIn += Bytes;
  }

  void onReadable() {
    for (int Remaining = MaxReceivesPerLoopIteration; Remaining > 0;
         --Remaining) {
      nng_msg *Message = this->Messages.receive(*this->Inbound);
      if (!Message)
        return;
      std::string_view Bytes(static_cast<const char *>(nng_msg_body(Message)),
                             nng_msg_len(Message));
      absl::StatusOr<BatchView> Parsed = parseBatch(Bytes);
      if (Parsed.ok()) {
        this->countReceivedBatch(*Parsed, Bytes.size());
        this->onBatch(*Parsed, nng_msg_get_pipe(Message).id);
      } else {
        bool IsUnknownVersion = absl::IsUnimplemented(Parsed.status());
        std::uint64_t Count =
            ++(IsUnknownVersion ? this->Counters.UnknownVersions
                                : this->Counters.Malformed);
        // Logs only when the count is a power of two, so that a peer of another
        // release does not fill the log.
        if (std::has_single_bit(Count))
          this->log(FrameRefused,
                    {{"reason", std::string(Parsed.status().message())},
                     {"count", std::to_string(Count)}});
      }
      nng_msg_free(Message);
    }
  }

  // Returns whether the connection must be closed, and schedules a ping if one
  // is due.
  bool superviseConnection(Peer &Remote, Instant Now, bool WasPaused) {
    if (Remote.PendingAnswers > 0 && Now >= Remote.PendingUntil)
      Remote.PendingAnswers = 0;
    if (Remote.PingSentAt && WasPaused)
      Remote.PingSentAt = Now;
    if (Remote.PingSentAt)
      return Remote.pingTimedOut(Now, this->Options.PingTimeout);
    if (!Remote.PingDue && Remote.isOverdue(Now, this->Options.PingAfter)) {
      Remote.PingDue = true;
      this->scheduleFlush(Remote);
    }
    return false;
  }

  void abandonDial(Peer &Remote) {
    this->closeSocket(Remote);
    Remote.AckDue = false;
    if (!std::exchange(Remote.ReportedUnreachable, true))
      this->log(PeerUnreachable,
                {{"peer", Remote.Address},
                 {"frames", std::to_string(Remote.Frames.size())}});
    this->rejectQueuedFrames(Remote);
  }

  void tick(Instant Now) {
    bool WasPaused = Now - this->LastTick > MaxTickGap;
    this->LastTick = Now;
    std::vector<Peer *> LostPeers;
    for (auto &Entry : this->Peers) {
      Peer &Remote = *Entry.second;
      if (Remote.Connected) {
        if (this->superviseConnection(Remote, Now, WasPaused))
          LostPeers.push_back(&Remote);
      } else if (Remote.Socket &&
                 Now - Remote.DialedAt >= this->Options.ConnectTimeout) {
        this->abandonDial(Remote);
      }
    }
    for (Peer *Remote : LostPeers)
      this->dropConnection(*Remote, "ping not answered");
    std::erase_if(this->Peers, [this, Now](const auto &Entry) {
      Peer &Remote = *Entry.second;
      if (Now - Remote.LastUsedAt < IdlePeerTimeout || Remote.FlushScheduled ||
          !Remote.Frames.empty())
        return false;
      this->closeSocket(Remote);
      return true;
    });
  }

  absl::Status listen() {
    const std::string &Address = this->Options.ListenAddress.empty()
                                     ? this->Options.Address
                                     : this->Options.ListenAddress;
    auto ListenError = [&Address](int Code) {
      return makeError(absl::StatusCode::kUnavailable, "listen for peers",
                       Address, nng_strerror(Code));
    };
    nng_socket Socket;
    if (int Code = nng_pull0_open(&Socket))
      return ListenError(Code);
    this->Inbound = Socket;
    nng_socket_set_int(Socket, NNG_OPT_RECVBUF, ReceiveBufferBatches);
    nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxBatchBytes);
    if (int Code = nng_listen(Socket, Address.c_str(), nullptr, 0))
      return ListenError(Code);
    int Descriptor = -1;
    if (int Code = nng_socket_get_int(Socket, NNG_OPT_RECVFD, &Descriptor))
      return ListenError(Code);
    auto MakeEvent = [this](int Descriptor, event_callback_fn Function) {
      return internal::EventPtr(event_new(
          this->Base, Descriptor, EV_READ | EV_PERSIST, Function, this));
    };
    this->ReceiveEvent =
        MakeEvent(Descriptor, [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->onReadable();
        });
    this->PipeEvent = MakeEvent(this->Notifier.descriptor(),
                                [](evutil_socket_t, short, void *Self) {
                                  static_cast<Impl *>(Self)->onPipeChanges();
                                });
    this->FlushEvent = MakeEvent(-1, [](evutil_socket_t, short, void *Self) {
      static_cast<Impl *>(Self)->flush();
    });
    event_add(this->ReceiveEvent.get(), nullptr);
    event_add(this->PipeEvent.get(), nullptr);
    return absl::OkStatus();
  }
};

PeerTransport::PeerTransport(std::unique_ptr<Impl> Pimpl)
    : Pimpl(std::move(Pimpl)) {}

PeerTransport::~PeerTransport() = default;

absl::StatusOr<std::unique_ptr<PeerTransport>>
PeerTransport::open(event_base *Base, PeerTransportOptions Options,
                    PeerTransportCallbacks Callbacks) {
  auto Pimpl = std::make_unique<Impl>();
  Pimpl->Base = Base;
  Pimpl->Options = std::move(Options);
  Pimpl->Callbacks = std::move(Callbacks);
  Pimpl->LastTick = readClock();
  if (absl::Status Listening = Pimpl->listen(); !Listening.ok())
    return Listening;
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(Pimpl)));
}

void PeerTransport::send(std::string_view PeerAddress, Channel FrameChannel,
                         std::string_view Payload, FrameTag Tag) {
  this->Pimpl->send(PeerAddress, FrameChannel, Payload, Tag);
}

void PeerTransport::expectAnswer(std::string_view PeerAddress, Instant Until) {
  auto *Found = this->Pimpl->findOrAddPeer(PeerAddress);
  if (!Found)
    return;
  if (Found->PendingAnswers++ == 0)
    Found->PendingSince = readClock();
  Found->PendingUntil = std::max(Found->PendingUntil, Until);
}

void PeerTransport::recordAnswer(std::string_view PeerAddress) {
  auto Found = this->Pimpl->Peers.find(PeerAddress);
  if (Found != this->Pimpl->Peers.end() && Found->second->PendingAnswers > 0)
    --Found->second->PendingAnswers;
}

void PeerTransport::tick(Instant Now) { this->Pimpl->tick(Now); }

void PeerTransport::flush() { this->Pimpl->flush(); }

std::size_t PeerTransport::undeliveredFrames() const {
  const auto &Peers = this->Pimpl->Peers;
  return std::transform_reduce(
      Peers.begin(), Peers.end(), std::size_t{0}, std::plus<>(),
      [](const auto &Entry) {
        const Peer &Remote = *Entry.second;
        return Remote.Frames.size() +
               (Remote.Connected ? Remote.framesInFlight() : 0);
      });
}

const TransportCounters &PeerTransport::counters() const {
  return this->Pimpl->Counters;
}

} // namespace orioledoor::wire

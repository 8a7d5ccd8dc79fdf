// Peers, their sockets and the supervision of connections.
#include "orioledoor/wire/peer_transport.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <limits>
#include <optional>
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

// Batches that nng holds for a connection that does not drain; more are
// refused as not sent.
constexpr int SendBufferBatches = 128;
constexpr int ReceiveBufferBatches = 512;
// Bounds what one turn of the loop receives, so that timers and callers get
// their turn under load.
constexpr int ReceivesPerTurn = 256;
// A batch of this size is acknowledged at once, so that its sender sees that
// the connection carries large batches, only slowly.
constexpr std::size_t AckedBatchBytes = 16U << 10;
// Frames that wait for one peer's connection.
constexpr std::size_t MaxWaitingFrames = 4096;
// Two thirds of a ping's timeout: a longer gap between ticks means that this
// process was paused and answers may wait unread.
constexpr Duration PauseGap = std::chrono::milliseconds(200);
// A peer without traffic for this long is forgotten and its socket closed.
constexpr Duration ForgetAfter = std::chrono::minutes(5);
constexpr std::size_t MaxPeers = 8192;

struct RefusedFrame {
  std::string To;
  Channel Kind;
  FrameTag Tag;
};

struct AddressHash {
  using is_transparent = void; // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>{}(Text);
  }
};

std::uint32_t firstEpoch() {
  auto Ticks = std::chrono::system_clock::now().time_since_epoch() /
               std::chrono::milliseconds(10);
  return static_cast<std::uint32_t>(Ticks) | 1U;
}

} // namespace

struct PeerTransport::Impl {
  event_base *Base = nullptr;
  PeerTransportOptions Options;
  PeerTransportCallbacks Callbacks;
  TransportCounters Counters;
  internal::PipeNotifier Notifier;
  // After the notifier, which hears of the sockets that it closes.
  internal::SocketCloser Closer;
  internal::MessagePort Port;
  std::optional<nng_socket> Inbound;
  internal::EventPtr ReceiveEvent;
  internal::EventPtr NotifyEvent;
  internal::EventPtr FlushEvent;
  std::unordered_map<std::string, std::unique_ptr<Peer>, AddressHash,
                     std::equal_to<>>
      Peers;
  std::unordered_map<int, Peer *> BySocket;
  std::vector<Peer *> Dirty;
  std::vector<RefusedFrame> Refused;
  std::uint32_t NextEpoch = firstEpoch();
  Instant LastTick;

  ~Impl() {
    for (auto &Entry : this->Peers)
      this->closeSocket(*Entry.second);
    if (this->Inbound)
      nng_close(*this->Inbound);
  }

  ChannelCounters &countersOf(Channel Kind) {
    return Kind == Channel::Control ? this->Counters.Control
                                    : this->Counters.Requests;
  }

  void log(const EventDefinition &Event, std::vector<LogField> Fields) const {
    if (this->Callbacks.Log)
      this->Callbacks.Log({&Event, std::move(Fields)});
  }

  // Null if too many peers are known.
  Peer *peerFor(std::string_view Address) {
    auto Found = this->Peers.find(Address);
    if (Found != this->Peers.end())
      return Found->second.get();
    if (this->Peers.size() >= MaxPeers)
      return nullptr;
    auto Added = std::make_unique<Peer>();
    Added->Address = Address;
    Added->LastUsed = readClock();
    return this->Peers.emplace(Address, std::move(Added)).first->second.get();
  }

  void schedule(Peer &To) {
    if (!std::exchange(To.Queued, true))
      this->Dirty.push_back(&To);
    event_active(this->FlushEvent.get(), 0, 0);
  }

  void refuse(std::string_view To, Channel Kind, FrameTag Tag) {
    ++this->Counters.FramesNotSent;
    this->Refused.push_back({std::string(To), Kind, Tag});
    event_active(this->FlushEvent.get(), 0, 0);
  }

  void refuseQueued(Peer &From) {
    for (const QueuedFrame &Frame : From.Frames)
      this->refuse(From.Address, Frame.Kind, Frame.Tag);
    From.Frames.clear();
    From.Batch.clear();
  }

  void closeSocket(Peer &Of) {
    if (!Of.Socket)
      return;
    this->BySocket.erase(nng_socket_id(*Of.Socket));
    this->Closer.close(*Of.Socket);
    Of.Socket.reset();
    Of.Connected = false;
    Of.PingedAt.reset();
    Of.PingDue = false;
  }

  static void onPipe(nng_pipe Pipe, nng_pipe_ev Kind, void *Context) {
    static_cast<internal::PipeNotifier *>(Context)->report(
        {nng_socket_id(nng_pipe_socket(Pipe)), Kind == NNG_PIPE_EV_ADD_POST});
  }

  bool dial(Peer &To) {
    nng_socket Socket;
    if (nng_push0_open(&Socket) != 0)
      return false;
    nng_socket_set_int(Socket, NNG_OPT_SENDBUF, SendBufferBatches);
    // One attempt is made a socket: a failed one is followed by a new socket,
    // since a dialler waits for the system's connect timeout of minutes.
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, 50);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, 100);
    nng_pipe_notify(Socket, NNG_PIPE_EV_ADD_POST, onPipe, &this->Notifier);
    nng_pipe_notify(Socket, NNG_PIPE_EV_REM_POST, onPipe, &this->Notifier);
    if (nng_dial(Socket, To.Address.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
      nng_close(Socket);
      return false;
    }
    To.Socket = Socket;
    To.noteDialled(this->NextEpoch++, readClock());
    this->BySocket[nng_socket_id(Socket)] = &To;
    return true;
  }

  void handOver(Peer &To, Instant Now) {
    if (To.Batch.empty()) {
      if (!To.AckDue && !To.PingDue)
        return;
      To.Batch = startBatch(this->Options.Address);
    }
    BatchHeader Header{.Epoch = To.Epoch,
                       .Sequence = To.Sequence + 1,
                       .AckEpoch = To.ReceivedEpoch,
                       .AckSequence = To.ReceivedSequence,
                       .WantsAck =
                           To.PingDue || To.Batch.size() >= AckedBatchBytes};
    sealBatch(To.Batch, Header);
    if (!this->Port.send(*To.Socket, To.Batch)) {
      this->refuseQueued(To);
      To.Batch.clear();
      return;
    }
    To.noteSent(To.Batch.size());
    if (!To.Frames.empty()) {
      if (To.Acknowledged >= To.LastWithFrames)
        To.UnacknowledgedSince = Now;
      To.LastWithFrames = To.Sequence;
    }
    To.AckDue = false;
    if (std::exchange(To.PingDue, false)) {
      To.PingedAt = Now;
      To.PingSequence = To.Sequence;
      ++this->Counters.Pings;
    }
    ++this->Counters.BatchesOut;
    std::size_t Rest = To.Batch.size();
    for (const QueuedFrame &Frame : To.Frames) {
      ChannelCounters &Of = this->countersOf(Frame.Kind);
      ++Of.FramesOut;
      Of.BytesOut += Frame.Bytes;
      Rest -= Frame.Bytes;
    }
    this->Counters.HeaderBytesOut += Rest;
    To.LastUsed = Now;
    To.Frames.clear();
    To.Batch.clear();
  }

  void send(std::string_view To, Channel Kind, std::string_view Payload,
            FrameTag Tag) {
    bool Valid = !To.empty() && To.size() <= MaxAddressBytes &&
                 Payload.size() <= MaxPayloadBytes;
    Peer *Found = Valid ? this->peerFor(To) : nullptr;
    if (!Found) {
      this->refuse(To, Kind, Tag);
      return;
    }
    std::size_t Limit =
        Found->Connected ? this->Options.BatchBytes : MaxPayloadBytes;
    if (!Found->Frames.empty() &&
        (Found->Batch.size() + Payload.size() > Limit ||
         Found->Frames.size() >= MaxWaitingFrames)) {
      if (!Found->Connected) {
        this->refuse(To, Kind, Tag);
        return;
      }
      this->handOver(*Found, readClock());
    }
    if (Found->Batch.empty())
      Found->Batch = startBatch(this->Options.Address);
    std::size_t Before = Found->Batch.size();
    appendFrame(Found->Batch, Kind, Payload);
    Found->Frames.push_back({Kind, Tag, Found->Batch.size() - Before});
    this->schedule(*Found);
  }

  void flush() {
    Instant Now = readClock();
    for (Peer *To : std::exchange(this->Dirty, {})) {
      To->Queued = false;
      if (!To->Socket && !this->dial(*To)) {
        this->refuseQueued(*To);
        To->AckDue = false;
        continue;
      }
      if (To->Connected)
        this->handOver(*To, Now);
    }
    for (const RefusedFrame &Frame : std::exchange(this->Refused, {}))
      this->Callbacks.NotSent(Frame.To, Frame.Kind, Frame.Tag);
  }

  void lose(Peer &Of, std::string_view Reason) {
    this->closeSocket(Of);
    this->refuseQueued(Of);
    Of.Awaited = 0;
    ++this->Counters.ConnectionsLost;
    this->log(PeerConnectionLost,
              {{"peer", Of.Address}, {"reason", std::string(Reason)}});
    this->Callbacks.Lost(Of.Address);
  }

  void onPipes() {
    for (internal::PipeChange Change : this->Notifier.take()) {
      auto Found = this->BySocket.find(Change.Socket);
      if (Found == this->BySocket.end())
        continue;
      Peer &Of = *Found->second;
      if (Change.Up) {
        Of.Connected = true;
        Of.ReportedUnreachable = false;
        Of.LastHeard = readClock();
        this->schedule(Of);
      } else {
        this->lose(Of, "closed by the peer");
      }
    }
  }

  void onBatch(const BatchView &Batch, std::uint32_t Pipe) {
    Peer *From = this->peerFor(Batch.Sender);
    if (!From)
      return;
    From->LastHeard = readClock();
    From->LastUsed = From->LastHeard;
    const BatchHeader &Header = Batch.Header;
    if (Header.Epoch == From->ReceivedEpoch) {
      From->ReceivedSequence = Header.Sequence;
    } else if (Header.Epoch != From->PreviousEpoch) {
      // The sender dialled afresh. Its earlier connection may be half open for
      // good on this side.
      if (From->ReceivedPipe != 0 && From->ReceivedPipe != Pipe)
        nng_pipe_close(nng_pipe{From->ReceivedPipe});
      From->PreviousEpoch = From->ReceivedEpoch;
      From->ReceivedEpoch = Header.Epoch;
      From->ReceivedSequence = Header.Sequence;
      From->ReceivedPipe = Pipe;
    }
    if (Header.AckEpoch == From->Epoch &&
        Header.AckSequence - From->Acknowledged <=
            From->Sequence - From->Acknowledged) {
      From->noteAcknowledged(Header.AckSequence, From->LastHeard);
    }
    if (Header.WantsAck) {
      From->AckDue = true;
      this->schedule(*From);
    }
    for (const FrameView &Frame : Batch.Frames)
      this->Callbacks.Received(Batch.Sender, Frame.Kind, Frame.Payload);
  }

  void count(const BatchView &Batch, std::size_t Bytes) {
    ++this->Counters.BatchesIn;
    for (const FrameView &Frame : Batch.Frames) {
      ChannelCounters &Of = this->countersOf(Frame.Kind);
      std::size_t FrameBytes = Frame.Payload.size() + 5;
      ++Of.FramesIn;
      Of.BytesIn += FrameBytes;
      Bytes -= FrameBytes;
    }
    this->Counters.HeaderBytesIn += Bytes;
  }

  void onReadable() {
    for (int Left = ReceivesPerTurn; Left > 0; --Left) {
      nng_msg *Message = this->Port.receive(*this->Inbound);
      if (!Message)
        return;
      std::string_view Bytes(static_cast<const char *>(nng_msg_body(Message)),
                             nng_msg_len(Message));
      absl::StatusOr<BatchView> Parsed = parseBatch(Bytes);
      if (Parsed.ok()) {
        this->count(*Parsed, Bytes.size());
        this->onBatch(*Parsed, nng_msg_get_pipe(Message).id);
      } else {
        bool Unknown = absl::IsUnimplemented(Parsed.status());
        std::uint64_t Count = ++(Unknown ? this->Counters.UnknownVersions
                                         : this->Counters.Malformed);
        // Every doubling is logged, so that a peer of another release does not
        // fill the log.
        if (std::has_single_bit(Count))
          this->log(FrameRefused,
                    {{"reason", std::string(Parsed.status().message())},
                     {"count", std::to_string(Count)}});
      }
      nng_msg_free(Message);
    }
  }

  // Whether the connection is to be given up.
  bool supervise(Peer &Of, Instant Now, bool Paused) {
    if (Of.Awaited > 0 && Now >= Of.AwaitUntil)
      Of.Awaited = 0;
    if (Of.PingedAt && Paused)
      Of.PingedAt = Now;
    if (Of.PingedAt)
      return Of.pingTimedOut(Now, this->Options.PingTimeout);
    if (!Of.PingDue && Of.isOverdue(Now, this->Options.OverdueAfter)) {
      Of.PingDue = true;
      this->schedule(Of);
    }
    return false;
  }

  void giveUpDialling(Peer &To) {
    this->closeSocket(To);
    To.AckDue = false;
    if (!std::exchange(To.ReportedUnreachable, true))
      this->log(
          PeerUnreachable,
          {{"peer", To.Address}, {"frames", std::to_string(To.Frames.size())}});
    this->refuseQueued(To);
  }

  void tick(Instant Now) {
    bool Paused = Now - this->LastTick > PauseGap;
    this->LastTick = Now;
    std::vector<Peer *> Silent;
    for (auto &Entry : this->Peers) {
      Peer &Of = *Entry.second;
      if (Of.Connected) {
        if (this->supervise(Of, Now, Paused))
          Silent.push_back(&Of);
      } else if (Of.Socket &&
                 Now - Of.DialledAt >= this->Options.ConnectTimeout) {
        this->giveUpDialling(Of);
      }
    }
    for (Peer *Of : Silent)
      this->lose(*Of, "ping not answered");
    std::erase_if(this->Peers, [this, Now](const auto &Entry) {
      Peer &Of = *Entry.second;
      if (Now - Of.LastUsed < ForgetAfter || Of.Queued || !Of.Frames.empty())
        return false;
      this->closeSocket(Of);
      return true;
    });
  }

  absl::Status listen() {
    auto Failed = [this](int Code) {
      return makeError(absl::StatusCode::kUnavailable, "listen for peers",
                       this->Options.Address, nng_strerror(Code));
    };
    nng_socket Socket;
    if (int Code = nng_pull0_open(&Socket))
      return Failed(Code);
    this->Inbound = Socket;
    nng_socket_set_int(Socket, NNG_OPT_RECVBUF, ReceiveBufferBatches);
    nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxBatchBytes);
    if (int Code =
            nng_listen(Socket, this->Options.Address.c_str(), nullptr, 0))
      return Failed(Code);
    int Descriptor = -1;
    if (int Code = nng_socket_get_int(Socket, NNG_OPT_RECVFD, &Descriptor))
      return Failed(Code);
    auto Make = [this](int On, event_callback_fn Function) {
      return internal::EventPtr(
          event_new(this->Base, On, EV_READ | EV_PERSIST, Function, this));
    };
    this->ReceiveEvent =
        Make(Descriptor, [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->onReadable();
        });
    this->NotifyEvent = Make(this->Notifier.descriptor(),
                             [](evutil_socket_t, short, void *Self) {
                               static_cast<Impl *>(Self)->onPipes();
                             });
    this->FlushEvent = Make(-1, [](evutil_socket_t, short, void *Self) {
      static_cast<Impl *>(Self)->flush();
    });
    event_add(this->ReceiveEvent.get(), nullptr);
    event_add(this->NotifyEvent.get(), nullptr);
    return absl::OkStatus();
  }
};

PeerTransport::PeerTransport(std::unique_ptr<Impl> Own) : Own(std::move(Own)) {}

PeerTransport::~PeerTransport() = default;

absl::StatusOr<std::unique_ptr<PeerTransport>>
PeerTransport::open(event_base *Base, PeerTransportOptions Options,
                    PeerTransportCallbacks Callbacks) {
  auto Own = std::make_unique<Impl>();
  Own->Base = Base;
  Own->Options = std::move(Options);
  Own->Callbacks = std::move(Callbacks);
  Own->LastTick = readClock();
  if (absl::Status Listening = Own->listen(); !Listening.ok())
    return Listening;
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(Own)));
}

void PeerTransport::send(std::string_view To, Channel Kind,
                         std::string_view Payload, FrameTag Tag) {
  this->Own->send(To, Kind, Payload, Tag);
}

void PeerTransport::awaitAnswer(std::string_view Peer, Instant Until) {
  auto *Found = this->Own->peerFor(Peer);
  if (!Found)
    return;
  if (Found->Awaited++ == 0)
    Found->AwaitedSince = readClock();
  Found->AwaitUntil = std::max(Found->AwaitUntil, Until);
}

void PeerTransport::answered(std::string_view Peer) {
  auto Found = this->Own->Peers.find(Peer);
  if (Found != this->Own->Peers.end() && Found->second->Awaited > 0)
    --Found->second->Awaited;
}

void PeerTransport::tick(Instant Now) { this->Own->tick(Now); }

void PeerTransport::flush() { this->Own->flush(); }

const TransportCounters &PeerTransport::counters() const {
  return this->Own->Counters;
}

} // namespace orioledoor::wire

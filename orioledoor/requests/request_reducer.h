// The request path of a node as one deterministic reducer: it turns events
// into effects and reads no clock, socket, thread or random device.
//
//   RequestReducer<OwnershipReducer> Requests({.PeerAddress = "tcp://..",
//                                              .Seed = Random});
//   Effects Output;
//   Requests.handle(CallerRequest{...}, readClock(), Ownership, Output);
//
// The entry side accepts callers' requests and sends them to owners; the owner
// side runs them at the target beside the node. Both may act for the same
// request.
#ifndef ORIOLEDOOR_REQUESTS_REQUEST_REDUCER_H
#define ORIOLEDOOR_REQUESTS_REQUEST_REDUCER_H

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/routing_view.h"
#include "orioledoor/requests/effect.h"
#include "orioledoor/requests/event.h"
#include "orioledoor/requests/internal/entry_side.h"
#include "orioledoor/requests/internal/owner_side.h"
#include "orioledoor/requests/reducer_context.h"

namespace orioledoor::requests {

// Not thread-safe. Not copyable or movable: its parts refer to each other.
template <ownership::RoutingView Routing> class RequestReducer {
public:
  explicit RequestReducer(ReducerOptions Options) {
    this->Shared.Randomness = Options.Seed;
    this->Shared.Options = std::move(Options);
  }
  RequestReducer(const RequestReducer &) = delete;
  RequestReducer &operator=(const RequestReducer &) = delete;

  // Acts on what is due at Now and then on Input, and appends effects to
  // Output. Now never decreases. Routes is read only during the call; it shows
  // the ownership as of Now. Logarithmic in the number of open requests for
  // events of the request path; linear for lost peers, lost targets, drained
  // slices and new catalogues.
  void handle(Event Input, Instant Now, const Routing &Routes,
              Effects &Output) {
    Context<Routing> C{Now, Routes, Output};
    this->Entry.runTimers(C);
    this->Owner.runTimers(C);
    std::visit(
        [this, &C](auto &&E) { this->on(std::forward<decltype(E)>(E), C); },
        std::move(Input));
    while (!this->Shared.ToSelf.empty()) {
      Message Next = std::move(this->Shared.ToSelf.front());
      this->Shared.ToSelf.pop_front();
      this->onMessage(std::move(Next), C);
    }
  }

  // When the next Tick is needed, if earlier than the regular one. Between
  // regular ticks the shell may send additional ones.
  std::optional<Instant> nextTimer() const {
    std::optional<Instant> OfEntry = this->Entry.nextTimer();
    std::optional<Instant> OfOwner = this->Owner.nextTimer();
    if (OfEntry && OfOwner)
      return std::min(*OfEntry, *OfOwner);
    return OfEntry ? OfEntry : OfOwner;
  }

private:
  using Ctx = Context<Routing>;

  void setDay(std::int64_t WallMicros) {
    constexpr std::int64_t MicrosPerDay = 86'400'000'000;
    if (WallMicros > 0)
      this->Shared.Day = static_cast<std::uint32_t>(WallMicros / MicrosPerDay);
  }

  void on(Tick E, const Ctx &C) {
    this->setDay(E.WallMicros);
    this->Entry.tick();
    this->Owner.tick(C);
  }
  void on(CallerRequest E, const Ctx &C) {
    this->setDay(E.WallMicros);
    this->Entry.receive(std::move(E), C);
  }
  void on(CallerGone E, const Ctx &C) { this->Entry.callerGone(E.CallerId, C); }
  void on(PeerMessage E, const Ctx &C) {
    this->onMessage(std::move(E.Body), C);
  }
  void on(const PeerSendFailed &E, const Ctx &C) {
    this->Entry.sendFailed(E, C);
  }
  void on(const PeerLost &E, const Ctx &C) {
    this->Entry.peerLost(E.Address, C);
  }
  void on(TargetAnswered E, const Ctx &C) {
    this->Owner.answered(std::move(E), C);
  }
  void on(const TargetFailed &E, const Ctx &C) { this->Owner.failed(E, C); }
  void on(const TargetChanged &E, const Ctx &C) {
    this->Owner.targetChanged(E, C);
  }
  void on(CatalogueChanged E, const Ctx & /*C*/) {
    this->Shared.Services.assign(std::move(E.Current));
  }
  void on(DrainSlice E, const Ctx &C) { this->Owner.drain(E.Slice, C); }
  void on(const AdoptSlice &E, const Ctx &C) { this->Owner.adopt(E, C); }
  void on(DropSlice E, const Ctx &C) { this->Owner.drop(E.Slice, C); }
  void on(ResumeSlice E, const Ctx &C) { this->Owner.resume(E.Slice, C); }
  void on(SpendGranted E, const Ctx & /*C*/) { this->Owner.granted(E); }

  void onMessage(Message Body, const Ctx &C) {
    if (auto *Sent = std::get_if<Forward>(&Body))
      this->Owner.accept(std::move(*Sent), C);
    else if (auto *Ended = std::get_if<Answer>(&Body))
      this->Entry.answered(std::move(*Ended), C);
    else if (const auto *Wanted = std::get_if<Cancel>(&Body))
      this->Owner.cancel(*Wanted, C);
    else
      this->Owner.crashed(std::get<CrashNotice>(Body), C);
  }

  SharedState Shared;
  internal::EntrySide<Routing> Entry{Shared};
  internal::OwnerSide<Routing> Owner{Shared};
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_REQUEST_REDUCER_H

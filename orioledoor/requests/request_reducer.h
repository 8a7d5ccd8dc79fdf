// Deterministic reducer for the request path of a node: it turns events into
// effects and uses no clock, socket, thread or random device.
//
//   RequestReducer<OwnershipReducer> Requests({.PeerAddress = "tcp://..",
//                                              .Seed = Random});
//   Effects Output;
//   Requests.handle(CallerRequest{...}, readClock(), Ownership, Output);
//
// The entry side accepts callers' requests and sends them to owners; the owner
// side runs them on the target of this node. Both sides may process the same
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

// Not thread-safe. Neither copyable nor movable, since its parts refer to each
// other.
template <ownership::RoutingView Routing> class RequestReducer {
public:
  explicit RequestReducer(ReducerOptions Options) {
    this->Shared.GeneratorState = Options.Seed;
    this->Shared.Options = std::move(Options);
  }
  RequestReducer(const RequestReducer &) = delete;
  RequestReducer &operator=(const RequestReducer &) = delete;

  // Runs the timers that are due at Now, processes Input, and appends effects
  // to Output. Now must not decrease. Routes shows the ownership as of Now and
  // is used only during the call. Logarithmic in the number of open requests
  // for events of the request path; linear for lost peers, lost targets,
  // drained slices and new catalogues.
  void handle(Event Input, Instant Now, const Routing &Routes,
              Effects &Output) {
    Context<Routing> C{Now, Routes, Output};
    this->Entry.runTimers(C);
    this->Owner.runTimers(C);
    std::visit(
        [this, &C](auto &&E) { this->on(std::forward<decltype(E)>(E), C); },
        std::move(Input));
    while (!this->Shared.LocalMessages.empty()) {
      Message Next = std::move(this->Shared.LocalMessages.front());
      this->Shared.LocalMessages.pop_front();
      this->onMessage(std::move(Next), C);
    }
  }

  // Time at which the next Tick is needed, if any timer is set. The I/O layer
  // sends an additional Tick if that is before the next regular one.
  std::optional<Instant> nextTimer() const {
    std::optional<Instant> EntryTimer = this->Entry.nextTimer();
    std::optional<Instant> OwnerTimer = this->Owner.nextTimer();
    if (EntryTimer && OwnerTimer)
      return std::min(*EntryTimer, *OwnerTimer);
    return EntryTimer ? EntryTimer : OwnerTimer;
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
  void on(CallerDisconnected E, const Ctx &C) {
    this->Entry.handleCallerDisconnect(E.CallerId, C);
  }
  void on(PeerMessage E, const Ctx &C) {
    this->onMessage(std::move(E.Body), C);
  }
  void on(const PeerSendFailed &E, const Ctx &C) {
    this->Entry.handleSendFailure(E, C);
  }
  void on(const PeerLost &E, const Ctx &C) {
    this->Entry.handlePeerLoss(E.Address, C);
  }
  void on(TargetAnswered E, const Ctx &C) {
    this->Owner.handleTargetAnswer(std::move(E), C);
  }
  void on(const TargetFailed &E, const Ctx &C) {
    this->Owner.handleTargetFailure(E, C);
  }
  void on(const TargetChanged &E, const Ctx &C) {
    this->Owner.handleTargetChange(E, C);
  }
  void on(CatalogueChanged E, const Ctx & /*C*/) {
    this->Shared.Services.assign(std::move(E.Current));
  }
  void on(DrainSlice E, const Ctx &C) { this->Owner.drain(E.Slice, C); }
  void on(const AdoptSlice &E, const Ctx &C) { this->Owner.adopt(E, C); }
  void on(DropSlice E, const Ctx &C) { this->Owner.drop(E.Slice, C); }
  void on(ResumeSlice E, const Ctx &C) { this->Owner.resume(E.Slice, C); }
  void on(SpendGranted E, const Ctx & /*C*/) {
    this->Owner.handleSpendGrant(E);
  }

  void onMessage(Message Body, const Ctx &C) {
    if (auto *Request = std::get_if<Forward>(&Body))
      this->Owner.handleForward(std::move(*Request), C);
    else if (auto *Reply = std::get_if<Answer>(&Body))
      this->Entry.handleAnswer(std::move(*Reply), C);
    else if (const auto *Cancellation = std::get_if<Cancel>(&Body))
      this->Owner.handleCancel(*Cancellation, C);
    else
      this->Owner.handleCrashNotice(std::get<CrashNotice>(Body), C);
  }

  SharedState Shared;
  internal::EntrySide<Routing> Entry{Shared};
  internal::OwnerSide<Routing> Owner{Shared};
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_REQUEST_REDUCER_H

// Implements the calls and watches of PlatformStore on wire::HttpClient.
#include "orioledoor/platform/platform_store.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include <event2/event.h>

#include "orioledoor/base/error.h"
#include "orioledoor/platform/events.h"
#include "orioledoor/platform/store_codec.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::platform {
namespace {

struct EventDeleter {
  void operator()(event *Event) const { event_free(Event); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

// Converts a failed call to a status. IsRead means that it makes no difference
// whether the request was executed.
absl::Status failureStatus(const wire::HttpResult &Result, bool IsRead,
                           std::string_view Peer) {
  using requests::TargetFailure;
  absl::StatusCode Code = absl::StatusCode::kUnknown;
  if (*Result.Failure == TargetFailure::NotSent || IsRead)
    Code = absl::StatusCode::kUnavailable;
  else if (*Result.Failure == TargetFailure::TimedOut)
    Code = absl::StatusCode::kDeadlineExceeded;
  return makeError(Code, "call store", Peer, Result.Detail);
}

std::string formatMilliseconds(Duration Interval) {
  return std::to_string(Interval.count() / 1000);
}

// Applies the order and the limit of Range to Entries, which are all matching
// entries in the order of their keys.
void applyLimitAndOrder(const StoreRange &Range,
                        std::vector<StoreEntry> &Entries) {
  if (Range.Limit > 0 && Range.Descending)
    std::ranges::reverse(Entries);
  if (Range.Limit > 0 && std::ssize(Entries) > Range.Limit)
    Entries.resize(static_cast<std::size_t>(Range.Limit));
}

StoreCallKind kindOf(const StoreRequestBody &Body) {
  if (const auto *Range = std::get_if<StoreRange>(&Body))
    return Range->AllowStale ? StoreCallKind::StaleRead : StoreCallKind::Read;
  if (std::holds_alternative<StoreTxn>(Body))
    return StoreCallKind::Write;
  return std::holds_alternative<StoreLeaseKeepAlive>(Body)
             ? StoreCallKind::Renewal
             : StoreCallKind::Lease;
}

} // namespace

static_assert(StoreClient<PlatformStore>);

struct PlatformStore::Impl {
  // Times of the watch of a prefix.
  struct WatchTiming {
    Duration Pause;
    Duration FirstWait;
    Duration LaterWait;
  };

  struct WatchState {
    Impl *Parent = nullptr;
    std::string Prefix;
    std::int64_t Revision = 0;
    // Era that the last response stated.
    std::int64_t Era = 0;
    StoreWatchCallback OnUpdate;
    std::uint64_t Call = 0;
    EventPtr Timer;
    Instant OpenedAt;
    // Last time at which the watch was known to be up to date.
    Instant LastResponseAt;
    // Number of consecutive watch requests without a response.
    int Failures = 0;
    // The next request waits for FirstWait.
    bool FirstWaitDue = true;
  };

  event_base *Base;
  Endpoint Store;
  std::string Peer;
  PlatformStoreLimits Limits;
  PlatformStoreCounters Counters;
  wire::HttpClient Client;
  std::map<std::string, std::unique_ptr<WatchState>> Watches;
  // Watches that are not listed have the times of Limits.
  std::map<std::string, WatchTiming> WatchTimings;
  std::function<void(const LogRecord &)> OnLog;
  // Whether a call or watch got no response since the last response to a call.
  bool ResponseMissing = false;

  Impl(event_base *Base, Endpoint Store, PlatformStoreLimits Limits,
       std::function<void(const LogRecord &)> OnLog)
      : Base(Base), Store(std::move(Store)),
        Peer(this->Store.Host + ":" + std::to_string(this->Store.Port)),
        Limits(Limits), Client(Base), OnLog(std::move(OnLog)) {}

  void countCall(StoreCallKind Kind) {
    ++this->Counters.Calls;
    ++this->Counters.CallsByKind[static_cast<std::size_t>(Kind)];
  }

  wire::HttpCall httpCall(const StoreHttpRequest &HttpRequest,
                          Duration Timeout) const {
    wire::HttpCall Call{.Server = this->Store,
                        .Method = HttpRequest.Method,
                        .Target = HttpRequest.Target,
                        .Body = HttpRequest.Body,
                        .Timeout = Timeout,
                        .ConnectTimeout = this->Limits.ConnectTimeout};
    if (!HttpRequest.Body.empty())
      Call.Headers.push_back({"Content-Type", "application/json"});
    return Call;
  }

  // Sends a request; for a range, reads one page after another. EarlierEntries
  // holds the entries of the previous pages. Pages are not a snapshot, so the
  // reply has Revision, the revision of the first page: a watch that starts
  // there misses no change. Era is that of the previous pages.
  void callPage(StoreRequest Request, std::vector<StoreEntry> EarlierEntries,
                std::int64_t Revision, std::int64_t Era,
                StoreReplyCallback OnReply) {
    this->countCall(kindOf(Request.Body));
    StoreHttpRequest HttpRequest = encodeCall(
        Request.Body, EarlierEntries.empty() ? std::string_view()
                                             : EarlierEntries.back().Key);
    this->Client.call(
        this->httpCall(HttpRequest, this->Limits.CallTimeout),
        [this, Request = std::move(Request),
         EarlierEntries = std::move(EarlierEntries), Revision, Era,
         OnReply = std::move(OnReply)](const wire::HttpResult &Result) mutable {
          if (Result.Failure) {
            ++this->Counters.Failures;
            this->recordMissingResponse();
            bool IsRead = std::holds_alternative<StoreRange>(Request.Body);
            OnReply({.Id = Request.Id,
                     .Status = failureStatus(Result, IsRead, this->Peer)});
            return;
          }
          this->recordResponse();
          bool More = false;
          StoreReply Reply = decodeReply(Request, Result.Answer.Status,
                                         Result.Answer.Body, this->Peer, &More);
          Reply.Era = decodeEra(Result.Answer.Headers);
          if (!Reply.Status.ok())
            ++this->Counters.Failures;
          if (Revision != 0 && Reply.Era != Era) {
            // The pages are of different contents.
            OnReply({.Id = Request.Id,
                     .Status = makeError(absl::StatusCode::kUnavailable,
                                         "read pages of store", this->Peer,
                                         "the store came back from a copy"),
                     .Era = Reply.Era});
            return;
          }
          std::ranges::move(Reply.Entries, std::back_inserter(EarlierEntries));
          if (Revision != 0)
            Reply.Revision = Revision;
          if (Reply.Status.ok() && More && !EarlierEntries.empty()) {
            this->callPage(std::move(Request), std::move(EarlierEntries),
                           Reply.Revision, Reply.Era, std::move(OnReply));
            return;
          }
          Reply.Entries = std::move(EarlierEntries);
          if (const auto *Range = std::get_if<StoreRange>(&Request.Body))
            applyLimitAndOrder(*Range, Reply.Entries);
          OnReply(std::move(Reply));
        });
  }

  // The failure of one connection may affect all connections to the store, so
  // idle ones are not reused.
  void recordMissingResponse() {
    this->ResponseMissing = true;
    this->Client.closeIdleConnections(this->Store);
  }

  void recordResponse() {
    if (!std::exchange(this->ResponseMissing, false))
      return;
    for (const auto &[Prefix, Watch] : this->Watches) {
      // The other watches are in the delay after changes that they received.
      if (Watch->Call == 0 && Watch->Failures == 0)
        continue;
      if (Watch->Call != 0)
        this->Client.cancel(Watch->Call);
      evtimer_del(Watch->Timer.get());
      Watch->FirstWaitDue = true;
      this->openWatch(*Watch);
    }
  }

  void openWatch(WatchState &Watch) {
    this->countCall(StoreCallKind::Watch);
    Watch.OpenedAt = readClock();
    WatchTiming Timing = this->watchTiming(Watch.Prefix);
    auto Wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::exchange(Watch.FirstWaitDue, false) ? Timing.FirstWait
                                                 : Timing.LaterWait);
    StoreHttpRequest HttpRequest{
        "GET", encodeWatch(Watch.Prefix, Watch.Revision, Wait), ""};
    Watch.Call = this->Client.call(
        this->httpCall(HttpRequest, Wait + this->Limits.WatchTimeoutMargin),
        [this, &Watch](const wire::HttpResult &Result) {
          Watch.Call = 0;
          this->handleWatchResult(Watch, Result);
        });
  }

  // Logs the start and the end of each period without responses, not every
  // attempt.
  void recordWatchResult(WatchState &Watch, const wire::HttpResult &Result,
                         const absl::Status &Status) {
    Instant Now = readClock();
    bool Answered = Status.ok() || absl::IsOutOfRange(Status);
    if (!Answered)
      ++this->Counters.WatchInterruptions;
    if (Answered == (Watch.Failures > 0) && this->OnLog) {
      LogRecord Record{
          Answered ? &events::StoreWatchResumed
                   : &events::StoreWatchInterrupted,
          {{"prefix", Watch.Prefix},
           {"after", std::to_string(Watch.Revision)},
           {"unanswered_ms", formatMilliseconds(Now - Watch.LastResponseAt)},
           {"open_ms", formatMilliseconds(Now - Watch.OpenedAt)},
           {"sent_after_ms", Result.SentAfter
                                 ? formatMilliseconds(*Result.SentAfter)
                                 : "never"}}};
      if (!Answered)
        Record.Fields.push_back({"why", std::string(Status.message())});
      this->OnLog(Record);
    }
    Watch.Failures = Answered ? 0 : Watch.Failures + 1;
    if (Answered)
      Watch.LastResponseAt = Now;
  }

  void handleWatchResult(WatchState &Watch, const wire::HttpResult &Result) {
    StoreWatchUpdate Update;
    if (Result.Failure) {
      Update.Status = failureStatus(Result, true, this->Peer);
      this->recordMissingResponse();
    } else {
      Update =
          decodeWatch(Result.Answer.Status, Result.Answer.Body, this->Peer);
      Update.Era = decodeEra(Result.Answer.Headers);
    }
    this->recordWatchResult(Watch, Result, Update.Status);
    bool HistoryLost = absl::IsOutOfRange(Update.Status);
    // In a new era, revisions start again below those of the last one.
    if (Update.Status.ok())
      Watch.Revision = std::exchange(Watch.Era, Update.Era) < Update.Era
                           ? Update.Revision
                           : std::max(Watch.Revision, Update.Revision);
    else
      ++this->Counters.Failures;
    Update.Revision = Watch.Revision;
    if (!Update.Status.ok() || !Update.Changes.empty())
      Watch.FirstWaitDue = true;
    Duration Pause(0);
    if (!Update.Status.ok())
      Pause = this->retryDelay(Watch.Failures);
    else if (!Update.Changes.empty())
      Pause = this->watchTiming(Watch.Prefix).Pause;
    StoreWatchCallback OnUpdate = Watch.OnUpdate;
    if (HistoryLost) {
      this->Watches.erase(Watch.Prefix);
    } else {
      timeval Delay{static_cast<time_t>(Pause.count() / 1'000'000),
                    static_cast<suseconds_t>(Pause.count() % 1'000'000)};
      evtimer_add(Watch.Timer.get(), &Delay);
    }
    OnUpdate(std::move(Update));
  }

  Duration retryDelay(int Failures) const {
    if (Failures <= 1)
      return this->Limits.WatchPause;
    // Doubles at most five times, which exceeds any sensible limit.
    return std::min(this->Limits.MaxWatchRetryDelay,
                    this->Limits.WatchRetryDelay *
                        (1 << std::min(Failures - 2, 5)));
  }

  WatchTiming watchTiming(const std::string &Prefix) const {
    auto Found = this->WatchTimings.find(Prefix);
    return Found == this->WatchTimings.end()
               ? WatchTiming{this->Limits.WatchPause, this->Limits.WatchWait,
                             this->Limits.WatchWait}
               : Found->second;
  }

  static void onTimer(evutil_socket_t, short, void *Context) {
    auto *Watch = static_cast<WatchState *>(Context);
    if (Watch->Call == 0)
      Watch->Parent->openWatch(*Watch);
  }
};

PlatformStore::PlatformStore(event_base *Base, Endpoint Store,
                             PlatformStoreLimits Limits,
                             std::function<void(const LogRecord &)> OnLog)
    : Pimpl(std::make_unique<Impl>(Base, std::move(Store), Limits,
                                   std::move(OnLog))) {}

PlatformStore::~PlatformStore() = default;

void PlatformStore::call(StoreRequest Request, StoreReplyCallback OnReply) {
  this->Pimpl->callPage(std::move(Request), {}, 0, 0, std::move(OnReply));
}

void PlatformStore::watch(const std::string &Prefix, std::int64_t Revision,
                          StoreWatchCallback OnUpdate) {
  std::unique_ptr<Impl::WatchState> &Slot = this->Pimpl->Watches[Prefix];
  if (Slot && Slot->Call != 0)
    this->Pimpl->Client.cancel(Slot->Call);
  Slot = std::make_unique<Impl::WatchState>();
  Slot->Parent = this->Pimpl.get();
  Slot->Prefix = Prefix;
  Slot->Revision = Revision;
  Slot->OnUpdate = std::move(OnUpdate);
  Slot->LastResponseAt = readClock();
  Slot->Timer.reset(evtimer_new(this->Pimpl->Base, Impl::onTimer, Slot.get()));
  this->Pimpl->openWatch(*Slot);
}

void PlatformStore::stopWatching(const std::string &Prefix) {
  auto Found = this->Pimpl->Watches.find(Prefix);
  if (Found == this->Pimpl->Watches.end())
    return;
  if (Found->second->Call != 0)
    this->Pimpl->Client.cancel(Found->second->Call);
  this->Pimpl->Watches.erase(Found);
}

void PlatformStore::setWatchPause(const std::string &Prefix, Duration Pause) {
  Impl::WatchTiming Timing = this->Pimpl->watchTiming(Prefix);
  Timing.Pause = Pause;
  this->Pimpl->WatchTimings.insert_or_assign(Prefix, Timing);
}

void PlatformStore::setWatchWaits(const std::string &Prefix, Duration First,
                                  Duration Later) {
  Impl::WatchTiming Timing = this->Pimpl->watchTiming(Prefix);
  bool LaterChanged = Timing.LaterWait != Later;
  Timing.FirstWait = First;
  Timing.LaterWait = Later;
  this->Pimpl->WatchTimings.insert_or_assign(Prefix, Timing);
  auto Found = this->Pimpl->Watches.find(Prefix);
  if (LaterChanged && Found != this->Pimpl->Watches.end())
    Found->second->FirstWaitDue = true;
}

const PlatformStoreCounters &PlatformStore::counters() const {
  return this->Pimpl->Counters;
}

} // namespace orioledoor::platform

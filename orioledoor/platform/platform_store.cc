// Calls and watches over wire::HttpClient.
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
  void operator()(event *Owned) const { event_free(Owned); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

// IsRead: whether it was carried out makes no difference.
absl::Status statusOf(const wire::HttpResult &Result, bool IsRead,
                      std::string_view Peer) {
  using requests::TargetFailure;
  absl::StatusCode Code = absl::StatusCode::kUnknown;
  if (*Result.Failure == TargetFailure::NotSent || IsRead)
    Code = absl::StatusCode::kUnavailable;
  else if (*Result.Failure == TargetFailure::TimedOut)
    Code = absl::StatusCode::kDeadlineExceeded;
  return makeError(Code, "call store", Peer, Result.Detail);
}

std::string millis(Duration Of) { return std::to_string(Of.count() / 1000); }

// Keeps what Range asked for of all entries in the order of their keys.
void selectEntries(const StoreRange &Range, std::vector<StoreEntry> &Entries) {
  if (Range.Limit > 0 && Range.Descending)
    std::ranges::reverse(Entries);
  if (Range.Limit > 0 && std::ssize(Entries) > Range.Limit)
    Entries.resize(static_cast<std::size_t>(Range.Limit));
}

} // namespace

static_assert(StoreClient<PlatformStore>);

struct PlatformStore::Impl {
  struct Watch {
    Impl *Owner = nullptr;
    std::string Prefix;
    std::int64_t Revision = 0;
    StoreWatchCallback OnUpdate;
    std::uint64_t Call = 0;
    EventPtr Timer;
    Instant OpenedAt;
    // The last time at which the view was known to be complete.
    Instant AnsweredAt;
    // Calls in a row that ended without an answer.
    int Failures = 0;
  };

  event_base *Base;
  Endpoint Store;
  std::string Peer;
  PlatformStoreLimits Limits;
  PlatformStoreCounters Counters;
  wire::HttpClient Client;
  std::map<std::string, std::unique_ptr<Watch>> Watches;
  std::map<std::string, Duration> Pauses;
  std::function<void(const LogRecord &)> OnLog;
  // A call or watch got no answer since a call was answered last.
  bool Silent = false;

  Impl(event_base *Base, Endpoint Store, PlatformStoreLimits Limits,
       std::function<void(const LogRecord &)> OnLog)
      : Base(Base), Store(std::move(Store)),
        Peer(this->Store.Host + ":" + std::to_string(this->Store.Port)),
        Limits(Limits), Client(Base), OnLog(std::move(OnLog)) {}

  wire::HttpCall httpCall(const StoreHttpRequest &Sent,
                          Duration Timeout) const {
    wire::HttpCall Call{.Server = this->Store,
                        .Method = Sent.Method,
                        .Target = Sent.Target,
                        .Body = Sent.Body,
                        .Timeout = Timeout,
                        .ConnectTimeout = this->Limits.ConnectTimeout};
    if (!Sent.Body.empty())
      Call.Headers.push_back({"Content-Type", "application/json"});
    return Call;
  }

  // Reads one page; Before holds the entries of the earlier ones. Pages are no
  // snapshot, so the reply has the revision of the first one, At: a watch from
  // there misses no change.
  void callPage(StoreRequest Request, std::vector<StoreEntry> Before,
                std::int64_t At, StoreReplyCallback OnReply) {
    ++this->Counters.Calls;
    StoreHttpRequest Sent = encodeCall(
        Request.Body, Before.empty() ? std::string_view() : Before.back().Key);
    this->Client.call(
        this->httpCall(Sent, this->Limits.CallTimeout),
        [this, Request = std::move(Request), Before = std::move(Before), At,
         OnReply = std::move(OnReply)](const wire::HttpResult &Result) mutable {
          if (Result.Failure) {
            ++this->Counters.Failures;
            this->noteSilence();
            bool IsRead = std::holds_alternative<StoreRange>(Request.Body);
            OnReply({.Id = Request.Id,
                     .Status = statusOf(Result, IsRead, this->Peer)});
            return;
          }
          this->noteAnswer();
          bool More = false;
          StoreReply Reply = decodeReply(Request, Result.Answer.Status,
                                         Result.Answer.Body, this->Peer, &More);
          if (!Reply.Status.ok())
            ++this->Counters.Failures;
          std::ranges::move(Reply.Entries, std::back_inserter(Before));
          if (At != 0)
            Reply.Revision = At;
          if (Reply.Status.ok() && More && !Before.empty()) {
            this->callPage(std::move(Request), std::move(Before),
                           Reply.Revision, std::move(OnReply));
            return;
          }
          Reply.Entries = std::move(Before);
          if (const auto *Range = std::get_if<StoreRange>(&Request.Body))
            selectEntries(*Range, Reply.Entries);
          OnReply(std::move(Reply));
        });
  }

  // Whatever silenced one connection may have silenced them all.
  void noteSilence() {
    this->Silent = true;
    this->Client.closeIdleConnections(this->Store);
  }

  void noteAnswer() {
    if (!std::exchange(this->Silent, false))
      return;
    for (const auto &[Prefix, Of] : this->Watches) {
      // Others pause after changes that they brought.
      if (Of->Call == 0 && Of->Failures == 0)
        continue;
      if (Of->Call != 0)
        this->Client.cancel(Of->Call);
      evtimer_del(Of->Timer.get());
      this->open(*Of);
    }
  }

  void open(Watch &Of) {
    ++this->Counters.Calls;
    Of.OpenedAt = readClock();
    StoreHttpRequest Sent{
        "GET", encodeWatch(Of.Prefix, Of.Revision, this->Limits.WatchWait), ""};
    Of.Call = this->Client.call(
        this->httpCall(Sent, this->Limits.WatchWait +
                                 this->Limits.WatchTimeoutMargin),
        [this, &Of](const wire::HttpResult &Result) {
          Of.Call = 0;
          this->watched(Of, Result);
        });
  }

  // Logs the begin and the end of each time without answers, not every try.
  void noteWatch(Watch &Of, const wire::HttpResult &Result,
                 const absl::Status &Status) {
    Instant Now = readClock();
    bool Answered = Status.ok() || absl::IsOutOfRange(Status);
    if (!Answered)
      ++this->Counters.WatchInterruptions;
    if (Answered == (Of.Failures > 0) && this->OnLog) {
      LogRecord Record{
          Answered ? &events::StoreWatchResumed
                   : &events::StoreWatchInterrupted,
          {{"prefix", Of.Prefix},
           {"after", std::to_string(Of.Revision)},
           {"unanswered_ms", millis(Now - Of.AnsweredAt)},
           {"open_ms", millis(Now - Of.OpenedAt)},
           {"sent_after_ms",
            Result.SentAfter ? millis(*Result.SentAfter) : "never"}}};
      if (!Answered)
        Record.Fields.push_back({"why", std::string(Status.message())});
      this->OnLog(Record);
    }
    Of.Failures = Answered ? 0 : Of.Failures + 1;
    if (Answered)
      Of.AnsweredAt = Now;
  }

  void watched(Watch &Of, const wire::HttpResult &Result) {
    StoreWatchUpdate Update;
    if (Result.Failure) {
      Update.Status = statusOf(Result, true, this->Peer);
      this->noteSilence();
    } else {
      Update =
          decodeWatch(Result.Answer.Status, Result.Answer.Body, this->Peer);
    }
    this->noteWatch(Of, Result, Update.Status);
    bool Ended = absl::IsOutOfRange(Update.Status);
    if (Update.Status.ok())
      Of.Revision = std::max(Of.Revision, Update.Revision);
    else
      ++this->Counters.Failures;
    Update.Revision = Of.Revision;
    Duration Pause(0);
    if (!Update.Status.ok())
      Pause = this->retryPause(Of.Failures);
    else if (!Update.Changes.empty())
      Pause = this->pauseOf(Of.Prefix);
    StoreWatchCallback OnUpdate = Of.OnUpdate;
    if (Ended) {
      this->Watches.erase(Of.Prefix);
    } else {
      timeval After{static_cast<time_t>(Pause.count() / 1'000'000),
                    static_cast<suseconds_t>(Pause.count() % 1'000'000)};
      evtimer_add(Of.Timer.get(), &After);
    }
    OnUpdate(std::move(Update));
  }

  Duration retryPause(int Failures) const {
    if (Failures <= 1)
      return this->Limits.WatchPause;
    // Doubled five times at most, which is beyond any sensible limit.
    return std::min(this->Limits.MaxWatchRetryDelay,
                    this->Limits.WatchRetryDelay *
                        (1 << std::min(Failures - 2, 5)));
  }

  Duration pauseOf(const std::string &Prefix) const {
    auto Found = this->Pauses.find(Prefix);
    return Found == this->Pauses.end() ? this->Limits.WatchPause
                                       : Found->second;
  }

  static void onTimer(evutil_socket_t, short, void *Context) {
    auto *Of = static_cast<Watch *>(Context);
    if (Of->Call == 0)
      Of->Owner->open(*Of);
  }
};

PlatformStore::PlatformStore(event_base *Base, Endpoint Store,
                             PlatformStoreLimits Limits,
                             std::function<void(const LogRecord &)> OnLog)
    : Own(std::make_unique<Impl>(Base, std::move(Store), Limits,
                                 std::move(OnLog))) {}

PlatformStore::~PlatformStore() = default;

void PlatformStore::call(StoreRequest Request, StoreReplyCallback OnReply) {
  this->Own->callPage(std::move(Request), {}, 0, std::move(OnReply));
}

void PlatformStore::watch(const std::string &Prefix, std::int64_t Revision,
                          StoreWatchCallback OnUpdate) {
  std::unique_ptr<Impl::Watch> &Kept = this->Own->Watches[Prefix];
  if (Kept && Kept->Call != 0)
    this->Own->Client.cancel(Kept->Call);
  Kept = std::make_unique<Impl::Watch>();
  Kept->Owner = this->Own.get();
  Kept->Prefix = Prefix;
  Kept->Revision = Revision;
  Kept->OnUpdate = std::move(OnUpdate);
  Kept->AnsweredAt = readClock();
  Kept->Timer.reset(evtimer_new(this->Own->Base, Impl::onTimer, Kept.get()));
  this->Own->open(*Kept);
}

void PlatformStore::stopWatching(const std::string &Prefix) {
  auto Found = this->Own->Watches.find(Prefix);
  if (Found == this->Own->Watches.end())
    return;
  if (Found->second->Call != 0)
    this->Own->Client.cancel(Found->second->Call);
  this->Own->Watches.erase(Found);
}

void PlatformStore::setWatchPause(const std::string &Prefix, Duration Pause) {
  this->Own->Pauses[Prefix] = Pause;
}

const PlatformStoreCounters &PlatformStore::counters() const {
  return this->Own->Counters;
}

} // namespace orioledoor::platform

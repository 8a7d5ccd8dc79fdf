// The stand-in store: serves a StoreModel over the protocol of the platform's
// store, with faults that a test injects.
//
//   StoreServer Store(Events, 22000);
//   Store.setFaults({{"lose_answers", 1}});
//
// POST /standin/faults takes any of
//   outage          "none", "closed" (each call's connection is closed) or
//                   "silent" (calls are accepted and never answered)
//   latency_ms      delay before a call takes effect
//   answer_latency_ms  delay between the effect of a call and its answer
//   lose_answers    the next N writes take effect but are not answered;
//                   negative: all
//   reject          the next N calls are rejected before they take effect;
//                   negative: all
//   silence_watches true: the watches that are open now are never answered
//   close_watches   true: closes the watches that are open now
//   compact         drops the history below this revision
//   era             states this Store-Era in all answers from now on
//   take_copy       true: keeps a copy of the content
//   roll_back       true: comes back from that copy, in the next era; closes
//                   the watches and calls that are open
// GET /standin/counters returns the calls by kind and the highest number of
// reads and of writes within one second.
#ifndef ORIOLEDOOR_STANDINS_STORE_SERVER_H
#define ORIOLEDOOR_STANDINS_STORE_SERVER_H

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/platform/store_service_codec.h"
#include "orioledoor/standins/http_server.h"
#include "orioledoor/standins/store_model.h"

namespace orioledoor::standins {

// Not thread-safe.
class StoreServer {
public:
  // Port 0 means any free port.
  StoreServer(Loop &Events, std::uint16_t Port);

  std::uint16_t port() const { return this->Http.port(); }
  StoreModel &model() { return this->Model; }

  void setFaults(const nlohmann::json &Faults);
  nlohmann::json counters() const;

private:
  using ExchangePtr = std::shared_ptr<Exchange>;

  // A watch that waits for its first change.
  struct Watch {
    std::uint64_t Id = 0;
    ExchangePtr Request;
    std::string Prefix;
    bool Silenced = false;
  };

  // The calls of one kind (reads or writes) in the current second, and the
  // maximum over all seconds.
  struct Rate {
    std::int64_t Second = -1;
    std::int64_t Calls = 0;
    std::int64_t HighestPerSecond = 0;

    void recordCall();
  };

  void serve(const ExchangePtr &Request);
  void execute(const ExchangePtr &Request,
               const platform::StoreServiceCall &Served);
  void reply(const ExchangePtr &Request,
             const platform::StoreHttpResponse &Answer);
  void openWatch(const ExchangePtr &Request,
                 const platform::StoreServiceWatch &WatchCall);
  void rollBack();
  void publish(const std::vector<StoredChange> &Changes);
  // Answers the watch if it is still open and not silenced.
  void endWatch(std::uint64_t Id, const StoreWatchUpdate &Update);
  // Returns whether the fault applies to this call and counts Remaining down;
  // a negative Remaining applies to every call.
  static bool consumeFault(std::int64_t &Remaining);

  Loop &Events;
  StoreModel Model;
  std::map<std::string, std::int64_t, std::less<>> Counters;
  Rate Reads;
  Rate Writes;
  std::list<Watch> Watches;
  std::uint64_t LastWatchId = 0;
  // Requests that stay open without an answer.
  std::vector<ExchangePtr> UnansweredRequests;
  std::string Outage = "none";
  // Stated in all answers; 0: not stated.
  std::int64_t Era = 0;
  Duration Latency{0};
  Duration AnswerLatency{0};
  std::int64_t AnswersToDrop = 0;
  std::int64_t CallsToReject = 0;
  // Declared last, so that its connections close before the members that their
  // callbacks use are destroyed.
  HttpServer Http;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_STORE_SERVER_H

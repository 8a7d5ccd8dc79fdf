// The stand-in store: a StoreModel behind the protocol of the platform's
// store, with faults that a trial switches on.
//
//   StoreServer Store(Events, 22000);
//   Store.setFaults({{"lose_answers", 1}});
//
// POST /standin/faults takes any of
//   outage          "none", "closed" (each call's connection is closed) or
//                   "silent" (calls are held without an answer)
//   latency_ms      before a call takes effect
//   answer_latency_ms  between the effect and the answer
//   lose_answers    the next N writes take effect and are not answered;
//                   negative: all
//   reject          the next N calls are refused before they take effect;
//                   negative: all
//   silence_watches true: watches that wait now are never answered
//   close_watches   true: closes the watches that are open now
//   compact         drops the history below this revision
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
  using Call = std::shared_ptr<Exchange>;

  // A watch that waits for its first change.
  struct Watch {
    std::uint64_t Id = 0;
    Call Request;
    std::string Prefix;
    bool Silenced = false;
  };

  // Calls of one kind (reads or writes) in the running second and the most in
  // any second.
  struct Rate {
    std::int64_t Second = -1;
    std::int64_t Calls = 0;
    std::int64_t Highest = 0;

    void count();
  };

  void serve(const Call &Request);
  void execute(const Call &Request, const platform::StoreServiceCall &Served);
  void reply(const Call &Request, const platform::StoreHttpResponse &Answer);
  void openWatch(const Call &Request, const platform::StoreServiceWatch &Asked);
  void publish(const std::vector<StoredChange> &Changes);
  // Answers the watch, if it still waits and is not silenced.
  void endWatch(std::uint64_t Id, const StoreWatchUpdate &Update);
  // Uses up one of Remaining; a negative number is never used up.
  static bool useUp(std::int64_t &Remaining);

  Loop &Events;
  StoreModel Model;
  std::map<std::string, std::int64_t, std::less<>> Counters;
  Rate Reads;
  Rate Writes;
  std::list<Watch> Watches;
  std::uint64_t LastWatch = 0;
  // Requests that are held without an answer.
  std::vector<Call> Held;
  std::string Outage = "none";
  Duration Latency{0};
  Duration AnswerLatency{0};
  std::int64_t LoseAnswers = 0;
  std::int64_t Reject = 0;
  // Last, so that its connections close before what they refer to.
  HttpServer Http;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_STORE_SERVER_H

// outage_probe: reads a set of keys periodically through entry nodes and
// measures, for each key, the longest gap between two answers of its owner. The
// unavailable time of a fault is the part that exceeds the probe interval.
//
//   outage_probe --entry 127.0.0.1:22100 --service consulta --duration 8
//
// Prints one line: keys, keys with a gap above --threshold-ms, and of those
// the median and the longest gap in milliseconds, and how often the member that
// serves a key changed.
#include <boost/program_options.hpp>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/standins/command_line.h"
#include "orioledoor/standins/json_poster.h"
#include "orioledoor/standins/loop.h"

namespace po = boost::program_options;
using namespace orioledoor;

namespace {

constexpr Duration ProbeInterval = std::chrono::milliseconds(20);
constexpr timeval AnswerTimeout{0, 500'000};

struct ProbeOptions {
  std::vector<std::string> Entries;
  std::string Service;
  std::uint32_t Keys = 60;
  double Seconds = 8;
  std::int64_t ThresholdMillis = 100;
};

// Probes one key over its own connection, with at most one open request.
struct KeyProbe {
  KeyProbe() = default;
  KeyProbe(const KeyProbe &) = delete;
  KeyProbe &operator=(const KeyProbe &) = delete;
  ~KeyProbe() {
    if (this->Http)
      evhttp_connection_free(this->Http);
  }

  void sendRequest() {
    if (this->RequestOpen)
      return;
    evhttp_request *Request = evhttp_request_new(
        [](evhttp_request *Answer, void *Context) {
          static_cast<KeyProbe *>(Context)->handleAnswer(Answer);
        },
        this);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    evhttp_add_header(Headers, "Host", "127.0.0.1");
    evhttp_add_header(Headers, "Oriole-Timeout-Ms", "400");
    this->RequestOpen = true;
    if (evhttp_make_request(this->Http, Request, EVHTTP_REQ_GET,
                            this->Path.c_str()) != 0)
      this->RequestOpen = false;
  }

  void handleAnswer(evhttp_request *Answer) {
    this->RequestOpen = false;
    if (!Answer || evhttp_request_get_response_code(Answer) != 200)
      return;
    Instant Now = readClock();
    if (this->LastAnswer.micros() != 0)
      this->LongestGap = std::max(this->LongestGap, Now - this->LastAnswer);
    this->LastAnswer = Now;
    const char *Member = evhttp_find_header(
        evhttp_request_get_input_headers(Answer), "Oriole-Owner");
    std::string AnsweringOwner = Member ? Member : "";
    this->OwnerChanges +=
        !this->Owner.empty() && this->Owner != AnsweringOwner ? 1 : 0;
    this->Owner = AnsweringOwner;
  }

  std::string Path;
  evhttp_connection *Http = nullptr;
  bool RequestOpen = false;
  Instant LastAnswer;
  Duration LongestGap{0};
  std::string Owner;
  unsigned OwnerChanges = 0;
};

int probe(const ProbeOptions &Options) {
  standins::Loop Events;
  std::vector<std::unique_ptr<KeyProbe>> Probes;
  for (std::uint32_t I = 0; I < Options.Keys; ++I) {
    auto Key = std::make_unique<KeyProbe>();
    Key->Path = "/" + Options.Service + "/probe-" + std::to_string(I);
    auto [Host, Port] =
        standins::splitPeer(Options.Entries[I % Options.Entries.size()]);
    Key->Http = evhttp_connection_base_bufferevent_new(
        Events.base(), nullptr, nullptr, Host.c_str(), Port);
    evhttp_connection_set_timeout_tv(Key->Http, &AnswerTimeout);
    Probes.push_back(std::move(Key));
  }
  Events.every(ProbeInterval, [&] {
    std::ranges::for_each(Probes, [](auto &Key) { Key->sendRequest(); });
  });
  Events.after(std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(Options.Seconds)),
               [&] { Events.stop(); });
  Events.run();

  Instant End = readClock();
  std::vector<std::int64_t> Gaps;
  unsigned OwnerChanges = 0;
  unsigned NeverAnswered = 0;
  for (const auto &Key : Probes) {
    OwnerChanges += Key->OwnerChanges;
    NeverAnswered += Key->LastAnswer.micros() == 0 ? 1 : 0;
    Duration LongestGap = std::max(Key->LongestGap, End - Key->LastAnswer);
    std::int64_t Millis = LongestGap.count() / 1000;
    if (Key->LastAnswer.micros() != 0 && Millis > Options.ThresholdMillis)
      Gaps.push_back(Millis);
  }
  std::ranges::sort(Gaps);
  std::cout << "keys=" << Options.Keys << " never_answered=" << NeverAnswered
            << " interrupted=" << Gaps.size()
            << " median_ms=" << (Gaps.empty() ? 0 : Gaps[Gaps.size() / 2])
            << " longest_ms=" << (Gaps.empty() ? 0 : Gaps.back())
            << " owner_changes=" << OwnerChanges << '\n';
  return NeverAnswered == 0 ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  ProbeOptions Probe;
  po::options_description Options("outage_probe");
  Options.add_options()("help", "shows the options")(
      "entry", po::value(&Probe.Entries)->required(),
      "IP:PORT of an entry node; may be repeated")(
      "service", po::value(&Probe.Service)->required(),
      "service name")("keys", po::value(&Probe.Keys), "number of keys")(
      "duration", po::value(&Probe.Seconds),
      "seconds")("threshold-ms", po::value(&Probe.ThresholdMillis),
                 "shorter gaps do not count as an interruption");
  if (auto Status = orioledoor::standins::parseCommandLine("outage_probe",
                                                           Options, Argc, Argv))
    return *Status;
  return probe(Probe);
}

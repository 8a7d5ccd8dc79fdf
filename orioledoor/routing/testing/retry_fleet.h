// The retry budgets of a fleet in virtual time, and the repeats that they allow
// together. Two services: callers send to "front" and, a quarter as often, to
// "back"; each run of "front" calls "back".
//
//   RetryFleet Fleet({.Nodes = 295, .RequestsPerSecond = 1200});
//   Fleet.run(std::chrono::seconds(30));
//   Fleet.setFailing(true, true);
//   Fleet.run(std::chrono::seconds(20));
//   double Excess = Fleet.worstExcess("back");   // above 0: too many
#ifndef ORIOLEDOOR_ROUTING_TESTING_RETRY_FLEET_H
#define ORIOLEDOOR_ROUTING_TESTING_RETRY_FLEET_H

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "orioledoor/routing/retry_budgets.h"

namespace orioledoor::routing::testing {

struct RetryFleetOptions {
  std::size_t Nodes = 18;
  // Requests of callers for "front".
  double RequestsPerSecond = 1000;
  // The platform's limit for the whole fleet in each window: this share of the
  // requests and a constant number.
  double Ratio = 0.2;
  double Extra = 62;
  double CallsPerRun = 1.4;
  // Shares of the limit that the nodes are configured with.
  double RatioShare = 0.5;
  double ExtraShare = 0.3;
  // Share of the callers that enter at the first tenth of the nodes.
  double EntrySkew = 0.1;
};

// Not thread-safe. Deterministic.
class RetryFleet {
public:
  explicit RetryFleet(RetryFleetOptions Options) : Options(Options) {
    this->setNodes(Options.Nodes, Options.Nodes);
  }

  // Replaces the fleet by new processes on this many nodes, which assume that
  // the fleet has KnownNodes members.
  void restart(std::size_t Nodes, std::size_t KnownNodes) {
    this->Nodes.clear();
    this->setNodes(Nodes, KnownNodes);
  }
  // Adds nodes that know all members; the others know only those before.
  void join(std::size_t Added) {
    std::size_t All = this->Nodes.size() + Added;
    this->setNodes(All, All);
  }
  // The first half of the nodes no longer knows the other half.
  void cut() {
    for (std::size_t I = 0; I < this->Nodes.size() / 2; ++I)
      this->setKnownNodes(*this->Nodes[I].Budgets, this->Nodes.size() / 2);
  }
  // Whether targets fail all requests for "front", and refuse all for "back".
  void setFailing(bool Front, bool Back) {
    this->FrontFails = Front;
    this->BackFails = Back;
  }
  void setRequestRate(double PerSecond) {
    this->Options.RequestsPerSecond = PerSecond;
  }

  void run(Duration Time) {
    for (Instant End = this->Now + Time; this->Now < End;) {
      this->Now = this->Now + Step;
      for (auto &[Service, Counted] : this->Counts)
        Counted.emplace_back();
      this->Due += this->Options.RequestsPerSecond * Step.count() / 1e6;
      for (; this->Due >= 1; this->Due -= 1) {
        this->sendToFront();
        if (this->Random() % 4 == 0)
          this->send("back", this->entryNode(), 0);
      }
    }
  }

  // Largest number of repeats beyond what is allowed, in any window.
  double worstExcess(const std::string &Service) const {
    const auto &Counted = this->Counts.at(Service);
    std::vector<double> Requests{0};
    std::vector<double> Repeats{0};
    for (const StepCount &Count : Counted) {
      Requests.push_back(Requests.back() + Count.Requests);
      Repeats.push_back(Repeats.back() + Count.Repeats);
    }
    auto Sum = [](const std::vector<double> &Sums, std::size_t End) {
      return Sums[End] - Sums[End > WindowSteps ? End - WindowSteps : 0];
    };
    double Worst = -1e9;
    for (std::size_t End = 2 * WindowSteps; End < Requests.size(); ++End) {
      double Most =
          std::max({Sum(Requests, End), Sum(Requests, End - WindowSteps / 2),
                    Sum(Requests, End - WindowSteps)});
      Worst = std::max(Worst, Sum(Repeats, End) - this->Options.Ratio * Most -
                                  this->Options.Extra);
    }
    return Worst;
  }
  // Number of retries of a service that were sent.
  std::uint64_t retries(const std::string &Service) const {
    std::uint64_t All = 0;
    for (const Node &Each : this->Nodes)
      Each.Budgets->forEach(this->Now,
                            [&](const std::string &Name, const RetryUse &Use,
                                double /*Available*/) {
                              if (Name == Service)
                                for (std::uint64_t Taken : Use.Taken)
                                  All += Taken;
                            });
    return All;
  }

private:
  static constexpr Duration Step = std::chrono::milliseconds(10);
  static constexpr Duration Window = std::chrono::seconds(10);
  static constexpr std::size_t WindowSteps = Window / Step;
  // Time that a run holds its slot.
  static constexpr Duration RunTime = std::chrono::milliseconds(300);

  struct StepCount {
    double Requests = 0;
    double Repeats = 0;
  };
  struct Run {
    Instant StartedAt;
    bool Repeat = false;
  };
  struct Node {
    std::unique_ptr<RetryBudgets> Budgets;
    std::deque<Run> Runs{};
    std::size_t Repeats = 0;
  };

  void setKnownNodes(RetryBudgets &Budgets, std::size_t KnownNodes) {
    Budgets.setFleetSize(KnownNodes);
  }

  void setNodes(std::size_t Count, std::size_t KnownNodes) {
    while (this->Nodes.size() < Count) {
      this->Nodes.push_back({std::make_unique<RetryBudgets>(RetryBudgetOptions{
          .Ratio = this->Options.Ratio * this->Options.RatioShare,
          .FleetExtra = this->Options.Extra * this->Options.ExtraShare,
          .Window = Window})});
      this->setKnownNodes(*this->Nodes.back().Budgets, KnownNodes);
    }
  }

  bool happens(double Probability) {
    return static_cast<double>(this->Random() >> 11) * 0x1p-53 < Probability;
  }

  std::size_t entryNode() {
    std::size_t Busy = std::max<std::size_t>(1, this->Nodes.size() / 10);
    return this->happens(this->Options.EntrySkew)
               ? this->Random() % Busy
               : this->Random() % this->Nodes.size();
  }

  void sendToFront() {
    std::size_t Entry = this->entryNode();
    ++this->Counts["front"].back().Requests;
    this->Nodes[Entry].Budgets->noteArrival("front", this->Now);
    this->runFront(false);
    if (this->FrontFails && this->Nodes[Entry].Budgets->take(
                                "front", RetryReason::Failed, this->Now))
      this->runFront(true);
  }

  void runFront(bool Repeat) {
    // Every second node is beside a target of "front".
    std::size_t Place = this->Random() % ((this->Nodes.size() + 1) / 2) * 2;
    Node &At = this->Nodes[Place];
    if (Repeat && At.Budgets->isShort("back", this->Now))
      return;
    if (Repeat)
      ++this->Counts["front"].back().Repeats;
    while (!At.Runs.empty() &&
           this->Now - At.Runs.front().StartedAt > RunTime) {
      At.Repeats -= At.Runs.front().Repeat ? 1 : 0;
      At.Runs.pop_front();
    }
    At.Runs.push_back({this->Now, Repeat});
    At.Repeats += Repeat ? 1 : 0;
    double Share =
        static_cast<double>(At.Repeats) / static_cast<double>(At.Runs.size());
    for (double Calls = this->Options.CallsPerRun; Calls > 0; Calls -= 1)
      if (this->happens(Calls)) {
        if (Repeat)
          ++this->Counts["back"].back().Repeats;
        this->send("back", Place, Share);
      }
  }

  void send(const std::string &Service, std::size_t Entry, double RepeatShare) {
    ++this->Counts[Service].back().Requests;
    RetryBudgets &Budgets = *this->Nodes[Entry].Budgets;
    Budgets.noteArrival(Service, this->Now);
    if (RepeatShare > 0)
      Budgets.chargeInherited(Service, RepeatShare, this->Now);
    if (this->BackFails &&
        Budgets.take(Service, RetryReason::Refused, this->Now))
      ++this->Counts[Service].back().Repeats;
  }

  RetryFleetOptions Options;
  Instant Now{std::int64_t{1'000'000}};
  bool FrontFails = false;
  bool BackFails = false;
  // Fraction of the next request that is due.
  double Due = 0;
  std::mt19937_64 Random{7};
  std::vector<Node> Nodes;
  std::map<std::string, std::vector<StepCount>> Counts{{"front", {}},
                                                       {"back", {}}};
};

} // namespace orioledoor::routing::testing

#endif // ORIOLEDOOR_ROUTING_TESTING_RETRY_FLEET_H

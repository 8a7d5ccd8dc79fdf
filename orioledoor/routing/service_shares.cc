// Round-robin state of each route and its starting position.
#include "orioledoor/routing/service_shares.h"

#include <algorithm>
#include <functional>
#include <numeric>

#include "orioledoor/routing/route_table.h"

namespace orioledoor::routing {
namespace {

// Upper bound for the steps that a new cycle is advanced by. Weights are
// percentages, so a cycle has at most 100 steps.
constexpr std::uint64_t MaxInitialSteps = 100;

} // namespace

std::size_t ServiceShares::Cycle::advance() {
  std::ranges::transform(this->CurrentWeights, this->Services,
                         this->CurrentWeights.begin(),
                         [](double Current, const WeightedService &Service) {
                           return Current + Service.Weight;
                         });
  auto Best = std::ranges::max_element(this->CurrentWeights);
  *Best -= std::transform_reduce(
      this->Services.begin(), this->Services.end(), 0.0, std::plus<>(),
      [](const WeightedService &Service) { return Service.Weight; });
  return static_cast<std::size_t>(Best - this->CurrentWeights.begin());
}

const std::string &ServiceShares::pick(const Route &Matched) {
  if (Matched.Services.size() == 1)
    return Matched.Services.front().Service;
  std::string Key = Matched.Host + Matched.Prefix;
  Cycle &State = this->Cycles[Key];
  if (State.Services != Matched.Services) {
    State = {Matched.Host, Matched.Prefix, Matched.Services,
             std::vector<double>(Matched.Services.size())};
    std::uint64_t Steps =
        std::hash<std::string>()(Key + std::to_string(this->Seed)) %
        MaxInitialSteps;
    for (; Steps > 0; --Steps)
      State.advance();
  }
  return Matched.Services[State.advance()].Service;
}

void ServiceShares::retain(const RouteTable &Table) {
  std::erase_if(this->Cycles, [&Table](const auto &Entry) {
    const Route *Found = Table.find(Entry.second.Host, Entry.second.Prefix);
    return !Found || Found->Prefix != Entry.second.Prefix;
  });
}

} // namespace orioledoor::routing

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
constexpr std::uint64_t MostStepsAhead = 100;

} // namespace

std::size_t ServiceShares::Cycle::next() {
  std::ranges::transform(this->Owed, this->Parts, this->Owed.begin(),
                         [](double Owed, const WeightedService &Part) {
                           return Owed + Part.Weight;
                         });
  auto Best = std::ranges::max_element(this->Owed);
  *Best -= std::transform_reduce(
      this->Parts.begin(), this->Parts.end(), 0.0, std::plus<>(),
      [](const WeightedService &Part) { return Part.Weight; });
  return static_cast<std::size_t>(Best - this->Owed.begin());
}

const std::string &ServiceShares::pick(const Route &Of) {
  if (Of.Services.size() == 1)
    return Of.Services.front().Service;
  std::string Key = Of.Host + Of.Prefix;
  Cycle &Kept = this->Cycles[Key];
  if (Kept.Parts != Of.Services) {
    Kept = {Of.Host, Of.Prefix, Of.Services,
            std::vector<double>(Of.Services.size())};
    std::uint64_t Steps =
        std::hash<std::string>()(Key + std::to_string(this->Seed)) %
        MostStepsAhead;
    for (; Steps > 0; --Steps)
      Kept.next();
  }
  return Of.Services[Kept.next()].Service;
}

void ServiceShares::retain(const RouteTable &Table) {
  std::erase_if(this->Cycles, [&Table](const auto &Entry) {
    const Route *Found = Table.find(Entry.second.Host, Entry.second.Prefix);
    return !Found || Found->Prefix != Entry.second.Prefix;
  });
}

} // namespace orioledoor::routing

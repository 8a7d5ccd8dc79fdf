// Index of ready targets by service and ring.
#include "orioledoor/routing/target_choice.h"

#include <algorithm>

#include "orioledoor/routing/target_directory.h"

namespace orioledoor::routing {

std::vector<const TargetEntry *> *
CandidateIndex::ringOf(std::string_view Service, Distance Ring) {
  auto Found = this->Services.find(Service);
  return Found == this->Services.end()
             ? nullptr
             : &Found->second[static_cast<std::size_t>(Ring)];
}

void CandidateIndex::add(const std::string &Service, Distance Ring,
                         const TargetEntry *Added) {
  this->Services[Service][static_cast<std::size_t>(Ring)].push_back(Added);
}

void CandidateIndex::remove(std::string_view Service, Distance Ring,
                            const TargetEntry *Removed) {
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return;
  std::erase(Found->second[static_cast<std::size_t>(Ring)], Removed);
  if (std::ranges::all_of(Found->second,
                          [](const auto &Entries) { return Entries.empty(); }))
    this->Services.erase(Found);
}

std::size_t CandidateIndex::size(std::string_view Service,
                                 Distance Ring) const {
  auto Found = this->Services.find(Service);
  return Found == this->Services.end()
             ? 0
             : Found->second[static_cast<std::size_t>(Ring)].size();
}

} // namespace orioledoor::routing

// The failure domains that are evacuated, as far as this node knows.
//
//   Domains.replace({"bilbao"}, Now + Grace);
//   if (Domains.contains("bilbao")) ...
#ifndef ORIOLEDOOR_ROUTING_EVACUATED_DOMAINS_H
#define ORIOLEDOOR_ROUTING_EVACUATED_DOMAINS_H

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Not thread-safe. Look-ups are logarithmic in the number of evacuated domains.
class EvacuatedDomains {
public:
  using Names = std::set<std::string, std::less<>>;

  // Sets the evacuated domains. KeysServedUntil: time until which targets in
  // those that were not evacuated before serve requests with keys.
  void replace(const Names &Domains, Instant KeysServedUntil) {
    std::erase_if(this->ServedUntil, [&Domains](const auto &Known) {
      return !Domains.contains(Known.first);
    });
    for (const std::string &Domain : Domains)
      this->ServedUntil.try_emplace(Domain, KeysServedUntil);
  }
  bool contains(std::string_view Domain) const {
    return this->ServedUntil.contains(Domain);
  }
  // Returns whether requests with keys may still be sent to the domain.
  bool servesKeys(std::string_view Domain, Instant Now) const {
    auto Found = this->ServedUntil.find(Domain);
    return Found == this->ServedUntil.end() || Now < Found->second;
  }

private:
  std::map<std::string, Instant, std::less<>> ServedUntil;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_EVACUATED_DOMAINS_H

// Index of the services in a catalogue.
#include "orioledoor/requests/service_index.h"

#include <algorithm>
#include <utility>

#include "orioledoor/catalogue/catalogue.h"

namespace orioledoor::requests {

void ServiceIndex::assign(std::shared_ptr<const Catalogue> Next) {
  this->Current = std::move(Next);
  this->Entries.clear();
  if (!this->Current)
    return;
  for (const ServiceEntry &Entry : this->Current->Services)
    this->Entries.emplace(serviceIdOf(Entry.Name), &Entry);
}

const ServiceEntry *ServiceIndex::find(ServiceId Id) const {
  auto Found = this->Entries.find(Id);
  return Found == this->Entries.end() ? nullptr : Found->second;
}

const ServiceEntry *ServiceIndex::find(std::string_view Name) const {
  const ServiceEntry *Entry = this->find(serviceIdOf(Name));
  return Entry && Entry->Name == Name ? Entry : nullptr;
}

bool isIdempotent(const ServiceEntry &Entry, std::string_view Method) {
  return Method == "GET" || Method == "HEAD" ||
         std::ranges::find(Entry.IdempotentMethods, Method) !=
             Entry.IdempotentMethods.end();
}

} // namespace orioledoor::requests

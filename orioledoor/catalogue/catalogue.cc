// Look-up of services in a catalogue.
#include "orioledoor/catalogue/catalogue.h"

#include <algorithm>

namespace orioledoor {

const ServiceEntry *Catalogue::find(ServiceId Id) const {
  auto Found = std::ranges::find(this->Services, Id, &ServiceEntry::Id);
  return Found == this->Services.end() ? nullptr : &*Found;
}

const ServiceEntry *Catalogue::find(std::string_view Name) const {
  auto Found = std::ranges::find(this->Services, Name, &ServiceEntry::Name);
  return Found == this->Services.end() ? nullptr : &*Found;
}

} // namespace orioledoor

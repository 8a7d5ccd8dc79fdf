// Executes calls to the platform's store on a StoreModel.
//
//   StoreHttpResponse Answer = executeCall(Model, Call, readClock());
#ifndef ORIOLEDOOR_STANDINS_STORE_EXECUTION_H
#define ORIOLEDOOR_STANDINS_STORE_EXECUTION_H

#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/platform/store_service_codec.h"
#include "orioledoor/standins/store_model.h"

namespace orioledoor::standins {

// Executes any call except a watch, whose answer has to wait for a change.
platform::StoreHttpResponse executeCall(StoreModel &Model,
                                        const platform::StoreServiceCall &Call,
                                        Instant Now);

// Converts changes to the form in which a watch reports them.
std::vector<StoreChange>
toStoreChanges(const std::vector<StoredChange> &Changes);

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_STORE_EXECUTION_H

// Carries out calls of the platform's store on a StoreModel.
//
//   StoreHttpResponse Answer = executeCall(Model, Call, readClock());
#ifndef ORIOLEDOOR_STANDINS_STORE_EXECUTION_H
#define ORIOLEDOOR_STANDINS_STORE_EXECUTION_H

#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/platform/store_service_codec.h"
#include "orioledoor/standins/store_model.h"

namespace orioledoor::standins {

// The answer to any call but a watch, which has to wait.
platform::StoreHttpResponse executeCall(StoreModel &Model,
                                        const platform::StoreServiceCall &Call,
                                        Instant Now);

// The changes as a watch reports them.
std::vector<StoreChange> changesOf(const std::vector<StoredChange> &Changes);

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_STORE_EXECUTION_H

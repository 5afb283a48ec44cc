// Durable writes on the system's files, from a thread of their own.
#ifndef BURLFALL_IO_REAL_DURABLE_H_
#define BURLFALL_IO_REAL_DURABLE_H_

#include <memory>

#include "io/durable.h"
#include "io/real_machine.h"

namespace burlfall {

// Throws std::system_error where the system has no room for it.
std::unique_ptr<DurableWriter> MakeRealDurable(RealScheduler& scheduler);

}  // namespace burlfall

#endif  // BURLFALL_IO_REAL_DURABLE_H_

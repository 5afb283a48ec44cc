// Durable writes to the file system, made by a worker thread.
#ifndef BURLFALL_IO_REAL_DURABLE_H_
#define BURLFALL_IO_REAL_DURABLE_H_

#include <memory>

#include "io/durable.h"
#include "io/real_machine.h"

namespace burlfall {

// Throws std::system_error if the system lacks the resources.
std::unique_ptr<DurableWriter> MakeRealDurable(RealScheduler& scheduler);

}  // namespace burlfall

#endif  // BURLFALL_IO_REAL_DURABLE_H_

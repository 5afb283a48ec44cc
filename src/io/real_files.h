// The file system, by system calls.
#ifndef BURLFALL_IO_REAL_FILES_H_
#define BURLFALL_IO_REAL_FILES_H_

#include <memory>

#include "io/files.h"

namespace burlfall {

std::unique_ptr<Files> MakeRealFiles();

}  // namespace burlfall

#endif  // BURLFALL_IO_REAL_FILES_H_

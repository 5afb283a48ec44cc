// Files, as the program sees them.
#ifndef BURLFALL_IO_FILES_H_
#define BURLFALL_IO_FILES_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/network.h"

namespace burlfall {

class Files {
 public:
  enum class Open {
    kAppend,  // made where it is not there
    kNew,     // must not be there yet; others of the group may read it
  };

  virtual ~Files() = default;
  // The whole of it; nothing where it can't be read.
  virtual std::optional<std::string> Read(const std::string& path) = 0;
  // Nullptr where it can't be opened; `why` then says so in plain words.
  virtual std::unique_ptr<Writable> Write(const std::string& path, Open how, std::string& why) = 0;
  // What stands there is then all of it, whenever this process ends: the old, or the new. False where that
  // can't be done, and the old stands as it was; `why` then says so in plain words.
  virtual bool Replace(const std::string& path, std::string_view text, std::string& why) = 0;
  // False where it can't be made; one that is there already is fine.
  virtual bool MakeFolder(const std::string& path) = 0;
  // Whether it is a folder in which this process may make files; `why` says what is wrong.
  virtual bool Usable(const std::string& folder, std::string& why) = 0;
  virtual std::vector<std::string> List(const std::string& folder) = 0;  // names, unsorted; none on error
  virtual bool Remove(const std::string& path) = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_FILES_H_

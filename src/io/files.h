// The interface to the file system.
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
    kAppend,  // created if missing
    kNew,     // must not exist yet; created readable by the group
  };

  virtual ~Files() = default;
  // The whole content; nothing if the file can't be read.
  virtual std::optional<std::string> Read(const std::string& path) = 0;
  // Opens for writing. Returns nullptr, with the reason in `why`, if that fails.
  virtual std::unique_ptr<Writable> Write(const std::string& path, Open how, std::string& why) = 0;
  // Replaces the content atomically: if this process dies, the file holds either the old text or the new one.
  // Returns false, with the reason in `why`, on failure; the old content is then unchanged.
  virtual bool Replace(const std::string& path, std::string_view text, std::string& why) = 0;
  // Creates the folder and its parents. Returns false on failure; an existing folder is a success.
  virtual bool MakeFolder(const std::string& path) = 0;
  // Whether `folder` is a directory in which this process may create files; if not, `why` says the reason.
  virtual bool IsWritableFolder(const std::string& folder, std::string& why) = 0;
  virtual std::vector<std::string> List(const std::string& folder) = 0;  // names, unsorted; none on error
  virtual bool Remove(const std::string& path) = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_FILES_H_

// A temporary directory for one run, accessible only to this user.
#ifndef BURLFALL_IO_RUN_FOLDER_H_
#define BURLFALL_IO_RUN_FOLDER_H_

#include <string>
#include <string_view>

namespace burlfall {

class RunFolder {
 public:
  // Created in `parent`, or if that is empty in $TMPDIR or /tmp. Throws std::system_error on failure.
  explicit RunFolder(std::string parent = "");
  ~RunFolder();  // removes the directory and its content, unless Keep() was called
  RunFolder(const RunFolder&) = delete;

  const std::string& path() const { return path_; }
  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  // Replaces the file atomically: a reader sees the complete old or new text. Throws std::system_error.
  void Write(const std::string& name, std::string_view text) const;
  void Keep() { keep_ = true; }

 private:
  std::string path_;
  bool keep_ = false;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_RUN_FOLDER_H_

#include "lab/source.h"

#include <filesystem>
#include <iostream>

#include "io/real_files.h"
#include "lab/shipped.h"

namespace burlfall::lab {

namespace fs = std::filesystem;

void Complain(const std::string& what) { std::cerr << "burlfall lab: " << what << "\n"; }

std::optional<Source> FindSource(const std::string& word, const std::string& what, const std::string& list) {
  if (fs::is_regular_file(word)) {
    std::optional<std::string> text = MakeRealFiles()->Read(word);
    if (text) return Source{word, std::move(*text)};
  }
  for (const Shipped& one : AllShipped()) {
    if (one.name == word) return Source{word + ".toml", std::string(one.text)};
  }
  if (fs::exists(word)) {
    Complain(word + ": " + (fs::is_directory(word) ? "a folder, not a file" : "not a plain file"));
    return {};
  }
  Complain(word + ": no such file, and no shipped " + what + " of that name; `burlfall lab " + list +
           "` names these");
  return {};
}

}  // namespace burlfall::lab

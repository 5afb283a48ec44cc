// Pieces of a page. Whatever comes from a file goes through Escaped.
#ifndef BURLFALL_LAB_REPORT_HTML_H_
#define BURLFALL_LAB_REPORT_HTML_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace burlfall::lab {

// Safe as an element's content and within quotes.
std::string Escaped(std::string_view text);

// How many bytes the character of UTF-8 at `at` has; 0 where there is none.
std::size_t CharacterAt(std::string_view text, std::size_t at);

// A table of plain texts, which are escaped here. The first cell of a row is its name.
class HtmlTable {
 public:
  struct Column {
    Column(std::string_view says, bool is_text = false) : name(says), text(is_text) {}
    Column(const char* says, bool is_text = false) : name(says), text(is_text) {}
    std::string name;
    bool text;  // not figures: to the left
  };
  explicit HtmlTable(std::vector<Column> columns);
  // `look`: a class of the page's style, or none.
  HtmlTable& Row(std::string_view look = "");
  HtmlTable& Cell(std::string_view text, std::string_view look = "");
  HtmlTable& Html(const std::string& html);  // a cell of elements, over all columns
  std::string Done() const;

 private:
  std::vector<Column> columns_;
  std::size_t cell_ = 0;
  std::string html_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_REPORT_HTML_H_

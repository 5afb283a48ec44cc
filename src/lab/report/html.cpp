#include "lab/report/html.h"

#include <utility>

namespace burlfall::lab {

std::size_t CharacterAt(std::string_view text, std::size_t at) {
  const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  if (at >= text.size()) return 0;
  const unsigned char first = byte(at);
  if (first < 0x80) return 1;
  const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
  if (first < 0xc2 || first > 0xf4 || at + length > text.size()) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(at + i) & 0xc0) != 0x80) return 0;
  }
  return length;
}

std::string Escaped(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t length = CharacterAt(text, at);
    const char c = text[at];
    if (c == '&') {
      escaped += "&amp;";
    } else if (c == '<') {
      escaped += "&lt;";
    } else if (c == '>') {
      escaped += "&gt;";
    } else if (c == '"') {
      escaped += "&quot;";
    } else if (c == '\'') {
      escaped += "&#39;";
    } else if (length == 0 || (static_cast<unsigned char>(c) < 0x20 && c != '\n' && c != '\t') || c == 0x7f) {
      escaped += "\xef\xbf\xbd";  // the replacement character
    } else {
      escaped += text.substr(at, length);
    }
    at += length == 0 ? 1 : length;
  }
  return escaped;
}

HtmlTable::HtmlTable(std::vector<Column> columns) : columns_(std::move(columns)) {
  html_ = "<div class=\"wide\"><table><thead><tr>";
  for (const Column& column : columns_) {
    html_ += std::string("<th") + (column.text ? " class=\"text\">" : ">") + Escaped(column.name) + "</th>";
  }
  html_ += "</tr></thead><tbody>\n";
}

HtmlTable& HtmlTable::Row(std::string_view look) {
  html_ += cell_ == 0 ? "<tr" : "</tr>\n<tr";
  if (!look.empty()) html_ += " class=\"" + Escaped(look) + "\"";
  html_ += ">";
  cell_ = 0;
  return *this;
}

HtmlTable& HtmlTable::Cell(std::string_view text, std::string_view look) {
  const char* name = cell_ == 0 ? "th" : "td";
  std::string looks = cell_ < columns_.size() && columns_[cell_].text ? "text" : "";
  if (!look.empty()) looks.append(looks.empty() ? "" : " ").append(Escaped(look));
  ++cell_;
  html_.append("<").append(name);
  if (!looks.empty()) html_.append(" class=\"").append(looks).append("\"");
  html_.append(">").append(Escaped(text)).append("</").append(name).append(">");
  return *this;
}

HtmlTable& HtmlTable::Html(const std::string& html) {
  html_ += "<td class=\"text\" colspan=\"" + std::to_string(columns_.size()) + "\">" + html + "</td>";
  ++cell_;
  return *this;
}

std::string HtmlTable::Done() const {
  return html_ + (cell_ == 0 ? "" : "</tr>\n") + "</tbody></table></div>\n";
}

}  // namespace burlfall::lab

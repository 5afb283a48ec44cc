// Fields of the small text files that the program writes: one record per line, fields separated by spaces.
#ifndef BURLFALL_CODEC_WORDS_H_
#define BURLFALL_CODEC_WORDS_H_

#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

namespace burlfall {

// Replaces spaces, control bytes and % by %XX.
std::string Escaped(std::string_view text);
// Appends the decoded word to `text`. Returns false if the word is empty or no valid output of Escaped().
bool Unescaped(std::string_view word, std::string& text);

// Parses `text`, all of it, as a number that is not negative. Returns false if it is not one.
template <typename Number>
bool WholeNumber(std::string_view text, Number& value, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

// Parses a positive number of seconds, integer or decimal. Returns 0 if `text` is none. There is no upper
// bound: the caller checks that.
double PositiveSeconds(std::string_view text);

// Removes the first word and the space behind it from `line`, and returns the word; empty if there is none.
std::string_view NextWord(std::string_view& line);

}  // namespace burlfall

#endif  // BURLFALL_CODEC_WORDS_H_

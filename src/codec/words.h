// Words of the small text files that the program keeps: one a blank, one line a thing.
#ifndef BURLFALL_CODEC_WORDS_H_
#define BURLFALL_CODEC_WORDS_H_

#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

namespace burlfall {

// With %XX for blanks, control bytes and %.
std::string Escaped(std::string_view text);
// False where it can't be what Escaped() wrote, or is empty; `text` is appended to.
bool Unescaped(std::string_view word, std::string& text);

// The whole of it is a number that is not below 0.
template <typename Number>
bool WholeNumber(std::string_view text, Number& value, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

// Seconds above 0, whole or decimal; 0: it is none. Without a bound: what is taken of it the caller says.
double PositiveSeconds(std::string_view text);

// Takes the first word off the front; empty where there is none.
std::string_view NextWord(std::string_view& line);

}  // namespace burlfall

#endif  // BURLFALL_CODEC_WORDS_H_

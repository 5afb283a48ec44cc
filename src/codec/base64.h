// Base64url (RFC 4648, section 5) without padding. Decoding is strict: each value has exactly one valid text.
#ifndef BURLFALL_CODEC_BASE64_H_
#define BURLFALL_CODEC_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace burlfall {

std::string Base64Url(std::string_view bytes);
// Returns nothing when the text is not valid base64url.
std::optional<std::string> FromBase64Url(std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_CODEC_BASE64_H_

// Signed access tokens, which say which request classes their holder may use, and until when.
//
//   v1.KEY.HOLDER.CLASSES.EXPIRY.SIGNATURE
//
// HOLDER and SIGNATURE are base64url without padding, CLASSES are joined by plus signs, EXPIRY is Unix time
// in seconds. The signature is the HMAC-SHA256 of everything before the last dot.
#ifndef BURLFALL_GATES_TOKENS_H_
#define BURLFALL_GATES_TOKENS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "config/properties.h"
#include "io/time.h"

namespace burlfall {

// Checks and issues tokens with the configured keys.
class Tokens {
 public:
  enum class Verdict { kPass, kMissing, kForged, kExpired, kLacksClass };

  void Configure(const TokensSettings& settings) { settings_ = settings; }
  bool enabled() const { return settings_.on; }

  // `token` is empty if the query has none. `now` is Unix time in microseconds.
  Verdict Check(std::string_view token, std::string_view cls, Micros now) const;
  // `key` is the id of a configured key, `expiry` Unix time in seconds. Throws BadConfig if there is no such
  // key, or if a token can't hold these parts.
  std::string Issue(const std::string& key, std::string_view holder, std::string_view classes,
                    int64_t expiry) const;

 private:
  TokensSettings settings_;
};

// The HTTP status and body with which a query is refused; empty for kPass.
struct TokenResponse {
  int status = 0;
  std::string_view body;
};
TokenResponse ResponseFor(Tokens::Verdict verdict);

}  // namespace burlfall

#endif  // BURLFALL_GATES_TOKENS_H_

// The operators' own settings, from a file of `key = value` lines. A feature is on if the file has one of its
// keys, unless `<feature>.enabled` is false.
#ifndef BURLFALL_CONFIG_PROPERTIES_H_
#define BURLFALL_CONFIG_PROPERTIES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/platform_config.h"
#include "io/time.h"

namespace burlfall {

// Export of figures (metrics).
struct FiguresSettings {
  bool on = false;
  bool influx = false;            // influx line protocol; otherwise statsd
  std::string target = "stderr";  // or the path of a file, or HOST:PORT of `collector`
  std::optional<Address> collector = {};
  Micros flush = kSecond;
  size_t batch_bytes = 1400;
};

// Rate limits at admission: token buckets per caller (keys `door.*`).
struct RateLimitSettings {
  struct Rate {
    double per_s = 20;
    double burst = 40;
  };
  bool on = false;
  bool by_address = false;  // callers are identified by their address; otherwise by their tenant
  size_t max_keys = 10000;
  Rate default_rate;                                   // of callers without a rate of their own
  std::unordered_map<std::string, Rate> rates_by_key;  // by tenant or address
};

// Recording of the decision module's inputs and decisions.
struct CaptureSettings {
  bool on = false;
  size_t memory_kb = 512;
  std::string dir;  // empty: the ring is in memory
  size_t files = 8;
  size_t file_kb = 1024;
};

// Verification of clients' tokens.
struct TokensSettings {
  bool on = false;
  bool required = false;
  int64_t leeway_s = 5;
  std::map<std::string, std::string> keys;  // secret keys of 32 bytes, by key id
};

struct Properties {
  FiguresSettings figures;
  RateLimitSettings rate_limits;
  CaptureSettings capture;
  TokensSettings tokens;

  std::string EnabledFeatures() const;  // names of the features that are on, or "none"
};

// Throws BadConfig; the message is one line and never contains a secret.
Properties LoadProperties(const std::string& path, Files& files);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_PROPERTIES_H_

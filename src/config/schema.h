// Defines a TOML file once; its parser, its checks, `burlfall-config explain` and its reference page are
// derived from the definition. A complete example, from the struct to the value:
//
//   enum class Order { kFair, kFirstCome };
//   struct Node {
//     std::string name;
//     double speed = 1.0;                     // the only place of the default
//   };
//   struct Site {
//     int balancers = 3;
//     Range<int64_t> delay_us = {200, 400};
//     Order order = Order::kFair;
//     std::optional<double> loss;             // optional; without a value if it is left out
//     std::vector<Node> nodes;
//   };
//
//   Schema<Node> NodeSchema() {
//     Schema<Node> s("a node of the site");
//     s.Key("name", &Node::name, "how reports call the node").Required().Length(1, 32);
//     s.Key("speed", &Node::speed, "how fast it works; 1 is a job a second").Between(0.1, 100);
//     return s;
//   }
//
//   Schema<Site> SiteSchema() {
//     Schema<Site> s("a site of the laboratory");
//     s.Key("balancers", &Site::balancers, "balancers that the site starts").Between(1, 64);
//     s.Key("delay_us", &Site::delay_us, "what a packet takes, drawn evenly")
//         .Unit("us")
//         .Between(0, 1'000'000);
//     s.Words("order", &Site::order, {{"fair", Order::kFair}, {"first-come", Order::kFirstCome}},
//             "who is next");
//     s.Key("loss", &Site::loss, "the share of packets that is lost").Between(0, 1);
//     s.Tables("nodes", &Site::nodes, NodeSchema(), "the nodes behind the balancers")
//         .Required()
//         .Length(1, 1000);
//     s.Check([](const Site& site, Findings& findings) {
//       std::set<std::string> names;
//       for (size_t i = 0; i < site.nodes.size(); i++) {
//         if (names.insert(site.nodes[i].name).second) continue;
//         findings.Add("nodes[" + std::to_string(i) + "].name", "a name of its own",
//                      Quoted(site.nodes[i].name));
//       }
//     });
//     return s;
//   }
//
//   Loaded<Site> loaded = SiteSchema().Parse("site.toml", text);     // the caller reads the file
//   for (const ConfigError& error : loaded.errors) std::cerr << error.Line() << "\n";
//   if (loaded.value) Run(*loaded.value);
//
// which accepts
//
//   balancers = 2
//   delay_us = [100, 300]
//   [[nodes]]
//   name = "north"
//
// and reports an error as `site.toml:2: delay_ms: expected a known key, found "delay_ms" (did you mean
// "delay_us"?)`.
//
// Members may be any whole number but bool and char, double, bool, std::string, Range<int64_t>,
// Range<double>, an enum (by Words), a struct with a schema of its own (by Table), and std::optional or
// std::vector of any of these. A whole number in the file is accepted for a double, but not the reverse; NaN
// and infinities are refused.
#ifndef BURLFALL_CONFIG_SCHEMA_H_
#define BURLFALL_CONFIG_SCHEMA_H_

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "config/key_spec.h"

namespace burlfall {

// A pair written `[low, high]` in the file, with low <= high.
template <class N>
struct Range {
  N low{};
  N high{};
  friend bool operator==(const Range&, const Range&) = default;
};

// The result of parsing a file: either a value or errors.
template <class T>
struct Loaded {
  std::optional<T> value;
  std::vector<ConfigError> errors;  // in order of lines; empty if and only if there is a value
};

namespace schema_internal {

template <class M>
struct Member {
  using Element = M;
  static constexpr bool kOptional = false, kList = false;
};
template <class M>
struct Member<std::optional<M>> {
  using Element = M;
  static constexpr bool kOptional = true, kList = false;
};
template <class M>
struct Member<std::vector<M>> {
  using Element = M;
  static constexpr bool kOptional = false, kList = true;
};
template <class M>
using ElementOf = typename Member<M>::Element;

}  // namespace schema_internal

// Further options of a key, chained to its definition.
class KeyOptions {
 public:
  explicit KeyOptions(KeySpec& key) : key_(key) {}

  // Limits of a number, or of each number in a list or a range.
  KeyOptions& Between(Bound low, Bound high) { return AtLeast(low), AtMost(high); }
  KeyOptions& AtLeast(Bound low) { return key_.low = low, *this; }
  KeyOptions& AtMost(Bound high) { return key_.high = high, *this; }
  KeyOptions& Above(Bound low) { return key_.low = low, key_.is_low_open = true, *this; }
  // Limits of the length of a text in bytes, or of the number of elements of a list.
  KeyOptions& Length(size_t least, size_t most) {
    key_.min_length = least;
    key_.max_length = most;
    return *this;
  }
  // "ms", "us", "s", "bytes", "per_s", ...; the key must end in it, as in `wait_ms`.
  KeyOptions& Unit(std::string_view unit) { return key_.unit = std::string(unit), *this; }
  KeyOptions& Required() { return key_.is_required = true, *this; }

 private:
  KeySpec& key_;
};

// The definition of a table that fills a T, which must be default-constructible. Copies are independent.
template <class T>
class Schema {
 public:
  // `meaning` describes the table on the reference page, for example "a node of the site".
  explicit Schema(std::string meaning = "") {
    spec_.meaning = std::move(meaning);
    spec_.make = [] { return std::make_shared<T>(); };
  }

  // A key with one value: a number, a flag, a text, a range; or an optional or a list of these.
  template <class M>
  KeyOptions Key(std::string name, M T::*member, std::string meaning);

  // A key whose value is one of the given words, each for one value of an enum.
  template <class M>
  KeyOptions Words(std::string name, M T::*member,
                   std::vector<std::pair<std::string, schema_internal::ElementOf<M>>> words,
                   std::string meaning);

  // A table `[name]`; an optional one has a value only if the file has the table.
  template <class M>
  KeyOptions Table(std::string name, M T::*member, const Schema<schema_internal::ElementOf<M>>& schema,
                   std::string meaning) {
    static_assert(!schema_internal::Member<M>::kList, "use Tables for std::vector");
    return AddTable(std::move(name), member, schema, std::move(meaning));
  }

  // An array of tables, `[[name]]`.
  template <class C>
  KeyOptions Tables(std::string name, std::vector<C> T::*member, const Schema<C>& schema,
                    std::string meaning) {
    return AddTable(std::move(name), member, schema, std::move(meaning));
  }

  // A check across keys. It runs only if every value in the table is valid by itself.
  template <class F>
  requires std::invocable<F, const T&, Findings&>
  void Check(F check) {
    spec_.checks.push_back([check = std::move(check)](const void* object, Findings& findings) {
      check(*static_cast<const T*>(object), findings);
    });
  }

  // `file` is the file's name for error messages; `text` is its content.
  Loaded<T> Parse(std::string_view file, std::string_view text) const {
    Loaded<T> loaded;
    T object;
    loaded.errors = ParseInto(spec_, file, text, &object);
    if (loaded.errors.empty()) loaded.value = std::move(object);
    return loaded;
  }

  const TableSpec& Spec() const { return spec_; }

 private:
  KeySpec& Add(std::string name, std::string meaning) {
    KeySpec& key = spec_.keys.emplace_back();
    key.name = std::move(name);
    key.meaning = std::move(meaning);
    return key;
  }

  // Sets the accessors of the member, given the conversions of one element.
  template <class M, class From, class To>
  static void Bind(KeySpec& key, M T::*member, From from, To to);

  template <class M>
  KeyOptions AddTable(std::string name, M T::*member, const Schema<schema_internal::ElementOf<M>>& schema,
                      std::string meaning);

  TableSpec spec_;
};

// ---- Binding of members; not needed to use a schema ----

namespace schema_internal {

// Conversions of one element. From() receives only values that were checked against the key.
template <class E>
struct Codec;

template <class E>
requires std::integral<E> &&(!std::same_as<E, bool>)struct Codec<E> {
  static void Describe(KeySpec& key) {
    key.type = KeySpec::Type::kWhole;
    if constexpr (std::is_signed_v<E> || sizeof(E) < sizeof(int64_t)) {
      key.member_max = static_cast<int64_t>(std::numeric_limits<E>::max());
    }
    key.member_min = static_cast<int64_t>(std::numeric_limits<E>::min());
  }
  static E From(const TomlValue& value) { return static_cast<E>(value.whole); }
  static TomlValue To(E e) { return TomlValue::Whole(static_cast<int64_t>(e)); }
};

template <>
struct Codec<double> {
  static void Describe(KeySpec& key) { key.type = KeySpec::Type::kNumber; }
  static double From(const TomlValue& value) { return value.number; }
  static TomlValue To(double e) { return TomlValue::Number(e); }
};

template <>
struct Codec<bool> {
  static void Describe(KeySpec& key) { key.type = KeySpec::Type::kFlag; }
  static bool From(const TomlValue& value) { return value.flag; }
  static TomlValue To(bool e) { return TomlValue::Flag(e); }
};

template <>
struct Codec<std::string> {
  static void Describe(KeySpec& key) { key.type = KeySpec::Type::kText; }
  static std::string From(const TomlValue& value) { return value.text; }
  static TomlValue To(const std::string& e) { return TomlValue::Text(e); }
};

template <class N>
struct Codec<Range<N>> {
  static void Describe(KeySpec& key) {
    Codec<N>::Describe(key);
    key.is_range = true;
  }
  static Range<N> From(const TomlValue& value) {
    return {Codec<N>::From(value.items[0]), Codec<N>::From(value.items[1])};
  }
  static TomlValue To(const Range<N>& e) {
    return TomlValue::List({Codec<N>::To(e.low), Codec<N>::To(e.high)});
  }
};

}  // namespace schema_internal

template <class T>
template <class M, class From, class To>
void Schema<T>::Bind(KeySpec& key, M T::*member, From from, To to) {
  key.is_optional = schema_internal::Member<M>::kOptional;
  key.is_list = schema_internal::Member<M>::kList;
  key.set = [member, from](void* object, const TomlValue& value) {
    M& target = static_cast<T*>(object)->*member;
    if constexpr (schema_internal::Member<M>::kList) {
      target.clear();
      for (const TomlValue& item : value.items) target.push_back(from(item));
    } else {
      target = from(value);
    }
  };
  key.get = [member, to](const void* object) {
    const M& source = static_cast<const T*>(object)->*member;
    if constexpr (schema_internal::Member<M>::kList) {
      std::vector<TomlValue> items;
      for (const auto& element : source) items.push_back(to(element));
      return TomlValue::List(std::move(items));
    } else if constexpr (schema_internal::Member<M>::kOptional) {
      return source ? to(*source) : TomlValue();
    } else {
      return to(source);
    }
  };
}

template <class T>
template <class M>
KeyOptions Schema<T>::Key(std::string name, M T::*member, std::string meaning) {
  using Codec = schema_internal::Codec<schema_internal::ElementOf<M>>;
  KeySpec& key = Add(std::move(name), std::move(meaning));
  Codec::Describe(key);
  Bind(key, member, &Codec::From, &Codec::To);
  return KeyOptions(key);
}

template <class T>
template <class M>
KeyOptions Schema<T>::Words(std::string name, M T::*member,
                            std::vector<std::pair<std::string, schema_internal::ElementOf<M>>> words,
                            std::string meaning) {
  using E = schema_internal::ElementOf<M>;
  KeySpec& key = Add(std::move(name), std::move(meaning));
  key.type = KeySpec::Type::kWord;
  for (const auto& [word, e] : words) key.words.push_back(word);
  auto table = std::make_shared<const std::vector<std::pair<std::string, E>>>(std::move(words));
  Bind(
      key, member,
      [table](const TomlValue& value) {
        for (const auto& [word, e] : *table) {
          if (word == value.text) return e;
        }
        return E{};  // unreachable: only defined words pass the check
      },
      [table](const E& e) {
        for (const auto& [word, value] : *table) {
          if (value == e) return TomlValue::Text(word);
        }
        return TomlValue::Text("");  // the value has no word: SchemaFaults reports this for a default
      });
  return KeyOptions(key);
}

template <class T>
template <class M>
KeyOptions Schema<T>::AddTable(std::string name, M T::*member,
                               const Schema<schema_internal::ElementOf<M>>& schema, std::string meaning) {
  KeySpec& key = Add(std::move(name), std::move(meaning));
  key.type = KeySpec::Type::kTable;
  key.is_optional = schema_internal::Member<M>::kOptional;
  key.is_list = schema_internal::Member<M>::kList;
  key.table = std::make_shared<const TableSpec>(schema.Spec());
  key.resize = [member](void* object, size_t count) {
    M& target = static_cast<T*>(object)->*member;
    if constexpr (schema_internal::Member<M>::kList) {
      target.clear();
      target.resize(count);
    } else if constexpr (schema_internal::Member<M>::kOptional) {
      if (!target) target.emplace();
    }
  };
  key.at = [member](void* object, size_t i) -> void* {
    M& target = static_cast<T*>(object)->*member;
    if constexpr (schema_internal::Member<M>::kList) {
      return i < target.size() ? &target[i] : nullptr;
    } else if constexpr (schema_internal::Member<M>::kOptional) {
      return i == 0 && target ? &*target : nullptr;
    } else {
      return i == 0 ? &target : nullptr;
    }
  };
  return KeyOptions(key);
}

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_SCHEMA_H_

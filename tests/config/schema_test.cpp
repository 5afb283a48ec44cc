// Schemas, TOML parsing, `burlfall-config` with the sample kind of sample.h, and properties for random input.
#include "config/schema.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "config/explain.h"
#include "config/kinds.h"
#include "config/sample.h"

namespace burlfall {
namespace {

using sample::Order;
using sample::Site;

const std::string kNode = "[[nodes]]\nname = 'n'\n";

Loaded<Site> Read(const std::string& text) {
  static const Schema<Site> kSchema = sample::SiteSchema();
  return kSchema.Parse("f.toml", text);
}

// Returns the errors of a file, one per line; "" if it is valid.
std::string Errors(const std::string& text) {
  std::string lines;
  const Loaded<Site> loaded = Read(text);
  EXPECT_EQ(loaded.value.has_value(), loaded.errors.empty());
  for (const ConfigError& error : loaded.errors) lines += error.Line() + "\n";
  return lines;
}

// Returns the single error of a file that consists of `text` and a valid node, without the file's name.
std::string Error(const std::string& text) {
  const std::string lines = Errors(text + "\n" + kNode);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 1) << lines;
  return lines.size() < 8 ? lines : lines.substr(7, lines.size() - 8);
}

TEST(Schema, BindsEveryType) {
  const Loaded<Site> loaded = Read(R"(
    balancers = 2
    seed = 0x7fff_ffff_ffff_ffff
    delay_us = [100, 300]
    load = [1, 1.5]  # whole numbers will do for a double
    steps = [[1, 2], [2.5, 3]]
    order = "first-come"
    loss = 0.25
    title = "ü\n"
    weights = [-128, 127]
    tags = ["a", ""]
    queue = { strict = true, limit = 7 }
    [spare]
    strict = true
    [[nodes]]
    name = "north"
    [[nodes.faults]]
    at_ms = -1
    orders = ["fair", "first-come"]
    [[nodes]]
    name = "south"
    speed = 100)");
  ASSERT_TRUE(loaded.value) << loaded.errors.front().Line();
  const Site& site = *loaded.value;
  EXPECT_EQ(site.balancers, 2);
  EXPECT_EQ(site.seed, 0x7fffffffffffffffU);
  EXPECT_EQ(site.delay_us, (Range<int64_t>{100, 300}));
  EXPECT_EQ(site.load, (Range<double>{1, 1.5}));
  EXPECT_EQ(site.steps, (std::vector<Range<double>>{{1, 2}, {2.5, 3}}));
  EXPECT_EQ(site.order, Order::kFirstCome);
  EXPECT_EQ(site.loss, 0.25);
  EXPECT_EQ(site.title, "ü\n");
  EXPECT_EQ(site.weights, (std::vector<int8_t>{-128, 127}));
  EXPECT_EQ(site.tags, (std::vector<std::string>{"a", ""}));
  EXPECT_EQ(site.queue.limit, 7);
  EXPECT_TRUE(site.queue.strict);
  ASSERT_TRUE(site.spare);
  EXPECT_EQ(site.spare->limit, 100);
  ASSERT_EQ(site.nodes.size(), 2U);
  EXPECT_EQ(site.nodes[0].faults[0].at_ms, -1);
  EXPECT_EQ(site.nodes[0].faults[0].orders, (std::vector{Order::kFair, Order::kFirstCome}));
  EXPECT_EQ(site.nodes[1].speed, 100);
}

TEST(Schema, TakesDefaultsFromInitializers) {
  const Loaded<Site> loaded = Read(kNode + "[queue]\nstrict = false");
  ASSERT_TRUE(loaded.value);
  EXPECT_EQ(loaded.value->balancers, 3);
  EXPECT_EQ(loaded.value->weights, (std::vector<int8_t>{1, 2}));
  EXPECT_EQ(loaded.value->queue.limit, 50);  // the enclosing struct's default overrides Queue's own
  EXPECT_FALSE(loaded.value->loss);
  EXPECT_FALSE(loaded.value->spare);
  EXPECT_EQ(loaded.value->nodes[0].speed, 1.0);
}

// Texts with one error each, and the whole message after "f.toml:".
struct Slip {
  const char* text;
  const char* error;
};
const Slip kSlips[] = {
    // keys
    {"balancer = 1", R"(1: balancer: expected a known key, found "balancer" (did you mean "balancers"?))"},
    {"delay = 1", R"(1: delay: expected a known key, found "delay" (did you mean "delay_us"?))"},
    {"\ndelay_ms = 1", R"(2: delay_ms: expected a known key, found "delay_ms" (did you mean "delay_us"?))"},
    {"queue.Limit = 1", R"(1: queue.Limit: expected a known key, found "Limit" (did you mean "limit"?))"},
    {"[queue]\nx = 1", R"(2: queue.x: expected one of the keys limit, strict, found "x")"},
    {"[queue]\n\"a\\nb\" = 1", R"(2: queue."a\nb": expected one of the keys limit, strict, found "a\nb")"},
    // types
    {"balancers = 1.0", "1: balancers: expected a whole number from 1 to 64, found 1.0"},
    {"balancers = '1'", R"(1: balancers: expected a whole number from 1 to 64, found "1")"},
    {"balancers = 2001-02-03",
     "1: balancers: expected a whole number from 1 to 64, found the date 2001-02-03"},
    {"balancers = [1]", "1: balancers: expected a whole number from 1 to 64, found [1]"},
    {"queue.strict = 1", "1: queue.strict: expected true or false, found 1"},
    {"title = true", "1: title: expected a text of 0 to 40 bytes, found true"},
    {"queue = 1", "1: queue: expected a table, found 1"},
    {"balancers.a = 1", "1: balancers: expected a whole number from 1 to 64, found a table"},
    {"spare = []", "1: spare: expected a table, found []"},
    {"\n[order.x]\ny = 1", "2: order: expected one of fair, first-come, found a table"},
    {"weights = 1", "1: weights: expected a list of whole numbers with 1 to 4 elements, found 1"},
    {"tags = ['a',\n 1]", "2: tags[1]: expected a text, found 1"},
    // limits
    {"balancers = 65", "1: balancers: expected a whole number from 1 to 64, found 65"},
    {"balancers = 0", "1: balancers: expected a whole number from 1 to 64, found 0"},
    {"loss = 1.01", "1: loss: expected a number from 0 to 1, found 1.01"},
    {"loss = nan", "1: loss: expected a number from 0 to 1, found nan"},
    {"load = [1, inf]", "1: load: expected a range [low, high] of numbers, above 0, found [1, inf]"},
    {"load = [0, 1]", "1: load: expected a range [low, high] of numbers, above 0, found [0, 1]"},
    {"delay_us = [2, 1]",
     "1: delay_us: expected a range [low, high] of whole numbers from 0 to 1000000, found [2, 1], "
     "whose low is "
     "above its high"},
    {"delay_us = [1]",
     "1: delay_us: expected a range [low, high] of whole numbers from 0 to 1000000, found [1]"},
    {"steps = [[1, 2], [1, 2, 3]]", "1: steps[1]: expected a range [low, high] of numbers, found [1, 2, 3]"},
    {"weights = []", "1: weights: expected a list of whole numbers with 1 to 4 elements, found 0"},
    {"title = 'to many a title this would be far too long'",
     "1: title: expected a text of 0 to 40 bytes, "
     "found \"to many a title this would be far too long\" of 42"},
    {"order = 'fiar'", R"(1: order: expected one of fair, first-come, found "fiar" (did you mean "fair"?))"},
    {"order = 'x'", R"(1: order: expected one of fair, first-come, found "x")"},
    // numbers that the members can't hold
    {"weights = [127, 128]", "1: weights[1]: expected a whole number from -128 to 127, found 128"},
    {"queue.limit = 65536", "1: queue.limit: expected a whole number from 1 to 65535, found 65536"},
    {"seed = -1", "1: seed: expected a whole number, at least 0, found -1"},
    // invalid TOML
    {"seed = 9223372036854775808",
     "1:27: expected valid TOML, found '9223372036854775808' is not representable in 64 bits"},
    {"seed = 1\nseed = 2", "2:8: seed: expected each key once, found this one again"},
    {"[queue]\n[queue]", "2:1: queue: expected each key once, found this one again"},
    {"balancers = ", "1:13: expected value, found '\\n'"},
    {"a b", "1:3: expected '=', found 'b'"},
    {"title = 'a\nb'",
     "1:11: expected valid TOML, found control characters other than TAB (U+0009) are explicitly "
     "prohibited"}};

TEST(Schema, ReportsEachErrorInOneLine) {
  for (const Slip& slip : kSlips) EXPECT_EQ(Error(slip.text), slip.error) << slip.text;
}

TEST(Schema, ReportsMissingKeys) {
  EXPECT_EQ(Errors("order = 'fair'"),
            "f.toml:1: nodes: expected an array of tables with 1 to 3 tables, found nothing\n");
  EXPECT_EQ(Errors("\n[[nodes]]\nspeed = 1\n[[nodes.faults]]"),
            "f.toml:2: nodes[0].name: expected a text of 1 to 32 bytes, found nothing\n"
            "f.toml:4: nodes[0].faults[0].at_ms: expected a whole number, found nothing\n");
  EXPECT_EQ(Errors("nodes = []"),
            "f.toml:1: nodes: expected an array of tables with 1 to 3 tables, found 0\n");
  EXPECT_EQ(Errors("nodes = [{name = 'a'}, 1]"), "f.toml:1: nodes[1]: expected a table, found 1\n");
}

TEST(Schema, NamesTheLineOfACrossCheck) {
  EXPECT_EQ(Errors(kNode + "\n[[nodes]]\nspeed = 1\nname = 'n'"),
            "f.toml:6: nodes[1].name: expected a name of its own, found \"n\"\n");
  // A missing key has no line; the error has the line of the table.
  EXPECT_EQ(Errors(kNode + "[queue]\nstrict = true"),
            "f.toml:3: queue.limit: expected a limit, for the queue is strict, found nothing\n");
  // Cross checks don't run on values that are invalid by themselves.
  EXPECT_EQ(Errors(kNode + kNode + "speed = 0"),
            "f.toml:5: nodes[1].speed: expected a number from 0.1 to 100, found 0\n");
}

TEST(Schema, FindsAllErrorsByLineAndBoundsThem) {
  EXPECT_EQ(Errors("balancers = 0\n[[nodes]]\nspeed = 0\n[queue]\nlimit = 0\n"),
            "f.toml:1: balancers: expected a whole number from 1 to 64, found 0\n"
            "f.toml:2: nodes[0].name: expected a text of 1 to 32 bytes, found nothing\n"
            "f.toml:3: nodes[0].speed: expected a number from 0.1 to 100, found 0\n"
            "f.toml:5: queue.limit: expected a whole number from 1 to 65535, found 0\n");
  std::string text;
  for (int i = 0; i < 1000; i++) text += "key" + std::to_string(i) + " = 1\n";
  const Loaded<Site> loaded = Read(text + kNode);
  ASSERT_EQ(loaded.errors.size(), kMaxConfigErrors + 1);
  EXPECT_EQ(loaded.errors[19].line, 20);
  EXPECT_EQ(loaded.errors[20].Line(), "f.toml: expected no further errors, found 980 more");
}

TEST(Schema, KeepsErrorsShortAndOnOneLine) {
  const std::string key = "\"" + std::string(5000, 'k') + "\\n\\u2028\\u202E\" = 1";
  const std::string line = Error(key);
  EXPECT_LT(line.size(), 800U);
  EXPECT_EQ(Error("tags = ['\x1b']").find('\x1b'), std::string::npos);
  const std::string shown = Error("order = \"\\u2028\\u0085\\u202E\\u0000\\\"\"");
  EXPECT_NE(shown.find(R"("\u2028\u0085\u202E\u0000\"")"), std::string::npos) << shown;
  ConfigError error{"a\nb", 1, 0, "", "x", "y"};
  EXPECT_EQ(error.Line(), "a\\u000Ab:1: expected x, found y");
}

// On these texts toml++ 3.3 by itself overflows the stack, fails an assertion or reaches "unreachable" code.
TEST(Toml, SurvivesTextsThatCrashTheParser) {
  std::string dots = "a";
  for (int i = 0; i < 100'000; i++) dots += ".a";
  EXPECT_EQ(Error(dots + " = 1"), "1:64: expected dotted keys at most 32 deep, found more");
  EXPECT_EQ(Error("[" + dots + "]"), "1:65: expected dotted keys at most 32 deep, found more");
  const std::string brackets(100'000, '[');
  EXPECT_EQ(Error("\nx = " + brackets), "2:37: expected lists and tables at most 32 deep, found more");
  EXPECT_EQ(Error("[\x03"), "1:2: expected bare key starting character or string delimiter, found '\\u0003'");
  EXPECT_NE(Error("\xd1\xae"), "");
  const Loaded<Site> loaded = Read("title = \"\"\"\\\n \xd1\xae\"\"\"\n" + kNode);
  ASSERT_TRUE(loaded.value);
  EXPECT_EQ(loaded.value->title, "\xd1\xae");
  EXPECT_EQ(Error("title = '" + std::string(kMaxTomlBytes, 'x')),
            " expected at most 1048576 bytes, found 1048607");
}

TEST(Toml, CountsNoDepthInStringsAndComments) {
  const std::string deep(100, '[');
  const std::string dots(100, '.');
  EXPECT_EQ(Errors("# " + deep + dots + "\ntags = [\"" + deep + "\\\"" + dots + "\", '" + deep + "', '''''" +
                   deep + "\n''''', \"\"\"" + dots + "\\\n\"\"\"\"]\n" + kNode),
            "");
  EXPECT_EQ(Error("tags = ['''a'''', " + deep),
            "1:50: expected lists and tables at most 32 deep, found more");
  // An unterminated string does not hide the lines after it.
  EXPECT_EQ(Error("title = \"\nx = " + deep), "2:37: expected lists and tables at most 32 deep, found more");
}

// ---- Faults of the definition itself ----

struct Bad {
  int a = 0;
  double b_ms = 0;
  std::string c = {};
  Order d = static_cast<Order>(7);
  std::optional<int> e = {};
  std::vector<sample::Node> f = {};
  sample::Node g = {};
};

TEST(Schema, ReportsFaultsOfItsDefinition) {
  EXPECT_EQ(SchemaFaults(sample::SiteSchema().Spec()), std::vector<std::string>());
  Schema<Bad> s;
  s.Key("a", &Bad::a, "m").Unit("ms").Between(0.5, 2);
  s.Key("a", &Bad::a, "").AtLeast(1).Length(0, 1);
  s.Key("B-c", &Bad::b_ms, "m").Between(2, 1);
  s.Key("b_ms", &Bad::b_ms, "m");
  s.Key("c_ms", &Bad::c, "m").Unit("ms").AtLeast(1);
  s.Words("d", &Bad::d, {{"x", Order::kFair}, {"x", Order::kFirstCome}}, "m");
  s.Key("e", &Bad::e, "m").Required();
  s.Tables("f", &Bad::f, sample::NodeSchema(), "m").Length(1, 2);
  s.Table("g", &Bad::g, sample::NodeSchema(), "m");
  const std::vector<std::string> expected = {
      "a: has the unit ms, but does not end in _ms",
      "a: is a whole number, but its limits are not",
      "a: is defined twice",
      "a: has no meaning",
      "a: has a length, but is neither a text nor a list",
      "a: has a default that it refuses: expected a whole number from 1 to 2147483647, found 0",
      "B-c: is no name of small letters, digits and underscores",
      "B-c: has a low limit above its high one",
      "B-c: has a default that it refuses: expected a number from 2 to 1, found 0.0",
      "b_ms: ends in _ms, but has no unit",
      "c_ms: has a unit, but is no number",
      "c_ms: has limits of a number, but is none",
      "d: has no words, or one twice",
      "d: has a default that it refuses: expected one of x, x, found \"\"",
      "e: is both required and optional",
      "f: defaults to 0 tables, which its own limits refuse",
      "g: may be left out, but name in it may not"};
  EXPECT_EQ(SchemaFaults(s.Spec()), expected);
}

// ---- Explain ----

Kind SampleKind() { return {"sample", "what the tests read", sample::SiteSchema().Spec(), "nodes"}; }

TEST(Explain, DescribesOneKey) {
  for (const KeyRow& row : KeyRows(SampleKind().schema)) {
    if (row.path != "nodes.speed") continue;
    EXPECT_EQ(ExplainKey(SampleKind(), row),
              "nodes.speed, a key of sample\n  type     a number\n  unit     none\n  default  1.0\n"
              "  range    0.1 to 100\n  meaning  how fast it works; 1 is a job a second\n");
    return;
  }
  FAIL() << "no such key";
}

TEST(Explain, ListsTheValuesInForce) {
  const FileValues values = ValuesInForce(sample::SiteSchema().Spec(), "f.toml",
                                          "order = 'first-come'\nqueue.strict = false\n" + kNode);
  EXPECT_TRUE(values.errors.empty());
  EXPECT_EQ(ExplainValues(values.rows),
            "balancers = 3          # default\n"
            "seed = 1               # default\n"
            "delay_us = [200, 400]  # default\n"
            "load = [0.5, 1.0]      # default\n"
            "steps = []             # default\n"
            "order = \"first-come\"   # line 1\n"
            "loss  (not set)        # default\n"
            "title = \"a|b\"          # default\n"
            "weights = [1, 2]       # default\n"
            "tags = []              # default\n"
            "queue.limit = 50       # default\n"
            "queue.strict = false   # line 2\n"
            "spare  (not set)       # default\n"
            "nodes[0].name = \"n\"    # line 4\n"
            "nodes[0].speed = 1.0   # default\n"
            "nodes[0].faults = []   # default\n");
  EXPECT_TRUE(ValuesInForce(sample::SiteSchema().Spec(), "f.toml", "x = 1").rows.empty());
}

TEST(Kinds, AreIdentifiedByNameOrKey) {
  const std::vector<Kind> kinds = {SampleKind(), {"other", "", {}}};
  EXPECT_EQ(KindOfFile(kinds, "a/sample.toml", ""), &kinds[0]);
  EXPECT_EQ(KindOfFile(kinds, "a/x.other.toml", "nodes = 1"), &kinds[1]);
  EXPECT_EQ(KindOfFile(kinds, "x.toml", "a = 1\nnodes = 1"), &kinds[0]);
  EXPECT_EQ(KindOfFile(kinds, "x.toml", "[other]"), &kinds[1]);
  EXPECT_EQ(KindOfFile(kinds, "another.toml", "x = 1"), nullptr);
}

// ---- The program ----

struct ToolResult {
  int code;
  std::string out;  // standard output and standard error
};
ToolResult RunTool(const std::string& arguments) {
  ToolResult result{-1, ""};
  FILE* pipe = popen((std::string(SAMPLE_TOOL) + " " + arguments + " 2>&1").c_str(), "r");
  if (pipe == nullptr) return result;
  char buffer[4096];
  for (size_t n = 0; (n = fread(buffer, 1, sizeof buffer, pipe)) > 0;) result.out.append(buffer, n);
  const int status = pclose(pipe);
  result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

class Program : public testing::Test {
 protected:
  Program() {
    std::string name = testing::TempDir() + "config_XXXXXX";
    dir_ = mkdtemp(name.data());
  }
  ~Program() override { std::filesystem::remove_all(dir_); }

  std::string File(const std::string& name, const std::string& text) {
    std::ofstream(dir_ / name, std::ios::binary) << text;
    return (dir_ / name).string();
  }

  std::filesystem::path dir_;
};

TEST_F(Program, ChecksFiles) {
  const std::string good = File("a.sample.toml", kNode);
  const std::string bad = File("b.toml", "balancers = 0\n" + kNode);
  EXPECT_EQ(RunTool("check " + good).out, good + ": valid sample\n");
  EXPECT_EQ(RunTool("check " + good).code, 0);
  const ToolResult result = RunTool("check " + bad);
  EXPECT_EQ(result.code, 2);
  EXPECT_EQ(result.out, bad + ":1: balancers: expected a whole number from 1 to 64, found 0\n");
  EXPECT_NE(RunTool("check --json " + bad).out.find("\"line\": 1,"), std::string::npos);
  EXPECT_EQ(RunTool("check " + dir_.string()).code, 2);
  EXPECT_NE(RunTool("check " + dir_.string() + "/none.toml").out.find("No such file"), std::string::npos);
  const std::string unknown = File("c.toml", "");
  EXPECT_EQ(RunTool("check " + unknown).code, 2);
  EXPECT_NE(RunTool("check --kind sample " + unknown).out.find("nodes: expected"), std::string::npos);
}

TEST_F(Program, ExplainsFileKeyAndKind) {
  EXPECT_NE(RunTool("explain " + File("a.toml", kNode)).out.find("nodes[0].name = \"n\""), std::string::npos);
  EXPECT_NE(RunTool("explain 'nodes[3].speed'").out.find("0.1 to 100"), std::string::npos);
  EXPECT_NE(RunTool("explain sample").out.find("\n[[nodes.faults]]  (may be left out)\n"), std::string::npos);
  EXPECT_EQ(RunTool("explain").out, "sample: what the tests read\n");
  EXPECT_NE(RunTool("explain --json nodes.speed").out.find("\"default\": \"1.0\""), std::string::npos);
  const ToolResult result = RunTool("explain nodes.sped");
  EXPECT_EQ(result.code, 2);
  EXPECT_NE(result.out.find("did you mean \"nodes.speed\"?"), std::string::npos);
}

TEST_F(Program, ChecksAndWritesReferencePages) {
  const std::string dir = (dir_ / "pages").string();
  EXPECT_EQ(RunTool("reference --check " + dir).code, 1);
  EXPECT_EQ(RunTool("reference --write " + dir).code, 0);
  EXPECT_EQ(RunTool("reference --check " + dir).code, 0);
  std::filesystem::copy(dir + "/sample.md", dir + "/gone.md");
  EXPECT_NE(RunTool("reference --check " + dir).out.find("gone.md: of a kind that no longer exists"),
            std::string::npos);
  File("pages/gone.md", "by hand");
  EXPECT_EQ(RunTool("reference --check " + dir).code, 0);
  File("pages/sample.md", "x");
  EXPECT_EQ(RunTool("reference --check " + dir).code, 1);
}

TEST_F(Program, RefusesWrongUsage) {
  for (const char* arguments :
       {"", "nonsense", "check", "reference", "reference --write a --check b", "explain a b"}) {
    EXPECT_EQ(RunTool(arguments).code, 2) << arguments;
  }
  for (const char* arguments : {"--help", "explain --help", "check --help", "reference --help"}) {
    EXPECT_EQ(RunTool(arguments).code, 0) << arguments;
  }
}

// ---- Properties ----

void CheckInvariants(const std::string& text) {
  const Loaded<Site> loaded = Read(text);
  RC_ASSERT(loaded.value.has_value() == loaded.errors.empty());
  RC_ASSERT(loaded.errors.size() <= kMaxConfigErrors + 1);
  for (const ConfigError& error : loaded.errors) {
    const std::string line = error.Line();
    RC_ASSERT(line.size() < 1200U);
    RC_ASSERT(line.starts_with("f.toml:"));
    RC_ASSERT(
        std::all_of(line.begin(), line.end(), [](char c) { return c < 0 || (c >= 0x20 && c != 0x7f); }));
  }
}

RC_GTEST_PROP(Property, RandomBytes, (const std::string& text)) { CheckInvariants(text); }

rc::Gen<std::string> Line() {
  return rc::gen::element<std::string>("balancers = 2", "delay_us = [100, 300]", "load = [0.5, 1.5]",
                                       "order = 'fair'", "loss = 1e-3", "title = \"\"\"a\nb\"\"\"",
                                       "weights = [1, -2]", "tags = ['a', \"\\u00fc\"]",
                                       "queue.strict = false", "spare = { limit = 3 }", "[[nodes]]",
                                       "name = 'a'", "speed = 4", "[[nodes.faults]]", "at_ms = 5", "[queue]");
}

RC_GTEST_PROP(Property, RandomLinesWithChangedBytes, ()) {
  std::string text;
  for (const std::string& line : *rc::gen::container<std::vector<std::string>>(Line())) text += line + "\n";
  const auto changes = *rc::gen::container<std::vector<std::pair<size_t, char>>>(rc::gen::pair(
      rc::gen::arbitrary<size_t>(), rc::gen::element('\n', '[', '"', '\'', '=', '.', '9', '\x80', '\0')));
  for (const auto& [at, byte] : changes) {
    if (!text.empty()) text[at % text.size()] = byte;
  }
  CheckInvariants(text);
}

// Values survive formatting as TOML and parsing.
RC_GTEST_PROP(Property, ValuesRoundTrip, (double load, int64_t seed)) {
  // Only ASCII: bytes that are not UTF-8 are written as escapes, and are parsed as other characters.
  const std::string title = (*rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127))).substr(0, 40);
  const double low = 1e-300 + std::abs(load);
  RC_PRE(low < 1.7e308);
  const std::string text =
      "title = " + Quoted(title) + "\nload = [" + ShowToml(TomlValue::Number(low)) + ", 1.7e308]" +
      "\nseed = " + ShowToml(TomlValue::Whole(std::max<int64_t>(seed, 0))) + "\n" + kNode;
  const Loaded<Site> loaded = Read(text);
  RC_ASSERT(loaded.value.has_value());
  RC_ASSERT(loaded.value->title == title);
  RC_ASSERT(loaded.value->load.low == low);
  RC_ASSERT(loaded.value->seed == static_cast<uint64_t>(std::max<int64_t>(seed, 0)));
}

}  // namespace
}  // namespace burlfall

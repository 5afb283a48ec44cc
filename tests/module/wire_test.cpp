// The codec, the settings, and the adapter's answers to malformed input.
#include "sim/wire.h"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>

namespace meadowslip::wire {
namespace {

using Bytes = std::vector<std::byte>;

void Put(Bytes& out, uint64_t value, size_t width) {
  for (size_t i = 0; i < width; ++i) out.push_back(static_cast<std::byte>(value >> (8 * i) & 0xff));
}

struct Field {
  uint64_t value;
  size_t width;
};

Bytes Record(uint16_t code, std::vector<Field> fields, const std::string& tail = "") {
  Bytes body, out;
  for (Field f : fields) Put(body, f.value, f.width);
  for (char c : tail) body.push_back(static_cast<std::byte>(c));
  Put(out, code, 2);
  Put(out, body.size(), 4);
  out.insert(out.end(), body.begin(), body.end());
  return out;
}

Bytes Frame(uint64_t clock, std::vector<Bytes> records) {
  Bytes body, out;
  Put(body, clock, 8);
  Put(body, records.size(), 4);
  for (const Bytes& r : records) body.insert(body.end(), r.begin(), r.end());
  Put(out, body.size(), 4);
  out.insert(out.end(), body.begin(), body.end());
  return out;
}

const char kSettings[] =
    "Balancers=2\nCategories.count=1\nCategories.0.Effect=pure\nCategories.0.Slo=500000\n"
    "Categories.0.HardLimit=2000000\nCaps.SendCap=3\nNobody.Knows=this\n";

Bytes Born(const std::string& settings = kSettings) {
  return Record(1000, {{7, 8}, {settings.size(), 4}}, settings);
}
Bytes Target(uint32_t who) { return Record(1100, {{who, 4}}); }
Bytes Cached(uint32_t backend) {
  return Record(
      1010, {{1, 8}, {2, 1}, {1, 4}, {1, 1}, {0, 2}, {0, 1}, {backend, 4}, {0, 8}, {0x3f800000, 4}, {0, 1}});
}
Bytes Job(uint64_t id) {
  return Record(1020, {{id, 8}, {0, 2}, {0, 4}, {3000000, 8}, {0, 8}, {0, 1}, {0, 2}});
}

struct Ran {
  int code;
  std::string out, err;
};

Ran RunAdapter(const std::vector<Bytes>& frames) {
  std::string base = testing::TempDir() + "adapter_" + std::to_string(getpid());
  std::ofstream in(base + ".in", std::ios::binary);
  for (const Bytes& f : frames)
    in.write(reinterpret_cast<const char*>(f.data()), static_cast<long>(f.size()));
  in.close();
  std::string command = std::string(ADAPTER) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  int status = std::system(command.c_str());
  auto read = [](const std::string& path) {
    std::ifstream f(path, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(f), {});
  };
  Ran ran{WIFEXITED(status) ? WEXITSTATUS(status) : -1, read(base + ".out"), read(base + ".err")};
  for (const char* end : {".in", ".out", ".err"}) std::remove((base + end).c_str());
  return ran;
}

TEST(Settings, AreReadAndUnknownOnesIgnored) {
  Settings s = ParseSettings(
      "Balancers=4\nCaps.SecondCopies=true\nReport.How=piggyback\nReport.Columns=rif,q,new\nRules."
      "SoftRemoval=true\n"
      "MembershipMode=subscribe\nCategories.count=2\nCategories.1.Effect=token\nCategories.1.Group=cell\n"
      "Categories.1.LateShare=0.25\nRealms.count=1\nRealms.0.QuotaPerS=12.5\nUnheard=of\n");
  EXPECT_EQ(s.nodes, 4);
  EXPECT_TRUE(s.second_copies);
  EXPECT_FALSE(s.gone_binds);
  EXPECT_TRUE(s.must_subscribe);
  EXPECT_EQ(s.report_mode, ReportMode::kAnswers);
  ASSERT_EQ(s.report_fields.size(), 3u);
  EXPECT_EQ(s.report_fields[1], LoadField::kQueue);
  EXPECT_EQ(s.report_fields[2], LoadField::kOther);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[1].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(s.classes[1].group, DedupGroup::kCell);
  EXPECT_DOUBLE_EQ(s.classes[1].late_share, 0.25);
  ASSERT_EQ(s.tenants.size(), 1u);
  EXPECT_DOUBLE_EQ(s.tenants[0].quota_per_s, 12.5);
}

TEST(Settings, BadValuesAreNamed) {
  for (const char* text :
       {"Balancers=many", "Balancers=0", "Caps.Cancel=maybe", "Rules.Fall=-1", "no equals sign",
        "Categories.count=1\nCategories.0.Effect=odd", "Caps.SendCap=nan"}) {
    try {
      ParseSettings(text);
      ADD_FAILURE() << text << " was taken";
    } catch (const BadInput& e) {
      EXPECT_NE(std::string(e.what()).find("settings"), std::string::npos);
    }
  }
}

TEST(Adapter, AnswersAnEmptyBatchAndEndsCleanly) {
  Ran ran = RunAdapter({Frame(5, {})});
  EXPECT_EQ(ran.code, 0);
  EXPECT_EQ(ran.out, std::string("\4\0\0\0\0\0\0\0", 8));
  EXPECT_EQ(ran.err, "");
}

TEST(Adapter, SendsARequest) {
  Ran ran = RunAdapter({Frame(1000, {Target(3), Born(), Cached(77), Job(42)})});
  EXPECT_EQ(ran.code, 0) << ran.err;
  Bytes at = Record(1120, {{3, 4}});
  std::string out = ran.out.substr(8);
  EXPECT_EQ(out.substr(0, at.size()), std::string(reinterpret_cast<const char*>(at.data()), at.size()));
  Bytes head = Record(1000, {{42, 8}, {77, 4}, {0, 4}});  // no early time-out: the latency is not known yet
  EXPECT_EQ(out.substr(at.size(), 18), std::string(reinterpret_cast<const char*>(head.data()), 18));
}

TEST(Adapter, IgnoresUnknownRequestsBackendsAndTimers) {
  Bytes done = Record(1040, {{9, 8}, {0, 2}, {0, 1}, {5, 4}, {1, 4}, {0, 1}, {0, 1}});
  Ran ran = RunAdapter({Frame(1000, {Target(1), Born(), Cached(2), done, Record(1050, {{8, 8}}),
                                     Record(1060, {{999, 8}}), Record(1070, {{5, 4}, {1, 4}, {0, 1}, {0, 1}}),
                                     Record(1030, {{9, 8}, {0, 2}, {5, 4}, {1, 4}})})});
  EXPECT_EQ(ran.code, 0) << ran.err;
}

TEST(Adapter, NamesWhatIsMalformedInOneLine) {
  Bytes cut = Frame(1000, {Target(1), Born()});
  cut.resize(cut.size() - 5);
  Bytes short_record = Record(1020, {{1, 8}, {0, 2}});
  Bytes long_record = Record(1050, {{1, 8}, {0, 2}});
  Bytes giant;
  Put(giant, 0xffffffff, 4);
  Bytes list = Record(1010, {{1, 8}, {2, 1}, {0x7fffffff, 4}});
  Bytes odd_outcome = Record(1040, {{9, 8}, {0, 2}, {0, 1}, {5, 4}, {1, 4}, {200, 1}, {0, 1}});
  struct Case {
    std::vector<Bytes> frames;
    const char* says;
  };
  for (const Case& c : std::vector<Case>{
           {{cut}, "ends within a frame"},
           {{Bytes(2)}, "ends within a length"},
           {{giant}, "over the limit"},
           {{Frame(1, {Target(1), Born(), short_record})}, "JOB_IN"},
           {{Frame(1, {Target(1), Born(), long_record})}, "LEFT"},
           {{Frame(1, {Target(1), Born(), list})}, "PEERS_KNOWN"},
           {{Frame(1, {Target(1), Born(), odd_outcome})}, "unknown outcome 200"},
           {{Frame(1, {Record(4242, {})})}, "unknown record code 4242"},
           {{Frame(1, {Target(1), Born("Balancers=x\n")})}, "Balancers"},
           {{Frame(1, {Target(5), Job(1)})}, "instance 5"},
           {{Frame(1, {Job(1)})}, "TARGET_INSTANCE"},
           {{Frame(1, {Target(5), Born(), Record(1090, {}), Job(1)})}, "not started"},
           {{Frame(9, {}), Frame(8, {})}, "backwards"},
       }) {
    Ran ran = RunAdapter(c.frames);
    EXPECT_EQ(ran.code, 1) << c.says;
    EXPECT_NE(ran.err.find(c.says), std::string::npos) << c.says << " not in: " << ran.err;
    EXPECT_EQ(std::count(ran.err.begin(), ran.err.end(), '\n'), 1);
  }
}

}  // namespace
}  // namespace meadowslip::wire

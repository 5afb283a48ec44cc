// All voters of a council lose their folders, and staff begin the council anew with a number above all
// epochs, as the page says. A member that follows owned the work "freeze" before, and its lease still runs.
// No executor may obey it.
#include "../support-2/common.h"

using namespace rv;

namespace {

std::string Value(const std::string& json, const std::string& key, size_t from = 0) {
  const size_t at = json.find("\"" + key + "\":", from);
  if (at == std::string::npos) return "";
  const size_t begin = at + key.size() + 3;
  if (json[begin] == '"') return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
  return json.substr(begin, json.find_first_of(",}]", begin) - begin);
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv, 110);
  constexpr unsigned long long kFloor = 1000000;
  Site site;
  site.balancers = 4;
  Node node("s-zuerich-1", "zuerich", "std-2c");
  Discovery discovery("d1");
  discovery.Set(1, {{node.id(), node.Entry()}});
  std::vector<std::unique_ptr<Balancer>> all;
  std::vector<int> ports;
  std::string voters;
  for (int i = 0; i < 4; ++i) {
    all.push_back(std::make_unique<Balancer>(site, i));
    all.back()->Configure(discovery.server.port, node.Entry());
    ports.push_back(FreePort());
    if (i < 3)
      voters += Text("\n[[voters]]\nname = \"%s\"\naddress = \"127.0.0.1:%d\"\n", all.back()->name.c_str(),
                     ports.back());
  }
  const auto flag = [&](size_t i) {
    return " --log-format json --council " + temp_folder + "/" + all[i]->name + ".council.toml";
  };
  for (size_t i = 0; i < 4; ++i) {
    // docs/council.md: where pauses of more than a second are usual, the lease is raised.
    WriteAll(temp_folder + "/" + all[i]->name + ".council.toml",
             Text("site = \"zuerich\"\nlisten = \"127.0.0.1:%d\"\nfolder = \"$TMPDIR\"\nwants = "
                  "[\"freeze\"]\nlease_s = 20.0\n",
                  ports[i]) +
                 voters);
  }
  std::vector<std::unique_ptr<Process>> running;
  const auto start = [&](size_t i, const std::string& name) {
    return std::make_unique<Process>(name, RunLine() + flag(i), all[i]->Environment());
  };
  for (size_t i = 0; i < 4; ++i) running.push_back(start(i, all[i]->name));
  for (const auto& one : all) {
    if (!one->Up(10000)) End(2, "a balancer did not come up");
  }
  const auto ask = [&](size_t i, const std::string& words, int& code, bool record = true) {
    const std::string text = Output("build/burlfall council " + words + " --socket " + all[i]->folder +
                                        "/burlfall-" + all[i]->name + ".council",
                                    code);
    if (record)
      Rec("operator at %s: council %s -> %d %s", all[i]->name.c_str(), words.c_str(), code,
          text.substr(0, text.find('\n')).c_str());
    return text;
  };
  const auto status = [&](size_t i) {
    int code = 0;
    return ask(i, "status --json", code, false);
  };
  const auto owner = [&](const std::string& json) { return Value(json, "owner", json.find("\"works\"")); };
  int code = 1;
  for (int tries = 0; tries < 20 && code != 0; ++tries) {
    ask(0, "begin", code);
    if (code != 0) SleepMs(300);
  }
  if (!WaitFor(20000, [&] {
        const std::string json = status(0);
        return json.find("\"balancer-3\"", json.find("\"voters\"")) != std::string::npos &&
               !owner(json).empty();
      }))
    End(2, "the council did not come up");
  for (int tries = 0; tries < 60 && owner(status(3)) != "balancer-4"; ++tries) {
    if (tries % 8 == 0) ask(0, "hand-over freeze balancer-4", code);
    SleepMs(250);
  }
  const std::string before = status(3);
  if (owner(before) != "balancer-4") End(2, "balancer-4 did not become the owner");
  const unsigned long long first =
      std::strtoull(Value(before, "epoch", before.find("\"works\"")).c_str(), nullptr, 10);
  Rec("balancer-4, which does not vote, owns freeze under epoch %llu", first);
  if (!running[0]->LogHas(Text("\"epoch\":%llu", first), 15000)) End(2, "its first act did not come");
  SleepMs(1000);
  // 1. "End all voters."
  for (size_t i = 0; i < 3; ++i) running[i]->Signal(SIGTERM);
  for (size_t i = 0; i < 3; ++i) {
    if (!running[i]->Ended(5000)) End(2, "a voter did not end");
  }
  if (trouble) {
    for (size_t i = 0; i < 3; ++i) {
      std::rename(all[i]->folder.c_str(), (all[i]->folder + ".old").c_str());
      mkdir(all[i]->folder.c_str(), 0755);
    }
    Rec("the folders of all voters are gone");
  }
  // 2. The highest epoch and entry that balancer-4 shows, and a number far above both. 3. All voters on empty
  // folders.
  status(3);
  std::vector<std::unique_ptr<Process>> anew;
  for (size_t i = 0; i < 3; ++i) anew.push_back(start(i, all[i]->name + "-anew"));
  for (size_t i = 0; i < 3; ++i) {
    if (!all[i]->Up(10000)) End(2, "a voter did not come back");
  }
  SleepMs(6000);  // staff look at all three before they go on
  if (trouble) {
    for (int tries = 0; tries < 20; ++tries) {
      ask(0, Text("begin %llu", kFloor), code);
      if (code == 0) break;
      SleepMs(300);
    }
    if (code != 0) End(2, "the council did not begin anew");
  }
  SleepMs(12000);
  std::string broken;
  for (size_t i = 0; i < 3; ++i) {
    std::istringstream lines(anew[i]->LogText());
    std::string line;
    while (std::getline(lines, line)) {
      if (line.find("\"council_") != std::string::npos)
        Rec("log of %s: %s", anew[i]->name.c_str(), line.c_str());
      if (line.find("\"council_obeys\"") == std::string::npos) continue;
      const unsigned long long epoch = std::strtoull(Value(line, "epoch").c_str(), nullptr, 10);
      if (trouble && epoch <= kFloor)
        broken += Text("%s%s obeys epoch %llu", broken.empty() ? "" : ", ", all[i]->name.c_str(), epoch);
    }
  }
  Rec("at balancer-1: %s", status(0).c_str());
  if (!broken.empty()) End(1, "after the council began anew above " + std::to_string(kFloor) + ": " + broken);
  End(0, "no executor obeys an owner of before");
}

// Starts of the real process: how the saved list carries over, and what operators see.
#define CATCH_CONFIG_MAIN
#include "service/operators.h"
#include "start/saved_list.h"

namespace burlfall {
namespace {

// A folder, and start settings that save the list there.
struct SavedListFolder {
  explicit SavedListFolder(const std::string& more = "")
      : settings("[saved_list]\nfolder = \"" + folder.path + "\"\n" + more) {}
  std::vector<std::string> words() const { return {"serve", "--start", settings.path}; }
  std::string file(int i) const { return folder.path + "/burlfall-n1.list." + std::to_string(i); }
  bool written() const { return std::filesystem::exists(file(0)) || std::filesystem::exists(file(1)); }
  std::string path() const { return std::filesystem::exists(file(1)) ? file(1) : file(0); }

  TempFolder folder;
  TextFile settings;
};

// A process that receives this list and exits once it is saved.
void SaveList(const SavedListFolder& saved, const std::string& entries) {
  Peer discovery;
  Program program(ConfigText({.discovery = discovery.port}), saved.words());
  Link watch = discovery.Accept();
  watch.Read();
  watch.Write(Ok(List(2, true, entries)));
  watch.Read();
  REQUIRE(WaitUntil([&] { return saved.written(); }));
  CHECK(program.Wait(SIGTERM) == 0);
}

std::string Without(std::string text, const std::string& what) {
  const size_t at = text.find(what);
  return at == std::string::npos ? text : text.replace(at, what.size(), "");
}

}  // namespace

TEST_CASE("a saved list serves the next start while discovery is down, and its age is logged") {
  SavedListFolder saved;
  Peer server;
  SaveList(saved, Entry("s-1", server.port));
  Program program(ConfigText({}), saved.words());  // discovery is no longer reachable
  CHECK(program.output.find("starts from a saved list: 1 nodes, version 2, ") != std::string::npos);
  CHECK(program.output.find("start: older_list") == std::string::npos);  // logged only once it serves
  Link client = Link::To(program.port);
  CHECK(ServeQuery(client, server, "t1").ends_with("fine"));
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find("start: older_list") != std::string::npos);
}

TEST_CASE("an answer from discovery replaces a saved list") {
  SavedListFolder saved;
  Peer before, now, discovery;
  SaveList(saved, Entry("s-1", before.port));
  Program program(ConfigText({.discovery = discovery.port}), saved.words());
  Link watch = discovery.Accept();
  watch.Read();
  // an older version, from a service that was restarted
  watch.Write(Ok(List(1, true, Entry("s-2", now.port))));
  watch.Read();
  Link client = Link::To(program.port);
  CHECK(ServeQuery(client, now, "t1").ends_with("fine"));
}

TEST_CASE(
    "a saved list that is damaged, foreign or too old is rejected with its path, and the start continues") {
  SavedListFolder saved;
  Peer server;
  SaveList(saved, Entry("s-1", server.port));
  const std::string path = saved.path(), good = ReadFile(path);
  const auto refused = [&](const std::string& text, const std::string& why) {
    std::ofstream(path) << text;
    Program program(ConfigText({.deadline = 1000000}), saved.words());
    CHECK(program.output.find(path + " is not used: ") != std::string::npos);
    CHECK(program.output.find(why) != std::string::npos);
    Link client = Link::To(program.port);
    client.Write(Get("t1"));
    CHECK(client.Read().starts_with("HTTP/1.1 "));  // answered, although no node is known
    CHECK(program.Wait(SIGTERM) == 0);
  };
  refused(good.substr(0, good.size() / 2), "it is damaged");
  refused(Without(good, "0"), "it is damaged");
  refused("what is this", "it is no list");
  std::string why;
  start::SavedList list = *start::ReadSavedList(good, why);
  list.site = "another";
  refused(start::WriteSavedList(list), "it is of another site");
  list = *start::ReadSavedList(good, why);
  list.confirmed_at -= 2 * 3600 * kSecond;
  refused(start::WriteSavedList(list), "too old");
  list.confirmed_at += 365 * 86400 * kSecond;
  refused(start::WriteSavedList(list), "from the future");
}

TEST_CASE("a truncated list file is skipped, and the older file is used") {
  SavedListFolder saved("write_every_s = 0.5\n");
  Peer server, discovery;
  {
    Program program(ConfigText({.discovery = discovery.port}), saved.words());
    Link watch = discovery.Accept();
    watch.Read();
    watch.Write(Ok(List(2, true, Entry("s-1", server.port))));
    watch.Read();
    REQUIRE(WaitUntil([&] { return saved.written(); }));
    watch.Write(Ok(List(3, false, Entry("s-2", server.port))));
    watch.Read();
    REQUIRE(WaitUntil(
        [&] { return std::filesystem::exists(saved.file(0)) && std::filesystem::exists(saved.file(1)); }));
    CHECK(program.Wait(SIGKILL) == -1);
  }
  std::string why;
  const auto number = [&](int i) { return start::ReadSavedList(ReadFile(saved.file(i)), why)->number; };
  const int newer = number(0) > number(1) ? 0 : 1;
  std::filesystem::resize_file(saved.file(newer), 50);
  Program program(ConfigText({}), saved.words());
  CHECK(program.output.find(saved.file(newer) + " is not used: it is damaged") != std::string::npos);
  CHECK(program.output.find("starts from a saved list: 1 nodes, version 2, ") != std::string::npos);
}

TEST_CASE("a folder that cannot be written is logged, and service continues") {
  SavedListFolder saved;
  std::filesystem::remove_all(saved.folder.path);
  std::ofstream(saved.folder.path) << "no folder";
  Peer server, discovery;
  Program program(ConfigText({.discovery = discovery.port}), saved.words());
  Link watch = discovery.Accept();
  watch.Read();
  watch.Write(Ok(List(2, true, Entry("s-1", server.port))));
  watch.Read();
  // the error of the first attempt, logged once
  const size_t told = program.output.find("can't be written");
  REQUIRE(told != std::string::npos);
  CHECK(program.output.rfind(saved.folder.path, told) != std::string::npos);
  Link client = Link::To(program.port);
  CHECK(ServeQuery(client, server, "t1").ends_with("fine"));
}

TEST_CASE("a restart after a kill is logged, and one after an orderly exit is not") {
  SavedListFolder saved;
  {
    Program first(ConfigText({}), saved.words());
    CHECK(first.output.find("was started") == std::string::npos);
    CHECK(first.Wait(SIGKILL) == -1);
  }
  {
    Program second(ConfigText({}), saved.words());
    CHECK(second.output.find("was started 1 times before") != std::string::npos);
    CHECK(second.Wait(SIGTERM) == 0);
  }
  Program third(ConfigText({}), saved.words());
  CHECK(third.output.find("was started") == std::string::npos);
}

TEST_CASE("the successor in an upgrade continues the numbers of the saved lists") {
  SavedListFolder saved("write_every_s = 0.5\n");
  TempFolder shared;
  Peer door, discovery, server;
  const ChildEnvironment environment = {.variables = {{"TMPDIR", shared.path}, {"PROXY_PASSED_SOCKET", "5"}},
                                        .passed = door.fd()};
  const std::string config = ConfigText({.discovery = discovery.port});
  Program old(config, saved.words(), nullptr, environment);
  Link watch = discovery.Accept();
  watch.Read();
  watch.Write(Ok(List(2, true, Entry("s-1", server.port))));
  watch.Read();
  REQUIRE(WaitUntil([&] { return saved.written(); }));
  std::string why;
  const uint64_t before = start::ReadSavedList(ReadFile(saved.path()), why)->number;
  Program successor(config, saved.words(), nullptr, environment);
  CHECK(successor.output.find("took over") != std::string::npos);
  Link again = discovery.Accept();
  again.Read();
  again.Write(Ok(List(3, true, Entry("s-1", server.port) + "," + Entry("s-2", server.port))));
  REQUIRE(WaitUntil(
      [&] { return std::filesystem::exists(saved.file(0)) && std::filesystem::exists(saved.file(1)); }));
  const uint64_t one = start::ReadSavedList(ReadFile(saved.file(0)), why)->number;
  const uint64_t two = start::ReadSavedList(ReadFile(saved.file(1)), why)->number;
  CHECK(std::max(one, two) > before);
}

TEST_CASE("without a list a query that can't wait is refused at once with a Retry-After") {
  // The first call is hours away, for any random number.
  TextFile settings("balancers = 100000\n[list_service]\ncalls_per_s = 1\n");
  Program program(ConfigText({.deadline = 1000000, .must_ask = 2000000000}),
                  {"serve", "--start", settings.path});
  Link client = Link::To(program.port);
  client.Write(Get("t1"));
  const std::string answer = client.Read();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: 1.5\r\n") != std::string::npos);  // the maximum that the settings allow
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find("not_ready=1") != std::string::npos);
}

TEST_CASE("a start among many logs its phase, and calls in its turn") {
  // A round takes three seconds, and the settings leave little time to delay the watch.
  TextFile settings("balancers = 3\n[list_service]\ncalls_per_s = 1\n");
  Peer discovery, server;
  Program program(ConfigText({.discovery = discovery.port, .must_ask = 1000000}),
                  {"serve", "--start", settings.path, "--log-format", "json"});
  Link watch = discovery.Accept();
  CHECK(watch.Read().starts_with("GET /discovery/hosts HTTP"));
  watch.Write(Ok(List(2, true, Entry("s-1", server.port))));
  CHECK(watch.Read().starts_with("GET /discovery/hosts?index=2&wait=10000 "));
  CHECK(program.Wait(SIGTERM) == 0);
  const auto phase = [&](const char* name) {
    return program.output.find(std::string(R"("phase":")") + name);
  };
  CHECK(phase("without_list") < phase("listed"));
  CHECK(phase("listed") < phase("following"));
  CHECK(phase("following") != std::string::npos);
  CHECK(program.output.find("\"list_calls\":2") != std::string::npos);
}

TEST_CASE("a service whose address changes while a start waits its turn is called at the new address") {
  TextFile settings("balancers = 3\n[list_service]\ncalls_per_s = 1\n");
  Peer first, second, server;
  Setup setup = {.discovery = first.port, .must_ask = 1000000};
  Program program(ConfigText(setup), {"serve", "--start", settings.path});
  setup.discovery = second.port;
  program.Configure(ConfigText(setup));
  program.Signal(SIGHUP);
  Link watch = second.Accept();
  watch.Read();
  watch.Write(Ok(List(2, true, Entry("s-1", server.port))));
  watch.Read();
  Link client = Link::To(program.port);
  CHECK(ServeQuery(client, server, "t1").ends_with("fine"));
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("an invalid start file is reported with file, line and key, and the exit code is 2") {
  TextFile wrong("balancers = 3\n[saved_list]\nfoldr = \"x\"\n");
  for (const char* command : {"serve", "check-config"}) {
    Program program(ConfigText({}), {command, "--start", wrong.path});
    CHECK(program.Wait() == 2);
    CHECK(program.output.find(wrong.path + ":3: saved_list.foldr: expected a known key") !=
          std::string::npos);
  }
  Program none(ConfigText({}), {"serve", "--start", "no-such-file.toml"});
  CHECK(none.Wait() == 2);
  Program nameless(ConfigText({}), {"serve", "--start", ""});
  CHECK(nameless.Wait() == 2);
}

}  // namespace burlfall

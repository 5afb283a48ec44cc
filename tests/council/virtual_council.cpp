#include "virtual_council.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "observe/log.h"

namespace burlfall::council {
namespace {

constexpr Micros kBeginsAt = 1'700'000'000 * kSecond;
constexpr Micros kStep = 5 * kMs;  // between two looks at what a test waits for
constexpr Micros kCallTimeout = 30 * kSecond;
constexpr const char* kFreeze = "freeze";

std::string FolderOf(size_t member) { return "/" + VirtualCouncil::NameOf(member); }
std::string HostOf(size_t member) { return "127.0.0." + std::to_string(member + 1); }
// Where the member listens, and where others reach it through the network.
std::string RealAddressOf(size_t member) { return HostOf(member) + ":7000"; }
std::string AddressOf(size_t member) { return HostOf(member) + ":7001"; }

nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  return object.is_object() ? object : nlohmann::json::object();
}

}  // namespace

std::string VirtualCouncil::NameOf(size_t member) {
  return std::string("m").append(std::to_string(member + 1));
}

struct VirtualCouncil::Process {
  Process(Machine& machine, const CouncilSettings& settings, CoordinatorMember::Setup setup)
      : sink(machine.scheduler(), machine.StandardError()),
        log(machine.scheduler(), sink, LogFormat::kJson, counters),
        member(machine, settings, std::move(setup), log, counters) {
    member.Start();
  }
  ~Process() { member.ShutDown(); }

  Counters counters;
  LineSink sink;
  Log log;
  CoordinatorMember member;
};

VirtualCouncil::VirtualCouncil(size_t voters, size_t followers, uint64_t seed)
    : world_(kBeginsAt, seed), network_(world_), paths_(network_, seed), voters_(voters) {
  std::vector<CouncilVoter> named_voters;
  for (size_t i = 0; i < voters; ++i) named_voters.push_back({NameOf(i), AddressOf(i)});
  for (size_t i = 0; i < voters + followers; ++i) {
    paths_.Knows(HostOf(i), static_cast<int>(i));
    paths_.OpenStreams(*ReadAddress(AddressOf(i)), static_cast<int>(i), *ReadAddress(RealAddressOf(i)));
    Member& member = members_.emplace_back();
    member.machine = std::make_unique<world::VirtualMachine>(world_);
    member.settings.site = "test";
    member.settings.listen = RealAddressOf(i);
    member.settings.told = AddressOf(i);
    member.settings.folder = FolderOf(i);
    member.settings.voters = named_voters;
    member.settings.wants = {kFreeze};
    member.observations = [] { return std::vector<CoordinatorMember::Setup::Observation>(); };
  }
}

VirtualCouncil::~VirtualCouncil() = default;

void VirtualCouncil::Start(size_t member) {
  Member& here = members_[member];
  CoordinatorMember::Setup setup;
  setup.name = NameOf(member);
  setup.folder = FolderOf(member);
  setup.stem = setup.folder + "/burlfall-" + setup.name;
  setup.observations = [&here] { return here.observations(); };
  here.process = std::make_unique<Process>(*here.machine, here.settings, std::move(setup));
}

void VirtualCouncil::StartAll() {
  for (size_t i = 0; i < members_.size(); ++i) Start(i);
}

void VirtualCouncil::Stop(size_t member) {
  members_[member].process.reset();
  RunFor(kStep);  // others see that its connections are closed
}

void VirtualCouncil::LoseFolder(size_t member) {
  std::erase_if(world_.files,
                [&](const auto& file) { return file.first.starts_with(FolderOf(member) + "/"); });
}

void VirtualCouncil::LoseFile(size_t member, const std::string& extension) {
  world_.files.erase(FolderOf(member) + "/burlfall-" + NameOf(member) + extension);
}

void VirtualCouncil::Cut(size_t member, bool cut) {
  const lab::PathQuality quality{.cut = cut};
  for (size_t other = 0; other < members_.size(); ++other) {
    if (other == member) continue;
    paths_.Set(static_cast<int>(member), static_cast<int>(other), quality);
    paths_.Set(static_cast<int>(other), static_cast<int>(member), quality);
  }
}

Task<> VirtualCouncil::MakeCall(std::string path, std::string words, std::string& answer, bool& answered) {
  const std::unique_ptr<Channel> channel = network_.network().ConnectChannel(path);
  Io io = Io::kBroken;
  if (channel) io = channel->Send(words);
  std::string piece;
  std::unique_ptr<Stream> along;
  while (io == Io::kSome || io == Io::kLater) {
    io = channel->Receive(piece, along);
    if (io == Io::kSome) answer += piece;
    if (io == Io::kLater) co_await channel->Wait();
  }
  answered = true;
}

std::string VirtualCouncil::Call(size_t member, const std::string& words) {
  std::string answer;
  bool answered = false;
  Task<> call =
      MakeCall(FolderOf(member) + "/burlfall-" + NameOf(member) + ".council", words, answer, answered);
  call.Start();
  RunUntil([&] { return answered; }, kCallTimeout);
  return answer;
}

void VirtualCouncil::Begin(size_t member) {
  Call(member, "begin");
  RunUntil([&] {
    for (size_t i = 0; i < voters_; ++i) {
      const nlohmann::json status = ParseObject(Call(i, "status json"));
      if (status.value("standing", "") != "in" ||
          status.value("voters", nlohmann::json::array()).size() != voters_)
        return false;
    }
    return !OwnerAt(member).name.empty();
  });
}

bool VirtualCouncil::MakeOwner(size_t member) {
  return RunUntil([&] {
    const std::string owner = OwnerAt(member).name;
    if (owner != NameOf(member)) Call(member, "hand-over freeze " + NameOf(member));
    return owner == NameOf(member);
  });
}

void VirtualCouncil::RunFor(Micros span) { world_.scheduler.RunFor(span); }

bool VirtualCouncil::RunUntil(const std::function<bool()>& holds, Micros limit) {
  const Micros until = world_.scheduler.Now() + limit;
  while (!holds()) {
    if (world_.scheduler.Now() >= until) return false;
    RunFor(kStep);
  }
  return true;
}

VirtualCouncil::Owner VirtualCouncil::OwnerAt(size_t member) {
  const nlohmann::json status = ParseObject(Call(member, "status json"));
  for (const nlohmann::json& work : status.value("works", nlohmann::json::array())) {
    if (work.value("work", "") == kFreeze) return {work.value("owner", ""), work.value("epoch", uint64_t{0})};
  }
  return {};
}

VirtualCouncil::Acts VirtualCouncil::ActsAt(size_t member) {
  const nlohmann::json status = ParseObject(Call(member, "status json"));
  return {status.value("obeyed", uint64_t{0}), status.value("fenced", uint64_t{0})};
}

std::vector<uint64_t> VirtualCouncil::ObeyedBy(size_t member, size_t from) const {
  std::vector<uint64_t> epochs;
  std::istringstream lines(LogOf(member).substr(from));
  for (std::string line; std::getline(lines, line);) {
    const nlohmann::json event = ParseObject(line);
    if (event.value("event", "") == "council_obeys" && event.value("work", "") == kFreeze)
      epochs.push_back(event.value("epoch", uint64_t{0}));
  }
  return epochs;
}

}  // namespace burlfall::council

// A state as bytes, for snapshots.
#include "ejection/bytes.h"
#include "ejection/state.h"

namespace burlfall::ejection {
namespace {

constexpr std::string_view kMagic = "bfs\1";
constexpr uint32_t kMostItems = 1 << 16;

void PutTexts(Packer& to, const std::vector<std::string>& texts) {
  to.pack_array(static_cast<uint32_t>(texts.size()));
  for (const std::string& text : texts) Put(to, text);
}

std::vector<std::string> Texts(Values from) {
  std::vector<std::string> texts;
  for (uint32_t i = 0; i < from.size(); ++i) texts.push_back(from.Text());
  return texts;
}

}  // namespace

std::string State::Save() const {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(16);
  to.pack(index_);
  to.pack(epoch_);
  to.pack(at_);
  to.pack(owner_index_);
  to.pack(static_cast<uint8_t>(dirty_));
  to.pack(static_cast<uint8_t>(incident_));
  to.pack(calm_since_);
  to.pack(used_);
  to.pack(static_cast<uint8_t>(grouped_));
  to.pack_array(static_cast<uint32_t>(hosts_.size()));
  for (const auto& [name, known] : hosts_) {
    to.pack_array(7);
    Put(to, name);
    Put(to, known.host.zone);
    to.pack(known.host.life);
    to.pack(static_cast<uint8_t>(known.host.draining));
    to.pack(static_cast<uint8_t>(known.host.by_hand));
    to.pack(known.host.capacity);
    to.pack(known.appeared);
  }
  to.pack_array(static_cast<uint32_t>(balancers_.size()));
  for (const auto& [name, known] : balancers_) {
    to.pack_array(7);
    Put(to, name);
    Put(to, known.zone);
    to.pack(known.entries);
    to.pack(known.since);
    to.pack(known.against);
    to.pack(static_cast<uint8_t>(known.told));
    PutTexts(to, std::vector<std::string>(known.hosts.begin(), known.hosts.end()));
  }
  to.pack_array(static_cast<uint32_t>(cases_.size()));
  const auto words = [&](const std::map<std::string, Word>& all) {
    to.pack_array(static_cast<uint32_t>(all.size()));
    for (const auto& [key, word] : all) {
      const Vote& vote = word.vote;
      to.pack_array(12);
      Put(to, key);
      Put(to, vote.balancer);
      Put(to, vote.zone);
      to.pack(vote.life);
      to.pack(vote.window);
      to.pack(vote.trials);
      to.pack(vote.failures);
      to.pack(static_cast<uint8_t>(vote.kind) * 2 + static_cast<uint8_t>(vote.sure));
      to.pack(vote.cls);
      to.pack(vote.lasts);
      to.pack(vote.others);
      to.pack(word.until);
    }
  };
  for (const auto& [host, one] : cases_) {
    to.pack_array(9);
    Put(to, host);
    words(one.votes);
    words(one.goods);
    to.pack(static_cast<uint8_t>(one.asked));
    to.pack(one.asked_at);
    to.pack(one.asked_until);
    Put(to, one.told_path);
    to.pack(static_cast<uint8_t>(one.told_class));
    to.pack(static_cast<uint8_t>(one.told_held));
  }
  to.pack_array(static_cast<uint32_t>(ejections_.size()));
  for (const auto& [host, one] : ejections_) {
    to.pack_array(14);
    Put(to, host);
    to.pack(static_cast<uint8_t>(one.phase));
    to.pack(one.life);
    to.pack(one.index);
    to.pack(one.since);
    to.pack(one.until);
    to.pack(one.term);
    to.pack(one.served);
    to.pack(one.lost_at);
    to.pack(one.tries);
    to.pack(static_cast<uint8_t>(one.kind));
    to.pack(one.share);
    PutTexts(to, one.voters);
    PutTexts(to, one.triers);
  }
  to.pack_array(static_cast<uint32_t>(forbidden_.size()));
  for (const auto& [host, one] : forbidden_) {
    to.pack_array(4);
    Put(to, host);
    Put(to, one.who);
    Put(to, one.reason);
    to.pack(one.until);
  }
  PutTexts(to, std::vector<std::string>(suspects_.begin(), suspects_.end()));
  to.pack(counted_at_);
  return Frame(kMagic, body);
}

std::optional<State> State::Load(std::string_view bytes, const Rules& rules) {
  return Unframe(kMagic, bytes, kMostItems, [&](Values from) {
    State state(rules);
    state.index_ = from.Number();
    state.epoch_ = from.Number();
    state.at_ = from.Span();
    state.owner_index_ = from.Number();
    state.dirty_ = from.Flag();
    state.incident_ = from.Flag();
    state.calm_since_ = from.Span();
    state.used_ = from.Share();
    state.grouped_ = from.Flag();
    Values hosts = from.Array(kMostItems);
    for (uint32_t i = 0; i < hosts.size(); ++i) {
      Values one = hosts.Array(64);
      KnownHost known;
      known.host.name = one.Text();
      known.host.zone = one.Text();
      known.host.life = one.Number();
      known.host.draining = one.Flag();
      known.host.by_hand = one.Flag();
      known.host.capacity = one.Small();
      known.appeared = one.Span();
      state.hosts_[known.host.name] = known;
    }
    Values balancers = from.Array(kMostItems);
    for (uint32_t i = 0; i < balancers.size(); ++i) {
      Values one = balancers.Array(64);
      const std::string name = one.Text();
      KnownBalancer known;
      known.zone = one.Text();
      known.entries = one.Small();
      known.since = one.Span();
      known.against = one.Small();
      known.told = one.Flag();
      for (std::string& host : Texts(one.Array(kMostItems))) known.hosts.insert(std::move(host));
      state.balancers_[name] = std::move(known);
    }
    Values cases = from.Array(kMostItems);
    for (uint32_t i = 0; i < cases.size(); ++i) {
      Values one = cases.Array(64);
      const std::string host = one.Text();
      if (!state.hosts_.contains(host)) throw Slip{};
      Case& about = state.cases_[host];
      for (auto* words : {&about.votes, &about.goods}) {
        Values all = one.Array(kMostItems);
        for (uint32_t j = 0; j < all.size(); ++j) {
          Values said = all.Array(64);
          const std::string key = said.Text(2 * kLongestName);
          Word word;
          word.vote.host = host;
          word.vote.balancer = said.Text();
          word.vote.zone = said.Text();
          word.vote.life = said.Number();
          word.vote.window = said.Span();
          word.vote.trials = said.Small();
          word.vote.failures = said.Small();
          const uint64_t kind = said.Number(2 * kKinds - 1);
          word.vote.kind = static_cast<Kind>(kind / 2);
          word.vote.sure = kind % 2 == 1;
          word.vote.cls = said.Small();
          word.vote.lasts = said.Span();
          word.vote.others = said.Small();
          word.until = said.Span();
          (*words)[key] = std::move(word);
        }
      }
      about.asked = one.Flag();
      about.asked_at = one.Span();
      about.asked_until = one.Span();
      about.told_path = one.Text();
      about.told_class = one.Flag();
      about.told_held = one.Choice(Held::kForbidden);
    }
    Values ejections = from.Array(kMostItems);
    for (uint32_t i = 0; i < ejections.size(); ++i) {
      Values one = ejections.Array(64);
      const std::string host = one.Text();
      if (!state.hosts_.contains(host)) throw Slip{};
      Ejection& about = state.ejections_[host];
      about.phase = one.Choice(Ejection::Phase::kTryFew);
      about.life = one.Number();
      about.index = one.Number();
      about.since = one.Span();
      about.until = one.Span();
      about.term = one.Span();
      about.served = one.Span();
      about.lost_at = one.Span();
      about.tries = one.Small();
      about.kind = one.Choice(Kind::kSpoilt);
      about.share = one.Share();
      about.voters = Texts(one.Array(kMostItems));
      about.triers = Texts(one.Array(kMostItems));
    }
    Values forbidden = from.Array(kMostItems);
    for (uint32_t i = 0; i < forbidden.size(); ++i) {
      Values one = forbidden.Array(64);
      const std::string host = one.Text();
      Forbidden about;
      about.who = one.Text();
      about.reason = one.Text(4 * kLongestName);
      about.until = one.Span();
      state.forbidden_[host] = std::move(about);
    }
    for (std::string& name : Texts(from.Array(kMostItems))) state.suspects_.insert(std::move(name));
    state.counted_at_ = from.Span();
    return state;
  });
}

}  // namespace burlfall::ejection

// Encodes and decodes the replicated state for snapshots.
#include "ejection/framing.h"
#include "ejection/state.h"

namespace burlfall::ejection {
namespace {

constexpr std::string_view kMagic = "bfs\1";
constexpr uint32_t kMaxItems = 1 << 16;

void PackTexts(Packer& to, const std::vector<std::string>& texts) {
  to.pack_array(static_cast<uint32_t>(texts.size()));
  for (const std::string& text : texts) PackText(to, text);
}

std::vector<std::string> UnpackTexts(ArrayReader from) {
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
  to.pack(static_cast<uint8_t>(count_pending_));
  to.pack(static_cast<uint8_t>(incident_));
  to.pack(calm_since_);
  to.pack(used_share_);
  to.pack(static_cast<uint8_t>(group_known_));
  to.pack_array(static_cast<uint32_t>(hosts_.size()));
  for (const auto& [name, known] : hosts_) {
    to.pack_array(7);
    PackText(to, name);
    PackText(to, known.host.zone);
    to.pack(known.host.incarnation);
    to.pack(static_cast<uint8_t>(known.host.draining));
    to.pack(static_cast<uint8_t>(known.host.by_hand));
    to.pack(known.host.capacity);
    to.pack(known.appeared);
  }
  to.pack_array(static_cast<uint32_t>(balancers_.size()));
  for (const auto& [name, known] : balancers_) {
    to.pack_array(7);
    PackText(to, name);
    PackText(to, known.zone);
    to.pack(known.entries);
    to.pack(known.since);
    to.pack(known.hosts_voted_against);
    to.pack(static_cast<uint8_t>(known.flood_reported));
    PackTexts(to, std::vector<std::string>(known.hosts.begin(), known.hosts.end()));
  }
  to.pack_array(static_cast<uint32_t>(cases_.size()));
  const auto reports = [&](const std::map<std::string, Report>& all) {
    to.pack_array(static_cast<uint32_t>(all.size()));
    for (const auto& [key, report] : all) {
      const Vote& vote = report.vote;
      to.pack_array(12);
      PackText(to, key);
      PackText(to, vote.balancer);
      PackText(to, vote.zone);
      to.pack(vote.incarnation);
      to.pack(vote.window);
      to.pack(vote.trials);
      to.pack(vote.failures);
      to.pack(static_cast<uint8_t>(vote.kind) * 2 + static_cast<uint8_t>(vote.sure));
      to.pack(vote.cls);
      to.pack(vote.lifetime);
      to.pack(vote.others);
      to.pack(report.until);
    }
  };
  for (const auto& [host, item] : cases_) {
    to.pack_array(9);
    PackText(to, host);
    reports(item.votes);
    reports(item.good_reports);
    to.pack(static_cast<uint8_t>(item.poll_open));
    to.pack(item.poll_start);
    to.pack(item.poll_min_end);
    PackText(to, item.reported_zone);
    to.pack(static_cast<uint8_t>(item.reported_class));
    to.pack(static_cast<uint8_t>(item.reported_hold));
  }
  to.pack_array(static_cast<uint32_t>(ejections_.size()));
  for (const auto& [host, item] : ejections_) {
    to.pack_array(14);
    PackText(to, host);
    to.pack(static_cast<uint8_t>(item.phase));
    to.pack(item.incarnation);
    to.pack(item.index);
    to.pack(item.since);
    to.pack(item.until);
    to.pack(item.term);
    to.pack(item.last_term);
    to.pack(item.lost_at);
    to.pack(item.tries);
    to.pack(static_cast<uint8_t>(item.kind));
    to.pack(item.share);
    PackTexts(to, item.voters);
    PackTexts(to, item.triers);
  }
  to.pack_array(static_cast<uint32_t>(forbidden_.size()));
  for (const auto& [host, item] : forbidden_) {
    to.pack_array(4);
    PackText(to, host);
    PackText(to, item.who);
    PackText(to, item.reason);
    to.pack(item.until);
  }
  PackTexts(to, std::vector<std::string>(suspects_.begin(), suspects_.end()));
  to.pack(counted_at_);
  return Frame(kMagic, body);
}

std::optional<State> State::Load(std::string_view bytes, const Rules& rules) {
  return Unframe(kMagic, bytes, kMaxItems, [&](ArrayReader from) {
    State state(rules);
    state.index_ = from.Number();
    state.epoch_ = from.Number();
    state.at_ = from.Duration();
    state.owner_index_ = from.Number();
    state.count_pending_ = from.Flag();
    state.incident_ = from.Flag();
    state.calm_since_ = from.Duration();
    state.used_share_ = from.Share();
    state.group_known_ = from.Flag();
    ArrayReader hosts = from.Array(kMaxItems);
    for (uint32_t i = 0; i < hosts.size(); ++i) {
      ArrayReader item = hosts.Array(64);
      KnownHost known;
      known.host.name = item.Text();
      known.host.zone = item.Text();
      known.host.incarnation = item.Number();
      known.host.draining = item.Flag();
      known.host.by_hand = item.Flag();
      known.host.capacity = item.Number32();
      known.appeared = item.Duration();
      state.hosts_[known.host.name] = known;
    }
    ArrayReader balancers = from.Array(kMaxItems);
    for (uint32_t i = 0; i < balancers.size(); ++i) {
      ArrayReader item = balancers.Array(64);
      const std::string name = item.Text();
      KnownBalancer known;
      known.zone = item.Text();
      known.entries = item.Number32();
      known.since = item.Duration();
      known.hosts_voted_against = item.Number32();
      known.flood_reported = item.Flag();
      for (std::string& host : UnpackTexts(item.Array(kMaxItems))) known.hosts.insert(std::move(host));
      state.balancers_[name] = std::move(known);
    }
    ArrayReader cases = from.Array(kMaxItems);
    for (uint32_t i = 0; i < cases.size(); ++i) {
      ArrayReader item = cases.Array(64);
      const std::string host = item.Text();
      if (!state.hosts_.contains(host)) throw DecodeError{};
      Case& about = state.cases_[host];
      for (auto* reports : {&about.votes, &about.good_reports}) {
        ArrayReader all = item.Array(kMaxItems);
        for (uint32_t j = 0; j < all.size(); ++j) {
          ArrayReader fields = all.Array(64);
          const std::string key = fields.Text(2 * kMaxNameBytes);
          Report report;
          report.vote.host = host;
          report.vote.balancer = fields.Text();
          report.vote.zone = fields.Text();
          report.vote.incarnation = fields.Number();
          report.vote.window = fields.Duration();
          report.vote.trials = fields.Number32();
          report.vote.failures = fields.Number32();
          const uint64_t kind = fields.Number(2 * kKinds - 1);
          report.vote.kind = static_cast<Kind>(kind / 2);
          report.vote.sure = kind % 2 == 1;
          report.vote.cls = fields.Number32();
          report.vote.lifetime = fields.Duration();
          report.vote.others = fields.Number32();
          report.until = fields.Duration();
          (*reports)[key] = std::move(report);
        }
      }
      about.poll_open = item.Flag();
      about.poll_start = item.Duration();
      about.poll_min_end = item.Duration();
      about.reported_zone = item.Text();
      about.reported_class = item.Flag();
      about.reported_hold = item.Enumerator(HoldReason::kForbidden);
    }
    ArrayReader ejections = from.Array(kMaxItems);
    for (uint32_t i = 0; i < ejections.size(); ++i) {
      ArrayReader item = ejections.Array(64);
      const std::string host = item.Text();
      if (!state.hosts_.contains(host)) throw DecodeError{};
      Ejection& about = state.ejections_[host];
      about.phase = item.Enumerator(Ejection::Phase::kMultiTrial);
      about.incarnation = item.Number();
      about.index = item.Number();
      about.since = item.Duration();
      about.until = item.Duration();
      about.term = item.Duration();
      about.last_term = item.Duration();
      about.lost_at = item.Duration();
      about.tries = item.Number32();
      about.kind = item.Enumerator(Kind::kMalformed);
      about.share = item.Share();
      about.voters = UnpackTexts(item.Array(kMaxItems));
      about.triers = UnpackTexts(item.Array(kMaxItems));
    }
    ArrayReader forbidden = from.Array(kMaxItems);
    for (uint32_t i = 0; i < forbidden.size(); ++i) {
      ArrayReader item = forbidden.Array(64);
      const std::string host = item.Text();
      Forbidden about;
      about.who = item.Text();
      about.reason = item.Text(4 * kMaxNameBytes);
      about.until = item.Duration();
      state.forbidden_[host] = std::move(about);
    }
    for (std::string& name : UnpackTexts(from.Array(kMaxItems))) state.suspects_.insert(std::move(name));
    state.counted_at_ = from.Duration();
    return state;
  });
}

}  // namespace burlfall::ejection

// The forms that a list may take, as the group takes them in: what a whole list does not name, lists that
// leave out who drains, and nodes that go and come back.
#include <gtest/gtest.h>

#include <algorithm>

#include "membership/host_group.h"

namespace burlfall {
namespace {

using meadowslip::BackendEntry, meadowslip::BackendList, meadowslip::BackendState, meadowslip::ListKind;
using enum BackendState;

struct Named {
  const char* name;
  BackendState state = kReady;
  const char* address = "127.0.0.1:9000";
  Micros started_at = 0;
};

HostList List(uint64_t version, bool full, const std::vector<Named>& hosts) {
  HostList list;
  list.version = version;
  list.full = full;
  for (const Named& one : hosts) {
    HostEntry e;
    e.name = one.name;
    if (one.state != kGone) e.address = *ReadAddress(one.address);
    e.entry.state = one.state;
    e.entry.started_at = one.started_at;
    list.hosts.push_back(e);
  }
  return list;
}

class ListForms : public testing::Test {
 protected:
  const Host* Called(const char* name) const {
    for (const auto& [id, known] : hosts.AllNames()) {
      if (known == name) return hosts.Find(id);
    }
    return nullptr;
  }
  meadowslip::Settings settings;
  HostGroup hosts{settings};
  Micros now = 1'700'000'000 * kSecond;
};

// Also where it still answers, and also as the answer to a watch: the upstream sees it gone at once, and the
// module hears a whole list.
TEST_F(ListForms, HostsMissingFromAFullListAreGone) {
  hosts.ApplyList(List(1, true, {{"a"}, {"b"}, {"c", kDraining}}), now);
  for (uint64_t version : {2, 2, 1}) {  // newer, the same once more, and one from before
    const BackendList told = hosts.ApplyList(List(version, true, {{"a"}}), now);
    EXPECT_EQ(told.kind, ListKind::kFull);
    ASSERT_EQ(told.entries.size(), 1u);
    EXPECT_EQ(Called("a")->state, kReady);
    EXPECT_EQ(Called("b")->state, kGone);
    EXPECT_EQ(Called("c")->state, kGone);
    EXPECT_EQ(hosts.Ready(), 1u);
    EXPECT_EQ(hosts.version(), version);
  }
  hosts.ApplyList(List(3, true, {}), now);  // nobody is left
  EXPECT_EQ(hosts.Ready(), 0u);
}

// Where the settings say that gone alone does not bind, a listed drain ends sends, and nothing else.
TEST_F(ListForms, WithoutBindingRemovalMissingHostsKeepTheirState) {
  settings.gone_binds = false;
  hosts.ApplyList(List(1, true, {{"a"}, {"b", kDraining}}), now);
  hosts.ApplyList(List(2, true, {}), now);
  EXPECT_EQ(Called("a")->state, kReady);
  EXPECT_EQ(Called("b")->state, kDraining);
}

TEST_F(ListForms, AnEmptyChangeListChangesNothing) {
  hosts.ApplyList(List(1, true, {{"a"}, {"b", kDraining}}), now);
  const BackendList told = hosts.ApplyList(List(2, false, {}), now);
  EXPECT_EQ(told.kind, ListKind::kChanges);
  EXPECT_TRUE(told.entries.empty());
  EXPECT_EQ(Called("a")->state, kReady);
  EXPECT_EQ(Called("b")->state, kDraining);
  EXPECT_EQ(hosts.version(), 2u);
}

TEST_F(ListForms, AHostFirstListedAsGoneIsNotReadyAndKeepsItsId) {
  hosts.ApplyList(List(1, true, {{"a"}}), now);
  const BackendList told = hosts.ApplyList(List(2, false, {{"x", kGone}}), now);
  ASSERT_EQ(told.entries.size(), 1u);
  EXPECT_EQ(told.entries[0].state, kGone);
  EXPECT_EQ(hosts.Ready(), 1u);
  const BackendList later = hosts.ApplyList(List(3, false, {{"x", kReady, "127.0.0.1:9001"}}), now);
  EXPECT_EQ(later.entries[0].id, told.entries[0].id);
  EXPECT_EQ(Called("x")->address.text, "127.0.0.1:9001");
  EXPECT_EQ(hosts.Ready(), 2u);
}

// The last word of one list holds, whatever it said before in the same one.
TEST_F(ListForms, TheLastEntryOfAHostNamedTwiceApplies) {
  hosts.ApplyList(List(1, true, {{"a"}, {"a", kDraining}}), now);
  EXPECT_EQ(Called("a")->state, kDraining);
  hosts.ApplyList(List(2, false, {{"a", kReady}, {"a", kGone}}), now);
  EXPECT_EQ(Called("a")->state, kGone);
}

// Links to its earlier life are of no use, and a new start is told as one.
TEST_F(ListForms, ANewAddressOrStartTimeIsANewIncarnation) {
  hosts.ApplyList(List(1, true, {{"a"}}), now);
  const uint64_t first = Called("a")->incarnation;
  hosts.ApplyList(List(2, false, {{"a", kGone}}), now);
  EXPECT_EQ(Called("a")->state, kGone);
  hosts.ApplyList(List(3, false, {{"a", kReady, "127.0.0.1:9007"}}), now);
  const uint64_t second = Called("a")->incarnation;
  EXPECT_GT(second, first);
  EXPECT_EQ(Called("a")->address.text, "127.0.0.1:9007");
  const Micros restarted = now - kSecond;
  const BackendList told = hosts.ApplyList(List(4, false, {{"a", kReady, "127.0.0.1:9007", restarted}}), now);
  EXPECT_GT(Called("a")->incarnation, second);
  ASSERT_EQ(told.entries.size(), 1u);
  EXPECT_EQ(told.entries[0].started_at, restarted);
  const uint64_t third = Called("a")->incarnation;
  hosts.ApplyList(List(5, true, {{"a", kReady, "127.0.0.1:9007", restarted}}), now);
  EXPECT_EQ(Called("a")->incarnation, third);  // said once more
}

}  // namespace
}  // namespace burlfall

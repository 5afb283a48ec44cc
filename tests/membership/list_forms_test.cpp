// How HostGroup applies different forms of lists: hosts missing from a full list, lists that omit draining
// hosts, and nodes that leave and return.
#include <gtest/gtest.h>

#include <algorithm>

#include "membership/host_group.h"

namespace burlfall {
namespace {

using meadowslip::BackendEntry, meadowslip::BackendList, meadowslip::BackendState, meadowslip::ListKind;
using enum BackendState;

struct ListedHost {
  const char* name;
  BackendState state = kReady;
  const char* address = "127.0.0.1:9000";
  Micros started_at = 0;
};

HostList List(uint64_t version, bool full, const std::vector<ListedHost>& hosts) {
  HostList list;
  list.version = version;
  list.full = full;
  for (const ListedHost& listed : hosts) {
    HostEntry e;
    e.name = listed.name;
    if (listed.state != kGone) e.address = *ReadAddress(listed.address);
    e.entry.state = listed.state;
    e.entry.started_at = listed.started_at;
    list.hosts.push_back(e);
  }
  return list;
}

class ListForms : public testing::Test {
 protected:
  const Host* HostNamed(const char* name) const {
    for (const auto& [id, known] : hosts.AllNames()) {
      if (known == name) return hosts.Find(id);
    }
    return nullptr;
  }
  meadowslip::Settings settings;
  HostGroup hosts{settings};
  Micros now = 1'700'000'000 * kSecond;
};

// Also if the host still answers, and also in the answer to a watch: the upstream sees it as gone at once,
// and the module receives a full list.
TEST_F(ListForms, HostsMissingFromAFullListAreGone) {
  hosts.ApplyList(List(1, true, {{"a"}, {"b"}, {"c", kDraining}}), now);
  for (uint64_t version : {2, 2, 1}) {  // newer, repeated, and an older one
    const BackendList told = hosts.ApplyList(List(version, true, {{"a"}}), now);
    EXPECT_EQ(told.kind, ListKind::kFull);
    ASSERT_EQ(told.entries.size(), 1u);
    EXPECT_EQ(HostNamed("a")->state, kReady);
    EXPECT_EQ(HostNamed("b")->state, kGone);
    EXPECT_EQ(HostNamed("c")->state, kGone);
    EXPECT_EQ(hosts.Ready(), 1u);
    EXPECT_EQ(hosts.version(), version);
  }
  hosts.ApplyList(List(3, true, {}), now);  // no host is left
  EXPECT_EQ(hosts.Ready(), 0u);
}

// If the settings say that removal from the list does not bind, a listed drain stops sends, and removal does
// not.
TEST_F(ListForms, WithoutBindingRemovalMissingHostsKeepTheirState) {
  settings.gone_binds = false;
  hosts.ApplyList(List(1, true, {{"a"}, {"b", kDraining}}), now);
  hosts.ApplyList(List(2, true, {}), now);
  EXPECT_EQ(HostNamed("a")->state, kReady);
  EXPECT_EQ(HostNamed("b")->state, kDraining);
}

TEST_F(ListForms, AnEmptyChangeListChangesNothing) {
  hosts.ApplyList(List(1, true, {{"a"}, {"b", kDraining}}), now);
  const BackendList told = hosts.ApplyList(List(2, false, {}), now);
  EXPECT_EQ(told.kind, ListKind::kChanges);
  EXPECT_TRUE(told.entries.empty());
  EXPECT_EQ(HostNamed("a")->state, kReady);
  EXPECT_EQ(HostNamed("b")->state, kDraining);
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
  EXPECT_EQ(HostNamed("x")->address.text, "127.0.0.1:9001");
  EXPECT_EQ(hosts.Ready(), 2u);
}

// Only the last entry of a host in a list applies.
TEST_F(ListForms, TheLastEntryOfAHostNamedTwiceApplies) {
  hosts.ApplyList(List(1, true, {{"a"}, {"a", kDraining}}), now);
  EXPECT_EQ(HostNamed("a")->state, kDraining);
  hosts.ApplyList(List(2, false, {{"a", kReady}, {"a", kGone}}), now);
  EXPECT_EQ(HostNamed("a")->state, kGone);
}

// Links to the previous process are useless, and the module is told about the new start.
TEST_F(ListForms, ANewAddressOrStartTimeIsANewIncarnation) {
  hosts.ApplyList(List(1, true, {{"a"}}), now);
  const uint64_t first = HostNamed("a")->incarnation;
  hosts.ApplyList(List(2, false, {{"a", kGone}}), now);
  EXPECT_EQ(HostNamed("a")->state, kGone);
  hosts.ApplyList(List(3, false, {{"a", kReady, "127.0.0.1:9007"}}), now);
  const uint64_t second = HostNamed("a")->incarnation;
  EXPECT_GT(second, first);
  EXPECT_EQ(HostNamed("a")->address.text, "127.0.0.1:9007");
  const Micros restarted = now - kSecond;
  const BackendList told = hosts.ApplyList(List(4, false, {{"a", kReady, "127.0.0.1:9007", restarted}}), now);
  EXPECT_GT(HostNamed("a")->incarnation, second);
  ASSERT_EQ(told.entries.size(), 1u);
  EXPECT_EQ(told.entries[0].started_at, restarted);
  const uint64_t third = HostNamed("a")->incarnation;
  hosts.ApplyList(List(5, true, {{"a", kReady, "127.0.0.1:9007", restarted}}), now);
  EXPECT_EQ(HostNamed("a")->incarnation, third);  // the same entry again
}

}  // namespace
}  // namespace burlfall

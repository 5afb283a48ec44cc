// Frames between two members in the simulated network: a full send queue drops replaceable frames first.
#include "council/member_connections.h"

#include <gtest/gtest.h>

#include "world/virtual_machine.h"

namespace burlfall::council {
namespace {

TEST(Links, CarryFramesInBothDirectionsAndDropReplaceableFramesFirst) {
  world::World world(1'700'000'000 * kSecond, 1);
  world::VirtualMachine a(world), b(world);
  const Address at_a = *ReadAddress("127.0.0.1:1000"), at_b = *ReadAddress("127.0.0.2:1000");
  std::vector<std::string> received_a, received_b;
  MemberConnections* replier = nullptr;
  MemberConnections connections_a(a, at_a,
                                  {[&](MemberConnections::Connection&, std::string_view frame) {
                                     received_a.emplace_back(frame);
                                     if (frame == "back") world.scheduler.StopAll();
                                   },
                                   [] { return std::string("hello of a"); }});
  MemberConnections connections_b(b, at_b,
                                  {[&](MemberConnections::Connection& connection, std::string_view frame) {
                                     received_b.emplace_back(frame);
                                     if (frame == "last") replier->Reply(connection.number, "back");
                                   },
                                   [] { return std::string("hello of b"); }});
  replier = &connections_b;
  connections_a.Listen();
  connections_b.Listen();
  for (int i = 0; i < 600; ++i) connections_a.Send("127.0.0.2:1000", "beat " + std::to_string(i), true);
  connections_a.Send("127.0.0.2:1000", "last");
  world.scheduler.Run();
  ASSERT_GE(received_b.size(), 3u);
  EXPECT_EQ(received_b.front(), "hello of a");
  EXPECT_EQ(received_b.back(), "last");
  EXPECT_LE(received_b.size(), 514u);
  EXPECT_EQ(received_b[received_b.size() - 2], "beat 599");
  EXPECT_EQ(received_a, std::vector<std::string>{"back"});
  EXPECT_GT(connections_a.counts().dropped, 0u);
}

}  // namespace
}  // namespace burlfall::council

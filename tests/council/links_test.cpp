// Frames between two members of a virtual world.
#include "council/links.h"

#include <gtest/gtest.h>

#include "world/virtual_machine.h"

namespace burlfall::council {
namespace {

TEST(Links, CarryFramesBothWaysAndDropWhatRepeatsFirst) {
  world::World world(1'700'000'000 * kSecond, 1);
  world::VirtualMachine a(world), b(world);
  const Address at_a = *ReadAddress("127.0.0.1:1000"), at_b = *ReadAddress("127.0.0.2:1000");
  std::vector<std::string> heard_a, heard_b;
  Links* from_b = nullptr;
  Links one(a, at_a,
            {[&](Links::Link&, std::string_view frame) {
               heard_a.emplace_back(frame);
               if (frame == "back") world.scheduler.StopAll();
             },
             [] { return std::string("hello of a"); }});
  Links two(b, at_b,
            {[&](Links::Link& link, std::string_view frame) {
               heard_b.emplace_back(frame);
               if (frame == "last") from_b->Answer(link.number, "back");
             },
             [] { return std::string("hello of b"); }});
  from_b = &two;
  one.Open();
  two.Open();
  for (int i = 0; i < 600; ++i) one.Send("127.0.0.2:1000", "beat " + std::to_string(i), true);
  one.Send("127.0.0.2:1000", "last");
  world.scheduler.Run();
  ASSERT_GE(heard_b.size(), 3u);
  EXPECT_EQ(heard_b.front(), "hello of a");
  EXPECT_EQ(heard_b.back(), "last");
  EXPECT_LE(heard_b.size(), 514u);
  EXPECT_EQ(heard_b[heard_b.size() - 2], "beat 599");
  EXPECT_EQ(heard_a, std::vector<std::string>{"back"});
  EXPECT_GT(one.counts().lost, 0u);
}

}  // namespace
}  // namespace burlfall::council

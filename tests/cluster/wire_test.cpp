// Encoding and decoding of the membership messages.
#include "cluster/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "cluster/gossip.h"

namespace burlfall::cluster {
namespace {

Identity RandomIdentity(size_t least) {
  Identity who;
  const auto character = rc::gen::inRange<char>('!', '~');
  who.name = *rc::gen::container<std::string>(
      static_cast<size_t>(*rc::gen::inRange<int>(static_cast<int>(least), 65)), character);
  who.address = *rc::gen::container<std::string>(
      static_cast<size_t>(*rc::gen::inRange<int>(static_cast<int>(least), 65)), character);
  who.generation = {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()};
  return who;
}

Message RandomMessage() {
  Message message;
  message.kind = static_cast<Message::Kind>(*rc::gen::inRange(0, 7));
  message.from = RandomIdentity(1);
  message.ping_target = RandomIdentity(0);
  message.sequence = *rc::gen::arbitrary<uint64_t>();
  message.request_id = *rc::gen::arbitrary<uint64_t>();
  message.digest = *rc::gen::arbitrary<uint64_t>();
  message.reached = *rc::gen::arbitrary<bool>();
  message.cut_off = *rc::gen::arbitrary<bool>();
  message.facts.zone = "zone-a";
  message.facts.list_version = *rc::gen::arbitrary<uint64_t>();
  message.facts.used_percent = *rc::gen::arbitrary<uint8_t>();
  const int updates = *rc::gen::inRange(0, 6);
  for (int i = 0; i < updates; ++i) {
    Update update{
        RandomIdentity(1), static_cast<State>(*rc::gen::inRange(0, 4)), {}, *rc::gen::arbitrary<bool>()};
    for (int a = *rc::gen::inRange(0, 5); a > 0; --a) update.suspected_by.push_back(RandomIdentity(1).name);
    message.updates.push_back(std::move(update));
  }
  return message;
}

TEST(Wire, AMessageSurvivesEncodingAndDecoding) {
  EXPECT_TRUE(rc::check([] {
    const Message message = RandomMessage();
    const DecodedMessage read = Decode(Encode(message, "zuerich"), "zuerich");
    RC_ASSERT(read.message.has_value());
    RC_ASSERT(*read.message == message);
  }));
}

TEST(Wire, ForeignAndDamagedFramesAreRefusedWithAReason) {
  Message message;
  message.from = {"m1", "127.0.0.1:1", {1, 0}};
  const std::string good = Encode(message, "zuerich");
  EXPECT_STREQ(Decode(good, "bern").why, "another site");
  EXPECT_STREQ(Decode("GET / HTTP/1.1", "zuerich").why, "not ours");
  EXPECT_STREQ(Decode("", "zuerich").why, "not ours");
  std::string later = good;
  later[3] = 2;
  EXPECT_STREQ(Decode(later, "zuerich").why, "another version");
  for (size_t at = 4; at < good.size(); ++at) {
    std::string flipped = good;
    flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
    EXPECT_STREQ(Decode(flipped, "zuerich").why, "damaged") << at;
  }
  for (size_t length = 12; length < good.size(); ++length) {
    EXPECT_STREQ(Decode(good.substr(0, length), "zuerich").why, "damaged") << length;
  }
}

TEST(Wire, AMessageWithInvalidValuesIsMalformed) {
  Message message;
  message.from = {"", "127.0.0.1:1", {1, 0}};  // no name
  EXPECT_STREQ(Decode(Encode(message, "s"), "s").why, "malformed");
  message.from.name = std::string(kMaxNameBytes + 1, 'm');
  EXPECT_STREQ(Decode(Encode(message, "s"), "s").why, "malformed");
  message.from.name = "two words\n";  // a line break would forge a log line
  EXPECT_STREQ(Decode(Encode(message, "s"), "s").why, "malformed");
  message.from.name = "m1";
  message.updates.assign(1, {{"m2", "a:1", {1, 0}}, State::kSuspect, {"a", "b", "c", "d", "e"}, false});
  EXPECT_STREQ(Decode(Encode(message, "s"), "s").why, "malformed");
}

TEST(Wire, MaxEncodedSizeIsAnUpperBound) {
  EXPECT_TRUE(rc::check([] {
    Message message;
    message.from = {"m1", "a:1", {1, 0}};
    const size_t size_without_update = Encode(message, "s").size();
    message.updates.push_back(
        RandomMessage().updates.empty()
            ? Update{RandomIdentity(1), State::kDead, {"x"}, true}
            : Update{RandomIdentity(1), State::kSuspect, {RandomIdentity(1).name}, true});
    RC_ASSERT(Encode(message, "s").size() <=
              size_without_update + GossipQueue::MaxEncodedSize(message.updates[0]));
  }));
}

}  // namespace
}  // namespace burlfall::cluster

// The front's beliefs, the clients' retries and what is known of their queries' work, without I/O.
#include "lab/load/front_model.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lab/load/work_book.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

using meadowslip::Idempotency;

constexpr auto kNoLink = [](int) { return false; };

std::string Turns(FrontModel& front, int zone, int n, Micros now = 0) {
  std::string turns;
  for (int i = 0; i < n; ++i) turns += std::to_string(front.Choose(zone, now, kNoLink)) + " ";
  return turns;
}

TEST(FrontModel, ServesItsOwnZoneInTurnAndOthersOnlyWithoutAnyOfItsOwn) {
  FrontModel front(2, {0, 1, 0, 1});
  EXPECT_EQ(Turns(front, 0, 1), "-1 ");
  front.Admitted(1);
  EXPECT_EQ(Turns(front, 0, 2), "1 1 ");
  front.Admitted(0);
  front.Admitted(2);
  EXPECT_EQ(Turns(front, 0, 4), "0 2 0 2 ");
  EXPECT_EQ(Turns(front, 1, 2), "1 1 ");
  FrontModel alone(2, {0});
  alone.Admitted(0);
  EXPECT_EQ(Turns(alone, 1, 2), "0 0 ");
}

TEST(FrontModel, GoesOnWithADeadBalancerUntilItNoticesUnlessThatIsBackBefore) {
  FrontModel front(1, {0, 0});
  front.Admitted(0);
  front.Admitted(1);
  front.Died(1, 500);
  EXPECT_EQ(Turns(front, 0, 2, 499), "0 1 ");
  EXPECT_EQ(Turns(front, 0, 2, 500), "0 0 ");
  EXPECT_FALSE(front.Believed(1, 500));
  front.Admitted(1);
  front.Died(1, 900);
  front.Admitted(1);
  EXPECT_TRUE(front.Believed(1, 2000));
}

TEST(FrontModel, OpensNoLinkToOneThatLeavesAndUsesTheOpenOnes) {
  FrontModel front(1, {0, 0});
  front.Admitted(0);
  front.Admitted(1);
  front.Leaving(1, 300);
  EXPECT_EQ(Turns(front, 0, 2, 299), "0 1 ");
  EXPECT_EQ(Turns(front, 0, 2, 300), "0 0 ");
  int one = front.Choose(0, 300, [](int) { return true; });
  EXPECT_EQ(one, 1);
}

struct Case {
  const char* about;
  Failure failure;
  Micros again;  // 0: not
};

TEST(RetryModel, TriesAgainWhatIsHarmlessToRepeatAndOnlyInTime) {
  ClientSpec clients;
  clients.most_retries = 2;
  clients.most_retry_after_ms = 100;
  const std::vector<ClassSpec> classes = {
      {.name = "look", .effect = Idempotency::kSafe, .deadline_ms = 1000},
      {.name = "open", .effect = Idempotency::kUnsafe, .deadline_ms = 1000},
      {.name = "pay", .effect = Idempotency::kKeyed, .deadline_ms = 1000, .window_ms = 400}};
  const RetryModel retries(clients, classes);
  const auto failed = [](int cls, End how, Micros at) {
    Failure failure{.how = how, .cls = cls, .at = at * kMs, .wait = 10 * kMs};
    failure.may_run_since = RetryModel::MayHaveRun(how) ? 0 : kNever;
    return failure;
  };
  Failure third = failed(0, End::kFailed, 50);
  third.number = 2;
  Failure heeds = failed(1, End::kRefused, 50);
  heeds.refused_for = 60 * kMs;
  heeds.honours = true;
  Failure heeds_long = heeds;
  heeds_long.refused_for = 60 * kSecond;
  Failure heeds_not = heeds;
  heeds_not.honours = false;
  Failure refused_after_broken = failed(1, End::kRefused, 50);
  refused_after_broken.may_run_since = 0;
  const Case cases[] = {
      {"safe after 502", failed(0, End::kFailed, 50), 60},
      {"safe after it left", failed(0, End::kLeft, 900), 910},
      {"safe, at its deadline", failed(0, End::kLeft, 990), 0},
      {"served", failed(0, End::kServed, 50), 0},
      {"safe, the third failure", third, 0},
      {"unsafe after 502", failed(1, End::kFailed, 50), 0},
      {"unsafe after its link broke", failed(1, End::kBroken, 50), 0},
      {"unsafe after its balancer died", failed(1, End::kLost, 50), 0},
      {"unsafe after it left", failed(1, End::kLeft, 50), 0},
      {"unsafe refused", failed(1, End::kRefused, 50), 60},
      {"unsafe refused after a try that may have run", refused_after_broken, 0},
      {"unsafe unreached", failed(1, End::kUnreached, 50), 60},
      {"keyed after 502", failed(2, End::kFailed, 50), 60},
      {"keyed beyond its window", failed(2, End::kFailed, 395), 0},
      {"keyed refused beyond its window", failed(2, End::kRefused, 395), 405},
      {"heeds", heeds, 110},
      {"heeds up to its limit", heeds_long, 150},
      {"does not heed", heeds_not, 60},
  };
  for (const Case& one : cases) {
    EXPECT_EQ(retries.At(one.failure).value_or(0), one.again * kMs) << one.about;
  }
  // The class's deadline is for all tries together; a repeat of a keyed query ends with its window.
  EXPECT_EQ(retries.GiveUpAt(0, 0, 0, 700, kNever), 700);
  EXPECT_EQ(retries.GiveUpAt(0, 900 * kMs, 0, 700 * kMs, 0), 1000 * kMs);
  EXPECT_EQ(retries.GiveUpAt(2, 100 * kMs, 0, 700 * kMs, 0), 400 * kMs);
  EXPECT_EQ(retries.GiveUpAt(2, 100 * kMs, 0, 700 * kMs, kNever), 800 * kMs);
}

TEST(WorkBook, KnowsTheTriesThatWereMadeUntilTheyAreForgotten) {
  WorkBook book(4000);
  Stream64 draws(3, "traces");
  std::vector<TraceId> firsts;
  for (int i = 0; i < 5000; ++i) {
    firsts.push_back(FirstTrace(draws.Next()));
    book.Note(firsts.back(), {i % 3, 1.0 * i}, 1000 + i);
    if (i % 7 == 0) book.Note(TraceOfTry(firsts.back(), 2), {}, 0);
  }
  EXPECT_EQ(book.size(), 4000u);  // the first 1,000 gave way
  book.Forget(1000 + 2999);
  for (int i = 0; i < 5000; ++i) {
    WorkInfo work;
    const bool known = i >= 3000;
    ASSERT_EQ(book.WorkOf(firsts[static_cast<size_t>(i)], work), known) << i;
    EXPECT_EQ(work.work_us, known ? i : 0);
    EXPECT_FALSE(book.WorkOf(TraceOfTry(firsts[static_cast<size_t>(i)], 1), work));
    EXPECT_EQ(book.WorkOf(TraceOfTry(firsts[static_cast<size_t>(i)], 2), work), known && i % 7 == 0);
  }
  book.Forget(10000);
  EXPECT_EQ(book.size(), 0u);
}

}  // namespace
}  // namespace burlfall::lab

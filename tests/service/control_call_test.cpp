#include "control/control_call.h"

#include <gtest/gtest.h>

namespace burlfall {
namespace {

class RecordingOperations : public Operations {
 public:
  bool Serving() const override { return serving; }
  Verdict TakeOut(std::string_view server) override { return Record("out " + std::string(server)); }
  Verdict PutBack(std::string_view server) override { return Record("back " + std::string(server)); }
  Verdict StartManualDrain() override { return Record("aside"); }
  Verdict StopManualDrain() override { return Record("come back"); }
  Task<ChangePermission> RequestPermission(ChangeCall) override { co_return ChangePermission(); }
  Task<> ReleasePermission(ChangePermission) override { co_return; }
  Verdict Record(const std::string& what) {
    last = what;
    return verdict;
  }
  std::string last;
  bool serving = true;
  Verdict verdict = Verdict::kDone;
};

std::string Execute(RecordingOperations& operations, const std::string& method, const std::string& target) {
  HttpMessage call;
  call.method = method;
  call.target = target;
  operations.last.clear();
  const std::string answer = AnswerCall(call, operations);
  EXPECT_NE(answer.find("\r\nConnection: close\r\n"), std::string::npos);
  return answer.substr(9, 3);
}

TEST(ControlCall, EachCallIsExecutedAndAnswered) {
  RecordingOperations operations;
  EXPECT_EQ(Execute(operations, "POST", "/nodes/s-5be2a07c/maint"), "200");
  EXPECT_EQ(operations.last, "out s-5be2a07c");
  EXPECT_EQ(Execute(operations, "POST", "/nodes/a%2Fb%20c/ready?x=1"), "200");
  EXPECT_EQ(operations.last, "back a/b c");
  EXPECT_EQ(Execute(operations, "POST", "/healthcheck/fail"), "200");
  EXPECT_EQ(operations.last, "aside");
  EXPECT_EQ(Execute(operations, "POST", "/healthcheck/ok"), "200");
  EXPECT_EQ(operations.last, "come back");
  EXPECT_EQ(Execute(operations, "GET", "/healthcheck"), "200");
  operations.serving = false;
  EXPECT_EQ(Execute(operations, "GET", "/healthcheck"), "503");
}

TEST(ControlCall, EachRefusalHasItsStatus) {
  RecordingOperations operations;
  operations.verdict = Verdict::kUnknown;
  EXPECT_EQ(Execute(operations, "POST", "/nodes/s-1/maint"), "404");
  operations.verdict = Verdict::kNotNow;
  EXPECT_EQ(Execute(operations, "POST", "/healthcheck/ok"), "409");
  operations.verdict = Verdict::kFailed;
  EXPECT_EQ(Execute(operations, "POST", "/nodes/s-1/maint"), "500");
}

TEST(ControlCall, InvalidCallsChangeNothing) {
  RecordingOperations operations;
  for (const char* target : {"/", "/up", "/nodes/", "/nodes/s-1", "/nodes/s-1/", "/nodes/s-1/maint/",
                             "/nodes", "/healthcheck/", "/nodes/a/b/maint"}) {
    EXPECT_EQ(Execute(operations, "POST", target), "404") << target;
    EXPECT_EQ(operations.last, "") << target;
  }
  for (const char* target : {"/nodes//maint", "/nodes/%4/ready", "/nodes/%zz/ready"}) {
    EXPECT_EQ(Execute(operations, "POST", target), "400") << target;
    EXPECT_EQ(operations.last, "") << target;
  }
  EXPECT_EQ(Execute(operations, "POST", "/nodes/" + std::string(300, 'x') + "/maint"), "400");
  EXPECT_EQ(Execute(operations, "GET", "/nodes/s-1/maint"), "405");
  EXPECT_EQ(Execute(operations, "GET", "/healthcheck/fail"), "405");
  EXPECT_EQ(Execute(operations, "POST", "/healthcheck"), "405");
  EXPECT_EQ(operations.last, "");
}

TEST(ControlCall, AChangeIsParsedBeforeItIsExecuted) {
  HttpMessage call;
  call.method = "POST";
  call.target = "/nodes/a%2Fb/maint?by=staff&reason=it%20burns";
  const std::optional<ChangeCall> change = ParseChange(call);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->what, ChangeCall::What::kTakeOut);
  EXPECT_EQ(change->server, "a/b");
  EXPECT_EQ(change->by, "staff");
  EXPECT_EQ(change->reason, "it burns");
  for (const char* nothing : {"/up", "/nodes/a", "/nodes/a/other"}) {
    call.target = nothing;
    EXPECT_FALSE(ParseChange(call)) << nothing;
  }
  const std::string refused =
      RefusalAnswer({.granted = false, .why = "frozen: incident 7", .retry = 1500 * kMs});
  EXPECT_EQ(refused.substr(0, 12), "HTTP/1.1 409");
  EXPECT_NE(refused.find("\r\nRetry-After: 2\r\n"), std::string::npos);
}

}  // namespace
}  // namespace burlfall

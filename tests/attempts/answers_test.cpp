// What servers answer, also what no sound one would: each answer has an end, or is none.
#include <gtest/gtest.h>

#include <string>

#include "codec/http.h"

namespace burlfall {
namespace {

// One answer in pieces of so many bytes; what the parser says last, and what it leaves behind the answer.
struct Heard {
  Parsed last = Parsed::kMore;
  HttpMessage message;
  std::string behind;
};
Heard Hear(const std::string& bytes, size_t piece, bool no_body = false) {
  HttpParser parser(HttpParser::Kind::kResponse);
  if (no_body) parser.ExpectNoBody();
  Heard heard;
  for (size_t at = 0; at < bytes.size(); at += piece) {
    heard.behind += bytes.substr(at, piece);
    if (heard.last == Parsed::kMore) heard.last = parser.Feed(heard.behind);
  }
  if (heard.last == Parsed::kDone) heard.message = parser.Take();
  return heard;
}

TEST(Answers, InterimOnesEndSomewhere) {
  std::string endless;
  while (endless.size() < 4 * kMaxHead) endless += "HTTP/1.1 102 Processing\r\n\r\n";
  const std::string some = endless.substr(0, 100 * 27);
  for (size_t piece : {size_t{1}, size_t{1000}, endless.size()}) {
    EXPECT_EQ(Hear(endless, piece).last, Parsed::kTooLarge) << piece;
    EXPECT_EQ(Hear(some + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", piece).message.body, "ok")
        << piece;
  }
}

// RFC 9112, 6.3: whatever their headers say.
TEST(Answers, SomeHaveNoBody) {
  const std::string framed = " No\r\nContent-Length: 5\r\n\r\n",
                    chunked = " No\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& rest : {framed, chunked}) {
    for (const char* status : {"204", "304"}) {
      const Heard heard = Hear("HTTP/1.1 " + (status + rest) + "more", 1000);
      EXPECT_EQ(heard.last, Parsed::kDone) << status << rest;
      EXPECT_EQ(heard.message.status, std::stoi(status));
      EXPECT_FALSE(heard.message.keep_alive);  // what its server sends next nobody can tell
      EXPECT_EQ(heard.behind, "more");
    }
    EXPECT_EQ(Hear("HTTP/1.1 200" + rest, 1000, true).last, Parsed::kDone);  // to HEAD
  }
  EXPECT_TRUE(Hear("HTTP/1.1 304 No\r\n\r\n", 1000).message.keep_alive);
}

TEST(Answers, OneThatIsSpoiltIsNone) {
  for (const char* bad :
       {"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200OK\r\nContent-Length: 0\r\n\r\n", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n"}) {
    EXPECT_EQ(Hear(bad, 1000).last, Parsed::kBad) << bad;
  }
  EXPECT_EQ(Hear("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 1000).last,
            Parsed::kDone);  // no reason is a reason
  EXPECT_EQ(Hear("HTTP/1.1 200 OK\r\nX: " + std::string(kMaxHead, 'x'), 1000).last,
            Parsed::kTooLarge);  // endless
  std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  while (endless.size() < 2 * kMaxHeldBody) endless += "100\r\n" + std::string(256, 'x') + "\r\n";
  EXPECT_EQ(Hear(endless, 1000).last, Parsed::kTooLarge);
}

}  // namespace
}  // namespace burlfall

// Parsing of server responses, well-formed and malformed: each has a definite end or is rejected.
#include <gtest/gtest.h>

#include <string>

#include "codec/http.h"

namespace burlfall {
namespace {

// The parser's last result for a response in pieces of `piece` bytes, and the bytes left behind it.
struct ParseResult {
  Parsed last = Parsed::kMore;
  HttpMessage message;
  std::string remaining;
};
ParseResult Parse(const std::string& bytes, size_t piece, bool no_body = false) {
  HttpParser parser(HttpParser::Kind::kResponse);
  if (no_body) parser.ExpectNoBody();
  ParseResult result;
  for (size_t at = 0; at < bytes.size(); at += piece) {
    result.remaining += bytes.substr(at, piece);
    if (result.last == Parsed::kMore) result.last = parser.Feed(result.remaining);
  }
  if (result.last == Parsed::kDone) result.message = parser.Take();
  return result;
}

TEST(Answers, InterimResponsesAreLimited) {
  std::string endless;
  while (endless.size() < 4 * kMaxHead) endless += "HTTP/1.1 102 Processing\r\n\r\n";
  const std::string some = endless.substr(0, 100 * 27);
  for (size_t piece : {size_t{1}, size_t{1000}, endless.size()}) {
    EXPECT_EQ(Parse(endless, piece).last, Parsed::kTooLarge) << piece;
    EXPECT_EQ(Parse(some + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", piece).message.body, "ok")
        << piece;
  }
}

// RFC 9112, 6.3: these responses have no body, whatever their headers say.
TEST(Answers, ResponsesWithoutABodyEndAtTheHead) {
  const std::string framed = " No\r\nContent-Length: 5\r\n\r\n",
                    chunked = " No\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& rest : {framed, chunked}) {
    for (const char* status : {"204", "304"}) {
      const ParseResult result = Parse("HTTP/1.1 " + (status + rest) + "more", 1000);
      EXPECT_EQ(result.last, Parsed::kDone) << status << rest;
      EXPECT_EQ(result.message.status, std::stoi(status));
      EXPECT_FALSE(result.message.keep_alive);  // the meaning of what follows is undefined
      EXPECT_EQ(result.remaining, "more");
    }
    EXPECT_EQ(Parse("HTTP/1.1 200" + rest, 1000, true).last, Parsed::kDone);  // answers HEAD
  }
  EXPECT_TRUE(Parse("HTTP/1.1 304 No\r\n\r\n", 1000).message.keep_alive);
}

TEST(Answers, MalformedResponsesAreRejected) {
  for (const char* bad :
       {"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200OK\r\nContent-Length: 0\r\n\r\n", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n"}) {
    EXPECT_EQ(Parse(bad, 1000).last, Parsed::kBad) << bad;
  }
  EXPECT_EQ(Parse("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 1000).last,
            Parsed::kDone);  // the reason phrase is optional
  EXPECT_EQ(Parse("HTTP/1.1 200 OK\r\nX: " + std::string(kMaxHead, 'x'), 1000).last,
            Parsed::kTooLarge);  // unterminated head
  std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  while (endless.size() < 2 * kMaxHeldBody) endless += "100\r\n" + std::string(256, 'x') + "\r\n";
  EXPECT_EQ(Parse(endless, 1000).last, Parsed::kTooLarge);
}

}  // namespace
}  // namespace burlfall

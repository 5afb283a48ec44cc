// Access tokens: their text format, the verdicts, and the answers to clients.
#include "gates/tokens.h"

#include <array>

#include "codec/base64.h"
#include "stories/peers.h"

namespace burlfall {
namespace {

const std::string kHex1 = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const std::string kHex2 = "ffeeddccbbaa99887766554433221100FFEEDDCCBBAA99887766554433221100";
constexpr int64_t kExpiry = 1717000000;

TokensSettings Keys(const std::string& text) {
  TextFile file(text);
  return LoadProperties(file.path, *MakeRealFiles()).tokens;
}

Tokens TwoKeyTokens() {
  Tokens tokens;
  tokens.Configure(Keys("tokens.key.k1 = " + kHex1 + "\ntokens.key.k2 = " + kHex2 + "\n"));
  return tokens;
}

using Verdict = Tokens::Verdict;

}  // namespace

TEST_CASE("base64url has one text for each value") {
  for (std::string bytes : {"", "f", "fo", "foo", "foob", "fooba", "\xff\xfe\xfd"}) {
    CHECK(FromBase64Url(Base64Url(bytes)) == bytes);
  }
  CHECK(Base64Url("wechselstrom-aare") == "d2VjaHNlbHN0cm9tLWFhcmU");
  CHECK(Base64Url("\xff\xfe\xfd") == "__79");
  for (std::string bad : {"Zg==", "Zh", "Z", "Zm9vY", "Zm+v", "Zm/v", "Zm9v ", "Zm9v\n", "=", "Zm9vYh"}) {
    CAPTURE(bad);
    CHECK_FALSE(FromBase64Url(bad));
  }
}

// The expected signature was made with: openssl dgst -sha256 -mac HMAC -macopt hexkey:KEY.
TEST_CASE("a token's signature is the one that openssl makes") {
  const std::string token =
      TwoKeyTokens().Issue("k1", "wechselstrom-aare", "stock-query+slot-release", kExpiry);
  CHECK(token ==
        "v1.k1.d2VjaHNlbHN0cm9tLWFhcmU.stock-query+slot-release.1717000000."
        "fnPfAcnbyleZi6LI9BPCVLKFsSNQgjAbKMLzO6Vih0s");
}

TEST_CASE("the verdicts, and their order") {
  const Tokens tokens = TwoKeyTokens();
  const Micros now = kExpiry * kSecond;
  const std::string good = tokens.Issue("k2", "wechselstrom-aare", "swap-charge+slot-release", kExpiry + 10);
  CHECK(tokens.Check(good, "swap-charge", now) == Verdict::kPass);
  CHECK(tokens.Check(good, "slot-release", now) == Verdict::kPass);
  for (std::string cls : {"stock-query", "swap", "swap-charge+slot-release", "charge", ""}) {
    CAPTURE(cls);
    CHECK(tokens.Check(good, cls, now) == Verdict::kLacksClass);
  }
  CHECK(tokens.Check(good, "swap-charge", (kExpiry + 15) * kSecond) == Verdict::kPass);  // the leeway
  CHECK(tokens.Check(good, "swap-charge", (kExpiry + 15) * kSecond + 1) == Verdict::kExpired);
  CHECK(tokens.Check(good, "stock-query", (kExpiry + 16) * kSecond) == Verdict::kExpired);
  CHECK(tokens.Check("", "swap-charge", now) == Verdict::kPass);  // no token is required

  // A token with a changed, missing or added byte is forged, even if it has also expired.
  for (size_t i = 0; i < good.size(); ++i) {
    std::string altered = good;
    altered[i] = altered[i] == 'A' ? 'B' : 'A';
    CAPTURE(altered);
    CHECK(tokens.Check(altered, "swap-charge", now) == Verdict::kForged);
    CHECK(tokens.Check(altered, "swap-charge", now * 2) == Verdict::kForged);
    CHECK(tokens.Check(good.substr(0, i), "swap-charge", now) ==
          (i == 0 ? Verdict::kPass : Verdict::kForged));
  }
  for (std::string odd : {good + "=", good + ".", "." + good, good + "A", std::string("....."), "v1" + good,
                          std::string(9000, '.'), std::string("v1.k2....")}) {
    CHECK(tokens.Check(odd, "swap-charge", now) == Verdict::kForged);
  }
  Tokens other;
  other.Configure(Keys("tokens.key.k2 = " + kHex1));
  CHECK(other.Check(good, "swap-charge", now) == Verdict::kForged);
  other.Configure(Keys("tokens.key.k1 = " + kHex2));  // the right key under another id
  CHECK(other.Check(good, "swap-charge", now) == Verdict::kForged);
  other.Configure(Keys("tokens.enabled = true"));
  CHECK(other.Check(good, "swap-charge", now) == Verdict::kForged);
  other.Configure(Keys("tokens.required = true\ntokens.leeway_s = 0\ntokens.key.k2 = " + kHex2));
  CHECK(other.Check("", "swap-charge", now) == Verdict::kMissing);
  CHECK(other.Check(good, "swap-charge", (kExpiry + 10) * kSecond) == Verdict::kPass);
  CHECK(other.Check(good, "swap-charge", (kExpiry + 10) * kSecond + 1) == Verdict::kExpired);
}

TEST_CASE("a token is only issued with parts that can be parsed again") {
  const Tokens tokens = TwoKeyTokens();
  for (std::string classes : {"", "+", "a+", "+a", "a++b", "a.b", "a b", "a,b"}) {
    CAPTURE(classes);
    CHECK_THROWS_AS(tokens.Issue("k1", "x", classes, kExpiry), BadConfig);
  }
  CHECK_THROWS_AS(tokens.Issue("k3", "x", "a", kExpiry), BadConfig);
  CHECK_THROWS_AS(tokens.Issue("k1", "", "a", kExpiry), BadConfig);
  const std::string odd = tokens.Issue("k1", "a.b\n\xff", "a", kExpiry + 1);
  CHECK(tokens.Check(odd, "a", kExpiry * kSecond) == Verdict::kPass);
}

TEST_CASE("an invalid key is reported without showing it") {
  const std::string config = ConfigText({.known = Entry("s-1", 1)});
  const std::string truncated = kHex1.substr(0, 63);
  for (std::string text :
       {"tokens.key.k1 = " + truncated, "tokens.key.k1 = " + truncated + "g",
        "tokens.key.k1 = " + kHex1 + "00", "tokens.key.k1 " + kHex1, "tokens.key." + kHex1 + " = k1",
        "tokens.kay.k1 = " + kHex1, kHex1 + " = k1", "tokens.key.k.1 = " + kHex1,
        "tokens.key.k1 = " + kHex1 + "\ntokens.key.k1 = " + kHex1, "tokens.leeway_s = " + kHex1,
        std::string("tokens.required = true")}) {
    CAPTURE(text);
    TextFile file(text);
    Program check(config, {"check-config", "--config", file.path});
    CHECK(check.Wait() == 2);
    CHECK(check.output.starts_with("burlfall: " + file.path + ": "));
    CHECK(std::count(check.output.begin(), check.output.end(), '\n') == 1);
    if (!text.starts_with("tokens.leeway_s"))
      CHECK(check.output.find(kHex1.substr(0, 16)) == std::string::npos);
  }
}

TEST_CASE("clients are told what is wrong with their token, and keys change in service") {
  Peer server;
  TextFile file("tokens.required = true\ntokens.key.k1 = " + kHex1 +
                "\ndoor.rate.default = 0.001\ndoor.burst.default = 3\ncapture.enabled = true\n");
  const std::string config = ConfigText({.known = Entry("s-1", server.port)});
  Program program(config, {"serve", "--config", file.path});
  Link client = Link::To(program.port);
  std::optional<Link> link;
  auto issue = [&](const std::string& key, const std::string& classes) {
    Program made(config, {"token", "issue", "--config", file.path, "--key", key, "--holder", "akku-punkt-lu",
                          "--classes", classes, "--ttl", "3600"});
    CHECK(made.Wait() == 0);
    return made.output.substr(0, made.output.size() - 1);
  };
  auto ask = [&](const std::string& headers) {
    client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: " + FreshTraceId() + "\r\n" + headers +
                 "Content-Length: 4\r\n\r\nbody");
  };
  auto denied = [&](const std::string& headers, const std::string& status, const std::string& body) {
    CAPTURE(headers);
    ask(headers);
    const std::string answer = client.Read();
    CHECK(answer.starts_with("HTTP/1.1 " + status + " "));
    CHECK(answer.ends_with("\r\n\r\n" + body));
  };
  auto served = [&](const std::string& headers) {
    ask(headers);
    server.AwaitQuery(link);
    CHECK(link->Read().ends_with("body"));
    link->Write(Ok("fine"));
    CHECK(client.Read().ends_with("fine"));
  };
  auto header = [](const std::string& token) { return "X-Swap-Token: " + token + "\r\n"; };
  const std::string token = issue("k1", "pay+open");
  for (int i = 0; i < 5; ++i) {  // more than the rate limiter's burst: denied queries don't count there
    denied("", "401", "token missing");
    denied(header(""), "401", "token missing");
    denied(header(token + "x"), "403", "token forged");
    denied(header(issue("k1", "pay")), "403", "token lacks class");
  }
  denied(header(token) + header(token), "403", "token forged");
  Tokens own;
  own.Configure(Keys("tokens.key.k1 = " + kHex1));
  denied(header(own.Issue("k1", "x", "open", std::time(nullptr) - 60)), "401", "token expired");
  served(header(token));
  client.Write(
      "GET /look HTTP/1.1\r\n\r\n");  // names a class: the token is checked before the malformed request is
  CHECK(client.Read().ends_with("token missing"));
  client.Write("GET /up HTTP/1.1\r\n\r\n");
  CHECK(client.Read().starts_with("HTTP/1.1 200 "));

  auto reload = [&](const std::string& text) {
    file.Write(text);
    program.Signal(SIGHUP);
    program.ReadLineExceptDiscovery();
    return program.ReadLineExceptDiscovery();
  };
  const std::string first = "tokens.key.k1 = " + kHex1 + "\n", second = "tokens.key.k2 = " + kHex2 + "\n";
  const std::string required = "tokens.required = true\n";
  CHECK(reload(required + first + second).starts_with("burlfall: properties read anew"));
  const std::string next = issue("k2", "open");
  served(header(token));
  served(header(next));
  CHECK(reload(required + second).starts_with("burlfall: properties read anew"));
  denied(header(token), "403", "token forged");
  CHECK(reload(required).starts_with("burlfall: properties kept as they were: "));
  served(header(next));
  CHECK(reload("tokens.key.k2 = " + kHex2).starts_with("burlfall: properties read anew"));
  served("");
  denied(header(token), "403", "token forged");
  program.Signal(SIGUSR1);
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find(" denied=") != std::string::npos);
  CHECK(program.output.find("sent=5 ") != std::string::npos);
  for (const std::string& secret : {token, next, kHex1, kHex2, token.substr(token.size() - 20)}) {
    CHECK(program.output.find(secret) == std::string::npos);
  }
}

TEST_CASE("invalid arguments of the token command are rejected") {
  const std::string config = ConfigText({.known = Entry("s-1", 1)});
  TextFile file("tokens.key.k1 = " + kHex1);
  auto code = [&](std::vector<std::string> words) { return Program(config, std::move(words)).Wait(); };
  CHECK(code({"token"}) == 2);
  CHECK(code({"token", "--help"}) == 0);
  CHECK(code({"token", "revoke"}) == 2);
  CHECK(code({"token", "issue", "--help"}) == 0);
  CHECK(code({"token", "issue", "--config", file.path, "--key", "k1", "--holder", "x", "--classes", "a"}) ==
        2);
  auto issue = [&](const std::string& key, const std::string& classes, const std::string& ttl) {
    return code({"token", "issue", "--config", file.path, "--key", key, "--holder", "x", "--classes", classes,
                 "--ttl", ttl});
  };
  CHECK(issue("k1", "a+b", "3600") == 0);
  CHECK(issue("k1", "a+b", "0") == 2);
  CHECK(issue("k1", "a+b", "soon") == 2);
  CHECK(issue("k9", "a+b", "3600") == 2);
  CHECK(issue("k1", "a b", "3600") == 2);
}

}  // namespace burlfall

// The network between processes: its model, and that on real connections and datagrams.
#include "lab/paths/paths.h"

#include <catch2/catch.hpp>

#include "scripted.h"

namespace burlfall::lab {
namespace {

constexpr int kA = 1, kB = 2;

Address Any(const std::string& host) { return *ReadAddress(host + ":0"); }

}  // namespace

TEST_CASE("model: each direction by itself, and the same for the same seed") {
  PathModel model(5), again(5);
  for (PathModel* one : {&model, &again}) {
    one->Set(kA, kB, {.lost = 0.3, .delay_ms = {5, 9}, .doubled = 0.2, .reordered = 0.2});
  }
  size_t lost = 0, doubled = 0;
  bool overtaken = false;
  Micros last = 0;
  for (Micros now = 0; now < 2000 * kMs; now += kMs) {
    const std::vector<Micros> at = model.Datagram(now, kA, kB, 100);
    CHECK(at == again.Datagram(now, kA, kB, 100));
    lost += at.empty();
    doubled += at.size() == 2;
    for (const Micros one : at) CHECK(one >= now + 5 * kMs);
    if (!at.empty()) overtaken = overtaken || at[0] < std::exchange(last, at[0]);
    CHECK(model.Datagram(now, kB, kA, 100) == std::vector<Micros>{now});  // the way back is clear
  }
  CHECK(lost > 500);
  CHECK(lost < 700);
  CHECK(doubled > 200);
  CHECK(overtaken);
}

TEST_CASE("model: a stream keeps its order, is late by what is lost, slow by its width, and held by a cut") {
  PathModel model(6);
  model.Set(kA, kB, {.lost = 0.3, .delay_ms = {1, 30}});
  Micros after = 0;
  for (Micros now = 0; now < kSecond; now += 10 * kMs) {
    const Micros at = model.Piece(now, kA, kB, 100, after);
    CHECK(at >= std::max(now, after));
    after = at;
  }
  CHECK(after > kSecond);
  model.Set(kA, kB, {.bytes_per_s = 1000});
  CHECK(model.Piece(0, kA, kB, 500, 0) == kSecond / 2);
  CHECK(model.Piece(0, kA, kB, 500, 0) == kSecond);
  model.Set(kA, kB, {.cut = true});
  CHECK(model.Piece(0, kA, kB, 1, 0) == kNever);
  CHECK(model.Datagram(0, kA, kB, 1).empty());
  CHECK(model.Piece(0, kB, kA, 1, 0) == 0);
}

TEST_CASE(
    "streams: bytes go both ways, what one direction holds arrives when it is whole, and ends travel too") {
  Stage stage;
  Paths paths(stage.machine, 1);
  auto real = stage.machine.network().Listen(Any("127.0.0.1"));
  const Address door = paths.OpenStream(Any("127.0.0.1"), kA, kB, real->Local());
  stage.Play([&]() -> Task<> {
    NoConnection why;
    auto near = stage.machine.network().Connect(door, why);
    bool up = co_await Connected(*near, stage.machine.Now() + kPatience);
    CHECK(up);
    std::unique_ptr<Stream> far;
    while (real->Accept(far) != Listener::Accepted::kOne)
      co_await real->Wait(stage.machine.Now() + kPatience);
    const auto read = [&](Stream& from, size_t wanted) -> Task<std::string> {
      std::string all;
      while (all.size() < wanted) {
        const Io io = from.Read(all);
        if (io == Io::kLater) co_await from.Wait(stage.machine.Now() + kPatience);
        if (io == Io::kClosed || io == Io::kBroken) break;
      }
      co_return all;
    };
    std::string_view call = "call";
    near->Write(call);
    std::string heard = co_await read(*far, 4);
    CHECK(heard == "call");
    // Its calls still arrive, the answers don't.
    paths.Set(kB, kA, {.cut = true});
    std::string_view more = "more", answer = "answer";
    near->Write(more);
    heard = co_await read(*far, 4);
    CHECK(heard == "more");
    far->Write(answer);
    co_await stage.Rest(50 * kMs);
    std::string nothing;
    CHECK(near->Read(nothing) == Io::kLater);
    paths.Set(kB, kA, {});
    heard = co_await read(*near, 6);
    CHECK(heard == "answer");
    // Larger than what is held of one direction.
    const std::string large(1 << 20, 'x');
    Task<bool> writing = WriteAll(*far, large, stage.machine.Now() + kPatience);
    writing.Start();
    heard = co_await read(*near, large.size());
    CHECK(heard == large);
    far->Close();
    std::string rest;
    Io end;
    while ((end = near->Read(rest)) == Io::kLater) co_await near->Wait(stage.machine.Now() + kPatience);
    CHECK(end == Io::kClosed);
  });
}

TEST_CASE("streams: over a path that is cut nothing comes up and nobody is told; a dead process is a reset") {
  Stage stage;
  Paths paths(stage.machine, 1);
  auto real = stage.machine.network().Listen(Any("127.0.0.1"));
  const Address door = paths.OpenStream(Any("127.0.0.1"), kA, kB, real->Local());
  stage.Play([&]() -> Task<> {
    NoConnection why;
    paths.Set(kA, kB, {.cut = true});
    auto one = stage.machine.network().Connect(door, why);
    bool up = co_await Connected(*one, stage.machine.Now() + 100 * kMs);
    CHECK_FALSE(up);
    CHECK(one->Opened() == Stream::State::kOpening);
    paths.Set(kA, kB, {});
    auto two = stage.machine.network().Connect(door, why);
    up = co_await Connected(*two, stage.machine.Now() + kPatience);
    CHECK(up);
    real.reset();
    auto three = stage.machine.network().Connect(door, why);
    up = co_await Connected(*three, stage.machine.Now() + kPatience);
    std::string nothing;
    Io end = Io::kLater;
    while (up && (end = three->Read(nothing)) == Io::kLater)
      co_await three->Wait(stage.machine.Now() + kPatience);
    CHECK((!up || end == Io::kBroken));
  });
}

TEST_CASE(
    "datagrams: two processes see each other by their public addresses alone, each direction by itself") {
  Stage stage;
  Paths paths(stage.machine, 1);
  auto a = stage.machine.network().Bind(Any("127.0.0.1")), b = stage.machine.network().Bind(Any("127.0.0.1"));
  const Address public_a = paths.OpenDatagrams(Any("127.0.0.1"), kA, a->Local());
  const Address public_b = paths.OpenDatagrams(Any("127.0.0.1"), kB, b->Local());
  stage.Play([&]() -> Task<> {
    std::string bytes;
    Address from;
    a->Send(public_b, "ping");
    while (b->Receive(bytes, from) == Io::kLater) co_await b->Wait(stage.machine.Now() + kPatience);
    CHECK(bytes == "ping");
    CHECK(from.text == public_a.text);
    paths.Set(kA, kB, {.cut = true});
    a->Send(public_b, "lost");
    b->Send(from, "pong");
    while (a->Receive(bytes, from) == Io::kLater) co_await a->Wait(stage.machine.Now() + kPatience);
    CHECK(bytes == "pong");
    CHECK(from.text == public_b.text);
    CHECK(b->Receive(bytes, from) == Io::kLater);
    CHECK(paths.counts().datagrams_lost == 1);
    paths.Set(kA, kB, {.doubled = 1});
    a->Send(public_b, "twice");
    for (int i = 0; i < 2; ++i) {
      while (b->Receive(bytes, from) == Io::kLater) co_await b->Wait(stage.machine.Now() + kPatience);
      CHECK(bytes == "twice");
    }
  });
}

}  // namespace burlfall::lab

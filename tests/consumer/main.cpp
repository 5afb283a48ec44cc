// A minimal user of the installed library: one node, one backend, one request.
#include <cstdio>

#include "meadowslip/balancer.h"

using namespace meadowslip;

// Executes the actions of the node by printing them; a real proxy would use its sockets.
struct Proxy : ActionSink {
  void Send(RequestId id, BackendId backend, Micros) override {
    std::printf("send request %llu to backend %u\n", static_cast<unsigned long long>(id), backend);
  }
  void Refuse(RequestId id, Micros retry_after) override {
    std::printf("refuse %llu, come back in %lld us\n", static_cast<unsigned long long>(id),
                static_cast<long long>(retry_after));
  }
  void Fail(RequestId) override {}
  void Cancel(RequestId, int) override {}
  void Schedule(Micros, uint64_t) override {}
  void Probe(BackendId) override {}
  void Subscribe() override {}
};

int main() {
  RequestClass page;
  page.idempotency = Idempotency::kSafe;
  page.aim = 500'000;  // microseconds
  page.deadline = 2'000'000;
  Settings settings;
  settings.classes = {page};
  settings.max_attempts = 3;

  Proxy proxy;
  Balancer node(settings, /*seed=*/1);
  Micros now = 0;
  BackendEntry backend;
  backend.id = 7;
  node.OnList(now, {ListKind::kFull, {backend}}, proxy);
  Request request;
  request.id = 1;
  request.give_up_at = now + page.deadline;
  node.OnRequest(now, request, proxy);  // prints: send request 1 to backend 7
}

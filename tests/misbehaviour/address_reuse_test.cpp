// Guards against taking a process that came up at the address of one that has gone for the old one.
#include "misbehaviour/clients.h"

namespace burlfall {

TEST_CASE("a new node at the address of one that has gone is not sent the old one's work") {
  Peer discovery;
  ScriptedNode node;  // the process that came up; the old one is not there any more
  Program program(ConfigText({.known = Entry("s-old", node.port()),
                              .discovery = discovery.port,
                              .sockets = 256,
                              .admin = "127.0.0.1:0",
                              .memory_mb = static_cast<int>(kLeastMemoryMb),
                              .deadline = 1000000}),
                  InService());
  Link watch = discovery.Accept();
  watch.Read();
  // A list of changes names the new node only, which is not ready; the old one is still listed as ready.
  watch.Write(Ok(List(2, false, Entry("s-new", node.port(), "Terminating"))));
  watch.Read();
  Bystander client;
  for (int i = 0; i < 10; ++i) client.Ask(program.port, milliseconds(300));
  WARN(client.Text());
  CHECK(client.lost == 0);
  CHECK(client.served == 0);
  CHECK(node.Queries().empty());
  CHECK(program.Wait(SIGTERM) == 0);
}

}  // namespace burlfall

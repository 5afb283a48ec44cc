// A link of a client: one query after the other, each with its answer. What the lab's clients and its load
// are made of; what is sent, and when, they say.
#ifndef BURLFALL_LAB_LOAD_HTTP_LINK_H_
#define BURLFALL_LAB_LOAD_HTTP_LINK_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "codec/http.h"
#include "io/machine.h"

namespace burlfall::lab {

class HttpLink {
 public:
  enum class Gone {
    kNeverUp,  // the connect failed
    kClosed,   // the other side ended it in order
    kReset,    // it broke, or the other side reset it, which is how a machine ends one with unread bytes
    kGarbled,  // what came by it is no answer, or none that was asked for
  };
  // Told from the link's own coroutine: it must not destroy the link, but may close it.
  class Owner {
   public:
    virtual void CameUp(HttpLink& link) = 0;
    virtual void Written(HttpLink& link) = 0;  // the last byte of a query that Send() wrote partly
    // It takes the next query, unless the answer is not to keep alive.
    virtual void Answered(HttpLink& link, HttpMessage answer) = 0;
    virtual void Ended(HttpLink& link, Gone how) = 0;  // nothing follows, and nothing after Close()

   protected:
    ~Owner() = default;
  };
  enum class Sent { kWhole, kPartly, kBroken };

  HttpLink(Owner& owner, std::unique_ptr<Stream> stream, size_t most_body = kMaxHeldBody);
  HttpLink(const HttpLink&) = delete;
  void Start();  // may tell that it came up

  // On a link that is up and free. kBroken: it can't be written to, and is to be closed.
  Sent Send(std::string_view query);
  bool Quiet() { return stream_->IsIdle(); }  // open, and nothing has come unasked
  void Close();

  bool up() const { return up_; }
  bool busy() const { return busy_; }
  int answers() const { return answers_; }              // that came by it so far
  bool heard() const { return heard_; }                 // something came since the last query
  int head_status() const { return parser_.Status(); }  // of an answer that is not whole yet; 0: no head yet

 private:
  enum class Heard { kMore, kOver, kEnd };

  Task<> Run();
  Heard Hear();
  void Flush();
  void End(Gone how);

  Owner& owner_;
  std::unique_ptr<Stream> stream_;
  HttpParser parser_;
  std::string in_;
  std::string rest_;  // of a query that found no room
  bool up_ = false;
  bool busy_ = false;
  bool heard_ = false;
  bool closed_ = false;
  int answers_ = 0;
  Task<> task_;  // last: what it uses must outlive it
};

// One question on a link of its own: the status of the answer; 0: there was none by then.
Task<int> Ask(Machine& machine, Address to, std::string question, Micros until);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_LOAD_HTTP_LINK_H_

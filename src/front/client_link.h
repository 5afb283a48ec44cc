// A client link: reads one query after the other, hands it on, and writes its answer.
#ifndef BURLFALL_FRONT_CLIENT_LINK_H_
#define BURLFALL_FRONT_CLIENT_LINK_H_

#include <list>
#include <memory>
#include <string>

#include "codec/http.h"
#include "dispatch/query.h"
#include "front/upload.h"
#include "io/network.h"
#include "links/byte_budget.h"
#include "links/link_shedding.h"

namespace burlfall {

class HttpFront;

// A link without a query at hand, as it goes from one process to the next.
struct QuietLink {
  bool asked = false;  // has had a query
  Micros began = 0;    // when the first bytes of the query that was begun came; 0: none has
  std::string read;    // those bytes: a piece of its head
};

class ClientLink final : public ResponseSink {
 public:
  ClientLink(std::unique_ptr<Stream> stream, HttpFront& front, QuietLink from = {});
  ~ClientLink();
  void Start();

  // The final answer to the query at hand; exactly one of these.
  void Serve(const Payload& answer) override;
  void Throttle(Micros retry_after) override;
  void Fail() override;
  bool ClientGone() const override { return stream_->Ended(); }

  // Open, with no query at hand since then or before.
  bool IdleSince(Micros then) const {
    return !busy_ && !leave_ && !leaving_ && began_ == 0 && idle_since_ <= then;
  }
  // A query that began by then is still not whole.
  bool UnfinishedSince(Micros then) const {
    return !busy_ && !cut_ && !leaving_ && began_ != 0 && began_ <= then;
  }
  // Of such a query nothing has come since then.
  bool StalledSince(Micros then) const { return UnfinishedSince(then) && progress_at_ <= then; }
  LinkStatus Status(Micros now) const;
  bool Ended() const { return leaving_; }  // our side of it
  bool Ending() const { return leaving_ || (!busy_ && (leave_ || cut_)); }
  void Stir() { stream_->Notify(); }  // looks anew at what it is to do
  void Leave();                       // closes as soon as it is idle
  void Cut();                         // gives up on a query that is not whole

  // Among the front's links.
  std::list<std::unique_ptr<ClientLink>>::iterator place;
  bool asked = false;  // has had a query

 private:
  Task<> Run();
  Task<bool> ReadQuery();
  Task<bool> Handle();
  Task<bool> Await(meadowslip::RequestId id);
  int ReadBody();
  Task<bool> WriteAnswer();
  Task<bool> WriteRest();
  bool TurnedAway(const HttpMessage& message, int request_class);
  Task<> Linger();
  Micros ReadUntil() const;
  bool Continue();
  bool HoldMore();
  bool Listen();
  void Answer(int status, const std::string& headers, std::string_view body,
              const BodySource* body_rest = nullptr);

  HttpFront& front_;
  std::unique_ptr<Stream> stream_;
  HttpParser parser_;
  ByteBudget::Share share_;  // what the query at hand holds beyond kMostBody
  std::string in_;
  std::string out_;
  std::shared_ptr<Upload> upload_;         // of the query at hand, where it is large
  Micros upload_patience_ = 0;             // its asker's, from its last byte on
  std::shared_ptr<BodySource> body_rest_;  // of the answer
  bool chunks_ = false;                    // in which that goes out
  bool old_client_ = false;                // of HTTP/1.0
  bool head_only_ = false;                 // it asked for no body
  Micros began_before_ = 0;                // in the process that had the link before
  Micros began_ = 0;                       // when the first bytes of the query came
  Micros progress_at_ = 0;                 // when bytes came last
  Micros idle_since_ = 0;
  bool busy_ = false;
  bool answered_ = false;
  bool last_ = false;  // the link closes after this answer
  bool leave_ = false;
  bool cut_ = false;
  bool leaving_ = false;
  bool passed_ = false;  // it is another process's
  bool told_ = false;    // an error of ours, or the last answer: the client may not have read it yet
  Task<> task_;          // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_FRONT_CLIENT_LINK_H_

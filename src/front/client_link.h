// A client's connection: reads queries one at a time, submits each to the dispatcher, and writes its answer.
#ifndef BURLFALL_FRONT_CLIENT_LINK_H_
#define BURLFALL_FRONT_CLIENT_LINK_H_

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "codec/http.h"
#include "dispatch/query.h"
#include "front/local_answer_pacer.h"
#include "front/upload.h"
#include "io/network.h"
#include "links/link_shedding.h"
#include "links/memory_budgets.h"
#include "observe/figures.h"

namespace burlfall {

class HttpFront;

// A client link without an open query, as it is handed over to the next process.
struct HandedOverLink {
  bool had_query = false;     // has carried a query
  Micros query_began_at = 0;  // when the first bytes of an incomplete query were received; 0: there is none
  std::string buffered;       // those bytes: part of its head
};

class ClientLink final : public ResponseSink {
 public:
  ClientLink(std::unique_ptr<Stream> stream, HttpFront& front, HandedOverLink from = {});
  ~ClientLink();
  void Start();

  // The final answer to the open query.
  void Serve(std::unique_ptr<Payload> answer) override;
  void Throttle(Micros retry_after) override;
  void Fail() override;
  // An end of the client behind input that has not been read can't be seen.
  bool MayHaveLeft() const override { return has_unread_input_ || stream_->PeerEnded(); }

  // Whether the link is open and has had no query, complete or not, since `then`.
  bool IdleSince(Micros then) const {
    return !busy_ && !close_when_idle_ && !ended_ && query_began_at_ == 0 && idle_since_ <= then;
  }
  // Whether a query that began by `then` is still incomplete.
  bool UnfinishedSince(Micros then) const {
    return !busy_ && !abort_unfinished_ && !ended_ && query_began_at_ != 0 && query_began_at_ <= then;
  }
  // Whether, in addition, nothing has been received since `then`.
  bool StalledSince(Micros then) const { return UnfinishedSince(then) && progress_at_ <= then; }
  LinkStatus Status(Micros now) const;
  HeldRequestBytes HeldBytes(Micros now) const;  // of a request that is still arriving
  // Gives up an arriving request and its memory, and answers that it may be tried again.
  void RefuseForMemory();
  bool Ended() const { return ended_; }  // this side of the link has ended
  bool Ending() const { return ended_ || (!busy_ && (close_when_idle_ || abort_unfinished_)); }
  void WakeUp() { stream_->Notify(); }  // makes the link check its state again
  void CloseWhenIdle();                 // closes the link as soon as it is idle
  void AbortUnfinished();               // answers an incomplete query with an error and closes the link

  // The link's position in the front's list.
  std::list<std::unique_ptr<ClientLink>>::iterator position;
  bool had_query = false;  // has carried a query

 private:
  Task<> Run();
  Task<bool> ReadQuery();
  Task<bool> HandleQuery();
  Task<bool> AwaitUpload(meadowslip::RequestId id);
  int ReadBody();
  Micros BlockedDeadline() const;
  Task<bool> WriteAnswer();
  Task<bool> WriteProgressing(std::string_view bytes);
  Task<bool> WriteRest();
  void AnswerLocally(const HttpMessage& message, int request_class);
  void CountRefused(const HttpMessage& message, int request_class, Figure why);
  IncomingQuery MakeQuery(HttpMessage message, int request_class);
  Task<bool> Dispatch(IncomingQuery query);
  Task<> Linger();
  Io Discard(size_t& received);
  Micros ReadDeadline() const;
  bool SendContinue();
  bool BufferWholeBody();
  bool MayStreamBody() const;
  void StartUpload();
  bool AccountForInput();
  bool ReserveInput(size_t bytes);
  void ReleaseInput();
  size_t ReadAheadRoom();
  bool IsPaced() const;  // the next request is not to be read yet
  enum class ClientState {
    kPresent,
    kLeft,
    kUnknown,  // it has sent more than is read ahead
  };
  ClientState ReadAhead();
  void PrepareAnswer(int status, const std::string& headers, std::string_view body,
                     const BodySource* body_rest = nullptr);

  HttpFront& front_;
  std::unique_ptr<Stream> stream_;
  HttpParser parser_;
  ByteBudget::Share share_;  // of the input, and of the buffers of an upload
  std::string in_;
  std::string out_;
  std::shared_ptr<Upload> upload_;  // of the open query, if it is large
  size_t upload_window_ = 0;        // bytes of it that are read ahead of its server
  Micros answer_timeout_ = 0;       // of its client, from its last byte on
  Micros blocked_since_ = kNever;   // since when its body arrives faster than its server takes it
  Micros answer_by_ = kNever;       // of a large query that has arrived whole: answered by then
  std::unique_ptr<HttpPayload>
      answer_;  // while its body is written; one that is copied to `out_` is not kept
  std::shared_ptr<BodySource> body_rest_;  // the rest of the answer's body
  bool chunked_ = false;                   // that rest is sent with chunked encoding
  bool http_1_0_client_ = false;           // an HTTP/1.0 client can't read chunked encoding
  bool head_only_ = false;                 // the query is a HEAD request
  Micros inherited_began_at_ = 0;          // the query's begin in the process that handed the link over
  Micros query_began_at_ = 0;              // when the first bytes of the query were received; 0: none
  Micros progress_at_ = 0;                 // when bytes were last received
  Micros idle_since_ = 0;
  LocalAnswerPacer pacer_;
  Micros paced_until_ = 0;
  bool busy_ = false;
  bool answered_ = false;
  bool refused_for_memory_ = false;  // the arriving request was given up
  bool query_lacks_memory_ = false;  // the query that was just read
  bool has_unread_input_ = false;    // behind what was read ahead
  bool close_after_answer_ = false;  // the link closes after this answer
  bool close_when_idle_ = false;
  bool abort_unfinished_ = false;
  bool ended_ = false;
  bool handed_over_ = false;        // to another process
  bool final_answer_sent_ = false;  // the last answer was written; the client may not have read it yet
  Task<> task_;                     // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_FRONT_CLIENT_LINK_H_

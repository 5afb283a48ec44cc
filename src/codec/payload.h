// What a query carries to a server, or an answer brings back. Whoever passes it on need not know what it is:
// the front that made a query and the upstream that sends it speak the same protocol.
#ifndef BURLFALL_CODEC_PAYLOAD_H_
#define BURLFALL_CODEC_PAYLOAD_H_

namespace burlfall {

class Payload {
 public:
  virtual ~Payload() = default;
  virtual bool Spent() const { return false; }  // a part of it is gone: it can't be sent again
  bool closed = false;  // nothing is owed for it any more: what is not whole on its way need not be
};

}  // namespace burlfall

#endif  // BURLFALL_CODEC_PAYLOAD_H_

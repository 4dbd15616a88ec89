@0xc2f1a7d35b8e9d61;
# Messages between nodes.  Each is prefixed with an authentication tag and sent as
# one UDP datagram (Frame), or as the body of one HTTP request (PeerRequest,
# Handover) or response (PeerAnswer).

struct Load {
  flows @0 :UInt32;
  flowLimit @1 :UInt32;
  busy @2 :UInt32;        # running and queued requests
  slots @3 :UInt32;
  open @4 :Bool;          # whether the agent accepts new flows
}

struct Candidate {
  upstream @0 :UInt32;
  load @1 :Load;
  ageMillis @2 :UInt32;   # time since the balancer received the load
}

struct ToUpstream {
  upstream @0 :UInt32;
  host @1 :Text;
  port @2 :UInt16;
  alternate @3 :Candidate;  # absent if there is none, or if forwarded
  passed @4 :Bool;          # whether another agent forwarded the datagram
  replyHost @5 :Text;       # balancer that received the datagram, if forwarded
  replyPort @6 :UInt16;
  datagram @7 :Data;
}

struct ToCaller {
  upstream @0 :UInt32;
  host @1 :Text;
  port @2 :UInt16;
  load @3 :Load;
  datagram @4 :Data;
}

struct NodeReport {
  name @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  balancer @3 :Bool;
  incarnation @4 :UInt32;
  beat @5 :UInt32;
  generation @6 :UInt64;
  leaving @7 :Bool;
}

struct Heartbeat {
  upstream @0 :UInt32;      # 0 if the sender is a balancer
  load @1 :Load;
  reports @2 :List(NodeReport);
  probe @3 :Bool;           # whether the receiver has to answer
}

struct Frame {
  generation @0 :UInt64;
  service @1 :UInt16;
  union {
    toUpstream @2 :ToUpstream;
    toCaller @3 :ToCaller;
    heartbeat @4 :Heartbeat;
  }
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct PeerRequest {
  service @0 :UInt16;
  upstream @1 :UInt32;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  key @6 :Text;
}

struct PeerAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Record {
  number @0 :UInt64;
  fingerprint @1 :Data;
  expires @2 :Float64;      # seconds on the issuer's monotonic clock
  union {
    mayHaveRun @3 :Void;
    done @4 :PeerAnswer;
    refused @5 :Void;
  }
}

struct Transfer {
  upstream @0 :UInt32;
  incarnation @1 :UInt32;
  clock @2 :Float64;        # issuer's monotonic clock when sent, in seconds
  records @3 :List(Record);
}

struct Handover {
  upstream @0 :UInt32;
  transfers @1 :List(Transfer);
}

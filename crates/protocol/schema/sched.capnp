@0xd1f0b3a7c2e94856;
# Messages between gates and scheds, and between scheds.
# Regenerate the committed code with crates/protocol/regenerate.sh.

struct Uuid {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct TargetId {
  job @0 :Uuid;
  index @1 :UInt32;
  attempt @2 :UInt32;
}

struct Address {
  # An IPv4 address is mapped into IPv6.
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

struct Demand {
  # What a gate wants of one service at the moment.
  service @0 :Text;
  wanted @1 :UInt32;
  # How many slots it wants to hold in all on the targets of the sched that it asks.
}

struct Hold {
  # What a gate keeps of one target, from the making of the statement on.
  target @0 :TargetId;
  slots @1 :UInt16;
  # The most slots that it fills until it applies the reply; a total, not a difference.
  abandoned @2 :UInt16;
  # Slots that it gives up without knowing whether they are free.
  epoch @3 :UInt64;
  # That of the grant; an owner at another epoch knows nothing of it.
}

struct Grant {
  # Slots of one target that a gate may fill until the lease ends.
  service @0 :Text;
  target @1 :TargetId;
  address @2 :Address;
  slots @3 :UInt16;
  # The total that the gate holds on this target after the call; zero withdraws the target.
  leaseMicros @4 :UInt64;
  # From the making of the statement.
  epoch @5 :UInt64;
  # The epoch under which the sched holds the target; a lower one than known is void.
}

struct Shard {
  # A shard that the answering sched owns, with a digest of its load.
  id @0 :UInt16;
  epoch @1 :UInt64;
  freeMillicores @2 :UInt64;
  freeMemory @3 :UInt64;
  freeAccelerators @4 :UInt32;
  waitingTasks @5 :UInt32;
}

struct Refusal {
  reason @0 :Text;
  # A stable word, as in the counters.
  detail @1 :Text;
  outcome @2 :Outcome;
  retryAfterMicros @3 :UInt64;
  # Zero where asking again is of no use.
}

enum Outcome {
  notRun @0;
  ran @1;
  unknown @2;
}

struct SyncRequest {
  gate @0 :UInt32;
  incarnation @1 :UInt64;
  demands @2 :List(Demand);
  holds @3 :List(Hold);
  # Everything that it keeps of the targets of this sched; nothing of a target that is not listed.
  configVersion @4 :UInt64;
  # The newest version that the gate has in force.
  draining @5 :Bool;
  sequence @6 :UInt64;
  # Rises by one with each call of this incarnation; a sched drops what comes out of order.
}

struct SyncReply {
  node @0 :UInt32;
  incarnation @1 :UInt64;
  shards @2 :List(Shard);
  grants @3 :List(Grant);
  configVersion @4 :UInt64;
  config @5 :Data;
  # The JSON document, only where it is newer than the gate's.
  draining @6 :Bool;
  sequence @7 :UInt64;
  # That of the request.
}

struct Job {
  id @0 :Uuid;
  team @1 :Text;
  kind :union {
    batch @2 :Void;
    gang @3 :Void;
    service :group {
      name @4 :Text;
      slots @5 :UInt16;
      port @6 :UInt16;
    }
  }
  millicores @7 :UInt32;
  memory @8 :UInt64;
  accelerators @9 :UInt16;
  tasks @10 :UInt32;
  priority @11 :UInt8;
  # 0 low, 1 normal, 2 urgent.
  runtimeMicros @12 :UInt64;
  # Zero where none is declared.
  deadlineMicros @13 :UInt64;
  # Since the Unix epoch; zero where there is none.
  idempotent @14 :Bool;
  checkpoint @15 :Bool;
  spread @16 :UInt8;
  # 0 any, 1 racks, 2 data centres.
  program @17 :Text;
  args @18 :List(Text);
}

struct SubmitReply {
  union {
    accepted @0 :Void;
    # Its record is in the log.
    known @1 :Void;
    # The same job was accepted before.
    refused @2 :Refusal;
    elsewhere @3 :UInt32;
    # This sched does not own the shard; the node that does, as far as it knows.
  }
}

struct BeginRequest {
  key @0 :Text;
  service @1 :Text;
  team @2 :Text;
  digest @3 :Data;
  # 32 bytes over the method, path and body of the request.
  deadlineMicros @4 :UInt64;
  # Since the Unix epoch.
  gate @5 :UInt32;
  shard @6 :UInt16;
  nonce @7 :UInt64;
  # Names the one flow at the gate that serves the request; it asks again only while nothing was sent.
}

struct BeginReply {
  union {
    grant @0 :UInt64;
    # The ticket. The intent is in the log; send now, once, in a slot of the gate's own.
    replay :group {
      # It ran before; this is its answer.
      status @1 :UInt16;
      body @2 :Data;
      contentType @3 :Text;
    }
    refused @4 :Refusal;
    elsewhere @5 :UInt32;
  }
}

struct FinishRequest {
  key @0 :Text;
  shard @1 :UInt16;
  ticket @2 :UInt64;
  outcome @3 :Outcome;
  # notRun only where nothing was sent.
  status @4 :UInt16;
  body @5 :Data;
  # The answer, where it is small enough to be kept.
  contentType @6 :Text;
  kept @7 :Bool;
  # Whether the body holds the whole answer.
}

interface Sched {
  sync @0 (request :SyncRequest) -> (reply :SyncReply);
  submit @1 (shard :UInt16, job :Job) -> (reply :SubmitReply);
  begin @2 (request :BeginRequest) -> (reply :BeginReply);
  finish @3 (request :FinishRequest) -> (known :Bool);
  command @4 (operator :Text, text :Text, dryRun :Bool, confirm :Text, local :Bool) -> (status :UInt16, json :Data);
  # Runs one line of the operators' language; local keeps the sched from asking its peers.
  job @5 (id :Uuid, waitMicros :UInt64) -> (found :Bool, json :Data, settled :List(UInt16));
  # Where the job is not found, settled lists the shards for which this can be told.
  cancel @6 (id :Uuid) -> (found :Bool, reply :SubmitReply, settled :List(UInt16));
  peer @7 (message :Data) -> (reply :Data);
  # Coordination between scheds; encoded by the coordination layer.
}

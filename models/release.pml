/* Never backwards: a node without a disk in a zone with two control VMs.
 *
 * The leader is elsewhere. A step that needs a message may be put off for as
 * long as the search likes, which stands for silent cuts between the leader
 * and a VM and between the VMs; nodes always reach both. Indices stand for accepted
 * versions and member changes alike. A lease runs out at any time, but the
 * leader counts it as over only once it is.
 */
#define MAX 4
#define MIN(a, b) (a < b -> a : b)

byte index = 1;          /* newest committed index */
byte changeAt = 0;       /* index of the newest member change */
bool fenced[2];          /* in the newest member set */
byte durable[2];         /* commit mark synced on disk */
byte memory[2];          /* commit known, not yet synced */
byte acked[2];           /* what the leader knows to be durable */
byte released[2];        /* what the VM knows to be released */
bool lease[2];
byte zoneRelease = 0;    /* highest the leader computed */

byte applied = 0;        /* of the running node; 0 after a restart */
byte highest = 0;        /* that the node or a predecessor applied */
byte asked = 2;          /* VM that holds a request under its lease; 2 is none */
byte atAsk = 0;          /* what that VM held durably when asked */

inline take(v) {
    if
    :: v > applied ->
        assert(v >= highest);
        applied = v; highest = v; asked = 2; atAsk = 0
    :: else
    fi
}

active proctype Leader() {
    do
    :: atomic { index < MAX -> index++ }
    :: atomic { (!fenced[0] && !fenced[1] && MIN(acked[0], acked[1]) > zoneRelease) ->
        zoneRelease = MIN(acked[0], acked[1]) }
    :: atomic { (!fenced[0] && fenced[1] && acked[0] > zoneRelease) -> zoneRelease = acked[0] }
    :: atomic { (fenced[0] && !fenced[1] && acked[1] > zoneRelease) -> zoneRelease = acked[1] }
    od
}

/* A request waits for the release only while its lease runs without a gap. */
#ifdef ASK_WITHOUT_LEASE
#define ASKABLE(me) true
#define DROP(me) skip
#else
#define ASKABLE(me) lease[me]
#define DROP(me) if :: asked == me -> asked = 2; atAsk = 0 :: else fi
#endif

proctype Vm(byte me) {
    do
    /* What passes between the leader and this VM. */
    :: atomic { (memory[me] < index) -> memory[me] = index }
#ifdef ACK_BEFORE_SYNC
    :: atomic { (acked[me] < memory[me]) -> acked[me] = memory[me] }
#else
    :: atomic { (acked[me] < durable[me]) -> acked[me] = durable[me] }
#endif
    :: atomic { (!fenced[me] && released[me] < zoneRelease && durable[me] >= zoneRelease) ->
        released[me] = zoneRelease }
#ifdef LEASE_WITHOUT_CATCH_UP
    :: atomic { (!fenced[me] && !lease[me]) -> lease[me] = true }
#else
    :: atomic { (!fenced[me] && !lease[me] && acked[me] >= changeAt) -> lease[me] = true }
#endif
#ifdef FENCE_WITHOUT_WAIT
    :: atomic { (!fenced[me] && !fenced[1 - me] && index < MAX) ->
#else
    :: atomic { (!fenced[me] && !fenced[1 - me] && index < MAX && !lease[me]) ->
#endif
        index++; changeAt = index; fenced[me] = true }
    :: atomic { (fenced[me] && index < MAX) ->
        index++; changeAt = index; fenced[me] = false }
    /* What happens to the VM. */
    :: atomic { (durable[me] < memory[me]) -> durable[me] = memory[me] }
    :: atomic { (memory[me] > durable[me] || released[me] > 0 || lease[me]) ->
        memory[me] = durable[me]; released[me] = 0; lease[me] = false; DROP(me) }
    :: atomic { lease[me] -> lease[me] = false; DROP(me) }
    od
}

/* The newest member set that the two know of together shows a fence. */
#define KNOWS(me) (durable[me] >= changeAt || durable[1 - me] >= changeAt)

inline poll(me) {
    if
    :: applied > 0 -> take(released[me])
    :: applied == 0 && asked != me && ASKABLE(me) -> asked = me; atAsk = durable[me]
    :: applied == 0 && asked == me && lease[me] ->
#ifdef NO_FLOOR
        if :: released[me] > 0 -> take(released[me]) :: else fi
#else
        if :: released[me] > 0 && released[me] >= atAsk -> take(released[me]) :: else fi
#endif
    :: applied == 0 && !lease[me] ->
#ifdef NO_PEER_NEEDED
        if :: durable[me] > 0 -> take(durable[me]) :: else fi
#else
        if
        :: KNOWS(me) && !fenced[me] && fenced[1 - me] && durable[me] >= changeAt && durable[me] > 0 ->
            released[me] = durable[me]; take(durable[me])
        :: KNOWS(me) && !fenced[me] && !fenced[1 - me] &&
           MIN(durable[0], durable[1]) >= changeAt && MIN(durable[0], durable[1]) > 0 ->
            if
            :: released[me] < MIN(durable[0], durable[1]) -> released[me] = MIN(durable[0], durable[1])
            :: else
            fi;
            take(released[me])
        :: else
        fi
#endif
    fi
}

active proctype Node() {
    do
    :: atomic { poll(0) }
    :: atomic { poll(1) }
    :: atomic { applied > 0 -> applied = 0 }   /* restart */
    od
}

init { atomic { run Vm(0); run Vm(1) } }

/* Version release: a node without a disk never applies an older version, also
 * after a restart, in a zone with two control VMs.
 *
 * The leader is outside the zone. The search may delay a step that needs a message
 * for any time, which models undetected network partitions between the leader and
 * a VM and between the VMs; nodes always reach both VMs. Indices number accepted
 * versions and member changes alike. A lease may expire at any time, but the
 * leader considers it expired only after it has.
 */
#define MAX 4
#define MIN(a, b) (a < b -> a : b)

byte index = 1;          /* newest committed index */
byte changeAt = 0;       /* index of the newest member change */
bool fenced[2];          /* in the newest member set, by VM */
byte durable[2];         /* commit index synced to disk */
byte memory[2];          /* known commit index, maybe not synced */
byte acked[2];           /* durable index known to the leader */
byte released[2];        /* released index known to the VM */
bool lease[2];
byte zoneRelease = 0;    /* highest release that the leader computed */

byte applied = 0;        /* by the running node; 0 after a restart */
byte highest = 0;        /* ever applied, also before a restart */
byte asked = 2;          /* VM that holds a request under its lease; 2: none */
byte atAsk = 0;          /* durable index of that VM when asked */

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

/* A VM holds a request until the release only while its lease is uninterrupted. */
#ifdef ASK_WITHOUT_LEASE
#define ASKABLE(me) true
#define DROP(me) skip
#else
#define ASKABLE(me) lease[me]
#define DROP(me) if :: asked == me -> asked = 2; atAsk = 0 :: else fi
#endif

proctype Vm(byte me) {
    do
    /* Messages between the leader and this VM. */
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
    /* Disk sync, restart, and loss of the lease of the VM. */
    :: atomic { (durable[me] < memory[me]) -> durable[me] = memory[me] }
    :: atomic { (memory[me] > durable[me] || released[me] > 0 || lease[me]) ->
        memory[me] = durable[me]; released[me] = 0; lease[me] = false; DROP(me) }
    :: atomic { lease[me] -> lease[me] = false; DROP(me) }
    od
}

/* Whether one of the two VMs has the newest member set, which shows any fence. */
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

/* Nodes that poll any control VM: when a node may apply an older version.
 *
 * Two control VMs hold versions that may lag behind the accepted one. A running
 * node applies newer versions only. A restarted node applies a version that a
 * quorum has proved to be new enough; only while no quorum is reachable, it
 * applies whatever version a VM holds, which may be older.
 */
#define VMS 2
#define VERSIONS 3

byte accepted = 1;
byte held[VMS];
byte node = 1;           /* version that the node applied; 0 after a restart */
byte before;             /* version applied before the restart */
byte covered;            /* accepted version when the proof was requested */
byte asked = VMS;        /* VM that waits for a proof; VMS: none */
bit quorum = 1;

active proctype Control() {
    byte i;
    do
    :: atomic { /* a version is accepted and stored by one VM */
        (quorum && accepted < VERSIONS) ->
        select(i : 0 .. 1);
        accepted++;
        held[i] = accepted;
        i = 0
      }
    :: atomic { /* a VM receives the next version */
        select(i : 0 .. 1);
        (quorum && held[i] < accepted) -> held[i]++;
        i = 0
      }
    :: atomic { quorum -> quorum = 0 }
    :: atomic { !quorum -> quorum = 1 }
    od
}

active proctype Node() {
    byte i;
    do
    :: atomic { /* a running node polls */
        node > 0 ->
        select(i : 0 .. 1);
#ifdef NO_VERSION_CHECK
        held[i] > 0 ->
#else
        held[i] > node ->
#endif
        assert(held[i] >= node);
        node = held[i];
        i = 0
      }
    :: atomic { node > 0 -> before = node; node = 0; asked = VMS }
    :: atomic { /* a restarted node asks a VM, which has a quorum prove the version */
        (node == 0 && asked == VMS && quorum) ->
        select(i : 0 .. 1);
        asked = i; covered = accepted;
        i = 0
      }
    :: atomic { /* the VM holds the proved version and answers */
#ifdef ANSWER_BEFORE_ENTRY
        (node == 0 && asked < VMS && held[asked] > 0) ->
#else
        (node == 0 && asked < VMS && held[asked] >= covered) ->
#endif
        assert(held[asked] >= before);
        node = held[asked];
        before = 0; covered = 0; asked = VMS
      }
    :: atomic { /* no quorum is reachable: the held version keeps the zone serving */
        select(i : 0 .. 1);
        (node == 0 && held[i] > 0) ->
#ifndef NO_PROOF
        !quorum ->
#endif
        assert(!quorum || held[i] >= before);
        node = held[i];
        before = 0; covered = 0; asked = VMS;
        i = 0
      }
    od
}

init { atomic { held[0] = 1; held[1] = 1 } }

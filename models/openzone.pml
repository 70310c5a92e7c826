/* Nodes that poll any control VM: when a node may go back, and when never.
 *
 * Two control VMs hold versions that lag behind what was accepted. A running
 * node takes newer ones only. A restarted node takes what is proved, and only
 * while no quorum is in reach what a VM happens to hold.
 */
#define VMS 2
#define VERSIONS 3

byte accepted = 1;
byte held[VMS];
byte node = 1;           /* in force at the node; 0 after a restart */
byte before;             /* in force before the restart */
byte covered;              /* what a proof covers */
byte asked = VMS;        /* VM that is proving; VMS is none */
bit quorum = 1;

active proctype Control() {
    byte i;
    do
    :: atomic { /* a version is accepted and stored by a VM */
        (quorum && accepted < VERSIONS) ->
        select(i : 0 .. 1);
        accepted++;
        held[i] = accepted;
        i = 0
      }
    :: atomic { /* a VM catches up */
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
    :: atomic { /* a restarted node asks, and a quorum proves */
        (node == 0 && asked == VMS && quorum) ->
        select(i : 0 .. 1);
        asked = i; covered = accepted;
        i = 0
      }
    :: atomic { /* the proof has arrived at the VM */
#ifdef ANSWER_BEFORE_ENTRY
        (node == 0 && asked < VMS && held[asked] > 0) ->
#else
        (node == 0 && asked < VMS && held[asked] >= covered) ->
#endif
        assert(held[asked] >= before);
        node = held[asked];
        before = 0; covered = 0; asked = VMS
      }
    :: atomic { /* no quorum in reach: what is held keeps the zone serving */
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

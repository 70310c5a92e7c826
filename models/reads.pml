/* Linearizable reads: a read returns all entries accepted before it started.
 *
 * Three replicas; a log is modelled by its length. A replaced leader may not
 * know that it was replaced. A read records the commit index of the leader, then
 * needs a quorum to answer heartbeats that were sent after the read started.
 */
#define N 3
#define WRITES 3
#define TERMS 3

byte term[N];            /* newest term known to a replica */
byte size[N];            /* length of its log */
byte last[N];            /* term of its newest entry */
byte commit[N];          /* commit index that it knows as a leader */
bit leads[N];
byte termStart[N];       /* length of its log when it was elected */
byte accepted;           /* entries acknowledged to operators */
byte newest;             /* newest term with a leader */

bit asked;               /* a read is in progress at replica `at` */
byte at;
byte floor;              /* value of `accepted` when the read started */
byte mark;               /* commit index that the read will return */
bit confirmed[N];

inline clear() { confirmed[0] = 0; confirmed[1] = 0; confirmed[2] = 0 }

inline majority(a, b) { /* chooses b so that a and b are a quorum */
    select(b : 0 .. 2);
    b != a
}

active proctype Group() {
    byte i; byte j;
    term[0] = 1; leads[0] = 1; newest = 1;
    do
    :: atomic { /* an election: the log of the winner is at least as up to date as its voter's */
        newest < TERMS ->
        select(i : 0 .. 2);
        majority(i, j);
        (last[i] > last[j] || (last[i] == last[j] && size[i] >= size[j])) ->
        newest++;
        term[i] = newest; term[j] = newest;
        leads[i] = 1; leads[j] = 0;
        termStart[i] = size[i];
        commit[i] = 0;
        i = 0; j = 0
      }
    :: atomic { /* a write is stored by the leader and one follower, and accepted */
        select(i : 0 .. 2);
        (leads[i] && size[i] < WRITES) ->
        majority(i, j);
        term[j] <= term[i] ->
        if :: term[j] < term[i] -> leads[j] = 0 :: else fi;
        term[j] = term[i];
        size[i]++;
        last[i] = term[i];
        size[j] = size[i]; last[j] = last[i];
        commit[i] = size[i];
        if :: size[i] > accepted -> accepted = size[i] :: else fi;
        i = 0; j = 0
      }
    :: atomic { /* a read starts at a replica that believes it is the leader */
        !asked ->
        select(i : 0 .. 2);
        leads[i] ->
#ifndef EARLY_CONFIRM
        clear();
#endif
        asked = 1; at = i; floor = accepted;
        mark = commit[i];
        i = 0; j = 0
      }
    :: atomic { /* a follower answers a heartbeat of a leader */
        select(i : 0 .. 2);
        leads[i] ->
        majority(i, j);
        term[j] <= term[i] ->
        if :: term[j] < term[i] -> leads[j] = 0 :: else fi;
        term[j] = term[i];
        if :: !asked -> clear(); at = i :: else fi;
        if :: i == at -> confirmed[j] = 1 :: else fi;
        i = 0; j = 0
      }
    :: atomic { /* the read returns */
        (asked && leads[at]) ->
#ifndef NO_CONFIRM
        (confirmed[0] || confirmed[1] || confirmed[2]) ->
#endif
#ifndef NO_TERM_START
        mark > termStart[at] || (termStart[at] == 0 && mark == 0 && term[at] == 1) ->
#endif
        assert(mark >= floor);
        asked = 0; floor = 0; mark = 0;
        clear();
        i = 0; j = 0
      }
    :: atomic { asked -> asked = 0; floor = 0; mark = 0; clear() } /* the read is abandoned */
    od
}

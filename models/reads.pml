/* Proved reads: an answer holds everything that was accepted before the question.
 *
 * Three replicas; writes are counted, so a log is its length. A leader that was
 * replaced may not know it. A read takes the leader's commit mark, then needs
 * the answers of a quorum to heartbeats that were sent after the question.
 */
#define N 3
#define WRITES 3
#define TERMS 3

byte term[N];            /* newest term that a replica knows */
byte size[N];            /* entries it holds */
byte last[N];            /* term of its newest entry */
byte commit[N];          /* what it knows to be committed, as a leader */
bit leads[N];
byte termStart[N];       /* length of its log when it was elected */
byte accepted;           /* entries acknowledged to operators */
byte newest;             /* newest term with a leader */

bit asked;               /* a question is under way at replica `at` */
byte at;
byte floor;              /* accepted when it was asked */
byte mark;               /* the answer, if it gets one */
bit confirmed[N];

inline clear() { confirmed[0] = 0; confirmed[1] = 0; confirmed[2] = 0 }

inline majority(a, b) { /* a quorum of two, of which one is a */
    select(b : 0 .. 2);
    b != a
}

active proctype Group() {
    byte i; byte j;
    term[0] = 1; leads[0] = 1; newest = 1;
    do
    :: atomic { /* an election: the winner's log is at least as new as its voter's */
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
    :: atomic { /* a write is stored by the leader and one other, and accepted */
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
    :: atomic { /* a question reaches a replica that believes that it leads */
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
    :: atomic { /* a heartbeat of a leader is answered */
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
    :: atomic { /* the answer */
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
    :: atomic { asked -> asked = 0; floor = 0; mark = 0; clear() } /* given up */
    od
}

/* Member changes after a lost disk: committed entries stay committed.
 *
 * Members 0, 1 and 2 are the first voters. Member 2 may lose its disk once; its
 * VM then returns under a new name, as member 3, which is a learner. The first
 * entry of a log is a write, the second promotes 3, the third removes voter 2.
 * Each member counts votes and copies by the member set of its own log.
 */
#define N 4
#define MAXLOG 3
#ifndef MAXTERM
#define MAXTERM 3
#endif

typedef Replica {
    byte term;
    byte vote;           /* N: none */
    bit leads;
    bit votes[N];
    byte size;
    byte log[MAXLOG];    /* terms of the entries */
    byte match[N]
}

Replica r[N];
byte committed[MAXLOG];  /* terms of committed entries; 0: not committed */
byte since[MAXLOG];      /* terms in which they were committed */
bit lost;                /* whether member 2 lost its disk */

/* Whether x is a voter according to the log of i. */
#ifdef CHANGE_OUTSIDE_LOG
#define removed(i) lost
#define promoted(i) lost
#else
#ifdef REPLACE_AT_ONCE
#define removed(i) (r[i].size >= 2)
#define promoted(i) (r[i].size >= 2)
#else
#define promoted(i) (r[i].size >= 2)
#define removed(i) (r[i].size >= 3)
#endif
#endif
/* Four voters between the two changes, three before and after them. */
#define majority(i) (promoted(i) && !removed(i) -> 3 : 2)
#define voter(i, x) (x < 2 || (x == 2 && !removed(i)) || (x == 3 && promoted(i)))

/* Whether leader i may append: a change waits until the one before is committed. */
#ifdef REPLACE_AT_ONCE
#define ready(i) true
#else
#define ready(i) (r[i].size < 2 || committed[1] == r[i].log[1])
#endif

/* Whether member x is running. */
#ifdef SAME_NAME
#define alive(x) (x < 3)
#else
#define alive(x) (x < 2 || (x == 2 && !lost) || (x == 3 && lost))
#endif

inline clearVotes(who) {
    r[who].votes[0] = 0; r[who].votes[1] = 0; r[who].votes[2] = 0; r[who].votes[3] = 0
}

inline stepDown(who, newer) {
    if
    :: r[who].term < newer -> r[who].term = newer; r[who].vote = N
    :: else
    fi;
    r[who].leads = 0;
    clearVotes(who)
}

inline lastTerm(who, found) {
    if :: r[who].size > 0 -> found = r[who].log[r[who].size - 1] :: else -> found = 0 fi
}

proctype Actor(byte i) {
    byte j; byte k; byte n; byte mine; byte theirs; bit ok;
    do
    :: atomic { /* a member starts an election */
        (alive(i) && voter(i, i) && !r[i].leads && r[i].term < MAXTERM) ->
        stepDown(i, r[i].term + 1);
        r[i].vote = i; r[i].votes[i] = 1
      }
    :: atomic { /* a candidate requests a vote and may get it */
        (alive(i) && voter(i, i) && !r[i].leads && r[i].vote == i) ->
        select(j : 0 .. 3);
        if
        :: j != i && alive(j) && voter(i, j) && r[j].term <= r[i].term ->
            if :: r[j].term < r[i].term -> stepDown(j, r[i].term) :: else fi;
            lastTerm(i, mine); lastTerm(j, theirs);
            ok = (mine > theirs || (mine == theirs && r[i].size >= r[j].size));
            if
            :: ok && (r[j].vote == N || r[j].vote == i) && !r[j].leads ->
                r[j].vote = i; r[i].votes[j] = 1
            :: else
            fi
        :: else
        fi;
        n = 0; j = 0;
        do
        :: j < N -> if :: voter(i, j) && r[i].votes[j] -> n++ :: else fi; j++
        :: else -> break
        od;
        if
        :: n >= majority(i) ->
            r[i].leads = 1;
            k = 0;
            do /* a leader has all entries committed in earlier terms */
            :: k < MAXLOG ->
                assert(committed[k] == 0 || since[k] >= r[i].term || (r[i].size > k && r[i].log[k] == committed[k]));
                k++
            :: else -> break
            od;
            r[i].match[0] = 0; r[i].match[1] = 0; r[i].match[2] = 0; r[i].match[3] = 0;
            r[i].match[i] = r[i].size
        :: else
        fi;
        j = 0; k = 0; n = 0; mine = 0; theirs = 0; ok = 0
      }
    :: atomic { /* the leader appends the write, then the two changes */
        (alive(i) && r[i].leads && r[i].size < MAXLOG && (r[i].size == 0 || lost) && ready(i)) ->
        r[i].log[r[i].size] = r[i].term;
        r[i].size++;
        r[i].match[i] = r[i].size
      }
    :: atomic { /* the leader replicates its log to a voter or learner */
        (alive(i) && r[i].leads) ->
        select(j : 0 .. 3);
        if
        :: j != i && alive(j) && r[j].term <= r[i].term ->
            if :: r[j].term < r[i].term || r[j].leads -> stepDown(j, r[i].term) :: else fi;
            n = r[i].size;
            k = 0;
            do
            :: k < n -> r[j].log[k] = r[i].log[k]; k++
            :: else -> break
            od;
            r[j].size = n;
            r[i].match[j] = n
        :: else
        fi;
        j = 0; k = 0; n = 0
      }
    :: atomic { /* the leader commits, by the member set of its own log */
        (alive(i) && r[i].leads && r[i].size > 0 && committed[r[i].size - 1] == 0) ->
        k = r[i].size - 1;
        n = 0; j = 0;
        do
        :: j < N -> if :: voter(i, j) && r[i].match[j] > k -> n++ :: else fi; j++
        :: else -> break
        od;
        if
        :: n >= majority(i) && r[i].log[k] == r[i].term ->
            committed[k] = r[i].log[k]; since[k] = r[i].term;
            do /* and all earlier entries */
            :: k > 0 && committed[k - 1] == 0 ->
                k--; committed[k] = r[i].log[k]; since[k] = r[i].term
            :: else -> break
            od
        :: else
        fi;
        j = 0; k = 0; n = 0
      }
    od
}

active proctype Disk() {
    atomic { /* member 2 loses its disk, once, at any time */
        lost = 1;
        r[2].term = 0; r[2].vote = N; r[2].leads = 0; r[2].size = 0;
        r[2].log[0] = 0; r[2].log[1] = 0; r[2].log[2] = 0;
        clearVotes(2)
    }
}

init {
    atomic {
        r[0].vote = N; r[1].vote = N; r[2].vote = N; r[3].vote = N;
        run Actor(0); run Actor(1); run Actor(2); run Actor(3)
    }
}

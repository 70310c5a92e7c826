/* Log safety: a committed entry is never replaced.
 *
 * Three replicas; each log is an array of terms. A leader sends its whole log in
 * one message, of which any prefix may arrive. Steps interleave in any order,
 * which models lost, delayed and reordered messages. A crash loses the
 * commit index and an unsynced term and vote.
 */
#define N 3
#define MAXLOG 2
#ifndef MAXTERM
#define MAXTERM 3
#endif

typedef Replica {
    byte term;
    byte vote;          /* N: none */
    bool leads;
    bit votes[N];
    byte size;
    byte log[MAXLOG];
    byte match[N];
    byte commit;
    byte syncedTerm;
    byte syncedVote
}

Replica r[N];
byte committed[MAXLOG];  /* terms of committed entries; 0: not committed */
byte leaderOf[MAXTERM + 1];  /* leader by term, plus 1; 0: none */

inline upToDate(one, other, ok) {
    lastOne = 0;
    lastOther = 0;
    if :: r[one].size > 0 -> lastOne = r[one].log[r[one].size - 1] :: else fi;
    if :: r[other].size > 0 -> lastOther = r[other].log[r[other].size - 1] :: else fi;
    ok = (lastOne > lastOther || (lastOne == lastOther && r[one].size >= r[other].size));
#ifdef NO_UP_TO_DATE
    ok = true;
#endif
    lastOne = 0;
    lastOther = 0
}

inline stepDown(who, newer) {
    if
    :: r[who].term < newer -> r[who].term = newer; r[who].vote = N
    :: else
    fi;
    r[who].leads = false;
    r[who].votes[0] = 0; r[who].votes[1] = 0; r[who].votes[2] = 0
}

inline sync(who) {
#ifndef NO_SYNCED_VOTE
    r[who].syncedTerm = r[who].term;
    r[who].syncedVote = r[who].vote
#else
    skip
#endif
}

inline reset() {
    j = 0; k = 0; n = 0; ok = false
}

proctype Actor(byte i) {
    byte j; byte k; byte n; bool ok; byte lastOne; byte lastOther;
    do
    :: atomic { /* a replica starts an election */
        (!r[i].leads && r[i].term < MAXTERM) ->
        stepDown(i, r[i].term + 1);
        r[i].vote = i; r[i].votes[i] = 1; sync(i);
        reset()
      }
    :: atomic { /* a candidate requests a vote and may get it */
        (!r[i].leads && r[i].vote == i) ->
        select(j : 0 .. 2);
        if
        :: j != i && r[j].term <= r[i].term ->
            if :: r[j].term < r[i].term -> stepDown(j, r[i].term) :: else fi;
            upToDate(i, j, ok);
            if
            :: ok && (r[j].vote == N || r[j].vote == i) && !r[j].leads ->
                r[j].vote = i; sync(j); r[i].votes[j] = 1
            :: else
            fi
        :: else
        fi;
        if
        :: r[i].votes[0] + r[i].votes[1] + r[i].votes[2] > N / 2 ->
            assert(leaderOf[r[i].term] == 0 || leaderOf[r[i].term] == i + 1);
            leaderOf[r[i].term] = i + 1;
            r[i].leads = true;
            r[i].match[0] = 0; r[i].match[1] = 0; r[i].match[2] = 0;
            r[i].match[i] = r[i].size
        :: else
        fi;
        reset()
      }
    :: atomic { /* the leader appends a command */
        (r[i].leads && r[i].size < MAXLOG) ->
        r[i].log[r[i].size] = r[i].term;
        r[i].size++;
        r[i].match[i] = r[i].size;
        reset()
      }
    :: atomic { /* the leader replicates its log to a follower */
        r[i].leads ->
        select(j : 0 .. 2);
        if
        :: j != i && r[j].term <= r[i].term ->
            if :: r[j].term < r[i].term || r[j].leads -> stepDown(j, r[i].term) :: else fi;
            select(n : 0 .. MAXLOG);  /* entries that arrive */
            if
            :: n <= r[i].size ->
                ok = false; k = 0;
                do /* replaces entries from the first conflict on */
                :: k < n ->
                    if
                    :: k >= r[j].size || r[j].log[k] != r[i].log[k] -> ok = true
                    :: else
                    fi;
                    if :: ok -> r[j].log[k] = r[i].log[k]; r[j].size = k + 1 :: else fi;
                    k++
                :: else -> break
                od;
                if :: n > r[i].match[j] -> r[i].match[j] = n :: else fi;
                sync(j)
            :: else
            fi
        :: else
        fi;
        reset()
      }
    :: atomic { /* the leader commits the next entry */
        (r[i].leads && r[i].commit < r[i].size) ->
        k = r[i].commit;
        n = 0;
        if :: r[i].match[0] > k -> n++ :: else fi;
        if :: r[i].match[1] > k -> n++ :: else fi;
        if :: r[i].match[2] > k -> n++ :: else fi;
        if
#ifdef COMMIT_OLD_TERM
        :: n > N / 2 ->
#else
        :: n > N / 2 && (r[i].log[k] == r[i].term ||
             (k + 1 < r[i].size && r[i].log[k + 1] == r[i].term &&
              ((r[i].match[0] > k + 1) + (r[i].match[1] > k + 1) + (r[i].match[2] > k + 1)) > N / 2)) ->
#endif
            assert(committed[k] == 0 || committed[k] == r[i].log[k]);
            committed[k] = r[i].log[k];
            r[i].commit = k + 1
        :: else
        fi;
        reset()
      }
#ifndef NO_CRASH
    :: atomic { /* a replica crashes and restarts */
        true ->
        r[i].leads = false;
        r[i].votes[0] = 0; r[i].votes[1] = 0; r[i].votes[2] = 0;
        r[i].term = r[i].syncedTerm;
        r[i].vote = r[i].syncedVote;
        r[i].commit = 0;
        reset()
      }
#endif
    od
}

init {
    atomic {
        byte i;
        for (i : 0 .. N - 1) { r[i].vote = N; r[i].syncedVote = N };
        run Actor(0); run Actor(1); run Actor(2)
    }
}

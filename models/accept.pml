/* Acceptance and apply: one effect and one answer a request; whole or not at all.
 *
 * Two operators submit from the same base and resend after lost answers; any
 * step may meet a leader that only restored the log. A node takes deltas of
 * two parts that cross, and may be stopped between any two steps.
 */
#define OPS 2
#define NONE 0
#define CONFLICT 9

byte version = 1;
byte effects[OPS];       /* versions that a request made */
byte answers[OPS];       /* durable answers by request id */
byte told[OPS];          /* what each operator was told first */
byte resends[OPS];
byte base[OPS];

byte partA = 1;          /* in force on the node */
byte partB = 1;
byte nodeVersion = 1;
byte newA; byte newB; byte newVersion;

proctype Operator(byte me) {
    byte answer;
    base[me] = 1;
    do
    :: atomic { resends[me] < 3 ->
        resends[me]++;
        /* the log applies the entry */
        if
#ifndef NO_REQUEST_TABLE
        :: answers[me] != NONE -> answer = answers[me]
        :: answers[me] == NONE ->
#else
        :: true ->
#endif
            if
#ifndef NO_COMPARE
            :: version != base[me] -> answer = CONFLICT
            :: version == base[me] ->
#else
            :: true ->
#endif
                version++;
                effects[me]++;
                answer = version
            fi;
            answers[me] = answer
        fi;
        assert(effects[me] <= 1);
        assert(effects[0] + effects[1] <= 1);
        if /* the answer may be lost */
        :: told[me] == NONE -> told[me] = answer
        :: told[me] != NONE -> assert(told[me] == answer)
        :: true
        fi
      }
    :: resends[me] == 3 -> break
    od
}

active proctype Node() {
    byte v;
    do
    :: atomic { /* a delta of any accepted version arrives, old ones included */
        select(v : 1 .. 3);
        v <= version;
#ifdef NO_VERSION_CHECK
        newA = v; newB = v; newVersion = v
#else
        if :: v > nodeVersion -> newA = v; newB = v; newVersion = v :: else -> newVersion = 0 fi
#endif
      };
      if
      :: newVersion == 0
      :: else ->
#ifdef APPLY_IN_PLACE
        partA = newA;
        partB = newB;
        atomic { assert(newVersion >= nodeVersion); nodeVersion = newVersion }
#else
        atomic { /* one assignment of a whole configuration */
            assert(newVersion >= nodeVersion);
            partA = newA; partB = newB; nodeVersion = newVersion
        }
#endif
      fi
    od
}

active proctype Caller() {
    do
    :: atomic { assert(partA == partB) }
    od
}

init { run Operator(0); run Operator(1) }

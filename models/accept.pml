/* Acceptance and apply of versions.
 *
 * Properties: a request takes effect at most once and always gets the same
 * answer, and of two requests with the same base at most one takes effect. A
 * node applies a version as a whole or not at all, and never an older one.
 *
 * Two operators submit from the same base and resend when an answer is lost; a
 * resend may reach a new leader, which has only what it restored from the log.
 * A node receives deltas of two parts out of order, and may be interrupted
 * between any two of its steps.
 */
#define OPS 2
#define NONE 0
#define CONFLICT 9

byte version = 1;
byte effects[OPS];       /* versions created by a request */
byte answers[OPS];       /* stored answers by request id */
byte told[OPS];          /* first answer that each operator got */
byte resends[OPS];
byte base[OPS];

byte partA = 1;          /* applied by the node */
byte partB = 1;
byte nodeVersion = 1;
byte newA; byte newB; byte newVersion;

proctype Operator(byte me) {
    byte answer;
    base[me] = 1;
    do
    :: atomic { resends[me] < 3 ->
        resends[me]++;
        /* the state machine applies the entry */
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
    :: atomic { /* the delta of any accepted version arrives, even of an old one */
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
        atomic { /* replaces the whole configuration in one assignment */
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

/* Roll-outs: an order has effect once, and ends once.
 *
 * An operator sends one order, and sends it again when it hears nothing. Two
 * control VMs in turn believe that they lead: each reads the applied state,
 * decides, and commits a step later, with any number of other commits between.
 * A node applies the committed states in order, but may lag.
 */
#define NONE 0
#define RUNNING 1
#define COMPLETED 2
#define ROLLED_BACK 3
#define SENDS 2
#define STEPS 3

byte state = NONE;       /* the committed state */
byte order = 0;          /* number of the order in force */
byte step = 0;
bool exposed = false;    /* whether nodes may use the new version */
byte ends = 0;           /* ends of the first order */

inline applyOrder() {
    if
#ifdef NO_RESEND_CHECK
    :: state != RUNNING ->
#else
    :: state == NONE ->
#endif
        order++; state = RUNNING; step = 0; exposed = false
    :: else /* acknowledged again, without effect */
    fi
}

inline applyStep(ofOrder, number, outcome) {
    if
#ifdef NO_STEP_CHECK
    :: state != NONE ->
#else
    :: state == RUNNING && ofOrder == order && number == step + 1 ->
#endif
        assert(state == RUNNING);  /* an end is final */
        step = number;
        state = outcome;
        exposed = (outcome == RUNNING);
        if :: outcome != RUNNING -> ends++ :: else fi
    :: else /* refused */
    fi
}

active proctype Operator() {
    byte sent = 0;
    do
    :: sent < SENDS -> atomic { applyOrder(); sent++; assert(order <= 1) }
    :: sent == SENDS -> break
    od
}

active [2] proctype Leader() {
    byte seenOrder; byte seenStep; byte outcome;
    do
    :: atomic { /* reads what its replica has applied, and decides */
        (state == RUNNING && step < STEPS) ->
        seenOrder = order; seenStep = step;
        if
        :: outcome = RUNNING
        :: outcome = COMPLETED
        :: outcome = ROLLED_BACK
        fi
      };
      atomic { /* commits, perhaps after another leader's step */
        applyStep(seenOrder, seenStep + 1, outcome);
        assert(ends <= 1);
        assert(!(state != RUNNING && exposed))
      }
    :: (state == COMPLETED || state == ROLLED_BACK) -> break
    :: step >= STEPS -> break
    od
}

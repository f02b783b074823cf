/*
 * At-most-once requests: one idempotency key, a caller that resends, and entry
 * nodes that claim the key in the ledger, dispatch to targets and record the
 * outcome.
 *
 * The ledger is modelled as one atomic object; replication.pml checks that a
 * quorum makes it one. A sent message may arrive at any later time, more than
 * once or never. A crashed or frozen entry node is one that takes no further
 * step; this may happen at any point. Steps have the names of the events of
 * internal/entry and the commands of internal/control/machine.
 *
 * Bounds: ATTEMPTS is the number of requests that the caller sends with the
 * key, each through a different entry node and with its own claim.
 *
 * Each macro removes one safety rule:
 *   NO_CLAIM_BEFORE_DISPATCH the request is dispatched without a granted claim
 *   NO_TOMBSTONE             an undecided claim is abandoned without a record
 *   RECLAIM_HELD             a held key is granted again, as with an expired
 *                            lease
 *   NOT_RUN_WITHOUT_PROOF    a dispatch without a reply is recorded as not run
 *   RETRY_WITHOUT_PROOF      a dispatch without a reply is sent to another
 *                            target
 *   NO_HOLDER_CHECK          a record by another claim changes the key
 *   NO_SPENT_CLAIMS          a claim recorded as not run can be granted again
 *   NO_FLOOR                 a forgotten key counts as unknown when the clock
 *                            goes back
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

/* The key in the ledger. */
#define FREE     0
#define HELD     1
#define RAN      2
#define NOTRUN   3
byte state;
byte holder;              /* attempt that holds the key, plus 1 */
bit  spent[ATTEMPTS];     /* claims recorded as not run */
bit  forgotten;           /* the key was deleted after its retention time */
bit  late;                /* the leader's clock is past the key's retention */

/* Sent messages. */
bit  claimSent[ATTEMPTS];
bit  verdictGranted[ATTEMPTS];
bit  verdictOther[ATTEMPTS];
bit  dispatched[ATTEMPTS * 2]; /* to each of two targets */
bit  executed[ATTEMPTS * 2];
bit  refused[ATTEMPTS * 2];    /* the target replied "not run" */
bit  replied[ATTEMPTS * 2];
bit  ranSent[ATTEMPTS];
bit  notRunSent[ATTEMPTS];
bit  recordDone[ATTEMPTS];     /* reply to a committed record */

/* Executions, and the replies to the caller. */
byte runs;
bit  toldNotRun[ATTEMPTS];
bit  toldRan[ATTEMPTS];

#define T(a, t) ((a) * 2 + (t))

/* Conditions used by the assertions. */
#define ONCE       (runs <= 1)
#define NEVER_RAN(a) (executed[T(a, 0)] + executed[T(a, 1)] == 0)

/* One attempt at an entry node. */
#define IDLE     0
#define CLAIMING 1
#define GRANTED  2
#define WAITING  3 /* for the target's reply */
#define RECORDING 4
#define GIVINGUP 5
#define DONE     6

active [ATTEMPTS] proctype entry() {
    byte phase = IDLE;
    byte target = 0;
    do
    /* RequestArrived */
    :: d_step { phase == IDLE ->
           claimSent[_pid] = 1;
#ifdef NO_CLAIM_BEFORE_DISPATCH
           phase = GRANTED
#else
           phase = CLAIMING
#endif
       }
    /* ClaimReplied: granted */
    :: d_step { phase == CLAIMING && verdictGranted[_pid] -> phase = GRANTED }
    /* ClaimReplied: taken, recorded, expired or abandoned; nothing is dispatched */
    :: d_step { phase == CLAIMING && verdictOther[_pid] -> phase = DONE }
    /* ClaimTimedOut: the claim is undecided and is abandoned */
    :: d_step { phase == CLAIMING ->
#ifdef NO_TOMBSTONE
           toldNotRun[_pid] = 1;
           phase = DONE
#else
           notRunSent[_pid] = 1;
           phase = GIVINGUP
#endif
       }
    /* DispatchAbandoned: the deadline passed before anything was written */
    :: d_step { phase == GRANTED -> notRunSent[_pid] = 1; phase = GIVINGUP }
    /* Dispatch */
    :: d_step { phase == GRANTED -> dispatched[T(_pid, target)] = 1; phase = WAITING }
    /* TargetReplied */
    :: d_step { phase == WAITING && replied[T(_pid, target)] -> ranSent[_pid] = 1; toldRan[_pid] = 1; phase = RECORDING }
    /* TargetReplied: not run; retry at another target, or abandon the claim */
    :: d_step { phase == WAITING && refused[T(_pid, target)] && target == 0 -> target = 1; phase = GRANTED }
    :: d_step { phase == WAITING && refused[T(_pid, target)] -> notRunSent[_pid] = 1; phase = GIVINGUP }
    /* TargetTimedOut: the outcome is unknown and remains unknown */
    :: d_step { phase == WAITING && !replied[T(_pid, target)] && !refused[T(_pid, target)] ->
#ifdef NOT_RUN_WITHOUT_PROOF
           notRunSent[_pid] = 1;
           phase = GIVINGUP
#else
#ifdef RETRY_WITHOUT_PROOF
           phase = (target == 0 -> GRANTED : DONE);
           target = 1
#else
           phase = DONE
#endif
#endif
       }
    /* RecordReplied */
    :: d_step { phase == GIVINGUP && recordDone[_pid] -> toldNotRun[_pid] = 1; phase = DONE }
    :: d_step { phase == RECORDING && recordDone[_pid] -> phase = DONE }
    od
}

/* The replicated state machine: KindClaim and KindRecord. */
inline applyClaim(a) {
    if
    :: spent[a] -> verdictOther[a] = 1
#ifndef NO_FLOOR
    :: !spent[a] && forgotten -> verdictOther[a] = 1
#endif
    :: !spent[a] && state == FREE && late -> verdictOther[a] = 1
    :: !spent[a] && state == HELD && holder == a + 1 -> verdictGranted[a] = 1
#ifdef RECLAIM_HELD
    :: !spent[a] && state == HELD && holder != a + 1 -> holder = a + 1; verdictGranted[a] = 1
#else
    :: !spent[a] && state == HELD && holder != a + 1 -> verdictOther[a] = 1
#endif
    :: !spent[a] && state == RAN -> verdictOther[a] = 1
#ifdef NO_FLOOR
    :: !spent[a] && (state == FREE || state == NOTRUN) && !late ->
#else
    :: !spent[a] && !forgotten && (state == FREE || state == NOTRUN) && !late ->
#endif
        state = HELD;
        holder = a + 1;
        verdictGranted[a] = 1
    :: !spent[a] && state == NOTRUN && late -> verdictOther[a] = 1
    fi
}

inline applyNotRun(a) {
    if
#ifdef NO_HOLDER_CHECK
    :: state == HELD -> state = NOTRUN
#else
    :: state == HELD && holder == a + 1 -> state = NOTRUN
#endif
    :: else
    fi;
#ifndef NO_SPENT_CLAIMS
    if
    :: !forgotten && state != RAN -> spent[a] = 1
    :: else
    fi;
#endif
    recordDone[a] = 1
}

inline applyRan(a) {
    if
#ifdef NO_HOLDER_CHECK
    :: state == HELD -> state = RAN
#else
    :: state == HELD && holder == a + 1 -> state = RAN
#endif
    :: else
    fi;
    recordDone[a] = 1
}

#define CLAIM(a)  :: d_step { claimSent[a] -> applyClaim(a); skip }
#define RECORD(a) :: d_step { notRunSent[a] -> applyNotRun(a); skip } :: d_step { ranSent[a] -> applyRan(a); skip }

active proctype ledger() {
    do
    CLAIM(0) CLAIM(1)
    RECORD(0) RECORD(1)
#if ATTEMPTS > 2
    CLAIM(2) RECORD(2)
#endif
    /* The leader's clock changes, or another leader has a different clock. */
    :: d_step { !late -> late = 1 }
    :: d_step { late -> late = 0 }
    /* forget: a command arrives after the key's retention time */
    :: d_step { late && state != FREE ->
           state = FREE;
           holder = 0;
           forgotten = 1;
#ifndef NO_FLOOR
           /* Claims below the floor are refused, so that spent claims need not
            * be kept. */
           spent[0] = 0; spent[1] = 0;
#if ATTEMPTS > 2
           spent[2] = 0;
#endif
#endif
           skip }
    od
}

#define TARGET(a, t) \
    :: d_step { dispatched[T(a, t)] && !executed[T(a, t)] && !refused[T(a, t)] -> executed[T(a, t)] = 1; runs++; assert(ONCE); assert(!toldNotRun[a]) } \
    :: d_step { dispatched[T(a, t)] && !executed[T(a, t)] && !refused[T(a, t)] -> refused[T(a, t)] = 1 } \
    :: d_step { executed[T(a, t)] && !replied[T(a, t)] -> replied[T(a, t)] = 1 }

/* A target runs each dispatch at most once, after any delay. */
active proctype targets() {
    do
    TARGET(0, 0) TARGET(0, 1)
    TARGET(1, 0) TARGET(1, 1)
#if ATTEMPTS > 2
    TARGET(2, 0) TARGET(2, 1)
#endif
    od
}

#define CHECK(a) \
    :: d_step { toldNotRun[a] && !NEVER_RAN(a) -> assert(false) } \
    :: d_step { toldNotRun[a] && state == HELD && holder == a + 1 -> assert(false) } \
    :: d_step { toldRan[a] && runs != 1 -> assert(false) }

/* A reply "not run" remains true and its claim doesn't keep holding the key; a
 * reply "ran" is true. */
active proctype promises() {
    do
    CHECK(0) CHECK(1)
#if ATTEMPTS > 2
    CHECK(2)
#endif
    od
}

/*
 * Tickets and the configuration in force: operators race with equal numbers
 * and resend after lost replies; entry nodes take deltas that come late, twice
 * or out of order, and restart.
 *
 * The control group is one atomic object here: replication.pml is about why a
 * quorum makes it so. Steps are named as the commands of
 * internal/control/machine and as clusterconfig.ApplyDelta.
 *
 * Three tickets for one object are known: number 1 with two contents, by
 * operators that race, and number 2. Each may reach the group any number of
 * times, at any time.
 *
 * Each macro removes one safety rule:
 *   NO_NUMBER_IDENTITY  another content under a used number is not refused
 *   NO_FIRST_REPLY      a resent ticket is applied again
 *   NO_STALE_CHECK      an object forgets the number that last set it
 *   NO_VERSION_CHECK    an entry node takes a delta to a lower version
 *   NO_CONFIRMED_FETCH  a restarted node is ready with what any replica holds
 */

#define TICKETS 3
#define VERSIONS 6
#define NODES 2

#define NUMBER(t) ((t) == 2 -> 2 : 1)

/* The state machine. */
byte version;
byte number[VERSIONS + 1]; /* of the ticket that made each version */
byte content[VERSIONS + 1];
byte usedBy[3];            /* the ticket accepted under each number, plus 1 */
byte firstVersion[3];
byte setBy;                /* the number that last set the object */

/* Replies that operators got: the version accepted, plus 1. */
byte told[TICKETS];

/* The group's other replicas lag behind; what they have applied never falls. */
byte lagging;

/* Entry nodes. */
bit  ready[NODES];
byte held[NODES];
byte served; /* the highest version that any node has served */

inline reply(t, v) {
    /* A resend gets the first reply again. */
    assert(told[t] == 0 || told[t] == v + 1);
    told[t] = v + 1
}

inline accept(t) {
    /* The object never goes back to an older ticket. */
    assert(NUMBER(t) >= setBy);
    version++;
    number[version] = NUMBER(t);
    content[version] = t;
    usedBy[NUMBER(t)] = t + 1;
    firstVersion[NUMBER(t)] = version;
    setBy = NUMBER(t);
    reply(t, version)
}

#ifdef NO_STALE_CHECK
#define FRESH(t) true
#else
#define FRESH(t) (NUMBER(t) >= setBy)
#endif
#ifdef NO_FIRST_REPLY
#define NEW(t) (usedBy[NUMBER(t)] == 0 || usedBy[NUMBER(t)] == t + 1)
#define KNOWN(t) false
#else
#ifdef NO_NUMBER_IDENTITY
#define NEW(t) (usedBy[NUMBER(t)] != t + 1)
#else
#define NEW(t) (usedBy[NUMBER(t)] == 0)
#endif
#define KNOWN(t) (usedBy[NUMBER(t)] == t + 1)
#endif

#define TICKET(t) \
    :: d_step { NEW(t) && FRESH(t) && version < VERSIONS -> accept(t); skip } \
    :: d_step { KNOWN(t) -> reply(t, firstVersion[NUMBER(t)]); skip }

active proctype control() {
    do
    TICKET(0)
    TICKET(1)
    TICKET(2)
    :: d_step { lagging < version -> lagging++ }
    od
}

/* Winners: two accepted contents under one number. */
active proctype winners() {
    do
    :: d_step { told[0] > 0 && told[1] > 0 -> assert(false) }
    od
}

inline serve(n) {
    assert(held[n] <= version);
    served = (held[n] > served -> held[n] : served)
}

#ifdef NO_VERSION_CHECK
#define TAKES(n, v) (held[n] != v)
#else
#define TAKES(n, v) (held[n] < v)
#endif

/* A delta to version v, from whichever replica sent it, however late. */
#define DELTA(v) \
    :: d_step { ready[_pid - 2] && v <= version && TAKES(_pid - 2, v) -> \
           assert(v > held[_pid - 2]); \
           held[_pid - 2] = v; \
           serve(_pid - 2); skip }

active [NODES] proctype node() {
    do
    DELTA(0) DELTA(1) DELTA(2) DELTA(3)
#if VERSIONS > 3
    DELTA(4) DELTA(5) DELTA(6)
#endif
    /* Restart: nothing is held, nothing is served until ready. */
    :: d_step { ready[_pid - 2] -> ready[_pid - 2] = 0; held[_pid - 2] = 0 }
    /* Fetch, and ready. */
    :: d_step { !ready[_pid - 2] ->
#ifdef NO_CONFIRMED_FETCH
           held[_pid - 2] = lagging;
#else
           held[_pid - 2] = version;
#endif
           ready[_pid - 2] = 1;
           /* Never older than what the data centre has served. */
           assert(held[_pid - 2] >= served);
           serve(_pid - 2); skip }
    od
}

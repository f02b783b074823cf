/*
 * Tickets and the current configuration: operators concurrently use the same
 * ticket numbers and resend after lost replies; entry nodes receive deltas late,
 * twice or out of order, and restart.
 *
 * The control group is modelled as one atomic object; replication.pml checks
 * that a quorum makes it one. Steps have the names of the commands of
 * internal/control/machine and of clusterconfig.ApplyDelta.
 *
 * There are three tickets for one object: number 1 with two different contents,
 * from concurrent operators, and number 2. Each may reach the group any number
 * of times, at any time.
 *
 * Each macro removes one safety rule:
 *   NO_NUMBER_IDENTITY  a ticket with a used number and another content is
 *                       accepted
 *   NO_FIRST_REPLY      a resent ticket is applied again
 *   NO_STALE_CHECK      the number that last set an object is ignored
 *   NO_VERSION_CHECK    an entry node applies a delta to a lower version
 *   NO_CONFIRMED_FETCH  a restarted node becomes ready with the possibly stale
 *                       configuration of any replica
 */

#define TICKETS 3
#define VERSIONS 6
#define NODES 2

#define NUMBER(t) ((t) == 2 -> 2 : 1)

/* The state machine. */
byte version;
byte number[VERSIONS + 1]; /* number of the ticket that created each version */
byte content[VERSIONS + 1];
byte usedBy[3];            /* ticket accepted under each number, plus 1 */
byte firstVersion[3];
byte setBy;                /* ticket number that last set the object */

/* Replies received by operators: the accepted version plus 1. */
byte told[TICKETS];

/* Version applied by a lagging replica of the group. It never decreases. */
byte lagging;

/* Entry nodes. */
bit  ready[NODES];
byte held[NODES];
byte served; /* highest version served by any node */

inline reply(t, v) {
    /* A resent ticket gets the first reply again. */
    assert(told[t] == 0 || told[t] == v + 1);
    told[t] = v + 1
}

inline accept(t) {
    /* The object never reverts to an older ticket. */
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

/* Fails if both contents of ticket number 1 were accepted. */
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

/* Receive a delta to version v, from any replica and after any delay. */
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
    /* Restart: the node has no configuration and serves nothing until ready. */
    :: d_step { ready[_pid - 2] -> ready[_pid - 2] = 0; held[_pid - 2] = 0 }
    /* Fetch the configuration and become ready. */
    :: d_step { !ready[_pid - 2] ->
#ifdef NO_CONFIRMED_FETCH
           held[_pid - 2] = lagging;
#else
           held[_pid - 2] = version;
#endif
           ready[_pid - 2] = 1;
           /* Not older than any version that a node has served. */
           assert(held[_pid - 2] >= served);
           serve(_pid - 2); skip }
    od
}

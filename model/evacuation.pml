/*
 * Evacuation of a data centre: operators order it and withdraw the order; replicas
 * apply the log late, save snapshots, restart from them, load those of others and
 * are replaced by a newer build; an entry node gets the set of orders from any
 * replica, late or out of order, and restarts.
 *
 * The committed log is modelled as one atomic object; replication.pml checks that
 * a quorum makes it one. There is one data centre, and orders alternate, so that
 * the set after order v has version v and the data centre is evacuated if v is odd.
 * Steps have the names of the functions of internal/control/machine,
 * internal/control/driver and internal/entry/forwarder.
 *
 * At first a replica may be of the previous build, which applies an order without
 * effect and saves snapshots without a set. Left out is one that was dead when the
 * order was given and returns with the previous build; docs/design/EVACUATION.md
 * says what holds then.
 *
 * Each macro removes one safety rule:
 *   NO_COMMIT_BEFORE_ACK  an order is acknowledged before it is committed
 *   NO_LEVEL_CHECK        an order is accepted while a replica of the previous
 *                         build is known
 *   NO_SET_IN_SNAPSHOT    snapshots hold no set
 *   NO_VERSION_CHECK      an entry node follows an older set
 *   NO_SET_AT_START       a node that starts serves with the routing table of a
 *                         replica before it has the set of that replica
 *   NO_CONFIRM_AFTER      a poll confirms a set before it is in force
 */

#define REPLICAS 2
#define ORDERS 3
#define EVACUATED(v) ((v) % 2)

byte committed;    /* orders in the committed log */
byte acknowledged; /* highest acknowledged order */

/* Replicas: orders of the log applied, version of the set held, build, and the
   last snapshot, before which the log is gone. */
byte applied[REPLICAS];
byte held[REPLICAS];
bit  previous[REPLICAS];
byte savedApplied[REPLICAS];
byte savedHeld[REPLICAS];

/* The entry node. */
bit  serves;    /* it has a routing table in force */
byte received;  /* version in the last reply */
byte follows;   /* version of the set in force */
byte confirmed; /* version that its polls have confirmed */
byte highest;   /* highest version in force in this run */

#ifdef NO_LEVEL_CHECK
#define MAY_ORDER true
#else
#define MAY_ORDER (!previous[0] && !previous[1])
#endif
#ifdef NO_SET_IN_SNAPSHOT
#define HELD(r) 0
#else
#define HELD(r) held[r]
#endif

/* An order is never lost: a replica of the present build that has applied the
   whole log holds the set that the last order made. */
#define CHECK(r) assert(previous[r] || applied[r] < committed || held[r] == committed)

inline load(r, from) {
    applied[r] = savedApplied[from];
    held[r] = savedHeld[from]
}

#define REPLICA(r) \
    :: d_step { applied[r] < committed -> \
           applied[r]++; \
           held[r] = (previous[r] -> held[r] : held[r] + 1); \
           CHECK(r) } \
    :: d_step { savedApplied[r] != applied[r] -> \
           savedApplied[r] = applied[r]; savedHeld[r] = HELD(r) } \
    :: d_step { applied[r] != savedApplied[r] -> load(r, r); CHECK(r) } /* restart */ \
    :: d_step { savedApplied[1 - r] > applied[r] -> load(r, 1 - r); CHECK(r) } \
    :: d_step { previous[r] -> previous[r] = 0; load(r, r); CHECK(r) }

active proctype group() {
    if
    :: previous[1] = 1
    :: skip
    fi;
    do
    :: d_step { MAY_ORDER && committed < ORDERS && acknowledged <= committed ->
           acknowledged = committed + 1;
#ifndef NO_COMMIT_BEFORE_ACK
           committed++
#endif
       }
#ifdef NO_COMMIT_BEFORE_ACK
    :: d_step { acknowledged > committed -> committed++ }
    /* All processes are killed before the commit. */
    :: d_step { acknowledged > committed -> assert(false) }
#endif
    REPLICA(0)
    REPLICA(1)
    od
}

inline putInForce(v) {
    follows = v;
    assert(follows >= highest);
    highest = follows
}

#ifdef NO_VERSION_CHECK
#define NEWER(v) ((v) != follows)
#else
#define NEWER(v) ((v) > follows)
#endif

/* A reply with an older or the present set of a replica, after any delay. */
#define REPLY(v) \
    :: d_step { v <= held[0] || v <= held[1] -> received = v }

active proctype node() {
    do
    REPLY(0) REPLY(1) REPLY(2) REPLY(3)
    :: d_step { NEWER(received) -> putInForce(received) }
    :: d_step {
#ifdef NO_CONFIRM_AFTER
           confirmed < received -> confirmed = received;
#else
           confirmed < follows -> confirmed = follows;
#endif
           /* What wigeonctl lists as in force is in force. */
           assert(confirmed <= highest) }
    /* The first routing table, with a reply of replica 0. */
    :: d_step { !serves ->
#ifndef NO_SET_AT_START
           if
           :: held[0] > follows -> putInForce(held[0])
           :: else
           fi;
#endif
           serves = 1;
           assert(follows >= held[0]) }
    /* Nothing is sent after an order is in force. */
    :: d_step { serves && !EVACUATED(follows) -> assert(!EVACUATED(highest)) }
    :: d_step { serves -> serves = 0; received = 0; follows = 0; confirmed = 0; highest = 0 }
    od
}

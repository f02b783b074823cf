/*
 * Replication of the control group's log: leader election with terms, the log,
 * the commit index, crashes that lose unsynced data, and reads confirmed by a
 * quorum (Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", 2014).
 *
 * A message stays available for ever after it was sent, and a step may receive
 * any of them at any later time. This covers loss, delay, reordering and
 * duplication. Steps have the names of the events of internal/control/replica.
 *
 * A log entry is modelled as its term, since index and term together identify
 * an entry.
 *
 * Bounds: TERMS, ENTRIES, CRASHES. READS adds reads. Each macro below removes
 * one safety rule:
 *   NO_SYNC_BEFORE_ACK      append replies are sent before the disk sync
 *   NO_SYNC_BEFORE_VOTE     votes are sent before the disk sync
 *   NO_ELECTION_RESTRICTION replicas vote for candidates with a less up-to-date
 *                           log
 *   NO_OWN_TERM_COMMIT      entries of earlier terms are committed by counting
 *                           replicas
 *   NO_LOG_MATCHING         entries are appended without checking the preceding
 *                           entry
 *   NO_QUORUM_READ          a leader answers reads without a quorum's
 *                           confirmation that it still leads
 *   NO_OWN_TERM_READ        a new leader answers reads before it has committed
 *                           an entry of its term
 */

#ifndef TERMS
#define TERMS 4
#endif
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#define REPLICAS 3
#define QUORUM 2

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

#define TI(n, t) ((n) * (TERMS + 1) + (t))
#define LI(n, i) ((n) * (ENTRIES + 1) + (i))
#define LASTTERM(n) log[LI(n, last[n])]

/* State in memory of each replica. Votes are stored as the replica's number
 * plus 1. */
byte role[REPLICAS];
byte term[REPLICAS];
byte vote[REPLICAS];
byte last[REPLICAS];
byte log[REPLICAS * (ENTRIES + 1)]; /* index 0 is term 0 */
byte commit[REPLICAS];

/* Synced state on the disk of each replica. */
byte dterm[REPLICAS];
byte dvote[REPLICAS];
byte dlast[REPLICAS];
byte dlog[REPLICAS * (ENTRIES + 1)];

/* Sent messages, by sender and term. */
bit  asked[REPLICAS * (TERMS + 1)];     /* VoteRequest, with ... */
byte askedLast[REPLICAS * (TERMS + 1)]; /* ... LastIndex and ... */
byte askedTerm[REPLICAS * (TERMS + 1)]; /* ... LastTerm */
byte granted[REPLICAS * (TERMS + 1)];   /* VoteReply: the candidate plus 1 */
byte sent[TERMS + 1];                   /* AppendRequest: last index of the term's leader */
byte sentLog[(TERMS + 1) * (ENTRIES + 1)];
byte sentCommit[TERMS + 1];
byte acked[REPLICAS * (TERMS + 1)];     /* AppendReply: highest Match */

/* History of committed entries, which every later state must agree with. */
byte decided[ENTRIES + 1];
byte decidedIn[ENTRIES + 1]; /* term of the leader that committed it first */
byte decidedLast;
byte leaderOf[TERMS + 1]; /* replica number plus 1 */
byte crashes;

#ifdef READS
byte readTerm;            /* term of the reading leader, 0 without a read */
byte readIndex;
byte readFloor;           /* last committed index when the read was requested */
bit  readRound[REPLICAS]; /* replicas that have confirmed the leader since */
#define READING(n) (readTerm > 0 && role[n] == LEADER && term[n] == readTerm)
#endif

/* Scratch variables. They are hidden, so that they add no states. */
hidden byte i, k, ok;

/* After the last crash the disks are never read again and need no update. */
inline copyToDisk(n) {
    if
    :: crashes == CRASHES -> skip
    :: else -> write(n)
    fi
}

inline write(n) {
    dterm[n] = term[n];
    dvote[n] = vote[n];
    dlast[n] = last[n];
    i = 0;
    do
    :: i <= ENTRIES -> dlog[LI(n, i)] = log[LI(n, i)]; i++
    :: else -> break
    od
}

inline enterTerm(n, t) {
    if
    :: t > term[n] ->
        term[n] = t;
        vote[n] = 0;
        role[n] = FOLLOWER
    :: else
    fi
}

/* Publishes the leader's log in the AppendRequest messages of its term. */
inline announce(n) {
    sent[term[n]] = last[n];
    i = 0;
    do
    :: i <= ENTRIES -> sentLog[LI(term[n], i)] = log[LI(n, i)]; i++
    :: else -> break
    od
}

/* The candidate's own vote and its requests wait for the disk sync. Nothing is
 * visible to other replicas before that, so that this is one step. */
inline campaign(n) {
    term[n]++;
    vote[n] = n + 1;
    role[n] = CANDIDATE;
#ifndef NO_SYNC_BEFORE_VOTE
    copyToDisk(n);
#endif
    asked[TI(n, term[n])] = 1;
    askedLast[TI(n, term[n])] = last[n];
    askedTerm[TI(n, term[n])] = LASTTERM(n);
    granted[TI(n, term[n])] = n + 1
}

inline answerVote(n, c, t) {
    enterTerm(n, t);
    ok = (vote[n] == 0 || vote[n] == c + 1);
#ifndef NO_ELECTION_RESTRICTION
    ok = ok && (askedTerm[TI(c, t)] > LASTTERM(n) || (askedTerm[TI(c, t)] == LASTTERM(n) && askedLast[TI(c, t)] >= last[n]));
#endif
    if
    :: ok ->
        vote[n] = c + 1;
#ifndef NO_SYNC_BEFORE_VOTE
        copyToDisk(n);
#endif
        granted[TI(n, t)] = c + 1
    :: else
    fi
}

inline becomeLeader(n) {
    /* Election safety: at most one leader per term. */
    assert(leaderOf[term[n]] == 0);
    leaderOf[term[n]] = n + 1;
    role[n] = LEADER;
    /* Leader completeness: it has every entry committed in an earlier term. */
    i = 1;
    do
    :: i <= decidedLast ->
        assert(decidedIn[i] >= term[n] || (last[n] >= i && log[LI(n, i)] == decided[i]));
        i++
    :: else -> break
    od;
    if
    :: last[n] < ENTRIES -> last[n]++; log[LI(n, last[n])] = term[n]
    :: else
    fi;
    announce(n)
}

/* Handles the AppendRequest with the entry at index x of term t's leader and
 * that leader's commit index. */
inline answerAppend(n, t, x) {
    enterTerm(n, t);
    if
    :: role[n] == CANDIDATE -> role[n] = FOLLOWER
    :: else
    fi;
#ifndef NO_LOG_MATCHING
    ok = (last[n] >= x - 1 && log[LI(n, x - 1)] == sentLog[LI(t, x - 1)]);
#else
    ok = (last[n] >= x - 1);
#endif
    if
    :: ok ->
        if
        :: last[n] < x || log[LI(n, x)] != sentLog[LI(t, x)] ->
            /* Committed entries are never replaced. */
            assert(x > commit[n]);
            log[LI(n, x)] = sentLog[LI(t, x)];
            last[n] = x;
            i = x + 1;
            do
            :: i <= ENTRIES -> log[LI(n, i)] = 0; i++
            :: else -> break
            od
        :: else
        fi;
#ifndef NO_SYNC_BEFORE_ACK
        copyToDisk(n);
#endif
        if
        :: acked[TI(n, t)] < x -> acked[TI(n, t)] = x
        :: else
        fi;
        k = (sentCommit[t] < x -> sentCommit[t] : x);
        if
        :: k > commit[n] -> commit[n] = k
        :: else
        fi
    :: else
    fi
}

#ifdef READS
inline endRead() {
    readTerm = 0;
    readIndex = 0;
    readFloor = 0;
    readRound[0] = 0;
    readRound[1] = 0;
    readRound[2] = 0
}
#endif

inline advanceCommit(n, x) {
    commit[n] = x;
    sentCommit[term[n]] = x;
    i = 1;
    do
    :: i <= x ->
        assert(i > decidedLast || decided[i] == log[LI(n, i)]);
        decided[i] = log[LI(n, i)];
        decidedIn[i] = (i > decidedLast -> term[n] : decidedIn[i]);
        i++
    :: else -> break
    od;
    if
    :: x > decidedLast -> decidedLast = x
    :: else
    fi
}

/* The process crashes or the VM loses power: only synced state remains. */
inline restart(n) {
    crashes++;
    term[n] = dterm[n];
    vote[n] = dvote[n];
    last[n] = dlast[n];
    i = 0;
    do
    :: i <= ENTRIES -> log[LI(n, i)] = dlog[LI(n, i)]; i++
    :: else -> break
    od;
    role[n] = FOLLOWER;
    commit[n] = 0;
    if
    :: crashes == CRASHES -> clearDisks()
    :: else
    fi
}

inline clearDisks() {
    i = 0;
    do
    :: i < REPLICAS ->
        dterm[i] = 0;
        dvote[i] = 0;
        dlast[i] = 0;
        i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < REPLICAS * (ENTRIES + 1) -> dlog[i] = 0; i++
    :: else -> break
    od
}

/*
 * Clears messages without further effect: those of terms that every replica has
 * left and can't return to, acknowledgements to a former leader, and votes for a
 * former candidate. This reduces the number of states without a change of
 * behaviour.
 */
#define LEFT(n, t) (term[n] > (t) && (crashes == CRASHES || dterm[n] > (t)))
#define LEADS(n, t) (leaderOf[t] == n + 1 && role[n] == LEADER && term[n] == (t))
#define STANDS(n, t) (role[n] == CANDIDATE && term[n] == (t))
#define REACHED(n, t) (crashes == CRASHES || dterm[n] >= (t))

inline tidy() {
    k = 1;
    do
    :: k <= TERMS ->
        i = 0;
        do
        :: i < REPLICAS ->
            if
            :: !LEADS(0, k) && !LEADS(1, k) && !LEADS(2, k) -> acked[TI(i, k)] = 0
            :: else
            fi;
            if
            :: LEFT(0, k) && LEFT(1, k) && LEFT(2, k) ->
                asked[TI(i, k)] = 0;
                askedLast[TI(i, k)] = 0;
                askedTerm[TI(i, k)] = 0;
                granted[TI(i, k)] = 0
            :: else
            fi;
            if
            :: granted[TI(i, k)] > 0 && !STANDS(granted[TI(i, k)] - 1, k) && REACHED(granted[TI(i, k)] - 1, k) -> granted[TI(i, k)] = 0
            :: else
            fi;
            i++
        :: else -> break
        od;
        if
        :: LEFT(0, k) && LEFT(1, k) && LEFT(2, k) ->
            sent[k] = 0;
            sentCommit[k] = 0;
            leaderOf[k] = 0;
            i = 0;
            do
            :: i <= ENTRIES -> sentLog[LI(k, i)] = 0; i++
            :: else -> break
            od
        :: else
        fi;
        k++
    :: else -> break
    od
}

#define GRANTED(n, v) (granted[TI(v, term[n])] == n + 1)
#define ELECTED(n) (GRANTED(n, 0) + GRANTED(n, 1) + GRANTED(n, 2) >= QUORUM)
#define SYNCED(n, x) (crashes == CRASHES || (dlast[n] >= x && dlog[LI(n, x)] == log[LI(n, x)]))
#define HOLDS(n, v, x) ((v == n && SYNCED(n, x)) || (v != n && acked[TI(v, term[n])] >= x))
#define REPLICATED(n, x) (HOLDS(n, 0, x) + HOLDS(n, 1, x) + HOLDS(n, 2, x) >= QUORUM)
#ifdef NO_OWN_TERM_COMMIT
#define COMMITTABLE(n, x) (x <= last[n] && x > commit[n])
#else
#define COMMITTABLE(n, x) (x <= last[n] && x > commit[n] && log[LI(n, x)] == term[n])
#endif
#if ENTRIES == 2
#define SAMELOG(n) (dlog[LI(n, 1)] == log[LI(n, 1)] && dlog[LI(n, 2)] == log[LI(n, 2)])
#else
#define SAMELOG(n) (dlog[LI(n, 1)] == log[LI(n, 1)] && dlog[LI(n, 2)] == log[LI(n, 2)] && dlog[LI(n, 3)] == log[LI(n, 3)])
#endif
#define UNSYNCED(n) (crashes < CRASHES && (dterm[n] != term[n] || dvote[n] != vote[n] || dlast[n] != last[n] || !SAMELOG(n)))

#define VOTE_REQUEST(c, t) :: d_step { t <= TERMS && c != n && asked[TI(c, t)] && t >= term[n] && granted[TI(n, t)] == 0 -> answerVote(n, c, t); tidy(); skip }
#define VOTE_REQUESTS(c) VOTE_REQUEST(c, 1) VOTE_REQUEST(c, 2) VOTE_REQUEST(c, 3) VOTE_REQUEST(c, 4)
#define APPEND_REQUEST(t, x) :: d_step { t >= term[n] && sent[t] >= x && leaderOf[t] != n + 1 -> answerAppend(n, t, x); tidy(); skip }
#define APPEND_REPLY(x) :: d_step { role[n] == LEADER && COMMITTABLE(n, x) && REPLICATED(n, x) -> advanceCommit(n, x); tidy(); skip }
#if ENTRIES == 2
#define APPEND_REQUESTS(t) APPEND_REQUEST(t, 1) APPEND_REQUEST(t, 2)
#else
#define APPEND_REQUESTS(t) APPEND_REQUEST(t, 1) APPEND_REQUEST(t, 2) APPEND_REQUEST(t, 3)
#endif

#define n _pid

active [REPLICAS] proctype replica() {
    do
    /* Tick. The replicas are symmetric, so it suffices that replica 0 is the
     * first candidate. */
    :: d_step { role[n] != LEADER && term[n] < TERMS && (n == 0 || asked[TI(0, 1)]) -> campaign(n); tidy(); skip }
    /* Receive VoteRequest */
    VOTE_REQUESTS(0)
    VOTE_REQUESTS(1)
    VOTE_REQUESTS(2)
    /* Receive VoteReply */
    :: d_step { role[n] == CANDIDATE && ELECTED(n) -> becomeLeader(n); tidy(); skip }
    /* Propose */
    :: d_step { role[n] == LEADER && last[n] < ENTRIES -> last[n]++; log[LI(n, last[n])] = term[n]; announce(n); tidy(); skip }
    /* Receive AppendRequest */
    APPEND_REQUESTS(1)
#if TERMS > 1
    APPEND_REQUESTS(2)
#endif
#if TERMS > 2
    APPEND_REQUESTS(3)
#endif
#if TERMS > 3
    APPEND_REQUESTS(4)
#endif
    /* Receive AppendReply */
    APPEND_REPLY(1)
    APPEND_REPLY(2)
#if ENTRIES > 2
    APPEND_REPLY(3)
#endif
    /* Persisted */
    :: d_step { UNSYNCED(n) -> copyToDisk(n); tidy(); skip }
    /* New: restart after a crash */
    :: d_step { crashes < CRASHES && (UNSYNCED(n) || role[n] != FOLLOWER || commit[n] > 0) -> restart(n); tidy(); skip }
#ifdef READS
    /* Read */
#ifdef NO_OWN_TERM_READ
    :: d_step { role[n] == LEADER && readTerm == 0 ->
#else
    :: d_step { role[n] == LEADER && readTerm == 0 && commit[n] > 0 && log[LI(n, commit[n])] == term[n] ->
#endif
           readTerm = term[n];
           readIndex = commit[n];
           readFloor = decidedLast; tidy(); skip }
    /* Receive AppendRequest of the read's round, and send its reply */
    :: d_step { readTerm > 0 && term[n] <= readTerm && !readRound[n] && !READING(n) ->
           enterTerm(n, readTerm);
           if
           :: role[n] == CANDIDATE -> role[n] = FOLLOWER
           :: else
           fi;
           copyToDisk(n);
           readRound[n] = 1; tidy(); skip }
    /* ReadReady */
#ifdef NO_QUORUM_READ
    :: d_step { READING(n) ->
#else
    :: d_step { READING(n) && readRound[0] + readRound[1] + readRound[2] + 1 >= QUORUM ->
#endif
           /* The read sees every entry committed before it was requested. */
           assert(readIndex >= readFloor);
           endRead(); tidy(); skip }
    /* ReadFailed */
    :: d_step { readTerm > 0 && !READING(0) && !READING(1) && !READING(2) -> endRead(); tidy(); skip }
#endif
    od
}

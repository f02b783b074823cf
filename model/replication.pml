/*
 * Replication of the control group's log: elections with terms, the log, the
 * commit index, crashes that lose what was not synced, and reads that a quorum
 * confirms (Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", 2014).
 *
 * A message that was sent stays available for ever, so that loss, delay,
 * reordering and repetition are all covered: a step may take any message that
 * was ever sent, at any later time. Steps are named as the events of
 * internal/control/replica.
 *
 * A log entry is its term: index and term together identify it.
 *
 * Bounds: TERMS, ENTRIES, CRASHES. READS adds the reads. Each macro below
 * removes one safety rule:
 *   NO_SYNC_BEFORE_ACK      append replies go out before the disk has synced
 *   NO_SYNC_BEFORE_VOTE     votes go out before the disk has synced
 *   NO_ELECTION_RESTRICTION votes for candidates with an older log
 *   NO_OWN_TERM_COMMIT      entries of earlier terms are committed by counting
 *   NO_LOG_MATCHING         entries are taken without checking the one before
 *   NO_QUORUM_READ          a leader answers reads on its own belief
 *   NO_OWN_TERM_READ        a new leader answers reads before the first commit
 *                           of its term
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

/* What each replica holds in memory; votes are the replica's number plus 1. */
byte role[REPLICAS];
byte term[REPLICAS];
byte vote[REPLICAS];
byte last[REPLICAS];
byte log[REPLICAS * (ENTRIES + 1)]; /* index 0 is term 0 */
byte commit[REPLICAS];

/* What each replica's disk holds once synced. */
byte dterm[REPLICAS];
byte dvote[REPLICAS];
byte dlast[REPLICAS];
byte dlog[REPLICAS * (ENTRIES + 1)];

/* Messages sent, by sender and term. */
bit  asked[REPLICAS * (TERMS + 1)];     /* VoteRequest, with ... */
byte askedLast[REPLICAS * (TERMS + 1)]; /* ... LastIndex and ... */
byte askedTerm[REPLICAS * (TERMS + 1)]; /* ... LastTerm */
byte granted[REPLICAS * (TERMS + 1)];   /* VoteReply: for whom, plus 1 */
byte sent[TERMS + 1];                   /* AppendRequest: entries of the term's leader */
byte sentLog[(TERMS + 1) * (ENTRIES + 1)];
byte sentCommit[TERMS + 1];
byte acked[REPLICAS * (TERMS + 1)];     /* AppendReply: highest Match */

/* The history: what was ever committed, which nothing may contradict. */
byte decided[ENTRIES + 1];
byte decidedIn[ENTRIES + 1]; /* the term whose leader committed it first */
byte decidedLast;
byte leaderOf[TERMS + 1]; /* plus 1 */
byte crashes;

#ifdef READS
byte readTerm;            /* the term of the leader that reads, 0 for none */
byte readIndex;
byte readFloor;           /* what was committed when the read was asked for */
bit  readRound[REPLICAS]; /* who confirmed the leader since */
#define READING(n) (readTerm > 0 && role[n] == LEADER && term[n] == readTerm)
#endif

/* Scratch, zero between steps so that it adds no states. */
hidden byte i, k, ok;

/* After the last crash disks are read no more, so that they are left alone. */
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

/* The entries of its term that a leader offers to the others. */
inline announce(n) {
    sent[term[n]] = last[n];
    i = 0;
    do
    :: i <= ENTRIES -> sentLog[LI(term[n], i)] = log[LI(n, i)]; i++
    :: else -> break
    od
}

/* The own vote and the requests wait for the disk. Nobody has seen anything
 * before that, so that both are one step here. */
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
    /* One leader a term. */
    assert(leaderOf[term[n]] == 0);
    leaderOf[term[n]] = n + 1;
    role[n] = LEADER;
    /* It holds every entry that was committed in an earlier term. */
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

/* The entry at index x of term t's leader, with the commit index then known. */
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
            /* What is committed is never replaced. */
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

/* The process dies or the VM loses power: only the disk is left. */
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
 * Clears messages that can't change anything any more: those of terms that
 * every replica has left for good, acknowledgements to a leader that is gone,
 * and votes for a candidate that is gone. Fewer states, the same behaviour.
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
    /* Tick. The replicas are alike: the first to stand is number 0. */
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
    /* New, after a crash */
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
    /* Receive AppendRequest of the read's round; its reply */
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
           /* Everything committed before the read was asked for is seen. */
           assert(readIndex >= readFloor);
           endRead(); tidy(); skip }
    /* ReadFailed */
    :: d_step { readTerm > 0 && !READING(0) && !READING(1) && !READING(2) -> endRead(); tidy(); skip }
#endif
    od
}

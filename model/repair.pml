/*
 * Membership change and repair: a replica loses its disk or is replaced while
 * it runs, a new incarnation is added as a learner and promoted, and the old
 * identity is removed. Once "repaired" has been reported, a second disk may be
 * lost (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4).
 *
 * Identities 0, 1 and 2 are the initial voters; 3 is the new incarnation that
 * replaces 2. Disks are synced before every reply; replication.pml checks what
 * happens otherwise. A message stays available for ever after it was sent. Steps
 * have the names of the events of internal/control/replica.
 *
 * Bounds: TERMS and ENTRIES; replica 0 leads in term 1, in which the change
 * begins. Each macro removes one safety rule:
 *   NO_INCARNATION            a replica with an empty disk keeps its old
 *                             identity
 *   NO_PENDING_CHECK          a change starts before the previous one is
 *                             committed
 *   REPAIRED_BEFORE_CATCH_UP  "repaired" is reported when the learner is added
 *   REPAIRED_BEFORE_COMMIT    "repaired" is reported when the learner has caught
 *                             up, before the membership is committed
 *
 * AUTO models the changes of internal/control/repair instead of an operator's
 * replacement: a leader may consider any other voter lost, even a running one.
 * Once a learner has all committed entries, the leader removes that voter from a
 * group with all its voters, then promotes the learner. Each committed change
 * must be on two disks. One more rule can be removed:
 *   REMOVE_FROM_PART  a voter is removed from a group that already lacks one
 */

#ifndef TERMS
#define TERMS 2
#endif
#ifndef ENTRIES
#define ENTRIES 4
#endif
#define IDENTITIES 4
#define OLD 2
#define FRESH 3
#define FIRST_VOTERS 7 /* identities 0, 1 and 2, as bits */
#define LAST_VOTERS 11 /* identities 0, 1 and 3 */

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

#define TI(n, t) ((n) * (TERMS + 1) + (t))
#define LI(n, i) ((n) * (ENTRIES + 1) + (i))

/* An entry is modelled as its term in the low bits and, for a membership change,
 * the set of voters as bits above it. */
#define ENTRY(t, voters) ((t) + (voters) * 8)
#define TERM_OF(e) ((e) & 7)
#define VOTERS_OF(e) ((e) >> 3)
#define LASTTERM(n) TERM_OF(log[LI(n, last[n])])

byte role[IDENTITIES];
byte term[IDENTITIES] = 1;
byte vote[IDENTITIES] = 1; /* identity plus 1 */
byte last[IDENTITIES];
byte log[IDENTITIES * (ENTRIES + 1)];
byte commit[IDENTITIES];
byte voters[IDENTITIES] = FIRST_VOTERS; /* the newest membership in the log */
byte votersIndex[IDENTITIES];
bit  dead[IDENTITIES];
bit  started;

bit  asked[IDENTITIES * (TERMS + 1)];
byte askedLast[IDENTITIES * (TERMS + 1)];
byte askedTerm[IDENTITIES * (TERMS + 1)];
byte granted[IDENTITIES * (TERMS + 1)];
byte sent[TERMS + 1];
byte sentLog[(TERMS + 1) * (ENTRIES + 1)];
byte sentCommit[TERMS + 1];
byte acked[IDENTITIES * (TERMS + 1)];

bit learner;  /* identity 3 has been added */
bit repaired; /* "repaired" has been reported to the operator */
bit lost;     /* the first disk has been lost */

byte decided[ENTRIES + 1];
byte decidedIn[ENTRIES + 1];
byte decidedLast;
byte decidedVoters;
byte leaderOf[TERMS + 1];

hidden byte i, k, ok;

#define BIT(set, n) (((set) >> (n)) & 1)
#define SIZE(set) (BIT(set, 0) + BIT(set, 1) + BIT(set, 2) + BIT(set, 3))
#define MAJORITY(set, count) (2 * (count) > SIZE(set))

inline enterTerm(n, t) {
    if
    :: t > term[n] -> term[n] = t; vote[n] = 0; role[n] = FOLLOWER
    :: else
    fi
}

/* The newest membership in the log is in force, committed or not. */
inline followMembers(n) {
    voters[n] = FIRST_VOTERS;
    votersIndex[n] = 0;
    i = 1;
    do
    :: i <= last[n] ->
        if
        :: VOTERS_OF(log[LI(n, i)]) > 0 -> voters[n] = VOTERS_OF(log[LI(n, i)]); votersIndex[n] = i
        :: else
        fi;
        i++
    :: else -> break
    od
}

inline appendOwn(n, e) {
    last[n]++;
    log[LI(n, last[n])] = e;
    followMembers(n);
    sent[term[n]] = last[n];
    i = 0;
    do
    :: i <= ENTRIES -> sentLog[LI(term[n], i)] = log[LI(n, i)]; i++
    :: else -> break
    od
}

inline campaign(n) {
    term[n]++;
    vote[n] = n + 1;
    role[n] = CANDIDATE;
    asked[TI(n, term[n])] = 1;
    askedLast[TI(n, term[n])] = last[n];
    askedTerm[TI(n, term[n])] = LASTTERM(n);
    granted[TI(n, term[n])] = n + 1
}

inline answerVote(n, c, t) {
    enterTerm(n, t);
    ok = (vote[n] == 0 || vote[n] == c + 1);
    ok = ok && (askedTerm[TI(c, t)] > LASTTERM(n) || (askedTerm[TI(c, t)] == LASTTERM(n) && askedLast[TI(c, t)] >= last[n]));
    if
    :: ok -> vote[n] = c + 1; granted[TI(n, t)] = c + 1
    :: else
    fi
}

inline becomeLeader(n) {
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
    :: last[n] < ENTRIES -> appendOwn(n, ENTRY(term[n], 0))
    :: else
    fi
}

inline answerAppend(n, t, x) {
    enterTerm(n, t);
    if
    :: role[n] == CANDIDATE -> role[n] = FOLLOWER
    :: else
    fi;
    if
    :: last[n] >= x - 1 && log[LI(n, x - 1)] == sentLog[LI(t, x - 1)] ->
        if
        :: last[n] < x || log[LI(n, x)] != sentLog[LI(t, x)] ->
            assert(x > commit[n]);
            log[LI(n, x)] = sentLog[LI(t, x)];
            last[n] = x;
            i = x + 1;
            do
            :: i <= ENTRIES -> log[LI(n, i)] = 0; i++
            :: else -> break
            od;
            followMembers(n)
        :: else
        fi;
        acked[TI(n, t)] = (acked[TI(n, t)] < x -> x : acked[TI(n, t)]);
        k = (sentCommit[t] < x -> sentCommit[t] : x);
        commit[n] = (k > commit[n] -> k : commit[n])
    :: else
    fi
}

#define ON_DISK(n, v, x) (v == n || acked[TI(v, term[n])] >= x)

inline removeVoter(n, v) {
    appendOwn(n, ENTRY(term[n], voters[n] & ~(1 << v)))
}

inline advanceCommit(n, x) {
#ifdef AUTO
    assert(ON_DISK(n, 0, x) + ON_DISK(n, 1, x) + ON_DISK(n, 2, x) + ON_DISK(n, 3, x) >= 2);
#endif
    commit[n] = x;
    sentCommit[term[n]] = x;
    i = 1;
    do
    :: i <= x ->
        assert(i > decidedLast || decided[i] == log[LI(n, i)]);
        decidedIn[i] = (i > decidedLast -> term[n] : decidedIn[i]);
        decided[i] = log[LI(n, i)];
        if
        :: VOTERS_OF(decided[i]) > 0 && i > decidedLast -> decidedVoters = VOTERS_OF(decided[i])
        :: else
        fi;
        i++
    :: else -> break
    od;
    decidedLast = (x > decidedLast -> x : decidedLast)
}

/* Identity 2 loses its disk, and its VM restarts with an empty one. */
inline loseFirst() {
    lost = 1;
#ifdef NO_INCARNATION
    role[OLD] = FOLLOWER;
    term[OLD] = 0;
    vote[OLD] = 0;
    last[OLD] = 0;
    commit[OLD] = 0;
    voters[OLD] = FIRST_VOTERS;
    votersIndex[OLD] = 0;
    i = 0;
    do
    :: i <= ENTRIES -> log[LI(OLD, i)] = 0; i++
    :: else -> break
    od
#else
    dead[OLD] = 1;
    role[OLD] = FOLLOWER
#endif
}

/* Sets ok if n is a running voter that has all committed entries. */
inline holdsAll(n) {
    k = (!dead[n] && last[n] >= decidedLast);
    i = 1;
    do
    :: i <= decidedLast -> k = k && log[LI(n, i)] == decided[i]; i++
    :: else -> break
    od;
    ok = ok || (k && BIT(decidedVoters, n))
}

#define ALIVE(n) (BIT(decidedVoters, n) && !dead[n])

/* A second disk is lost after the repair. No committed entry may be lost, and
 * the remaining voters must still have a majority. */
inline loseSecond(n) {
    dead[n] = 1;
    role[n] = FOLLOWER;
    decidedVoters = (decidedVoters == 0 -> FIRST_VOTERS : decidedVoters);
    assert(MAJORITY(decidedVoters, ALIVE(0) + ALIVE(1) + ALIVE(2) + ALIVE(3)));
    ok = 0;
    holdsAll(0);
    holdsAll(1);
    holdsAll(2);
    holdsAll(3);
    assert(ok)
}

#define NO_SECOND (dead[0] + dead[1] + dead[3] == 0)
#define GRANTED(n, v) (BIT(voters[n], v) && granted[TI(v, term[n])] == n + 1)
#define ELECTED(n) MAJORITY(voters[n], GRANTED(n, 0) + GRANTED(n, 1) + GRANTED(n, 2) + GRANTED(n, 3))
#define HOLDS(n, v, x) (BIT(voters[n], v) && (v == n || acked[TI(v, term[n])] >= x))
#define REPLICATED(n, x) MAJORITY(voters[n], HOLDS(n, 0, x) + HOLDS(n, 1, x) + HOLDS(n, 2, x) + HOLDS(n, 3, x))
#define COMMITTABLE(n, x) (x <= last[n] && x > commit[n] && TERM_OF(log[LI(n, x)]) == term[n])
#ifdef NO_PENDING_CHECK
#define MAY_CHANGE(n) (role[n] == LEADER && last[n] < ENTRIES && commit[n] > 0 && TERM_OF(log[LI(n, commit[n])]) == term[n])
#else
#define MAY_CHANGE(n) (role[n] == LEADER && last[n] < ENTRIES && commit[n] > 0 && TERM_OF(log[LI(n, commit[n])]) == term[n] && votersIndex[n] <= commit[n])
#endif

#define READY(n) (learner && !BIT(voters[n], FRESH) && acked[TI(FRESH, term[n])] >= commit[n])
#ifdef REMOVE_FROM_PART
#define WHOLE(n) 1
#else
#define WHOLE(n) (SIZE(voters[n]) >= 3)
#endif

#define LEFT(n, t) (dead[n] || term[n] > (t))
#define LEADS(n, t) (leaderOf[t] == n + 1 && role[n] == LEADER && term[n] == (t) && !dead[n])
#define STANDS(n, t) (role[n] == CANDIDATE && term[n] == (t) && !dead[n])

/* Clears messages without further effect, to reduce the number of states. */
inline tidy() {
    k = 1;
    do
    :: k <= TERMS ->
        i = 0;
        do
        :: i < IDENTITIES ->
            if
            :: !LEADS(0, k) && !LEADS(1, k) && !LEADS(2, k) && !LEADS(3, k) -> acked[TI(i, k)] = 0
            :: else
            fi;
            if
            :: granted[TI(i, k)] > 0 && !STANDS(granted[TI(i, k)] - 1, k) -> granted[TI(i, k)] = 0
            :: else
            fi;
            if
            :: LEFT(0, k) && LEFT(1, k) && LEFT(2, k) && LEFT(3, k) ->
                asked[TI(i, k)] = 0;
                askedLast[TI(i, k)] = 0;
                askedTerm[TI(i, k)] = 0
            :: else
            fi;
            i++
        :: else -> break
        od;
        k++
    :: else -> break
    od
}

#define n _pid
#define STEP started && !dead[n] && (n != FRESH || learner)

#define VOTE_REQUEST(c, t) :: d_step { STEP && c != n && asked[TI(c, t)] && t >= term[n] && vote[n] != c + 1 -> answerVote(n, c, t); tidy(); skip }
#define VOTE_REQUESTS(t) VOTE_REQUEST(0, t) VOTE_REQUEST(1, t) VOTE_REQUEST(2, t) VOTE_REQUEST(3, t)
#define APPEND_REQUEST(t, x) :: d_step { STEP && t >= term[n] && sent[t] >= x && leaderOf[t] != n + 1 -> answerAppend(n, t, x); tidy(); skip }
#define APPEND_REQUESTS(t) APPEND_REQUEST(t, 1) APPEND_REQUEST(t, 2) APPEND_REQUEST(t, 3) APPEND_REQUEST(t, 4)
#define APPEND_REPLY(x) :: d_step { STEP && role[n] == LEADER && COMMITTABLE(n, x) && REPLICATED(n, x) -> advanceCommit(n, x); tidy(); skip }

active [IDENTITIES] proctype replica() {
    do
    /* The first leader */
    :: d_step { n == 0 && !started ->
           started = 1;
           role[n] = LEADER;
           leaderOf[1] = n + 1;
           appendOwn(n, ENTRY(1, 0)); skip }
    /* Tick: only a voter according to its own log becomes a candidate. */
    :: d_step { STEP && role[n] != LEADER && term[n] < TERMS && BIT(voters[n], n) -> campaign(n); tidy(); skip }
    /* Receive VoteRequest */
    VOTE_REQUESTS(1)
    VOTE_REQUESTS(2)
    /* Receive VoteReply */
    :: d_step { STEP && role[n] == CANDIDATE && ELECTED(n) -> becomeLeader(n); tidy(); skip }
    /* Receive AppendRequest */
    APPEND_REQUESTS(1)
    APPEND_REQUESTS(2)
    /* Receive AppendReply */
    APPEND_REPLY(1)
    APPEND_REPLY(2)
    APPEND_REPLY(3)
    APPEND_REPLY(4)
    /* ChangeMembers AddLearner */
    :: d_step { STEP && role[n] == LEADER && !learner -> learner = 1; skip }
#ifdef AUTO
    /* Remove a voter that is considered lost */
    :: d_step { STEP && n != 0 && MAY_CHANGE(n) && READY(n) && WHOLE(n) && BIT(voters[n], 0) -> removeVoter(n, 0); tidy(); skip }
    :: d_step { STEP && n != 1 && MAY_CHANGE(n) && READY(n) && WHOLE(n) && BIT(voters[n], 1) -> removeVoter(n, 1); tidy(); skip }
    :: d_step { STEP && n != OLD && MAY_CHANGE(n) && READY(n) && WHOLE(n) && BIT(voters[n], OLD) -> removeVoter(n, OLD); tidy(); skip }
    /* Promote the learner to replace a removed voter */
    :: d_step { STEP && MAY_CHANGE(n) && READY(n) && SIZE(voters[n]) < 3 ->
           appendOwn(n, ENTRY(term[n], voters[n] | 8)); tidy(); skip }
    /* The group has all its voters again. */
    :: d_step { STEP && role[n] == LEADER && !repaired && BIT(voters[n], FRESH) && votersIndex[n] <= commit[n] -> repaired = 1; skip }
    /* Loss of a disk, and of a second one once the first has been replaced */
    :: d_step { n == OLD && started && !lost && (NO_SECOND || (decidedVoters > 0 && !BIT(decidedVoters, OLD))) -> loseFirst(); tidy(); skip }
    :: d_step { n != OLD && repaired && NO_SECOND && !(lost && BIT(decidedVoters, OLD)) -> loseSecond(n); tidy(); skip }
#else
    /* ChangeMembers Promote */
    :: d_step { STEP && MAY_CHANGE(n) && learner && !BIT(voters[n], FRESH) && acked[TI(FRESH, term[n])] >= commit[n] ->
           appendOwn(n, ENTRY(term[n], voters[n] | 8)); tidy(); skip }
    /* ChangeMembers Remove */
    :: d_step { STEP && MAY_CHANGE(n) && BIT(voters[n], FRESH) && BIT(voters[n], OLD) && n != OLD ->
           appendOwn(n, ENTRY(term[n], LAST_VOTERS)); tidy(); skip }
    /* Replace reports "repaired" */
#ifdef REPAIRED_BEFORE_CATCH_UP
    :: d_step { STEP && role[n] == LEADER && lost && learner && !repaired -> repaired = 1; skip }
#else
#ifdef REPAIRED_BEFORE_COMMIT
    :: d_step { STEP && role[n] == LEADER && lost && learner && !repaired && votersIndex[n] > commit[n] && acked[TI(FRESH, term[n])] >= commit[n] -> repaired = 1; skip }
#else
    :: d_step { STEP && role[n] == LEADER && !repaired && voters[n] == LAST_VOTERS && votersIndex[n] <= commit[n] && acked[TI(FRESH, term[n])] >= commit[n] -> repaired = 1; skip }
#endif
#endif
    /* Loss of a disk */
    :: d_step { n == OLD && started && !lost -> loseFirst(); tidy(); skip }
    :: d_step { n != OLD && repaired && NO_SECOND -> loseSecond(n); tidy(); skip }
#endif
    od
}

/*
 * Escrow transfer and reclaim of the permits of one team (docs/design.md, section 6).
 *
 * Entries exchange permits only through reports in a log. A report on its way can be lost, delayed, appended twice, or
 * appended with its answer lost; its sender repeats it with the same sequence and content until its view of the ledger
 * shows the sequence. The ledger is the fold of the log. An entry's view is the ledger at some earlier moment; a copy
 * of the ledger can reach the entry late, after a newer one. Time is abstracted: a task runs for any time, and the
 * wait for the longest task lease is the guard that no orphaned task runs any more.
 *
 * bounds: -DENTRIES=2 -DLIMIT=2 -DREPORTS=2
 * bounds: -DENTRIES=2 -DLIMIT=2 -DREPORTS=3
 * bounds: -DENTRIES=2 -DLIMIT=3 -DREPORTS=2
 * bounds: -DENTRIES=3 -DLIMIT=2 -DREPORTS=1
 *
 * Each broken variant has to be rejected:
 * broken: SPEND_BEFORE_ACCEPTED
 * broken: RECLAIM_ON_SUSPICION
 * broken: FREE_WHILE_RUNNING
 * broken: APPLY_OLDER_OFFSET
 * broken: NO_RESERVATION
 * broken: NO_SEQUENCE_CHECK
 *
 * Each of these states has to be reachable, or the correct variant would pass for want of behaviour:
 * reachable: WHOLE_LIMIT_MOVED
 * reachable: RECLAIMED_AND_REUSED
 */
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef LIMIT
#define LIMIT 2
#endif
#ifndef REPORTS
#define REPORTS 2 /* largest sequence of an entry */
#endif

/* Folded ledger. */
byte free = LIMIT;
byte held[ENTRIES];
byte quarantined[ENTRIES];
byte sequence[ENTRIES];
bool ended[ENTRIES];

/* Each entry: its view of the ledger, its running tasks and the report that it has not seen confirmed. */
byte viewHeld[ENTRIES];
byte viewSequence[ENTRIES];
bool viewEnded[ENTRIES];
bool behind[ENTRIES]; /* the log holds records that the view does not show */
byte running[ENTRIES];
bool pending[ENTRIES];
byte pendingRelease[ENTRIES];
byte pendingTake[ENTRIES];

/* A copy of the ledger on its way to entry 1, for example through a peer. */
bool copied;
bool copyIsOld; /* the view of entry 1 has the same offset or a newer one */
byte copyHeld;
byte copySequence;

/* Faults of entry 0. */
mtype = { none, pausedProcess, cutFromLog };
mtype fault = none;
bool crashed;
byte orphans;
bool reclaimed;
#ifdef WHOLE_LIMIT_MOVED
bool returned; /* entry 1 has released a permit */
#endif

chan network[ENTRIES] = [1] of { byte, byte, byte }; /* sequence, release, take */

inline checkLimit() {
    total = orphans;
    sum = free;
    k = 0;
    do
    :: k < ENTRIES ->
        total = total + running[k];
        sum = sum + held[k] + quarantined[k];
        k++
    :: else -> break
    od;
    assert(total <= LIMIT);
    assert(sum == LIMIT);
#ifdef WHOLE_LIMIT_MOVED
    assert(!(running[0] == LIMIT && returned))
#endif
#ifdef RECLAIMED_AND_REUSED
    assert(!(reclaimed && total == LIMIT))
#endif
}

#ifdef SPEND_BEFORE_ACCEPTED
#define OWNED(i) (viewHeld[i] + (pending[i] -> pendingTake[i] - pendingRelease[i] : 0))
#else
#ifdef NO_RESERVATION
#define OWNED(i) (viewHeld[i])
#else
#define OWNED(i) (viewHeld[i] - (pending[i] -> pendingRelease[i] : 0))
#endif
#endif

/* A pause and a partition also show as delays of entry 1; entry 0 has them as states, since they cause suspicion. */
#define ACTS(i) (i != 0 || (!crashed && fault != pausedProcess))
#define REACHES_LOG(i) (i != 0 || fault != cutFromLog)

inline recordFolded() {
    k = 0;
    do
    :: k < ENTRIES -> behind[k] = true; k++
    :: else -> break
    od
}

inline acceptView(i, newHeld, newSequence) {
    viewHeld[i] = newHeld;
    viewSequence[i] = newSequence;
    if
    :: pending[i] && newSequence > 0 && newSequence >= pendingSequence ->
        pending[i] = false; pendingRelease[i] = 0; pendingTake[i] = 0; pendingSequence = 0
    :: else
    fi
}

active [ENTRIES] proctype entry() {
    byte i = _pid;
    byte k, total, sum, amount;
    byte pendingSequence;
end:
    do
    :: atomic { /* A task starts. */
        ACTS(i) && !viewEnded[i] && running[i] < OWNED(i) ->
        running[i]++; checkLimit(); total = 0; sum = 0; k = 0
    }
    :: atomic { /* A task ends and its permit is returned to the table. */
        ACTS(i) && running[i] > 0 -> running[i]--
    }
    :: atomic { /* A report is planned: any release of idle permits, any take. */
        ACTS(i) && !viewEnded[i] && !pending[i] && viewSequence[i] < REPORTS ->
        pending[i] = true;
        pendingSequence = viewSequence[i] + 1;
        do
        :: running[i] + pendingRelease[i] < viewHeld[i] -> pendingRelease[i]++
        :: break
        od;
        do
        :: pendingRelease[i] == 0 && pendingTake[i] < LIMIT -> pendingTake[i]++
        :: break
        od;
        if
        :: pendingRelease[i] + pendingTake[i] == 0 -> pending[i] = false; pendingSequence = 0
        :: else
        fi
    }
    :: atomic { /* The pending report is sent, for the first time or again. */
        ACTS(i) && pending[i] && REACHES_LOG(i) && nfull(network[i]) ->
        network[i]!pendingSequence, pendingRelease[i], pendingTake[i]
    }
    :: d_step { /* The entry reads the log up to its head. */
        ACTS(i) && REACHES_LOG(i) && behind[i] ->
        viewEnded[i] = ended[i];
        behind[i] = false;
        if
        :: i == 1 && copied -> copyIsOld = true
        :: else
        fi;
        acceptView(i, held[i], sequence[i])
    }
    :: d_step { /* A copy of the ledger leaves for the entry. */
        i == 1 && !copied ->
        copied = true; copyIsOld = !behind[1]; copyHeld = held[1]; copySequence = sequence[1]
    }
    :: d_step { /* The copy arrives. */
        i == 1 && copied ->
        if
#ifdef APPLY_OLDER_OFFSET
        :: true -> acceptView(1, copyHeld, copySequence)
#else
        :: !copyIsOld -> acceptView(1, copyHeld, copySequence)
        :: else
#endif
        fi;
        copied = false; copyIsOld = false; copyHeld = 0; copySequence = 0
    }
    od
}

/* The log service with the fold: a report in the network is appended, appended and kept for another time, or lost. */
active proctype log() {
    byte i, k, total, sum, s, release, take;
end:
    do
    :: atomic {
        i = 0;
        do
        :: i < ENTRIES - 1 -> i++
        :: break
        od;
        if
        :: network[i]?s, release, take
        :: network[i]?<s, release, take> /* duplicate: the message stays */
        :: network[i]?s, release, take -> goto idle /* lost before the log */
        :: empty(network[i]) -> goto idle
        fi;
        if
#ifdef NO_SEQUENCE_CHECK
        :: !ended[i] && release <= held[i] ->
#else
        :: !ended[i] && s == sequence[i] + 1 ->
#endif
            sequence[i] = s;
            assert(release <= held[i]);
            held[i] = held[i] - release;
            free = free + release;
#ifdef WHOLE_LIMIT_MOVED
            returned = returned || (i == 1 && release > 0);
#endif
            if
            :: take > free -> take = free
            :: else
            fi;
            held[i] = held[i] + take;
            free = free - take;
            recordFolded();
            checkLimit()
        :: else
        fi;
idle:   i = 0; k = 0; total = 0; sum = 0; s = 0; release = 0; take = 0
    }
    od
}

/* Pauses, partitions, a crash with orphaned tasks, evidence and reclaim; any entry may report on entry 0. */
active proctype faults() {
    byte k, total, sum;
end:
    do
    :: d_step { !crashed && fault == none -> fault = pausedProcess }
    :: d_step { !crashed && fault == none -> fault = cutFromLog }
    :: d_step { fault != none -> fault = none }
    :: d_step { /* Its running tasks go on as orphans on the platform's workers. */
        !crashed -> crashed = true; fault = none; orphans = running[0]; running[0] = 0
    }
    :: d_step { /* An orphaned task ends, by itself or at the end of its lease. */
        orphans > 0 -> orphans--
    }
    :: d_step { /* The evidence of the end is appended. */
#ifdef RECLAIM_ON_SUSPICION
        !ended[0] && (crashed || fault != none) ->
#else
        !ended[0] && crashed ->
#endif
        ended[0] = true; quarantined[0] = held[0]; held[0] = 0;
        recordFolded(); k = 0
    }
    :: d_step { /* The quarantined permits are reclaimed after the longest task lease. */
#ifdef FREE_WHILE_RUNNING
        quarantined[0] > 0 ->
#else
        quarantined[0] > 0 && orphans == 0 ->
#endif
        free = free + quarantined[0]; quarantined[0] = 0; reclaimed = true;
        recordFolded(); checkLimit(); k = 0; total = 0; sum = 0
    }
    od
}

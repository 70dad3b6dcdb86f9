/*
 * Escrow transfer and reclaim of the permits of one team (docs/design.md, section 6).
 *
 * Entries exchange permits only through reports in a log. A report in transit can be lost, delayed, appended twice, or
 * appended with its answer lost; its sender repeats it with the same sequence and content until its view of the ledger
 * shows the sequence. The ledger is the fold of the log. An entry's view is the ledger at some earlier moment; a copy
 * of the ledger can reach the entry late, after a newer one. Time is abstracted: a task runs for any time, and the
 * wait for the longest task lease is modelled as the guard that no orphaned task is still running.
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
 * Each of these states has to be reachable; otherwise the correct variant could pass because it cannot do enough:
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

/* Each entry: its view of the ledger, its running tasks and its report that is not yet confirmed. */
byte viewHeld[ENTRIES];
byte viewSequence[ENTRIES];
bool viewEnded[ENTRIES];
bool behind[ENTRIES]; /* the log holds records that the view does not show */
byte running[ENTRIES];
bool pending[ENTRIES];
byte pendingRelease[ENTRIES];
byte pendingTake[ENTRIES];

/* A copy of the ledger in transit to entry 1, for example from a peer. */
bool copyInTransit;
bool copyIsOld; /* the view of entry 1 has the same offset or a newer one */
byte copyHeld;
byte copySequence;

/* Faults of entry 0. */
mtype = { none, pausedProcess, partitionedFromLog };
mtype fault = none;
bool crashed;
byte orphans;
bool reclaimed;
#ifdef WHOLE_LIMIT_MOVED
bool entry1Released; /* entry 1 has released a permit */
#endif

chan network[ENTRIES] = [1] of { byte, byte, byte }; /* sequence, release, take */

inline checkLimit() {
    runningTotal = orphans;
    permitSum = free;
    k = 0;
    do
    :: k < ENTRIES ->
        runningTotal = runningTotal + running[k];
        permitSum = permitSum + held[k] + quarantined[k];
        k++
    :: else -> break
    od;
    assert(runningTotal <= LIMIT);
    assert(permitSum == LIMIT);
#ifdef WHOLE_LIMIT_MOVED
    assert(!(running[0] == LIMIT && entry1Released))
#endif
#ifdef RECLAIMED_AND_REUSED
    assert(!(reclaimed && runningTotal == LIMIT))
#endif
}

#ifdef SPEND_BEFORE_ACCEPTED
#define USABLE_PERMITS(i) (viewHeld[i] + (pending[i] -> pendingTake[i] - pendingRelease[i] : 0))
#else
#ifdef NO_RESERVATION
#define USABLE_PERMITS(i) (viewHeld[i])
#else
#define USABLE_PERMITS(i) (viewHeld[i] - (pending[i] -> pendingRelease[i] : 0))
#endif
#endif

/* Pauses and partitions of entry 1 are plain delays; for entry 0 they are states, because they cause suspicion. */
#define CAN_ACT(i) (i != 0 || (!crashed && fault != pausedProcess))
#define REACHES_LOG(i) (i != 0 || fault != partitionedFromLog)

inline markViewsBehind() {
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
    byte k, runningTotal, permitSum, amount;
    byte pendingSequence;
end:
    do
    :: atomic { /* A task starts. */
        CAN_ACT(i) && !viewEnded[i] && running[i] < USABLE_PERMITS(i) ->
        running[i]++; checkLimit(); runningTotal = 0; permitSum = 0; k = 0
    }
    :: atomic { /* A task ends and its permit becomes idle. */
        CAN_ACT(i) && running[i] > 0 -> running[i]--
    }
    :: atomic { /* A report is planned: any release of idle permits, any take. */
        CAN_ACT(i) && !viewEnded[i] && !pending[i] && viewSequence[i] < REPORTS ->
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
        CAN_ACT(i) && pending[i] && REACHES_LOG(i) && nfull(network[i]) ->
        network[i]!pendingSequence, pendingRelease[i], pendingTake[i]
    }
    :: d_step { /* The entry reads the log up to its head. */
        CAN_ACT(i) && REACHES_LOG(i) && behind[i] ->
        viewEnded[i] = ended[i];
        behind[i] = false;
        if
        :: i == 1 && copyInTransit -> copyIsOld = true
        :: else
        fi;
        acceptView(i, held[i], sequence[i])
    }
    :: d_step { /* A copy of the ledger is sent to the entry. */
        i == 1 && !copyInTransit ->
        copyInTransit = true; copyIsOld = !behind[1]; copyHeld = held[1]; copySequence = sequence[1]
    }
    :: d_step { /* The copy arrives. */
        i == 1 && copyInTransit ->
        if
#ifdef APPLY_OLDER_OFFSET
        :: true -> acceptView(1, copyHeld, copySequence)
#else
        :: !copyIsOld -> acceptView(1, copyHeld, copySequence)
        :: else
#endif
        fi;
        copyInTransit = false; copyIsOld = false; copyHeld = 0; copySequence = 0
    }
    od
}

/* The log service and the fold: a report in the network is appended, appended and delivered again, or lost. */
active proctype log() {
    byte i, k, runningTotal, permitSum, reportSequence, release, take;
end:
    do
    :: atomic {
        i = 0;
        do
        :: i < ENTRIES - 1 -> i++
        :: break
        od;
        if
        :: network[i]?reportSequence, release, take
        :: network[i]?<reportSequence, release, take> /* duplicate: the message stays */
        :: network[i]?reportSequence, release, take -> goto idle /* lost before it reaches the log */
        :: empty(network[i]) -> goto idle
        fi;
        if
#ifdef NO_SEQUENCE_CHECK
        :: !ended[i] && release <= held[i] ->
#else
        :: !ended[i] && reportSequence == sequence[i] + 1 ->
#endif
            sequence[i] = reportSequence;
            assert(release <= held[i]);
            held[i] = held[i] - release;
            free = free + release;
#ifdef WHOLE_LIMIT_MOVED
            entry1Released = entry1Released || (i == 1 && release > 0);
#endif
            if
            :: take > free -> take = free
            :: else
            fi;
            held[i] = held[i] + take;
            free = free - take;
            markViewsBehind();
            checkLimit()
        :: else
        fi;
idle:   i = 0; k = 0; runningTotal = 0; permitSum = 0; reportSequence = 0; release = 0; take = 0
    }
    od
}

/* Pauses, partitions, a crash with orphaned tasks, evidence and reclaim; any entry may report on entry 0. */
active proctype faults() {
    byte k, runningTotal, permitSum;
end:
    do
    :: d_step { !crashed && fault == none -> fault = pausedProcess }
    :: d_step { !crashed && fault == none -> fault = partitionedFromLog }
    :: d_step { fault != none -> fault = none }
    :: d_step { /* Its running tasks continue as orphans on the platform's workers. */
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
        markViewsBehind(); k = 0
    }
    :: d_step { /* The quarantined permits are reclaimed after the longest task lease. */
#ifdef FREE_WHILE_RUNNING
        quarantined[0] > 0 ->
#else
        quarantined[0] > 0 && orphans == 0 ->
#endif
        free = free + quarantined[0]; quarantined[0] = 0; reclaimed = true;
        markViewsBehind(); checkLimit(); k = 0; runningTotal = 0; permitSum = 0
    }
    od
}

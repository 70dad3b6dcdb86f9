/*
 * At-most-once execution of a non-idempotent request (docs/design.md, section 9) and of a non-idempotent job
 * (section 11).
 *
 * Two entries, two endpoints and a log. A request is sent by the entry that admitted it; a job is started by an entry
 * that has folded its own claim as the first one in the log. An append may be lost, its answer may be lost after the
 * append took effect, and a record may then be appended twice. A pause is an interleaving in which the entry takes no
 * step while the others continue. A crash is a pause that never ends; because the assertions are checked in every
 * reachable state, an entry that stops at any step is covered.
 *
 * Checked: no work item runs twice, and a work item that was reported as "not run" never runs, even if a request that
 * was already sent is executed late. Every assertion is checked in every reachable state, and the search for invalid
 * end states finds deadlocks.
 *
 * broken: RETRY_AFTER_SEND
 * broken: START_BEFORE_FOLD
 * broken: CLAIM_ON_SUSPICION
 * broken: NOT_RUN_AFTER_LOSS
 *
 * RETRY_AFTER_SEND     a request is retried after its bytes were sent and the response was lost
 * START_BEFORE_FOLD    a job is started once its claim was sent, before the claim is read back from the log
 * CLAIM_ON_SUSPICION   a job whose holder is only suspected is claimed again
 * NOT_RUN_AFTER_LOSS   a lost response is answered with "not run"
 */

#define ENTRIES 2
#define ENDPOINTS 2
/* Two attempts cover every transition from one attempt to the next; a third one adds states but no transition. */
#define ATTEMPTS 2
#define LOG_SIZE 6
#define NONE 255

/* Work items: 0 and 1 are the requests of entries 0 and 1, 2 is the job. */
#define JOB 2
#define WORK_ITEMS 3

mtype = { arrived, lost };                   /* whether the sender receives the answer */
mtype = { ran, not_run };                    /* result in the endpoint's answer */

byte runs[WORK_ITEMS];                       /* executions of each work item */
bool reported_not_run[WORK_ITEMS];           /* the caller was told "not run" */

/* The log holds claims of the job; a record is the number of the claiming entry. */
byte log_record[LOG_SIZE];
byte log_length;

/* Requests in transit to an endpoint. A crash of the sender does not cancel them. */
chan wire[ENDPOINTS] = [3] of { byte, byte };            /* sender, work */
chan answer[ENTRIES] = [3] of { mtype, mtype };          /* arrived or lost, ran or not_run */

inline append(record) {
    atomic {
        if
        :: log_length < LOG_SIZE -> log_record[log_length] = record; log_length++
        :: else -> skip
        fi
    }
}

/*
 * An endpoint runs a request that it receives, or refuses it with "not run". Its answer can be lost in both cases. A
 * request in transit may be executed at any later time.
 */
proctype Endpoint(byte number) {
    byte sender;
    byte work;
    mtype outcome;
end_wait:
    do
    :: wire[number] ? sender, work ->
        if
        :: outcome = ran; runs[work]++; assert(runs[work] <= 1); assert(!reported_not_run[work])
        :: outcome = not_run
        fi;
        if
        :: answer[sender] ! arrived, outcome
        :: answer[sender] ! lost, outcome
        fi
    od
}

/*
 * Sends [work] until it is answered or the attempts are used up. A refused connection sends nothing. The sender may
 * also reach its deadline while the request is still in transit.
 */
inline send(work) {
    attempts = 0;
    finished = false;
    proven_not_run = true;
    do
    :: finished || attempts == ATTEMPTS -> break
    :: else ->
        attempts++;
        if
        :: skip                              /* connection refused: not run */
        :: wire[target] ! self, work;
            if
            :: answer[self] ? arrived, outcome ->
                if
                :: outcome == ran -> finished = true
                :: else -> skip              /* Dogwoodgrade-Executed: no */
                fi
            :: answer[self] ? lost, outcome -> proven_not_run = false
            :: proven_not_run = false; abandoned = true    /* no response before the deadline */
            fi
        fi;
        outcome = 0;
        target = 1 - target;
#ifndef RETRY_AFTER_SEND
        if
        :: !proven_not_run -> finished = true        /* outcome unknown */
        :: else -> skip
        fi;
#endif
        /* A connection with an unread response is closed, never reused. */
        if
        :: abandoned -> finished = true
        :: else -> skip
        fi
    od
}

proctype Entry(byte self) {
    byte attempts;
    byte target = self;
    byte next_record;
    byte holder = NONE;
    bool finished;
    bool proven_not_run;
    bool abandoned;
    bool sent_claim;
    bool started;
    mtype outcome;

    /* The request that this entry admitted. */
    send(self);
    if
#ifdef NOT_RUN_AFTER_LOSS
    :: !finished || !proven_not_run -> reported_not_run[self] = true; assert(runs[self] == 0)
#else
    :: !finished && proven_not_run -> reported_not_run[self] = true; assert(runs[self] == 0)
#endif
    :: else -> skip                          /* answered, or "outcome unknown" */
    fi;
    if
    :: abandoned -> goto stop                /* the job below must not read its late answer */
    :: else -> skip
    fi;

    /* Reset values that are not read again, because they would multiply the states. */
    attempts = 0;
    finished = false;
    proven_not_run = false;
    target = self;

    /* The job: append a claim, fold the log, start the job if the claim won. */
    do
    :: next_record < log_length ->           /* fold the next record; the first claim wins */
        atomic {
            if
            :: holder == NONE -> holder = log_record[next_record]
#ifdef CLAIM_ON_SUSPICION
            :: holder != NONE && log_record[next_record] != holder -> holder = log_record[next_record]
#endif
            :: else -> skip
            fi;
            next_record++
        }
    :: !sent_claim && holder == NONE ->
        sent_claim = true;
        if
        :: skip; append(self)
        :: skip; append(self); append(self)  /* the answer was lost and the record was appended again */
        :: skip; skip                        /* the append was lost */
        fi
#ifdef CLAIM_ON_SUSPICION
    :: holder != NONE && holder != self && !sent_claim -> sent_claim = true; append(self)
#endif
#ifdef START_BEFORE_FOLD
    :: sent_claim && !started && holder == NONE ->
        started = true; send(JOB); break
#endif
    :: holder == self && !started ->
        started = true; send(JOB); break
    :: holder != NONE && holder != self -> break
    :: sent_claim && holder == NONE && next_record == log_length -> break
    :: goto stop                             /* crash; the claim stays and no entry claims the job again */
    od;
stop:
    skip
}

init {
    atomic {
        run Endpoint(0);
        run Endpoint(1);
        run Entry(0);
        run Entry(1)
    }
}

/*
 * At-most-once execution of a non-idempotent request (section 9) and of a non-idempotent job (section 11).
 *
 * Two entries, two endpoints and a log. A request is sent by the entry that admitted it; a job is started by an entry
 * that has folded its own claim as the first one in the log. Appends may be lost before they take effect, their
 * answers may be lost afterwards, and a record may then be appended twice. A pause is an interleaving: the entry makes
 * no step while the others go on. A crash is a pause without end; because the assertions are checked in every reachable
 * state, an entry that stops at any step is covered.
 *
 * Checked: no work runs twice, and a response "not run" is true at the end, also after late execution of what was
 * sent. Every assertion is checked in every reachable state, and the search for invalid end states finds deadlocks.
 *
 * broken: RETRY_AFTER_SEND
 * broken: START_BEFORE_FOLD
 * broken: CLAIM_ON_SUSPICION
 * broken: NOT_RUN_AFTER_LOSS
 *
 * RETRY_AFTER_SEND     a request is retried after its bytes were sent and the response was lost
 * START_BEFORE_FOLD    a job is started when its claim was sent, before the claim was read back from the log
 * CLAIM_ON_SUSPICION   a job whose holder is only suspected is claimed again
 * NOT_RUN_AFTER_LOSS   a lost response is answered with "not run"
 */

#define ENTRIES 2
#define ENDPOINTS 2
/* Two attempts cover every transition from one attempt to the next; a third one adds states and no transition. */
#define ATTEMPTS 2
#define LOG_SIZE 6
#define NONE 255

/* Works: request of entry 0, request of entry 1, the job. */
#define JOB 2
#define WORKS 3

mtype = { arrived, lost };                   /* what the sender sees of an attempt */
mtype = { ran, not_run };                    /* what the endpoint answers */

byte runs[WORKS];                            /* executions of each work */
bool claims_not_run[WORKS];                  /* the caller was told "not run" */

/* The log holds claims of the job; a record is the claiming entry. */
byte log_record[LOG_SIZE];
byte log_length;

/* Requests on their way to an endpoint. A crash of the sender does not stop them. */
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
 * An endpoint runs what it receives, or refuses it with "not run". Its answer can be lost in both cases. What is on
 * the wire may be executed at any later time.
 */
proctype Endpoint(byte number) {
    byte sender;
    byte work;
    mtype outcome;
end_wait:
    do
    :: wire[number] ? sender, work ->
        if
        :: outcome = ran; runs[work]++; assert(runs[work] <= 1); assert(!claims_not_run[work])
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
 * also give up waiting (deadline) while the bytes are still on the wire.
 */
inline send(work) {
    attempts = 0;
    finished = false;
    proven = true;
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
                :: else -> skip              /* Executed: no */
                fi
            :: answer[self] ? lost, outcome -> proven = false
            :: proven = false; abandoned = true    /* no response before the deadline */
            fi
        fi;
        outcome = 0;
        target = 1 - target;
#ifndef RETRY_AFTER_SEND
        if
        :: !proven -> finished = true        /* outcome unknown */
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
    byte folded;
    byte holder = NONE;
    bool finished;
    bool proven;
    bool abandoned;
    bool sent_claim;
    bool started;
    mtype outcome;

    /* The request that this entry admitted. */
    send(self);
    if
#ifdef NOT_RUN_AFTER_LOSS
    :: !finished || !proven -> claims_not_run[self] = true; assert(runs[self] == 0)
#else
    :: !finished && proven -> claims_not_run[self] = true; assert(runs[self] == 0)
#endif
    :: else -> skip                          /* answered, or "outcome unknown" */
    fi;
    if
    :: abandoned -> goto stop                /* its late answer is not read by the job below */
    :: else -> skip
    fi;

    /* Values that are not read again would only multiply the states. */
    attempts = 0;
    finished = false;
    proven = false;
    target = self;

    /* The job: claim, fold, start. */
    do
    :: folded < log_length ->                /* fold the next record; the first claim wins */
        atomic {
            if
            :: holder == NONE -> holder = log_record[folded]
#ifdef CLAIM_ON_SUSPICION
            :: holder != NONE && log_record[folded] != holder -> holder = log_record[folded]
#endif
            :: else -> skip
            fi;
            folded++
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
    :: sent_claim && holder == NONE && folded == log_length -> break
    :: goto stop                             /* crash; the claim stays, nobody claims the job again */
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

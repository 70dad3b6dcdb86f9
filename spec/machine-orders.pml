/*
 * Orders for machines at a service that does not compare epochs (docs/decisions/0020-machine-orders.md).
 *
 * Owners that follow each other, one machine, and orders in transit. An owner sends an order while its order lease is
 * valid. A lease may expire arbitrarily late, and a step that requires an expired lease is blocked until then. An order
 * in transit arrives at any time until its connection is reset.
 *
 * Checked: no order of an earlier owner is executed after one of a later owner.
 *
 * bounds: -DLAST_EPOCH=3
 * broken: ORDER_OUTLIVES_LEASE
 * broken: SENT_WITHOUT_CHECK
 * broken: CLAIM_DURING_LEASE
 * broken: RESIGN_WITH_OPEN_ORDERS
 * reachable: REACH_TAKEOVER_ORDER
 *
 * ORDER_OUTLIVES_LEASE     a connection without an answer is not reset when the lease ends
 * SENT_WITHOUT_CHECK       an order whose connection opened late is sent without another look at the lease
 * CLAIM_DURING_LEASE       a candidate claims although the lease of a silent owner may be valid
 * RESIGN_WITH_OPEN_ORDERS  an owner resigns while orders of it are in transit
 * REACH_TAKEOVER_ORDER     denies that an order of a second owner is ever executed
 */

#ifndef LAST_EPOCH
#define LAST_EPOCH 3
#endif
#define EPOCHS 5
#define OWNERS 3

byte epoch_in_log;                    /* epoch of the newest claim; claims are conditional appends */
bool lease_valid[EPOCHS];             /* order lease of the owner of an epoch */
bool resigned[EPOCHS];                /* the owner has given up its term in the log */
byte in_transit[EPOCHS];              /* orders that may still arrive, by the epoch of their sender */
byte highest_executed;

/* Resets the connections of an owner whose lease has ended. */
inline reset_orders(order_epoch) {
#ifndef ORDER_OUTLIVES_LEASE
    in_transit[order_epoch] = 0
#else
    skip
#endif
}

active proctype LeaseExpiry() {
end:
    do
    :: atomic { lease_valid[1] -> lease_valid[1] = false; reset_orders(1) }
    :: atomic { lease_valid[2] -> lease_valid[2] = false; reset_orders(2) }
    :: atomic { lease_valid[3] -> lease_valid[3] = false; reset_orders(3) }
    od
}

active proctype MachineService() {
    byte order_epoch;
end:
    do
    :: atomic {
        in_transit[1] + in_transit[2] + in_transit[3] > 0 ->
        if
        :: in_transit[1] > 0 -> order_epoch = 1
        :: in_transit[2] > 0 -> order_epoch = 2
        :: in_transit[3] > 0 -> order_epoch = 3
        fi;
        in_transit[order_epoch]--;
        assert(order_epoch >= highest_executed);
        highest_executed = order_epoch;
#ifdef REACH_TAKEOVER_ORDER
        assert(order_epoch == 1)
#else
        skip
#endif
    }
    od
}

active [OWNERS] proctype Owner() {
    byte epoch;
    bool connecting;

end_claim:
    atomic {
        epoch_in_log < LAST_EPOCH &&
#ifndef CLAIM_DURING_LEASE
        (epoch_in_log == 0 || !lease_valid[epoch_in_log] || resigned[epoch_in_log])
#else
        true
#endif
        ->
        epoch_in_log++;
        epoch = epoch_in_log;
        lease_valid[epoch] = true;
        connecting = false
    };
end_term:
    do
    /* Opens a connection for an order, which may take until after the lease. */
    :: !connecting && lease_valid[epoch] && !resigned[epoch] -> connecting = true
    /* The lease is looked at again in the step that sends the order. */
    :: atomic {
        connecting && !resigned[epoch] ->
        connecting = false;
        if
#ifdef SENT_WITHOUT_CHECK
        :: in_transit[epoch] < 2 -> in_transit[epoch]++
#else
        :: lease_valid[epoch] && in_transit[epoch] < 2 -> in_transit[epoch]++
#endif
        :: else -> skip
        fi
       }
    :: atomic {
        !resigned[epoch] && epoch_in_log == epoch ->
#ifndef RESIGN_WITH_OPEN_ORDERS
        in_transit[epoch] = 0;
#endif
        resigned[epoch] = true;
        break
       }
    :: epoch_in_log > epoch -> break
    od;
    if
    :: epoch_in_log < LAST_EPOCH -> goto end_claim
    :: else -> skip
    fi
}

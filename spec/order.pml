/*
 * Orders that the holder of a lease and then its successor send to one receiver. The first holder may be
 * paused before any step. Its lease ends at any moment, and only then does the successor start. An order
 * is recorded on the platform by conditional update before it is sent. Answers of the platform and of the
 * receiver may be lost.
 *
 * A receiver that checks fencing numbers (default) may get an order at any time after it was sent. For a
 * receiver that ignores them (-DIGNORES), the time from the check of the lease to the end of the call is
 * bounded, and the successor waits for this time before it sends its first order.
 *
 * Properties
 *   ONE_IN_CHARGE  the receiver accepts no order of a holder after one of its successor
 *   ONCE           no order is carried out twice
 *   RECORDED       no order is carried out that the platform has not recorded
 * Broken variants
 *   NO_FENCE       the receiver ignores fencing numbers and the successor does not know this
 *   NO_WAIT_OUT    (IGNORES) the successor does not wait
 *   NO_ASK         (IGNORES) an order with an unknown result is sent again without asking the receiver
 *   NO_RECORD      an order is sent before it is recorded
 */
#ifdef NO_FENCE
#define IGNORES_FENCE
#define NO_WAIT_OUT
#endif
#ifdef IGNORES
#define IGNORES_FENCE
#endif
#define TRIES 3

/* The intent object: the order's name, whether it is open, and the fencing number of its writer. */
byte version = 0, intent = 0, fence = 0;
bool open = false;
bool recorded[3];

chan request[2] = [TRIES] of { byte, byte, bool, byte };   /* version, intent, open, number */
#define PENDING 0
#define WRITTEN 1
#define REFUSED 2
byte result[2], number[2];

chan wire = [3] of { byte, byte };   /* the sender's fencing number, the order */
byte top = 0, topTaken = 0, taken[3];
bool answered[2], sending[2], valid[2];

inline apply(i) {
  if
  :: v == version -> version++; intent = n; open = o; fence = i + 1; recorded[n] = true;
     if :: k == number[i] -> result[i] = WRITTEN :: else fi
  :: else ->
     if :: k == number[i] -> result[i] = REFUSED :: else fi
  fi;
  v = 0; n = 0; o = false; k = 0
}

active proctype Platform() {
  byte v, n, k; bool o;
end:
  do
  :: atomic { request[0]?v, n, o, k -> apply(0) }
  :: atomic { request[1]?v, n, o, k -> apply(1) }
  od
}

active proctype Receiver() {
  byte f, n;
end:
  do
  :: atomic { wire?f, n ->
     if
#ifndef IGNORES_FENCE
     :: f < top
     :: f >= top -> top = f;
        /* The receiver knows orders by name and carries out each name once. */
        if :: taken[n] == 0 -> taken[n]++ :: else fi;
#else
     :: true -> taken[n]++;
#endif
        assert(f >= topTaken);                                        /* ONE_IN_CHARGE */
        assert(taken[n] <= 1);                                        /* ONCE */
        assert(recorded[n]);                                          /* RECORDED */
        topTaken = f; answered[f - 1] = true
     fi;
     f = 0; n = 0 }
  :: atomic { wire?f, n -> f = 0; n = 0 }   /* lost in transit */
  od
}

inline record(n, o) { number[me]++; result[me] = PENDING; request[me]!rv, n, o, number[me] }
#define MAY_WRITE (number[me] < TRIES)
#define LOST (!valid[me])

/* If the receiver ignores fencing numbers, the successor waits until no order of its predecessor can arrive. */
#if defined(IGNORES) && !defined(NO_WAIT_OUT)
#define WAITED (me == 0 || (!sending[0] && empty(wire)))
#else
#define WAITED true
#endif
#ifdef IGNORES_FENCE
#define GIVEN_UP empty(wire)   /* a call that was given up has no later effect */
#else
#define GIVEN_UP true
#endif

proctype Holder(byte me) {
  byte rv = 0, ri = 0, rf = 0, mine = 0, sends = 0; bool ro = false, doubt = false;
endStopped:
  valid[me];                                                          /* chart order Stopped Take Reading */
reading:
  atomic { rv = version; ri = intent; ro = open; rf = fence }
  if
  :: LOST || rf > me + 1 -> goto lost                                 /* chart order Reading Lose Stopped */
  :: ro && rf == me + 1 -> mine = ri; doubt = true; goto waiting      /* chart order Reading Resume Waiting */
  :: ro && rf <= me -> mine = ri; doubt = true; goto recording        /* chart order Reading Open Recording */
  :: !ro -> goto idle                                                 /* chart order Reading Clean Idle */
  fi;
idle:
  if
  :: LOST -> goto lost                                                /* chart order Idle Lose Stopped */
  :: !LOST && open && version != rv -> goto reading                   /* chart order Idle Doubt Reading */
  :: ri != me + 1 && taken[me + 1] == 0 && !recorded[me + 1] ->
     mine = me + 1; doubt = false;
#ifdef NO_RECORD
     goto sendingNow;
#endif
     goto recording                                                   /* chart order Idle Want Recording */
  :: else -> goto finished
  fi;
recording:
  if
  :: atomic { MAY_WRITE && !LOST -> record(mine, true) }
  :: LOST -> goto lost                                                /* chart order Recording Lose Stopped */
  :: !MAY_WRITE -> goto finished
  fi;
  if
  :: result[me] == WRITTEN -> rv++; goto waiting                      /* chart order Recording Written Waiting */
  :: result[me] != WRITTEN -> goto reading                            /* chart order Recording Unsure Reading */
  fi;
waiting:
  if
  :: LOST -> goto lost                                                /* chart order Waiting Lose Stopped */
  :: !LOST && WAITED && !doubt -> goto sendingNow                     /* chart order Waiting Ready Sending */
#ifdef NO_ASK
  :: !LOST && WAITED && doubt -> goto sendingNow
#else
  :: !LOST && WAITED && doubt -> goto resolving                       /* chart order Waiting Doubt Resolving */
#endif
  fi;
resolving:
  if
  :: LOST -> goto lost                                                /* chart order Resolving Lose Stopped */
  :: taken[mine] == 0 -> goto sendingNow                              /* chart order Resolving Missing Sending */
  :: taken[mine] > 0 -> goto settling                                 /* chart order Resolving Applied Settling */
  :: sends < 2 -> sends++; goto waiting                               /* chart order Resolving Unsure Waiting */
  fi;
sendingNow:
  atomic {
    if
    :: !LOST && sends < 2 -> sends++; sending[me] = true; answered[me] = false
    :: LOST -> goto lost                                              /* chart order Sending Lose Stopped */
    :: !LOST && sends >= 2 -> goto finished
    fi
  }
  /* The lease was checked above. Fencing numbers and the wait guard against a pause here. */
  wire!me + 1, mine;
  if
  :: atomic { answered[me] -> sending[me] = false; goto settling }    /* chart order Sending Applied Settling */
  :: atomic { GIVEN_UP -> sending[me] = false; goto settling }        /* chart order Sending Refuse Settling */
  :: atomic { GIVEN_UP -> sending[me] = false; doubt = true; goto waiting }  /* chart order Sending Unsure Waiting */
  fi;
settling:
  if
  :: atomic { MAY_WRITE && !LOST -> record(mine, false) }
  :: LOST -> goto lost                                                /* chart order Settling Lose Stopped */
  :: !MAY_WRITE -> goto finished
  fi;
  if
  :: result[me] == WRITTEN -> rv++; ri = mine; goto idle              /* chart order Settling Written Idle */
  :: result[me] != WRITTEN -> goto reading                            /* chart order Settling Unsure Reading */
  fi;
lost:
finished:
  skip
}

init {
  atomic { valid[0] = true; run Holder(0); run Holder(1) }
  /* The lease ends, and the successor takes it. The two never hold it at the same time. */
  atomic { valid[0] = false; valid[1] = true }
}

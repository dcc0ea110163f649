/*
 * A lease with two candidates for one role. The lease is one object in the store that is changed by
 * conditional update. A process may be paused before any step, while the clocks continue. A request may
 * be delayed for any time and may take effect or not, and its answer may be lost. The clocks of the two
 * candidates differ by at most one tick.
 *
 * Properties
 *   ONE_HOLDER    the two candidates never both believe that they hold the lease
 *   FENCE_RISES   the fencing number increases with each change of holder
 *   SUCCESSION    (LIVE) if the holder fails, its successor gets the lease
 * Broken variants
 *   NO_MARGIN     the successor waits for the term without a safety margin
 *   LATE_START    the term starts when the answer arrives, not before the request is sent
 *   NO_WAIT       the successor waits only until it has read the same version twice
 *   SAME_FENCE    a new holder keeps the fencing number of the old one
 *   BLIND_GRANT   a candidate treats a lost answer as a grant
 *   SLEEPER       (LIVE) the successor does not read the lease again after a refused request
 */
#define TERM 2
#ifdef NO_MARGIN
#define WAIT TERM
#else
#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT (TERM + 2)
#endif
#endif
#ifdef LIVE
#define WRITES 8
#define TRIES (me == 0 -> 2 : 5)
#else
#define WRITES 3
#define TRIES 2
#endif
#define NONE 2

bool holds[2];   /* for SUCCESSION only */
bool busy;       /* for SUCCESSION only: the successor waits for an answer */

/* The lease object. An absent object counts as released. */
byte version = 0, holder = NONE, attempt = 0, fence = 0;
bool released = true;

/* Requests in transit, and the result of each candidate's last request. */
chan request[2] = [2] of { byte, byte, byte, bool };
#define PENDING 0
#define WRITTEN 1
#define REFUSED 2
byte result[2];

/* Each candidate's timers, in ticks of its own clock. */
byte left[4];          /* time left in the term of the last two attempts */
byte wait[2];          /* time left in the wait for the version last seen */
byte granted[2];       /* the attempt that was granted, 0 for none */
byte grantFence[2];
byte last[2];          /* the last attempt */
byte topFence = 0, topHolder = NONE;
bool gone[2];

#define TIMER(i, a) left[2 * (i) + (a) % 2]
#define VALID(i) (granted[i] != 0 && TIMER(i, granted[i]) > 0 && !gone[i])

inline grant(i, a, f) {
  busy = busy && (i == 0); granted[i] = a; grantFence[i] = f;
#ifdef LATE_START
  TIMER(i, a) = TERM;
#endif
  assert(!(VALID(0) && VALID(1)));                                /* ONE_HOLDER */
  assert(f > topFence || (f == topFence && i == topHolder));      /* FENCE_RISES */
  topFence = f; topHolder = i
}

inline apply(i) {
  if
  :: v == version && version < WRITES ->
     version++; holder = i; attempt = a; fence = f; released = r;
     if :: a == last[i] -> result[i] = WRITTEN :: else fi
  :: else ->
     if :: a == last[i] -> result[i] = REFUSED :: else fi
  fi;
  v = 0; a = 0; f = 0; r = false
}

active proctype Platform() {
  byte v, a, f; bool r;
end:
  do
  :: atomic { request[0]?v, a, f, r -> apply(0) }
  :: atomic { request[1]?v, a, f, r -> apply(1) }
  od
}

inline tick(i) {
  if :: left[2 * i] > 0 -> left[2 * i]-- :: else fi;
  if :: left[2 * i + 1] > 0 -> left[2 * i + 1]-- :: else fi;
  if :: wait[i] > 0 -> wait[i]-- :: else fi
}

#ifdef LIVE
#define PROMPT !busy   /* a recovered platform answers within the term */
#else
#define PROMPT true
#endif

active proctype Clocks() {
  byte lead = 1;   /* ticks by which the first clock is ahead of the second, plus one */
end:
  do
  :: atomic { lead < 2 && PROMPT -> lead++; tick(0) }
  :: atomic { lead > 0 && PROMPT -> lead--; tick(1) }
  od
}

/* Sending takes two steps, so that the process can be paused between them. */
inline begin(i) { busy = busy || (i == 1); last[i]++; TIMER(i, last[i]) = TERM; result[i] = PENDING }

#ifdef LIVE
#define enter() holds[me] = true
#else
#define enter() skip
#endif
#define forget() sv = 0; sh = 0; sa = 0; sr = false

inline observe() {
  atomic {
    sv = version; sh = holder; sa = attempt; sf = fence; sr = released
  }
  /* A pause here only makes the wait longer. */
  atomic {
    if
    :: sv != seen || !known ->
       seen = sv; known = true;
       if :: sr || sh == me -> wait[me] = 0 :: else -> wait[me] = WAIT fi
    :: else
    fi
  }
}

/* This candidate wrote the object in one of its last two attempts, and the term of that attempt has not ended. */
#define MINE (sh == me && !sr && sa + 1 >= last[me] && sa != 0 && TIMER(me, sa) > 0)

proctype Candidate(byte me) {
  byte sv = 0, sh = NONE, sa = 0, sf = 0, seen = 0; bool sr = false, known = false;
following:
  do
#ifdef LIVE
  :: !known || wait[me] > 0 -> observe();
#else
  :: observe();
#endif
     atomic {
       if
       :: MINE -> grant(me, sa, sf); forget(); enter(); goto held      /* chart lease Following Granted Held */
       :: else -> forget()
       fi
     }
  :: atomic { known && wait[me] == 0 && last[me] < TRIES && nfull(request[me]) ->
     begin(me) }                               /* chart lease Following Bid Acquiring */
#ifdef SAME_FENCE
     request[me]!seen, last[me], (sf > 0 -> sf : 1), false; goto acquiring
#else
     request[me]!seen, last[me], sf + 1, false; goto acquiring
#endif
#ifndef LIVE
  :: goto resigned                              /* chart lease Following Resign Resigned */
#endif
  od;
acquiring:
  do
  :: atomic { result[me] == WRITTEN ->
     if
     :: TIMER(me, last[me]) > 0 ->
        seen++; sf = sf + 1;
#ifdef SAME_FENCE
        sf = (sf > 1 -> sf - 1 : 1);
#endif
        grant(me, last[me], sf); enter(); goto held          /* chart lease Acquiring Granted Held */
     :: else -> goto following
     fi }
  :: atomic { result[me] == REFUSED ->       /* chart lease Acquiring Refused Following */
#ifdef SLEEPER
     goto resigned
#else
     busy = false; known = false; goto following
#endif
     }
#ifndef LIVE
  :: result[me] == PENDING -> /* the answer is lost: read the object */
#ifdef BLIND_GRANT
     atomic { sf++; seen++; grant(me, last[me], sf); enter(); goto held }
#endif
     observe();
     atomic {
       if
       :: MINE -> grant(me, sa, sf); forget(); enter(); goto held      /* chart lease Acquiring Granted Held */
       :: else -> forget(); goto following     /* chart lease Acquiring Refused Following */
       fi
     }
  :: goto releasing                            /* chart lease Acquiring Resign Releasing */
#endif
  od;
held:
  do
  :: atomic { VALID(me) && last[me] < TRIES && nfull(request[me]) -> begin(me) }
     request[me]!seen, last[me], grantFence[me], false;
     if
     :: atomic { result[me] == WRITTEN && VALID(me) -> seen++; grant(me, last[me], sf) }  /* chart lease Held Renew Held */
     :: result[me] == REFUSED
#ifndef LIVE
     :: result[me] == PENDING
#endif
     fi
  :: observe();
     atomic {
       if
       :: MINE -> grant(me, sa, sf); forget()                                   /* chart lease Held Renew Held */
       :: sf > grantFence[me] -> granted[me] = 0; forget(); goto following  /* chart lease Held Lose Following */
       :: else -> forget()
       fi
     }
  :: atomic { !VALID(me) -> granted[me] = 0; goto following }     /* chart lease Held Expire Following */
#ifdef LIVE
  :: me == 0 -> gone[0] = true; goto resigned
#else
  :: atomic { granted[me] = 0; goto releasing }                   /* chart lease Held Resign Releasing */
#endif
  od;
releasing:
  do
  :: atomic { last[me] < TRIES && nfull(request[me]) -> begin(me) }
     request[me]!seen, last[me], sf, true;
     if
     :: result[me] == WRITTEN -> goto resigned                     /* chart lease Releasing Released Resigned */
     :: result[me] != WRITTEN -> observe(); atomic { forget() }
     fi
  :: goto resigned                              /* chart lease Releasing Expire Resigned */
  od;
resigned:
  skip
}

init { atomic { run Candidate(0); run Candidate(1) } }

#ifdef LIVE
/* No request or answer is lost, and each process gets to run. */
ltl SUCCESSION { [] (gone[0] -> <> holds[1]) }
#endif

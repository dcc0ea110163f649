/*
 * At-most-once execution: several requests for one non-idempotent call, each on a different host. A
 * process that is never scheduled again stands for a host that failed. A write may be delayed for any
 * time. It takes effect only if the version is still the one that was read, and its answer may be lost.
 * Reads may be stale. The backend service runs each request whenever it arrives, also after the host has
 * given it up.
 *
 * Properties
 *   AT_MOST_ONCE     a non-idempotent booking or order runs at most once
 *   NOT_RUN_IS_TRUE  a refusal that says "not run" is true: when it is proved, nothing has run or is in transit
 *   REPLAY_IS_TRUE   a recorded outcome is returned only if the call ran
 *   ANSWERED         (LIVE) once the platform has recovered, a resend is answered though the first host failed
 * Broken variants
 *   UNCONFIRMED      a host treats a lost answer of the platform as a successful claim
 *   BLIND_WRITE      writes to the platform are not conditional
 *   NO_PROOF         a refusal is based on a read
 *   RELEASE_SENT     a claim is released after sending the call to the service failed
 *   NO_LIMIT         (LIVE) a resend waits for an outcome without a time limit
 */
#ifndef REQUESTS
#define REQUESTS 2
#endif
#define TRIES 3

#define NONE 0
#define OPEN 1
#define CLOSED 2
#define UNSURE 3

/* The entry of the idempotency key in its shard, and the previous entry for stale reads. */
byte version = 0, phase = NONE, owner = 0;
byte oldVersion = 0, oldPhase = NONE, oldOwner = 0;

chan request[REQUESTS] = [TRIES] of { byte, byte, byte, byte };   /* number, version, phase, owner */
#define PENDING 0
#define WRITTEN 1
#define REFUSED 2
byte result[REQUESTS], number[REQUESTS];

chan service = [REQUESTS] of { byte };
byte runs = 0;
bool ran[REQUESTS], ended[REQUESTS];

inline apply(i) {
  if
#ifdef BLIND_WRITE
  :: true ->
#else
  :: v == version ->
#endif
     oldVersion = version; oldPhase = phase; oldOwner = owner;
     version++; phase = p; owner = o;
     /* Only a release writes an absent entry, and only this write proves "not run". */
     assert(p != NONE || (runs == 0 && empty(service)));              /* NOT_RUN_IS_TRUE */
     if :: n == number[i] -> result[i] = WRITTEN :: else fi
#ifndef BLIND_WRITE
  :: else ->
     if :: n == number[i] -> result[i] = REFUSED :: else fi
#endif
  fi;
  n = 0; v = 0; p = 0; o = 0
}

active proctype Platform() {
  byte n, v, p, o;
end:
  do
  :: atomic { request[0]?n, v, p, o -> apply(0) }
  :: atomic { request[1]?n, v, p, o -> apply(1) }
#if REQUESTS > 2
  :: atomic { request[2]?n, v, p, o -> apply(2) }
#endif
  od
}

active proctype Service() {
  byte who;
end:
  do
  :: atomic { service?who -> runs++; assert(runs <= 1); ran[who] = true; who = 0 }    /* AT_MOST_ONCE */
  od
}

inline look() {
  atomic {
    if
    :: rv = version; rp = phase; ro = owner
#ifndef LIVE
    :: rv = oldVersion; rp = oldPhase; ro = oldOwner
    :: rv = 0; rp = NONE; ro = 0
#endif
    fi
  }
}

inline write(p, o) { number[me]++; result[me] = PENDING; request[me]!number[me], rv, p, o }

#define MAY_WRITE (number[me] < TRIES)
#define MINE (ro == me && rp == OPEN)

proctype Request(byte me) {
  byte rv = 0, rp = 0, ro = 0, polls = 0;
looking:
  look();
  if
  :: rp == NONE -> goto queued                                        /* chart claim Looking Absent Queued */
  :: rp == OPEN -> goto waiting                                       /* chart claim Looking Found Waiting */
  :: rp == CLOSED -> goto replayed                                    /* chart claim Looking Recorded Replayed */
  :: rp == UNSURE -> goto unknown                                     /* chart claim Looking Unresolved Unknown */
#ifndef LIVE
  :: goto unknown                                                     /* chart claim Looking Unresolved Unknown */
#endif
  fi;
waiting:
#ifndef NO_LIMIT
  polls++;
#endif
  if
  :: polls > 1 -> goto unknown                                        /* chart claim Waiting Unresolved Unknown */
  :: else
  fi;
  look();
  if
  :: rp == NONE || MINE -> goto queued                                /* chart claim Waiting Absent Queued */
  :: rp == CLOSED -> goto replayed                                    /* chart claim Waiting Recorded Replayed */
  :: rp == UNSURE -> goto unknown                                     /* chart claim Waiting Unresolved Unknown */
  :: rp == OPEN && !MINE -> goto waiting
  fi;
queued:
  if
  :: goto claiming                                                    /* chart claim Queued Claim Claiming */
  :: goto releasing                                                   /* chart claim Queued Refuse Releasing */
  fi;
claiming:
  if
  :: MINE -> goto claimed                                             /* chart claim Claiming Confirmed Claimed */
  :: rp == NONE ->
     if
     :: atomic { MAY_WRITE -> write(OPEN, me) }
     :: !MAY_WRITE -> goto unknown                                    /* chart claim Claiming Unresolved Unknown */
     fi
  :: rp == OPEN && !MINE -> goto waiting                              /* chart claim Claiming Found Waiting */
  :: rp == CLOSED -> goto replayed                                    /* chart claim Claiming Recorded Replayed */
  :: rp == UNSURE -> goto unknown                                     /* chart claim Claiming Unresolved Unknown */
  fi;
  if
  :: atomic { result[me] == WRITTEN -> rv++; rp = OPEN; ro = me; goto claimed }   /* chart claim Claiming Confirmed Claimed */
  :: result[me] == REFUSED -> look(); goto claiming
#ifndef LIVE
  :: result[me] == PENDING ->   /* the answer is lost */
#ifdef UNCONFIRMED
     goto claimed
#else
     look(); goto claiming
#endif
  :: result[me] == PENDING -> goto free                               /* chart claim Claiming Unresolved Unknown */
  :: result[me] == PENDING -> goto releasing                          /* chart claim Claiming Refuse Releasing */
#endif
  fi;
claimed:
  if
  :: goto sent                                                        /* chart claim Claimed Send Sent */
  :: goto releasing                                                   /* chart claim Claimed Refuse Releasing */
#ifdef LIVE
  :: me == 0 -> goto finished   /* the first host fails */
#endif
  fi;
sent:
  if
  :: service!me
#ifndef LIVE
  :: goto claimed                                                     /* chart claim Sent Unreached Claimed */
#endif
  fi;
  if
  :: ran[me] -> goto done                                             /* chart claim Sent Answered Done */
#ifndef LIVE
  :: goto broken                                                      /* chart claim Sent Broken Unknown */
#endif
  fi;
done:
  do
  :: atomic { MAY_WRITE -> write(CLOSED, me) }
     if
     :: result[me] == WRITTEN -> break
     :: result[me] != WRITTEN -> look()
     fi
  :: break   /* not recorded in time, or the host failed */
  od;
  goto finished;
broken:
#ifdef RELEASE_SENT
  goto releasing;
#endif
  if
  :: atomic { MAY_WRITE -> write(UNSURE, me) }
  :: true
  fi;
  goto finished;
releasing:
  if
#ifdef NO_PROOF
  :: rp == NONE -> look();
     atomic { if :: rp == NONE -> assert(runs == 0); goto notrun :: else -> goto unknown fi }
#else
  :: (rp == NONE || MINE) ->
     if
     :: atomic { MAY_WRITE -> write(NONE, 0) }
     :: !MAY_WRITE -> goto unknown                                    /* chart claim Releasing Unresolved Unknown */
     fi
#endif
  :: rp == CLOSED -> goto replayed                                    /* chart claim Releasing Recorded Replayed */
  :: rp == UNSURE || rp == OPEN && !MINE -> goto unknown              /* chart claim Releasing Unresolved Unknown */
#ifdef NO_PROOF
  :: MINE -> goto unknown
#endif
  fi;
  if
  :: result[me] == WRITTEN -> goto notrun                             /* chart claim Releasing Released NotRun */
  :: result[me] != WRITTEN -> look(); goto releasing
#ifndef LIVE
  :: result[me] == PENDING -> goto unknown                            /* chart claim Releasing Unresolved Unknown */
#endif
  fi;
free:
  /* The caller was told that the call may have run. It was not sent, so the key is released. */
  look();
  if
  :: MINE || rp == NONE ->
     if
     :: atomic { MAY_WRITE -> write(NONE, 0) }
     :: !MAY_WRITE
     fi
  :: else
  fi;
  goto finished;
replayed:
  assert(runs == 1);                                                  /* REPLAY_IS_TRUE */
  goto finished;
unknown:
notrun:
finished:
  ended[me] = true
}

init {
  atomic {
    run Request(0); run Request(1);
#if REQUESTS > 2
    run Request(2)
#endif
  }
}

#ifdef LIVE
ltl ANSWERED { <> ended[1] }
#endif

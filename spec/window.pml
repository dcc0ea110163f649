/*
 * Freeze and report of one usage window by two reporters that share a lease. The first reporter may be
 * paused before any step, and the second takes over at any moment. Hosts count two units. A unit may be
 * flushed to the ledgers before or after the freeze. Each change of the window object is a conditional
 * update whose answer may be lost. Reports may be delayed, and their answers may be lost.
 *
 * Properties
 *   SAME_FIGURES   no usage window is reported twice with different figures
 *   EXACT          each unit is counted once: in the window, or as late use in the next one
 *   ONE_REPORTER   no report is sent by a reporter after its successor has sent one
 *   REPORTED       (LIVE) once the platform has recovered, the window is reported though the first reporter failed
 * Broken variants
 *   NO_FREEZE      a report has the figures of the moment at which it is sent
 *   BLIND_FREEZE   the freeze is not a conditional update
 *   NO_CLAIM       a report is sent without recording its sender
 *   NO_TAKEOVER    (LIVE) the successor reports only windows that it froze itself
 */
#define UNITS 2
#define TRIES 4

#define Open 0
#define Closing 1
#define Frozen 2
#define Reported 3

/* The window object. */
byte version = 0, state = Open, figures = 0, sender = 0;

byte flushed = 0;      /* units in the ledgers */
byte late = 0;         /* units counted in the next window */
bool hasReport = false;
byte reported = 0, topReport = 0;
bool valid[2], sending[2];
chan report = [2] of { byte, byte };

/* A conditional update may take effect or not, and its answer may be lost. */
inline update(s, f, w) {
  atomic {
    if
#ifdef BLIND_FREEZE
    :: s == Frozen || rv == version ->
#else
    :: rv == version ->
#endif
       version++; state = s; figures = f; sender = w;
       if :: ok = true
#ifndef LIVE
          :: ok = false
#endif
       fi
    :: else -> ok = false
#ifndef LIVE
    :: ok = false   /* lost in transit */
#endif
    fi
  }
}

inline read() { atomic { rv = version; rs = state; rf = figures; rw = sender } }

proctype Counter() {
  byte n = 0;
  do
  :: n < UNITS -> atomic { n++; flushed++ }
  :: n == UNITS -> break
  od
}

active proctype Sink() {
  byte w, f;
end:
  do
  :: atomic { report?w, f ->
     assert(!hasReport || f == reported);                             /* SAME_FIGURES */
     assert(w >= topReport);                                          /* ONE_REPORTER */
     hasReport = true; reported = f; topReport = w; w = 0; f = 0 }
  od
}

proctype Reporter(byte me) {
  byte rv = 0, rs = 0, rf = 0, rw = 0, tries = 0, seen = 0; bool ok = false, own = false;
endStopped:
  valid[me];
again:
  if
  :: !valid[me] || tries >= TRIES -> goto finished
  :: valid[me] && tries < TRIES
#ifndef LIVE
     -> tries++
#endif
  fi;
  read();
  if
  :: rs == Open -> update(Closing, 0, 0); goto again                  /* chart usage window Open End Closing */
  :: rs == Closing ->
     seen = flushed;   /* the ledgers are read before the freeze is written */
     update(Frozen, seen, 0);                                         /* chart usage window Closing Freeze Frozen */
     own = ok; goto again
  :: rs == Frozen -> skip
  :: rs == Reported -> goto finished
  fi;
#ifdef NO_TAKEOVER
  if :: !own && me == 1 -> false :: else fi;
#endif
#ifndef NO_CLAIM
  if
  :: rw > me + 1 -> goto finished
  :: rw < me + 1 -> update(Frozen, rf, me + 1);                       /* chart usage window Frozen Claim Frozen */
     goto again
  :: rw == me + 1 -> skip
  fi;
  /* A report of the recorded predecessor may still be in transit: wait for the time that one report can take. */
  if :: me == 1 -> !sending[0] && empty(report) :: me == 0 fi;
#endif
  atomic { if :: valid[me] -> sending[me] = true :: else -> goto finished fi }
#ifdef LIVE
  if :: true :: me == 0 -> sending[me] = false; goto finished fi;   /* the first reporter fails */
#endif
#ifdef NO_FREEZE
  report!me + 1, flushed;
#else
  report!me + 1, rf;
#endif
  if
  :: atomic { hasReport && empty(report) -> sending[me] = false }
#ifndef LIVE
  :: atomic { empty(report) -> sending[me] = false; goto again }   /* the answer is lost */
#endif
  fi;
  update(Reported, rf, me + 1);                                       /* chart usage window Frozen Accept Reported */
  goto again;
finished:
  skip
}

proctype NextWindow() {
  /* The next window counts the units that are not in the frozen figures of this one. */
end:
  state >= Frozen && flushed == UNITS;
  late = flushed - figures;
  /* The figures do not change after this, so that each unit is in exactly one window. */
endCheck:
  do
  :: atomic { figures + late != UNITS -> assert(false) }              /* EXACT */
  od
}

init {
  atomic { valid[0] = true; run Counter(); run NextWindow(); run Reporter(0); run Reporter(1) }
  atomic { valid[0] = false; valid[1] = true }
}

#ifdef LIVE
ltl REPORTED { <> (state == Reported) }
#endif

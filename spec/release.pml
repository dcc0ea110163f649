/*
 * Acceptance of a configuration release. Two operators publish by conditional update of the head, which
 * holds the number of the newest release. Hosts read the head, possibly from a stale copy, and learn of
 * releases from linked hosts. A host may be restarted at any moment while another host linked to it
 * serves. A restarted host has no release. A release is accepted once it is in force on each host.
 *
 * Properties
 *   ONE_CONTENT    the operators never publish different content under one number
 *   NEVER_BACK     a host that serves never goes back to an earlier release
 *   NEVER_REVERTS  once a release is accepted, no host serves an earlier one, also after a restart
 *   IN_FORCE       (LIVE) once reads are no longer stale, the newest release is in force on each host
 * Broken variants
 *   BLIND_PUBLISH  the head is replaced without a condition
 *   ANY_NUMBER     a host adopts any release that it reads, also one with a lower number
 *   READY_ALONE    a restarted host serves after one read, without the releases of its linked hosts
 *   NO_POLL        (LIVE) hosts read the head only once
 */
#define HOSTS 2
#define RELEASES 3

byte head = 1;
byte content[4];           /* by number: who published it */
byte force[HOSTS];         /* the release in force, 0 for none */
bool serves[HOSTS], asked[HOSTS];
byte accepted = 0;
byte restarts = 0;

proctype Operator(byte me) {
  byte h;
  do
  :: h = head;
     if :: h >= RELEASES -> break :: else fi;
     /* The configuration is checked here. Meanwhile the other operator may publish. */
     atomic {
       if
#ifdef BLIND_PUBLISH
       :: true ->
#else
       :: head == h ->
#endif
          assert(content[h + 1] == 0);                                /* ONE_CONTENT */
          content[h + 1] = me + 1; head = h + 1; break
#ifndef BLIND_PUBLISH
       :: else -> skip   /* read the head and check the configuration again */
#endif
       fi
     }
  od
}

inline adopt(i, n) {
  if
#ifdef ANY_NUMBER
  :: n != force[i] ->
#else
  :: n > force[i] ->
#endif
     assert(!serves[i] || n > force[i]);                              /* NEVER_BACK */
     force[i] = n;
     if
     :: force[0] == force[1] && n > accepted -> accepted = n
     :: else
     fi
  :: else
  fi;
  assert(!serves[i] || force[i] >= accepted)                          /* NEVER_REVERTS */
}

#ifdef LIVE
#define LINKED true
#else
#define LINKED serves[1 - me]
#endif
#ifdef READY_ALONE
#define HEARD true
#else
#define HEARD (force[me] >= force[1 - me])
#endif

/* Linked hosts send each other their releases. */
active proctype Links() {
end:
  do
  :: atomic { force[1] > 0 -> adopt(0, force[1]) }
  :: atomic { force[0] > 0 -> adopt(1, force[0]) }
  od
}

proctype Host(byte me) {
  byte n;
end:
  do
#ifdef NO_POLL
  :: !asked[me] ->
#else
  :: true ->
#endif
     n = head;
     /* The answer may be delayed, and other processes may run meanwhile. */
     atomic { adopt(me, n); asked[me] = true; n = 0 }
#ifndef LIVE
  :: atomic { n = 1; adopt(me, n); asked[me] = true; n = 0 }           /* a stale copy */
  :: atomic { n = 2; head >= 2 -> adopt(me, n); asked[me] = true; n = 0 }
  :: atomic {
       !serves[me] && asked[me] && HEARD -> serves[me] = true;
       assert(force[me] >= accepted)                                  /* NEVER_REVERTS */
     }
#endif
  :: atomic { restarts < 2 && force[me] > 0 && LINKED ->
       restarts++; force[me] = 0; serves[me] = false; asked[me] = false; n = 0 }
  od
}

init { atomic { content[1] = 1; run Operator(0); run Operator(1); run Host(0); run Host(1) } }

#ifdef LIVE
ltl IN_FORCE { <> [] (force[0] == head && force[1] == head) }
#endif

/*
 * Claims of requests that may not be repeated (issue 4, model a).
 *
 * One key, several attempts at different hosts, at the same time or after one
 * another. A shard's claims are a log of segments in the object store; an
 * entry is added by a conditional update of the head segment, which carries
 * the version read; a full segment never changes again, and only then is the
 * next one created.
 *
 * Crashes and pauses need no action of their own: a process that is never
 * scheduled again has crashed, one scheduled late was paused, and assertions
 * hold on every prefix of every run. Nor does a caller told 'unknown', at a
 * deadline or in an outage: that is an attempt which goes no further, and the
 * writes it left undecided may land all the same.
 *
 * Each macro takes one guard out; scripts/model expects those to fail.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define CAPACITY 2   /* entries a segment */
#define SEGMENTS 3
#ifndef NOISE
#define NOISE 1      /* entries of other keys */
#endif
#ifdef NO_AGE_CHECK_TELLING
#define OLD_DENIED 1
#else
#define OLD_DENIED 0
#endif
#ifndef SENDS
#define SENDS 2      /* engines tried; a second only after a rejection */
#endif

/* Entry: kind * 8 + nonce; nonces count from 1. */
#define KCLAIM 1
#define KRELEASE 2
#define KRESULT 3
#define KNOISE 4
#define ENTRY(kind, nonce) ((kind) * 8 + (nonce))

/* A request on its way to an engine. */
#define NOT_SENT 0
#define IN_FLIGHT 1
#define RAN 2
#define REJECTED 3
#define LOST 4       /* never runs, but the sender cannot know */

byte count[SEGMENTS];
byte version[SEGMENTS];   /* 0: absent; versions never come back */
byte entries[6];          /* SEGMENTS * CAPACITY */
byte deletions;

typedef Write {
  bit on;
  byte segment;
  byte position;          /* what the writer read: its value is that + 1 */
  byte expected;
  byte entry
};
Write delayed[4];         /* by nonce; 0: the writer of other keys */

byte sent[4];
bit denied[4];            /* the caller was told 'not run' */
bit ran_before[4];        /* the key had run when the attempt began */
byte runs;
byte runner;
bit key_expired;          /* the key is older than retention allows */
#ifdef WITNESS
bit logged_result;        /* some caller was given a recorded result */
bit logged_release;       /* a release was confirmed */
bit resent;               /* an undecided write was sent again */
#endif

/* Scratch of atomic steps only. */
hidden byte at_segment, at_entry, holder, result, head, found;
hidden byte done_scan;

/* The log as read now: holder, result, the head segment; found: does an entry
 * equal to `wanted` stand? */
inline scan(wanted) {
  holder = 0; result = 0; found = 0; head = 0; at_segment = 0; done_scan = 0;
  do
  :: at_segment < SEGMENTS && !done_scan ->
    at_entry = 0;
    do
    :: at_entry < count[at_segment] ->
      if
      :: entries[at_segment * CAPACITY + at_entry] == wanted -> found = 1
      :: else
      fi;
      if
      :: entries[at_segment * CAPACITY + at_entry] / 8 == KCLAIM && holder == 0 ->
        holder = entries[at_segment * CAPACITY + at_entry] % 8
      :: entries[at_segment * CAPACITY + at_entry] / 8 == KRELEASE &&
         holder == entries[at_segment * CAPACITY + at_entry] % 8 -> holder = 0
      :: entries[at_segment * CAPACITY + at_entry] / 8 == KRESULT ->
        result = entries[at_segment * CAPACITY + at_entry] % 8
      :: else
      fi;
      at_entry++
    :: else -> break
    od;
    head = at_segment;
#ifdef UNSEALED
    /* The next segment may exist beside a head that is not full. */
    if
    :: at_segment + 1 < SEGMENTS && version[at_segment + 1] != 0 -> at_segment++
    :: count[at_segment] == CAPACITY -> at_segment++
    :: else -> done_scan = 1
    fi
#else
    if
    :: count[at_segment] == CAPACITY -> at_segment++   /* full: the log goes on */
    :: else -> done_scan = 1
    fi
#endif
  :: else -> break
  od;
  if
  :: at_segment == SEGMENTS -> head = SEGMENTS   /* the bounded log is full */
  :: else
  fi;
  at_entry = 0
}

inline clear(me) {
  delayed[me].on = 0; delayed[me].segment = 0; delayed[me].position = 0;
  delayed[me].expected = 0; delayed[me].entry = 0
}

/* A write whose version has passed can't land any more; dropping it here
 * keeps the states few. (A create might land again after the deletion.) */
inline forget_dead_writes() {
  at_entry = 0;
  do
  :: at_entry < 4 ->
    if
    :: delayed[at_entry].on && delayed[at_entry].expected != 0 &&
       version[delayed[at_entry].segment] != delayed[at_entry].expected ->
      delayed[at_entry].on = 0
    :: else
    fi;
    at_entry++
  :: else -> break
  od;
  at_entry = 0
}

/* Applies a write where its condition holds; sets found. */
inline apply(w) {
  found = 0;
  if
#ifdef UNCONDITIONAL
  :: true ->
#else
  :: version[w.segment] == w.expected ->
#endif
    entries[w.segment * CAPACITY + w.position] = w.entry;
    count[w.segment] = w.position + 1;
    version[w.segment] = deletions * 8 + w.position + 1;
    found = 1;
#ifndef UNCONDITIONAL
    forget_dead_writes();
#endif
    /* N3: the claim of a caller told 'not run' never comes to stand. */
    assert(!(w.entry / 8 == KCLAIM && denied[w.entry % 8]))
#ifndef UNCONDITIONAL
  :: else
#endif
  fi
}

inline run_it(k) {
  sent[k] = RAN;
  runs++;
  runner = k;
  assert(runs <= 1);             /* M: at most one run a key */
  assert(!denied[k])             /* N1 */
}

/* 'Unknown', a result or no answer at all bind nobody, so that only 'not run'
 * is kept as state. */
inline tell_not_run(me) {
  denied[me] = 1;
  assert(!ran_before[me]);   /* N2: nor did an attempt with the key before it */
  /* N1: it did not run, and no message is left that could make it. */
  assert(sent[me] != RAN && sent[me] != IN_FLIGHT)
}

proctype Attempt(byte me) {
  byte entry = ENTRY(KCLAIM, me);   /* what it wants to stand in the log */
  byte sends;

  /* Attempts are alike, so they may as well begin in the order of nonces. */
  atomic {
    ran_before[me] = (runs > 0);
    if
    :: me < ATTEMPTS -> run Attempt(me + 1)
    :: else
    fi
  }

read:
  atomic {
    if
    :: scan(entry);
      if
#ifdef TAKE_OVER
      :: entry / 8 == KCLAIM && holder != 0 && holder != me && result == 0 ->
        goto held
#endif
      :: entry / 8 == KCLAIM && holder != 0 && holder != me && result != 0 ->
        /* R: a returned result is that of the one run. */
        assert(runs == 1 && result == runner);
#ifdef WITNESS
        logged_result = 1;
#endif
        goto finished
#ifndef TAKE_OVER
      :: entry / 8 == KCLAIM && holder != 0 && holder != me && result == 0 ->
#ifdef DENY_HELD
        tell_not_run(me);
#endif
        goto finished           /* 'unknown' */
#endif
      :: found -> goto stands
      :: else ->
        if
        :: head == SEGMENTS -> goto finished
        :: else
        fi;
        delayed[me].segment = head;
        delayed[me].position = count[head];
        delayed[me].expected = version[head];
        delayed[me].entry = entry;
#ifdef UNSEALED
        if
        :: head + 1 < SEGMENTS && count[head] > 0 ->
          delayed[me].segment = head + 1;
          delayed[me].position = 0;
          delayed[me].expected = 0
        :: true
        fi
#endif
      fi
#ifdef DENY_UNREAD
    :: goto unread           /* the store is down */
#endif
    fi
  }

write:
  atomic {
    if
    :: apply(delayed[me]);   /* answered */
      delayed[me].on = 0;
      if
      :: found -> goto stands
      :: else -> clear(me); goto read   /* certainly not applied */
      fi
    :: delayed[me].on = 1    /* no answer: it may stand, now or later */
    fi
  }

undecided:
  atomic {
#ifdef SEND_UNCONFIRMED
    if
    :: entry / 8 == KCLAIM -> goto held
    :: true
    fi;
#endif
    if
    :: scan(entry);
      if
      :: found -> delayed[me].on = 0; goto stands
      :: !found && version[delayed[me].segment] != delayed[me].expected ->
        clear(me);
        goto read            /* overtaken: it can never land */
      :: else ->
#ifdef DENY_UNDECIDED
        if
        :: entry / 8 == KCLAIM -> tell_not_run(me); goto finished
        :: else
        fi;
#endif
#ifdef WITNESS
        resent = 1;
#endif
        goto write     /* the same conditional update again */
      fi
    fi
  }

stands:
  atomic {
    clear(me);
    if
    :: entry / 8 == KCLAIM -> goto held
    :: entry / 8 == KRELEASE ->
#ifdef WITNESS
      logged_release = 1;
#endif
      if
      /* Past that age an earlier attempt's entries may be deleted. */
      :: !key_expired || OLD_DENIED -> tell_not_run(me)
      :: key_expired           /* 'unknown' */
      fi;
      goto finished
    :: else -> goto finished
    fi
  }

held:
  /* A pause here may be long; the age is checked in the step that sends. */
  atomic {
    if
#ifdef NO_AGE_CHECK
    :: sent[me] = IN_FLIGHT; sends++
#else
    :: !key_expired -> sent[me] = IN_FLIGHT; sends++
#endif
    :: goto release          /* the deadline passed, or no engine has room */
    fi
  }

answer:
  if
  :: atomic { sent[me] == RAN -> entry = ENTRY(KRESULT, me); goto read }
  :: atomic { sent[me] == REJECTED ->
      if
      :: sends < SENDS -> goto held
      :: goto release
      fi }
#ifdef RELEASE_ON_SILENCE
  :: atomic { sent[me] == IN_FLIGHT -> goto release }
#endif
#ifdef RESEND_ON_SILENCE
  :: atomic { sent[me] == IN_FLIGHT && sends < SENDS ->
      run_it(me);   /* the first sending arrives after all */
      goto held }
#endif
  fi;

release:
  atomic {
    entry = ENTRY(KRELEASE, me);
#ifdef SEND_AFTER_RELEASE
    sent[me] = IN_FLIGHT;
#endif
    goto read
  }

#ifdef DENY_UNREAD
unread:
  atomic {
    if
    :: entry / 8 == KCLAIM -> tell_not_run(me)
    :: else
    fi;
    goto finished
  }
#endif

finished:
  atomic {
    entry = 0; sends = 0; ran_before[me] = 0;
    if
    :: !delayed[me].on -> clear(me)
    :: else
    fi
  }
}

/* Another host, which claims other keys of the shard. */
proctype OtherKeys() {
  byte left = NOISE;
  do
  :: atomic { left > 0 ->
      scan(0);
      if
      :: head < SEGMENTS ->
        delayed[0].segment = head;
        delayed[0].position = count[head];
        delayed[0].expected = version[head];
        delayed[0].entry = ENTRY(KNOISE, 0);
        delayed[0].on = 1
      :: else
      fi;
      left-- }
  :: left == 0 -> break
  od
}

/* Writes land late or never. */
#define LANDS(k) atomic { delayed[k].on -> apply(delayed[k]); delayed[k].on = 0 }

proctype Store() {
end:
  do
  :: LANDS(0)
  :: LANDS(1)
  :: LANDS(2)
  :: LANDS(3)
  od
}

#define ARRIVES(k) \
  atomic { sent[k] == IN_FLIGHT -> \
    if \
    :: run_it(k) \
    :: sent[k] = REJECTED \
    fi }

proctype Engines() {
end:
  do
  :: ARRIVES(1)
  :: ARRIVES(2)
  :: ARRIVES(3)
  od
}

/* Time passes: first the key is too old to be sent, later the log is deleted.
 * Assumed: retention exceeds that age by more than any request is in flight. */
proctype Retention() {
  byte k;
  key_expired = 1;
  d_step {
    deletions = 1;
    k = 0;
    do
    :: k < SEGMENTS -> count[k] = 0; version[k] = 0;
      entries[k * CAPACITY] = 0; entries[k * CAPACITY + 1] = 0; k++
    :: else -> break
    od;
    k = 1;
    do
    :: k <= ATTEMPTS ->
      if
      :: sent[k] == IN_FLIGHT -> sent[k] = LOST
      :: else
      fi;
      k++
    :: else -> break
    od;
    k = 0
  }
}

#ifdef WITNESS
/* Shows that the model reaches what it should: fails by design. */
active proctype Witness() {
  atomic { logged_result && logged_release && resent -> assert(false) }
}
#endif

init {
  atomic {
    run Store();
    run Engines();
#ifndef FRESH_KEYS
    run Retention();
#endif
#if NOISE > 0
    run OtherKeys();
#endif
    run Attempt(1)
  }
}

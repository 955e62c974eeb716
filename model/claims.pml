/*
 * Claims on the idempotency keys of requests that must not run twice.
 *
 * One key; several attempts at different hosts, concurrent or one after
 * another. The claims of a shard form a log. Its head segment is one object,
 * changed by conditional updates on the version read. A full head is copied to
 * an archive object with its segment number; only then may an update move the
 * head on to the next number. The first claim that is not released holds the
 * key.
 *
 * Crashes and pauses are not modeled explicitly: a process that is never
 * scheduled again has crashed, one that is scheduled late was paused, and the
 * assertions hold on every prefix of every run. Likewise, a caller that is told
 * 'unknown', at a deadline or in an outage, is an attempt that takes no further
 * step; writes of it whose result is not known may still be applied.
 *
 * Each macro removes one guard; scripts/model expects these variants to fail.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define CAPACITY 2   /* entries per segment */
#define SEGMENTS 3
#ifndef NOISE
#define NOISE 1      /* entries of other keys */
#endif
#ifndef SENDS
#define SENDS 2      /* engines tried; a further one only after a rejection */
#endif

/* A log entry is kind * 8 + nonce; nonces start at 1. */
#define KCLAIM 1
#define KRELEASE 2
#define KRESULT 3
#define KNOISE 4
#define ENTRY(kind, nonce) ((kind) * 8 + (nonce))

/* State of the request to an engine. */
#define NOT_SENT 0
#define IN_FLIGHT 1
#define RAN 2
#define REJECTED 3
#define LOST 4       /* never runs, which the sender cannot know */

byte version;             /* version of the head object; 0: absent */
byte number;              /* number of the segment in the head */
byte oldest;              /* number of the oldest segment not dropped */
bit dropped;              /* entries of the key may have been dropped */
byte count[SEGMENTS];
bit archived[SEGMENTS];
byte entries[6];          /* SEGMENTS * CAPACITY */

typedef Write {
  bit on;                 /* sent, result not known */
  byte number;            /* segment in the head after the write */
  byte position;
  byte expected;
  byte entry
};
Write delayed[4];         /* by nonce; 0: writer of the other keys */
Write left[4];            /* pending write of an abandoned claim */

byte sent[4];
bit denied[4];            /* the caller was told 'not run' */
bit ran_before[4];        /* the key had run before the attempt began */
byte runs;
byte runner;
bit late;                 /* all deadlines have passed */
#ifdef WITNESS
bit logged_result;        /* a caller was given a recorded result */
bit logged_release;       /* a release was confirmed */
bit resent;               /* a write without a known result was sent again */
#endif

/* Temporaries, used only within atomic steps. */
hidden byte at_segment, at_entry, holder, result, found;

inline look_at(entry_there, wanted) {
  if
  :: entry_there == wanted -> found = 1
  :: else
  fi;
  if
  :: entry_there / 8 == KCLAIM && holder == 0 -> holder = entry_there % 8
  :: entry_there / 8 == KRELEASE && holder == entry_there % 8 -> holder = 0
  :: entry_there / 8 == KRESULT -> result = entry_there % 8
  :: else
  fi
}

/* Reads the current log into holder and result; found: the log contains the
 * entry `wanted`. */
inline scan(wanted) {
  holder = 0; result = 0; found = 0; at_segment = oldest;
  do
  :: at_segment <= number ->
    at_entry = 0;
    do
    :: at_entry < count[at_segment] &&
       (at_segment == number || archived[at_segment]) ->
      look_at(entries[at_segment * CAPACITY + at_entry], wanted);
      at_entry++
    :: else -> break
    od;
    at_segment++
  :: else -> break
  od;
  at_entry = 0; at_segment = 0
}

inline clear(me) {
  delayed[me].on = 0; delayed[me].number = 0; delayed[me].position = 0;
  delayed[me].expected = 0; delayed[me].entry = 0
}

/* Prepares an update of the current head: in the same segment, or in the next
 * one after archiving a full segment. The update's number is SEGMENTS if the
 * model's bound is reached. */
inline prepare(me, what) {
  delayed[me].expected = version;
  delayed[me].entry = what;
  if
  :: count[number] == CAPACITY ->
#ifndef ROLLED_UNARCHIVED
    archived[number] = 1;      /* immutable, whoever writes it */
#endif
    delayed[me].number = number + 1;
    delayed[me].position = 0
  :: else ->
    delayed[me].number = number;
    delayed[me].position = count[number]
  fi
}

/* Drops the writes that can no longer be applied, as the version has changed;
 * this reduces the number of states. */
inline forget_dead_writes() {
  at_entry = 0;
  do
  :: at_entry < 4 ->
    if
    :: delayed[at_entry].on && delayed[at_entry].expected != version ->
      delayed[at_entry].on = 0
    :: else
    fi;
    if
    :: left[at_entry].on && left[at_entry].expected != version ->
      left[at_entry].on = 0; left[at_entry].number = 0;
      left[at_entry].position = 0; left[at_entry].expected = 0;
      left[at_entry].entry = 0
    :: else
    fi;
    at_entry++
  :: else -> break
  od;
  at_entry = 0
}

/* Applies a write if its condition holds; found: it was applied. */
inline apply(w) {
  found = 0;
  if
#ifdef UNCONDITIONAL
  :: true ->
#else
  :: version == w.expected ->
#endif
    number = w.number;
    entries[w.number * CAPACITY + w.position] = w.entry;
    count[w.number] = w.position + 1;
    version++;
    found = 1;
#ifndef UNCONDITIONAL
    forget_dead_writes()
  :: else
#endif
  fi
}

inline run_it(k) {
  sent[k] = RAN;
  runs++;
  runner = k;
  assert(runs <= 1);             /* M: at most one run per key */
  assert(!denied[k])             /* N1: none after 'not run' */
}

/* Only the answer 'not run' is recorded: 'unknown', a result or no answer
 * restrict no later step. */
inline tell_not_run(me) {
  denied[me] = 1;
  assert(!ran_before[me]);   /* N2: no earlier attempt ran either */
  /* N1: it did not run, and no pending message can make it run. */
  assert(sent[me] != RAN && sent[me] != IN_FLIGHT)
}

proctype Attempt(byte me) {
  byte entry = ENTRY(KCLAIM, me);   /* the entry to append to the log */
  byte sends;

  /* Attempts are interchangeable, so start them in the order of nonces, which
   * reduces the number of states. */
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
#ifdef TAKEN_OVER
      :: entry / 8 == KCLAIM && holder != 0 && holder != me && result == 0 ->
        goto held
#endif
      :: entry / 8 == KCLAIM && holder != 0 && holder != me && result != 0 ->
        /* R: a returned result is that of the only run. */
        assert(runs == 1 && result == runner);
#ifdef WITNESS
        logged_result = 1;
#endif
        goto finished
#ifndef TAKEN_OVER
      :: entry / 8 == KCLAIM && holder != 0 && holder != me && result == 0 ->
#ifdef HELD_DENIED
        tell_not_run(me);
#endif
        goto finished           /* 'unknown' */
#endif
      :: found -> goto stands
#ifndef DROPPED_IGNORED
      :: !found && entry / 8 == KCLAIM && dropped ->
        goto finished           /* key too old: 'unknown' */
#endif
      :: else ->
        prepare(me, entry);
        if
        :: delayed[me].number == SEGMENTS -> clear(me); goto finished
        :: else
        fi
      fi
#ifdef UNREAD_DENIED
    :: entry / 8 == KCLAIM -> tell_not_run(me); goto finished
#endif
    fi
  }

write:
  atomic {
    if
    :: apply(delayed[me]);   /* the store answers */
      delayed[me].on = 0;
      if
      :: found -> goto stands
      :: else -> clear(me); goto read   /* not applied */
      fi
    :: delayed[me].on = 1    /* no answer: may be applied, now or later */
    fi
  }

undecided:
  atomic {
#ifdef SENT_UNCONFIRMED
    if
    :: entry / 8 == KCLAIM -> goto held
    :: true
    fi;
#endif
    if
    :: scan(entry);
      if
      :: found -> goto stands
      :: !found && version != delayed[me].expected ->
        clear(me);
        goto read            /* version changed: it can't be applied */
      :: else ->
#ifdef WITNESS
        resent = 1;
#endif
        goto write           /* again, on the same version */
      fi
    /* Gives up: tells the caller now and releases the claim. */
    :: entry / 8 == KCLAIM -> goto release
    fi
  }

stands:
  atomic {
    clear(me);
    if
    :: entry / 8 == KCLAIM -> goto held
    :: else ->
#ifdef WITNESS
      if
      :: entry / 8 == KRELEASE -> logged_release = 1
      :: else
      fi;
#endif
      goto finished
    fi
  }

held:
  /* A long pause is possible here, so the deadline is checked in the same step
   * that sends. */
  atomic {
    if
#ifdef SENT_LATE
    :: sent[me] = IN_FLIGHT; sends++
#else
    :: !late -> sent[me] = IN_FLIGHT; sends++
#endif
    :: goto release          /* deadline passed, or no engine has capacity */
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
#ifdef RELEASED_ON_SILENCE
  :: atomic { sent[me] == IN_FLIGHT -> goto release }
#endif
#ifdef SENT_AGAIN_ON_SILENCE
  :: atomic { sent[me] == IN_FLIGHT && sends < SENDS ->
      run_it(me);   /* the first request arrives after all */
      goto held }
#endif
  fi;

release:
  /* The caller is told before the release is in the log: nothing will be sent,
   * whatever happens to the log. Once the release is in the log, a claim whose
   * result is not known can no longer be applied. */
  atomic {
    tell_not_run(me);
    if
    :: delayed[me].on ->       /* it stays pending besides the release */
      left[me].on = 1; left[me].number = delayed[me].number;
      left[me].position = delayed[me].position;
      left[me].expected = delayed[me].expected;
      left[me].entry = delayed[me].entry
    :: else
    fi;
    clear(me);
#ifdef SENT_AFTER_RELEASE
    sent[me] = IN_FLIGHT;
#endif
    entry = ENTRY(KRELEASE, me);
    goto read
  }

finished:
  atomic {
    entry = 0; sends = 0; ran_before[me] = 0;
    if
    :: !delayed[me].on -> clear(me)
    :: else
    fi
  }
}

/* Another host that claims other keys of the same shard. */
proctype OtherKeys() {
  byte todo = NOISE;
  do
  :: atomic { todo > 0 ->
      prepare(0, ENTRY(KNOISE, 0));
      if
      :: delayed[0].number < SEGMENTS -> delayed[0].on = 1
      :: else
      fi;
      todo-- }
  :: todo == 0 -> break
  od
}

#ifdef FORWARDED
/* The shard's owner, to which attempt 1 has also forwarded its claim: it may
 * append the same entry at any later time, on the version current then. */
proctype Owner() {
  atomic {
    scan(ENTRY(KRELEASE, 1));
    if
#ifdef GIVEN_BACK_IGNORED
    :: found = 0
#else
    :: found -> goto over
#endif
    :: else
    fi;
    if
    :: holder != 0 || result != 0 || dropped -> goto over
    :: else -> prepare(0, ENTRY(KCLAIM, 1))
    fi;
    if
    :: delayed[0].number == SEGMENTS
    :: else -> apply(delayed[0])
    fi;
    clear(0)
  }
over:
  skip
}
#endif

/* Pending writes are applied late or never. */
#define LANDS(w) atomic { w.on -> apply(w); w.on = 0 }

proctype Store() {
end:
  do
  :: LANDS(delayed[0])
  :: LANDS(delayed[1])
  :: LANDS(delayed[2])
  :: LANDS(delayed[3])
  :: LANDS(left[1])
  :: LANDS(left[2])
  :: LANDS(left[3])
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

/* Passage of time: first all deadlines pass, later the archives are dropped,
 * which is recorded in the head. Assumes that the retention period exceeds the
 * deadline by more than the longest time a request is in flight. */
proctype Retention() {
  byte k = 1;
  late = 1;
  d_step {
    number > 0 && archived[number - 1];
    dropped = 1;
    oldest = number;
    version++;
    forget_dead_writes();
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
/* Shows that the interesting states are reachable: fails by design. */
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
#ifdef FORWARDED
    run Owner();
#endif
    run Attempt(1)
  }
}

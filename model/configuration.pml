/*
 * Replication of configuration objects and marks from the store to the hosts.
 * Two models, chosen by a macro, that share only the store's history.
 *
 * HOSTS: which version of each object a host puts in force. Its sources are
 * lists and watches (late or stale), peers' deltas (late, truncated or
 * duplicated) and operators' offers; it may restart, with and without the
 * platform. Follows KindView: a watermark (all changes up to it are known) and
 * a floor (tombstones up to it are no longer kept).
 *
 * OPERATORS: three operators change one object; answers are lost, writes are
 * applied late, reads after a write are stale.
 *
 * Versions are revisions of the store. One kind of objects is enough, as each
 * kind has its own watermark.
 */
#ifndef REVISIONS
#define REVISIONS 4
#endif

byte rev;                    /* the store's revision */
byte hist_object[6];         /* object that each revision wrote */
bit hist_deleted[6];

/* Temporaries, used only within atomic steps. */
hidden byte first, second, since_rev, upto_rev, state;

#ifdef HOSTS

#define NHOSTS 2
/* BOTH_WAYS: both hosts restart and send deltas. Otherwise host 0 only sends
 * to host 1, so that more revisions can be checked. */
#ifdef BOTH_WAYS
#define IS_FED(h) 1
#define IS_PEER(h) 1
#define ANSWERS(h) serving[h]
#else
#define IS_FED(h) ((h) == 1)
#define IS_PEER(h) ((h) == 0)
#define ANSWERS(h) (watermark[h] > 0)
#endif
byte ver[4];                 /* by host * 2 + object; 0: not held */
byte watermark[NHOSTS];
byte floor[NHOSTS];
byte bound[NHOSTS];          /* revision of its status write since its start */
bit serving[NHOSTS];
bit restarted[NHOSTS];
byte in_force[4];            /* for assertions: newest ever in force */

/* A peer's delta in flight; it may arrive at any time, any number of times. */
byte newest[12];             /* by revision * 2 + object: its last write */
byte m_since, m_revision, m_ver[2], m_from;
bit m_whole;
#ifdef EVENT_LOST
bit event_lost;
#endif

/* Sets state to the newest revision up to `upto` that wrote `object`, else 0. */
#define as_of(object, upto) state = newest[(upto) * 2 + object]

/* KindView::Apply */
inline take(h, object, version) {
  if
#ifdef NO_FLOOR
  :: ver[h * 2 + object] == 0 -> ver[h * 2 + object] = version
#else
  :: ver[h * 2 + object] == 0 && version > floor[h] ->
    ver[h * 2 + object] = version
#endif
#ifdef OLDER_COPY_TAKEN
  :: ver[h * 2 + object] != 0 -> ver[h * 2 + object] = version
#else
  :: ver[h * 2 + object] != 0 && version > ver[h * 2 + object] ->
    ver[h * 2 + object] = version
#endif
  :: else
  fi
}

/* KindView::RemoveAbsent and RaiseFloor */
inline remove_absent(h, object, revision, given) {
  if
#ifdef ABSENT_REMOVES_NEWER
  :: ver[h * 2 + object] != 0 && given == 0 -> ver[h * 2 + object] = 0
#else
  :: ver[h * 2 + object] != 0 && given == 0 &&
     ver[h * 2 + object] <= revision -> ver[h * 2 + object] = 0
#endif
  :: ver[h * 2 + object] != 0 && hist_deleted[ver[h * 2 + object]] &&
     ver[h * 2 + object] <= revision && given != 0 -> ver[h * 2 + object] = 0
  :: else
  fi
}

/* KindView::ApplyRange; given0 and given1: versions of the items, 0: none. */
inline take_whole(h, since, revision, whole, given0, given1) {
  if
  :: given0 != 0 -> take(h, 0, given0)
  :: else
  fi;
  if
  :: given1 != 0 -> take(h, 1, given1)
  :: else
  fi;
  if
#ifndef STALE_READ_WHOLE
  :: revision < watermark[h]       /* stale: a missing object may exist */
#endif
#ifndef GAP_JOINED
  :: !whole && since > watermark[h]        /* changes in between are unknown */
#endif
  :: else ->
    if
    :: whole ->
      remove_absent(h, 0, revision, given0);
      remove_absent(h, 1, revision, given1);
      if
      :: floor[h] < revision -> floor[h] = revision
      :: else
      fi
    :: else
    fi;
    watermark[h] = revision
  fi
}

/* Sets state to the revision of `object` that the host has in force. */
inline position(h, object) {
  as_of(object, watermark[h]);
  if
  :: ver[h * 2 + object] != 0 -> state = ver[h * 2 + object]
  :: ver[h * 2 + object] == 0 && (state == 0 || !hist_deleted[state]) -> state = 0
  :: else
  fi
}

inline check_object(h, object) {
#ifndef EVENT_LOST
  /* W: the host knows every change up to its watermark. */
  as_of(object, watermark[h]);
  assert(state == 0 || ver[h * 2 + object] >= state ||
         (ver[h * 2 + object] == 0 && hist_deleted[state]));
#endif
  position(h, object);
  if
  :: serving[h] ->
    /* F: what is in force never goes back to an older version. */
    assert(state >= in_force[h * 2 + object]);
    in_force[h * 2 + object] = state
  :: else
  fi;
  state = 0
}

inline check(h) {
  check_object(h, 0);
  check_object(h, 1)
}

/* Sets upto_rev to any revision from `low` to `high`. */
inline choose(low, high) {
  upto_rev = low;
  do
  :: upto_rev < high -> upto_rev++
  :: break
  od
}

/* A list from the platform: the complete state at any revision so far, which
 * covers every stale, late or duplicated answer. It contains no tombstones. */
inline list_at(h) {
  choose(0, rev);
  d_step {
    as_of(0, upto_rev); first = (hist_deleted[state] -> 0 : state);
    as_of(1, upto_rev); second = (hist_deleted[state] -> 0 : state);
    take_whole(h, 0, upto_rev, 1, first, second);
    check(h);
    first = 0; second = 0; upto_rev = 0
  }
}

/* A watch response, late or not: the changes in (since_rev, upto_rev], where
 * since_rev is the host's watermark now or earlier; includes tombstones. */
inline watch_from(h) {
  choose(1, watermark[h]);
  since_rev = upto_rev;
  choose(since_rev, rev);
  d_step {
    as_of(0, upto_rev); first = (state > since_rev -> state : 0);
    as_of(1, upto_rev); second = (state > since_rev -> state : 0);
#ifdef EVENT_LOST
    /* The watch loses an event of object 0. */
    if
    :: !event_lost && first != 0 -> first = 0; event_lost = 1
    :: else
    fi;
#endif
    take_whole(h, since_rev, upto_rev, 0, first, second);
    check(h);
    first = 0; second = 0; upto_rev = 0; since_rev = 0
  }
}

/* KindView::DeltaSince for the current watermark of the asker, as a message. */
inline send_delta(p, asker) {
  d_step {
    m_since = watermark[asker]; m_revision = watermark[p]; m_from = p;
    m_whole = (m_since < floor[p]);
    first = (m_whole -> 0 : m_since);
    m_ver[0] = (ver[p * 2] > first -> ver[p * 2] : 0);
    m_ver[1] = (ver[p * 2 + 1] > first -> ver[p * 2 + 1] : 0);
    first = 0
  }
  if
  :: true
  /* Truncated at the byte limit after the first item. */
#ifdef WHOLE_STATE_CUT
  :: m_ver[0] != 0 && m_ver[1] > m_ver[0] &&
#else
  :: !m_whole && m_ver[0] != 0 && m_ver[1] > m_ver[0] &&
#endif
     m_ver[1] <= watermark[p] -> m_revision = m_ver[0]; m_ver[1] = 0
  :: !m_whole && m_ver[1] != 0 && m_ver[0] > m_ver[1] &&
     m_ver[0] <= watermark[p] -> m_revision = m_ver[1]; m_ver[0] = 0
  fi
}

/* Asks a peer and applies its complete answer in one step, without any late
 * message in between. */
inline learn_from(h, p) {
  take_whole(h, 0, watermark[p], (0 < floor[p] -> 1 : 0),
             ver[p * 2], ver[p * 2 + 1])
}

proctype Host(byte me) {
  byte peer = 1 - me;
end:
  do
  :: atomic { list_at(me) }
  :: atomic { watermark[me] > 0 -> watch_from(me) }
#ifdef EVENT_LOST
  /* The peer has read the lost change again, and is asked afterwards. */
  :: d_step { me == 1 && event_lost && ver[0] != 0 && watermark[1] > 0 &&
      newest[watermark[0] * 2] == ver[0] &&
      watermark[1] == watermark[0] && ver[0] <= watermark[0] ->
      /* X: hosts with the same watermark hold the same objects up to it. */
      assert(ver[2] >= ver[0]) }
#endif
  :: atomic { IS_PEER(me) -> send_delta(me, peer) }
  :: d_step { m_from == peer ->
      take_whole(me, m_since, m_revision, m_whole, m_ver[0], m_ver[1]);
      check(me) }
  :: atomic { rev > 0 ->          /* an operator offers an accepted change */
      choose(1, rev);
      d_step {
        second = hist_object[upto_rev];
        take(me, second, upto_rev);
#ifdef OFFER_RAISES_WATERMARK
        if
        :: upto_rev > watermark[me] -> watermark[me] = upto_rev
        :: else
        fi;
#endif
        upto_rev = 0; second = 0;
        check(me)
      } }
  :: d_step { IS_FED(me) && !serving[me] && bound[me] == 0 ->
      /* The host's status write: its answer contains a revision, so that the
       * host recognizes a read of an older revision as stale. */
      bound[me] = rev + 1 }
  :: d_step { IS_FED(me) && !serving[me] && bound[me] != 0 &&
#ifndef SERVE_ON_STALE_READ
      watermark[me] + 1 >= bound[me] &&
#endif
      watermark[me] > 0 ->
      serving[me] = 1; bound[me] = 0;
      check(me) }                  /* F across the restart */
  :: d_step { IS_FED(me) && !serving[me] && ANSWERS(peer) ->
      /* Outage: the newest state that can still be learnt is that of the
       * reachable peers that serve. */
#ifndef PEERS_NOT_ASKED
      learn_from(me, peer);
#endif
      as_of(0, watermark[peer]);
      position(peer, 0); second = state;
      position(me, 0);
      assert(state >= second);             /* P: not behind that peer */
      position(peer, 1); second = state;
      position(me, 1);
      assert(state >= second);
      second = 0; state = 0;
#ifndef STRICT_RESTART
      /* What only this host knew before its restart is lost. */
      if
      :: restarted[me] -> in_force[me * 2] = 0; in_force[me * 2 + 1] = 0
      :: else
      fi;
#endif
      serving[me] = 1; bound[me] = 0;
      check(me) }
  :: d_step { serving[me] && !restarted[me] ->
      restarted[me] = 1; serving[me] = 0; bound[me] = 0;
      ver[me * 2] = 0; ver[me * 2 + 1] = 0; watermark[me] = 0; floor[me] = 0 }
#ifdef WITNESS
  :: atomic { serving[me] && restarted[me] && ANSWERS(peer) &&
      ver[me * 2] == 0 && in_force[me * 2] == 2 -> assert(false) }
#endif
  od
}

/* Accepted changes: creates, deletes and re-creates objects. */
proctype Writer() {
end:
  do
  :: atomic { rev < REVISIONS ->
      if
      :: first = 0
      :: first = 1
      fi;
      as_of(first, rev);
      upto_rev = rev + 1;
      hist_object[upto_rev] = first;
      if
      :: hist_deleted[upto_rev] = 0
      :: state != 0 && !hist_deleted[state] -> hist_deleted[upto_rev] = 1
      fi;
      newest[upto_rev * 2] = newest[rev * 2];
      newest[upto_rev * 2 + 1] = newest[rev * 2 + 1];
      newest[upto_rev * 2 + first] = upto_rev;
      rev = upto_rev;
      first = 0; upto_rev = 0; state = 0 }
  od
}

init {
  atomic {
    hist_object[0] = 2; hist_deleted[0] = 1; m_from = NHOSTS;
    run Writer(); run Host(0); run Host(1)
  }
}
#endif

#ifdef OPERATORS

#define NOTHING 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNKNOWN 3

byte operation[6];           /* by revision: the operator that wrote it */
byte base[6];                /* by revision: the version it replaced */
bit delayed[4];              /* pending write, result not known */
byte expected[4];
bit applied[4];
byte told[4];
#ifdef WITNESS
bit settled;
#endif

/* A conditional update by operator o; upto_rev: whether it was applied. */
inline put(o) {
  upto_rev = 0;
  if
#ifdef UNCONDITIONAL
  :: rev < REVISIONS ->
#else
  :: rev < REVISIONS && rev == expected[o] ->
#endif
    /* L: an operator never overwrites an accepted change it hasn't read. */
    assert(expected[o] == rev);
    assert(!applied[o]);             /* applied at most once */
    assert(told[o] != CONFLICT);     /* C: a conflict is never applied */
    rev++;
    operation[rev] = o; base[rev] = expected[o];
    applied[o] = 1; upto_rev = 1
  :: else
  fi
}

inline tell(o, what) {
  told[o] = what;
  assert(what != ACCEPTED || applied[o]);    /* A: accepted was applied */
  assert(what != CONFLICT || !applied[o])    /* C: a conflict was not */
}

proctype Operator(byte o) {
  bit again;                 /* the update was sent again */
  byte seen;                 /* the revision read back */

  atomic {                   /* reads, possibly a stale state */
    seen = 0;
    do
    :: seen < rev -> seen++
    :: break
    od;
    expected[o] = seen
  }
send:
  atomic {
    if
    :: put(o);
      if
      :: upto_rev -> tell(o, ACCEPTED); goto finished
#ifdef REFUSED_AGAIN_IS_CONFLICT
      :: !upto_rev -> tell(o, CONFLICT); goto finished
#else
      /* Refused: the reason may be that the first update was applied. */
      :: !upto_rev && !again -> tell(o, CONFLICT); goto finished
      :: !upto_rev && again
#endif
      fi
    :: delayed[o] = 1        /* answer lost */
    fi
  };
settle:
  atomic {
    seen = expected[o];
    do
    :: seen < rev -> seen++  /* reads back, possibly a stale state */
    :: break
    od;
    if
    :: operation[seen] == o && seen > expected[o] ->
#ifdef WITNESS
      settled = 1;
#endif
      tell(o, ACCEPTED)
    :: seen == expected[o] ->
      if
      :: again = 1; goto send        /* the same conditional update */
#ifdef UNCHANGED_IS_CONFLICT
      :: tell(o, CONFLICT)
#else
      :: tell(o, UNKNOWN)
#endif
      fi
    :: else ->
      if
#ifdef OTHER_IS_CONFLICT
      :: tell(o, CONFLICT)
#else
      /* Another operator's change replaced the version that this update was
       * based on, so this update can't have been applied; a change with another
       * base may have come after this update. */
      :: base[seen] == expected[o] -> tell(o, CONFLICT)  /* same base */
      :: base[seen] != expected[o] -> tell(o, UNKNOWN)   /* maybe later */
#endif
      fi
    fi
  }
finished:
  atomic { again = 0; seen = 0 }
}

proctype Store() {
end:
  do
  :: atomic { delayed[1] -> put(1); delayed[1] = 0; upto_rev = 0 }
  :: atomic { delayed[2] -> put(2); delayed[2] = 0; upto_rev = 0 }
  :: atomic { delayed[3] -> put(3); delayed[3] = 0; upto_rev = 0 }
#ifdef WITNESS
  :: atomic { settled && told[1] == CONFLICT && told[2] == UNKNOWN &&
      told[3] == ACCEPTED -> assert(false) }
#endif
  od
}

init {
  atomic {
    rev = 1;
    run Store(); run Operator(1); run Operator(2); run Operator(3)
  }
}
#endif

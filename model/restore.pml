/*
 * A store that comes back from an older copy: its revisions go back and are
 * given out again, in a new era.
 *
 * One object whose versions are the operator's. The operator writes again what
 * was lost. Two hosts read the store, by answers that may be late, and hear from
 * each other; each knows a position in the store's history and puts a version
 * in force. A host also writes under the condition that the object has not
 * changed since it was read. Follows StoreRevision, KindView,
 * ActiveRoutingConfig and PlatformStore.
 */
#ifndef WRITES
#define WRITES 3
#endif
#ifndef ERAS
#define ERAS 1
#endif

#ifndef OTHERS
#define OTHERS 3
#endif

#define STEP 16                      /* more than revisions in one era */
#ifdef ERA_IGNORED
#define POSITION(e, r) (r)
#else
#define POSITION(e, r) ((e) * STEP + (r))
#endif

byte era, rev, stored;               /* the store: its object's version */
byte object_rev;                     /* revision of the object */
byte copy_rev, copy_stored, copy_object_rev;
byte written;                        /* the operator's newest version */
byte known[2], held[2], in_force[2]; /* hosts: position, its version, in force */
byte m_position, m_version;          /* an answer or a message in flight */
byte e_era[2], e_rev[2];             /* what a conditional write expects */
bit told_ok;

/* KindView::Apply and ActiveRoutingConfig::Activate */
inline take(h, position, version) {
  if
  :: position > known[h] ->
    known[h] = position; held[h] = version;
    if
#ifdef COPY_TAKEN
    :: true ->
#else
    :: version >= in_force[h] ->
#endif
      /* F: no host goes back to an older version. */
      assert(version >= in_force[h]);
      in_force[h] = version
    :: else
    fi
  :: else
  fi
}

proctype Host(byte me) {
end:
  do
  :: d_step { m_position = POSITION(era, object_rev); m_version = stored }
  :: d_step { m_position != 0 -> take(me, m_position, m_version) }
  :: d_step { known[me] != 0 -> m_position = known[me]; m_version = held[me] }
  :: d_step { take(me, POSITION(era, object_rev), stored);
      /* L: what the operator has written is in force once it was read. */
      assert(stored != written || in_force[me] == written) }
  :: d_step { e_rev[me] == 0 -> e_era[me] = era; e_rev[me] = object_rev }
  :: d_step { e_rev[me] != 0 ->
      /* The store compares numbers. An answer names the era. */
      if
      :: e_rev[me] == object_rev ->
#ifdef ERA_NOT_COMPARED
        told_ok = 1
#else
        told_ok = (e_era[me] == era)
#endif
      :: else -> told_ok = 0
      fi;
      /* C: a write that is told to have replaced a version has replaced it. */
      assert(!told_ok || e_era[me] == era);
      told_ok = 0; e_era[me] = 0; e_rev[me] = 0 }
#ifdef WITNESS
  :: d_step { era == ERAS && in_force[0] == written && in_force[1] == written &&
      written == WRITES -> assert(false) }
#endif
  od
}

proctype Operator() {
end:
  do
  :: d_step { written < WRITES && stored == written ->
      written++; rev++; object_rev = rev; stored = written }
  :: d_step { stored < written -> rev++; object_rev = rev; stored = written }
  :: d_step { rev < OTHERS -> rev++ }        /* another object is written */
  :: d_step { copy_rev = rev; copy_stored = stored;
      copy_object_rev = object_rev }
  :: d_step { era < ERAS && copy_rev > 0 ->
      era++; rev = copy_rev; stored = copy_stored;
      object_rev = copy_object_rev }
  od
}

init {
  atomic {
    rev = 1; object_rev = 1; stored = 1; written = 1;
    run Operator(); run Host(0); run Host(1)
  }
}

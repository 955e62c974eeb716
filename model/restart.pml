/*
 * Engines that restart under the same id: a run at one engine, its migration to
 * another, and a host that learns of restarts late, from messages that may be
 * outdated. A "start" (`life`) is one incarnation of an engine.
 *
 * An engine may restart at any moment and then has lost all its state. Its new
 * entry reaches the host late or never, and a message from an older start may
 * arrive after one from a newer start. Orders go to an address: the start that
 * is there executes them and names itself in its answer. Orders and answers may
 * be lost. Silence proves nothing: the host may consider a live stream silent.
 */
#define SOURCE 1
#define TARGET 2
#ifndef STARTS
#define STARTS 3
#endif

/* State of the engines, by SOURCE or TARGET. */
byte life[3];               /* number of the current start */
bit runs[3];                /* is executing the run */
bit copied;                 /* the target holds the run's memory */
bit stopped;                /* the source keeps the stopped run's memory */
bit had[12];                /* by AT(e, life): it has executed the run */
#define AT(e, l) ((e) * 4 + (l))

/* State of the host. */
#define RUNNING 0
#define COPYING 1
#define STOPPING 2
#define WAITING 3           /* for the end of the source's stream */
#define OVER 4
byte phase;
byte known[3];              /* the newest start that the host knows of */
byte at_life;               /* the start that the host believes has the run */
byte source_life;           /* start of the source when the move began */
byte target_life;
bit source_gone;            /* the source has restarted since */
bit target_gone;
bit has_copy;               /* the target has the copy, as the host believes */
bit stream_ended;
bit resumed;
byte begun;                 /* how often the run was started from scratch */

/* State of the order and its answer. */
#define NONE 0
#define ON_ITS_WAY 1
#define ANSWERED 2
#define LOST 3
byte order;
bit is_stop;
bit done;                   /* executed: copied, or stopped */
byte answer_life;

/* A report in flight: the engine that sent it, 0: none; and its start. */
byte report_of;
byte report_life;

/* The host learns that an engine has restarted. */
inline started_again(e) {
#if defined(KEPT_BY_ID)
  if
  :: e == SOURCE -> at_life = known[e]; source_life = known[e]
  :: else -> target_life = known[e]
  fi
#else
  if
  :: e == SOURCE && known[e] != at_life -> source_gone = 1
  :: e == TARGET && phase != RUNNING && known[e] != target_life ->
     target_gone = 1; has_copy = 0
  :: else -> skip
  fi;
#if defined(RUN_AGAIN)
  if
  :: e == SOURCE && !resumed && phase != OVER ->
     begun++; runs[SOURCE] = 1; had[AT(SOURCE, life[SOURCE])] = 1
  :: else -> skip
  fi;
#endif
  assert(begun == 1)
#endif
}

inline hear(e, l) {
  if
#if defined(OLDER_TAKEN)
  :: l != known[e] -> known[e] = l; started_again(e)
  :: l == known[e] -> skip
#else
  :: l > known[e] -> known[e] = l; started_again(e)
  :: l <= known[e] -> skip
#endif
  fi
}

inline begin_at(e) {
  runs[e] = 1;
  had[AT(e, life[e])] = 1;
  assert(!(runs[SOURCE] && runs[TARGET]));    /* W: never two engines */
  resumed = 1;
  phase = OVER
}

/* Receives the answer to an order; valid only if it comes from the start that
 * the order was meant for. */
inline take_answer() {
#if !defined(ANSWERS_UNCOMPARED)
  if
  :: answer_life != source_life -> source_gone = 1; done = 0
  :: else -> assert(answer_life == source_life)
  fi;
#else
  assert(answer_life == source_life);
#endif
  if
  :: !is_stop && done && !target_gone ->
     has_copy = 1;
     if
     :: source_gone -> phase = WAITING
     :: else -> phase = STOPPING; is_stop = 1; done = 0; order = ON_ITS_WAY
     fi
  :: !is_stop && !(done && !target_gone) -> phase = OVER /* stays, or failed */
  :: is_stop && (done || source_gone) -> phase = WAITING
  :: is_stop && !done && !source_gone -> phase = OVER     /* run had ended */
  fi
}

proctype Engine(byte me) {
end:
  do
  :: atomic { life[me] < STARTS ->
       life[me]++; runs[me] = 0;
       if
       :: me == SOURCE -> stopped = 0
       :: else -> copied = 0
       fi }
  :: atomic { me == SOURCE && order == ON_ITS_WAY ->
       answer_life = life[SOURCE]; done = runs[SOURCE];
       if
       :: done && !is_stop -> copied = 1
       :: done && is_stop -> runs[SOURCE] = 0; stopped = 1
       :: else -> skip
       fi;
       order = ANSWERED }
  :: atomic { report_of == 0 -> report_of = me; report_life = life[me] }
  od
}

proctype Host() {
  byte l;
  do
  :: phase == OVER && report_of == 0 -> break

  /* Entries from the store, current or outdated. */
  :: atomic { phase != OVER ->
       if
       :: select(l : 1 .. life[SOURCE]); hear(SOURCE, l)
       :: select(l : 1 .. life[TARGET]); hear(TARGET, l)
       fi }

  /* A report from an engine. */
  :: atomic { report_of != 0 ->
#if !defined(REPORTS_UNCOMPARED)
       if
       :: report_life == known[report_of] ->
          assert(report_life == known[report_of])
       :: else -> skip
       fi;
#else
       assert(report_life == known[report_of]);
#endif
       report_of = 0 }

  /* The migration. */
  :: atomic { phase == RUNNING && !source_gone && !stream_ended ->
       assert(had[AT(SOURCE, at_life)]);      /* A: the run was there */
       source_life = at_life; target_life = known[TARGET];
       phase = COPYING; is_stop = 0; order = ON_ITS_WAY }
  :: atomic { order == ANSWERED -> order = NONE;
       if
       :: phase == COPYING || phase == STOPPING -> take_answer()
       :: else -> skip
       fi }
  :: atomic { order == ON_ITS_WAY || order == ANSWERED -> order = LOST }
  :: atomic { order == LOST -> order = NONE;
       if
       :: phase == COPYING -> phase = OVER    /* the run stays at the source */
       :: phase == STOPPING -> phase = WAITING
       :: else -> skip
       fi }

  /* The stream ends: its connection closes, or it is silent after a restart. */
  :: atomic { !stream_ended && !runs[SOURCE] -> stream_ended = 1 }
  :: atomic { !stream_ended && source_gone -> stream_ended = 1 }
#if defined(SILENCE_IS_END)
  :: atomic { !stream_ended && phase == WAITING -> stream_ended = 1 }
#endif

  /* Resumes: an engine accepts the run only if it holds the run's memory. */
  :: atomic { phase == WAITING && stream_ended && has_copy ->
       if
       :: copied -> copied = 0; begin_at(TARGET)
       :: !copied && stopped && !source_gone -> stopped = 0; begin_at(SOURCE)
       :: !copied && !(stopped && !source_gone) -> phase = OVER
       fi }
  :: atomic { phase == WAITING && stream_ended && !has_copy ->
       if
       :: stopped && !source_gone -> stopped = 0; begin_at(SOURCE)
       :: else -> phase = OVER                /* failed */
       fi }
  :: atomic { phase == RUNNING && stream_ended -> phase = OVER }
  od
#if defined(WITNESS)
  ; assert(!(resumed && source_gone && runs[TARGET]))
#endif
}

init {
  atomic {
    if
    :: life[SOURCE] = 1
    :: life[SOURCE] = 2
    fi;
    life[TARGET] = 1; known[SOURCE] = life[SOURCE]; known[TARGET] = 1;
    at_life = life[SOURCE]; begun = 1;
    runs[SOURCE] = 1; had[AT(SOURCE, life[SOURCE])] = 1;
    run Engine(SOURCE); run Engine(TARGET); run Host()
  }
}

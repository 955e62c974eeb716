/*
 * Engines that start again under their id: a run at one engine, a move of it
 * to another, and a host that learns of starts late, by words that may be old.
 *
 * An engine starts again at any moment and holds nothing of before. Its entry
 * reaches the host late or not at all, and a word of an older start may come
 * after a newer one's. Orders go to an address: whichever start is there
 * carries them out and tells which one it is. Orders and answers may be lost.
 * Silence proves nothing: the host may take a stream for silent that lives.
 */
#define SOURCE 1
#define TARGET 2
#ifndef STARTS
#define STARTS 3
#endif

/* Engines, by number. */
byte life[3];               /* the start that is there now */
bit runs[3];                /* works on the run */
bit copied;                 /* the target holds the run's memory */
bit stopped;                /* the source keeps the stopped run's memory */
bit had[12];                /* a start has worked on the run: AT(e, life) */
#define AT(e, l) ((e) * 4 + (l))

/* The host. */
#define RUNNING 0
#define COPYING 1
#define STOPPING 2
#define WAITING 3           /* for the end of the source's stream */
#define OVER 4
byte phase;
byte known[3];              /* the start that is listed here */
byte at_life;               /* the start that the run is taken to be at */
byte source_life;           /* the start that the move was planned for */
byte target_life;
bit source_gone;            /* it has started again since */
bit target_gone;
bit has_copy;               /* the target is taken to hold the copy */
bit stream_ended;
bit resumed;
byte begun;                 /* times that the run was begun from nothing */

/* The order on its way, and its answer. */
#define NONE 0
#define ON_ITS_WAY 1
#define ANSWERED 2
#define LOST 3
byte order;
bit is_stop;
bit done;                   /* carried out: copied, or stopped */
byte answer_life;

/* A report on its way: whose it is, none: 0. */
byte report_of;
byte report_life;

/* The host hears that an engine has another start. */
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
  assert(!(runs[SOURCE] && runs[TARGET]));    /* never two at work */
  resumed = 1;
  phase = OVER
}

/* The answer to an order, if it is the word of the start that was asked. */
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
  :: !is_stop && !(done && !target_gone) -> phase = OVER  /* stays, or broke */
  :: is_stop && (done || source_gone) -> phase = WAITING
  :: is_stop && !done && !source_gone -> phase = OVER     /* it had ended */
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

  /* What the store tells, now or of before. */
  :: atomic { phase != OVER ->
       if
       :: select(l : 1 .. life[SOURCE]); hear(SOURCE, l)
       :: select(l : 1 .. life[TARGET]); hear(TARGET, l)
       fi }

  /* What an engine tells of itself. */
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

  /* The move. */
  :: atomic { phase == RUNNING && !source_gone && !stream_ended ->
       assert(had[AT(SOURCE, at_life)]);      /* taken for alive there */
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
       :: phase == COPYING -> phase = OVER    /* it stays where it is */
       :: phase == STOPPING -> phase = WAITING
       :: else -> skip
       fi }

  /* The stream's end: its connection's, or its silence after a new start. */
  :: atomic { !stream_ended && !runs[SOURCE] -> stream_ended = 1 }
  :: atomic { !stream_ended && source_gone -> stream_ended = 1 }
#if defined(SILENCE_IS_END)
  :: atomic { !stream_ended && phase == WAITING -> stream_ended = 1 }
#endif

  /* Going on: whoever is asked takes it only with the run's memory. */
  :: atomic { phase == WAITING && stream_ended && has_copy ->
       if
       :: copied -> copied = 0; begin_at(TARGET)
       :: !copied && stopped && !source_gone -> stopped = 0; begin_at(SOURCE)
       :: !copied && !(stopped && !source_gone) -> phase = OVER
       fi }
  :: atomic { phase == WAITING && stream_ended && !has_copy ->
       if
       :: stopped && !source_gone -> stopped = 0; begin_at(SOURCE)
       :: else -> phase = OVER                /* broken off */
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

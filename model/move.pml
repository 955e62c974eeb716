/*
 * Migration of a run between two engines while its caller reads the answer: one
 * host, the source engine, and the target engine to which the run's KV cache
 * ("memory") is copied.
 *
 * Engines may crash at any moment. An order may be lost, and so may the answer
 * to an executed order. The engine that resumes the run may start one event too
 * early or too late, may refuse, and may fail after it has started. An engine
 * that stops or crashes closes its stream without an end event; with a crash,
 * events that the host has not read may be lost.
 */
#ifndef EVENTS
#define EVENTS 3
#endif

#define SOURCE 1
#define TARGET 2

/* State of the engines, by SOURCE or TARGET. */
bit alive[3];
bit runs[3];                /* is executing the run */
byte made[3];               /* events generated, counted from the run's first */
bit framed[3];              /* its stream ended with an end event */
bit stopped;                /* the source keeps a stopped run's memory */
bit copied;                 /* the target holds the memory */
byte crashes;

/* State of the host. */
#define COPYING 0
#define STOPPING 1          /* the stop order was sent */
#define STOPPED 2           /* the order was answered, or its answer is lost */
#define MOVED 3             /* resume requested at the target or the source */
#define OVER 4
byte phase;
byte at;                    /* the engine whose stream is read */
byte read;                  /* events read from it, counted from the first */
bit stream_ended;           /* that stream closed without an end event */
bit has_handle;
bit began;                  /* the engine asked to resume has accepted */
byte passed;                /* events passed on to the caller */
bit whole;                  /* the caller's answer appears complete */

/* State of the stop order. */
#define NOT_SENT 0
#define ON_ITS_WAY 1
#define CARRIED_OUT 2
#define ANSWERED 3
#define LOST 4
byte order;

#if defined(RESUMES_WITHOUT_STREAM_END)
#define MAY_SEND_ON (phase == STOPPED && has_handle)
#elif defined(RESUMES_AFTER_COPY)
#define MAY_SEND_ON (phase >= STOPPING && has_handle && copied)
#else
#define MAY_SEND_ON (phase == STOPPED && has_handle && stream_ended)
#endif

#if defined(CLOSE_IS_END)
#define LOOKS_WHOLE(e) (framed[e] || !runs[e])
#else
#define LOOKS_WHOLE(e) (framed[e])
#endif

/* Receives an event with the number that the engine gave it. */
inline take_event(number) {
#if defined(DUPLICATE_TAKEN)
  if
  :: number > passed -> phase = OVER
  :: else ->
     assert(number == passed);
     passed++
  fi
#elif defined(GAP_TAKEN)
  if
  :: number < passed -> skip
  :: else ->
     assert(number == passed);
     passed++
  fi
#else
  if
  :: number < passed -> skip
  :: number > passed -> phase = OVER          /* gap: ends the answer */
  :: else ->
     assert(number == passed);
     passed++
  fi
#endif
}

/* An engine resumes the run. */
inline begin_at(engine) {
  runs[engine] = 1;
  framed[engine] = 0;
  assert(!(runs[SOURCE] && runs[TARGET]));    /* W: never two engines */
  at = engine;
  stream_ended = 0;
  began = 1;
  if
  :: made[engine] = passed
  :: passed > 0 -> made[engine] = passed - 1  /* repeats an event */
  :: passed + 1 < EVENTS -> made[engine] = passed + 1 /* skips an event */
  fi;
  read = made[engine]
}

proctype Engine(byte me) {
end:
  do
  :: runs[me] && made[me] < EVENTS -> made[me]++
  :: atomic { runs[me] && made[me] == EVENTS -> framed[me] = 1; runs[me] = 0 }
  :: atomic { alive[me] && crashes < 2 ->
       crashes++; alive[me] = 0; runs[me] = 0;
       if
       :: me == SOURCE -> stopped = 0
       :: else -> copied = 0
       fi }
  :: atomic { me == SOURCE && order == ON_ITS_WAY ->
       if
       :: alive[me] && runs[me] -> runs[me] = 0; stopped = 1; order = CARRIED_OUT
       :: else -> order = CARRIED_OUT
       fi }
  od
}

proctype Host() {
  do
  :: phase == OVER -> break

  /* Reads the stream. */
  :: atomic { phase != OVER && at != 0 && !stream_ended && read < made[at] ->
       take_event(read); read++ }
  :: atomic { phase != OVER && at != 0 && !stream_ended && !runs[at] &&
       LOOKS_WHOLE(at) && read == made[at] ->
       whole = 1; assert(passed == EVENTS); phase = OVER }
  :: atomic { phase != OVER && at != 0 && !stream_ended && !runs[at] &&
       !framed[at] && (read == made[at] || !alive[at]) ->
       stream_ended = 1;
       if
       :: phase == STOPPING || phase == STOPPED -> skip   /* possibly stopped */
       :: else -> phase = OVER                            /* failed */
       fi }

  /* Copies the memory, then stops the source. */
  :: atomic { phase == COPYING && alive[SOURCE] && alive[TARGET] && runs[SOURCE] ->
       copied = 1; has_handle = 1; phase = STOPPING; order = ON_ITS_WAY }
  :: atomic { phase == STOPPING && order == ON_ITS_WAY -> order = LOST }
  :: atomic { phase == STOPPING && order == CARRIED_OUT && alive[SOURCE] ->
       order = ANSWERED; phase = STOPPED }
  :: atomic { phase == STOPPING && (order == LOST || order == CARRIED_OUT) ->
       phase = STOPPED }                      /* no answer */

  /* Resumes the run. */
  :: atomic { MAY_SEND_ON && alive[TARGET] && copied ->
       has_handle = 0; phase = MOVED; at = 0; began = 0;
       if
       :: begin_at(TARGET)
       :: skip                                /* the target refuses: not run */
       fi }
  :: atomic { MAY_SEND_ON && !(alive[TARGET] && copied) ->
       has_handle = 0; phase = MOVED; at = 0; began = 0 }
#if defined(GOES_BACK_AFTER_BEGIN)
  :: atomic { phase == MOVED && stopped && alive[SOURCE] ->
#else
  :: atomic { phase == MOVED && !began && stopped && alive[SOURCE] ->
#endif
       stopped = 0; begin_at(SOURCE) }
  :: atomic { phase == MOVED && !began && !(stopped && alive[SOURCE]) ->
       phase = OVER }
  :: atomic { phase == STOPPED && stream_ended && !has_handle -> phase = OVER }
  od;
  /* The caller's answer is complete, or its connection was closed. */
  assert(!whole || passed == EVENTS)
#ifdef WITNESS
  ; assert(!(whole && began && at == TARGET))
#endif
}

init {
  atomic {
    alive[SOURCE] = 1; alive[TARGET] = 1; runs[SOURCE] = 1; at = SOURCE;
    run Engine(SOURCE); run Engine(TARGET); run Host()
  }
}

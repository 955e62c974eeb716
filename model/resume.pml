/*
 * Resuming a stream at another host: one caller, two hosts, an engine that may
 * restart at the same address.
 *
 * A host may read any token that any generation of the engine has produced so
 * far, in any order and any number of times. This covers lost, duplicated, late
 * and reordered events as well as another generation after an engine restart. A
 * host that is never scheduled again has crashed; one that is scheduled after
 * the caller has reconnected elsewhere was frozen.
 *
 * The caller reads one connection at a time, in order. When a connection
 * breaks, the events in flight and those written to it later are lost.
 */
#ifndef TOKENS
#define TOKENS 4            /* of generation 1; generation 2 has one fewer */
#endif
#ifndef RECONNECTS
#define RECONNECTS 4
#endif
#define LENGTH(g) ((g) == 1 -> TOKENS : TOKENS - 1)

/* Engine. */
bit alive[3];               /* by generation: the engine still has it */
byte made[3];               /* by generation: tokens produced so far */
byte generations;           /* number started; ids are never reused */

/* The caller's connection: its number, the host that serves it, and the event
 * in flight. */
#define NONE 0
#define HEADER 1            /* contains the resume token: the generation */
#define TOKEN 2
#define COMPLETE 3
#define INTERRUPTED 4
byte connection;
byte server;
byte kind, event_generation, event_index;

/* Caller. */
byte token_generation;      /* generation in its resume token; 0: none */
byte received;              /* tokens received: the next index it needs */
byte of_generation;         /* for assertions: generation of its tokens */
bit ended;                  /* it has received its outcome */

#ifdef WITNESS
byte resumed_at;
#endif

/* Whether a host forwards token n of generation g. */
#if defined(FOREIGN_TAKEN)
#define TAKES(g, n) (n == next)
#elif defined(DUPLICATE_TAKEN)
#define TAKES(g, n) (g == pinned && n <= next)
#elif defined(GAP_TAKEN)
#define TAKES(g, n) (g == pinned && n >= next)
#else
#define TAKES(g, n) (g == pinned && n == next)
#endif

/* Whether an answer may be restarted with a new generation. */
#if defined(RUNS_AGAIN_AFTER_TOKENS)
#define MAY_RUN_AGAIN (pinned != 0)
#elif defined(RUNS_AGAIN_AFTER_HEADER)
#define MAY_RUN_AGAIN (pinned != 0 && next == 0)
#else
#define MAY_RUN_AGAIN (pinned != 0 && !headed)
#endif

#if defined(END_NOT_COUNTED)
#define IS_WHOLE (next > 0)
#else
#define IS_WHOLE (next == LENGTH(pinned))
#endif

#if defined(SILENCE_IS_LOSS)
#define IS_LOST true
#else
#define IS_LOST (!alive[pinned])
#endif

inline start_generation() {
  generations++; alive[generations] = 1; pinned = generations
}

inline send(what, generation, index) {
  kind = what; event_generation = generation; event_index = index
}

inline clear_event() { kind = NONE; event_generation = 0; event_index = 0 }

inline connect() {
  clear_event();
  connection++;
  if
  :: server = 0
  :: server = 1
  fi
}

proctype Host(byte me) {
  byte mine;                /* number of the connection it serves */
  byte pinned;              /* generation of this answer */
  byte next;                /* index of the next token to forward */
  bit headed;               /* the header was sent */
  byte arrives, index;

end:
  do
  /* A request: new, or with a resume token and the last index. */
  :: atomic { server == me && connection != 0 && mine != connection ->
      mine = connection; pinned = token_generation;
      headed = (token_generation != 0);
#ifdef RESUMED_FROM_START
      next = 0;
#else
      next = received;
#endif
#ifdef WITNESS
      if
      :: received > 0 -> resumed_at = received
      :: else
      fi;
#endif
#ifdef GENERATION_BY_ADDRESS
      if
      :: token_generation == 1 && !alive[1] && generations == 2 -> pinned = 2
      :: token_generation == 1 && !alive[1] && generations == 1 ->
        start_generation()
      :: else
      fi
#endif
    }
  :: atomic { mine != 0 && pinned == 0 && generations < 2 ->
      start_generation() }
  :: atomic { mine != 0 && MAY_RUN_AGAIN && generations < 2 ->
      start_generation() }
  :: atomic { mine == connection && pinned != 0 && !headed && kind == NONE ->
      headed = 1; send(HEADER, pinned, 0) }
  :: atomic { mine == connection && headed && kind == NONE ->
      if
      :: arrives = 1
      :: arrives = 2
      fi;
      index = 0;
      do
      :: index + 1 < made[arrives] -> index++
      :: break
      od;
      if
      :: index < made[arrives] && TAKES(arrives, index) ->
        send(TOKEN, arrives, index);
        next = index + 1
      :: else               /* dropped; after a gap it rereads from next */
      fi;
      index = 0; arrives = 0 }
  /* The end event contains the token count; it may overtake tokens. */
  :: atomic { mine == connection && headed && kind == NONE && IS_WHOLE &&
      made[pinned] == LENGTH(pinned) ->
      send(COMPLETE, pinned, next);
#ifndef GOES_ON_AFTER_END
      pinned = 0; next = 0; headed = 0
#endif
    }
  /* The engine answers 404 for the pinned generation. */
  :: atomic { mine == connection && headed && kind == NONE && IS_LOST ->
      send(INTERRUPTED, pinned, next);
      pinned = 0; next = 0; headed = 0 }
  od
}

proctype Engine() {
end:
  do
  :: atomic { alive[1] && made[1] < LENGTH(1) -> made[1]++ }
  :: atomic { alive[2] && made[2] < LENGTH(2) -> made[2]++ }
  /* The engine restarts, or a generation is cancelled or reclaimed. */
  :: atomic { alive[1] || alive[2] -> alive[1] = 0; alive[2] = 0 }
  :: atomic { alive[1] && alive[2] ->
      if
      :: alive[1] = 0
      :: alive[2] = 0
      fi }
  od
}

proctype Caller() {
  byte left = RECONNECTS;

  atomic { connect() }
end:
  do
  :: atomic { kind == HEADER && !ended ->
      token_generation = event_generation; clear_event() }
  :: atomic { kind == TOKEN && !ended ->
      /* S: tokens 0..n arrive without gap or duplicate. */
      assert(event_index == received);
      /* G: all tokens are of a single generation. */
      assert(of_generation == 0 || of_generation == event_generation);
      received++; of_generation = event_generation; clear_event() }
  :: atomic { kind >= COMPLETE ->
      /* O: there is only one outcome. */
      assert(!ended);
      ended = 1;
      /* C: 'complete' is sent only if the answer is complete. */
      assert(kind != COMPLETE || received == LENGTH(event_generation));
      assert(kind != COMPLETE || of_generation == event_generation);
      /* I: 'interrupted' is sent only if the generation is gone. */
      assert(kind != INTERRUPTED || !alive[event_generation]);
#ifdef WITNESS
      assert(!(kind == COMPLETE && resumed_at == 2));
#endif
      clear_event() }
  :: atomic { left > 0 && !ended -> left--; connect() }
  od
}

init {
  atomic { run Engine(); run Host(0); run Host(1); run Caller() }
}

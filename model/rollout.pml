/*
 * A rollout of a version that proves bad at some time. Two hosts evaluate it
 * and tell all hosts how far it is; each of them may call it bad. Messages are
 * lost, late or doubled, a host's knowledge of an evaluating host expires, and
 * hosts restart with empty memory. The store keeps the status.
 *
 * B: a host that knows that the version was called bad, from any evaluating
 * host or from the store, sends it nothing more. T: a host that hears nobody
 * keeps to the share of the trial. S: what the store says is never replaced by
 * another decision, and a host that starts goes by it.
 */
#define HOSTS 2
#define EVALUATORS 2
#define MOST_TOLD 3

#define TRIAL 0
#define ALL 1
#define EMPTIED 2
#define BAD 3

#define RUNNING 0
#define COMPLETED 1
#define ROLLED_BACK 2

byte told[6];      /* stage of each message, by evaluating host */
byte count[EVALUATORS];
byte stage[EVALUATORS];
byte heard[4];     /* number of the last message taken, by host */
byte known[4];     /* its stage */
bool fresh[4];
bool called_bad[HOSTS];
bool was_told_bad[HOSTS]; /* what a host has been told, for the assertions */
byte status;
byte seen[HOSTS];   /* status that the host has read */
byte started;

#define MESSAGE(e, n) told[(e) * MOST_TOLD + (n) - 1]
#define AT(h, e) ((h) * EVALUATORS + (e))

#ifdef NOT_STICKY
#define IS_BAD(h) ((fresh[AT(h, 0)] && known[AT(h, 0)] == BAD) || \
                   (!fresh[AT(h, 0)] && fresh[AT(h, 1)] && \
                    known[AT(h, 1)] == BAD) || seen[h] == ROLLED_BACK)
#else
#define IS_BAD(h) (called_bad[h] || seen[h] == ROLLED_BACK)
#endif
/* The best evaluating host that is heard decides on the stage. */
#ifdef NEVER_EXPIRES
#define GUIDED_BY(h, e) (heard[AT(h, e)] > 0)
#else
#define GUIDED_BY(h, e) fresh[AT(h, e)]
#endif
#define STAGE_OF(h) (GUIDED_BY(h, 0) -> known[AT(h, 0)] : \
                     (GUIDED_BY(h, 1) -> known[AT(h, 1)] : TRIAL))

inline tell(e, next)
{
	stage[e] = next;
	count[e]++;
	MESSAGE(e, count[e]) = next
}

/* Takes a message that is newer than the last one from this host. */
inline take(h, e, n)
{
	if
	:: n > heard[AT(h, e)] ->
		heard[AT(h, e)] = n;
		known[AT(h, e)] = MESSAGE(e, n);
		fresh[AT(h, e)] = true;
		if
		:: MESSAGE(e, n) == BAD ->
			called_bad[h] = true;
			was_told_bad[h] = true
		:: else
		fi
	:: else
	fi
}

inline send_to_target(h)
{
	assert(!was_told_bad[h]);
	assert(STAGE_OF(h) == TRIAL || fresh[AT(h, 0)] || fresh[AT(h, 1)])
}

inline write(next)
{
#ifdef UNCONDITIONAL
	if
	:: status != RUNNING -> assert(status == next)
	:: else
	fi;
	status = next
#else
	if
	:: status == RUNNING -> status = next
	:: else
	fi
#endif
}

inline restart(h)
{
	started++;
	heard[AT(h, 0)] = 0; known[AT(h, 0)] = TRIAL; fresh[AT(h, 0)] = false;
	heard[AT(h, 1)] = 0; known[AT(h, 1)] = TRIAL; fresh[AT(h, 1)] = false;
	called_bad[h] = false;
	/* It serves once it has read the rollouts. */
#ifdef SERVES_UNREAD
	seen[h] = RUNNING;
#else
	seen[h] = status;
#endif
	was_told_bad[h] = (status == ROLLED_BACK)
}

active proctype fleet()
{
	byte h, e, n;
	do
	:: atomic {
		select(h : 0 .. 1);
		select(e : 0 .. 1);
		select(n : 1 .. 3);
		if
		:: count[e] < MOST_TOLD && stage[e] < EMPTIED ->
			tell(e, stage[e] + 1)
		:: count[e] < MOST_TOLD && stage[e] != BAD -> tell(e, BAD)
		:: n <= count[e] -> take(h, e, n)
		:: fresh[AT(h, e)] -> fresh[AT(h, e)] = false
		:: stage[e] == EMPTIED -> write(COMPLETED)
		:: stage[e] == BAD -> write(ROLLED_BACK)
		:: seen[h] = status;
		   if
		   :: status == ROLLED_BACK -> was_told_bad[h] = true
		   :: else
		   fi
		:: !IS_BAD(h) && seen[h] != COMPLETED -> send_to_target(h)
		:: started < 2 -> restart(h)
		fi;
		h = 0;
		e = 0;
		n = 0
	   }
#ifdef WITNESS
	:: assert(!(status == ROLLED_BACK && called_bad[0] && !called_bad[1] &&
	            started == 2))
#endif
	od
}

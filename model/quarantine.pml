/*
 * A content under which three servers have ended is sent to none any more by
 * any host that its peers have reached since. Hosts learn of ends from their
 * own runs, from words that may be lost or late, and by comparing what they
 * know; they are cut off and start anew with empty memory.
 *
 * A host is in touch once it has compared with each other one since the third
 * end, its own start and its last cut: what three seconds are for.
 */
#define HOSTS 3
#define ENOUGH 3
#define MOST_ENDS 4
#ifndef STARTS
#define STARTS 2
#endif

byte known[HOSTS];     /* ends, a bit each */
byte compared[HOSTS];  /* with whom, a bit each */
bool running[HOSTS];   /* a server runs it for this host */
bool cut[HOSTS];
byte ends;
byte starts;
byte cuts;

#define BIT(n) (1 << (n))
#define ALL (BIT(HOSTS) - 1)
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + \
                    (((set) >> 3) & 1))
#define ARE_TOLD(h) ((known[h] & ~(known[0] & known[1] & known[2])) == 0)
#define IN_TOUCH(h) ((compared[h] | BIT(h)) == ALL)
#ifdef GUARD_OUT
#define MAY_SEND(h) true
#else
#define MAY_SEND(h) (COUNT(known[h]) < ENOUGH)
#endif

inline forget(h)
{
	compared[h] = 0;
	for (other : 0 .. HOSTS - 1) {
		compared[other] = compared[other] & ~BIT(h)
	}
}

inline send(h)
{
	assert(!(ends >= ENOUGH && IN_TOUCH(h)));
	running[h] = true
}

inline end_server(h)
{
	running[h] = false;
	known[h] = known[h] | BIT(ends);
	ends++;
	if
	:: ends == ENOUGH ->
		for (other : 0 .. HOSTS - 1) {
			compared[other] = 0
		}
	:: else
	fi
}

inline compare(h, o)
{
#ifndef NOT_COMPARED
	known[h] = known[h] | known[o];
	known[o] = known[h];
#endif
	compared[h] = compared[h] | BIT(o);
	compared[o] = compared[o] | BIT(h)
}

active proctype fleet()
{
	byte other, h, o;
	do
	:: atomic {
		select(h : 0 .. 2);
		select(o : 0 .. 2);
		if
		:: !running[h] && MAY_SEND(h) && ends < MOST_ENDS -> send(h)
		:: running[h] && ends < MOST_ENDS -> end_server(h)
		/* a word: late, twice or never */
		:: h != o && !cut[h] && !cut[o] -> known[o] = known[o] | known[h]
		:: h != o && !cut[h] && !cut[o] -> compare(h, o)
		:: !cut[h] && cuts < 1 -> cut[h] = true; cuts++; forget(h)
		:: cut[h] -> cut[h] = false
		/* stopped as planned, once others know what it knows */
		:: starts < STARTS &&
#ifndef KILLED_AT_ONCE
		   !running[h] && ARE_TOLD(h) &&
#endif
		   !cut[h] ->
			starts++;
			running[h] = false;
			known[h] = 0;
#ifndef IN_TOUCH_AT_START
			forget(h)
#endif
		:: true -> skip
		fi;
		h = 0;
		o = 0;
		other = 0
	   }
#ifdef WITNESS
	:: assert(!(ends >= ENOUGH && IN_TOUCH(0) && IN_TOUCH(1) && starts == STARTS && cuts == 1))
#endif
	od
}

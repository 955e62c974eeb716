/*
 * Quarantine of a request content that crashes servers: after three crashes, no
 * host that has exchanged its records with its peers since sends the content to
 * a server any more. Hosts learn of crashes ("ends") from their own runs, from
 * gossip messages that may be lost or late, and from anti-entropy, in which two
 * hosts compare their records. Hosts may be partitioned from the others ("cut")
 * and may restart with empty memory.
 *
 * A host is in touch once it has compared records with every other host since
 * the third crash, since its own start and since its last partition; the real
 * system allows three seconds for this.
 */
#define HOSTS 3
#define ENOUGH 3
#define MOST_ENDS 4
#ifndef STARTS
#define STARTS 2
#endif

byte known[HOSTS];     /* crashes that the host knows of, as bits */
byte compared[HOSTS];  /* hosts that it compared records with, as bits */
bool running[HOSTS];   /* a server runs the content for this host */
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
		/* a gossip message: late, twice or never */
		:: h != o && !cut[h] && !cut[o] -> known[o] = known[o] | known[h]
		:: h != o && !cut[h] && !cut[o] -> compare(h, o)
		:: !cut[h] && cuts < 1 -> cut[h] = true; cuts++; forget(h)
		:: cut[h] -> cut[h] = false
		/* a planned restart, once all hosts have its records */
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

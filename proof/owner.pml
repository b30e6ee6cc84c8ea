/*
 * The handing on of one backend server from its owner A to a new owner B, and
 * the promise that an adapter that serves a request is never evicted. The
 * server checks no fencing number, so only the owners' rules protect it.
 *
 * The fold of the domain's stream has given the server to B; A reads that at
 * some later moment, or never. A's lease ends at LEASE by A's own clock. What
 * an owner sends is under way for at most FLIGHT ticks. Clocks differ by at
 * most BOUND. One adapter is looked at, which is resident at first.
 *
 * Each rule can be left out by a macro; the checker must then find a break:
 *   USE_AT_ONCE            B sends requests before A's lease is over
 *   NO_LEASE_CHECK         A does not look at the clock before it sends
 *   NO_FLIGHT_WAIT         B does not wait for what A has under way
 *   NO_CLOCK_BOUND         B takes A's deadline by its own clock exactly
 *   HANDOVER_WITH_ORDERS   A hands over while its order is under way
 *   EVICT_WITHOUT_REPORT   B evicts what it has not sent requests for, without
 *                          a report that the server is idle
 *   EARLY_REPORT           B takes any report as word that what was handed
 *                          over has ended
 */

#define LEASE 2
#define FLIGHT 1
#define BOUND 1
#define TICKS 8

#ifdef NO_FLIGHT_WAIT
#define WAIT 0
#else
#define WAIT FLIGHT
#endif
#ifdef NO_CLOCK_BOUND
#define SLACK 0
#else
#define SLACK BOUND
#endif

byte now;
byte skewA;
byte skewB;

/* The server. */
bool resident = true;
byte running;

/* What is under way: requests and orders, by sender, with the time by which
 * they have arrived or are lost. */
byte requestA;
byte requestABy;
byte requestB;
byte requestBBy;
bool orderA;
byte orderABy;
bool orderB;
byte orderBBy;

/* What each owner counts as running for it. */
byte inFlightA;
byte inFlightB;
/* How many of those at the server are A's. */
byte runningA;

bool toldA;
bool crashedA;
bool handedOver;
byte foreign;
byte foreignAt;
bool reportIdle;

#ifdef NO_LEASE_CHECK
#define LEASED true
#else
#define LEASED (CLOCKA < LEASE)
#endif
#ifdef HANDOVER_WITH_ORDERS
#define MAYHANDOVER true
#else
#define MAYHANDOVER (!orderA)
#endif
#ifdef USE_AT_ONCE
#define MAYUSE true
#else
#define MAYUSE USABLE
#endif
#ifdef EVICT_WITHOUT_REPORT
#define MAYEVICT true
#else
#define MAYEVICT (reportIdle && foreign == 0)
#endif
#ifdef EARLY_REPORT
#define ARRIVED 0
#else
#define ARRIVED (CLOCKB + FLIGHT)
#endif

#define CLOCKA (now + skewA)
#define CLOCKB (now + skewB)
#define NOTHINGLATE ((requestA == 0 || now < requestABy) && (requestB == 0 || now < requestBBy) && (!orderA || now < orderABy) && (!orderB || now < orderBBy))
#define USABLE (handedOver || CLOCKB >= LEASE + SLACK + WAIT)

proctype world() {
end:	do
	/* Nothing stays under way past its time. */
	:: atomic { now < TICKS && NOTHINGLATE -> now++ }

	/* A sends while it does not know better. */
	:: atomic { !toldA && !crashedA && !orderA && inFlightA < 1 && LEASED -> inFlightA++; requestA++; requestABy = now + FLIGHT }
	:: atomic { !toldA && !crashedA && !orderA && inFlightA == 0 && resident && LEASED -> orderA = true; orderABy = now + FLIGHT }
	:: atomic { !toldA && !crashedA -> toldA = true }
	:: atomic { !crashedA -> crashedA = true }
	:: atomic { toldA && !crashedA && !handedOver && MAYHANDOVER -> handedOver = true; foreign = inFlightA; foreignAt = ARRIVED }

	/* B sends by its own rules. */
	:: atomic { inFlightB < 1 && !orderB && MAYUSE -> inFlightB++; requestB++; requestBBy = now + FLIGHT }
	/* A report that the server is idle counts once nothing of A's can arrive. */
	:: atomic { USABLE && !reportIdle && running == inFlightB - requestB && (!handedOver || CLOCKB > foreignAt || foreign == 0) -> reportIdle = true; foreign = 0 }
	:: atomic { USABLE && inFlightB == 0 && !orderB && resident && MAYEVICT -> orderB = true; orderBBy = now + FLIGHT }

	/* The server. */
	:: atomic { requestA > 0 -> requestA--; if :: resident -> running++; runningA++ :: else -> inFlightA-- fi }
	:: atomic { requestA > 0 -> requestA--; inFlightA-- }
	:: atomic { requestB > 0 -> requestB--; if :: resident -> running++ :: else -> inFlightB-- fi }
	:: atomic { requestB > 0 -> requestB--; inFlightB-- }
	:: atomic { runningA > 0 -> runningA--; running--; inFlightA-- }
	:: atomic { running > runningA -> running--; inFlightB-- }
	:: atomic { orderA -> orderA = false; assert(running == 0); resident = false }
	:: atomic { orderB -> orderB = false; assert(running == 0); resident = false }
	:: atomic { orderA -> orderA = false }
	:: atomic { orderB -> orderB = false }
	/* Either owner loads it again. */
	:: atomic { !resident && !orderA && !orderB -> resident = true }
	od
}

init {
	atomic {
		if
		:: skewA = BOUND
		:: skewB = BOUND
		:: skip
		fi;
		run world()
	}
}

/*
 * The handover of one backend server from its owner A to a new owner B, and the
 * guarantee that an adapter that serves a request is never evicted. The server
 * checks no fencing number, so only the owners' rules protect it.
 *
 * The fold of the domain's stream has assigned the server to B; A reads that at
 * any later time, or never. A's lease ends at LEASE by A's own clock. A request
 * or an order is in flight for at most FLIGHT ticks. Clocks differ by at most
 * BOUND. The model has one adapter, which is resident at first.
 *
 * Invariant: the adapter is not unloaded while a request runs. Each macro leaves
 * out one rule; the checker must then find a violation:
 *   USE_AT_ONCE            B sends requests before A's lease has ended
 *   NO_LEASE_CHECK         A does not check its lease before it sends
 *   NO_FLIGHT_WAIT         B does not wait for A's messages in flight
 *   NO_CLOCK_BOUND         B compares A's deadline with its own clock without
 *                          allowing for clock differences
 *   HANDOVER_WITH_ORDERS   A hands over while its order is in flight
 *   EVICT_WITHOUT_REPORT   B evicts an adapter that it has no requests in
 *                          flight for, without a report of an idle server
 *   EARLY_REPORT           B accepts a report as evidence that A's requests have
 *                          ended while they may still arrive
 */

/* Times are in ticks. */
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

/* The state of the server: the adapter is resident, and requests running. */
bool resident = true;
byte running;

/* The requests and orders in flight, by sender, with the time by which each has
 * arrived or is lost. */
byte requestA;
byte requestABy;
byte requestB;
byte requestBBy;
bool orderA;
byte orderABy;
bool orderB;
byte orderBBy;

/* The requests that each owner counts as in flight. */
byte inFlightA;
byte inFlightB;
/* The number of A's requests among those running at the server. */
byte runningA;

/* True once A has read that the server belongs to B. */
bool toldA;
bool crashedA;
bool handedOver;
/* The number of A's requests at the handover, and the time by B's clock after
 * which a report covers them. */
byte foreign;
byte foreignAt;
/* True once B has accepted a report that the server runs no requests but B's. */
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
	/* Time does not pass the deadline of a message in flight. */
	:: atomic { now < TICKS && NOTHINGLATE -> now++ }

	/* A sends until it reads that B owns the server. */
	:: atomic { !toldA && !crashedA && !orderA && inFlightA < 1 && LEASED -> inFlightA++; requestA++; requestABy = now + FLIGHT }
	:: atomic { !toldA && !crashedA && !orderA && inFlightA == 0 && resident && LEASED -> orderA = true; orderABy = now + FLIGHT }
	:: atomic { !toldA && !crashedA -> toldA = true }
	:: atomic { !crashedA -> crashedA = true }
	:: atomic { toldA && !crashedA && !handedOver && MAYHANDOVER -> handedOver = true; foreign = inFlightA; foreignAt = ARRIVED }

	/* B sends requests and orders. */
	:: atomic { inFlightB < 1 && !orderB && MAYUSE -> inFlightB++; requestB++; requestBBy = now + FLIGHT }
	/* B accepts a report of no requests but its own once none of A's can arrive. */
	:: atomic { USABLE && !reportIdle && running == inFlightB - requestB && (!handedOver || CLOCKB > foreignAt || foreign == 0) -> reportIdle = true; foreign = 0 }
	:: atomic { USABLE && inFlightB == 0 && !orderB && resident && MAYEVICT -> orderB = true; orderBBy = now + FLIGHT }

	/* Requests and orders arrive at the server or are lost, and requests end. */
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
	/* An owner loads the adapter again. */
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

/*
 * The token budget protocol: holders claim shares of one pool through an
 * append-only log, use them by their own clocks, shrink, lend, crash and pause.
 *
 * The fold of the log grants each claim up to the free share. A holder may use
 * the minimum of its last confirmed claim (read back from the log) and its
 * unconfirmed claims, until its lease deadline. Appends are asynchronous: each
 * arrives at any later time, in any order, or never. Reads may be stale. Clocks
 * differ by at most BOUND.
 *
 * Invariants: the shares in use never exceed POOL; the tokens in buckets and
 * loans never exceed POOL; every spend would also be allowed by one bucket with
 * the full rate and burst. Each macro leaves out one rule; the checker must then
 * find a violation:
 *   USE_BEFORE_READBACK  a holder uses a claim before it is read back
 *   NO_DEADLINE_CHECK    a holder does not check its deadline before it spends
 *   LEND_BEFORE_DEDUCT   an open loan is not deducted from the lender's bucket
 *   FULL_BUCKET          the bucket of a share that has grown starts full
 *   IGNORE_UNSETTLED     a holder uses its last confirmed claim and ignores
 *                        smaller claims that are not yet confirmed
 *   ANY_SEQUENCE         the fold applies claims out of sequence order
 *   NO_CLOCK_BOUND       the fold expires a share exactly at its deadline,
 *                        without allowing for clock differences
 */

/* Times are in ticks. POOL is both the rate of the pool, in tokens per tick, and
 * its burst. Each holder makes up to CLAIMS claims. */
#define HOLDERS 2
#define POOL 2
#define LEASE 3
#define BOUND 2
#ifndef CLAIMS
#define CLAIMS 2
#endif
#ifndef TICKS
#define TICKS 4
#endif

#ifdef NO_CLOCK_BOUND
#define SLACK 0
#else
#define SLACK BOUND
#endif

byte now;

/* The state that the fold of the complete log has for each holder. */
byte foldSequence[HOLDERS];
byte foldShare[HOLDERS];
byte foldDeadline[HOLDERS];

/* The claims made, indexed by holder and sequence number; flying claims have been
 * sent and have not arrived in the log. */
byte madeShare[HOLDERS * CLAIMS];
byte madeStamp[HOLDERS * CLAIMS];
bool flying[HOLDERS * CLAIMS];

/* The local state of each holder: its last sequence number, the claim read back
 * last, the fill level of its bucket and its clock skew. */
byte made[HOLDERS];
byte readSequence[HOLDERS];
byte readShare[HOLDERS];
byte readDeadline[HOLDERS];
byte level[HOLDERS];
byte skew[HOLDERS];
bool crashed[HOLDERS];

/* The tokens left in a reference bucket with the full rate and burst, which the
 * invariant on spends compares with. */
byte oracle = POOL;

/* The state of the only loan, of one token: NONE, FLYING (sent, not yet received),
 * or DEPOSITED (received, and still deducted from the lender's cap). */
#define NONE 0
#define FLYING 1
#define DEPOSITED 2
byte loan;
bool lentBefore;
byte loanFrom;
byte loanTo;
byte loanDeadline;

#define CLOCK(h) (now + skew[h])
#define MADE(h, n) ((h) * CLAIMS + (n) - 1)

/* usable sets result to the share that holder h may use now. */
inline usable(h, result) {
	result = readShare[h];
	n = readSequence[h] + 1;
	do
	:: n <= made[h] ->
#ifdef USE_BEFORE_READBACK
		result = madeShare[MADE(h, n)];
#else
#ifndef IGNORE_UNSETTLED
		if
		:: madeShare[MADE(h, n)] < result -> result = madeShare[MADE(h, n)]
		:: else
		fi;
#endif
#endif
		n++
	:: else -> break
	od;
#ifndef NO_DEADLINE_CHECK
#ifdef USE_BEFORE_READBACK
	if
	:: made[h] > 0 && CLOCK(h) >= madeStamp[MADE(h, made[h])] + LEASE -> result = 0
	:: else
	fi;
#else
	if
	:: CLOCK(h) >= readDeadline[h] -> result = 0
	:: else
	fi;
#endif
#endif
	if
	:: crashed[h] -> result = 0
	:: else
	fi;
	n = 0
}

/* lent sets result to the tokens that holder h has lent and its share must cover. */
inline lent(h, result) {
	result = 0;
#ifndef LEND_BEFORE_DEDUCT
	if
	:: loan != NONE && loanFrom == h && CLOCK(h) <= loanDeadline + BOUND -> result = 1
	:: else
	fi
#endif
}

/* trim limits each bucket to its cap and checks the invariants on shares in use
 * and on tokens. */
inline trim() {
	parts = 0;
	tokens = 0;
	i = 0;
	do
	:: i < HOLDERS ->
		usable(i, share);
		lent(i, out);
		parts = parts + share;
		if
		:: share < out -> share = 0
		:: else -> share = share - out
		fi;
		if
		:: level[i] > share -> level[i] = share
		:: else
		fi;
		tokens = tokens + level[i];
		i++
	:: else -> break
	od;
	if
	:: loan == FLYING && CLOCK(loanTo) <= loanDeadline -> tokens++
	:: else
	fi;
	assert(parts <= POOL);
	assert(tokens <= POOL);
	i = 0;
	parts = 0;
	tokens = 0;
	share = 0;
	out = 0
}

/* claim sends holder h's next claim, which is at least the tokens it has lent. */
inline claim(h) {
	lent(h, out);
	if
	:: share = 0
	:: share = POOL
	fi;
	if
	:: share < out -> share = out
	:: else
	fi;
	made[h]++;
	madeShare[MADE(h, made[h])] = share;
	madeStamp[MADE(h, made[h])] = CLOCK(h);
	flying[MADE(h, made[h])] = true;
	share = 0;
	out = 0;
	trim()
}

/* arrive appends holder h's claim with sequence number s to the log and applies
 * it to the fold. */
inline arrive(h, s) {
	flying[MADE(h, s)] = false;
	if
#ifdef ANY_SEQUENCE
	:: true ->
#else
	:: s > foldSequence[h] ->
#endif
		other = 1 - h;
		free = POOL;
		if
		:: foldDeadline[other] + SLACK >= madeStamp[MADE(h, s)] && foldSequence[other] > 0 -> free = POOL - foldShare[other]
		:: else
		fi;
		if
		:: madeShare[MADE(h, s)] < free -> free = madeShare[MADE(h, s)]
		:: else
		fi;
		foldSequence[h] = s;
		foldShare[h] = free;
		foldDeadline[h] = madeStamp[MADE(h, s)] + LEASE;
		free = 0;
		other = 0
	:: else
	fi;
	/* Values that no rule reads again are cleared to reduce the state space. */
#ifndef USE_BEFORE_READBACK
	madeStamp[MADE(h, s)] = 0;
#endif
	if
	:: crashed[h] -> madeShare[MADE(h, s)] = 0
	:: else
	fi;
	trim()
}

/* read updates holder h to the end of the log. */
inline read(h) {
#ifdef FULL_BUCKET
	if
	:: foldSequence[h] > readSequence[h] && foldShare[h] > readShare[h] -> level[h] = foldShare[h]
	:: else
	fi;
#endif
	if
	:: true ->
		readSequence[h] = foldSequence[h];
		readShare[h] = foldShare[h];
		readDeadline[h] = foldDeadline[h]
	fi;
	trim()
}

/* lend lends one token to the other holder. world checks MAYLEND first, so that
 * the loan is over before the lender's share ends. */
inline lend(h) {
	loan = FLYING;
	lentBefore = true;
	loanFrom = h;
	loanTo = 1 - h;
	loanDeadline = CLOCK(1 - h);
#ifndef LEND_BEFORE_DEDUCT
	level[h]--;
#endif
	trim()
}

/* tick advances time by one and refills each bucket by its share, up to its cap. It
 * closes a loan that is over by both clocks. */
inline tick() {
	now++;
	oracle = POOL;
	i = 0;
	do
	:: i < HOLDERS ->
		usable(i, share);
		level[i] = level[i] + share;
		i++
	:: else -> break
	od;
	share = 0;
	i = 0;
	trim();
	if
	:: loan != NONE && CLOCK(loanTo) > loanDeadline && CLOCK(loanFrom) > loanDeadline + BOUND ->
		loan = NONE;
		loanDeadline = 0;
		loanFrom = 0;
		loanTo = 0
	:: else
	fi
}

/* spend spends the tokens that holder h may use by its own clock and checks
 * the invariant on spends. */
inline spend(h) {
	trim();
	if
	:: level[h] > 0 ->
		assert(oracle >= level[h]);
		oracle = oracle - level[h];
		level[h] = 0
	:: else
	fi
}

/* deposit adds the loan to the borrower's bucket, up to its cap. */
inline deposit() {
	usable(loanTo, share);
	if
	:: level[loanTo] < share -> level[loanTo]++
	:: else
	fi;
	share = 0;
	loan = DEPOSITED;
	trim()
}

/* crash stops holder h for good and clears its state. Claims already sent may
 * still arrive. */
inline crash(h) {
	crashed[h] = true;
	level[h] = 0;
	readShare[h] = 0;
	readSequence[h] = 0;
	readDeadline[h] = 0;
	n = 1;
	do
	:: n <= CLAIMS ->
		if
		:: !flying[MADE(h, n)] -> madeShare[MADE(h, n)] = 0; madeStamp[MADE(h, n)] = 0
		:: else
		fi;
		n++
	:: else -> break
	od;
	n = 0;
	trim()
}

/* MAYLEND is true if a loan would be over by every clock before the deadline of
 * the share that it is lent from. */
#ifdef LEND_BEFORE_DEDUCT
#define MAYLEND(h) true
#else
#define MAYLEND(h) (readDeadline[h] > CLOCK(1 - h) + BOUND)
#endif

proctype world() {
	/* Scratch variables of the inlines. */
	byte n, i, parts, tokens, share, out, other, free;
end:	do
	:: atomic { now < TICKS -> tick() }
	:: atomic { !crashed[0] && made[0] < CLAIMS -> claim(0) }
	:: atomic { !crashed[1] && made[1] < CLAIMS -> claim(1) }
	:: atomic { flying[0] -> arrive(0, 1) }
	:: atomic { flying[1] -> arrive(0, 2) }
	:: atomic { flying[CLAIMS] -> arrive(1, 1) }
	:: atomic { flying[CLAIMS + 1] -> arrive(1, 2) }
	:: atomic { !crashed[0] && readSequence[0] != foldSequence[0] -> read(0) }
	:: atomic { !crashed[1] && readSequence[1] != foldSequence[1] -> read(1) }
	:: atomic { !crashed[0] && level[0] > 0 -> spend(0) }
	:: atomic { !crashed[1] && level[1] > 0 -> spend(1) }
	:: atomic { !crashed[0] && !lentBefore && level[0] > 0 && MAYLEND(0) -> lend(0) }
	:: atomic { !crashed[1] && !lentBefore && level[1] > 0 && MAYLEND(1) -> lend(1) }
	:: atomic { loan == FLYING && CLOCK(loanTo) <= loanDeadline && !crashed[loanTo] -> deposit() }
	:: atomic { !crashed[0] && !crashed[1] -> crash(0) }
	:: atomic { !crashed[0] && !crashed[1] -> crash(1) }
	od
}

init {
	atomic {
		/* Holders are symmetric, so only holder 0's clock needs to run ahead. */
		if
		:: skew[0] = BOUND
		:: skip
		fi;
		run world()
	}
}

/*
 * The core of the token budget: holders claim parts of one pool through an
 * append-only log, use them by their own clocks, shrink, lend, crash and pause.
 *
 * One fold of the log grants each claim up to what is free. A holder uses the
 * smallest of its last claim read back and of its claims not read back yet,
 * until its deadline. Appends fly: each arrives at any later moment, in any
 * order, or never. Readers lag. Clocks differ by at most BOUND.
 *
 * Checked: the parts in use never exceed POOL, and neither do the tokens at
 * hand in buckets and loans; and all that is spent would have been allowed by
 * one bucket of the whole rate and burst. Each rule can be left out by a macro; the checker
 * must then find a break:
 *   USE_BEFORE_READBACK  a holder uses a claim as soon as it is made
 *   NO_DEADLINE_CHECK    a holder does not look at the clock when it spends
 *   LEND_BEFORE_DEDUCT   a lender's bucket is not lowered while a loan is out
 *   FULL_BUCKET          a grown holding starts with a full bucket
 *   IGNORE_UNSETTLED     a holder uses what it read back last, whatever it
 *                        has claimed since
 *   ANY_SEQUENCE         the fold takes claims in any order
 *   NO_CLOCK_BOUND       the fold expires a holding at its deadline exactly
 */

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

/* The log, as what its fold holds for each holder at the log's end. */
byte foldSequence[HOLDERS];
byte foldShare[HOLDERS];
byte foldDeadline[HOLDERS];

/* Claims that were made, by holder and sequence number less one. */
byte madeShare[HOLDERS * CLAIMS];
byte madeStamp[HOLDERS * CLAIMS];
bool flying[HOLDERS * CLAIMS];

/* What each holder knows. */
byte made[HOLDERS];
byte readSequence[HOLDERS];
byte readShare[HOLDERS];
byte readDeadline[HOLDERS];
byte level[HOLDERS];
byte skew[HOLDERS];
bool crashed[HOLDERS];

/* What one bucket of the whole rate and burst would still allow. */
byte oracle = POOL;

/* One loan of a token may be out: NONE, FLYING, or DEPOSITED while the
 * lender's cap is still lowered. */
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

/* usable is what holder h may use now. */
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

/* lent is what holder h has lent out and must keep room for. */
inline lent(h, result) {
	result = 0;
#ifndef LEND_BEFORE_DEDUCT
	if
	:: loan != NONE && loanFrom == h && CLOCK(h) <= loanDeadline + BOUND -> result = 1
	:: else
	fi
#endif
}

/* trim cuts each bucket to its cap, and checks the two invariants. */
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

/* claim makes holder h's next claim; it covers what is lent out. */
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

/* arrive folds the claim with sequence number s of holder h into the log. */
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
	/* What no rule looks at any more is cleared, to keep the states few. */
#ifndef USE_BEFORE_READBACK
	madeStamp[MADE(h, s)] = 0;
#endif
	if
	:: crashed[h] -> madeShare[MADE(h, s)] = 0
	:: else
	fi;
	trim()
}

/* read brings holder h up to the log's end. */
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

/* lend moves one token to the other holder if it is over in time. */
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

/* tick lets time pass; buckets fill by their parts, up to their caps. */
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

/* spend takes all tokens at hand, by the holder's own clock. */
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

/* deposit puts the loan into the borrower's bucket, up to its cap. */
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

/* MAYLEND is the rule that a loan is over everywhere before the part that it
 * comes from ends. */
#ifdef LEND_BEFORE_DEDUCT
#define MAYLEND(h) true
#else
#define MAYLEND(h) (readDeadline[h] > CLOCK(1 - h) + BOUND)
#endif

proctype world() {
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
		/* Holders are alike, so it does not matter whose clock is ahead. */
		if
		:: skew[0] = BOUND
		:: skip
		fi;
		run world()
	}
}

/*
 * A call of a plain service that may run at most once, sent twice under one idempotency key through two gateways:
 * record before dispatch, lost and late answers of the table, gateways that die at any step, and what the caller is told.
 *
 * Each action names the function that carries it out. Mutants: NO_RECORD, READ_AS_OWN, RERUN_UNANSWERED, NOT_RUN_AFTER_SEND.
 */

#define GATEWAYS 2
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

/* record states */
#define ABSENT 0
#define STARTED 1
#define ANSWERED 2
/* answers of the table */
#define OK 1
#define CONFLICT 2
#define LOST 3
#define UNAVAILABLE 4
/* what a caller is told */
#define NOTHING 0
#define WHOLE 1
#define NOT_RUN 2
#define IN_PROGRESS 3
#define UNKNOWN 4

byte record = ABSENT;
byte attempt = 0;            /* who made the record: 1 + the gateway's number */
bool late[GATEWAYS];         /* a put-if-absent that may still take effect */
bool alive[GATEWAYS];
byte runs = 0;               /* at the endpoint */
byte sent[GATEWAYS];         /* dispatches by each gateway */
byte told[GATEWAYS];
byte losses = 0;
byte crashes = 0;

/* putStart is call.Store.Start: put-if-absent of the record, with the attempt's id. */
inline putStart(g, answer)
{
	atomic {
		if
		:: record == ABSENT -> record = STARTED; attempt = g + 1; answer = OK
		:: record == ABSENT && losses < LOSSES -> losses++; record = STARTED; attempt = g + 1; answer = LOST
		:: losses < LOSSES && !late[g] -> losses++; late[g] = true; answer = LOST
		:: record != ABSENT -> answer = CONFLICT
		:: losses < LOSSES -> losses++; answer = UNAVAILABLE
		fi
	}
}

active proctype Late()
{
end:	do
	:: atomic { late[0] -> late[0] = false; if :: record == ABSENT -> record = STARTED; attempt = 1 :: else -> skip fi }
	:: atomic { late[1] -> late[1] = false; if :: record == ABSENT -> record = STARTED; attempt = 2 :: else -> skip fi }
	od
}

inline die(g)
{
	atomic { crashes < CRASHES -> crashes++; alive[g] = false; goto dead }
}

proctype Gateway(byte g)
{
	byte answer = 0;
	byte seen = 0;
	bool mine = false;

	/* call.Store.Start; an unknown outcome is settled by the same put again, then by reading the record back */
	putStart(g, answer);
	if
	:: die(g)
	:: answer == LOST ->
#ifdef READ_AS_OWN
		atomic { if :: record == STARTED -> answer = OK :: else -> skip fi };
#endif
		if
		:: answer == LOST -> putStart(g, answer)
		:: else -> skip
		fi
	:: answer != LOST -> skip
	fi;
	if
	:: answer == OK -> mine = true
	:: answer == CONFLICT -> atomic { seen = record; mine = (record == STARTED && attempt == g + 1) }
	:: answer == LOST -> told[g] = UNKNOWN; goto done
	:: answer == UNAVAILABLE ->
#ifdef NO_RECORD
		mine = true
#else
		told[g] = NOT_RUN; goto done
#endif
	fi;
#ifdef RERUN_UNANSWERED
	if
	:: !mine && seen == STARTED && !alive[1 - g] -> mine = true
	:: else -> skip
	fi;
#endif
	if
	:: !mine && seen == ANSWERED -> told[g] = WHOLE; goto done
	:: !mine && seen == STARTED && alive[1 - g] -> told[g] = IN_PROGRESS; goto done
	:: !mine && seen == STARTED && !alive[1 - g] -> told[g] = UNKNOWN; goto done
	:: mine -> skip
	fi;

	/* router.Router.Do: an endpoint that is left, not reached, or reached without an answer */
	if
	:: die(g)
	:: skip
	fi;
	if
	:: atomic { sent[g]++; runs++; assert(runs <= 1) };
		if
		:: die(g)
		:: skip
		:: /* the endpoint's answer broke off */
#ifdef NOT_RUN_AFTER_SEND
			told[g] = NOT_RUN;
#else
			told[g] = UNKNOWN;
#endif
			goto done
		fi;
		/* call.Store.Finish: the answer is kept before the caller has it */
		record = ANSWERED;
		told[g] = WHOLE
	:: /* request.Ticket.Undispatch: not a byte went out; the record stays, so that no resend runs it meanwhile */
		told[g] = NOT_RUN
	fi;
done:	/* a refusal that says "not run" is true: of this attempt, now and later */
	assert(told[g] != NOT_RUN || sent[g] == 0);
dead:	skip
}

init
{
	atomic {
		alive[0] = true;
		alive[1] = true;
		run Gateway(0);
		run Gateway(1)
	}
}

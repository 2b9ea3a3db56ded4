/*
 * A call of a plain service that may run at most once. The caller sends it twice with the same idempotency key, through
 * two gateways. The model covers the record that is written before dispatch, table answers that are lost, writes that
 * take effect late, gateways that crash at any step, and the response to the caller.
 *
 * Each action names the Go function that it models.
 *
 * Mutants:
 *   NO_RECORD           runs the call without a record if the table is unavailable
 *   READ_AS_OWN         after a lost answer, takes any started record for its own
 *   RERUN_UNANSWERED    runs a call again that the other gateway started before it crashed
 *   NOT_RUN_AFTER_SEND  answers "not run" although the request was sent
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
/* outcomes of a table operation */
#define OK 1
#define CONFLICT 2
#define LOST 3
#define UNAVAILABLE 4
/* responses to the caller; WHOLE is the service's answer */
#define NOTHING 0
#define WHOLE 1
#define NOT_RUN 2
#define IN_PROGRESS 3
#define UNKNOWN 4

byte record = ABSENT;
byte attempt = 0;            /* the writer of the record: 1 + the gateway's number */
bool late[GATEWAYS];         /* a put-if-absent without an answer that may still take effect */
bool alive[GATEWAYS];
byte runs = 0;               /* executions at the endpoint */
byte sent[GATEWAYS];         /* dispatches by gateway */
byte told[GATEWAYS];         /* the response to the caller, by gateway */
byte losses = 0;
byte crashes = 0;

/* putStart models call.Calls.put: a put-if-absent of the record, which holds the id of the attempt. */
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

/* Late lets a write take effect that its writer got no answer to. */
active proctype Late()
{
end:	do
	:: atomic { late[0] -> late[0] = false; if :: record == ABSENT -> record = STARTED; attempt = 1 :: else -> skip fi }
	:: atomic { late[1] -> late[1] = false; if :: record == ABSENT -> record = STARTED; attempt = 2 :: else -> skip fi }
	od
}

/* die lets the gateway crash. */
inline die(g)
{
	atomic { crashes < CRASHES -> crashes++; alive[g] = false; goto dead }
}

proctype Gateway(byte g)
{
	byte answer = 0;
	byte seen = 0;
	bool mine = false;

	/* call.Calls.Begin and put: after an unknown outcome, the same put is sent again; on a conflict, call.Calls.readBack
	 * reads whose attempt the record holds */
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

	/* router.Router.Do: the endpoint answers, is not reached, or is reached and its answer breaks off */
	if
	:: die(g)
	:: skip
	fi;
	if
	:: atomic { sent[g]++; runs++; assert(runs <= 1) };
		if
		:: die(g)
		:: skip
		:: /* the endpoint's answer breaks off */
#ifdef NOT_RUN_AFTER_SEND
			told[g] = NOT_RUN;
#else
			told[g] = UNKNOWN;
#endif
			goto done
		fi;
		/* call.Claim.Finish: the answer is stored before the caller gets it */
		record = ANSWERED;
		told[g] = WHOLE
	:: /* request.Ticket.Undispatch: no byte was sent; the record stays, so that no resend runs the call meanwhile */
		told[g] = NOT_RUN
	fi;
done:	/* a response "not run" is true: this attempt has not run and never will */
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

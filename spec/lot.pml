/*
 * The life cycle of one lot. A lot is a group of items of a batch job that one dispatcher claims and runs at a time. The
 * model covers claims, the lapse of a paused holder's session, fencing, checkpoints, commits whose answers are lost or
 * that take effect late, cancellation, crashes and takeovers, and the start of an item that may run at most once.
 *
 * Freeing a lot with its progress, splitting it, and counting how often it was handed on to another dispatcher (hops)
 * are not modelled here; job.TestModelOfClaims covers them.
 *
 * Each action names the Go function that it models. A mutant (-D...) removes one mechanism; check.sh requires that the
 * model holds and that every mutant fails.
 *
 * Item 0 may be repeated; item 1 may run at most once. A write may be lost before it takes effect, its answer may be
 * lost after it takes effect, or it may take effect late, after its writer has stopped waiting.
 */

#ifndef DISPATCHERS
#define DISPATCHERS 2
#endif
/* bounds of the injected faults: crashes, lost requests or answers, and live sessions that are ended by mistake */
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef SUSPICIONS
#define SUSPICIONS 1
#endif
#define SESSIONS 4         /* sessions are numbered from 1 to SESSIONS - 1 */
#define CLAIMS 10          /* size of progress; larger than the number of claims that can occur */
/* sets of items, as bits */
#define REPEATABLE 1
#define ONCE 2
#define ALL 3

/* lot states */
#define FREE 0
#define CLAIMED 1
#define DONE 2
/* job states */
#define RUNNING 0
#define CANCELLING 1
#define COMPLETED 2
#define CANCELLED 3
/* outcomes of a commit */
#define OK 1
#define CONFLICT 2
#define LOST 3
/* kinds of write */
#define NONE 0
#define CLAIM 1
#define SAVE 2
#define COMPLETE 3

/* State of the table. */
byte lotVersion = 0;
byte lotState = FREE;
byte lotSession = 0;
byte savedResults = 0;
byte savedStarted = 0;
byte doneResults = 0;
byte claims = 0;
byte progress[CLAIMS];    /* by number of the claim, the checkpoint object with the finished repeatable items; it
                           * is written without a fencing check */
byte jobVersion = 1;      /* version of the job's row and of its active row, which lists a running job. The two are
                           * only written together, and every claim checks the version. */
byte jobState = RUNNING;
bool ended[SESSIONS];
byte nextSession = 1;

/* At most one write per dispatcher that got no answer and may still take effect. */
byte lateKind[DISPATCHERS];
byte lateVersion[DISPATCHERS];
byte lateJob[DISPATCHERS];
byte lateSession[DISPATCHERS];
byte lateResults[DISPATCHERS];
byte lateStarted[DISPATCHERS];

/* Counts of events and of the injected faults, of which there are at most CRASHES, LOSSES and SUSPICIONS, and the
 * sessions whose process crashed. */
byte runsOnce = 0;
byte completions = 0;
byte crashes = 0;
byte losses = 0;
byte suspicions = 0;
bool crashed[SESSIONS];

/* lotHolds and jobHolds are the conditions of the writes of job.Store.Claim, Save and Complete. */
#ifdef NO_FENCE
#define lotHolds(version) (true)
#else
#define lotHolds(version) (lotVersion == version && lotState != DONE)
#endif
#ifdef NO_CANCEL_CHECK
#define jobHolds(kind, job) (true)
#else
#define jobHolds(kind, job) (kind != CLAIM || jobVersion == job)
#endif

/* claimable models dispatcher.Dispatcher.findClaimable. A lot that is claimed by the dispatcher's own session but not
 * held is one whose claim was not answered; the dispatcher claims it again. */
#ifdef NO_ADOPT
#define adopts(session) (false)
#else
#define adopts(session) (lotSession == session)
#endif
#define claimable(session) ((lotState == FREE && jobState == RUNNING) || \
	(lotState == CLAIMED && jobState < COMPLETED && (ended[lotSession] || adopts(session))))
#define finishable ((jobState == RUNNING && lotState == DONE) || (jobState == CANCELLING && lotState != CLAIMED))

/* take applies a write to the table. */
inline take(kind, session, results, started)
{
	if
	:: kind == CLAIM ->
		/* A lot that was never claimed is not claimed once a cancellation is committed. In Go, a lot that was freed with
		 * progress may be, so that its results are stored (dispatcher.Dispatcher.isFree). */
		assert(!(jobState == CANCELLING && lotState == FREE));
		lotState = CLAIMED;
		lotSession = session;
		claims++
	:: kind == SAVE ->
		savedResults = results;
		savedStarted = started
	:: kind == COMPLETE ->
		lotState = DONE;
		doneResults = results;
		completions++;
		assert(completions == 1)
	fi;
	lotVersion++
}

/* commit models tablestore.Table.Commit of one write. Its request or its answer may be lost, or it may
 * take effect late. */
inline commit(d, kind, version, job, session, results, started, answer)
{
	atomic {
		if
		:: lotHolds(version) && jobHolds(kind, job) -> take(kind, session, results, started); answer = OK
		:: lotHolds(version) && jobHolds(kind, job) && losses < LOSSES ->
			losses++; take(kind, session, results, started); answer = LOST
		:: !(lotHolds(version) && jobHolds(kind, job)) -> answer = CONFLICT
		:: losses < LOSSES && lateKind[d] == NONE ->
			losses++;
			lateKind[d] = kind; lateVersion[d] = version; lateJob[d] = job;
			lateSession[d] = session; lateResults[d] = results; lateStarted[d] = started;
			answer = LOST
		fi
	}
}

/* settle models job.Store.settle: after an unknown outcome, the same conditional write is sent again. On a conflict, the
 * row tells whether the first write took effect. */
inline settle(d, kind, version, job, session, results, started, answer)
{
	commit(d, kind, version, job, session, results, started, answer);
	if
	:: answer == LOST ->
		commit(d, kind, version, job, session, results, started, answer);
		if
		:: answer == CONFLICT ->
			atomic {
				if
				:: kind == COMPLETE && lotState == DONE && lotSession == session -> answer = OK
				:: kind != COMPLETE && lotVersion == version + 1 && lotSession == session && lotState == CLAIMED -> answer = OK
				:: else -> skip
				fi
			}
		:: else -> skip
		fi
	:: else -> skip
	fi
}

/* Late lets a write take effect after its writer has stopped waiting. */
active proctype Late()
{
	byte d;
end:	do
	:: atomic {
		lateKind[0] != NONE || lateKind[1] != NONE ->
		if
		:: lateKind[0] != NONE -> d = 0
		:: lateKind[1] != NONE -> d = 1
		fi;
		if
		:: lotHolds(lateVersion[d]) && jobHolds(lateKind[d], lateJob[d]) ->
			take(lateKind[d], lateSession[d], lateResults[d], lateStarted[d])
		:: else -> skip
		fi;
		lateKind[d] = NONE; lateVersion[d] = 0; lateJob[d] = 0;
		lateSession[d] = 0; lateResults[d] = 0; lateStarted[d] = 0;
		d = 0
	}
	od
}

/* Dispatcher models dispatcher.Dispatcher with its lease.Sessions. */
proctype Dispatcher(byte d)
{
	byte session = 0;
	byte version = 0;
	byte job = 0;
	byte results = 0;
	byte started = 0;
	byte answer = 0;
	byte seenState = 0;
	byte claim = 0;
	bool held = false;
	bool cancelled = false;

end:	do
	/* lease.Sessions.renew: a new session */
	:: atomic { session == 0 && nextSession < SESSIONS && jobState < COMPLETED ->
		session = nextSession;
		nextSession++
	}

	/* dispatcher.Dispatcher.claim and job.Store.Claim: read the active row, then the lot, then commit */
	:: session != 0 && !held && claimable(session) ->
		d_step { job = jobVersion; cancelled = (jobState == CANCELLING) };
		d_step { version = lotVersion; results = savedResults | progress[claims]; started = savedStarted; seenState = lotState; claim = claims + 1;
			/* another session has claimed the lot in the meantime: treat it as not claimable */
			if
			:: lotState == CLAIMED && !ended[lotSession] && !adopts(session) -> seenState = DONE
			:: else -> skip
			fi
		};
		if
		:: seenState == CLAIMED || (seenState == FREE && !cancelled) ->
			settle(d, CLAIM, version, job, session, results, started, answer);
			if
			:: answer == OK -> d_step {
					held = true;
					version++;
					/* dispatcher.run.load: a started item without a result ends with the result "outcome unknown" */
#ifdef NO_OUTCOME_UNKNOWN
					started = 0
#else
					results = results | (started & ONCE)
#endif
				}
			:: else -> skip
			fi
		:: else -> skip
		fi;
		d_step { seenState = 0; answer = 0; job = 0;
			if
			:: !held -> version = 0; claim = 0; results = 0; started = 0; cancelled = false
			:: else -> skip
			fi
		}

	/* dispatcher.run.runItem: a repeatable item runs and finishes */
	:: held && !cancelled && !(results & REPEATABLE) -> results = results | REPEATABLE

	/* dispatcher.run.commitStart and job.Store.Save: the start of an item that may run at most once is committed before its
	 * dispatch */
	:: held && !cancelled && !(results & ONCE) && !(started & ONCE) ->
#ifdef NO_START_COMMIT
		answer = OK; started = started | ONCE;
#else
		settle(d, SAVE, version, job, session, results, started | ONCE, answer);
#endif
		if
		:: answer == OK ->
#ifndef NO_START_COMMIT
			version++;
			started = started | ONCE;
#endif
			atomic { runsOnce++; assert(runsOnce <= 1) };
			if
			:: results = results | ONCE
			/* the process dies before it stores the answer */
			:: atomic { crashes < CRASHES -> crashes++; crashed[session] = true;
				session = 0; held = false; version = 0; claim = 0; results = 0; started = 0; cancelled = false }
			fi
		:: else -> d_step { held = false; version = 0; claim = 0; results = 0; started = 0; cancelled = false }
		fi;
		answer = 0

	/* dispatcher.run.save and job.Store.Checkpoint: not fenced, so a holder that has lost the lot may still write */
	:: atomic { held && (results & REPEATABLE) && !progress[claim] -> progress[claim] = REPEATABLE }

	/* dispatcher.Dispatcher.CancelJob */
	:: held && !cancelled && jobState == CANCELLING -> cancelled = true

	/* dispatcher.run.storeOutcome and job.Store.Complete */
	:: held && (results == ALL || cancelled) ->
		settle(d, COMPLETE, version, job, session, results, started, answer);
		d_step { held = false; version = 0; claim = 0; results = 0; started = 0; answer = 0; cancelled = false }

	/* job.Store.Finish: read the job, then its lots, then commit */
	:: !held && finishable ->
		d_step { job = jobVersion; seenState = jobState };
		if
		:: d_step { seenState == RUNNING && lotState == DONE && jobVersion == job ->
			assert(doneResults == ALL);
			jobState = COMPLETED; jobVersion++ }
		:: d_step { seenState == CANCELLING && lotState != CLAIMED && jobVersion == job ->
			jobState = CANCELLED; jobVersion++ }
		:: else -> skip
		fi;
		d_step { seenState = 0; job = 0 }

	/* the process dies */
	:: atomic { session != 0 && crashes < CRASHES -> crashes++; crashed[session] = true;
		session = 0; held = false; version = 0; claim = 0; results = 0; started = 0; cancelled = false }

	/* lease.Sessions.resolveConflict: a holder learns that its session has been ended by another process */
	:: atomic { session != 0 && ended[session] -> session = 0; held = false; version = 0; claim = 0; results = 0; started = 0; cancelled = false }
	od
}

/* Observer models lease.Sessions.observe: it ends the session of a crashed holder and, on a false suspicion, that of a
 * live one. */
active proctype Observer()
{
end:	do
	#ifndef NO_TAKEOVER
	:: atomic { crashed[1] && !ended[1] -> ended[1] = true }
	:: atomic { crashed[2] && !ended[2] -> ended[2] = true }
	:: atomic { crashed[3] && !ended[3] -> ended[3] = true }
#endif
	:: atomic { suspicions < SUSPICIONS && nextSession > 1 && !ended[1] -> suspicions++; ended[1] = true }
	:: atomic { suspicions < SUSPICIONS && nextSession > 2 && !ended[2] -> suspicions++; ended[2] = true }
	od
}

/* Caller models job.Store.Cancel: the job may be cancelled once. */
active proctype Caller()
{
	if
	:: skip
	:: atomic { jobState == RUNNING -> jobState = CANCELLING; jobVersion++ }
	fi
}

init
{
	byte d;
	atomic {
		for (d : 0 .. DISPATCHERS - 1) {
			run Dispatcher(d)
		}
	}
}

#define jobEnded (jobState >= COMPLETED)
ltl progress { <> jobEnded }

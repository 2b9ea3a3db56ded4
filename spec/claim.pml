/*
 * The claim on a batch job, in a store whose rows have revisions. The claim's row names the VM that owns the job. Two VMs
 * adopt the job from each other and commit results, each of which is listed at the next position; meanwhile answers are
 * lost, writes take effect late, and the caller may end the job.
 *
 * Each action names the Go function that it models. Mutants:
 *   NO_EXPECT        a commit does not check the revision of the claim's row
 *   NO_CLAIM_CHECK   after a conflict, a VM does not check that the claim is still its own
 *   RELIST_BLINDLY   a VM sends a commit at the newest revision and with another item, without checking what is listed
 */

#define ITEMS 2
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 2
#endif
#ifndef ENDS
#define ENDS 0
#endif

#define OK 1
#define CONFLICT 2
#define LOST 3

/* the claim's row; revision 0 means that there is none */
byte revision = 1;
byte owner = 0;
byte number = 1;             /* number of the claim; each takeover raises it */
byte listed = 0;             /* number of results listed */
byte newest = 1;             /* the newest revision of the store */
/* the results by position: 1 + the item's number, 0 for none */
byte result[ITEMS];
bool ended = false;
byte losses = 0;
byte takeovers = 0;

/* transactions that may still take effect: whether it lists a result or else adopts, expected revision, sender, claim
 * number, item, position */
chan late = [LOSSES] of { bool, byte, byte, byte, byte, byte };

/* apply executes one transaction at the store. */
inline apply(lists, expected, who, claimed, item, position, answer)
{
	if
#ifdef NO_EXPECT
	:: revision != 0 ->
#else
	:: revision == expected && revision != 0 ->
#endif
		answer = OK;
		newest++;
		if
		:: lists ->
			assert(!ended);
			/* a result is never overwritten by another one */
			assert(result[position] == 0 || result[position] == item + 1);
			/* an item has at most one result */
			assert(position == 0 || result[0] != item + 1);
			result[position] = item + 1;
			listed = position + 1;
			if
			:: listed == ITEMS -> revision = 0
			:: else -> revision = newest
			fi
		:: else ->
			owner = who;
			number = claimed;
			revision = newest
		fi
	:: else -> answer = CONFLICT
	fi
}

/* commit models store.Store.Commit: the transaction takes effect and is answered, takes effect without an answer, or
 * takes effect later without an answer. */
inline commit(lists, expected, who, claimed, item, position, answer)
{
	atomic {
		if
		:: apply(lists, expected, who, claimed, item, position, answer)
		:: losses < LOSSES -> losses++; apply(lists, expected, who, claimed, item, position, answer); answer = LOST
		:: losses < LOSSES -> losses++; late!lists, expected, who, claimed, item, position; answer = LOST
		fi
	}
}

/* VM models batch.Manager.Adopt and batch.job.commitSome. */
proctype VM(byte me)
{
	/* mine, number_ and known are this VM's copies of the row's revision, number and listed, and seen that of
	 * result[0] */
	byte mine, number_, known, item, answer, expected, seen;
	bool holds = (me == 0);      /* this VM believes that the claim is its own */
	mine = 1;
	number_ = 1;
	known = 0;
	seen = 0;
end:	do
	:: !holds && takeovers < TAKEOVERS ->
		/* Adopt: read the claim, write it with this VM as the owner, then read the results */
		atomic {
			takeovers++;
			expected = revision;
			number_ = number + 1
		}
		if
		:: expected == 0
		:: else ->
			commit(false, expected, me, number_, 0, 0, answer);
			if
			:: answer == OK ->
				atomic {
					if
					:: revision != 0 && owner == me && number == number_ ->
						holds = true;
						mine = revision;
						known = listed;
						seen = result[0]
					:: else
					fi
				}
			:: else
			fi
		fi
	:: holds && known < ITEMS ->
		/* choose an item without a result to commit a result for */
		if
		:: known == 0 -> item = 0
		:: known == 0 -> item = 1
		:: known == 1 -> item = 2 - seen
		fi;
		answer = LOST;
		/* batch.job.tryCommit, repeated until the outcome is known */
		do
		:: answer == LOST ->
#ifdef RELIST_BLINDLY
			atomic { mine = revision };
			if
			:: known == 0 -> item = 1 - item
			:: else
			fi;
#endif
			commit(true, mine, me, number_, item, known, answer)
		:: answer == OK ->
			atomic {
				mine = newest;
				known++;
				if
				:: known == 1 -> seen = item + 1
				:: else
				fi
			}
			break
		:: answer == CONFLICT ->
			/* batch.job.reconcile */
			atomic {
				if
				:: revision == 0 -> holds = false
#ifdef NO_CLAIM_CHECK
				:: revision != 0 ->
#else
				:: revision != 0 && owner == me && number == number_ ->
#endif
					mine = revision;
					if
					:: listed == known + 1 ->
						known++;
						if
						:: known == 1 -> seen = item + 1
						:: else
						fi
					:: else -> answer = LOST
					fi
#ifndef NO_CLAIM_CHECK
				:: revision != 0 && (owner != me || number != number_) -> holds = false
#endif
				fi
			}
			if
			:: answer == LOST
			:: else -> break
			fi
		od
	:: holds && known == ITEMS -> holds = false
	:: else -> break
	od
}

/* Late lets transactions take effect that their sender got no answer to. */
proctype Late()
{
	bool lists;
	byte expected, who, claimed, item, position, answer;
end:	do
	:: atomic {
		late?lists, expected, who, claimed, item, position ->
		apply(lists, expected, who, claimed, item, position, answer)
	}
	od
}

/* Caller models batch.Manager.End. */
proctype Caller()
{
	if
	:: ENDS ->
		atomic {
			if
			:: revision != 0 -> revision = 0; ended = true
			:: else
			fi
		}
	:: else
	fi
}

init
{
	atomic {
		run VM(0);
		run VM(1);
		run Late();
		run Caller()
	}
}

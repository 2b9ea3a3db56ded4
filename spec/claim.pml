/*
 * The claim on a batch job in a store whose rows carry revisions: two VMs adopt it from each other and list results,
 * while answers are lost and writes take effect late, and a caller ends the job.
 *
 * Each action names the function that carries it out. Mutants: NO_EXPECT, NO_CLAIM_CHECK, RELIST_BLINDLY.
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

/* the claim's row; revision 0 is none */
byte revision = 1;
byte owner = 0;
byte number = 1;
byte listed = 0;
byte newest = 1;
/* the results by position, item + 1; 0 is none */
byte result[ITEMS];
bool ended = false;
byte losses = 0;
byte takeovers = 0;

/* a transaction on its way: whether it lists or adopts, what it expects, who sends it under which number, what it lists where */
chan late = [LOSSES] of { bool, byte, byte, byte, byte, byte };

/* apply is one transaction at the store. */
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
			/* a position never holds another result than before */
			assert(result[position] == 0 || result[position] == item + 1);
			/* an item stands once */
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

/* commit is store.Store.Commit: done and answered, done and not answered, or done later. */
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

/* VM runs batch.Keeper.Adopt and batch.job.commitSome. */
proctype VM(byte me)
{
	byte mine, number_, known, item, answer, expected, seen;
	bool holds = (me == 0);
	mine = 1;
	number_ = 1;
	known = 0;
	seen = 0;
end:	do
	:: !holds && takeovers < TAKEOVERS ->
		/* Adopt: read the claim, write it with this owner, and read the results after that */
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
		/* an item without a result has one now */
		if
		:: known == 0 -> item = 0
		:: known == 0 -> item = 1
		:: known == 1 -> item = 2 - seen
		fi;
		answer = LOST;
		/* tryCommit, until it is known what became of it */
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
			/* reconcile */
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

/* Late lets writes take effect that were not answered. */
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

/* Caller is batch.Keeper.End. */
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

/*
 * The revisions of the document. Controllers accept changes to two sections through one head row while answers of the
 * table are lost. A VM follows the document by pushes, anti-entropy and reads that may be stale.
 *
 * Each action names the Go function that it models. Mutants: NO_HEAD_CHECK, NO_CHANGE_ID, NO_SECTION_CHECK, BACKWARD.
 */

#define CONTROLLERS 2
#define VMS 1
#define MOST 6             /* size of history; larger than any revision that the three changes lead to */
#ifndef LOSSES
#define LOSSES 1
#endif

#define OK 1
#define CONFLICT 2
#define LOST 3

byte head = 0;              /* the newest revision */
byte sectionVersion[2];     /* of each section */
byte history[MOST];         /* the id of the change at each revision; 0 for none */
/* by id of the change, from 1 to 3 */
byte present[5];            /* number of times that each change is in the history */
bool acknowledged[5];
bool refused[5];
byte base[5];               /* the section version that each change is based on */
byte losses = 0;

byte inForce[VMS];          /* the revision in force at each VM */

/* append models document.Store.commitWithRetry: one transaction writes the head, the change by revision and the change by
 * id. */
inline append(id, section, expected, answer)
{
	atomic {
		if
#ifdef NO_HEAD_CHECK
		:: true ->
#else
		:: head == expected ->
#endif
			if
			:: answer = OK
			:: losses < LOSSES -> losses++; answer = LOST /* the answer is lost */
			fi;
			/* no change overwrites another one that its editor has not seen */
			assert(sectionVersion[section] == base[id]);
			head = expected + 1;
			assert(history[head] == 0 || history[head] == id);
			history[head] = id;
			sectionVersion[section]++;
			present[id]++;
			assert(present[id] <= 1)
		:: head != expected -> answer = CONFLICT
		:: losses < LOSSES -> losses++; answer = LOST /* the request is lost */
		fi
	}
}

/* Controller models document.Store.AcceptOn for one change, which its editor sends again after an unknown outcome. */
proctype Controller(byte id; byte section)
{
	byte seen = 0;              /* the head that the last read returned */
	byte answer = 0;
	bool stale = false;
	base[id] = sectionVersion[section];
again:
	/* document.Store.Head and CatchUp */
	seen = head;
#ifndef NO_CHANGE_ID
	/* document.Store.changeByID: a change that has been accepted is not applied again. In Go, earlierAcceptance looks the
	 * id up after a refusal or a conflict. */
	if
	:: present[id] > 0 -> acknowledged[id] = true; goto end
	:: else -> skip
	fi;
#endif
	atomic {
		if
		:: seen == head -> stale = (sectionVersion[section] != base[id])
		:: else -> goto again
		fi
	};
	if
#ifndef NO_SECTION_CHECK
	:: stale && present[id] == 0 -> refused[id] = true; goto end
#endif
	:: else -> skip
	fi;
	append(id, section, seen, answer);
	if
	:: answer == OK -> acknowledged[id] = true
	:: answer == CONFLICT -> goto again
	:: answer == LOST -> goto again
	fi;
end:
	assert(!acknowledged[id] || present[id] == 1);
	assert(!refused[id] || present[id] == 0);
	skip
}

/* VM models document.Follower: its revision advances whatever the source, and never decreases. */
proctype VM(byte v)
{
	byte read;
	byte before;
	do
	:: inForce[v] < head && inForce[v] < MOST - 1 ->
		/* a push, a peer's answer or a stale read: the newest revision, the one before it, or none */
		atomic {
			if
			:: read = head
			:: head > 0 -> read = head - 1
			:: read = 0
			fi
		};
		atomic {
			before = inForce[v];
#ifdef BACKWARD
			inForce[v] = read;
#else
			if
			:: read > inForce[v] -> inForce[v] = read
			:: else -> skip
			fi;
#endif
			assert(inForce[v] >= before);
			before = 0;
			read = 0
		}
	:: timeout -> break
	od;
	assert(inForce[v] == head)
}

init
{
	atomic {
		run Controller(1, 0);
		run Controller(2, 0);
		run Controller(3, 1);
		run VM(0)
	}
}

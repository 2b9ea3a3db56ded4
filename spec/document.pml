/*
 * The document's revisions: two controllers accept changes of two sections through one head row with lost answers,
 * and a VM follows by push, by anti-entropy and by stale reads.
 *
 * Each action names the function that carries it out. Mutants: NO_HEAD_CHECK, NO_CHANGE_ID, NO_SECTION_CHECK, BACKWARD.
 */

#define CONTROLLERS 2
#define VMS 1
#define MOST 6             /* revisions */
#ifndef LOSSES
#define LOSSES 1
#endif

#define OK 1
#define CONFLICT 2
#define LOST 3

byte head = 0;              /* the newest revision */
byte sectionVersion[2];     /* of each section */
byte history[MOST];         /* the id of the change at each revision; 0 is none */
byte present[5];            /* how often each change is in the history */
bool acknowledged[5];
bool refused[5];
byte base[5];               /* the section version that each change was made from */
byte losses = 0;

byte inForce[VMS];

/* append is document.Store.commit: head, change by revision and change by id, together. */
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
			:: losses < LOSSES -> losses++; answer = LOST
			fi;
			/* no editor's change overwrites one that its editor had not seen */
			assert(sectionVersion[section] == base[id]);
			head = expected + 1;
			assert(history[head] == 0 || history[head] == id);
			history[head] = id;
			sectionVersion[section]++;
			present[id]++;
			assert(present[id] <= 1)
		:: head != expected -> answer = CONFLICT
		:: losses < LOSSES -> losses++; answer = LOST
		fi
	}
}

/* Controller is document.Store.Accept for one change, sent again by its editor after an unknown outcome. */
proctype Controller(byte id; byte section)
{
	byte seen = 0;
	byte answer = 0;
	bool stale = false;
	base[id] = sectionVersion[section];
again:
	/* Head, CatchUp */
	seen = head;
#ifndef NO_CHANGE_ID
	/* byID: a change that was accepted before is not applied again */
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

/* VM is document.Follower: it advances by any path, and never goes back. */
proctype VM(byte v)
{
	byte read;
	byte before;
	do
	:: inForce[v] < head && inForce[v] < MOST - 1 ->
		/* a push, a peer's answer or a stale read: any revision up to the newest */
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

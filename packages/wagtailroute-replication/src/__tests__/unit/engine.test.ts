import test from 'ava';
import * as replication from '../../index.ts';

const SELF = 'a~1';
const VOTERS: readonly replication.Member[] = ['a~1', 'b~1', 'c~1', 'd~1', 'e~1'].map(id => ({id, role: 'voter'}));
const [, B, C, D] = VOTERS.map(member => member.id) as [string, string, string, string];

/**
A replica whose writes are confirmed only on request.
*/
class ReplicaHarness {
	now = 0;
	random = () => 0;
	state: replication.Replica;

	constructor(voters = VOTERS, durable: Partial<replication.DurableState> = {}) {
		const restored = {...replication.createDurableState(SELF, voters), ...durable};
		this.state = replication.createReplica(replication.createSettings({group: 'g', self: SELF}), restored, this);
	}

	run(event: replication.ReplicaEvent): readonly replication.ReplicaEffect[] {
		const {state, effects} = replication.stepReplica(this.state, event, this);
		this.state = state;
		return effects;
	}

	receive(from: string, term: number, body: object): readonly replication.ReplicaEffect[] {
		const message: object = {
			group: 'g', from, to: SELF, term, ...body,
		};
		return this.run({kind: 'receive', message: message as replication.Message});
	}

	persist(): readonly replication.ReplicaEffect[] {
		return this.run({kind: 'persisted', sequence: this.state.lastSequence});
	}

	/**
	Starts an election and receives the votes given; the replica's own vote is not durable yet.
	*/
	campaign(voters: readonly string[]): void {
		this.now = this.state.electionDueAt;
		this.run({kind: 'tick'});
		const term = this.state.term + 1;
		for (const voter of [B, C]) {
			this.receive(voter, term, {kind: 'pre-vote-answer', granted: true});
		}

		for (const voter of voters) {
			this.receive(voter, term, {kind: 'vote-answer', granted: true});
		}
	}

	/**
	Wins an election; the replica's own log is durable.
	*/
	becomeLeader(): void {
		this.campaign([B, C]);
		this.persist();
		this.persist();
	}

	answer(from: string, match: number): readonly replication.ReplicaEffect[] {
		return this.receive(from, this.state.term, {
			kind: 'append-answer', accepted: true, previousIndex: 0, match, round: 0,
		});
	}

	requestChange(change: replication.MembershipChange): unknown {
		return this.run({kind: 'change-members', id: 'x', change}).find(effect => effect.kind === 'answer')?.answer;
	}
}

function getSent(effects: readonly replication.ReplicaEffect[]): readonly replication.Message[] {
	return effects.filter(effect => effect.kind === 'send').map(effect => effect.message);
}

function createEntry(index: number, term: number): replication.Entry {
	return {
		index, term, kind: 'command', value: `${term}.${index}`, bytes: 5,
	};
}

// Guards against two leaders in a term: a host votes, crashes before the sync and votes again.
test('a vote is sent once it is durable, and given at most once per term', t => {
	const harness = new ReplicaHarness();
	const request = {kind: 'vote', lastIndex: 0, lastTerm: 0};
	// The term itself is durable already.
	harness.receive(D, 1, {...request, lastTerm: -1});
	harness.persist();
	t.deepEqual(getSent(harness.receive(B, 1, request)), []);
	t.like(getSent(harness.persist())[0], {kind: 'vote-answer', granted: true, to: B});
	t.like(getSent(harness.receive(C, 1, request))[0], {kind: 'vote-answer', granted: false, to: C});
	t.like(getSent(harness.receive(B, 1, request))[0], {kind: 'vote-answer', granted: true, to: B});
});

// Guards against two leaders in a term: a candidate counts its vote, leads, crashes and votes for another.
test('a candidate counts its own vote once it is durable', t => {
	const harness = new ReplicaHarness();
	harness.campaign([B, C]);
	t.is(harness.state.role, 'candidate');
	harness.persist();
	t.is(harness.state.role, 'leader');
});

// Guards against elections during a healthy term: a host that can send but not receive requests votes.
test('vote requests are ignored while the leader is live', t => {
	const harness = new ReplicaHarness();
	harness.receive(B, 1, {
		kind: 'append', previousIndex: 0, previousTerm: 0, entries: [], commit: 0, round: 0,
	});
	harness.persist();
	for (const kind of ['vote', 'pre-vote']) {
		t.deepEqual(harness.receive(C, 5, {kind, lastIndex: 9, lastTerm: 4}), []);
	}

	t.is(harness.state.term, 1);
	harness.now += 1000;
	t.like(getSent(harness.receive(C, 5, {kind: 'pre-vote', lastIndex: 9, lastTerm: 4}))[0], {granted: true});
});

// Guards against the loss of a committed entry: a follower acknowledges entries and crashes before the sync.
test('entries are acknowledged once they are durable', t => {
	const harness = new ReplicaHarness();
	const append = {
		kind: 'append', previousIndex: 0, previousTerm: 0, entries: [createEntry(1, 1)], commit: 0, round: 0,
	};
	t.deepEqual(getSent(harness.receive(B, 1, append)), []);
	t.like(getSent(harness.persist())[0], {kind: 'append-answer', accepted: true, match: 1});
});

// Guards against a leader committing entries missing on its own disk: entries are replaced, and it leads before their sync.
test('replaced entries are not durable', t => {
	const harness = new ReplicaHarness(VOTERS, {term: 1, entries: [1, 2, 3].map(index => createEntry(index, 1))});
	t.is(harness.state.durableIndex, 3);
	harness.receive(B, 2, {
		kind: 'append', previousIndex: 1, previousTerm: 1, entries: [createEntry(2, 2), createEntry(3, 2)], commit: 0, round: 0,
	});
	t.is(harness.state.durableIndex, 1);
	harness.persist();
	t.is(harness.state.durableIndex, 3);
});

// Guards against the replacement of a committed entry: a leader counts copies of an entry of an older term and crashes; a
// leader of a term between the two replaces the entry (figure 8 of the Raft paper).
test('an entry of an older term is committed only through one of this term', t => {
	const harness = new ReplicaHarness(VOTERS, {term: 1, entries: [createEntry(1, 1)]});
	harness.becomeLeader();
	harness.answer(B, 1);
	harness.answer(C, 1);
	harness.answer(D, 1);
	t.is(harness.state.commit, 0);
	harness.answer(B, 2);
	harness.answer(C, 2);
	t.is(harness.state.commit, 2);
});

// Guards against quorums that don't overlap: two leaders each have an uncommitted membership change.
test('members change one at a time, and not before the term has a commit', t => {
	const harness = new ReplicaHarness();
	harness.becomeLeader();
	const add: replication.MembershipChange = {kind: 'add-learner', member: 'f~1'};
	t.like(harness.requestChange(add), {outcome: 'refused', reason: 'term-not-committed'});
	harness.answer(B, 1);
	harness.answer(C, 1);
	t.is(harness.requestChange(add), undefined);
	t.like(harness.requestChange({kind: 'remove', member: B}), {outcome: 'refused', reason: 'change-in-progress'});
	harness.persist();
	harness.answer(B, 2);
	harness.answer(C, 2);
	t.like(harness.requestChange({kind: 'promote', member: 'f~1'}), {outcome: 'refused', reason: 'not-caught-up'});
	harness.answer('f~1', 2);
	t.is(harness.requestChange({kind: 'promote', member: 'f~1'}), undefined);
});

// Guards against a stalled follower: messages with entries are lost while heartbeats arrive, which the follower answers as it must.
test('entries that are lost repeatedly are resent', t => {
	const harness = new ReplicaHarness();
	harness.becomeLeader();
	harness.answer(B, 1);
	harness.answer(C, 1);
	harness.run({kind: 'propose', proposals: [{id: 'x', command: 'x', bytes: 3}]});
	for (let round = 0; round < 20; round++) {
		harness.now += 150;
		const sent = getSent(harness.run({kind: 'tick'}));
		harness.answer(C, 1);
		t.true(isEntryResent(harness, sent), `round ${round}`);
	}
});

type Append = Extract<replication.Message, {kind: 'append'}>;

/**
Lets a follower that has entry 1 answer heartbeats, while messages with entries are lost. Returns whether there was such a message.
*/
function isEntryResent(harness: ReplicaHarness, sent: readonly replication.Message[]): boolean {
	const appends = sent.filter((message): message is Append => message.to === B && message.kind === 'append');
	return appends.some(({entries}) => entries.length > 0) || appends.some(({previousIndex}) => isEntryResent(harness, getSent(
		harness.receive(B, harness.state.term, {
			kind: 'append-answer', accepted: previousIndex <= 1, previousIndex, match: 1, round: 0,
		}),
	)));
}

// Guards against a wiped host counting towards quorums: messages to its old identity reach its new process.
test('messages to another incarnation of the host are ignored', t => {
	const harness = new ReplicaHarness();
	const before = harness.state;
	const message = {
		group: 'g', from: B, to: 'a~0', term: 9, kind: 'vote', lastIndex: 9, lastTerm: 9,
	} as const;
	t.deepEqual(harness.run({kind: 'receive', message}), []);
	t.is(harness.state.term, before.term);
});

/**
Tests of membership: machines in one process over a fake network, with simulated time.
*/
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import {
	createFleet,
	describeHost,
	type Fleet,
	handleEvent,
	advanceTime,
	startHost,
} from '../../bench/fleet.ts';
import * as membership from '../../index.ts';
import {decodeRecord, encodeRecord, parseAddress} from '../../wire.ts';

const SEED = 20_261_202;
const MAX_DATAGRAM_JSON_BYTES = 1200;

function createSmallFleet(hosts: number, loss = 0): Fleet {
	return createFleet({
		hosts,
		domains: 4,
		seed: SEED,
		loss,
		isJoined: true,
	});
}

/**
States in which each host sees the subject, sorted and without repetition.
*/
function getViewedStates(fleet: Fleet, subject: string): string {
	const views = fleet.hosts.entries()
		.filter(([id]) => id !== subject)
		.map(([, state]) => membership.getMembersById(state).get(subject)?.state ?? 'unknown');
	return [...new Set(views)].toSorted(compareText).join(' ');
}

function compareText(left: string, right: string): number {
	return left < right ? -1 : Number(left > right);
}

function hasObservation(fleet: Fleet, subject: string, state: membership.MemberState): boolean {
	return fleet.observations.some(({member}) => member.id === subject && member.state === state);
}

function getState(fleet: Fleet, id: string): membership.MembershipState {
	return fleet.hosts.get(id)!;
}

const CASES: ReadonlyArray<{
	readonly name: string;
	readonly hosts?: number;
	readonly run: (fleet: Fleet) => void;
	/**
	What all others think of host-1 in the end.
	*/
	readonly views: string;
	readonly neverSuspected?: true;
}> = [
	{
		name: 'a healthy host is never suspected',
		run(fleet) {
			advanceTime(fleet, 30_000);
		},
		views: 'alive',
		neverSuspected: true,
	},
	{
		name: 'a host that stops is dead for all within 12 seconds',
		run(fleet) {
			fleet.hosts.delete('host-1');
			advanceTime(fleet, 12_000);
		},
		views: 'dead',
	},
	{
		name: 'one of two hosts that stops is dead for the other',
		hosts: 2,
		run(fleet) {
			fleet.hosts.delete('host-1');
			advanceTime(fleet, 12_000);
		},
		views: 'dead',
	},
	{
		name: 'a host that leaves is gone at once, without suspicion',
		run(fleet) {
			handleEvent(fleet, 'host-1', {kind: 'leave'});
			advanceTime(fleet, 1500);
		},
		views: 'left',
		neverSuspected: true,
	},
	{
		// Symptom: a host is taken out of the directory, though it serves and others reach it.
		// Sequence: one link loses everything one way, so that direct probes over it fail.
		// Cause: a probe without an answer was taken for a failure of the host, not of the path.
		name: 'a host cut off one way from one other stays alive for all',
		run(fleet) {
			fleet.isBlocked = (from, to) => from === 'host-0' && to === 'host-1';
			advanceTime(fleet, 60_000);
		},
		views: 'alive',
		neverSuspected: true,
	},
	{
		// Symptom: callers are sent to a host that can hear no one.
		// Sequence: all messages to the host are lost, its own probes still reach the others.
		// Cause: hearing from a host was taken for reaching it.
		name: 'a host that is heard but hears nothing is dead for all',
		run(fleet) {
			fleet.isBlocked = (_from, to) => to === 'host-1';
			advanceTime(fleet, 14_000);
		},
		views: 'dead',
	},
	{
		name: 'a host that hears all but isn\'t heard is dead for all',
		run(fleet) {
			fleet.isBlocked = from => from === 'host-1';
			advanceTime(fleet, 14_000);
		},
		views: 'dead',
	},
	{
		// Symptom: a host stays dead for the fleet after its network is back.
		// Sequence: cut off until it was declared dead, then reconnected; nobody probes the dead.
		// Cause: a wrong word about a host never reached the host itself.
		name: 'a host that was cut off and declared dead comes back by itself',
		run(fleet) {
			fleet.isBlocked = (from, to) => from === 'host-1' || to === 'host-1';
			advanceTime(fleet, 20_000);
			fleet.isBlocked = () => false;
			advanceTime(fleet, 8000);
		},
		views: 'alive',
	},
	{
		// Symptom: a restarted host stays dead, because its first incarnation is lower than that of its death.
		// Sequence: killed, declared dead, restarted without memory.
		// Cause: incarnations start at 0 with each process.
		name: 'a host that restarts without memory comes back with its new boot',
		run(fleet) {
			fleet.hosts.delete('host-1');
			advanceTime(fleet, 14_000);
			startHost(fleet, describeHost(fleet.settings, 1, 'second'));
			advanceTime(fleet, 3000);
		},
		views: 'alive',
	},
	{
		name: 'a host that restarts before anyone noticed is known with its new boot',
		run(fleet) {
			startHost(fleet, describeHost(fleet.settings, 1, 'second'));
			advanceTime(fleet, 3000);
		},
		views: 'alive',
		neverSuspected: true,
	},
];

for (const {name, hosts, run, views, neverSuspected} of CASES) {
	test(name, t => {
		const fleet = createSmallFleet(hosts ?? 20);
		run(fleet);
		t.is(getViewedStates(fleet, 'host-1'), views);
		t.false(neverSuspected === true && hasObservation(fleet, 'host-1', 'suspect'));
		const known = membership.getMembersById(getState(fleet, 'host-0')).get('host-1')!;
		const running = fleet.hosts.get('host-1');
		t.is(known.boot, running ? membership.getSelf(running).boot : 'first');

		t.true(fleet.largestMessageBytes <= MAX_DATAGRAM_JSON_BYTES, `largest message ${fleet.largestMessageBytes}`);
	});
}

test('a host that only one other can\'t reach has a path fault there and nowhere else', t => {
	const fleet = createSmallFleet(8);
	fleet.isBlocked = (from, to) => from === 'host-1' && to === 'host-0';
	advanceTime(fleet, 20_000);
	t.true(membership.hasPathFault(getState(fleet, 'host-0'), 'host-1'));
	t.false(membership.isReachable(getState(fleet, 'host-0'), 'host-1'));
	t.true(membership.isReachable(getState(fleet, 'host-2'), 'host-1'));
	fleet.isBlocked = () => false;
	advanceTime(fleet, 20_000);
	t.true(membership.isReachable(getState(fleet, 'host-0'), 'host-1'));
});

test('a host that is cut off accuses nobody', t => {
	// Symptom: a host with a broken network card floods the fleet with suspicions once it is back.
	// Sequence: all its probes fail for a minute. Cause: it took its own fault for that of all others.
	const fleet = createSmallFleet(20);
	fleet.isBlocked = (from, to) => from === 'host-0' || to === 'host-0';
	advanceTime(fleet, 60_000);
	t.true(membership.isIsolated(getState(fleet, 'host-0')));
	const own = fleet.observations.filter(({observer, member}) => observer === 'host-0' && member.state !== 'alive');
	t.deepEqual(own, []);
	fleet.isBlocked = () => false;
	advanceTime(fleet, 10_000);
	t.false(membership.isIsolated(getState(fleet, 'host-0')));
	t.is(getViewedStates(fleet, 'host-0'), 'alive');
});

test('a host that was paused declares nobody dead when it wakes up', t => {
	// Symptom: running hosts are declared dead by a host that was stopped for half a minute.
	// Sequence: it suspects a host, is paused, and wakes up; the suspected host objected meanwhile.
	// Cause: the suspicion's time ran out during the pause, and the tick came before the messages were read.
	const fleet = createSmallFleet(20);
	const stopped = getState(fleet, 'host-1');
	fleet.hosts.delete('host-1');
	while (membership.isReachable(getState(fleet, 'host-0'), 'host-1')) {
		advanceTime(fleet, 100);
	}

	fleet.hosts.set('host-1', stopped);
	const paused = getState(fleet, 'host-0');
	fleet.hosts.delete('host-0');
	advanceTime(fleet, 30_000);
	fleet.hosts.set('host-0', paused);
	fleet.observations.length = 0;
	handleEvent(fleet, 'host-0', {kind: 'tick'});
	advanceTime(fleet, 10_000);
	const own = fleet.observations.filter(({observer, member}) => observer === 'host-0' && member.state === 'dead');
	t.deepEqual(own, []);
	t.is(getViewedStates(fleet, 'host-1'), 'alive');
	t.is(getViewedStates(fleet, 'host-0'), 'alive');
});

test('a host that only heard of a suspicion leaves the word to those that failed to reach the other', t => {
	// Symptom: under loss, every wrong suspicion in a large fleet ends in a false death.
	// Sequence: a host is suspected and objects at once; one host in a thousand hears the first and not the second.
	// Cause: each host that heard of the suspicion declared the death by itself when the time was over.
	const fleet = createSmallFleet(20);
	const from = {
		id: 'host-5',
		boot: 'first',
		incarnation: 0,
		peer: '10.0.0.1:6',
		revision: 0,
	};
	const updates = [{
		kind: 'suspect',
		id: 'host-1',
		incarnation: 0,
		by: 'host-5',
	}] as const;
	handleEvent(fleet, 'host-0', {kind: 'receive', message: {kind: 'gossip', from, updates}});
	fleet.isBlocked = (_from, to) => to === 'host-0';
	advanceTime(fleet, 10_000);
	t.is(membership.getMembersById(getState(fleet, 'host-0')).get('host-1')?.state, 'suspect');
	t.is(membership.getMembersById(getState(fleet, 'host-2')).get('host-1')?.state, 'alive');
});

test('two halves that declared each other dead join again', t => {
	const fleet = createSmallFleet(12);
	const isLeft = (id: string): boolean => Number(id.slice(5)) < 6;
	fleet.isBlocked = (from, to) => isLeft(from) !== isLeft(to);
	advanceTime(fleet, 40_000);
	t.is(membership.getAliveMembers(getState(fleet, 'host-0')).length, 6);
	fleet.isBlocked = () => false;
	advanceTime(fleet, 40_000);
	for (const state of fleet.hosts.values()) {
		t.is(membership.getAliveMembers(state).length, 12);
	}
});

const JOINS = [
	{hosts: 2, milliseconds: 3000},
	{hosts: 40, milliseconds: 5000},
	{hosts: 150, milliseconds: 8000},
];

for (const {hosts, milliseconds} of JOINS) {
	test(`${hosts} hosts that start at once with two seeds all know each other`, t => {
		const fleet = createFleet({
			hosts,
			domains: 4,
			seed: SEED,
			loss: 0.05,
			isJoined: false,
		});
		advanceTime(fleet, milliseconds);
		const counts = fleet.hosts.values().map(state => membership.getAliveMembers(state).length).toArray();
		t.deepEqual([...new Set(counts)], [hosts]);
		t.true(fleet.largestMessageBytes <= MAX_DATAGRAM_JSON_BYTES, `largest message ${fleet.largestMessageBytes}`);
	});
}

test('a forgotten host isn\'t brought back by an old record', t => {
	// Symptom: a host removed hours ago is listed again, suspected, dead, and so on forever.
	// Sequence: its record is forgotten; a host that was cut off meanwhile still lists it as alive.
	// Cause: nothing was left to say that the record is old.
	const fleet = createSmallFleet(4);
	const state = getState(fleet, 'host-0');
	const expiredMember = membership.getMembersById(state).get('host-3')!;
	fleet.hosts.delete('host-3');
	advanceTime(fleet, 15_000);
	fleet.now += 600_000;
	advanceTime(fleet, 3000);
	t.is(getViewedStates(fleet, 'host-3'), 'unknown');
	const from = {
		id: 'host-1',
		boot: 'first',
		incarnation: membership.getSelf(getState(fleet, 'host-1')).incarnation,
		peer: '10.0.0.1:2',
		revision: 0,
	};
	const updates = [{kind: 'alive', record: encodeRecord(expiredMember)}] as const;
	handleEvent(fleet, 'host-0', {kind: 'receive', message: {kind: 'gossip', from, updates}});
	t.is(getViewedStates(fleet, 'host-3'), 'unknown');
	startHost(fleet, describeHost(fleet.settings, 3, 'second'));
	advanceTime(fleet, 10_000);
	t.is(getViewedStates(fleet, 'host-3'), 'alive');
});

test('a draining host tells all, and its revision never falls', t => {
	const fleet = createSmallFleet(20);
	handleEvent(fleet, 'host-1', {kind: 'update-self', draining: true, catalogueRevision: 7});
	handleEvent(fleet, 'host-1', {kind: 'update-self', catalogueRevision: 3});
	advanceTime(fleet, 2000);
	for (const state of fleet.hosts.values()) {
		const member = membership.getMembersById(state).get('host-1')!;
		t.true(member.draining);
		t.is(member.catalogueRevision, 7);
	}
});

test('repeated and reordered messages change nothing in the end', t => {
	const fleet = createSmallFleet(12);
	const sentMessages: membership.Message[] = [];
	const random = utils.createRandom(SEED);
	for (let millisecond = 1; millisecond <= 2000; millisecond++) {
		advanceTime(fleet, 1);
		const sent = fleet.inFlight.get(fleet.now + 1) ?? [];
		sentMessages.push(...sent.map(delivery => structuredClone(delivery.message)));
		if (millisecond % 100 === 0) {
			handleEvent(fleet, 'host-1', {kind: 'update-self', draining: millisecond % 200 === 0});
		}
	}

	handleEvent(fleet, 'host-1', {kind: 'update-self', draining: false});

	const replayed = utils.shuffle(random, sentMessages);
	t.true(replayed.length > 100);
	for (const message of replayed) {
		handleEvent(fleet, 'host-0', {kind: 'receive', message});
	}

	advanceTime(fleet, 3000);
	for (const state of fleet.hosts.values()) {
		t.is(membership.getAliveMembers(state).length, 12);
		t.false(membership.getMembersById(state).get('host-1')!.draining);
	}
});

const LOSSES = [0.01, 0.05, 0.2];

for (const loss of LOSSES) {
	test(`no running host is declared dead when ${loss} of all messages are lost`, t => {
		t.log(`seed ${SEED}`);
		const fleet = createSmallFleet(40, loss);
		fleet.isCountingBytes = false;
		advanceTime(fleet, 120_000);
		t.is(fleet.observations.filter(({member}) => member.state === 'dead').length, 0);
	});
}

const ADDRESSES = ['10.0.0.1:80', '[::1]:80'];

for (const address of ADDRESSES) {
	test(`the address ${address} keeps its form over the wire`, t => {
		const parsed = parseAddress(address);
		const member = {
			...describeHost({
				hosts: 1, domains: 1, seed: 0, loss: 0, isJoined: false,
			}, 0, 'first'),
			peerAddress: parsed,
			incarnation: 3,
			state: 'alive',
			draining: true,
			catalogueRevision: 4,
			load: 0.5,
		} as const;
		t.deepEqual(decodeRecord(encodeRecord(member)), member);
	});
}

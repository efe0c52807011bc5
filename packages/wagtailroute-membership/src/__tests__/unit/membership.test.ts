/**
Tests of membership: state machines in one process over a simulated network, with simulated time.
*/
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import {
	advanceTime,
	createFleet,
	describeHost,
	type Fleet,
	handleEvent,
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
Returns the distinct states in which the other hosts list the subject, sorted.
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
	Distinct states in which the other hosts list host-1 at the end.
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
		name: 'all others declare a stopped host dead within 12 seconds',
		run(fleet) {
			fleet.hosts.delete('host-1');
			advanceTime(fleet, 12_000);
		},
		views: 'dead',
	},
	{
		name: 'in a fleet of two, the other host declares a stopped host dead',
		hosts: 2,
		run(fleet) {
			fleet.hosts.delete('host-1');
			advanceTime(fleet, 12_000);
		},
		views: 'dead',
	},
	{
		name: 'a host that leaves is listed as left at once, without suspicion',
		run(fleet) {
			handleEvent(fleet, 'host-1', {kind: 'leave'});
			advanceTime(fleet, 1500);
		},
		views: 'left',
		neverSuspected: true,
	},
	{
		// A host must not leave the directory while it serves and others reach it: one path loses all messages in one
		// direction, and a failed direct probe over it would count as a failure of the host instead of the path.
		name: 'a host that one other can\'t reach stays alive for all',
		run(fleet) {
			fleet.isBlocked = (from, to) => from === 'host-0' && to === 'host-1';
			advanceTime(fleet, 60_000);
		},
		views: 'alive',
		neverSuspected: true,
	},
	{
		// Callers must not be sent to a host that receives nothing: all messages to it are lost while its own probes reach
		// the others, and would count as a sign that it is reachable.
		name: 'a host that sends but receives nothing is declared dead by all',
		run(fleet) {
			fleet.isBlocked = (_from, to) => to === 'host-1';
			advanceTime(fleet, 14_000);
		},
		views: 'dead',
	},
	{
		name: 'a host that receives but whose messages are all lost is declared dead by all',
		run(fleet) {
			fleet.isBlocked = from => from === 'host-1';
			advanceTime(fleet, 14_000);
		},
		views: 'dead',
	},
	{
		// A host must not stay dead after its network is back: dead hosts aren't probed, so nothing would send it the wrong
		// record to refute.
		name: 'a host that was partitioned off and declared dead becomes alive again by itself',
		run(fleet) {
			fleet.isBlocked = (from, to) => from === 'host-1' || to === 'host-1';
			advanceTime(fleet, 20_000);
			fleet.isBlocked = () => false;
			advanceTime(fleet, 8000);
		},
		views: 'alive',
	},
	{
		// A host that was killed and declared dead must not stay dead after its restart: incarnations start at 0 with each
		// process, below the incarnation at which it was declared dead.
		name: 'a host that restarts after it was declared dead becomes alive with its new boot id',
		run(fleet) {
			fleet.hosts.delete('host-1');
			advanceTime(fleet, 14_000);
			startHost(fleet, describeHost(fleet.settings, 1, 'second'));
			advanceTime(fleet, 3000);
		},
		views: 'alive',
	},
	{
		name: 'a host that restarts before any other detects it is known with its new boot id',
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

test('an isolated host suspects nobody', t => {
	// A host with a broken network card must not flood the fleet with suspicions once it is back: all its probes fail for
	// a minute, and it would take its own fault for a failure of all others.
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

test('a host that was paused declares nobody dead when it resumes', t => {
	// A host must not declare running hosts dead after a pause of half a minute: a suspicion times out during the pause,
	// and the first tick comes before the refutation is read from the socket.
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

test('a host that only received a suspicion leaves the declaration of death to hosts whose own probes failed', t => {
	// Under loss, a wrong suspicion in a large fleet must not end in a false death: one host in a thousand receives the
	// suspicion and misses the refutation, and would declare the death by itself at the timeout.
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

test('two halves of a partition that declared each other dead merge again', t => {
	const fleet = createSmallFleet(12);
	const isInFirstHalf = (id: string): boolean => Number(id.slice(5)) < 6;
	fleet.isBlocked = (from, to) => isInFirstHalf(from) !== isInFirstHalf(to);
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

test('an expired host isn\'t restored by an old record', t => {
	// A host removed hours ago must not be listed, suspected and declared dead again and again: a host that was partitioned
	// off still lists it as alive after its record expired elsewhere, where nothing shows that the record is old.
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

test('all hosts receive that a host drains, and its revision never decreases', t => {
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

test('repeated and reordered messages don\'t change the final state', t => {
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
	test(`a record with the address ${address} is the same after encoding and decoding`, t => {
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

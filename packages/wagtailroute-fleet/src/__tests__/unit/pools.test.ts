/**
Tests of services that are divided into pools by failure domain.
*/
import test from 'ava';
import type * as core from 'wagtailroute-core';
import * as dispatch from 'wagtailroute-dispatch';
import type {DispatchClient} from '../../dispatch-client.ts';
import {orderPoolDispatchers} from '../../dispatch-order.ts';
import {startHostDispatcher} from '../../host-dispatcher.ts';
import {type Belief, METHODS, type RoomReport} from '../../messages.ts';
import {createPoolChoice} from '../../pools/pool-choice.ts';
import {createPoolDispatcher} from '../../pools/pool-dispatcher.ts';
import {getPoolKey, type Pool} from '../../pools/pool-key.ts';
import {listPoolMembers} from '../../pools/pool-members.ts';
import {createRequestShare} from '../../request-share.ts';
import * as fixture from './fixture.ts';
import {
	createCandidates,
	createPoolFleet,
	DOMAINS,
	type PoolFleet,
	SERVICE,
} from './pool-fixture.ts';

const CANDIDATES = createCandidates({x: 4, y: 4, z: 4});

type MembersCase = {
	readonly name: string;
	readonly candidates: readonly dispatch.Candidate[];
	readonly entryDomains: readonly core.FailureDomain[];
	/**
	Number of upstreams of the pools x, y and z, in order of size.
	*/
	readonly sizes: readonly number[];
};

const MEMBERS_CASES: readonly MembersCase[] = [
	{
		name: 'each pool has the upstreams of its domain', candidates: CANDIDATES, entryDomains: DOMAINS, sizes: [4, 4, 4],
	},
	{
		// Guards against upstreams that get no requests for as long as their failure domain has no entry host: nobody requests slots from their pool.
		name: 'upstreams of a domain without entry hosts belong to exactly one other pool', candidates: CANDIDATES, entryDomains: ['x', 'z'], sizes: [0, 4, 8],
	},
	{
		// Guards against pools that move all upstreams after a restart, while a control host knows no entry host yet.
		name: 'pools stay divided while no entry host is known', candidates: CANDIDATES, entryDomains: [], sizes: [4, 4, 4],
	},
	{
		name: 'a domain without upstreams has no pool', candidates: createCandidates({x: 4, y: 4}), entryDomains: DOMAINS, sizes: [0, 4, 4],
	},
	{
		// Guards against refusals in a domain whose last upstreams drain, while other domains have free slots.
		name: 'a domain whose upstreams all drain has no pool',
		candidates: CANDIDATES.map(candidate => candidate.failureDomain === 'y' ? {...candidate, isDraining: true} : candidate),
		entryDomains: DOMAINS,
		sizes: [0, 4, 4],
	},
];

for (const {name, candidates, entryDomains, sizes} of MEMBERS_CASES) {
	test(name, t => {
		const members = DOMAINS.map(pool => listPoolMembers({service: SERVICE, pool}, candidates, entryDomains));
		t.deepEqual(members.map(({length}) => length).toSorted((left, right) => left - right), sizes);
		const all = members.flat().map(({upstream}) => upstream);
		t.is(new Set(all).size, all.length);
	});
}

test('slot requests of a pool go to a control host of its own domain, and to another domain only without one', t => {
	const hosts = ['x', 'x', 'y', 'y', 'z'].map((failureDomain, index) => ({id: `c${index}`, failureDomain}));
	const services = Array.from({length: 30}, (_, index) => `service-${index}`);
	const find = (pool: core.FailureDomain, open: typeof hosts) => services.map(service => orderPoolDispatchers({service, pool}, open, host => host)[0]!);
	t.true(find('x', hosts).every(({failureDomain}) => failureDomain === 'x'));
	t.is(new Set(find('x', hosts).map(({id}) => id)).size, 2);
	t.true(find('z', hosts.slice(0, 4)).length > 0);
	t.deepEqual(
		services.map(service => orderPoolDispatchers({service}, hosts, host => host)[0]),
		services.map(service => orderPoolDispatchers({service}, hosts.map(({id}) => ({id, failureDomain: 'x'})), host => host)[0]).map(first => hosts.find(({id}) => id === first!.id)),
	);
});

test('a control host that is lost moves only its pools', t => {
	const hosts = DOMAINS.flatMap(failureDomain => Array.from({length: 4}, (_, index) => ({id: `${failureDomain}${index}`, failureDomain})));
	const pools = DOMAINS.flatMap(pool => Array.from({length: 20}, (_, index): Pool => ({service: `service-${index}`, pool})));
	const before = pools.map(pool => orderPoolDispatchers(pool, hosts, host => host)[0]!.id);
	const [lost] = before;
	const after = pools.map(pool => orderPoolDispatchers(pool, hosts.filter(({id}) => id !== lost), host => host)[0]!.id);
	t.true(pools.every((_, index) => (before[index] === lost) === (before[index] !== after[index])));
	t.true(pools.every(({pool}, index) => after[index]!.startsWith(pool!)));
});

test('an entry host requests slots of its own domain only where overload control is on and the domain has upstreams', t => {
	const context = fixture.createFakeContext();
	let isOn = false;
	let candidates = createCandidates({x: 1, y: 1});
	const pools = createPoolChoice(context, {
		failureDomain: 'x', overloadControl: {isOn: () => isOn}, listCandidates: () => candidates, minUpstreams: 1,
	});
	t.is(pools.find(SERVICE), undefined);
	isOn = true;
	t.is(pools.find(SERVICE), 'x');
	candidates = candidates.map(candidate => ({...candidate, isDraining: candidate.failureDomain === 'x'}));
	pools.refresh(SERVICE);
	t.is(pools.find(SERVICE), undefined);
});

function setUpDispatcher({listEntryDomains = () => DOMAINS, candidates = CANDIDATES, isLending = false} = {}) {
	const context = fixture.createFakeContext();
	const sent: Array<{readonly method: string; readonly parameters: unknown}> = [];
	const dispatcher = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		settings: {budget: {ratio: 0.2, extra: 20, windowMilliseconds: 10_000}, floor: 0},
		listCandidates: () => candidates,
		listEntryDomains,
		lending: isLending ? {failureDomain: 'x', isFirstDispatcher: ({pool}) => pool === 'x'} : undefined,
		listStandbys: () => [],
		notify: () => undefined,
		notifyControlHosts(method, parameters) {
			sent.push({method, parameters});
		},
	});
	let count = 0;
	const requestSlot = (pool: core.FailureDomain | undefined, changes: Partial<dispatch.SlotRequest> = {}) => {
		count++;
		const id = `front:${count}`;
		return {
			id, answer: dispatcher.requestSlot({
				...fixture.SLOT_REQUEST_DRAFT, id, host: 'front', failureDomain: pool ?? 'x', ...pool !== undefined && {pool}, ...changes,
			}),
		};
	};

	const listSuspended = () => dispatcher.listUpstreamReports(SERVICE).filter(({isSuspended}) => isSuspended).map(({upstream}) => upstream);
	return {
		context, dispatcher, requestSlot, listSuspended, sent,
	};
}

const getUpstream = (answer: {readonly kind: string; readonly upstream?: string}) => answer.upstream ?? answer.kind;

test('a pool grants slots of its own upstreams only', t => {
	const {requestSlot} = setUpDispatcher();
	const granted = DOMAINS.map(pool => Array.from({length: 8}, () => getUpstream(requestSlot(pool).answer)));
	t.true(granted.every((upstreams, index) => upstreams.every(upstream => upstream.startsWith(DOMAINS[index]!))));
	t.is(requestSlot('x').answer.kind, 'wait');
});

test('a pool without upstreams at its dispatcher is served by the undivided service', t => {
	// Guards against a request that is sent to the next dispatcher, and a dispatcher that is skipped, because an entry host has learned of an upstream
	// earlier than the dispatcher.
	const {requestSlot} = setUpDispatcher();
	t.regex(getUpstream(requestSlot('w').answer), /^[xyz]/v);
});

test('upstreams change their pool with the entry hosts, and keep the slots that requests hold', async t => {
	let entryDomains = DOMAINS;
	const {context, requestSlot, dispatcher} = setUpDispatcher({listEntryDomains: () => entryDomains});
	for (const pool of ['x', 'z']) {
		requestSlot(pool);
	}

	entryDomains = ['x', 'z'];
	await context.pass(100);
	for (const pool of ['x', 'z']) {
		for (let count = 0; count < 16; count++) {
			requestSlot(pool, {requestClass: 'read'});
		}
	}

	// A read waits 20 ms for a slot of its own domain before it takes another one.
	await context.pass(100);
	t.deepEqual(dispatcher.listUpstreamReports(SERVICE).map(({taken}) => taken), CANDIDATES.map(() => 2));
});

test('what a pool shows about an upstream is reported under the service, and applied to all other records', async t => {
	// Guards against the undivided service, or the directory, that goes on with an upstream which its pool has suspended.
	const {context, requestSlot, dispatcher, listSuspended, sent} = setUpDispatcher();
	for (let round = 0; round < 12; round++) {
		const {id, answer} = requestSlot('x', {excluded: ['x1', 'x2', 'x3']});
		if (answer.kind === 'grant') {
			dispatcher.end({id, ending: 'reset', milliseconds: 10});
		}
	}

	t.deepEqual(listSuspended(), ['x0']);
	t.like(sent.find(({method}) => method === METHODS.believe)?.parameters, {service: SERVICE, upstream: 'x0'});
	const undivided = Array.from({length: 22}, () => requestSlot(undefined)).map(({answer}) => getUpstream(answer));
	t.false(undivided.includes('x0'));
	const other = setUpDispatcher();
	other.requestSlot('x');
	other.dispatcher.applyBeliefs(dispatcher.listBeliefs());
	t.false(Array.from({length: 5}, () => getUpstream(other.requestSlot('x').answer)).includes('x0'));
	const {id, answer} = requestSlot('y');
	dispatcher.recordAdvertisements(id, [{kind: 'draining'}]);
	await context.pass(200);
	t.deepEqual(sent.findLast(({method}) => method === METHODS.updates)?.parameters, {service: SERVICE, updates: [{kind: 'draining', upstream: getUpstream(answer)}]});
	t.true(dispatcher.listUpstreamReports(SERVICE).find(({upstream}) => upstream === getUpstream(answer))!.isDraining);
	t.false(Array.from({length: 6}, () => getUpstream(requestSlot(undefined).answer)).includes(getUpstream(answer)));
});

test('a pool that starts at a dispatcher knows what the dispatcher has received about its upstreams', t => {
	const {requestSlot, dispatcher} = setUpDispatcher();
	dispatcher.applyBelief({service: SERVICE, upstream: 'x0', doubt: 8});
	dispatcher.applyUpdates({service: SERVICE, updates: [{kind: 'draining', upstream: 'x1'}]});
	const granted = Array.from({length: 4}, () => getUpstream(requestSlot('x').answer));
	t.true(granted.every(upstream => upstream === 'x2' || upstream === 'x3'));
});

test('the counts of a pool are those of its own upstreams, whichever record learned about them', t => {
	// Guards against log lines about refusals of a pool with the numbers of the whole service, and against a record whose counts lag behind what another
	// record has shown.
	const dispatcher = createPoolDispatcher(dispatch.createDispatcher({
		budget: {ratio: 0.2, extra: 60, windowMilliseconds: 10_000}, floor: 0.7, random: () => 0.5,
	}), () => DOMAINS);
	dispatcher.setCandidates(SERVICE, CANDIDATES, 0);
	const count = (pool: core.FailureDomain | undefined) => dispatcher.countUpstreams({service: SERVICE, pool}, 'front', 1);
	const requestSlot = (id: string, pool: core.FailureDomain | undefined, upstream: core.UpstreamId) => {
		const excluded = CANDIDATES.map(candidate => candidate.upstream).filter(other => other !== upstream);
		const effects = dispatcher.requestSlot({
			...fixture.SLOT_REQUEST_DRAFT, id, host: 'front', failureDomain: 'x', service: SERVICE, pool, excluded,
		}, 1);
		t.like(effects.find(effect => effect.kind === 'grant'), {upstream});
	};

	dispatcher.ensurePool({service: SERVICE, pool: 'x'}, 0);
	dispatcher.ensurePool({service: SERVICE, pool: 'y'}, 0);
	requestSlot('1', 'x', 'x0');
	requestSlot('2', undefined, 'x1');
	requestSlot('3', undefined, 'y0');
	dispatcher.recordAdvertisements('1', [{kind: 'backoff', milliseconds: 500}, {kind: 'rate-limit', ratePerSecond: 10}], 1);
	dispatcher.recordAdvertisements('2', [{kind: 'draining'}], 1);
	dispatcher.setDoubt(SERVICE, 'y0', 8, 1);
	t.deepEqual(count('x'), {
		upstreams: 4, suspended: 0, rateLimited: 1, draining: 1, backingOff: 1,
	});
	t.deepEqual(count('y'), {
		upstreams: 4, suspended: 1, rateLimited: 0, draining: 0, backingOff: 0,
	});
	for (const undivided of [undefined, 'w']) {
		t.deepEqual(count(undivided), {
			upstreams: 12, suspended: 1, rateLimited: 1, draining: 1, backingOff: 1,
		});
	}
});

test('the slots that a host reports count in the pool of their upstreams, and once', t => {
	// Guards against an upstream whose slots stay taken for ever: a host that starts to divide a service reports a slot that the undivided record of the
	// same dispatcher has granted.
	const {requestSlot, dispatcher} = setUpDispatcher();
	const held = Array.from({length: 24}, (_, index) => requestSlot(undefined, {failureDomain: DOMAINS[index % 3]!})).map(({id, answer}) => ({
		id, host: 'front', service: SERVICE, route: 'r', upstream: getUpstream(answer), ageMilliseconds: 10, remainingMilliseconds: 1000,
	}));
	dispatcher.applyHandover('front', {service: SERVICE, pool: 'x', places: held});
	t.is(requestSlot('x').answer.kind, 'wait');
	t.deepEqual(dispatcher.listUpstreamReports(SERVICE).map(({taken}) => taken), CANDIDATES.map(() => 2));
	for (const {id} of held) {
		dispatcher.end({id, ending: 'success', milliseconds: 10});
	}

	// The request that waited has one slot.
	t.is(dispatcher.listUpstreamReports(SERVICE).reduce((sum, {taken}) => sum + taken, 0), 1);
});

test('the shares of all pools add up to at most one while some hosts divide a service and others don\'t', t => {
	// Guards against resends beyond the retry budget: a dispatcher of several pools counts the entry hosts of all of them for each.
	const hosts = Array.from({length: 60}, (_, index) => ({id: `front-${index}`, failureDomain: DOMAINS[index % 3]!}));
	for (const dividing of [0, 1, 20, 59, 60]) {
		const dispatchers = Array.from({length: 4}, () => createRequestShare(() => hosts.length, 1, () => dividing > 0));
		const requested = new Set<string>();
		for (const [index, {id, failureDomain}] of hosts.entries()) {
			const pool: Pool = index < dividing ? {service: SERVICE, pool: failureDomain} : {service: SERVICE};
			const dispatcher = DOMAINS.indexOf(pool.pool ?? 'x');
			dispatchers[dispatcher]!.record(id, 0, pool);
			// Another service goes to one dispatcher, from all hosts.
			dispatchers[0]!.record(id, 0, {service: 'media'});
			requested.add(`${dispatcher} ${getPoolKey(pool)}`);
		}

		let sum = 0;
		for (const text of requested) {
			const [dispatcher, key] = text.split(' ') as [string, string];
			sum += dispatchers[Number(dispatcher)]!.getOf(key, 0);
		}

		t.true(sum <= 1 + 1e-9, `${dividing} hosts divide: ${sum}`);
		t.true(sum > 0.99);
	}
});

test('the shares of all pools add up to at most one while callers use more entry hosts than the directory names', t => {
	// Guards against resends beyond the retry budget: with 20 hosts named and 60 in use, each pool's share by hosts alone is one.
	const requestShare = createRequestShare(() => 20, 1, () => true);
	const dispatcher = createPoolDispatcher(dispatch.createDispatcher({
		budget: {ratio: 0.2, extra: 60, windowMilliseconds: 10_000}, floor: 0, random: () => 0,
	}), () => DOMAINS);
	dispatcher.setCandidates(SERVICE, CANDIDATES, 0);
	const pools = DOMAINS.map(pool => ({service: SERVICE, pool}));
	for (const [index, pool] of pools.entries()) {
		dispatcher.ensurePool(pool, 0);
		for (let host = 0; host < 20; host++) {
			requestShare.record(`front-${index}-${host}`, 0, pool);
		}
	}

	const keys = pools.map(pool => getPoolKey(pool));
	t.true(keys.every(key => requestShare.getOf(key, 0) === 1));
	const sum = keys.reduce((total, key) => total + Math.min(requestShare.getOf(key, 0), dispatcher.getMaxShare(key)), 0);
	t.true(sum <= 1 + 1e-9, String(sum));
	t.is(dispatcher.getMaxShare(SERVICE), 1);
});

test('without pools, the share of a service is that of all hosts that request slots from its dispatcher', t => {
	const share = createRequestShare(() => 10, 1);
	share.record('a', 0, {service: SERVICE});
	share.record('b', 0, {service: 'media'});
	t.is(share.getOf(SERVICE, 0), 0.2);
	t.is(share.get(0), 0.2);
});

async function requestFromAll({entries, context}: PoolFleet) {
	const answers = await Promise.all(entries.map(async ({client}) => client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer));
	await context.pass(0);
	return answers;
}

test('each entry host requests slots from the dispatcher of its own domain, and from another one after that is lost', async t => {
	const fleet = createPoolFleet({candidates: CANDIDATES});
	const first = await requestFromAll(fleet);
	t.deepEqual(first.map(answer => getUpstream(answer)[0]), DOMAINS);
	t.deepEqual(fleet.received, DOMAINS.map(domain => `control-${domain} ${domain}`));
	fleet.received.length = 0;
	fleet.lose('control-y');
	const second = await requestFromAll(fleet);
	t.deepEqual(second.map(answer => getUpstream(answer)[0]), DOMAINS);
	t.like(fleet.received, {0: 'control-x x', 2: 'control-z z'});
	t.regex(fleet.received[1]!, /^control-[xz] y$/v);
	// The next dispatcher has received the slot that the host holds.
	const {dispatcher} = fleet.controls.find(({id}) => fleet.received[1]!.startsWith(id))!;
	t.is(dispatcher.listUpstreamReports(SERVICE).filter(({failureDomain}) => failureDomain === 'y').reduce((sum, {taken}) => sum + taken, 0), 2);
});

test('entry hosts of a domain without upstreams use the undivided service', async t => {
	const fleet = createPoolFleet({candidates: createCandidates({x: 4, y: 4})});
	const answers = await requestFromAll(fleet);
	t.true(answers.every(({kind}) => kind === 'grant'));
	t.deepEqual(fleet.received.map(text => text.slice(text.indexOf(' ') + 1)), ['x', 'y', 'undivided']);
});

test('without overload control no message names a pool', async t => {
	// Guards against a change of earlier deployments.
	const context = fixture.createFakeContext();
	const share = createRequestShare(() => 1, 1);
	t.is(createPoolChoice(context, {
		failureDomain: 'x', overloadControl: {isOn: () => false}, listCandidates: () => CANDIDATES, minUpstreams: 1,
	}).find(SERVICE), undefined);
	t.is(share.getOf(SERVICE, 0), 1);
	const fleet = createPoolFleet({candidates: CANDIDATES, isDividing: () => false});
	const reported: unknown[] = [];
	for (const {links} of fleet.entries) {
		for (const {link} of links) {
			const {notify} = link;
			Object.assign(link, {
				notify(method: string, parameters: unknown) {
					reported.push(parameters);
					notify(method, parameters);
				},
			});
		}
	}

	await requestFromAll(fleet);
	t.true(reported.length > 0);
	await fleet.context.pass(1000);
	t.false(fleet.exchanged.includes(METHODS.room));
	t.false(JSON.stringify(reported).includes('pool'));
	t.is(new Set(fleet.received).size, 1);
});

const WORK_MILLISECONDS = 200;

const PARISH = {
	name: 'parish', keys: ['k'], ratePerSecond: 20, burst: 10,
};

for (const [dividing, nearUpstreams] of [['all', 40], ['some', 40], ['all', 1]] as const) {
	test(`an allotment holds over all pools while ${dividing} hosts divide a service, and one pool has ${nearUpstreams} upstreams`, async t => {
		// Guards against an allotment that each pool's dispatcher admits in full.
		const {ratePerSecond, burst} = PARISH;
		const {slack, windowMilliseconds} = fixture.ALLOTMENTS;
		const fleet = createPoolFleet({
			// With one upstream, requests are lent to the other pools.
			candidates: createCandidates({x: nearUpstreams, y: 40, z: 40}), entriesPerDomain: 3, organisations: [PARISH], isDividing: host => dividing === 'all' || host.endsWith('0'),
		});
		const admittedAt: number[] = [];
		const request = async (client: DispatchClient) => {
			const answer = await client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, organisation: PARISH.name}).answer;
			if (answer.kind !== 'grant') {
				return;
			}

			admittedAt.push(fleet.context.now());
			fleet.context.schedule(WORK_MILLISECONDS, () => {
				client.reportEnd(answer.id, 'success', WORK_MILLISECONDS);
			});
		};

		const stepMilliseconds = 50;
		await fleet.context.pass(windowMilliseconds * 2);
		for (let step = 0; step < 300; step++) {
			for (const {client} of fleet.entries) {
				void request(client);
			}

			// eslint-disable-next-line no-await-in-loop -- One step after the other.
			await fleet.context.pass(stepMilliseconds);
		}

		const worst = Math.max(...admittedAt.map(from => admittedAt.filter(at => at >= from && at < from + windowMilliseconds).length));
		t.true(worst <= (ratePerSecond * windowMilliseconds / 1000) + burst + slack, `${worst} admitted`);
		t.true(worst >= ratePerSecond * windowMilliseconds / 1000 * 0.5, `${worst} admitted`);
		t.is(fleet.received.some(text => text.endsWith('again')), nearUpstreams === 1);
	});
}

/**
A dispatcher of pool x with two slots, both taken.
*/
async function setUpFull() {
	const setup = setUpDispatcher({candidates: createCandidates({x: 1, y: 4, z: 4}), isLending: true});
	for (let count = 0; count < 2; count++) {
		setup.requestSlot('x');
	}

	await setup.context.pass(100);
	return setup;
}

type LendingCase = {
	readonly name: string;
	readonly rooms: readonly RoomReport[];
	readonly changes?: Partial<dispatch.SlotRequest>;
	/**
	Milliseconds since the reports arrived.
	*/
	readonly ageMilliseconds?: number;
	/**
	Answers to two requests.
	*/
	readonly answers: readonly string[];
};

const ROOMS: readonly RoomReport[] = [[SERVICE, 'y', 3, 0], [SERVICE, 'z', 5, 0]];

const LENDING_CASES: readonly LendingCase[] = [
	{
		name: 'are lent to the pool with the most free slots', rooms: ROOMS, answers: ['elsewhere z', 'elsewhere z'],
	},
	{
		// Guards against a pool that gets more requests within one interval of its reports than it has free slots.
		name: 'are lent once for each free slot', rooms: [[SERVICE, 'y', 1, 0]], answers: ['elsewhere y', 'wait'],
	},
	{
		name: 'stay while requests are queued in the other pools', rooms: [[SERVICE, 'y', 3, 1], [SERVICE, 'z', 0, 0]], answers: ['wait', 'wait'],
	},
	{
		name: 'stay at a dispatcher that is cut off from the others', rooms: [], answers: ['wait', 'wait'],
	},
	{
		name: 'stay when the last reports are old', rooms: ROOMS, ageMilliseconds: 600, answers: ['wait', 'wait'],
	},
	{
		name: 'stay when they have come back from another pool', rooms: ROOMS, changes: {isAgain: true}, answers: ['wait', 'wait'],
	},
	{
		// A resend is charged to the retry budget of one pool.
		name: 'stay when they are resends', rooms: ROOMS, changes: {isResend: true}, answers: ['refuse', 'refuse'],
	},
	{
		name: 'stay when they are uploads that wait for less than 250 ms', rooms: ROOMS, changes: {requestClass: 'upload'}, answers: ['wait', 'wait'],
	},
];

for (const {name, rooms, changes, ageMilliseconds = 0, answers} of LENDING_CASES) {
	test(`requests of a full pool ${name}`, async t => {
		const {context, dispatcher, requestSlot} = await setUpFull();
		dispatcher.applyRooms(rooms);
		await context.pass(ageMilliseconds);
		const received = [requestSlot('x', changes).answer, requestSlot('x', changes).answer];
		t.deepEqual(received.map(answer => answer.kind === 'elsewhere' ? `elsewhere ${answer.pool}` : answer.kind), answers);
	});
}

test('a lent request is granted at once or refused, and takes no place in the queue', async t => {
	const {dispatcher, requestSlot} = await setUpFull();
	t.is(requestSlot('x', {failureDomain: 'y', isAgain: true}).answer.kind, 'refuse');
	const {id} = requestSlot('z', {failureDomain: 'x', isAgain: true});
	dispatcher.end({id, ending: 'success', milliseconds: 10});
	t.is(requestSlot('w', {failureDomain: 'x', isAgain: true}).answer.kind, 'refuse');
	t.deepEqual(dispatcher.listUpstreamReports(SERVICE).map(({taken}) => taken), [2, 0, 0, 0, 0, 0, 0, 0, 0]);
});

test('requests of a pool whose upstreams are all suspended go to other pools, except for trials', async t => {
	// Guards against the loss of all requests of a failure domain whose upstreams fail together while those of the others have free slots, and against
	// upstreams that are never tried again because of it.
	const {context, dispatcher, requestSlot} = setUpDispatcher({isLending: true});
	requestSlot('x');
	for (const upstream of ['x0', 'x1', 'x2', 'x3']) {
		dispatcher.applyBelief({service: SERVICE, upstream, doubt: 20});
	}

	await context.pass(100);
	const kinds: string[] = [];
	for (let count = 0; count < 30; count++) {
		dispatcher.applyRooms([[SERVICE, 'y', 8, 0]]);
		const {id, answer} = requestSlot('x', {requestClass: 'read'});
		kinds.push(answer.kind);
		if (answer.kind === 'grant') {
			dispatcher.end({id, ending: 'reset', milliseconds: 10});
		}

		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await context.pass(100);
	}

	t.deepEqual(new Set(kinds), new Set(['grant', 'elsewhere']));
	t.true(kinds.filter(kind => kind === 'grant').length <= 10);
});

test('a pool without requests tells its free slots while another pool is in use, and no longer', async t => {
	// Guards against upstreams of a domain without callers that stay unused while the other domains refuse requests.
	const fleet = createPoolFleet({candidates: createCandidates({x: 1, y: 4, z: 4}), entryDomains: ['x', 'y', 'z']});
	const request = async () => fleet.entries[0]!.client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	const near = [await request(), await request()];
	t.deepEqual(near.map(answer => getUpstream(answer)), ['x0', 'x0']);
	await fleet.context.pass(200);
	const far = await Promise.all([request(), request(), request()]);
	t.true(far.every(answer => /^[yz]/v.test(getUpstream(answer))));
	await fleet.context.pass(3000);
	const {length} = fleet.exchanged;
	await fleet.context.pass(3000);
	t.is(fleet.exchanged.length, length);
});

test('a lent request counts once, where it first arrived', async t => {
	// Guards against resends beyond the retry budget: a request that earns a part of a resend at two dispatchers, and a host that counts in two pools.
	const fleet = createPoolFleet({candidates: createCandidates({x: 1, y: 4, z: 4}), entriesPerDomain: 2});
	await requestFromAll(fleet);
	await fleet.context.pass(200);
	fleet.received.length = 0;
	const answer = await fleet.entries[0]!.client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	const [first, second, ...others] = fleet.received;
	t.is(first, 'control-x x');
	t.regex(second!, /^control-(?<pool>[yz]) \k<pool> again$/v);
	t.deepEqual(others, []);
	t.is(getUpstream(answer)[0], second!.at('control-'.length));
	const shares = fleet.controls.map(({requestShare, failureDomain}) => requestShare.getOf(getPoolKey({service: SERVICE, pool: failureDomain}), fleet.context.now()));
	t.deepEqual(shares.map(share => Math.round(share * 6)), [2, 2, 2]);
});

test('a request that another pool refuses returns to its own pool, and waits there', async t => {
	const fleet = createPoolFleet({candidates: createCandidates({x: 1, y: 4, z: 4}), entriesPerDomain: 1});
	const [entry] = fleet.entries;
	const first = await entry!.client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	await entry!.client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	fleet.controls[0]!.dispatcher.applyRooms([[SERVICE, 'w', 9, 0]]);
	fleet.received.length = 0;
	const last = entry!.client.requestSlot(fixture.SLOT_REQUEST_DRAFT);
	await fleet.context.pass(10);
	t.is(fleet.received[0], 'control-x x');
	t.regex(fleet.received[1]!, /w again$/v);
	t.is(fleet.received[2], 'control-x x again');
	entry!.client.reportEnd(first.kind === 'grant' ? first.id : '', 'success', 10);
	t.is(getUpstream(await last.answer), 'x0');
	t.is(fleet.received.length, 3);
});

const SIZE_CASES = [
	{name: 'every pool has enough upstreams', counts: {x: 4, y: 4}, expected: 'x'},
	{name: 'another pool has too few', counts: {x: 4, y: 3}, expected: undefined},
	{name: 'the own domain has none', counts: {y: 8}, expected: undefined},
	{
		name: 'some are lost after the division', counts: {x: 4, y: 4}, countsLater: {x: 4, y: 2}, expected: 'x',
	},
	{
		name: 'most are lost after the division', counts: {x: 4, y: 4}, countsLater: {x: 4, y: 1}, expected: undefined,
	},
] as const;

for (const {name, counts, expected, ...later} of SIZE_CASES) {
	test(`a service is ${expected === undefined ? 'not ' : ''}divided when ${name}`, t => {
		// Guards against pools so small that most of their upstreams fail at the same time, while others of the service have free slots.
		let candidates = createCandidates(counts);
		const pools = createPoolChoice(fixture.createFakeContext(), {
			failureDomain: 'x', overloadControl: {isOn: () => true}, listCandidates: () => candidates, minUpstreams: 4,
		});
		const first = pools.find(SERVICE);
		candidates = createCandidates('countsLater' in later ? later.countsLater : counts);
		pools.refresh(SERVICE);
		t.is(pools.find(SERVICE), expected);
		t.is(first, 'countsLater' in later ? 'x' : expected);
	});
}

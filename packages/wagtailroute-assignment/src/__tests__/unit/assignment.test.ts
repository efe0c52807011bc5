/**
Tests of carriers and directory. The index is compared with the reference implementation over random changes.
*/
import test from 'ava';
import fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as assignment from '../../index.ts';

const SEED = 20_261_202;

const hash = await assignment.createNameHash();

function createHosts(count: number, domains: number): assignment.CarrierHost[] {
	return Array.from({length: count}, (_, index) => ({
		id: `host-${index}`,
		failureDomain: `domain-${index % domains}`,
		weight: 1,
	}));
}

const CARRIER_COUNT_CASES = [
	{name: 'eight upstreams of four slots', demand: {upstreams: 8, slots: 4, requestsPerSecond: 5000}, count: 4},
	{name: 'a quiet small service', demand: {upstreams: 6, slots: 6, requestsPerSecond: 10}, count: 3},
	{name: 'an archive of thirty upstreams', demand: {upstreams: 30, slots: 4, requestsPerSecond: 500}, count: 8},
	{name: 'twenty upstreams at full size', demand: {upstreams: 20, slots: 4, requestsPerSecond: 100}, count: 6},
	{name: 'no upstream yet', demand: {upstreams: 0, slots: 4, requestsPerSecond: 0}, count: 3},
	{
		name: 'a fleet of two hosts', demand: {upstreams: 30, slots: 4, requestsPerSecond: 0}, hosts: 2, count: 2,
	},
];

for (const {name, demand, hosts, count} of CARRIER_COUNT_CASES) {
	test(`${name}: ${count} carriers`, t => {
		t.is(assignment.getCarrierCount({...demand, connectionsPerUpstream: 400, hosts: hosts ?? 40}), count);
	});
}

test('no two carriers share a failure domain while another has an unselected host', t => {
	const hosts = createHosts(40, 4);
	for (let index = 0; index < 200; index++) {
		const carriers = assignment.getCarriers({
			hash,
			service: `service-${index}`,
			hosts,
			count: 6,
		});
		const domains = carriers.map(id => hosts.find(host => host.id === id)!.failureDomain);
		t.is(new Set(domains.slice(0, 4)).size, 4);
		t.is(new Set(domains.slice(4)).size, 2);
	}
});

type Change = {readonly kind: 'set' | 'remove' | 'size'; readonly index: number; readonly value: number};

test('the index agrees with the reference implementation after any changes', t => {
	const change: fc.Arbitrary<Change> = fc.record({
		kind: fc.constantFrom('set', 'remove', 'size'),
		index: fc.nat(11),
		value: fc.integer({min: 1, max: 5}),
	});
	t.log(`seed ${SEED}`);
	const check = fc.check(fc.property(fc.array(change, {maxLength: 40}), changes => {
		const hosts = new Map<string, assignment.CarrierHost>();
		const sizes = new Map<string, number>();
		const index = assignment.createCarrierIndex(hash, []);
		for (const {kind, index: number, value} of changes) {
			const before = new Map(sizes.keys().map(service => [service, index.getCarriers(service)]));
			const changed = applyChange({index, hosts, sizes}, kind, number, value);
			for (const [service, size] of sizes) {
				const expected = assignment.getCarriers({
					hash,
					service,
					hosts: hosts.values().toArray(),
					count: size,
				});
				const actual = index.getCarriers(service);
				const reported = changed.includes(service);
				const moved = String(before.get(service) ?? []) !== String(actual);
				utils.invariant(String(actual) === String(expected), `${service}: ${String(actual)}, ${String(expected)}`);
				utils.invariant(reported === moved, `${service}: reported ${reported}, moved ${moved}`);
			}
		}
	}), {seed: SEED, numRuns: 300});
	t.false(check.failed, fc.defaultReportMessage(check));
});

type IndexUnderTest = {
	readonly index: assignment.CarrierIndex;
	readonly hosts: Map<string, assignment.CarrierHost>;
	readonly sizes: Map<string, number>;
};

function applyChange(subject: IndexUnderTest, kind: Change['kind'], number: number, value: number): readonly string[] {
	const id = `name-${number}`;
	if (kind === 'size') {
		subject.sizes.set(id, value);
		return subject.index.setService(id, value);
	}

	if (kind === 'remove') {
		subject.hosts.delete(id);
		return subject.index.removeHost(id);
	}

	const host = {id, failureDomain: `domain-${(number + value) % 3}`, weight: value};
	subject.hosts.set(id, host);
	return subject.index.setHost(host);
}

const MEMBER = {state: 'alive', draining: false} as const;

function createMembers(
	changes: Readonly<Record<string, Partial<assignment.DirectoryMember>>>,
): Map<string, assignment.DirectoryMember> {
	return new Map(['a', 'b', 'c', 'd'].map((id, index) => [id, {
		...MEMBER,
		id,
		trafficAddress: {ip: '10.0.0.1', port: index},
		failureDomain: `domain-${index % 2}`,
		...changes[id],
	}]));
}

const DIRECTORY_CASES: ReadonlyArray<{
	readonly name: string;
	readonly changes: Readonly<Record<string, Partial<assignment.DirectoryMember>>>;
	readonly behind?: readonly string[];
	readonly ports: readonly number[];
}> = [
	{name: 'all carriers when all are fit', changes: {}, ports: [0, 1, 2]},
	{name: 'no draining, suspected or dead host', changes: {a: {draining: true}, b: {state: 'suspect'}}, ports: [2]},
	{
		name: 'no host behind on the catalogue', changes: {a: {state: 'dead'}}, behind: ['b'], ports: [2],
	},
	{
		name: 'another host when no carrier is fit',
		changes: {a: {state: 'dead'}, b: {state: 'suspect'}, c: {draining: true}},
		ports: [3],
	},
	{
		name: 'a suspected host when nothing else is left',
		changes: {
			a: {state: 'dead'},
			b: {state: 'suspect'},
			c: {draining: true},
			d: {state: 'left'},
		},
		ports: [1],
	},
	{
		name: 'a draining host when nothing else is left',
		changes: {
			a: {state: 'dead'},
			b: {state: 'dead'},
			c: {draining: true},
			d: {state: 'left'},
		},
		ports: [2],
	},
];

for (const {name, changes, behind, ports} of DIRECTORY_CASES) {
	test(`the directory gives ${name}`, t => {
		const answer = assignment.getAddresses({
			service: 'archive',
			carriers: ['a', 'b', 'c'],
			members: createMembers(changes),
			random: utils.createRandom(SEED),
			isBehind: id => behind?.includes(id) ?? false,
		});
		t.deepEqual(answer.addresses.map(address => address.port).toSorted((left, right) => left - right), [...ports]);
		t.is(answer.ttlSeconds, 5);
	});
}

test('a host with more free capacity is given to more callers, and a caller with a key gets the same answer again', t => {
	const members = createMembers({a: {load: 0.9}, c: {load: 0.1}});
	const random = utils.createRandom(SEED);
	const query = {
		service: 'archive', carriers: ['a', 'c'], members, count: 1,
	};
	let lessLoadedCount = 0;
	for (let caller = 0; caller < 1000; caller++) {
		lessLoadedCount += Number(assignment.getAddresses({...query, random}).addresses[0]!.port === 2);
	}

	// Free capacity of 0.9 against 0.1: nine answers in ten.
	t.true(lessLoadedCount > 860 && lessLoadedCount < 940);
	const keyed = {...query, random, caller: {hash, key: 'caller-1'}};
	t.deepEqual(assignment.getAddresses(keyed), assignment.getAddresses(keyed));
});

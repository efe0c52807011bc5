/**
Tests of the table of instances.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as instances from '../../index.ts';

const createHeartbeat = (changes: Partial<instances.Heartbeat> = {}): instances.Heartbeat => ({
	upstream: 'a',
	service: 'archive',
	address: {ip: '10.0.0.1', port: 80},
	failureDomain: 'x',
	slots: 4,
	warmupMilliseconds: 0,
	sequence: 1,
	...changes,
});

type Step =
	| {readonly take: Partial<instances.Heartbeat>; readonly comes: instances.Reception}
	| {readonly retire: 'draining' | 'gone'};

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	/**
	Instances of the service at the end, with their state.
	*/
	readonly listed: Readonly<Record<string, instances.InstanceState>>;
};

const CASES: readonly Case[] = [
	{
		name: 'a first heartbeat brings the instance',
		steps: [{take: {}, comes: 'news'}],
		listed: {a: 'serving'},
	},
	{
		name: 'a next one refreshes it',
		steps: [{take: {}, comes: 'news'}, {take: {sequence: 2}, comes: 'refreshed'}],
		listed: {a: 'serving'},
	},
	{
		name: 'an earlier one that comes late is passed over',
		steps: [{take: {sequence: 3, slots: 6}, comes: 'news'}, {take: {sequence: 2, slots: 4}, comes: 'stale'}],
		listed: {a: 'serving'},
	},
	{
		name: 'a new instance takes the address over',
		steps: [{take: {}, comes: 'news'}, {take: {upstream: 'b'}, comes: 'news'}],
		listed: {b: 'serving'},
	},
	{
		// Symptom: requests go to an instance that ended long ago, and are refused.
		// Sequence: a ends, b starts at its address, a heartbeat of a that was held up arrives, b is heard again.
		// Cause: the late heartbeat made a the newest at the address for good.
		name: 'the one that runs has its address back with its next heartbeat',
		steps: [
			{take: {}, comes: 'news'},
			{take: {upstream: 'b'}, comes: 'news'},
			{take: {sequence: 2}, comes: 'news'},
			{take: {upstream: 'b', sequence: 2}, comes: 'news'},
		],
		listed: {b: 'serving'},
	},
	{
		// Symptom: an upstream gets requests after it was acknowledged as draining.
		// Sequence: it is retired; a heartbeat it had sent before arrives, or a later one that still says it serves.
		// Cause: heartbeats were taken at their word.
		name: 'an instance that drains stays draining',
		steps: [{take: {}, comes: 'news'}, {retire: 'draining'}, {take: {sequence: 2}, comes: 'refreshed'}],
		listed: {a: 'draining'},
	},
	{
		name: 'one that has gone does not come back',
		steps: [{take: {}, comes: 'news'}, {retire: 'gone'}, {take: {sequence: 9}, comes: 'stale'}],
		listed: {},
	},
	{
		name: 'one that had gone before it was heard does not come',
		steps: [{retire: 'gone'}, {take: {}, comes: 'stale'}],
		listed: {},
	},
];

for (const {name, steps, listed} of CASES) {
	test(name, t => {
		const table = instances.createInstanceTable();
		const receptions = steps.map(step => 'retire' in step ? table.retire('a', step.retire) : table.take(createHeartbeat(step.take), 0));
		t.deepEqual(receptions, steps.map(step => 'retire' in step ? true : step.comes));

		t.deepEqual(Object.fromEntries(table.list('archive').map(({upstream, state}) => [upstream, state])), listed);
	});
}

test('an instance that moves to another service leaves the first one', t => {
	const table = instances.createInstanceTable();
	table.take(createHeartbeat(), 0);
	table.take(createHeartbeat({service: 'media', sequence: 2}), 0);
	t.is(table.list('archive').length, 0);
	t.is(table.list('media').length, 1);
});

test('silence ends an instance only after a minute', t => {
	const table = instances.createInstanceTable();
	table.take(createHeartbeat(), 0);
	t.deepEqual(table.forgetSilent(60_000), []);
	t.deepEqual(table.forgetSilent(60_001), ['a']);
	t.deepEqual(table.listAll(), []);
});

test('heartbeats in any order leave the state that their sequence numbers give', t => {
	const heartbeats = Array.from({length: 6}, (_, index) => createHeartbeat({sequence: index + 1, slots: index + 1}));
	fc.assert(fc.property(fc.shuffledSubarray(heartbeats, {minLength: 1}), order => {
		const table = instances.createInstanceTable();
		for (const heartbeat of order) {
			table.take(heartbeat, 0);
		}

		t.is(table.get('a')?.slots, Math.max(...order.map(({sequence}) => sequence)));
	}));
});

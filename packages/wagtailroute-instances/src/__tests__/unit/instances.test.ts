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
	| {readonly take: Partial<instances.Heartbeat>; readonly comes: instances.HeartbeatOutcome}
	| {readonly retire: 'draining' | 'gone'; readonly of?: string};

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

const FIRST_START = instances.createUpstreamId({server: 's', startedAt: 1_764_720_000_000});
const SECOND_START = instances.createUpstreamId({server: 's', startedAt: 1_764_720_060_000});

const RESTART_CASES: readonly Case[] = [
	{
		// Symptom: a backend server that crashed and came back gets no request for as long as it runs.
		// Sequence: it is heard up to sequence 40; it starts again under its name; its heartbeats begin with sequence 1.
		// Cause: they were taken for late ones of the process before.
		name: 'a server that started again is heard from its first heartbeat on',
		steps: [{take: {upstream: FIRST_START, sequence: 40}, comes: 'news'}, {take: {upstream: SECOND_START}, comes: 'news'}],
		listed: {[SECOND_START]: 'serving'},
	},
	{
		// Symptom: a backend server that was replaced in place gets no request.
		// Sequence: the first process drains and leaves, both acknowledged; the next one starts under its name.
		// Cause: the retirement named the server, not the process that left.
		name: 'a retirement binds the start that it named, not the next one',
		steps: [
			{take: {upstream: FIRST_START}, comes: 'news'},
			{retire: 'gone', of: FIRST_START},
			{take: {upstream: SECOND_START}, comes: 'news'},
		],
		listed: {[SECOND_START]: 'serving'},
	},
	{
		// Symptom: a server that drains gets requests, under the start that has ended.
		// Sequence: it starts again elsewhere and is acknowledged as draining; a heartbeat of the process before arrives late.
		// Cause: the earlier start counted as an instance of its own.
		name: 'a late heartbeat of an earlier start is passed over',
		steps: [
			{take: {upstream: SECOND_START}, comes: 'news'},
			{retire: 'draining', of: SECOND_START},
			{take: {upstream: FIRST_START, sequence: 41, address: {ip: '10.0.0.2', port: 80}}, comes: 'stale'},
		],
		listed: {[SECOND_START]: 'draining'},
	},
	{
		name: 'nor does it come back when the newer start has gone',
		steps: [
			{take: {upstream: SECOND_START}, comes: 'news'},
			{retire: 'gone', of: SECOND_START},
			{take: {upstream: FIRST_START, sequence: 41}, comes: 'stale'},
		],
		listed: {},
	},
	{
		// Symptom: for more than a second, requests to an address are all refused as misdirected.
		// Sequence: a server crashed, another started at its address; a heartbeat of the first that a cut had held up arrives.
		// Cause: whoever was heard last had the address.
		name: 'a late heartbeat takes no address from an instance that started later',
		steps: [
			{take: {upstream: FIRST_START}, comes: 'news'},
			{take: {upstream: instances.createUpstreamId({server: 'other', startedAt: 1_764_720_030_000})}, comes: 'news'},
			{take: {upstream: FIRST_START, sequence: 2}, comes: 'refreshed'},
		],
		listed: {[instances.createUpstreamId({server: 'other', startedAt: 1_764_720_030_000})]: 'serving'},
	},
];

for (const {name, steps, listed} of [...CASES, ...RESTART_CASES]) {
	test(name, t => {
		const table = instances.createInstanceTable();
		const receptions = steps.map(step => 'retire' in step ? table.retire(step.of ?? 'a', step.retire) : table.applyHeartbeat(createHeartbeat(step.take), 0));
		t.deepEqual(receptions, steps.map(step => 'retire' in step ? true : step.comes));

		t.deepEqual(Object.fromEntries(table.list('archive').map(({upstream, state}) => [upstream, state])), listed);
	});
}

test('an instance that moves to another service leaves the first one', t => {
	const table = instances.createInstanceTable();
	table.applyHeartbeat(createHeartbeat(), 0);
	table.applyHeartbeat(createHeartbeat({service: 'media', sequence: 2}), 0);
	t.is(table.list('archive').length, 0);
	t.is(table.list('media').length, 1);
});

test('silence ends an instance only after a minute', t => {
	const table = instances.createInstanceTable();
	table.applyHeartbeat(createHeartbeat(), 0);
	t.deepEqual(table.expireSilent(60_000), []);
	t.deepEqual(table.expireSilent(60_001), ['a']);
	t.deepEqual(table.listAll(), []);
});

test('an address comes back to the instance that is heard when the later one is silent', t => {
	const table = instances.createInstanceTable();
	table.applyHeartbeat(createHeartbeat({upstream: SECOND_START}), 0);
	table.applyHeartbeat(createHeartbeat({upstream: 'other'}), 5000);
	t.deepEqual(table.list('archive').map(({upstream}) => upstream), [SECOND_START]);
	table.applyHeartbeat(createHeartbeat({upstream: 'other', sequence: 2}), 5001);
	t.deepEqual(table.list('archive').map(({upstream}) => upstream), ['other']);
});

test('the name of an instance tells its server and its start', t => {
	fc.assert(fc.property(fc.string({minLength: 1}), fc.maxSafeNat(), (server, startedAt) => {
		t.deepEqual(instances.parseUpstreamId(instances.createUpstreamId({server, startedAt})), {server, startedAt});
	}));
	t.deepEqual(instances.parseUpstreamId('i-7f3a'), {server: 'i-7f3a', startedAt: 0});
});

test('of the heartbeats of all starts of a server, in any order, the newest start and its last word stay', t => {
	const heartbeats = [FIRST_START, SECOND_START].flatMap((upstream, start) =>
		Array.from({length: 4}, (_, index) => createHeartbeat({upstream, sequence: index + 1, slots: (start * 10) + index + 1})));
	fc.assert(fc.property(fc.shuffledSubarray(heartbeats, {minLength: 1}), order => {
		const table = instances.createInstanceTable();
		for (const heartbeat of order) {
			table.applyHeartbeat(heartbeat, 0);
		}

		t.deepEqual(table.list('archive').map(({slots}) => slots), [Math.max(...order.map(({slots}) => slots))]);
	}));
});

test('heartbeats in any order leave the state that their sequence numbers give', t => {
	const heartbeats = Array.from({length: 6}, (_, index) => createHeartbeat({sequence: index + 1, slots: index + 1}));
	fc.assert(fc.property(fc.shuffledSubarray(heartbeats, {minLength: 1}), order => {
		const table = instances.createInstanceTable();
		for (const heartbeat of order) {
			table.applyHeartbeat(heartbeat, 0);
		}

		t.is(table.get('a')?.slots, Math.max(...order.map(({sequence}) => sequence)));
	}));
});

/**
Tests of the entry hosts to which a host that reaches no upstream forwards requests.
*/
import test from 'ava';
import type * as link from 'wagtailroute-link';
import type * as proxy from 'wagtailroute-proxy';
import {createEntryHosts} from '../../entry-hosts.ts';
import {createForwardingTargets} from '../../forwarding.ts';
import {createFakeContext, createFakeLink} from './fixture.ts';

const ADDRESSES = [1, 2, 3].map(number => ({ip: `10.0.0.${number}`, port: 7662}));

test('hosts that were tried are not chosen again', t => {
	const targets = createForwardingTargets(createFakeContext(), () => ADDRESSES);
	const excluded = new Set<string>();
	for (const _ of ADDRESSES) {
		excluded.add(targets.choose(excluded)!.id);
	}

	t.is(excluded.size, ADDRESSES.length);
	t.is(targets.choose(excluded), undefined);
});

type Ending = {
	readonly ending: proxy.AttemptEnding;
	readonly isPaused: boolean;
};

const ENDINGS: readonly Ending[] = [
	{ending: 'success', isPaused: false},
	{ending: 'server-error', isPaused: false},
	{ending: 'cancelled', isPaused: false},
	{ending: 'shed', isPaused: true},
	{ending: 'connect-error', isPaused: true},
	{ending: 'reset', isPaused: true},
	{ending: 'timeout', isPaused: true},
];

for (const {ending, isPaused} of ENDINGS) {
	test(`a host is ${isPaused ? 'not chosen for a while' : 'chosen again'} after the ending ${ending}`, async t => {
		const context = createFakeContext();
		const targets = createForwardingTargets(context, () => ADDRESSES);
		const target = targets.choose(new Set())!;
		targets.recordEnding(target, ending);
		const choose = () => new Set(Array.from({length: 50}, () => targets.choose(new Set())!.id));
		t.is(choose().has(target.id), !isPaused);
		await context.pass(2000);
		t.true(choose().has(target.id));
	});
}

test('all hosts are chosen when each is paused', t => {
	const targets = createForwardingTargets(createFakeContext(), () => ADDRESSES);
	for (const address of ADDRESSES) {
		targets.recordEnding({id: `${address.ip}:${address.port}`, address, kind: 'host'}, 'shed');
	}

	t.not(targets.choose(new Set()), undefined);
});

type EntryCase = {
	readonly name: string;
	readonly states: ReadonlyArray<{readonly domain: string; readonly isIsolated?: boolean; readonly isReady?: boolean; readonly isOld?: boolean}>;
	/**
	Indexes of the hosts that are named to callers of domain `a`, and as forwarding targets.
	*/
	readonly directory: readonly number[];
	readonly forwarding: readonly number[];
};

const ENTRY_CASES: readonly EntryCase[] = [
	{
		name: 'a host that is isolated is not named', states: [{domain: 'a', isIsolated: true}, {domain: 'a'}, {domain: 'b'}], directory: [1], forwarding: [1, 2],
	},
	{
		name: 'callers of a failure domain whose hosts are all isolated are sent to another one', states: [{domain: 'a', isIsolated: true}, {domain: 'b'}], directory: [1], forwarding: [1],
	},
	{
		name: 'isolated hosts are named to callers when all are', states: [{domain: 'a', isIsolated: true}, {domain: 'b', isIsolated: true}], directory: [0], forwarding: [],
	},
	{
		name: 'a host that is stopping is no forwarding target', states: [{domain: 'a', isReady: false}, {domain: 'a'}], directory: [1], forwarding: [1],
	},
	{
		name: 'a host that accepts no forwarded requests is no target', states: [{domain: 'a', isOld: true}, {domain: 'b'}], directory: [0], forwarding: [1],
	},
];

for (const {name, states, directory, forwarding} of ENTRY_CASES) {
	test(name, t => {
		const hosts = createEntryHosts('a', () => 0);
		for (const [index, {domain, isIsolated, isReady = true, isOld = false}] of states.entries()) {
			const address = {ip: `10.0.0.${index}`, port: 1};
			hosts.add({
				id: `entry-${index}`,
				failureDomain: domain,
				state: {
					trafficAddress: address, linkAddress: address, isReady, load: 0, ...isIsolated !== undefined && {isIsolated}, ...!isOld && {forwardingAddress: address},
				},
				link: {...createFakeLink(() => undefined), getSilenceMilliseconds: () => 0} satisfies link.Link,
			});
		}

		const list = (addresses: ReadonlyArray<{readonly ip: string}>) => addresses.map(({ip}) => Number(ip.split('.').at(-1))).toSorted((left, right) => left - right);
		t.deepEqual(list(hosts.listAddresses('a')), directory);
		t.deepEqual(list(hosts.listForwardingAddresses()), forwarding);
	});
}

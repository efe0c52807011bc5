/**
Tests of links over loopback.
*/
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import * as link from '../../index.ts';
import {
	dial,
	LOOPBACK,
	METHODS,
	now,
	waitUntil,
} from './fixture.ts';

type Pair = {
	readonly link: link.Link;
	readonly received: unknown[];
	readonly defects: Error[];
	readonly server: link.LinkServer;
};

async function openPair(t: ExecutionContext): Promise<Pair> {
	const received: unknown[] = [];
	const defects: Error[] = [];
	const onDefect = (error: Error) => {
		defects.push(error);
	};

	const server = await link.openLinkServer({
		address: LOOPBACK,
		methods: new Map([...METHODS, ['note', (parameters: unknown) => {
			received.push(parameters);
		}]]),
		now,
		onClose: () => undefined,
		onDefect,
	});
	t.teardown(server.close);
	return {
		link: await dial(t, server, onDefect), received, defects, server,
	};
}

const CALLS = [
	{method: 'echo', parameters: {text: 'line\nfeed'}, value: {text: 'line\nfeed'}},
	{method: 'call-back', parameters: {}, value: {from: 'server'}},
] as const;

for (const {method, parameters, value} of CALLS) {
	test(`the call ${method} is answered`, async t => {
		const pair = await openPair(t);
		const answer = await pair.link.call(method, parameters, 5000);
		t.deepEqual(answer.unwrap(), value);
	});
}

// Only the call that is never answered runs into its limit: the others have one that no busy machine reaches.
const FAILURES = [
	{
		method: 'refuse', timeoutMilliseconds: 60_000, kind: 'call-refused', isPossiblyDelivered: true,
	},
	{
		method: 'missing', timeoutMilliseconds: 60_000, kind: 'call-refused', isPossiblyDelivered: true,
	},
	{
		method: 'never', timeoutMilliseconds: 50, kind: 'call-timeout', isPossiblyDelivered: true,
	},
] as const;

for (const {method, timeoutMilliseconds, kind, isPossiblyDelivered} of FAILURES) {
	test(`the call ${method} fails as ${kind}`, async t => {
		const pair = await openPair(t);
		const answer = await pair.link.call(method, {}, timeoutMilliseconds);
		const failure = answer.unwrapErr();
		t.is(failure.kind, kind);
		t.is(link.isPossiblyDelivered(failure), isPossiblyDelivered);
	});
}

test('notifications arrive in order', async t => {
	const pair = await openPair(t);
	for (let count = 0; count < 100; count++) {
		pair.link.notify('note', {count});
	}

	await waitUntil(() => pair.received.length === 100);
	t.deepEqual(pair.received, Array.from({length: 100}, (_, count) => ({count})));
});

test('a catalogue of 350 routes travels in a fifth of its length', async t => {
	// Symptom: asks wait a third of a second behind a change of the catalogue, and changes fill the links between failure domains.
	// Sequence: a catalogue of some hundred routes goes to the leader, to each replica and to each entry host.
	// Cause: it was spelled out each time, and most of it is names of fields.
	const random = utils.createRandom(7);
	const routes = Array.from({length: 350}, () => ({
		name: `r-${random().toString(36).slice(2, 9)}`,
		host: `${random().toString(36).slice(2, 8)}.example`,
		pathPrefix: `/${random().toString(36).slice(2, 9)}/`,
		class: 'non-idempotent',
		timeoutMilliseconds: 1500,
		objectiveMilliseconds: 1200,
		priority: 1,
		attempts: 2,
		shares: [{service: 'archive', weight: 1}],
	}));
	const pair = await openPair(t);
	const before = pair.link.getBytes().sent;
	const answer = await pair.link.call('echo', {routes}, 5000);
	t.deepEqual(answer.unwrap(), {routes});
	t.true((pair.link.getBytes().sent - before) * 5 < JSON.stringify(routes).length);
});

test('a call that waits ends as lost when the connection ends, the next one is not sent', async t => {
	const pair = await openPair(t);
	const pending = pair.link.call('never', {}, 60_000);
	await timers.setTimeout(20);
	pair.link.close();
	const lost = await pending;
	t.is(lost.unwrapErr().kind, 'call-lost');
	const next = await pair.link.call('echo', {}, 1000);
	t.is(next.unwrapErr().kind, 'link-closed');
});

const INVALID_MESSAGES = ['null\n', '{\n', '[1]\n', '"text"\n', 'z\n', 'zAAAA\n', 'z{}\n'];

for (const text of INVALID_MESSAGES) {
	test(`${JSON.stringify(text)} from a stranger ends its connection and nothing else`, async t => {
		// Symptom: a control host ends, and with it all its dispatching.
		// Sequence: something that is no message comes over a connection.
		// Cause: the library reads members of whatever it is given; a rejection that nobody handles ends the process.
		const pair = await openPair(t);
		const client = net.connect({host: pair.server.address.ip, port: pair.server.address.port});
		client.on('error', () => undefined);
		client.write(text);
		await waitUntil(() => pair.defects.length > 0);
		client.destroy();
		const answer = await pair.link.call('echo', {}, 5000);
		t.true(answer.isOk());
	});
}

test('a lost link is opened again', async t => {
	let opened = 0;
	const options = {
		address: LOOPBACK, methods: METHODS, now, onClose: () => undefined, onDefect: () => undefined,
	};
	const first = await link.openLinkServer(options);
	const {address} = first;
	const dialer = link.startDialer({
		...options,
		address,
		random: () => 0,
		getPingIntervalMilliseconds: () => 100,
		onOpen() {
			opened++;
		},
	});
	await waitUntil(() => opened === 1);
	await first.close();
	const second = await link.openLinkServer({...options, address});
	t.teardown(async () => {
		dialer.close();
		await second.close();
	});
	await waitUntil(() => opened === 2);
	t.true(dialer.getLink()?.isOpen());
});

test('messages of one turn of the event loop are sent in one write', async t => {
	// Guards against a system call and a packet for each of the hundreds of messages that a dispatcher sends in one turn.
	const {link: opened, received} = await openPair(t);
	const {write} = net.Socket.prototype;
	const written: string[] = [];
	net.Socket.prototype.write = function (this: net.Socket, ...parameters: Parameters<typeof write>) {
		written.push(String(parameters[0]));
		return write.apply(this, parameters);
	} as typeof write;
	t.teardown(() => {
		net.Socket.prototype.write = write;
	});
	for (let count = 0; count < 20; count++) {
		opened.notify('note', {turn: 'same', count});
	}

	await waitUntil(() => received.length === 20);
	t.is(written.filter(text => text.includes('"same"')).length, 1);
});

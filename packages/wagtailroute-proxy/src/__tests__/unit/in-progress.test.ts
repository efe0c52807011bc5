/**
Tests of what is reported of the requests in progress.
*/
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test from 'ava';
import type * as proxy from '../../index.ts';
import {openFixture, type Setup} from './fixture.ts';
import {startRawUpstream} from './raw-upstream.ts';

const NEVER = Promise.withResolvers<never>().promise;
const READ = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n';
const POLL_MILLISECONDS = 10;

type Case = {
	readonly waitsFor: proxy.WaitCause;
	readonly setup?: Partial<Setup>;
	readonly text?: string;
	/**
	What the upstream sends of its response.
	*/
	readonly head?: string;
	readonly attempts: number;
};

const CASES: readonly Case[] = [
	{waitsFor: 'routes', setup: {routes: {areKnown: () => false, wait: async () => NEVER}}, attempts: 0},
	{waitsFor: 'admission', setup: {admit: () => ({result: NEVER, cancel: () => undefined})}, attempts: 0},
	{waitsFor: 'body', text: 'POST /write HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhe', attempts: 0},
	{waitsFor: 'slot', setup: {beforeTarget: NEVER}, attempts: 0},
	{waitsFor: 'upstream', attempts: 1},
	{waitsFor: 'upstream', setup: {unreachableCount: 1}, attempts: 2},
	{waitsFor: 'response', head: 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhe', attempts: 1},
];

for (const {waitsFor, setup, text = READ, head, attempts} of CASES) {
	test(`a request that waits for ${waitsFor} after ${attempts} attempts is reported so`, async t => {
		const upstream = await startRawUpstream(t, () => head === undefined ? undefined : {head});
		const {server, address} = await openFixture(t, {faults: [], addresses: [upstream.address], ...setup});
		const socket = net.connect(address.port, address.ip);
		socket.write(text);
		t.teardown(() => {
			socket.destroy();
		});
		while (server.listInProgress()[0]?.waitsFor !== waitsFor || server.listInProgress()[0]?.attempts !== attempts) {
			// eslint-disable-next-line no-await-in-loop -- Waits for an event on another connection.
			await timers.setTimeout(POLL_MILLISECONDS);
		}

		const [request] = server.listInProgress();
		t.is(server.listInProgress().length, server.getInFlight());
		t.is(request!.service, waitsFor === 'routes' ? undefined : 'archive');
		t.is(request!.upstream, attempts > 0 ? 'further-0' : undefined);
		t.is(request!.sentMilliseconds !== undefined, attempts > 0);
		t.true(request!.milliseconds >= (request!.sentMilliseconds ?? 0));
	});
}

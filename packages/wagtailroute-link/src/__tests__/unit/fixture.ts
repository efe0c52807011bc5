/**
Links over loopback for tests.
*/
import * as timers from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import * as link from '../../index.ts';

/**
Any port of the loopback interface.
*/
export const LOOPBACK = {ip: '127.0.0.1', port: 0};

/**
Monotonic time in milliseconds.
*/
export const now = () => performance.now();

/**
Methods that answer, fail, never answer and call back.
*/
export const METHODS: link.LinkMethods = new Map<string, link.LinkMethod>([
	['echo', (parameters: unknown) => parameters],
	['refuse', () => {
		throw new Error('no');
	}],
	['never', async () => Promise.withResolvers().promise],
	['call-back', async (_parameters: unknown, from: link.Link) => {
		const answer = await from.call('echo', {from: 'server'}, 1000);
		return answer.unwrap();
	}],
]);

/**
Opens a link to a server until the test ends.
*/
export async function dial(t: ExecutionContext, server: link.LinkServer, onDefect: (error: Error) => void = () => undefined): Promise<link.Link> {
	const {promise, resolve} = Promise.withResolvers<link.Link>();
	const dialer = link.startDialer({
		address: server.address,
		methods: METHODS,
		now,
		random: () => 0.5,
		getPingIntervalMilliseconds: () => 100,
		onOpen: resolve,
		onClose: () => undefined,
		onDefect,
	});
	t.teardown(() => {
		dialer.close();
	});
	return promise;
}

/**
Looks until it is so; the test runner has the limit.
*/
export async function waitUntil(check: () => boolean): Promise<void> {
	while (!check()) {
		// eslint-disable-next-line no-await-in-loop -- Looks until it is so; the test runner has the limit.
		await timers.setTimeout(5);
	}
}

/**
Tests of links of a process whose event loop stands still for a while.
*/
import * as timers from 'node:timers/promises';
import * as threads from 'node:worker_threads';
import test, {type ExecutionContext} from 'ava';
import type * as core from 'wagtailroute-core';
import type * as link from '../../index.ts';
import {dial, now} from './fixture.ts';

const TIMEOUT_MILLISECONDS = 200;
const STALL_MILLISECONDS = 600;
const LONG_TIMEOUT_MILLISECONDS = 10_000;

/**
Opens a link to a thread that goes on while this one stands still.
*/
async function openLink(t: ExecutionContext): Promise<link.Link> {
	const thread = new threads.Worker(new URL('answering-thread.ts', import.meta.url));
	t.teardown(async () => {
		await thread.terminate();
	});
	const {promise, resolve, reject} = Promise.withResolvers<core.Address>();
	thread.once('message', resolve).once('error', reject);
	const address = await promise;
	return dial(t, {address, close: async () => undefined});
}

/**
Makes a call, lets its message leave, and stands still.
*/
async function callAndStall(dialed: link.Link, method: string): ReturnType<link.Link['call']> {
	const answer = dialed.call(method, {text: 'a'}, TIMEOUT_MILLISECONDS);
	await timers.setImmediate();
	await timers.setImmediate();
	const until = now() + STALL_MILLISECONDS;
	while (now() < until) {
		// Stands still.
	}

	return answer;
}

// A host that got no processor time took the dispatchers that had answered meanwhile for unresponsive: its timers ran before it read their answers.
test.serial('an answer that arrived while the event loop stood still is no timeout', async t => {
	const dialed = await openLink(t);
	await dialed.call('echo', {}, LONG_TIMEOUT_MILLISECONDS);
	const answer = await callAndStall(dialed, 'echo');
	t.deepEqual(answer.unwrap(), {text: 'a'});
	t.true(dialed.getSilenceMilliseconds() < TIMEOUT_MILLISECONDS, 'the other side was heard');
});

test.serial('a call without an answer times out all the same', async t => {
	const dialed = await openLink(t);
	const answer = await callAndStall(dialed, 'never');
	t.is(answer.unwrapErr().kind, 'call-timeout');
	const next = await dialed.call('echo', {text: 'b'}, LONG_TIMEOUT_MILLISECONDS);
	t.deepEqual(next.unwrap(), {text: 'b'}, 'the link stays');
});

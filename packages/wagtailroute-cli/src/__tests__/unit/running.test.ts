/**
Tests of starting and stopping a host from the command line.
*/
import * as stream from 'node:stream';
import * as timers from 'node:timers/promises';
import test from 'ava';
import * as results from 'ts-results-es';
import * as running from '../../running.ts';

type Case = {
	readonly name: string;
	readonly start: 'ends' | 'is slow' | 'hangs' | 'fails' | 'is broken';
	readonly events: readonly string[];
	readonly result: string;
};

const CASES: readonly Case[] = [
	{
		name: 'a signal drains a running host', start: 'ends', events: ['start', 'run: ready\n', 'stop'], result: 'ok',
	},
	{
		name: 'a signal ends a host whose start hangs', start: 'hangs', events: ['start'], result: 'ok',
	},
	// Guards against requests that end without an answer: a host serves a little before its start has ended, and a signal at that moment ended the process.
	{
		name: 'a signal during the start drains the host', start: 'is slow', events: ['start', 'run: ready\n', 'stop'], result: 'ok',
	},
	{
		name: 'an address in use is reported', start: 'fails', events: ['start'], result: 'stopped: address in use',
	},
	{
		name: 'a defect is thrown with its stack', start: 'is broken', events: ['start'], result: 'thrown',
	},
];

const START_MILLISECONDS = 100;

const STARTS: Readonly<Record<Case['start'], (stop: () => Promise<void>) => Promise<running.RunningHost>>> = {
	ends: async stop => ({stop}),
	async 'is slow'(stop) {
		await timers.setTimeout(START_MILLISECONDS);
		return {stop};
	},
	hangs: async () => new Promise(() => {
		// Never resolved.
	}),
	async fails() {
		throw Object.assign(new Error('address in use'), {code: 'EADDRINUSE'});
	},
	async 'is broken'() {
		throw new TypeError('broken');
	},
};

for (const {name, start, events, result} of CASES) {
	test(name, async t => {
		const seen: string[] = [];
		const output = new stream.Writable({
			write(chunk, _encoding, done) {
				seen.push(String(chunk));
				done();
			},
		});
		const signal = Promise.withResolvers<undefined>();
		const run = async (): Promise<string> => {
			const ended = await running.runUntilStopped(output, 'run: ready', async () => {
				seen.push('start');
				return results.Ok(await STARTS[start](async () => {
					seen.push('stop');
				}));
			}, async () => signal.promise);
			return ended.isOk() ? 'ok' : `${ended.error.kind}: ${ended.error.message}`;
		};

		setImmediate(() => {
			signal.resolve(undefined);
		});
		const outcome = await run().catch(() => 'thrown');
		t.is(outcome, result);
		t.deepEqual(seen, [...events]);
	});
}

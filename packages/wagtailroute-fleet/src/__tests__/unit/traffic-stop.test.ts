/**
Tests of the stop of an entry host's traffic.
*/
import * as stream from 'node:stream';
import test from 'ava';
import type * as proxy from 'wagtailroute-proxy';
import * as telemetry from 'wagtailroute-telemetry';
import {FLUSH_CHECK_INTERVAL_MILLISECONDS} from '../../constants.ts';
import {divideStopTime} from '../../stop-times.ts';
import {stopTraffic} from '../../traffic-stop.ts';
import * as fixture from './fixture.ts';

const STOP_MILLISECONDS = 6000;
const {acceptingMilliseconds, drainingMilliseconds, flushingMilliseconds} = divideStopTime(STOP_MILLISECONDS);

const ABORT_MILLISECONDS = acceptingMilliseconds + drainingMilliseconds;

const REQUEST: proxy.RequestInProgress = {
	requestId: 'r-1', service: 'archive', requestClass: 'read', waitsFor: 'upstream', attempts: 1, upstream: 'i-1', milliseconds: 3000.4, sentMilliseconds: 2999.6,
};

function createContext(): {readonly context: fixture.FakeContext; readonly lines: Array<Readonly<Record<string, unknown>>>} {
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const output = new stream.Writable({
		write(chunk, _encoding, done) {
			lines.push(JSON.parse(String(chunk)) as Readonly<Record<string, unknown>>);
			done();
		},
	});
	const context = fixture.createFakeContext();
	const logs = telemetry.createLogs({
		output, level: 'info', now: context.now, fields: {},
	});
	return {context: {...context, logs}, lines};
}

type FakeTraffic = Parameters<typeof stopTraffic>[1] & {
	/**
	Calls with the time of each.
	*/
	readonly calls: string[];
	inFlight: number;
};

function createTraffic(now: () => number, {inFlight, drained}: {readonly inFlight: number; readonly drained: Promise<void>}): FakeTraffic {
	const calls: string[] = [];
	return {
		calls,
		inFlight,
		getInFlight() {
			return this.inFlight;
		},
		listInProgress() {
			return Array.from({length: this.inFlight}, () => REQUEST);
		},
		limitTime(endsAt) {
			calls.push(`limit ${endsAt} at ${now()}`);
		},
		async drain() {
			calls.push(`drain at ${now()}`);
			return drained;
		},
		abort(scope) {
			calls.push(`abort ${scope} at ${now()}`);
		},
	};
}

const NEVER = Promise.withResolvers<never>().promise;
const START_CALLS = [`limit ${ABORT_MILLISECONDS} at 0`, `drain at ${acceptingMilliseconds}`];

const CASES = [
	{
		title: 'ends with the drain',
		drained: Promise.resolve(),
		inFlight: 0,
		endsAt: acceptingMilliseconds,
		cutOff: 0,
		calls: [...START_CALLS, `abort unanswered at ${acceptingMilliseconds}`, `abort all at ${acceptingMilliseconds}`],
	},
	{
		title: 'waits for connections on which a request may still come',
		drained: NEVER,
		inFlight: 0,
		endsAt: ABORT_MILLISECONDS,
		cutOff: 0,
		calls: [...START_CALLS, `abort unanswered at ${ABORT_MILLISECONDS}`, `abort all at ${ABORT_MILLISECONDS}`],
	},
	{
		title: 'ends once the aborted requests are answered',
		drained: NEVER,
		inFlight: 1,
		answeredAt: ABORT_MILLISECONDS + 1,
		endsAt: ABORT_MILLISECONDS + FLUSH_CHECK_INTERVAL_MILLISECONDS,
		cutOff: 0,
		calls: [...START_CALLS, `abort unanswered at ${ABORT_MILLISECONDS}`, `abort all at ${ABORT_MILLISECONDS + FLUSH_CHECK_INTERVAL_MILLISECONDS}`],
	},
	{
		title: 'waits for callers that do not read for a bounded time',
		drained: NEVER,
		inFlight: 2,
		endsAt: ABORT_MILLISECONDS + flushingMilliseconds,
		cutOff: 2,
		calls: [...START_CALLS, `abort unanswered at ${ABORT_MILLISECONDS}`, `abort all at ${ABORT_MILLISECONDS + flushingMilliseconds}`],
	},
];

for (const {
	title, drained, inFlight, answeredAt = Infinity, endsAt, cutOff, calls,
} of CASES) {
	test(`a stop ${title}`, async t => {
		const {context} = createContext();
		const traffic = createTraffic(context.now, {inFlight, drained});
		context.schedule(answeredAt, () => {
			traffic.inFlight = 0;
		});
		const ended: number[] = [];
		void (async () => {
			ended.push(await stopTraffic(context, traffic, STOP_MILLISECONDS), context.now());
		})();

		await context.pass(STOP_MILLISECONDS);
		t.deepEqual(ended, [cutOff, endsAt]);
		t.deepEqual(traffic.calls, calls);
	});
}

// Guards against a failure of the drain that ends the process while requests are in flight.
test('a drain that fails leaves the requests in flight their time', async t => {
	const {context, lines} = createContext();
	const traffic = createTraffic(context.now, {
		inFlight: 1, drained: (async () => {
			throw new Error('The pools could not be closed.');
		})(),
	});
	let hasEnded = false;
	void (async () => {
		await stopTraffic(context, traffic, STOP_MILLISECONDS);
		hasEnded = true;
	})();

	await context.pass(ABORT_MILLISECONDS - 1);
	t.false(hasEnded);
	t.like(lines[0], {message: 'defects: A task ended with an unexpected error.', task: 'drain'});
	await context.pass(STOP_MILLISECONDS - ABORT_MILLISECONDS);
	t.true(hasEnded);
});

test('the requests that a stop does not finish are logged with what each waits for', async t => {
	const {context, lines} = createContext();
	void stopTraffic(context, createTraffic(context.now, {inFlight: 1, drained: NEVER}), STOP_MILLISECONDS);
	await context.pass(ABORT_MILLISECONDS - 1);
	t.deepEqual(lines, []);
	await context.pass(STOP_MILLISECONDS);
	t.is(lines.length, 1);
	t.like(lines[0], {
		level: 'warn', request: 'r-1', service: 'archive', class: 'read', waitsFor: 'upstream', attempts: 1, upstream: 'i-1', milliseconds: 3000, sentMilliseconds: 3000,
	});
});

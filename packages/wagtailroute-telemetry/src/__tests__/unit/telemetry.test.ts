/**
Tests of logs and metrics.
*/
import * as stream from 'node:stream';
import test from 'ava';
import * as telemetry from '../../index.ts';

const MAX_WAIT_MILLISECONDS = 5000;
const FAILED_READ = 'The value can not be read.';

type LogCapture = {
	readonly logs: telemetry.Logs;
	readonly read: () => ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly advance: (milliseconds: number) => void;
};

function createLogCapture(): LogCapture {
	const texts: string[] = [];
	let time = 0;
	const output = new stream.Writable({
		write(chunk: Uint8Array, _encoding, done) {
			texts.push(String(chunk));
			done();
		},
	});
	return {
		logs: telemetry.createLogs({
			output, level: 'info', now: () => time, fields: {host: 'a'},
		}),
		read: () => texts.join('').split('\n').filter(text => text !== '').map(text => JSON.parse(text) as Readonly<Record<string, unknown>>),
		advance(milliseconds) {
			time += milliseconds;
		},
	};
}

test('a line is JSON with its part, level and fields', t => {
	const lines = createLogCapture();
	lines.logs('entry').warn('Failed.', {request: 'r'});
	const [line] = lines.read();
	t.like(line, {
		host: 'a', level: 'warn', message: 'entry: Failed.', request: 'r',
	});
	t.is(typeof line?.timestamp, 'string');
});

test('below the level nothing is written', t => {
	const lines = createLogCapture();
	lines.logs('entry').debug('Detail.');
	t.deepEqual(lines.read(), []);
});

test('a kind of line that comes too often is left out, counted and told; other kinds are not', t => {
	// Symptom: a burst fills the log, the memory or the time of the process, and the failures in it are not found.
	// Sequence: thousands of requests fail alike within a second.
	// Cause: every request wrote its line.
	const lines = createLogCapture();
	const log = lines.logs('request');
	for (let count = 0; count < 1000; count++) {
		log.info('Answered.');
	}

	log.warn('Failed.');
	const before = lines.read();
	t.true(before.length < 200);
	t.is(before.at(-1)?.message, 'request: Failed.');
	lines.advance(1000);
	log.info('Answered.');
	t.is(lines.read().at(-1)?.leftOut, 1000 - (before.length - 1));
});

test('an output that takes nothing loses lines, not the process', t => {
	const output = new stream.Writable({
		highWaterMark: 1,
		write() {
			// Never done: standard output is blocked.
		},
	});
	let time = 0;
	const logs = telemetry.createLogs({
		output, level: 'info', now: () => time, fields: {},
	});
	for (let count = 0; count < 200_000; count++) {
		time += 1000;
		logs('request').info('Answered.', {text: 'x'.repeat(100)});
	}

	t.true(output.writableLength < 2_000_000);
});

test('metrics are told as text', async t => {
	const metrics = telemetry.createMetrics();
	metrics.count('requests', {outcome: 'ran'});
	metrics.count('requests', {outcome: 'ran'});
	metrics.observe('request', 120, {service: 'archive'});
	metrics.registerGauge('waiting', () => 3);
	const text = await metrics.getText();
	const parts = ['wagtailroute_requests_total{outcome="ran"} 2', 'wagtailroute_request_milliseconds_bucket{le="200",service="archive"} 1', 'wagtailroute_waiting 3'];
	t.deepEqual(parts.filter(part => !text.includes(part)), []);
});

/**
Symptom: a process with both roles ended at its start. Sequence: the dispatcher of each role registered its gauge of waiting asks.
Cause: a name could be registered once in a process.
*/
test('two parts of a process register a gauge of the same name', async t => {
	const metrics = telemetry.createMetrics();
	metrics.label({role: 'control'}).registerGauge('waiting', () => 3);
	metrics.label({role: 'entry'}).registerGauge('waiting', () => 4);
	const text = await metrics.getText();
	t.regex(text, /^wagtailroute_waiting\{role="control"\} 3$/mv);
	t.regex(text, /^wagtailroute_waiting\{role="entry"\} 4$/mv);
});

test('labels of a part stand on its counters and histograms', async t => {
	const metrics = telemetry.createMetrics();
	const entry = metrics.label({role: 'entry'});
	entry.count('requests', {outcome: 'ran'});
	entry.observe('request', 120);
	const text = await metrics.getText();
	t.regex(text, /^wagtailroute_requests_total\{.*role="entry".*\} 1$/mv);
	t.regex(text, /^wagtailroute_request_milliseconds_count\{role="entry"\} 1$/mv);
});

type ReadCase = {
	readonly name: string;
	/**
	Values of the gauges while the metrics are fetched; undefined for one that throws.
	*/
	readonly values: ReadonlyArray<number | undefined>;
	readonly expectedStatus: number;
	readonly expectedErrors: readonly string[];
};

const READ_CASES: readonly ReadCase[] = [
	{
		name: 'a gauge throws', values: [undefined], expectedStatus: 500, expectedErrors: [FAILED_READ],
	},
	{
		name: 'the next read succeeds', values: [1], expectedStatus: 200, expectedErrors: [],
	},
	{
		name: 'one of several gauges throws', values: [1, undefined], expectedStatus: 500, expectedErrors: [FAILED_READ],
	},
	{
		name: 'several gauges throw', values: [undefined, undefined], expectedStatus: 500, expectedErrors: [FAILED_READ],
	},
	{
		name: 'all reads succeed', values: [1, 2], expectedStatus: 200, expectedErrors: [],
	},
];

// Guards against a host that ends, with all its requests, when its metrics are fetched: a gauge that threw was a rejection that nobody handled.
test('metrics that can not be read are answered with 500 and reported, and the server goes on', async t => {
	const metrics = telemetry.createMetrics();
	const errors: string[] = [];
	const server = await telemetry.openMetricsServer({ip: '127.0.0.1', port: 0}, metrics, error => {
		errors.push(error.message);
	});
	t.teardown(server.close);
	const gauges: {values: ReadCase['values']} = {values: []};
	for (const index of [0, 1]) {
		metrics.registerGauge(`gauge_${index}`, () => {
			const value = gauges.values.length > index ? gauges.values[index] : 0;
			if (value === undefined) {
				throw new Error(FAILED_READ);
			}

			return value;
		});
	}

	for (const {name, values, expectedStatus, expectedErrors} of READ_CASES) {
		gauges.values = values;
		errors.length = 0;
		// eslint-disable-next-line no-await-in-loop -- One case after the other.
		const response = await fetch(`http://127.0.0.1:${server.address.port}/metrics`, {signal: AbortSignal.timeout(MAX_WAIT_MILLISECONDS)});
		// eslint-disable-next-line no-await-in-loop -- One case after the other.
		const text = await response.text();
		t.is(response.status, expectedStatus, name);
		t.is(text.includes('wagtailroute_gauge_0'), expectedStatus === 200, name);
		t.deepEqual(errors, expectedErrors, name);
	}
});

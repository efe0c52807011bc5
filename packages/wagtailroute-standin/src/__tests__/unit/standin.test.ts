/**
Tests of the stand-in backend servers over real sockets on loopback.
*/
import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import * as undici from 'undici';
import * as standins from '../../index.ts';

const PATIENCE_MILLISECONDS = 20_000;
const SHORT_PATIENCE_MILLISECONDS = 1000;
const TEST_MILLISECONDS = 60_000;

/**
An endless answer must be given up by its size: read for as long as the patience lasts, it filled the machine's memory.
*/
const ANSWER_BYTES = 1_000_000;
const AGENT = new undici.Agent({maxResponseSize: ANSWER_BYTES});

type Case = {
	readonly name: string;
	readonly behaviour: standins.BehaviourRequest;
	readonly expected: string;
	readonly runs: number;
	readonly path?: string;
	/**
	Set where no answer ever ends.
	*/
	readonly patience?: number;
	readonly headers?: Readonly<Record<string, string>>;
};

const CASES: readonly Case[] = [
	{
		name: 'slow', behaviour: {kind: 'slow', delayMilliseconds: 5}, expected: '200', runs: 1,
	},
	{
		name: 'fail', behaviour: {kind: 'fail', status: 502}, expected: '502', runs: 1,
	},
	{
		name: 'fail with share 0', behaviour: {kind: 'fail', share: 0}, expected: '200', runs: 1,
	},
	{
		name: 'shed', behaviour: {kind: 'shed'}, expected: '503 not-run', runs: 0,
	},
	{
		name: 'reset before', behaviour: {kind: 'reset'}, expected: 'broken', runs: 0,
	},
	{
		name: 'reset midway', behaviour: {kind: 'reset', when: 'midway'}, expected: 'broken', runs: 1,
	},
	{
		name: 'truncate by length', behaviour: {kind: 'truncate'}, expected: 'broken', runs: 1,
	},
	{
		name: 'truncate by chunks', behaviour: {kind: 'truncate', framing: 'chunked'}, expected: 'broken', runs: 1,
	},
	{
		name: 'truncate a stream', behaviour: {kind: 'truncate'}, path: '/bytes/100000', expected: 'broken', runs: 1,
	},
	{
		name: 'crash by path', behaviour: {kind: 'crash', mark: 'poison'}, path: '/poison', expected: 'broken', runs: 1,
	},
	{
		name: 'crash by header', behaviour: {kind: 'crash', mark: 'poison'}, headers: {'x-a': 'poison'}, expected: 'broken', runs: 1,
	},
	{
		name: 'no crash without the mark', behaviour: {kind: 'crash', mark: 'poison'}, expected: '200', runs: 1,
	},
	{
		name: 'cold', behaviour: {kind: 'cold', milliseconds: 10_000, delayMilliseconds: 5}, expected: '200', runs: 1,
	},
	{
		name: 'half-open', behaviour: {kind: 'half-open'}, expected: 'broken', runs: 0, patience: SHORT_PATIENCE_MILLISECONDS,
	},
	{
		name: 'endless', behaviour: {kind: 'endless'}, expected: 'broken', runs: 1,
	},
	{
		name: 'oversize headers', behaviour: {kind: 'oversize-headers'}, expected: 'broken', runs: 1,
	},
];

async function startStandin(t: ExecutionContext, settings: standins.StandinSettings): Promise<standins.Standin> {
	t.timeout(TEST_MILLISECONDS);
	const standin = standins.createStandin(settings);
	await standin.start();
	// A failed check must not leave the server behind: the test process would not end.
	t.teardown(async () => standin.stop());
	return standin;
}

function createSettings(changes: Partial<standins.StandinSettings> = {}): standins.StandinSettings {
	return {
		id: 'u1',
		service: 'archive',
		address: {ip: '127.0.0.1', port: 0},
		failureDomain: 'fd1',
		slots: 4,
		connections: 100,
		announceTo: () => [],
		seed: 1,
		drainMilliseconds: 0,
		...changes,
	};
}

async function ask(standin: standins.Standin, path: string, options: {
	readonly headers?: Readonly<Record<string, string>>;
	readonly method?: undici.Dispatcher.HttpMethod;
	readonly body?: string;
	readonly patience?: number;
	readonly signal?: AbortSignal;
} = {}): Promise<{readonly status: string; readonly text: string}> {
	const {patience = PATIENCE_MILLISECONDS, signal = AbortSignal.timeout(patience), ...question} = options;
	const {port} = standin.getAddress();
	try {
		const response = await undici.request(`http://127.0.0.1:${port}${path}`, {
			...question, dispatcher: AGENT, signal, headers: {connection: 'close', ...question.headers},
		});
		const text = await response.body.text();
		const outcome = response.headers['wagtailroute-outcome'];
		return {status: [response.statusCode, outcome].filter(Boolean).join(' '), text};
	} catch {
		return {status: 'broken', text: ''};
	}
}

async function askStatus(...question: Parameters<typeof ask>): Promise<string> {
	const {status} = await ask(...question);
	return status;
}

async function turn(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

for (const {name, behaviour, expected, runs, path, headers, patience} of CASES) {
	test(`the behaviour ${name} shows as ${expected} and ${runs} runs`, async t => {
		const standin = await startStandin(t, createSettings());
		standin.behave(behaviour);
		const {status} = await ask(standin, path ?? '/a', {headers: {'x-request-id': 'r1', ...headers}, patience});
		t.is(status, expected);
		t.is(standin.counters().runs, runs);
		t.is(standin.counters().runsById.r1 ?? 0, runs);
	});
}

test('an echo tells what was received and counts runs by id and by key', async t => {
	const standin = await startStandin(t, createSettings());
	const headers = {'x-request-id': 'r1', 'idempotency-key': 'k1'};
	await ask(standin, '/merge', {method: 'POST', body: 'trees', headers});
	const {text} = await ask(standin, '/merge', {method: 'POST', body: 'trees', headers});
	t.deepEqual(JSON.parse(text), {
		requestId: 'r1',
		upstream: 'u1',
		method: 'POST',
		path: '/merge',
		bodyBytes: 5,
		bodySha256: crypto.hash('sha256', 'trees'),
	});
	t.deepEqual(standin.counters().runsByKey, {k1: 2});
	const back = await ask(standin, '/echo', {method: 'POST', body: 'back'});
	t.is(back.text, 'back');
});

for (const length of [0, 1, 3, 16_384, 100_001]) {
	test(`/bytes/${length} gives the bytes that the seed tells`, async t => {
		const standin = await startStandin(t, createSettings());
		const response = await undici.request(`http://127.0.0.1:${standin.getAddress().port}/bytes/${length}?seed=7`);
		const received = Buffer.from(await response.body.arrayBuffer());
		t.is(received.length, length);
		t.is(crypto.hash('sha256', received), standins.digestGeneratedBytes(7, length));
	});
}

const HEALTH_CASES: ReadonlyArray<{readonly behaviours: readonly standins.BehaviourRequest[]; readonly expected: string}> = [
	{behaviours: [], expected: '200'},
	{behaviours: [{kind: 'fail'}], expected: '503'},
	{behaviours: [{kind: 'fail'}, {kind: 'lie'}], expected: '200'},
	{behaviours: [{kind: 'lie', says: 'sick'}], expected: '503'},
];

for (const {behaviours, expected} of HEALTH_CASES) {
	test(`the health endpoint answers ${expected} for ${JSON.stringify(behaviours)}, set over HTTP`, async t => {
		const standin = await startStandin(t, createSettings());
		await ask(standin, '/.standin/behaviour', {method: 'PUT', body: JSON.stringify(behaviours)});
		t.is(await askStatus(standin, '/health'), expected);
		const refused = await ask(standin, '/.standin/behaviour', {method: 'PUT', body: '{"kind":"sleepy"}'});
		t.is(refused.status, '400');
		t.is(await askStatus(standin, '/health'), expected);
	});
}

test('a crashed server comes back on its port and keeps its counts', async t => {
	const standin = await startStandin(t, createSettings());
	standin.behave({kind: 'crash', mark: 'poison', backAfterMilliseconds: 1});
	t.is(await askStatus(standin, '/poison'), 'broken');
	while (!standin.isListening()) {
		// The server comes back on a timer of its own.
		// eslint-disable-next-line no-await-in-loop
		await turn();
	}

	t.is(await askStatus(standin, '/good'), '200');
	t.is(standin.counters().runs, 2);
});

test('a request over the slots is shed and not run', async t => {
	const standin = await startStandin(t, createSettings({slots: 1, overSlots: 'shed'}));
	standin.behave({kind: 'half-open'});
	const holding = new AbortController();
	const held = ask(standin, '/a', {signal: holding.signal});
	while (standin.counters().inFlight === 0) {
		// The first request arrives some turns later.
		// eslint-disable-next-line no-await-in-loop
		await turn();
	}

	t.is(await askStatus(standin, '/b'), '503 not-run');
	holding.abort();
	await held;
	t.is(standin.counters().runs, 0);
	t.is(standin.counters().mostInFlight, 1);
});

test('work past the deadline of the caller is ended and told', async t => {
	const standin = await startStandin(t, createSettings());
	standin.behave({kind: 'slow', delayMilliseconds: 60_000});
	t.is(await askStatus(standin, '/a', {headers: {'request-timeout-ms': '5'}}), '504');
	t.is(await askStatus(standin, '/b', {patience: SHORT_PATIENCE_MILLISECONDS}), 'broken');
	while (standin.counters().inFlight > 0) {
		// The close of the connection arrives a turn later.
		// eslint-disable-next-line no-await-in-loop
		await turn();
	}

	t.is(standin.counters().events.expired, 1);
	t.is(standin.counters().events.aborted, 1);
});

async function answerAnnouncement(request: http.IncomingMessage, response: http.ServerResponse, seen: string[]): Promise<void> {
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	const {state} = (text === '' ? {} : JSON.parse(text)) as {readonly state?: string};
	seen.push([request.method, request.url, state].filter(Boolean).join(' '));
	response.end('{"leaseSeconds":15,"renewSeconds":5}');
}

test('it announces itself past a dead entry host, drains and leaves', async t => {
	const seen: string[] = [];
	const entry = http.createServer((request, response) => {
		void answerAnnouncement(request, response, seen);
	});
	t.teardown(() => {
		entry.close();
		entry.closeAllConnections();
	});
	entry.listen(0, '127.0.0.1');
	await once(entry, 'listening');
	const {port} = entry.address() as {readonly port: number};
	const standin = await startStandin(t, createSettings({
		announceTo: () => [{ip: '127.0.0.1', port: 1}, {ip: '127.0.0.1', port}],
	}));
	await standin.drain();
	const path = '/.wagtailroute/services/archive/upstreams/u1';
	t.deepEqual(seen, [`PUT ${path} serving`, `PUT ${path} draining`, `DELETE ${path}`]);
	t.false(standin.isListening());
});

/**
Tests of upstreams that stop at any byte of a response and end or reset their connection.

They guard against a success that looks complete where the upstream's response wasn't, and against bytes of a cut response that are taken for the response to another request.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import * as utils from 'wagtailroute-utils';
import type * as proxy from '../../index.ts';
import {exchangeBytes, readOldResponse, receive} from './cut-callers.ts';
import {
	type Closing,
	CUT_RESPONSES,
	type CutResponse,
	cutResponse,
	type Expected,
	getCuts,
	getExpected,
	MAIN_RESPONSES,
} from './cut-cases.ts';
import {type Fixture, openFixture, type Setup} from './fixture.ts';
import {type Cuts, startCutUpstream} from './cut-upstream.ts';
import {createResponse, type RawUpstream, startRawUpstream} from './raw-upstream.ts';

const CLOSINGS: readonly Closing[] = ['closed', 'reset'];
const POLL_MILLISECONDS = 2;
/**
Milliseconds in which what was written arrives.
*/
const ARRIVAL_MILLISECONDS = 20;
const ENDINGS: Readonly<Record<Expected['kind'], readonly proxy.AttemptEnding[]>> = {
	refused: ['reset'],
	cut: ['truncated'],
	whole: ['success', 'server-error'],
};

/**
Waits until the connection of a cut response is closed, so that its reset doesn't meet the next request.
*/
async function waitForClose({connections}: RawUpstream, path: string): Promise<void> {
	while (connections.some(({paths, isClosed}) => paths.includes(path) && !isClosed)) {
		// eslint-disable-next-line no-await-in-loop -- Polls until the connection is closed.
		await timers.setTimeout(POLL_MILLISECONDS);
	}
}

/**
Tries all cuts of a response one after the other, and expects of each what `attempt` is given.
*/
async function checkCuts(t: ExecutionContext, {response, closing}: Cuts, attempt: (cut: number, expected: Expected) => Promise<Readonly<Record<string, unknown>>>): Promise<void> {
	const received: unknown[] = [];
	const expected: unknown[] = [];
	for (const cut of getCuts(response)) {
		const expectation = getExpected(response, cut, closing);
		// eslint-disable-next-line no-await-in-loop -- One cut follows the other on the same connections.
		received.push({cut, ...await attempt(cut, expectation)});
		expected.push({cut, received: expectation});
	}

	t.deepEqual(received, expected);
}

type Run = {
	readonly upstream: RawUpstream;
	readonly entry: Fixture;
	readonly agent: http.Agent;
};

/**
Fails if the request after a cut response doesn't get its own response.
*/
async function checkNext(t: ExecutionContext, {upstream, entry: {origin}, agent}: Run, cut: number): Promise<void> {
	await waitForClose(upstream, `/cut/${cut}`);
	const path = `/after/${cut}`;
	t.deepEqual(await receive({origin, path, agent}), {kind: 'whole', status: 200, content: path}, `cut at ${cut}`);
}

async function open(t: ExecutionContext, cuts: Cuts, setup: Partial<Setup> = {}): Promise<Run> {
	const upstream = await startCutUpstream(t, cuts);
	const entry = await openFixture(t, {faults: [], addresses: [upstream.address], ...setup});
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	t.teardown(() => {
		agent.destroy();
	});
	return {upstream, entry, agent};
}

/**
Checks all cuts on connections that are kept: each cut response comes on the connection of the response before it.
*/
async function checkKept(t: ExecutionContext, cuts: Cuts, run: Run): Promise<void> {
	const {entry: {origin, attemptReports, defects}, agent} = run;
	await checkCuts(t, cuts, async (cut, expected) => {
		const received = await receive({
			origin, path: `/cut/${cut}`, agent, method: cuts.response.method,
		});
		t.true(ENDINGS[expected.kind].includes(attemptReports.at(-1)!.ending), `cut at ${cut}: ${attemptReports.at(-1)!.ending}`);
		await checkNext(t, run, cut);
		return {received};
	});
	t.deepEqual(defects, []);
}

for (const closing of CLOSINGS) {
	for (const response of CUT_RESPONSES) {
		const cuts = {response, closing};
		// Guards against a part of a response that looks complete, and against another end of a body than the upstream's.
		test(`a response with ${response.name} is not complete before its end when the connection is ${closing}`, async t => {
			await checkKept(t, cuts, await open(t, cuts));
		});
	}

	for (const response of MAIN_RESPONSES) {
		const cuts = {response, closing};
		const title = `${response.name} that is cut, with its connection ${closing},`;

		// Guards against a host that takes the cut response of another host for whole.
		test(`a response of another host with ${title} does not look complete`, async t => {
			await checkKept(t, cuts, await open(t, cuts, {isForwarding: true}));
		});

		// Guards against a host that ends a response regularly although its upstream's was cut.
		test(`a response with ${title} does not look complete behind two hosts`, async t => {
			const {upstream, entry: carrier, agent} = await open(t, cuts);
			const entry = await openFixture(t, {faults: [], addresses: [carrier.address], isForwarding: true});
			await checkCuts(t, cuts, async (cut, expected) => {
				const received = await receive({origin: entry.origin, path: `/cut/${cut}`, agent});
				await checkNext(t, {upstream, entry, agent}, cut);
				// The first host sends a head with the first bytes of its body, so that the second may still answer itself.
				return {received: expected.kind === 'cut' && received.kind === 'refused' ? expected : received};
			});
		});

		// Guards against a part of a response that is stored as the answer to all repeats of its request.
		test(`a response with ${title} is not stored for an idempotency key`, async t => {
			const settlements: proxy.Settlement[] = [];
			const claim = {
				kind: 'granted', isSendable: () => true, settle(settlement: proxy.Settlement) {
					settlements.push(settlement);
				},
			} as const;
			const {upstream, entry: {origin}, agent} = await open(t, cuts, {claim});
			await checkCuts(t, cuts, async (cut, expected) => {
				const path = `/strict/cut/${cut}`;
				const received = await receive({
					origin, path, agent, method: 'POST', headers: {'idempotency-key': 'k'}, body: 'x',
				});
				await waitForClose(upstream, path);
				const {outcome, answer} = settlements.pop() as {outcome: string; answer?: {body: string}};
				t.is(outcome, expected.kind === 'whole' ? 'ran' : 'unknown', `cut at ${cut}`);
				t.is(answer?.body, expected.kind === 'whole' ? buffer.Buffer.from(expected.content).toString('base64') : undefined, `cut at ${cut}`);
				return {received};
			});
			t.deepEqual(settlements, []);
		});

		// Guards against a request that is not sent again where it may be, or is where it may not.
		test(`a response with ${title} is replaced by another upstream's where the request may be repeated`, async t => {
			const upstream = await startCutUpstream(t, cuts);
			const other = await startRawUpstream(t, path => createResponse(`other ${path}`));
			const {entry: {origin}, agent} = await open(t, cuts, {addresses: [upstream.address, other.address]});
			await checkCuts(t, cuts, async (cut, expected) => {
				const path = `/cut/${cut}`;
				const repeated = await receive({origin, path, agent});
				await waitForClose(upstream, path);
				t.deepEqual(repeated, expected.kind === 'refused' ? {kind: 'whole', status: 200, content: `other ${path}`} : expected);
				const received = await receive({
					origin, path: `/write${path}`, agent, method: 'POST', body: 'x',
				});
				await waitForClose(upstream, `/write${path}`);
				return {received};
			});
			t.deepEqual(other.paths, getCuts(response).filter(cut => cut < response.head.length).map(cut => `/cut/${cut}`));
		});

		// Guards against a regular end of the connection of an HTTP/1.0 caller, which is the end of a response without length.
		test(`a response with ${title} does not look complete to an HTTP/1.0 caller`, async t => {
			const {upstream, entry: {address}} = await open(t, cuts);
			await checkCuts(t, cuts, async cut => {
				const received = readOldResponse(await exchangeBytes(address.port, `GET /cut/${cut} HTTP/1.0\r\n\r\n`));
				await waitForClose(upstream, `/cut/${cut}`);
				return {received};
			});
		});

		// Guards against the response to a pipelined request in the place of the one before it.
		test(`a response with ${title} is not followed by that to the next pipelined request`, async t => {
			const {upstream, entry: {address}} = await open(t, cuts);
			for (const cut of getCuts(response)) {
				const next = `/next/${cut}`;
				const requests = `GET /cut/${cut} HTTP/1.1\r\nhost: a\r\n\r\nGET ${next} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`;
				// eslint-disable-next-line no-await-in-loop -- One cut follows the other.
				const {text} = await exchangeBytes(address.port, requests);
				// eslint-disable-next-line no-await-in-loop -- See above.
				await waitForClose(upstream, `/cut/${cut}`);
				const {kind} = getExpected(response, cut, closing);
				t.is(text.endsWith(next), kind !== 'cut', `cut at ${cut}`);
				t.is(text.startsWith('HTTP/1.1 502 '), kind === 'refused', `cut at ${cut}`);
			}
		});
	}
}

for (const response of MAIN_RESPONSES) {
	// Guards against fields whose parts come in several reads.
	test(`a response with ${response.name} that is cut is the same when it comes byte by byte`, async t => {
		const cuts = {response, closing: 'closed', isSlow: true} as const;
		await checkKept(t, cuts, await open(t, cuts));
	});
}

for (const response of MAIN_RESPONSES) {
	// Guards against a cut response behind a whole one that is taken for the response to the next request, or for its beginning.
	test(`a cut response with ${response.name} behind a whole one belongs to no request`, async t => {
		const upstream = await startRawUpstream(t, path => {
			const {head} = createResponse(path);
			const [, cut] = path.split('/extra/', 2);
			return {head: cut === undefined ? head : head + cutResponse(response, Number(cut))};
		});
		const {origin, defects} = await openFixture(t, {faults: [], addresses: [upstream.address]});
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		for (const cut of getCuts(response)) {
			for (const path of [`/extra/${cut}`, `/after/${cut}`]) {
				// eslint-disable-next-line no-await-in-loop -- One request follows the other on the same connections.
				t.deepEqual(await receive({origin, path, agent}), {kind: 'whole', status: 200, content: path});
			}
		}

		agent.destroy();
		t.deepEqual(defects, []);
	});
}

const PAIRS = 20;

// Guards against a whole response that is cut because another connection to the same upstream is reset at that moment.
test('a response without length is complete where its connection ends while another one is reset', async t => {
	const sockets = new Map<string, net.Socket>();
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', data => {
			const [, path = ''] = String(data).split(' ', 2);
			sockets.set(path, socket);
			socket.write(`HTTP/1.1 200 OK\r\n\r\n${path}`);
		});
	});
	const address = await utils.listen(server, {ip: '127.0.0.1', port: 0});
	t.teardown(() => {
		server.close();
	});
	const {origin} = await openFixture(t, {faults: [], addresses: [address]});
	for (let pair = 0; pair < PAIRS; pair++) {
		const paths = [`/ended/${pair}`, `/reset/${pair}`];
		const responses = Promise.all(paths.map(async path => receive({origin, path, agent: new http.Agent()})));
		while (paths.some(path => !sockets.has(path))) {
			// eslint-disable-next-line no-await-in-loop -- Polls until both requests have arrived.
			await timers.setTimeout(POLL_MILLISECONDS);
		}

		// eslint-disable-next-line no-await-in-loop -- What was written arrives before the connections end.
		await timers.setTimeout(ARRIVAL_MILLISECONDS);
		sockets.get(paths[1]!)!.resetAndDestroy();
		sockets.get(paths[0]!)!.end();
		// eslint-disable-next-line no-await-in-loop -- One pair follows the other.
		t.deepEqual(await responses, [{kind: 'whole', status: 200, content: paths[0]}, {kind: 'cut'}]);
	}
});

const LARGE_BYTES = 12_000_000;
const SLOW_READ_MILLISECONDS = 150;
const LARGE_BODY = 'a'.repeat(LARGE_BYTES);
const LARGE_RESPONSES: readonly CutResponse[] = [
	{name: 'a length', head: `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n`, body: LARGE_BODY},
	{
		name: 'chunks', head: 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n', body: `${LARGE_BYTES.toString(16)}\r\n${LARGE_BODY}\r\n0\r\n\r\n`, content: LARGE_BODY,
	},
	{
		name: 'neither', head: 'HTTP/1.1 200 OK\r\n\r\n', body: LARGE_BODY, isUnframed: true,
	},
];

for (const response of LARGE_RESPONSES) {
	for (const closing of CLOSINGS) {
		// Guards against an end that is reported while reading is paused, with a part of the body not parsed yet.
		test.serial(`a large response with ${response.name} to a slow caller is not complete before its end when the connection is ${closing}`, async t => {
			const {entry: {origin, attemptReports}, agent} = await open(t, {response, closing});
			const endCut = response.head.length + response.body!.length;
			for (const cut of [response.head.length + (LARGE_BYTES / 2), endCut - 1, endCut]) {
				const expected = getExpected(response, cut, closing);
				// eslint-disable-next-line no-await-in-loop -- One cut follows the other.
				const received = await receive({
					origin, path: `/cut/${cut}`, agent, pauseMilliseconds: SLOW_READ_MILLISECONDS,
				});
				const isSame = received.kind === expected.kind && (received.kind !== 'whole' || received.content.length === (expected as {content: string}).content.length);
				// A reset may overtake what was sent before it.
				t.true(isSame || (closing === 'reset' && received.kind === 'cut'), `cut at ${cut}: ${received.kind}, ${attemptReports.at(-1)?.ending}`);
			}
		});
	}
}

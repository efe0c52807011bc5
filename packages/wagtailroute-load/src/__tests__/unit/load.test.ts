/**
Tests of whole runs against stand-ins on loopback.
*/
import * as http from 'node:http';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import * as undici from 'undici';
import type * as core from 'wagtailroute-core';
import * as standins from 'wagtailroute-standin';
import * as load from '../../index.ts';

const MIX = load.parseMix(`
organisations: 3
requests:
  - {path: /read}
  - {path: /media, answer: bytes, answerBytes: 40000}
  - {method: POST, path: /media, answer: body, bodyBytes: 100000, class: idempotent}
  - {method: POST, path: /merge, bodyBytes: 100, class: non-idempotent, key: true}
`).unwrap();

async function startStandin(t: ExecutionContext, id: string, behaviours: readonly standins.BehaviourRequest[]): Promise<standins.Standin> {
	const standin = standins.createStandin({
		id,
		service: 'archive',
		address: {ip: '127.0.0.1', port: 0},
		failureDomain: 'fd1',
		slots: 100,
		connections: 100,
		announceTo: () => [],
		seed: 1,
	});
	await standin.start();
	// A failed check must not leave the server behind: the test process would not end.
	t.teardown(async () => standin.stop());
	standin.behave(...behaviours);
	return standin;
}

async function run(targets: readonly core.Address[], changes: Partial<load.LoadSettings> = {}): Promise<load.LoadResult> {
	const result = await load.runLoad({
		targets, requestsPerSecond: 300, seconds: 1, concurrency: 50, mix: MIX, seed: 1, standins: targets, ...changes,
	});
	return result.unwrap();
}

type Case = {
	readonly behaviours: readonly standins.BehaviourRequest[];
	readonly ending: load.Ending;
	readonly told: load.Told;
};

const CASES: readonly Case[] = [
	{behaviours: [], ending: 'whole', told: 'untold'},
	{behaviours: [{kind: 'shed'}], ending: 'whole', told: 'not-run'},
	{behaviours: [{kind: 'reset'}], ending: 'no-answer', told: 'lost'},
	{behaviours: [{kind: 'truncate', framing: 'chunked'}], ending: 'broken', told: 'untold'},
];

for (const {behaviours, ending, told} of CASES) {
	test(`stand-ins that show ${JSON.stringify(behaviours)} give ${ending} answers, and nothing is wrong`, async t => {
		const started = await Promise.all(['u1', 'u2'].map(async id => startStandin(t, id, behaviours)));
		const result = await run(started.map(standin => standin.getAddress()));
		t.is(result.record.endings[ending], result.sent);
		t.is(result.record.told[told], result.sent);
		t.true(result.truth.isCompared);
		t.deepEqual(result.truth.examples, []);
		t.true(load.isTrue(result.truth));
		t.true(load.formatResult(result).includes('nothing wrong'));
	});
}

test('answers that belong to another request are found', async t => {
	// Symptom: a member sees another family's tree.
	// Sequence: answers come late or out of order and are handed to whoever waits.
	// Cause: an answer isn't bound to its request; the fake server here answers each request with the one before it.
	let previous = 'none';
	const server = http.createServer((request, response) => {
		response.setHeader('x-request-id', previous);
		response.setHeader('wagtailroute-outcome', 'ran');
		previous = String(request.headers['x-request-id']);
		request.resume();
		response.end('{}');
	});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as {readonly port: number};
	const result = await run([{ip: '127.0.0.1', port}], {standins: []});
	t.is(result.truth.wrongAnswers, result.sent);
	t.false(load.isTrue(result.truth));
	t.is(result.truth.examples.length, 10);
});

test('faults come on schedule, at the stand-ins named, and those after the end are dropped', async t => {
	const started = await Promise.all(['u1', 'u2'].map(async id => startStandin(t, id, [])));
	const gone = {ip: '127.0.0.1', port: 1};
	const shed = {kind: 'shed', share: 1} as const;
	const faults = [
		{atSeconds: 0, standins: [1, 2], behaviours: [shed]},
		{atSeconds: 60, behaviours: []},
	];
	const addresses = started.map(standin => standin.getAddress());
	const result = await run(addresses, {standins: [...addresses, gone], mix: {...MIX, faults}, requestsPerSecond: 20});
	t.deepEqual(result.faults, {shown: 1, failed: 1});
	t.false(result.truth.isCompared);
	const shown = await Promise.all(addresses.map(async ({port}) => {
		const response = await undici.request(`http://127.0.0.1:${port}/.standin/behaviour`);
		return response.body.json();
	}));
	t.deepEqual(shown, [[], [shed]]);
});

const REFUSED: ReadonlyArray<{readonly changes: Partial<load.LoadSettings>; readonly kind: load.LoadFailureKind}> = [
	{changes: {targets: []}, kind: 'no-addresses'},
	{changes: {requestsPerSecond: 1_000_000, seconds: 10}, kind: 'too-large'},
	{changes: {concurrency: 1_000_000}, kind: 'too-large'},
	{changes: {service: 'archive'}, kind: 'no-addresses'},
];

for (const {changes, kind} of REFUSED) {
	test(`a run with ${JSON.stringify(changes)} is refused as ${kind}`, async t => {
		const result = await load.runLoad({
			targets: [{ip: '127.0.0.1', port: 1}], requestsPerSecond: 1, seconds: 1, concurrency: 1, mix: MIX, seed: 1, standins: [], ...changes,
		});
		t.is(result.unwrapErr().kind, kind);
	});
}

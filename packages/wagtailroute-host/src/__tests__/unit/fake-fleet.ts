/**
Fleet of real hosts and stand-in backend servers in one process, on loopback.
*/
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import * as undici from 'undici';
import * as core from 'wagtailroute-core';
import * as standin from 'wagtailroute-standin';
import {runHost} from '../../host.ts';

const LOOPBACK = '127.0.0.1';
const TOKEN = 'token';
const POLL_MILLISECONDS = 20;

const ENTRY = {
	name: 'archive',
	owner: 'team',
	routes: [
		{pathPrefix: '/transfers', class: 'non-idempotent', requireIdempotencyKey: true},
		{pathPrefix: '/', class: 'read'},
	],
	limits: {concurrency: 100, timeoutMilliseconds: 60_000},
};

/**
Answer to a caller; `outcome` is the header `wagtailroute-outcome`.
*/
export type CallerAnswer = {
	readonly status: number;
	readonly outcome: unknown;
	readonly text: string;
};

/**
Running fleet; hosts are named by their index.
*/
export type FakeFleet = {
	readonly standins: readonly standin.Standin[];
	readonly send: (host: number, request: {readonly path: string; readonly key?: string; readonly body?: string}) => Promise<CallerAnswer>;
	/**
	Drops all messages between a host and the other hosts, in both directions.
	*/
	readonly cut: (host: number) => void;
};

type HostPorts = {readonly traffic: core.Address; readonly admin: core.Address; readonly peer: core.Address};

/**
Starts hosts with both roles and backend servers; resolves when every host serves.
*/
export async function startFleet(t: ExecutionContext, counts: {readonly hosts: number; readonly standins: number}): Promise<FakeFleet> {
	const ports = await Promise.all(Array.from({length: counts.hosts}, async () => createPorts()));
	const isolated = new Set<string>();
	await Promise.all(ports.map(async (own, index) => startHost(t, {ports, index, isolated})));
	await createEntry(ports[0]!.admin);
	const standins = await startStandins(t, counts.standins, ports.map(({traffic}) => traffic));
	const send: FakeFleet['send'] = async (host, {path: target, key, body}) => {
		const answer = await undici.request(`http://${core.formatAddress(ports[host]!.traffic)}${target}`, {
			method: body === undefined ? 'GET' : 'POST',
			body,
			headers: key === undefined ? {} : {'idempotency-key': key},
		});
		return {status: answer.statusCode, outcome: answer.headers['wagtailroute-outcome'], text: await answer.body.text()};
	};

	await Promise.all(ports.map(async (_own, host) => waitUntil(async () => {
		const {status} = await send(host, {path: '/ready'});
		return status === 200;
	})));
	return {
		standins,
		send,
		cut(host) {
			isolated.add(core.formatAddress(ports[host]!.peer));
		},
	};
}

/**
Polls a condition until it holds.
*/
export async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- Polls.
	while (!await condition()) {
		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(POLL_MILLISECONDS);
	}
}

async function createPorts(): Promise<HostPorts> {
	const [traffic, admin, peer] = await Promise.all([standin.findFreePort(), standin.findFreePort(), standin.findFreePort()]);
	return {
		traffic: {ip: LOOPBACK, port: traffic}, admin: {ip: LOOPBACK, port: admin}, peer: {ip: LOOPBACK, port: peer},
	};
}

async function startHost(t: ExecutionContext, {ports, index, isolated}: {
	readonly ports: readonly HostPorts[];
	readonly index: number;
	readonly isolated: ReadonlySet<string>;
}): Promise<void> {
	const own = ports[index]!;
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-test-'));
	const name = core.formatAddress(own.peer);
	await runHost({
		hostId: `h${index}`,
		failureDomain: `d${index}`,
		region: 'r',
		roles: ['entry', 'control'],
		trafficAddress: own.traffic,
		adminAddress: own.admin,
		peerAddress: own.peer,
		seeds: ports.map(({peer}) => peer),
		dataFolder: folder,
		initialControl: ports.map(({peer}, other) => ({id: `h${other}`, address: peer})),
		operatorToken: TOKEN,
		fleetSecret: 'secret',
		logFormat: 'text',
		logLevel: 'error',
	}, {
		isCut: to => isolated.has(name) || isolated.has(core.formatAddress(to)),
		onDefect(error) {
			t.fail(error.stack);
		},
	});
	t.teardown(async () => {
		// The host is not stopped: it would drain until the directory's answers have expired. The process ends with the tests.
		await fs.rm(folder, {recursive: true, force: true});
	});
}

async function createEntry(admin: core.Address): Promise<void> {
	await waitUntil(async () => {
		const answer = await undici.request(`http://${core.formatAddress(admin)}/catalogue/${ENTRY.name}`, {
			method: 'PUT',
			headers: {
				authorization: `Bearer ${TOKEN}`,
				'content-type': 'application/json',
				'if-none-match': '*',
				'change-id': crypto.randomUUID(),
			},
			body: JSON.stringify(ENTRY),
		});
		await answer.body.dump();
		return answer.statusCode < 300 || answer.statusCode === 412;
	});
}

async function startStandins(t: ExecutionContext, count: number, hosts: readonly core.Address[]): Promise<readonly standin.Standin[]> {
	const standins = Array.from({length: count}, (_item, index) => standin.createStandin({
		id: `upstream-${index}`,
		service: ENTRY.name,
		address: {ip: LOOPBACK, port: 0},
		failureDomain: 'd0',
		slots: 20,
		connections: 300,
		announceTo: () => hosts,
		seed: index,
	}));
	await Promise.all(standins.map(async started => started.start()));
	t.teardown(async () => {
		await Promise.all(standins.map(async started => started.stop()));
	});
	return standins;
}

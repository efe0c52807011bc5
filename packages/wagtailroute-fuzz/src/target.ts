/**
A host to be fuzzed, with one upstream that counts which requests it ran.
*/
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import type * as core from 'wagtailroute-core';
import * as host from 'wagtailroute-host';
import {
	GOOD_ANSWER_BYTES,
	GOOD_SERVICE,
	RENEW_MILLISECONDS,
	SECRET,
	TOKEN,
} from './constants.ts';
import {createEntry, request, waitUntil} from './requests.ts';

/**
The addresses of a target.
*/
export type Place = {
	readonly traffic: core.Address;
	readonly admin: core.Address;
	readonly peer: core.Address;
};

/**
What a target tells of itself.
*/
export type Sample = {
	readonly residentBytes: number;
	/**
	Heap in use, after a collection if the process allows one to be asked for.
	*/
	readonly heapBytes: number;
	/**
	Defects met, with their stacks; there must be none.
	*/
	readonly defects: readonly string[];
	/**
	Names of the requests (`X-Request-Id`) that the upstream ran since the last sample.
	*/
	readonly ran: readonly string[];
};

/**
A running target.
*/
export type Target = {
	readonly place: Place;
	/**
	Rejects when the target has ended.
	*/
	readonly sample: () => Promise<Sample>;
	readonly close: () => Promise<void>;
};

const LOOPBACK = '127.0.0.1';
const HOST_ID = 'target';

/**
Returns the addresses of a target by its first port.
*/
export function createPlace(firstPort: number): Place {
	const [traffic, admin, peer] = [0, 1, 2].map(offset => ({ip: LOOPBACK, port: firstPort + offset}));
	return {traffic: traffic!, admin: admin!, peer: peer!};
}

/**
Starts a target in this process.
*/
export async function openTarget(place: Place): Promise<Target> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-fuzz-'));
	const defects: string[] = [];
	const ran: string[] = [];
	const noteDefect = (error: unknown) => {
		defects.push(error instanceof Error ? error.stack ?? error.message : String(error));
	};

	process.on('uncaughtException', noteDefect);
	process.on('unhandledRejection', noteDefect);
	const running = await host.runHost({
		hostId: HOST_ID,
		failureDomain: 'fuzz',
		region: 'fuzz',
		roles: ['entry', 'control'],
		trafficAddress: place.traffic,
		adminAddress: place.admin,
		peerAddress: place.peer,
		seeds: [],
		dataFolder: folder,
		initialControl: [{id: HOST_ID, address: place.peer}],
		operatorToken: TOKEN,
		fleetSecret: SECRET,
		logFormat: 'json',
		logLevel: 'error',
	}, {onDefect: noteDefect});
	const upstream = await openUpstream(ran);
	await waitUntil(async () => createEntry(place.admin));
	const announcing = setInterval(() => {
		void announce(place, upstream.port);
	}, RENEW_MILLISECONDS);
	await waitUntil(async () => {
		await announce(place, upstream.port);
		const {status} = await request(place.traffic, {path: `/${GOOD_SERVICE}/ready`});
		return status === 200;
	});
	return {
		place,
		async sample() {
			globalThis.gc?.();
			const {rss, heapUsed} = process.memoryUsage();
			return {
				residentBytes: rss, heapBytes: heapUsed, defects: [...defects], ran: ran.splice(0),
			};
		},
		async close() {
			clearInterval(announcing);
			await running.stop();
			await upstream.close();
			await fs.rm(folder, {recursive: true, force: true});
			process.off('uncaughtException', noteDefect);
			process.off('unhandledRejection', noteDefect);
		},
	};
}

const ANSWER = 'w'.repeat(GOOD_ANSWER_BYTES);

async function openUpstream(ran: string[]): Promise<{readonly port: number; readonly close: () => Promise<void>}> {
	const server = http.createServer((message, response) => {
		message.on('error', () => undefined);
		ran.push(String(message.headers['x-request-id'] ?? ''));
		message.resume();
		response.end(`${message.url} ${ANSWER}`);
	});
	await new Promise<void>(resolve => {
		server.listen(0, LOOPBACK, resolve);
	});
	return {
		port: (server.address() as net.AddressInfo).port,
		async close() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

async function announce(place: Place, port: number): Promise<void> {
	await request(place.traffic, {
		path: `/.wagtailroute/services/${GOOD_SERVICE}/upstreams/good`,
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			ip: LOOPBACK, port, failureDomain: 'fuzz', slots: 500, connections: 500, state: 'serving',
		}),
	});
}

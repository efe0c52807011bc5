/**
Development fleet in one process on loopback: one host with both roles, stand-in backend servers and a sample catalogue.
*/
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import type * as core from 'wagtailroute-core';
import * as standin from 'wagtailroute-standin';
import * as undici from 'undici';
import {type Host, runHost} from './host.ts';
import {SAMPLE_ENTRIES} from './samples.ts';

/**
Settings of the development fleet; the defaults are the token `dev`, text logs and the level `warn`.
*/
export type DevSettings = {
	readonly trafficPort: number;
	readonly adminPort: number;
	readonly operatorToken?: string;
	readonly logFormat?: 'text' | 'json';
	readonly logLevel?: 'error' | 'warn' | 'info' | 'debug';
};

const LOOPBACK = '127.0.0.1';
const DEFAULT_TOKEN = 'dev';
const STANDINS_PER_SERVICE = 3;
const STANDIN_SLOTS = 4;
const STANDIN_CONNECTIONS = 400;
const STANDIN_WORK_MILLISECONDS = 5;
const POLL_INTERVAL_MILLISECONDS = 20;
const START_TIMEOUT_MILLISECONDS = 30_000;

/**
Starts the development fleet. Resolves when a backend server answers a request, or after 30 seconds. `stop` removes the data
folder.
*/
export async function runDev(settings: DevSettings): Promise<Host> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-dev-'));
	const token = settings.operatorToken ?? DEFAULT_TOKEN;
	const host = await startHost(settings, folder, token);
	const traffic = {ip: LOOPBACK, port: settings.trafficPort};
	await createEntries(settings.adminPort, token);
	const standins = await startStandins(traffic);
	await waitForAnswer(traffic);
	return {
		async stop() {
			await host.stop();
			await Promise.all(standins.map(async started => started.stop()));
			await fs.rm(folder, {recursive: true, force: true});
		},
	};
}

async function startHost(settings: DevSettings, folder: string, token: string): Promise<Host> {
	const peerAddress = {ip: LOOPBACK, port: await standin.findFreePort()};
	return runHost({
		hostId: 'dev',
		failureDomain: 'dev',
		region: 'dev',
		roles: ['entry', 'control'],
		trafficAddress: {ip: LOOPBACK, port: settings.trafficPort},
		adminAddress: {ip: LOOPBACK, port: settings.adminPort},
		peerAddress,
		seeds: [],
		dataFolder: folder,
		initialControl: [{id: 'dev', address: peerAddress}],
		operatorToken: token,
		fleetSecret: crypto.randomUUID(),
		logFormat: settings.logFormat ?? 'text',
		logLevel: settings.logLevel ?? 'warn',
	});
}

async function createEntries(adminPort: number, token: string): Promise<void> {
	for (const entry of SAMPLE_ENTRIES) {
		// eslint-disable-next-line no-await-in-loop -- Changes of the catalogue are made one after the other.
		await undici.request(`http://${LOOPBACK}:${adminPort}/catalogue/${entry.name}`, {
			method: 'PUT',
			headers: {
				authorization: `Bearer ${token}`,
				'content-type': 'application/json',
				'if-none-match': '*',
				'change-id': crypto.randomUUID(),
			},
			body: JSON.stringify(entry),
		});
	}
}

async function startStandins(traffic: core.Address): Promise<readonly standin.Standin[]> {
	const standins = SAMPLE_ENTRIES.flatMap(entry => Array.from({length: STANDINS_PER_SERVICE}, (_, index) => standin.createStandin({
		id: `${entry.name}-${index + 1}`,
		service: entry.name,
		address: {ip: LOOPBACK, port: 0},
		failureDomain: 'dev',
		slots: STANDIN_SLOTS,
		connections: STANDIN_CONNECTIONS,
		announceTo: () => [traffic],
		seed: index,
		workMilliseconds: STANDIN_WORK_MILLISECONDS,
	})));
	await Promise.all(standins.map(async started => started.start()));
	return standins;
}

async function waitForAnswer(traffic: core.Address): Promise<void> {
	const deadline = performance.now() + START_TIMEOUT_MILLISECONDS;
	while (performance.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop -- Polls until the first announcement is in force.
		const answer = await undici.request(`http://${traffic.ip}:${traffic.port}/archive/ready`);
		// eslint-disable-next-line no-await-in-loop -- The connection is reused for the next poll.
		await answer.body.dump();
		if (answer.statusCode === 200) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(POLL_INTERVAL_MILLISECONDS);
	}
}

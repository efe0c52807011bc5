/**
Hosts and stand-in backend servers in this process, on free ports of loopback, whose calls to each other can be cut in one
direction.
*/
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as host from 'wagtailroute-host';
import * as standin from 'wagtailroute-standin';
import * as undici from 'undici';
import {TOKEN} from './fixture.ts';
import * as operators from './operators.ts';

/**
A host in this process.
*/
export type LocalHost = {
	readonly id: core.HostId;
	readonly traffic: core.Address;
	readonly admin: core.Address;
	readonly peer: core.Address;
	/**
	Drains it and stops it, as SIGTERM does.
	*/
	readonly stop: () => Promise<void>;
};

/**
What a caller is told; `lost` without an answer.
*/
export type Told = {
	readonly status: number;
	readonly outcome: string;
	readonly text: string;
};

/**
A request as a caller sends it.
*/
export type LocalRequest = {
	readonly path: string;
	readonly key?: string;
	readonly body?: string;
};

/**
A running fleet in this process.
*/
export type LocalFleet = {
	readonly hosts: readonly LocalHost[];
	readonly standins: readonly standin.Standin[];
	readonly send: (to: LocalHost, request: LocalRequest) => Promise<Told>;
	/**
	Drops what one host sends to another, until `mend`.
	*/
	readonly cut: (from: LocalHost, to: LocalHost) => void;
	readonly mend: () => void;
	/**
	Defects that hosts met; there must be none.
	*/
	readonly defects: readonly Error[];
	readonly close: () => Promise<void>;
};

/**
A host to start.
*/
export type LocalPlan = {
	readonly id: core.HostId;
	readonly roles: readonly host.HostRole[];
};

const LOOPBACK = '127.0.0.1';
const POLL_MILLISECONDS = 20;
const SLOTS = 20;
const CONNECTIONS = 300;

/**
Starts hosts, creates the entry and starts backend servers for it; resolves when every entry host serves it.
*/
export async function openLocalFleet(
	plans: readonly LocalPlan[],
	entry: operators.EntryDocument,
	standinCount: number,
): Promise<LocalFleet> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-local-'));
	const cuts = new Set<string>();
	const defects: Error[] = [];
	const places = await Promise.all(plans.map(async plan => ({...plan, ...await findAddresses()})));
	const hosts = await Promise.all(places.map(async place => startHost(place, {
		places, folder, cuts, defects,
	})));
	await waitUntil(async () => isAccepted(hosts[0]!, entry));
	const entryHosts = hosts.filter((_, index) => plans[index]!.roles.includes('entry'));
	const standins = await startStandins(entry.name, standinCount, entryHosts);
	await Promise.all(entryHosts.map(async started => waitUntil(async () => {
		const {status} = await send(started, {path: '/ready'});
		return status === 200;
	})));
	return {
		hosts,
		standins,
		send,
		cut(from, to) {
			cuts.add(getCutName(from.peer, to.peer));
		},
		mend() {
			cuts.clear();
		},
		defects,
		async close() {
			await Promise.all(standins.map(async started => started.stop()));
			await fs.rm(folder, {recursive: true, force: true});
		},
	};
}

/**
Asks again and again until it is so.
*/
export async function waitUntil(isSo: () => Promise<boolean>): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- Polls.
	while (!await isSo()) {
		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(POLL_MILLISECONDS);
	}
}

/**
Returns the number of runs of a key over backend servers, stopped ones among them.
*/
export function countRuns(standins: readonly standin.Standin[], key: string): number {
	return standins.reduce((sum, started) => sum + (started.counters().runsByKey[key] ?? 0), 0);
}

async function send(to: LocalHost, {path: target, key, body}: LocalRequest): Promise<Told> {
	try {
		const answer = await undici.request(`http://${core.formatAddress(to.traffic)}${target}`, {
			method: body === undefined ? 'GET' : 'POST',
			body,
			headers: key === undefined ? {} : {'idempotency-key': key},
		});
		return {status: answer.statusCode, outcome: String(answer.headers['wagtailroute-outcome']), text: await answer.body.text()};
	} catch {
		return {status: 0, outcome: 'lost', text: ''};
	}
}

type Place = LocalPlan & {readonly traffic: core.Address; readonly admin: core.Address; readonly peer: core.Address};

async function findAddresses(): Promise<{readonly traffic: core.Address; readonly admin: core.Address; readonly peer: core.Address}> {
	const [traffic, admin, peer] = await Promise.all([findAddress(), findAddress(), findAddress()]);
	return {traffic, admin, peer};
}

async function findAddress(): Promise<core.Address> {
	return {ip: LOOPBACK, port: await standin.findFreePort()};
}

function getCutName(from: core.Address, to: core.Address): string {
	return `${core.formatAddress(from)} to ${core.formatAddress(to)}`;
}

async function startHost(place: Place, fleet: {
	readonly places: readonly Place[];
	readonly folder: string;
	readonly cuts: ReadonlySet<string>;
	readonly defects: Error[];
}): Promise<LocalHost> {
	const started = await host.runHost({
		hostId: place.id,
		failureDomain: `domain-of-${place.id}`,
		region: 'loopback',
		roles: place.roles,
		trafficAddress: place.traffic,
		adminAddress: place.admin,
		peerAddress: place.peer,
		seeds: fleet.places.map(({peer}) => peer),
		...place.roles.includes('control') && {dataFolder: path.join(fleet.folder, place.id)},
		initialControl: fleet.places
			.filter(({roles}) => roles.includes('control'))
			.map(({id, peer}) => ({id, address: peer})),
		operatorToken: TOKEN,
		fleetSecret: 'experiment',
		logFormat: 'text',
		logLevel: 'error',
	}, {
		isCut: to => fleet.cuts.has(getCutName(place.peer, to)),
		onDefect(error) {
			fleet.defects.push(error);
		},
	});
	const {id, traffic, admin, peer} = place;
	return {
		id, traffic, admin, peer, stop: started.stop,
	};
}

async function isAccepted(to: LocalHost, entry: operators.EntryDocument): Promise<boolean> {
	const {status} = await operators.sendChange(to.admin, TOKEN, {entry, expected: 0});
	return status < 300 || status === 412;
}

async function startStandins(
	service: core.ServiceName,
	count: number,
	entryHosts: readonly LocalHost[],
): Promise<readonly standin.Standin[]> {
	const standins = Array.from({length: count}, (_, index) => standin.createStandin({
		id: `${service}-${index}`,
		service,
		address: {ip: LOOPBACK, port: 0},
		failureDomain: `domain-${index % 2}`,
		slots: SLOTS,
		connections: CONNECTIONS,
		announceTo: () => entryHosts.map(({traffic}) => traffic),
		seed: index,
	}));
	await Promise.all(standins.map(async started => started.start()));
	return standins;
}

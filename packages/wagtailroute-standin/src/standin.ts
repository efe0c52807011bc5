/**
A stand-in backend server: it announces itself, runs requests within its slots and shows the faults it is told to show.
Used by `dev`, by tests and by benchmarks.
*/
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import * as announcers from './announcer.ts';
import * as behaviours from './behaviours.ts';
import * as constants from './constants.ts';
import * as control from './control.ts';
import * as counters from './counters.ts';
import * as slots from './slots.ts';
import * as workers from './worker.ts';

/**
What a stand-in is. `address` may have port 0: the system then chooses one at the first start.
*/
export type StandinSettings = {
	readonly id: core.UpstreamId;
	readonly service: core.ServiceName;
	readonly address: core.Address;
	readonly failureDomain: core.FailureDomain;
	readonly slots: number;
	readonly connections: number;
	/**
	Traffic addresses of the entry hosts, asked anew for each announcement; none: it announces nothing.
	*/
	readonly announceTo: () => readonly core.Address[];
	readonly seed: number;
	/**
	Mean time of work in milliseconds; none by default. The time of each run is uniform within half of it on both sides.
	*/
	readonly workMilliseconds?: number;
	readonly overSlots?: slots.OverSlots;
	/**
	Shortest time in milliseconds between the announcement of draining and the end: entry hosts need it to hear.
	*/
	readonly drainMilliseconds?: number;
};

/**
A running or stopped stand-in.
*/
export type Standin = {
	readonly id: core.UpstreamId;
	/**
	Resolves when it listens and its first announcement was tried.
	*/
	readonly start: () => Promise<void>;
	/**
	Gives the lease back, then breaks what is in flight.
	*/
	readonly stop: () => Promise<void>;
	/**
	Announces draining, finishes what is in flight, gives the lease back and stops.
	*/
	readonly drain: () => Promise<void>;
	/**
	Ends the listener and all connections at once, without a word to the entry hosts.
	*/
	readonly crash: () => void;
	/**
	Replaces the faults it shows. Throws zod's error for a malformed one.
	*/
	readonly behave: (...requested: readonly behaviours.BehaviourRequest[]) => void;
	readonly counters: () => counters.Counts;
	/**
	The address it listens on, with the port that the system chose.
	*/
	readonly getAddress: () => core.Address;
	readonly isListening: () => boolean;
};

const DEFAULT_DRAIN_MILLISECONDS = 2000;

/**
Creates a stand-in that is not started.
*/
export function createStandin(settings: StandinSettings): Standin {
	const counts = counters.createCounters(settings.id, settings.service);
	let shown: readonly behaviours.Behaviour[] = [];
	let held = slots.createSlots(settings.slots, settings.overSlots ?? 'queue');
	let server: http.Server | undefined;
	let {port} = settings.address;
	let startedAt = 0;
	let drainingSince: number | undefined;
	let comeBack: NodeJS.Timeout | undefined;

	const announcer = announcers.createAnnouncer({
		service: settings.service,
		id: settings.id,
		getAddresses: settings.announceTo,
		getAnnouncement: () => ({
			ip: settings.address.ip,
			port,
			failureDomain: settings.failureDomain,
			slots: settings.slots,
			connections: settings.connections,
			state: drainingSince === undefined ? 'serving' : 'draining',
		}),
	});

	const controls = control.createControl({
		counters: counts,
		getUse: () => held.getUse(),
		getBehaviours: () => shown,
		getAge: () => performance.now() - startedAt,
		behave(requested) {
			shown = requested;
		},
	});

	const serve = workers.createWorker({
		id: settings.id,
		random: utils.createRandom(settings.seed),
		counters: counts,
		workMilliseconds: settings.workMilliseconds ?? 0,
		getSlots: () => held,
		getBehaviours: () => shown,
		getAge: () => performance.now() - startedAt,
		noteArrival: noteDraining,
		crash,
	});

	async function start(): Promise<void> {
		held = slots.createSlots(settings.slots, settings.overSlots ?? 'queue');
		drainingSince = undefined;
		const listening = http.createServer({keepAliveTimeout: constants.KEEP_ALIVE_MILLISECONDS}, receive);
		listening.maxConnections = settings.connections;
		await listen(listening, {ip: settings.address.ip, port});
		server = listening;
		({port} = listening.address() as {port: number});
		startedAt = performance.now();
		await announcer.start();
	}

	function receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		if (controls.receive(request, response)) {
			return;
		}

		void serve(request, response);
	}

	function noteDraining(): void {
		if (drainingSince === undefined) {
			return;
		}

		counts.count('startedWhileDraining');
		counts.noteWorkAfterDrain(performance.now() - drainingSince);
	}

	function crash(backAfterMilliseconds?: number): void {
		announcer.stop();
		server?.close();
		server?.closeAllConnections();
		server = undefined;
		if (backAfterMilliseconds === undefined) {
			return;
		}

		comeBack = setTimeout(() => {
			void restart();
		}, backAfterMilliseconds);
		comeBack.unref();
	}

	async function restart(): Promise<void> {
		try {
			await start();
		} catch {
			// The port was taken meanwhile: the server stays down, as `isListening` says.
			server = undefined;
		}
	}

	async function stop(): Promise<void> {
		clearTimeout(comeBack);
		await announcer.leave();
		crash();
	}

	async function drain(): Promise<void> {
		drainingSince = performance.now();
		await announcer.announce();
		await timers.setTimeout(settings.drainMilliseconds ?? DEFAULT_DRAIN_MILLISECONDS);
		while (counts.getInFlight() > 0) {
			// Work ends at its own pace; a short poll is enough for a stand-in.
			// eslint-disable-next-line no-await-in-loop
			await timers.setTimeout(DRAIN_POLL_MILLISECONDS);
		}

		await stop();
	}

	return {
		id: settings.id,
		start,
		stop,
		drain,
		crash() {
			counts.count('crashed');
			crash();
		},
		behave(...requested) {
			shown = behaviours.parseBehaviours(requested);
		},
		counters: () => counts.read(),
		getAddress: () => ({ip: settings.address.ip, port}),
		isListening: () => server !== undefined,
	};
}

const DRAIN_POLL_MILLISECONDS = 10;

async function listen(server: http.Server, address: core.Address): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.ip, () => {
			server.off('error', reject);
			resolve();
		});
	});
}

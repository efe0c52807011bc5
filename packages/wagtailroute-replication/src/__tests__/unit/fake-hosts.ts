/**
Hosts of one group on a simulated clock and a network whose links can be cut.
*/
import type * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import * as replication from '../../index.ts';

/**
A host: its group and the values its state machine holds.
*/
export type FakeHost = {
	readonly group: replication.Group;
	readonly values: unknown[];
};

/**
The hosts by name, their network and their clock.
*/
export type FakeHosts = {
	readonly hosts: Map<string, FakeHost>;
	/**
	Links that lose all messages, written `from>to`.
	*/
	readonly cutLinks: Set<string>;
	readonly start: (
		host: string,
		store: replication.Store,
		initialMembers?: replication.InitialMembers,
		settings?: replication.GroupOptions['settings'],
	) => Promise<FakeHost>;
	/**
	Stops a host; its messages in flight are lost.
	*/
	readonly stop: (host: string) => Promise<void>;
	/**
	Advances the clock in steps of 10 ms.
	*/
	readonly advance: (milliseconds: number) => Promise<void>;
	readonly getLeader: () => FakeHost;
	/**
	Advances the clock until the promise is settled.
	*/
	readonly settle: <Value>(promise: Promise<Value>) => Promise<Value>;
	/**
	Lets the leader reconcile the members repeatedly while the clock advances.
	*/
	readonly repair: (wanted: readonly string[]) => Promise<void>;
};

const STEP_MILLISECONDS = 10;
const MAX_ROUNDS = 1000;

/**
Lets promises settle; the real disk needs turns of the event loop.
*/
async function runEventLoopTurn(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/**
Creates a network without hosts.
*/
export function createFakeHosts(seed: number): FakeHosts {
	const random = utils.createRandom(seed);
	const hosts = new Map<string, FakeHost>();
	const cutLinks = new Set<string>();
	const timers = new Set<{readonly at: number; readonly run: () => void}>();
	let now = 0;

	const fireTimers = () => {
		const due = [...timers].filter(timer => timer.at <= now);
		for (const timer of due) {
			timers.delete(timer);
			timer.run();
		}
	};

	const advance = async (milliseconds: number) => {
		const end = now + milliseconds;
		while (now < end) {
			now += STEP_MILLISECONDS;
			fireTimers();
			await runEventLoopTurn(); // eslint-disable-line no-await-in-loop -- time passes step by step.
		}
	};

	const getLeader = () => {
		const leaders = hosts.values().filter(host => host.group.getStatus().role === 'leader');
		return leaders.toArray().toSorted((one, other) => other.group.getStatus().term - one.group.getStatus().term)[0]!;
	};

	const settle = async <Value>(promise: Promise<Value>) => {
		const progress = {isSettled: false};
		const done = promise.finally(() => {
			progress.isSettled = true;
		});
		for (let round = 0; round < MAX_ROUNDS; round++) {
			if (progress.isSettled) {
				break;
			}

			await advance(STEP_MILLISECONDS); // eslint-disable-line no-await-in-loop -- time passes step by step.
		}

		return done;
	};

	return {
		hosts,
		cutLinks,
		async start(host, store, initialMembers, settings) {
			const values: unknown[] = [];
			const created: results.Result<replication.Group, replication.StoreFailure> = await replication.createGroup({
				group: 'g',
				host,
				store,
				initialMembers,
				settings,
				stateMachine: {
					apply(command) {
						values.push(command);
						return values.length;
					},
					takeSnapshot: () => [...values],
					restoreSnapshot(state) {
						values.splice(0, values.length, ...state as unknown[]);
					},
				},
				send(to, message) {
					const copy = structuredClone(message);
					queueMicrotask(() => {
						if (hosts.has(host) && !cutLinks.has(`${host}>${to}`)) {
							hosts.get(to)?.group.receive(copy);
						}
					});
				},
				clock: () => now,
				random,
				schedule(delayMs, callback) {
					const timer = {at: now + delayMs, run: callback};
					timers.add(timer);
					return () => {
						timers.delete(timer);
					};
				},
				getSeeds: () => hosts.keys().filter(name => name !== host).toArray(),
			});
			const started = {group: created.unwrap(), values};
			hosts.set(host, started);
			return started;
		},
		async stop(host) {
			const stopped = hosts.get(host)!;
			hosts.delete(host);
			await stopped.group.close();
		},
		advance,
		getLeader,
		settle,
		async repair(wanted) {
			for (let round = 0; round < 20; round++) {
				const reconciled = getLeader()?.group.reconcile(wanted.map(host => ({host, role: 'voter'})));
				await settle(Promise.resolve(reconciled)); // eslint-disable-line no-await-in-loop -- step by step.
				await advance(500); // eslint-disable-line no-await-in-loop -- time passes step by step.
			}
		},
	};
}

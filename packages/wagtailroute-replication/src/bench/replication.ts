/**
The cost of replication: messages and bytes when idle and per command, processor time, and restart time and disk use by the
number of changes to a live state of constant size.
*/
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as utils from 'wagtailroute-utils';
import * as replication from '../index.ts';
import * as networks from './network.ts';

/**
Figures of a group. Bytes are those of the messages as JSON, without the envelope of the peer protocol.
*/
export type GroupRow = {
	readonly members: number;
	readonly voters: number;
	readonly idleMessagesPerSecond: number;
	readonly idleBytesPerSecond: number;
	readonly idleLeaderBytesPerSecond: number;
	readonly idleMicrosecondsPerSecond: number;
	readonly messagesPerCommand: number;
	readonly bytesPerCommand: number;
	readonly messagesPerBatchedCommand: number;
	readonly bytesPerBatchedCommand: number;
	readonly microsecondsPerCommand: number;
	readonly leaderMicrosecondsPerCommand: number;
	readonly microsecondsPerHeartbeat: number;
};

/**
Figures of a single host on the real disk after a number of changes. `restartMilliseconds`: load, replay and restore, best of
several runs.
*/
export type RestartRow = {
	readonly changes: number;
	readonly diskBytes: number;
	readonly restartMilliseconds: number;
	readonly commandsPerSecond: number;
};

/**
The ratio of two figures of one run, and its maximum.
*/
export type Bound = {
	readonly name: string;
	readonly ratio: number;
	readonly most: number;
};

const GROUP_SIZES = [3, 5, 7, 28];
const MAX_VOTERS = 5;
const IDLE_MILLISECONDS = 60_000;
const COMMAND_COUNT = 500;
const BATCH_SIZE = 100;
const COMMAND_INTERVAL_MILLISECONDS = 20;
const CHANGE_COUNTS = [100, 1000, 10_000];
const KEY_COUNT = 200;
const VALUE = 'v'.repeat(200);
/**
Milliseconds in a second, and microseconds in a millisecond.
*/
const UNIT_FACTOR = 1000;
const RESTART_RUNS = 20;
const FAILOVER_RUNS = 400;
const LEADER_POLL_MILLISECONDS = 5;

/**
Measures groups of 3, 5, 7 and 28 members.
*/
export function benchGroups(): GroupRow[] {
	// The first run warms up the JIT compiler.
	measureGroup(MAX_VOTERS);
	return GROUP_SIZES.map(members => measureGroup(members));
}

function measureGroup(members: number): GroupRow {
	const voters = Math.min(MAX_VOTERS, members);
	const network = networks.createNetwork(members, voters);
	const leader = networks.getLeader(network);
	const idle = measure(network, () => {
		networks.advanceTime(network, IDLE_MILLISECONDS);
	});
	const single = measure(network, () => {
		for (let count = 0; count < COMMAND_COUNT; count++) {
			propose(network, leader, count, 1);
		}
	});
	const batched = measure(network, () => {
		for (let count = 0; count < COMMAND_COUNT; count++) {
			propose(network, leader, count, BATCH_SIZE);
		}
	});
	const seconds = IDLE_MILLISECONDS / UNIT_FACTOR;
	const idleCost = idle.milliseconds * UNIT_FACTOR;
	return {
		members,
		voters,
		idleMessagesPerSecond: idle.messages / seconds,
		idleBytesPerSecond: idle.bytes / seconds,
		idleLeaderBytesPerSecond: idle.leaderBytes / seconds,
		idleMicrosecondsPerSecond: idleCost / seconds,
		messagesPerCommand: single.messages / single.applied,
		bytesPerCommand: single.bytes / single.applied,
		messagesPerBatchedCommand: batched.messages / batched.applied,
		bytesPerBatchedCommand: batched.bytes / batched.applied,
		microsecondsPerCommand: single.milliseconds * UNIT_FACTOR / single.applied,
		leaderMicrosecondsPerCommand: single.leaderMilliseconds * UNIT_FACTOR / single.applied,
		// A heartbeat consists of a message and its response.
		microsecondsPerHeartbeat: idleCost / (idle.messages / 2),
	};
}

/**
Runs an action twice: once to count bytes, once to measure time.
*/
function measure(network: networks.Network, action: () => void): networks.Traffic {
	network.isCountingBytes = true;
	networks.resetTraffic(network);
	action();
	const {bytes, leaderBytes} = network.traffic;
	network.isCountingBytes = false;
	networks.resetTraffic(network);
	action();
	return {...network.traffic, bytes, leaderBytes};
}

function propose(network: networks.Network, leader: replication.MemberId, count: number, batch: number): void {
	const command = {key: `service-${count % KEY_COUNT}`, value: VALUE};
	const bytes = JSON.stringify(command).length;
	const proposals = Array.from({length: batch}, (_, at) => ({id: `${count}.${at}`, command, bytes}));
	networks.run(network, leader, {kind: 'propose', proposals});
	networks.advanceTime(network, COMMAND_INTERVAL_MILLISECONDS);
}

/**
Failover times of a group of five in simulated milliseconds, from the end of the leader to the first commit of the next one.
*/
export type FailoverRow = {
	readonly runs: number;
	readonly median: number;
	readonly p99: number;
	readonly longest: number;
};

/**
Measures failovers; in each run the leader ends at a different time between two heartbeats.
*/
export function benchFailover(): FailoverRow {
	const times = Array.from({length: FAILOVER_RUNS}, (_, run) => measureFailover(run)).toSorted((one, other) => one - other);
	return {
		runs: FAILOVER_RUNS,
		median: times[FAILOVER_RUNS / 2]!,
		p99: times[Math.floor(FAILOVER_RUNS * 0.99)]!,
		longest: times.at(-1)!,
	};
}

function measureFailover(run: number): number {
	const network = networks.createNetwork(MAX_VOTERS, MAX_VOTERS, run);
	networks.advanceTime(network, run % FAILOVER_RUNS);
	const leader = networks.getLeader(network);
	const {term} = network.replicas.get(leader)!;
	network.replicas.delete(leader);
	const startedAt = network.now;
	while (!network.replicas.values().some(replica => replica.term > term && replica.role === 'leader' && replica.commit >= replica.termStartIndex)) {
		networks.advanceTime(network, 1);
	}

	return network.now - startedAt;
}

/**
Returns the bounds for groups: the cost grows at most linearly with the number of members.
*/
export function getGroupBounds(rows: readonly GroupRow[]): readonly Bound[] {
	const small = rows.find(row => row.members === MAX_VOTERS)!;
	const large = rows.at(-1)!;
	const followers = (large.members - 1) / (small.members - 1);
	return [
		{name: 'idle bytes, 28 members over 5', ratio: large.idleBytesPerSecond / small.idleBytesPerSecond, most: followers * 1.05},
		{name: 'messages a command, 28 members over 5', ratio: large.messagesPerCommand / small.messagesPerCommand, most: followers * 1.05},
		{name: 'bytes a command, 28 members over 5', ratio: large.bytesPerCommand / small.bytesPerCommand, most: followers * 1.1},
		{name: 'processor time a command, 28 members over 5', ratio: large.microsecondsPerCommand / small.microsecondsPerCommand, most: followers * 3},
		{name: 'messages a command, batched over single', ratio: small.messagesPerBatchedCommand / small.messagesPerCommand, most: 0.05},
	];
}

/**
Returns the bounds for restarts: the cost depends on the live state and not on the number of changes.
*/
export function getRestartBounds(rows: readonly RestartRow[]): readonly Bound[] {
	const [, middle, last] = rows;
	return [
		{name: 'bytes on disk, 10,000 changes over 1,000', ratio: last!.diskBytes / middle!.diskBytes, most: 2},
		{name: 'restart time, 10,000 changes over 1,000', ratio: last!.restartMilliseconds / middle!.restartMilliseconds, most: 3},
	];
}

/**
Measures restarts of a single host on this machine's disk, in a temporary folder.
*/
export async function benchRestarts(): Promise<RestartRow[]> {
	const rows: RestartRow[] = [];
	for (const changes of [CHANGE_COUNTS[0]!, ...CHANGE_COUNTS]) {
		rows.push(await measureRestart(changes)); // eslint-disable-line no-await-in-loop -- one at a time, since times are measured.
	}

	// The first run only warms up the JIT compiler.
	return rows.slice(1);
}

async function measureRestart(changes: number): Promise<RestartRow> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'replication-bench-'));
	const group = await openLeader(folder);
	const startedAt = performance.now();
	for (let done = 0; done < changes; done += BATCH_SIZE) {
		const batch = Array.from({length: BATCH_SIZE}, async (_, at) => group.propose({key: `service-${(done + at) % KEY_COUNT}`, value: VALUE}));
		await Promise.all(batch); // eslint-disable-line no-await-in-loop -- batch by batch.
	}

	const commandsPerSecond = changes / (performance.now() - startedAt) * UNIT_FACTOR;
	await group.close();
	const times: number[] = [];
	for (let count = 0; count < RESTART_RUNS; count++) {
		times.push(await measureStart(folder)); // eslint-disable-line no-await-in-loop -- one at a time.
	}

	const files = await fs.readdir(folder);
	const stats = await Promise.all(files.map(async file => fs.stat(path.join(folder, file))));
	await fs.rm(folder, {recursive: true});
	return {
		changes,
		diskBytes: stats.reduce((sum, stat) => sum + stat.size, 0),
		restartMilliseconds: Math.min(...times),
		commandsPerSecond,
	};
}

async function measureStart(folder: string): Promise<number> {
	const startedAt = performance.now();
	const group = await open(folder);
	const milliseconds = performance.now() - startedAt;
	await group.close();
	return milliseconds;
}

async function open(folder: string): Promise<replication.Group> {
	const values = new Map<string, string>();
	const created = await replication.createGroup({
		group: 'catalogue',
		host: 'control-0',
		store: replication.createDurableStore(folder),
		stateMachine: {
			apply(command) {
				const {key, value} = command as {key: string; value: string};
				values.set(key, value);
				return null;
			},
			takeSnapshot: () => [...values],
			restoreSnapshot(state) {
				for (const [key, value] of state as Array<readonly [string, string]>) {
					values.set(key, value);
				}
			},
		},
		send() {
			// A group of one sends nothing.
		},
		clock: () => performance.now(),
		random: utils.createRandom(1),
		schedule(delayMs, run) {
			const timer = setTimeout(run, delayMs);
			return () => {
				clearTimeout(timer);
			};
		},
		initialMembers: {hosts: ['control-0']},
	});
	return created.unwrap();
}

async function openLeader(folder: string): Promise<replication.Group> {
	const group = await open(folder);
	while (group.getStatus().role !== 'leader') {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- until it leads.
			setTimeout(resolve, LEADER_POLL_MILLISECONDS);
		});
	}

	return group;
}

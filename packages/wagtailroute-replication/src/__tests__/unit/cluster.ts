/**
Replicas on a simulated network with simulated disks, driven one event at a time by the explorer. Each step is checked.
*/
import * as utils from 'wagtailroute-utils';
import * as replication from '../../index.ts';
import * as checking from './checks.ts';

/**
Injected faults, which the checks must find. `early-confirmation`: the store confirms a write before it is durable.
`kept-identity`: a wiped host keeps its old identity. `unconfirmed-read`: reads are answered without a quorum.
*/
export type Mutation = 'none' | 'early-confirmation' | 'kept-identity' | 'unconfirmed-read';

/**
Counts of the events of a run.
*/
export type Counts = {
	acknowledged: number;
	reads: number;
	crashes: number;
	wipes: number;
	repairs: number;
	snapshots: number;
};

/**
A host; `replica` is undefined while its process is down.
*/
export type Node = {
	readonly host: string;
	disk: replication.DurableState;
	machine: checking.ChainMachine;
	writes: replication.Write[];
	replica: replication.Replica | undefined;
};

/**
The hosts, the messages in flight and the links that lose all messages (`from>to`).
*/
export type Cluster = {
	readonly nodes: readonly Node[];
	readonly mutation: Mutation;
	readonly random: utils.Random;
	readonly checks: checking.Checks;
	readonly counts: Counts;
	readonly cutLinks: Set<string>;
	readonly initialMembers: readonly replication.Member[];
	/**
	Election timeouts are as short as common network delays, so that terms change frequently.
	*/
	readonly hasShortTimeouts: boolean;
	network: replication.Message[];
	now: number;
	nextId: number;
};

const SNAPSHOT_BYTES = 40;
const COMMAND_BYTES = 5;
const SHORT_TIMEOUTS = {
	heartbeatIntervalMs: 80, idleHeartbeatIntervalMs: 120, learnerHeartbeatIntervalMs: 150, minElectionTimeoutMs: 200, maxElectionTimeoutMs: 500,
};

/**
Creates and starts hosts that are all voters of a new group.
*/
export function createCluster(seed: number, hostCount: number, mutation: Mutation): Cluster {
	const initialMembers = Array.from({length: hostCount}, (_, at) => ({id: `h${at}~first`, role: 'voter'} as const));
	const cluster: Cluster = {
		nodes: initialMembers.map(({id}) => ({
			host: replication.getMemberHost(id),
			disk: replication.createDurableState(id, initialMembers),
			machine: checking.INITIAL_MACHINE,
			writes: [],
			replica: undefined,
		})),
		mutation,
		random: utils.createRandom(seed),
		checks: checking.createChecks(),
		counts: {
			acknowledged: 0, reads: 0, crashes: 0, wipes: 0, repairs: 0, snapshots: 0,
		},
		cutLinks: new Set(),
		initialMembers,
		hasShortTimeouts: seed % 2 === 1,
		network: [],
		now: 0,
		nextId: 0,
	};
	for (const node of cluster.nodes) {
		start(cluster, node);
	}

	return cluster;
}

/**
Starts a process from its disk. Low limits make snapshots and compactions frequent.
*/
export function start(cluster: Cluster, node: Node): void {
	const settings = replication.createSettings({
		group: 'g', self: node.disk.self, minCompactionBytes: 60, retainedEntries: 3, ...(cluster.hasShortTimeouts && SHORT_TIMEOUTS),
	});
	node.machine = (node.disk.snapshot.state ?? checking.INITIAL_MACHINE) as checking.ChainMachine;
	node.replica = replication.createReplica(settings, node.disk, cluster);
}

/**
Returns the nodes in the role of leader; several may be, in different terms.
*/
export function getLeaders(cluster: Cluster): readonly Node[] {
	return cluster.nodes.filter(node => node.replica?.role === 'leader');
}

/**
Handles one event on a node, checks the step and carries out its effects.
*/
export function run(cluster: Cluster, node: Node, event: replication.ReplicaEvent): void {
	const before = node.replica!;
	const {state, effects} = replication.stepReplica(before, event, cluster);
	node.replica = state;
	checking.checkStep(cluster.checks, before, state);
	const later: replication.ReplicaEvent[] = [];
	for (const effect of effects) {
		HANDLERS[effect.kind](cluster, node, effect as never, later);
	}

	for (const next of later) {
		run(cluster, node, next);
	}
}

type Handlers = {
	readonly [Kind in replication.ReplicaEffect['kind']]: (
		cluster: Cluster,
		node: Node,
		effect: Extract<replication.ReplicaEffect, {kind: Kind}>,
		later: replication.ReplicaEvent[],
	) => void;
};

const HANDLERS: Handlers = {
	send(cluster, _node, {message}) {
		cluster.network.push(message);
	},
	persist(cluster, node, {write}, later) {
		node.writes.push(write);
		if (cluster.mutation === 'early-confirmation') {
			later.push({kind: 'persisted', sequence: write.sequence});
		}
	},
	apply({checks, counts}, node, {token, command, id}) {
		node.machine = checking.applyCommand(checks, node.machine, token.index, command as number);
		if (id === null) {
			return;
		}

		counts.acknowledged++;
		checks.lastAcknowledged = Math.max(checks.lastAcknowledged, token.index);
		checks.minReadIndex = Math.max(checks.minReadIndex, token.index);
	},
	restore({checks}, node, {snapshot}) {
		node.machine = snapshot.state as checking.ChainMachine;
		checking.checkRestored(checks, node.machine);
	},
	answer({checks, counts}, node, {id, answer}) {
		const isRead = checking.checkAnswer(checks, node.machine, id, answer);
		counts.reads += isRead ? 1 : 0;
	},
	'take-snapshot'({counts}, node, {index}, later) {
		counts.snapshots++;
		later.push({
			kind: 'snapshot-taken', index, state: node.machine, bytes: SNAPSHOT_BYTES,
		});
	},
	stopped() {
		checking.check(false, 'a replica stopped though its store did not fail');
	},
};

/**
Delivers a message, unless its link is cut or its receiver is down.
*/
export function deliver(cluster: Cluster, message: replication.Message): void {
	const from = replication.getMemberHost(message.from);
	const to = replication.getMemberHost(message.to);
	const node = cluster.nodes.find(item => item.host === to)!;
	if (node.replica === undefined || cluster.cutLinks.has(`${from}>${to}`)) {
		return;
	}

	run(cluster, node, {kind: 'receive', message: structuredClone(message)});
}

/**
Makes the first pending writes durable and confirms them to the process, if it is running.
*/
export function persist(cluster: Cluster, node: Node, count: number): void {
	const persisted = node.writes.splice(0, count);
	for (const write of persisted) {
		node.disk = replication.applyWrite(node.disk, write);
	}

	const last = persisted.at(-1);
	if (last !== undefined && node.replica !== undefined) {
		run(cluster, node, {kind: 'persisted', sequence: last.sequence});
	}
}

/**
Crashes a process: some of its pending writes reach the disk without being confirmed, the others are lost.
*/
export function crash(cluster: Cluster, node: Node): void {
	const reachedDisk = utils.pickIndex(cluster.random, node.writes.length + 1);
	node.replica = undefined;
	persist(cluster, node, reachedDisk);
	node.writes = [];
	cluster.counts.crashes++;
}

/**
Returns whether every list of members in logs, on disks or in flight keeps a quorum of intact voters if this host loses its
disk. Without one, no group could continue.
*/
function canWipeDisk(cluster: Cluster, wiped: Node): boolean {
	const intact = new Set(cluster.nodes.filter(node => node !== wiped).map(node => node.disk.self));
	return listMembers(cluster).every(members => {
		const voters = members.filter(member => member.role === 'voter');
		return voters.length === 0 || voters.filter(voter => intact.has(voter.id)).length > voters.length / 2;
	});
}

function listMembers({nodes, network}: Cluster): ReadonlyArray<readonly replication.Member[]> {
	const snapshots = nodes.flatMap(({disk, replica}) => [disk.snapshot, replica?.snapshot ?? disk.snapshot]);
	const entries = [
		...nodes.flatMap(({disk, replica}) => [...disk.entries, ...replica?.log ?? []]),
		...network.flatMap(message => message.kind === 'append' ? message.entries : []),
	];
	return [
		...snapshots.map(snapshot => snapshot.members),
		...entries.filter(entry => entry.kind === 'members').map(entry => entry.value as readonly replication.Member[]),
	];
}

/**
Crashes a process, erases its disk and restarts it, if the group tolerates that.
*/
export function wipeDisk(cluster: Cluster, node: Node): void {
	if (!canWipeDisk(cluster, node)) {
		return;
	}

	crash(cluster, node);
	cluster.counts.wipes++;
	node.disk = cluster.mutation === 'kept-identity'
		? replication.createDurableState(node.disk.self, cluster.initialMembers)
		: replication.createDurableState(`${node.host}~${++cluster.nextId}`, []);
	start(cluster, node);
}

/**
Proposes a command: a number that is unique in the run.
*/
export function propose(cluster: Cluster, node: Node): void {
	const command = ++cluster.nextId;
	const id = String(command);
	cluster.checks.commands.set(id, command);
	run(cluster, node, {kind: 'propose', proposals: [{id, command, bytes: COMMAND_BYTES}]});
}

/**
Requests a linearizable read.
*/
export function read(cluster: Cluster, node: Node): void {
	const {checks, mutation} = cluster;
	const id = String(++cluster.nextId);
	checks.reads.set(id, checks.minReadIndex);
	if (mutation === 'unconfirmed-read') {
		checking.checkAnswer(checks, node.machine, id, {outcome: 'done', token: {term: 0, index: 0}});
	} else {
		run(cluster, node, {kind: 'read', ids: [id]});
	}
}

/**
Requests the next membership change towards the wanted hosts, if any.
*/
export function reconcile(cluster: Cluster, leader: Node, wanted: readonly Node[]): void {
	const hosts = wanted.map(({host, disk}) => ({host, role: 'voter', current: disk.self} as const));
	const change = replication.planRepair(replication.observeMembers(leader.replica!, cluster.now), hosts);
	if (change === undefined) {
		return;
	}

	cluster.counts.repairs++;
	run(cluster, leader, {kind: 'change-members', id: `change${++cluster.nextId}`, change});
}

/**
Advances the clock and runs the ticks that are due.
*/
export function advanceTime(cluster: Cluster, milliseconds: number): void {
	cluster.now += milliseconds;
	for (const node of cluster.nodes) {
		if (node.replica !== undefined && replication.getNextTick(node.replica) <= cluster.now) {
			run(cluster, node, {kind: 'tick'});
		}
	}
}

/**
Randomized, seeded model checking: random events on a cluster, after which all faults are healed and the group must converge.
*/
import * as utils from 'wagtailroute-utils';
import * as checking from './checks.ts';
import * as clusters from './cluster.ts';

/**
The violation found, if any, and the counts of a run.
*/
export type Report = clusters.Counts & {
	readonly violation: string | undefined;
	readonly terms: number;
};

type Cluster = clusters.Cluster;

const MAX_IN_FLIGHT_MESSAGES = 150;
const MAX_CONVERGENCE_ROUNDS = 400;
const FIRST_CHECK_ROUND = 100;
const PROPOSAL_ROUND = 60;

/**
Runs random actions with a seed, then heals the cluster and checks that it converges.
*/
export function explore(seed: number, hostCount: number, actions: number, mutation: clusters.Mutation = 'none'): Report {
	const cluster = clusters.createCluster(seed, hostCount, mutation);
	let violation: string | undefined;
	try {
		for (let count = 0; count < actions; count++) {
			runRandomAction(cluster);
		}

		converge(cluster);
	} catch (error) {
		const isFound = error instanceof checking.Violation || error instanceof utils.BrokenInvariant;
		if (!isFound) {
			throw error;
		}

		violation = `seed ${seed}: ${error.message}`;
	}

	return {...cluster.counts, violation, terms: cluster.checks.leaders.size};
}

function pick<Item>(cluster: Cluster, items: readonly Item[]): Item {
	return items[utils.pickIndex(cluster.random, items.length)]!;
}

/**
Delivers one of the oldest messages, or sometimes any other. The message may be lost or duplicated.
*/
function deliverOne(cluster: Cluster): void {
	const {network, random} = cluster;
	if (network.length === 0) {
		return;
	}

	const isReordered = random() < 0.1;
	const at = utils.pickIndex(random, isReordered ? network.length : Math.min(3, network.length));
	const draw = random();
	const message = network[at]!;
	if (draw > 0.02) {
		network.splice(at, 1);
	}

	if (draw < 0.97) {
		clusters.deliver(cluster, message);
	}
}

/**
Isolates a host: it can't send, can't receive, or neither.
*/
function isolateHost(cluster: Cluster): void {
	const {host} = pick(cluster, cluster.nodes);
	const direction = utils.pickIndex(cluster.random, 3);
	for (const other of cluster.nodes) {
		if (direction !== 0) {
			cluster.cutLinks.add(`${host}>${other.host}`);
		}

		if (direction !== 1) {
			cluster.cutLinks.add(`${other.host}>${host}`);
		}
	}
}

/**
Reconciles the members; sometimes the first host is not wanted, as if an operator removed it.
*/
function reconcile(cluster: Cluster): void {
	const {nodes, random} = cluster;
	const isShrinking = nodes.length > 3 && random() < 0.1;
	for (const node of clusters.getLeaders(cluster)) {
		clusters.reconcile(cluster, node, isShrinking ? nodes.slice(1) : nodes);
	}
}

const ACTIONS: ReadonlyArray<readonly [weight: number, run: (cluster: Cluster) => void]> = [
	[700, deliverOne],
	[180, cluster => {
		clusters.persist(cluster, pick(cluster, cluster.nodes), 1 + utils.pickIndex(cluster.random, 3));
	}],
	[60, cluster => {
		clusters.advanceTime(cluster, cluster.random() * 200);
	}],
	[50, cluster => {
		for (const node of clusters.getLeaders(cluster)) {
			clusters.propose(cluster, node);
		}
	}],
	[30, cluster => {
		for (const node of clusters.getLeaders(cluster)) {
			clusters.read(cluster, node);
		}
	}],
	[4, cluster => {
		const node = pick(cluster, cluster.nodes);
		if (node.replica !== undefined) {
			clusters.crash(cluster, node);
		}
	}],
	[30, cluster => {
		const node = pick(cluster, cluster.nodes);
		if (node.replica === undefined) {
			clusters.start(cluster, node);
		}
	}],
	[3, cluster => {
		clusters.wipeDisk(cluster, pick(cluster, cluster.nodes));
	}],
	[4, cluster => {
		cluster.cutLinks.add(`${pick(cluster, cluster.nodes).host}>${pick(cluster, cluster.nodes).host}`);
	}],
	[2, isolateHost],
	[8, cluster => {
		cluster.cutLinks.clear();
	}],
	[30, reconcile],
];

const TOTAL_WEIGHT = ACTIONS.reduce((sum, [weight]) => sum + weight, 0);

function runRandomAction(cluster: Cluster): void {
	let at = cluster.random() * TOTAL_WEIGHT;
	const [, run] = ACTIONS.find(([weight]) => {
		at -= weight;
		return at < 0;
	})!;
	run(cluster);
	cluster.network = cluster.network.slice(-MAX_IN_FLIGHT_MESSAGES);
}

function converge(cluster: Cluster): void {
	cluster.cutLinks.clear();
	for (const node of cluster.nodes) {
		if (node.replica === undefined) {
			clusters.start(cluster, node);
		}
	}

	for (let round = 0; round < MAX_CONVERGENCE_ROUNDS; round++) {
		if (round > FIRST_CHECK_ROUND && isConverged(cluster)) {
			break;
		}

		runRound(cluster, round === PROPOSAL_ROUND);
	}

	checking.check(isConverged(cluster), 'the healed group did not converge');
	checking.checkEnd(cluster.checks, cluster.nodes.map(node => node.machine));
}

function runRound(cluster: Cluster, hasProposal: boolean): void {
	clusters.advanceTime(cluster, 50);
	for (let hop = 0; hop < 4; hop++) {
		for (const message of cluster.network.splice(0)) {
			clusters.deliver(cluster, message);
		}

		for (const node of cluster.nodes) {
			clusters.persist(cluster, node, Infinity);
		}
	}

	for (const node of clusters.getLeaders(cluster)) {
		clusters.reconcile(cluster, node, cluster.nodes);
		if (hasProposal) {
			clusters.propose(cluster, node);
		}
	}
}

/**
Returns whether each host is a voter and has applied the same index as the leader.
*/
function isConverged(cluster: Cluster): boolean {
	const leaders = clusters.getLeaders(cluster).map(node => node.replica!);
	const last = leaders.toSorted((one, other) => other.term - one.term)[0];
	return last !== undefined && cluster.nodes.every(node =>
		node.replica!.applied === last.applied
		&& last.members.some(member => member.id === node.disk.self && member.role === 'voter'));
}

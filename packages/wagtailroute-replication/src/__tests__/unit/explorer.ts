/**
A seeded explorer: random events on a cluster, then everything is healed and must come together again.
*/
import * as utils from 'wagtailroute-utils';
import * as checking from './checks.ts';
import * as clusters from './cluster.ts';

/**
What a run found and did.
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
Runs one seed.
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
Delivers one of the oldest messages, at times any other; it may be lost, or stay in flight to come again.
*/
function deliverOne(cluster: Cluster): void {
	const {network, random} = cluster;
	if (network.length === 0) {
		return;
	}

	const isReordered = random() < 0.1;
	const at = utils.pickIndex(random, isReordered ? network.length : Math.min(3, network.length));
	const fate = random();
	const message = network[at]!;
	if (fate > 0.02) {
		network.splice(at, 1);
	}

	if (fate < 0.97) {
		clusters.deliver(cluster, message);
	}
}

/**
Cuts a host off: it is not heard, hears nobody, or both.
*/
function isolateHost(cluster: Cluster): void {
	const {host} = pick(cluster, cluster.nodes);
	const way = utils.pickIndex(cluster.random, 3);
	for (const other of cluster.nodes) {
		if (way !== 0) {
			cluster.cutLinks.add(`${host}>${other.host}`);
		}

		if (way !== 1) {
			cluster.cutLinks.add(`${other.host}>${host}`);
		}
	}
}

/**
Repairs; at times an operator takes a host out.
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
Every host is a voter, and has applied what the leader has.
*/
function isConverged(cluster: Cluster): boolean {
	const leaders = clusters.getLeaders(cluster).map(node => node.replica!);
	const last = leaders.toSorted((one, other) => other.term - one.term)[0];
	return last !== undefined && cluster.nodes.every(node =>
		node.replica!.applied === last.applied
		&& last.members.some(member => member.id === node.disk.self && member.role === 'voter'));
}

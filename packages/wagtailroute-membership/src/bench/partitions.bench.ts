/**
Benchmark of membership in one-way partitions and when a host joins. Many state machines in one process, simulated time,
fixed seeds; all figures are deterministic.

Run it with `npm run bench -- partitions`.
*/
import * as membership from '../index.ts';
import {
	advanceTime,
	createFleet,
	describeHost,
	type Fleet,
	startHost,
} from './fleet.ts';

/**
What the other hosts observe of one host with a one-way fault. Times are in milliseconds of simulated time; infinite for
an event that didn't occur during the run.
*/
export type PartitionRow = {
	readonly hosts: number;
	readonly fault: string;
	readonly firstSuspected: number;
	readonly deadP50: number;
	readonly deadP99: number;
	/**
	Other hosts that any host but the faulty one suspected or declared dead.
	*/
	readonly othersSuspected: number;
	readonly othersDead: number;
	/**
	Hosts that record a path fault to the faulty host at the end of the run.
	*/
	readonly pathFaults: number;
};

/**
Times and traffic when one host joins a running fleet.
*/
export type JoinRow = {
	readonly hosts: number;
	/**
	From the start of the new host until it knows all others, and until all others know it.
	*/
	readonly knowsAllMilliseconds: number;
	readonly knownMilliseconds: number;
	/**
	Bytes that the whole fleet sends during the join beyond its usual rate.
	*/
	readonly extraBytes: number;
};

const SEED = 4;
const VICTIM = 'host-1';
const SETTLE_MILLISECONDS = 3000;
const PARTITION_MILLISECONDS = 20_000;
const MAX_JOIN_MILLISECONDS = 30_000;
const JOIN_CHECK_INTERVAL_MILLISECONDS = 50;
const SIZES = [{hosts: 40, domains: 4}, {hosts: 400, domains: 8}];
const JOIN_SIZES = [...SIZES, {hosts: 2400, domains: 24}];

const FAULTS: ReadonlyArray<{readonly fault: string; readonly isBlocked: Fleet['isBlocked']}> = [
	{fault: 'hears nothing, is heard', isBlocked: (_from, to) => to === VICTIM},
	{fault: 'hears, is not heard', isBlocked: from => from === VICTIM},
	{fault: 'one other cannot reach it', isBlocked: (from, to) => from === 'host-0' && to === VICTIM},
	{fault: 'its failure domain cannot reach it', isBlocked: (from, to) => isInVictimDomain(from) && to === VICTIM},
	{fault: 'half of all cannot reach it', isBlocked: (from, to) => getHostNumber(from) % 4 >= 2 && to === VICTIM},
];

/**
Runs all one-way faults at each size of the fleet.
*/
export function measurePartitions(): readonly PartitionRow[] {
	return SIZES.flatMap(size => FAULTS.map(({fault, isBlocked}) => {
		const fleet = createFleet({
			...size,
			seed: SEED,
			loss: 0.01,
			isJoined: true,
		});
		fleet.isCountingBytes = false;
		advanceTime(fleet, SETTLE_MILLISECONDS);
		fleet.observations.length = 0;
		const start = fleet.now;
		fleet.isBlocked = isBlocked;
		advanceTime(fleet, PARTITION_MILLISECONDS);
		return {hosts: size.hosts, fault, ...summarizeVictim(fleet, start)};
	}));
}

/**
Runs a join at each size of the fleet.
*/
export function measureJoins(): readonly JoinRow[] {
	return JOIN_SIZES.map(size => {
		const fleet = createFleet({
			...size,
			seed: SEED,
			loss: 0.01,
			isJoined: true,
		});
		advanceTime(fleet, SETTLE_MILLISECONDS);
		const startBytes = fleet.bytes;
		advanceTime(fleet, SETTLE_MILLISECONDS);
		const quietRate = (fleet.bytes - startBytes) / SETTLE_MILLISECONDS;
		const {bytes, now} = fleet;
		const joiner = describeHost(fleet.settings, size.hosts, 'first');
		startHost(fleet, joiner);
		const times = waitForJoin(fleet, joiner.id);
		return {hosts: size.hosts, ...times, extraBytes: Math.round(fleet.bytes - bytes - (quietRate * (fleet.now - now)))};
	});
}

function waitForJoin(
	fleet: Fleet,
	id: string,
): {readonly knowsAllMilliseconds: number; readonly knownMilliseconds: number} {
	const start = fleet.now;
	let knowsAllMilliseconds = Infinity;
	let knownMilliseconds = Infinity;
	const isDone = (): boolean => Number.isFinite(knowsAllMilliseconds) && Number.isFinite(knownMilliseconds);
	while (!isDone() && fleet.now - start < MAX_JOIN_MILLISECONDS) {
		advanceTime(fleet, JOIN_CHECK_INTERVAL_MILLISECONDS);
		if (membership.getAliveMembers(fleet.hosts.get(id)!).length === fleet.hosts.size) {
			knowsAllMilliseconds = Math.min(knowsAllMilliseconds, fleet.now - start);
		}

		if (fleet.hosts.values().every(state => membership.getMembersById(state).has(id))) {
			knownMilliseconds = Math.min(knownMilliseconds, fleet.now - start);
		}
	}

	return {knowsAllMilliseconds, knownMilliseconds};
}

function summarizeVictim(fleet: Fleet, start: number): Omit<PartitionRow, 'hosts' | 'fault'> {
	const victimObservations = fleet.observations.filter(({member}) => member.id === VICTIM);
	// The faulty host's own observations don't count: its suspicions reach nobody, or must not be confirmed.
	const otherObservations = fleet.observations.filter(({observer, member}) => member.id !== VICTIM && observer !== VICTIM);
	const suspected = victimObservations.filter(({member}) => member.state === 'suspect').map(({at}) => at - start);
	const dead = victimObservations.filter(({member}) => member.state === 'dead').map(({at}) => at - start);
	const faults = fleet.hosts.values().filter(state => membership.hasPathFault(state, VICTIM)).toArray();
	return {
		firstSuspected: Math.min(Infinity, ...suspected),
		deadP50: getTimeQuantile(dead, fleet.hosts.size, 0.5),
		deadP99: getTimeQuantile(dead, fleet.hosts.size, 0.99),
		othersSuspected: countHosts(otherObservations, 'suspect'),
		othersDead: countHosts(otherObservations, 'dead'),
		pathFaults: faults.length,
	};
}

function countHosts(observations: Fleet['observations'], state: membership.MemberState): number {
	return new Set(observations.filter(({member}) => member.state === state).map(({member}) => member.id)).size;
}

function getTimeQuantile(times: readonly number[], hosts: number, quantile: number): number {
	const sorted = times.toSorted((left, right) => left - right);
	return sorted[Math.floor((hosts - 1) * quantile)] ?? Infinity;
}

function isInVictimDomain(id: string): boolean {
	return getHostNumber(id) % 4 === 1;
}

function getHostNumber(id: string): number {
	return Number(id.slice('host-'.length));
}

/**
Entry point for `scripts/bench.ts`: returns the rows and the bounds that don't hold.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Readonly<Record<string, string | number>>>;
	readonly broken: readonly string[];
}> {
	const rows = [...measurePartitions(), ...measureJoins()];
	return {title: 'Membership: one-way partitions and joins', rows, broken: findBrokenBounds(rows)};
}

const MAX_DEAD_MILLISECONDS = 12_000;

function findBrokenBounds(rows: ReadonlyArray<PartitionRow | JoinRow>): readonly string[] {
	return rows.flatMap(row => 'fault' in row ? findBrokenPartition(row) : findBrokenJoin(row));
}

// A host whose answers reach nobody must be declared dead by all; one that only some hosts can't reach must stay alive.
function findBrokenPartition(row: PartitionRow): readonly string[] {
	const mustDie = row.fault.startsWith('hears');
	const isBoundKept = mustDie ? row.deadP99 <= MAX_DEAD_MILLISECONDS : row.firstSuspected === Infinity;
	return isBoundKept && row.othersDead === 0 ? [] : [`${row.hosts} hosts, ${row.fault}: a host is wrongly suspected, wrongly declared dead, or declared dead too late.`];
}

function findBrokenJoin(row: JoinRow): readonly string[] {
	return row.knowsAllMilliseconds === Infinity ? [`${row.hosts} hosts: a join doesn't complete.`] : [];
}

/**
Measures assignment: carriers moved when a host is removed or added, relative to the minimum; spread of services over
hosts; CPU time.

Run it with `npm run bench -- assignment`. All but the CPU time is deterministic.
*/
import * as process from 'node:process';
import * as assignment from '../index.ts';

/**
Results for one size of the fleet.
*/
export type AssignmentRow = {
	readonly hosts: number;
	readonly services: number;
	readonly carriers: number;
	/**
	Services of the host with the most of them, divided by the mean.
	*/
	readonly maxOverMean: number;
	/**
	Carriers replaced when one host is removed, divided by the number of services that it carried.
	*/
	readonly movedOnLeave: number;
	/**
	Carriers replaced when one host is added, divided by the number of services that it carries then.
	*/
	readonly movedOnJoin: number;
	/**
	CPU time of the first full computation, in milliseconds.
	*/
	readonly fullMilliseconds: number;
	/**
	Mean CPU time of removing one host, and of adding one, in milliseconds.
	*/
	readonly leaveMilliseconds: number;
	readonly joinMilliseconds: number;
};

const FLEET_SIZES = [
	{
		hosts: 40, domains: 4, services: 4, carriers: 6,
	},
	{
		hosts: 40, domains: 4, services: 400, carriers: 6,
	},
	{
		hosts: 400, domains: 8, services: 1150, carriers: 6,
	},
	{
		hosts: 2400, domains: 24, services: 6900, carriers: 6,
	},
];

const CHANGED_HOSTS = 20;
const WARMUP_ROUNDS = 3;

/**
Measures all sizes of the fleet.
*/
export async function measureAssignment(): Promise<readonly AssignmentRow[]> {
	const hash = await assignment.createNameHash();
	// Discards the first rounds, in which the code isn't compiled yet: at 40 hosts they exceeded the bound in every
	// second run.
	for (let round = 0; round < WARMUP_ROUNDS; round++) {
		measureSize(hash, FLEET_SIZES[1]!);
	}

	return FLEET_SIZES.map(size => measureSize(hash, size));
}

function measureSize(hash: assignment.NameHash, size: typeof FLEET_SIZES[number]): AssignmentRow {
	const hosts = Array.from({length: size.hosts}, (_, index) => ({
		id: `host-${index}`,
		failureDomain: `domain-${index % size.domains}`,
		weight: 1,
	}));
	const names = Array.from({length: size.services}, (_, index) => `service-${index}`);
	const index = assignment.createCarrierIndex(hash, hosts);
	const fullMilliseconds = measureCpuMilliseconds(() => {
		for (const name of names) {
			index.setService(name, size.carriers);
		}
	});
	const counts = hosts.map(host => index.getServices(host.id).size);
	const changes = hosts.slice(0, CHANGED_HOSTS).map(host => measureLeaveAndJoin(index, names, host));
	return {
		hosts: size.hosts,
		services: size.services,
		carriers: size.carriers,
		maxOverMean: Math.max(...counts) / getMean(counts),
		movedOnLeave: getMovedRatio(changes.map(change => change.leave)),
		movedOnJoin: getMovedRatio(changes.map(change => change.join)),
		fullMilliseconds,
		leaveMilliseconds: getMean(changes.map(change => change.leave.milliseconds)),
		joinMilliseconds: getMean(changes.map(change => change.join.milliseconds)),
	};
}

type ChangeMeasurement = {readonly moved: number; readonly minMoved: number; readonly milliseconds: number};

function measureLeaveAndJoin(
	index: assignment.CarrierIndex,
	names: readonly string[],
	host: assignment.CarrierHost,
): {readonly leave: ChangeMeasurement; readonly join: ChangeMeasurement} {
	const minMoved = index.getServices(host.id).size;
	const leave = measureMovedAssignments(index, names, () => {
		index.removeHost(host.id);
	});
	const join = measureMovedAssignments(index, names, () => {
		index.setHost(host);
	});
	return {leave: {...leave, minMoved}, join: {...join, minMoved}};
}

function measureMovedAssignments(
	index: assignment.CarrierIndex,
	names: readonly string[],
	change: () => void,
): {readonly moved: number; readonly milliseconds: number} {
	const before = names.map(name => new Set(index.getCarriers(name)));
	const milliseconds = measureCpuMilliseconds(change);
	let moved = 0;
	for (const [position, name] of names.entries()) {
		moved += index.getCarriers(name).filter(id => !before[position]!.has(id)).length;
	}

	return {moved, milliseconds};
}

function getMovedRatio(changes: readonly ChangeMeasurement[]): number {
	return getMean(changes.map(change => change.moved)) / getMean(changes.map(change => change.minMoved));
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function measureCpuMilliseconds(work: () => void): number {
	const start = process.cpuUsage();
	work();
	const used = process.cpuUsage(start);
	return (used.user + used.system) / 1000;
}

/**
Entry point for `scripts/bench.ts`: returns the rows, and a sentence for each exceeded bound.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Readonly<Record<string, string | number>>>;
	readonly broken: readonly string[];
}> {
	const rows = await measureAssignment();
	return {title: 'Assignment: moved share, spread, CPU', rows, broken: findExceededBounds(rows)};
}

// The selection is deterministic; CPU time is bounded as a ratio within the run.
const MAX_MOVED_RATIO = 1.05;
const MAX_OVER_MEAN = 2.5;
const MIN_SERVICES_FOR_BOUNDS = 100;
const MAX_CHANGE_COST_RATIO = 0.2;

function findExceededBounds(rows: readonly AssignmentRow[]): readonly string[] {
	return rows.flatMap(row => [
		...Math.max(row.movedOnLeave, row.movedOnJoin) > MAX_MOVED_RATIO ? [`${row.hosts} hosts: a change of one host moves more carriers than necessary.`] : [],
		...row.services >= MIN_SERVICES_FOR_BOUNDS && row.maxOverMean > MAX_OVER_MEAN
			? [`${row.hosts} hosts: the host with the most services has ${row.maxOverMean} times the mean.`]
			: [],
		...row.services >= MIN_SERVICES_FOR_BOUNDS && row.joinMilliseconds > MAX_CHANGE_COST_RATIO * row.fullMilliseconds
			? [`${row.hosts} hosts: adding a host takes ${row.joinMilliseconds} ms, the full computation ${row.fullMilliseconds} ms.`]
			: [],
	]);
}

/**
Benchmark of membership: detection times, false suspicions and deaths under loss, bytes and CPU per host, and the
dissemination time of an update. Many state machines in one process, simulated time, fixed seeds.

Run it with `npm run bench -- membership`. All figures but the CPU time are deterministic.
*/
import * as process from 'node:process';
import type * as membership from '../index.ts';
import {
	advanceTime,
	createFleet,
	type Fleet,
	handleEvent,
} from './fleet.ts';

/**
Results of one fleet. Detection and update times are in milliseconds of simulated time.
*/
export type MembershipRow = {
	readonly hosts: number;
	readonly loss: number;
	/**
	Simulated seconds without a failure or change, over which bytes, CPU time and false suspicions are counted.
	*/
	readonly quietSeconds: number;
	readonly bytesPerSecond: number;
	readonly cpuMicrosecondsPerSecond: number;
	readonly largestMessage: number;
	/**
	Suspicions and declarations of death of running hosts, each counted once per host and incarnation.
	*/
	readonly falseSuspicions: number;
	readonly falseDeaths: number;
	/**
	From the stop of a host until the first other host suspects it, over several stopped hosts.
	*/
	readonly suspectedP50: number;
	readonly suspectedP99: number;
	/**
	From the stop of a host until the median, and 99 in 100, of the other hosts have it as suspected, and as dead.
	*/
	readonly knownP50: number;
	readonly knownP99: number;
	readonly deadP50: number;
	readonly deadP99: number;
	/**
	From a change of a host's own record until the median, and 99 in 100, of the other hosts have it.
	*/
	readonly updateP50: number;
	readonly updateP99: number;
};

type BenchCase = {
	readonly hosts: number;
	readonly domains: number;
	readonly loss: number;
	readonly quietMilliseconds: number;
	readonly victimCount: number;
};

const CASES: readonly BenchCase[] = [
	{
		hosts: 40,
		domains: 4,
		loss: 0,
		quietMilliseconds: 60_000,
		victimCount: 20,
	},
	{
		hosts: 40,
		domains: 4,
		loss: 0.01,
		quietMilliseconds: 60_000,
		victimCount: 20,
	},
	{
		hosts: 40,
		domains: 4,
		loss: 0.05,
		quietMilliseconds: 60_000,
		victimCount: 20,
	},
	{
		hosts: 40,
		domains: 4,
		loss: 0.2,
		quietMilliseconds: 60_000,
		victimCount: 20,
	},
	{
		hosts: 400,
		domains: 8,
		loss: 0.01,
		quietMilliseconds: 30_000,
		victimCount: 40,
	},
	{
		hosts: 400,
		domains: 8,
		loss: 0.05,
		quietMilliseconds: 30_000,
		victimCount: 40,
	},
	{
		hosts: 400,
		domains: 8,
		loss: 0.2,
		quietMilliseconds: 30_000,
		victimCount: 40,
	},
	{
		hosts: 2400,
		domains: 24,
		loss: 0.01,
		quietMilliseconds: 8000,
		victimCount: 16,
	},
	{
		hosts: 2400,
		domains: 24,
		loss: 0.05,
		quietMilliseconds: 4000,
		victimCount: 8,
	},
	{
		hosts: 2400,
		domains: 24,
		loss: 0.2,
		quietMilliseconds: 4000,
		victimCount: 8,
	},
];

const SEED = 4;
const SETTLE_MILLISECONDS = 3000;
const MAX_DETECTION_MILLISECONDS = 11_000;
const MAX_UPDATE_MILLISECONDS = 3000;

/**
Runs all cases and returns a row for each.
*/
export function measureMembership(): readonly MembershipRow[] {
	return CASES.map(benchCase => measureCase(benchCase));
}

function measureCase(benchCase: BenchCase): MembershipRow {
	const fleet = createFleet({...benchCase, seed: SEED, isJoined: true});
	const quiet = measureQuiet(fleet, benchCase.quietMilliseconds);
	fleet.isCountingBytes = false;
	const update = measureUpdate(fleet);
	const detection = measureDetection(fleet, benchCase.victimCount);
	return {
		hosts: benchCase.hosts,
		loss: benchCase.loss,
		...quiet,
		largestMessage: fleet.largestMessageBytes,
		...detection,
		updateP50: getQuantile(update, 0.5),
		updateP99: getQuantile(update, 0.99),
	};
}

function measureQuiet(fleet: Fleet, milliseconds: number): Pick<
	MembershipRow,
	'quietSeconds' | 'bytesPerSecond' | 'cpuMicrosecondsPerSecond' | 'falseSuspicions' | 'falseDeaths'
> {
	advanceTime(fleet, SETTLE_MILLISECONDS);
	fleet.observations.length = 0;
	const {bytes} = fleet;
	const start = process.cpuUsage();
	advanceTime(fleet, milliseconds);
	const used = process.cpuUsage(start);
	const hostSeconds = fleet.hosts.size * milliseconds / 1000;
	return {
		quietSeconds: milliseconds / 1000,
		bytesPerSecond: Math.round((fleet.bytes - bytes) / hostSeconds),
		cpuMicrosecondsPerSecond: Math.round((used.user + used.system) / hostSeconds),
		falseSuspicions: countVersions(fleet, 'suspect'),
		falseDeaths: countVersions(fleet, 'dead'),
	};
}

function countVersions(fleet: Fleet, state: membership.MemberState): number {
	const seen = fleet.observations
		.filter(({member}) => member.state === state)
		.map(({member}) => `${member.id} ${member.incarnation}`);
	return new Set(seen).size;
}

function measureUpdate(fleet: Fleet): readonly number[] {
	fleet.observations.length = 0;
	const start = fleet.now;
	handleEvent(fleet, 'host-0', {kind: 'update-self', draining: true});
	advanceTime(fleet, MAX_UPDATE_MILLISECONDS);
	const times = fleet.observations
		.filter(({observer, member}) => observer !== 'host-0' && member.id === 'host-0' && member.draining)
		.map(({at}) => at - start);
	return padWithInfinity(times, fleet.hosts.size - 1);
}

function measureDetection(fleet: Fleet, count: number): Pick<
	MembershipRow,
	'suspectedP50' | 'suspectedP99' | 'knownP50' | 'knownP99' | 'deadP50' | 'deadP99'
> {
	const step = Math.floor(fleet.hosts.size / count);
	const victims = Array.from({length: count}, (_, index) => `host-${(index * step) + 1}`);
	const suspected: number[] = [];
	const known: number[] = [];
	const dead: number[] = [];
	// Hosts stop in small groups, so that the rest of the fleet stays nearly whole.
	const groupSize = Math.max(2, Math.round(fleet.settings.hosts / 300));
	for (let first = 0; first < victims.length; first += groupSize) {
		const group = victims.slice(first, first + groupSize);
		const start = fleet.now;
		fleet.observations.length = 0;
		const stoppedHosts = group.map(id => [id, fleet.hosts.get(id)!] as const);
		for (const id of group) {
			fleet.hosts.delete(id);
		}

		advanceTime(fleet, MAX_DETECTION_MILLISECONDS);
		for (const id of group) {
			const seen = getFirstTimes(fleet, id, start, ['suspect', 'dead']);
			suspected.push(Math.min(...seen));
			known.push(...padWithInfinity(seen, fleet.hosts.size));
			dead.push(...padWithInfinity(getFirstTimes(fleet, id, start, ['dead']), fleet.hosts.size));
		}

		if (!(fleet.settings.hosts < 100)) {
			continue;
		}

		for (const [id, state] of stoppedHosts) {
			fleet.hosts.set(id, state);
		}

		advanceTime(fleet, MAX_DETECTION_MILLISECONDS);
	}

	return {
		suspectedP50: getQuantile(suspected, 0.5),
		suspectedP99: getQuantile(suspected, 0.99),
		knownP50: getQuantile(known, 0.5),
		knownP99: getQuantile(known, 0.99),
		deadP50: getQuantile(dead, 0.5),
		deadP99: getQuantile(dead, 0.99),
	};
}

function getFirstTimes(
	fleet: Fleet,
	id: string,
	start: number,
	states: readonly membership.MemberState[],
): readonly number[] {
	const first = new Map<string, number>();
	for (const {observer, member, at} of fleet.observations) {
		if (member.id === id && states.includes(member.state) && !first.has(observer)) {
			first.set(observer, at - start);
		}
	}

	return first.values().toArray();
}

// A host that didn't observe the change within the time counts as infinitely late.
function padWithInfinity(times: readonly number[], count: number): readonly number[] {
	return [...times, ...Array.from({length: Math.max(0, count - times.length)}, () => Infinity)];
}

function getQuantile(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? Infinity;
}

/**
Entry point for `scripts/bench.ts`: returns the rows and the bounds that don't hold.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Readonly<Record<string, string | number>>>;
	readonly broken: readonly string[];
}> {
	const rows = measureMembership();
	return {title: 'Membership: detection, false suspicions, bytes and CPU a host', rows, broken: findBrokenBounds(rows)};
}

// Only deterministic figures have bounds: the CPU time has none.
const MAX_BYTES_PER_SECOND = 1500;
const MAX_BYTES_GROWTH = 1.25;
const MAX_USUAL_LOSS = 0.05;
const MAX_MESSAGE_BYTES = 1200;

function findBrokenBounds(rows: readonly MembershipRow[]): readonly string[] {
	const usual = rows.filter(row => row.loss <= MAX_USUAL_LOSS);
	const lowestBytesPerSecond = Math.min(...usual.map(row => row.bytesPerSecond));
	return [
		...rows.filter(row => row.falseDeaths > 0).map(row => `${row.hosts} hosts, loss ${row.loss}: a running host is declared dead.`),
		...rows.filter(row => row.largestMessage > MAX_MESSAGE_BYTES).map(row => `${row.hosts} hosts: a message is too large.`),
		...usual
			.filter(row => row.bytesPerSecond > Math.min(MAX_BYTES_PER_SECOND, lowestBytesPerSecond * MAX_BYTES_GROWTH))
			.map(row => `${row.hosts} hosts, loss ${row.loss}: ${row.bytesPerSecond} bytes a second a host.`),
	];
}

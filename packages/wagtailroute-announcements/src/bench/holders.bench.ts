/**
Measures what announcements cost a host by the size of the fleet, at the density of the size to design for (17 services
and 58 held leases per host): messages, bytes, CPU time and memory while nothing changes, and after 3 of 100 hosts (a
failure domain) are lost, so that their services move to other carriers and their upstreams renew elsewhere.

Time is simulated and the seed fixed; all but CPU time and memory is deterministic. CPU time is that of the state machine
and the simulation, without connections.
*/
import * as process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as utils from 'wagtailroute-utils';
import * as announcements from '../index.ts';
import {
	advanceTime,
	countPeers,
	createFleet,
	handleEvent,
	type SimulatedFleet,
} from './announcements.bench.ts';

const SIZES = [100, 200, 300, 400] as const;
const SERVICES_PER_HOST = 2.875;
const CARRIERS_PER_SERVICE = 6;
const UPSTREAMS_PER_SERVICE = 20;
const LOST_FRACTION = 69 / 2400;
const WARM_UP_MILLISECONDS = 20_000;
const MEASURED_MILLISECONDS = 20_000;
const STEP_MILLISECONDS = 250;
// Longer than LOST_HOLDER_GRACE_MILLISECONDS, for which the leases of a lost holder are kept.
const RECOVERY_WATCH_MILLISECONDS = 18_000;
const MILLISECONDS_PER_SECOND = 1000;

/**
Maximum bytes per second of a host in the largest fleet, divided by those in the smallest.
*/
const MAX_BYTES_RATIO = 2;

type Row = {
	readonly hosts: number;
	/**
	Other carriers of the host's services. The number of messages depends on it, and it levels off in large fleets.
	*/
	readonly peers: number;
	readonly leasesKnown: number;
	readonly messagesPerSecond: number;
	readonly bytesPerSecond: number;
	readonly cpuMicrosecondsPerSecond: number;
	readonly heapBytes: number;
	/**
	Upstreams that renewed at a lost host; mean messages and bytes of a surviving host beyond those without a change; and
	milliseconds after which every carrier permanently knows all upstreams.
	*/
	readonly upstreamsMoved: number;
	readonly messagesAfterLoss: number;
	readonly bytesAfterLoss: number;
	readonly recoveredMilliseconds: number;
};

/**
Measures all sizes.
*/
export async function run(): Promise<{title: string; rows: readonly Row[]; broken: readonly string[]}> {
	const rows = SIZES.map(hosts => measureSize(hosts));
	const ratio = rows.at(-1)!.bytesPerSecond / rows[0]!.bytesPerSecond;
	return {
		title: 'Announcements: cost of a holder by the size of the fleet, and a failure domain lost',
		rows,
		broken: [
			...ratio > MAX_BYTES_RATIO ? [`the bytes of a holder grow ${ratio.toFixed(2)} times with the fleet`] : [],
			...rows.filter(row => row.recoveredMilliseconds === Infinity)
				.map(row => `${row.hosts} hosts: upstreams of lost hosts are not known again within ${RECOVERY_WATCH_MILLISECONDS} ms`),
		],
	};
}

function measureSize(hosts: number): Row {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const fleet = createFleet({
		hosts, services: Math.round(hosts * SERVICES_PER_HOST), carriers: CARRIERS_PER_SERVICE, upstreams: UPSTREAMS_PER_SERVICE,
	});
	advanceTime(fleet, WARM_UP_MILLISECONDS);
	collectGarbage();
	const heapBytes = (process.memoryUsage().heapUsed - before) / hosts;
	const {messages, bytes} = fleet;
	const start = process.cpuUsage();
	advanceTime(fleet, MEASURED_MILLISECONDS);
	const used = process.cpuUsage(start);
	const hostSeconds = hosts * MEASURED_MILLISECONDS / MILLISECONDS_PER_SECOND;
	const steadyRates = {
		messagesPerSecond: (fleet.messages - messages) / hostSeconds,
		bytesPerSecond: (fleet.bytes - bytes) / hostSeconds,
	};
	return {
		hosts,
		peers: round(countPeers(fleet)),
		leasesKnown: fleet.size.services * CARRIERS_PER_SERVICE * UPSTREAMS_PER_SERVICE / hosts,
		messagesPerSecond: round(steadyRates.messagesPerSecond),
		bytesPerSecond: Math.round(steadyRates.bytesPerSecond),
		cpuMicrosecondsPerSecond: Math.round((used.user + used.system) / hostSeconds),
		heapBytes: Math.round(heapBytes),
		...measureLoss(fleet, steadyRates),
	};
}

type SteadyRates = Pick<Row, 'messagesPerSecond' | 'bytesPerSecond'>;

/**
Lost hosts stop without a message. The others receive the loss from membership at once; the time that membership takes
to detect it is not included.
*/
function measureLoss(initialFleet: SimulatedFleet, steadyRates: SteadyRates): Omit<Row, keyof SteadyRates | 'hosts' | 'peers' | 'leasesKnown' | 'cpuMicrosecondsPerSecond' | 'heapBytes'> {
	const lost = new Set(Array.from({length: Math.round(initialFleet.size.hosts * LOST_FRACTION)}, (_, index) => index));
	const before = {messages: initialFleet.messages, bytes: initialFleet.bytes};
	const fleet: SimulatedFleet = {...initialFleet, carriers: initialFleet.carriers.map(carriers => replaceLostCarriers(initialFleet, carriers, lost))};
	for (let host = lost.size; host < fleet.size.hosts; host++) {
		for (const lostHost of lost) {
			handleEvent(fleet, host, {kind: 'holder-lost', id: `host-${lostHost}`});
		}
	}

	for (const [service, carriers] of fleet.carriers.entries()) {
		setCarriers(fleet, service, new Set([...carriers, ...initialFleet.carriers[service]!.filter(host => !lost.has(host))]));
	}

	const startedAt = fleet.now;
	let incompleteAt = startedAt;
	while (fleet.now - startedAt < RECOVERY_WATCH_MILLISECONDS) {
		advanceTime(fleet, STEP_MILLISECONDS);
		incompleteAt = areAllUpstreamsKnown(fleet) ? incompleteAt : fleet.now;
	}

	const survivors = fleet.size.hosts - lost.size;
	const seconds = RECOVERY_WATCH_MILLISECONDS / MILLISECONDS_PER_SECOND;
	return {
		upstreamsMoved: countMovedUpstreams(initialFleet, lost),
		messagesAfterLoss: round(((fleet.messages - before.messages) / survivors) - (steadyRates.messagesPerSecond * seconds)),
		bytesAfterLoss: Math.round(((fleet.bytes - before.bytes) / survivors) - (steadyRates.bytesPerSecond * seconds)),
		recoveredMilliseconds: areAllUpstreamsKnown(fleet) ? incompleteAt - startedAt + STEP_MILLISECONDS : Infinity,
	};
}

function replaceLostCarriers(fleet: SimulatedFleet, carriers: readonly number[], lost: ReadonlySet<number>): readonly number[] {
	const replaced = [...carriers];
	for (const [position, host] of carriers.entries()) {
		while (lost.has(replaced[position]!) || (lost.has(host) && replaced.indexOf(replaced[position]!) !== position)) {
			replaced[position] = lost.size + utils.pickIndex(fleet.random, fleet.size.hosts - lost.size);
		}
	}

	return replaced;
}

function setCarriers(fleet: SimulatedFleet, service: number, hosts: ReadonlySet<number>): void {
	for (const host of hosts) {
		handleEvent(fleet, host, {
			kind: 'carriers',
			service: `service-${service}`,
			carriers: fleet.carriers[service]!.map(index => `host-${index}`),
		});
	}
}

// Upstream number u of a service renews at its carrier number u, modulo the number of carriers.
function countMovedUpstreams(fleet: SimulatedFleet, lost: ReadonlySet<number>): number {
	return fleet.carriers.reduce((sum, carriers) => sum
		+ Array.from({length: UPSTREAMS_PER_SERVICE}, (_, upstream) => carriers[upstream % carriers.length]!)
			.filter(host => lost.has(host)).length, 0);
}

// Only requires that each carrier knows all upstreams: requiring that no lost host holds any of their leases would be too
// strict, because leases of lost holders are kept for a while.
function areAllUpstreamsKnown(fleet: SimulatedFleet): boolean {
	return fleet.carriers.every((carriers, service) => carriers.every(host => {
		const known = announcements.getUpstreams(fleet.states[host]!, `service-${service}`);
		return known.filter(upstream => upstream.state === 'serving').length >= UPSTREAMS_PER_SERVICE;
	}));
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

function collectGarbage(): void {
	// The flag applies only to contexts that are created after it is set.
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
}

/**
Figures of announcements: bytes between hosts and CPU a host while upstreams renew, and what a draining costs and takes.
Many machines in one process, simulated time, fixed seed.

Run it with `npm run bench -- announcements`. All but the CPU is deterministic.
*/
import * as process from 'node:process';
import * as utils from 'wagtailroute-utils';
import * as announcements from '../index.ts';

/**
Figures of one fleet.
*/
export type AnnouncementRow = {
	readonly hosts: number;
	readonly services: number;
	/**
	Means a host: services carried, leases held and known, peers, and renewals each second.
	*/
	readonly servicesCarried: number;
	readonly leasesHeld: number;
	readonly leasesKnown: number;
	readonly peers: number;
	readonly renewalsPerSecond: number;
	/**
	Messages and bytes (JSON with the JSON-RPC envelope) that a host sends each second while nothing changes.
	*/
	readonly messagesPerSecond: number;
	readonly bytesPerSecond: number;
	readonly cpuMicrosecondsPerSecond: number;
	/**
	Messages and bytes of all hosts for one draining, and milliseconds until the last carrier knows it.
	*/
	readonly messagesPerDraining: number;
	readonly bytesPerDraining: number;
	readonly drainingMilliseconds: number;
};

/**
Size of a fleet; carriers and upstreams are those of a service.
*/
export type Size = {readonly hosts: number; readonly services: number; readonly carriers: number; readonly upstreams: number};

/**
A fleet and what went over its network.
*/
export type Bench = {
	readonly size: Size;
	readonly states: readonly announcements.AnnouncementState[];
	readonly carriers: ReadonlyArray<readonly number[]>;
	readonly random: utils.Random;
	readonly due: Map<number, Array<{readonly from: string; readonly to: string; readonly message: announcements.Message}>>;
	now: number;
	messages: number;
	bytes: number;
};

const SIZES: readonly Size[] = [
	{
		hosts: 40,
		services: 4,
		carriers: 6,
		upstreams: 16,
	},
	{
		hosts: 600,
		services: 1700,
		carriers: 6,
		upstreams: 20,
	},
];

const SEED = 4;
const TICK_MILLISECONDS = 100;
const DELAY_MILLISECONDS = 2;
const RENEW_MILLISECONDS = announcements.RENEW_SECONDS * 1000;
const WARM_UP_MILLISECONDS = 20_000;
const MEASURED_MILLISECONDS = 20_000;
const DRAININGS = 20;
// The JSON-RPC notification around a message, without TLS and HTTP heads, which a batch shares.
const ENVELOPE_BYTES = 60;

/**
Runs all sizes.
*/
export function measureAnnouncements(): readonly AnnouncementRow[] {
	return SIZES.map(size => measureSize(size));
}

function measureSize(size: Size): AnnouncementRow {
	const bench = createBench(size);
	pass(bench, WARM_UP_MILLISECONDS);
	const {messages, bytes} = bench;
	const start = process.cpuUsage();
	pass(bench, MEASURED_MILLISECONDS);
	const used = process.cpuUsage(start);
	const hostSeconds = size.hosts * MEASURED_MILLISECONDS / 1000;
	const quiet = {
		messagesPerSecond: (bench.messages - messages) / hostSeconds,
		bytesPerSecond: (bench.bytes - bytes) / hostSeconds,
		cpuMicrosecondsPerSecond: (used.user + used.system) / hostSeconds,
	};
	const places = size.services * size.carriers / size.hosts;
	const leases = size.services * size.upstreams;
	return {
		hosts: size.hosts,
		services: size.services,
		servicesCarried: places,
		leasesHeld: leases / size.hosts,
		leasesKnown: places * size.upstreams,
		peers: countPeers(bench),
		renewalsPerSecond: leases / size.hosts / announcements.RENEW_SECONDS,
		...quiet,
		...measureDraining(bench),
	};
}

/**
Creates the hosts and tells them the carriers.
*/
export function createBench(size: Size): Bench {
	const random = utils.createRandom(SEED);
	const indexes = Array.from({length: size.hosts}, (_, index) => index);
	const bench: Bench = {
		size,
		states: indexes.map(index => announcements.createAnnouncements(`host-${index}`)),
		carriers: Array.from({length: size.services}, () => utils.shuffle(random, indexes).slice(0, size.carriers)),
		random,
		due: new Map(),
		now: 0,
		messages: 0,
		bytes: 0,
	};
	for (const [service, carriers] of bench.carriers.entries()) {
		for (const host of carriers) {
			handle(bench, host, {
				kind: 'carriers',
				service: `service-${service}`,
				carriers: carriers.map(index => `host-${index}`),
			});
		}
	}

	return bench;
}

/**
Mean number of other hosts that carry a service which a host carries.
*/
export function countPeers(bench: Bench): number {
	const counts = bench.states.map((_, host) => {
		const shared = bench.carriers.filter(carriers => carriers.includes(host));
		return new Set(shared.flat()).size - Math.min(1, shared.length);
	});
	let sum = 0;
	for (const count of counts) {
		sum += count;
	}

	return sum / counts.length;
}

/**
Gives a host an event and sends what it sends.
*/
export function handle(bench: Bench, host: number, event: announcements.Event): void {
	const state = bench.states[host]!;
	const {effects} = announcements.stepAnnouncements(state, event, {now: bench.now, random: bench.random});
	for (const effect of effects) {
		if (effect.kind !== 'send') {
			continue;
		}

		bench.messages++;
		bench.bytes += JSON.stringify(effect.message).length + ENVELOPE_BYTES;
		const at = bench.now + DELAY_MILLISECONDS;
		const due = bench.due.get(at) ?? [];
		due.push({from: `host-${host}`, to: effect.to, message: effect.message});
		bench.due.set(at, due);
	}
}

/**
Lets time pass, a millisecond at a time; upstreams renew meanwhile.
*/
export function pass(bench: Bench, milliseconds: number): void {
	const end = bench.now + milliseconds;
	while (bench.now < end) {
		bench.now++;
		const due = bench.due.get(bench.now) ?? [];
		bench.due.delete(bench.now);
		for (const {from, to, message} of due) {
			handle(bench, Number(to.slice('host-'.length)), {kind: 'receive', from, message});
		}

		renewDue(bench);
		for (let host = bench.now % TICK_MILLISECONDS; host < bench.size.hosts; host += TICK_MILLISECONDS) {
			handle(bench, host, {kind: 'tick'});
		}
	}
}

// Upstreams renew at a carrier each, spread evenly over time.
function renewDue(bench: Bench): void {
	const {services, upstreams} = bench.size;
	const total = services * upstreams;
	for (let index = bench.now % RENEW_MILLISECONDS; index < total; index += RENEW_MILLISECONDS) {
		announce(bench, index % services, Math.floor(index / services), 'serving');
	}
}

function announce(bench: Bench, service: number, upstream: number, state: announcements.UpstreamState): void {
	const carriers = bench.carriers[service]!;
	handle(bench, carriers[upstream % carriers.length]!, {
		kind: 'announce',
		service: `service-${service}`,
		id: `upstream-${upstream}`,
		announcement: {
			ip: '10.0.0.1',
			port: 8000 + upstream,
			failureDomain: 'domain-1',
			slots: 4,
			connections: 400,
			state,
		},
	});
}

// In the longest pause between renewals that a small fleet has, or as a difference against the quiet rate in a large one.
function measureDraining(bench: Bench): Pick<
	AnnouncementRow,
	'messagesPerDraining' | 'bytesPerDraining' | 'drainingMilliseconds'
> {
	let messages = 0;
	let bytes = 0;
	let slowest = 0;
	for (let service = 0; service < Math.min(DRAININGS, bench.size.services); service++) {
		const before = {messages: bench.messages, bytes: bench.bytes};
		const start = bench.now;
		announce(bench, service, 0, 'draining');
		deliver(bench);
		slowest = Math.max(slowest, isKnown(bench, service) ? bench.now - start : Infinity);
		messages += bench.messages - before.messages;
		bytes += bench.bytes - before.bytes;
	}

	const count = Math.min(DRAININGS, bench.size.services);
	return {
		messagesPerDraining: messages / count,
		bytesPerDraining: bytes / count,
		drainingMilliseconds: slowest,
	};
}

// Delivers what is on its way, without ticks and renewals.
function deliver(bench: Bench): void {
	while (bench.due.size > 0) {
		bench.now++;
		const due = bench.due.get(bench.now) ?? [];
		bench.due.delete(bench.now);
		for (const {from, to, message} of due) {
			handle(bench, Number(to.slice('host-'.length)), {kind: 'receive', from, message});
		}
	}
}

function isKnown(bench: Bench, service: number): boolean {
	return bench.carriers[service]!.every(host => announcements
		.getUpstreams(bench.states[host]!, `service-${service}`)
		.some(upstream => upstream.id === 'upstream-0' && upstream.state === 'draining'));
}

/**
What `scripts/bench.ts` runs: the rows, and the bounds that don't hold.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Readonly<Record<string, string | number>>>;
	readonly broken: readonly string[];
}> {
	const rows = measureAnnouncements();
	return {title: 'Announcements: bytes and CPU a host, one draining', rows, broken: findBroken(rows)};
}

// All deterministic.
const MAX_BYTES_PER_SECOND = 1000;
const MAX_MESSAGES_PER_DRAINING = 60;
const MAX_DRAINING_MILLISECONDS = 10;

function findBroken(rows: readonly AnnouncementRow[]): readonly string[] {
	return rows.flatMap(row => [
		...row.bytesPerSecond > MAX_BYTES_PER_SECOND ? [`${row.hosts} hosts: ${row.bytesPerSecond} bytes a second a host.`] : [],
		...row.messagesPerDraining > MAX_MESSAGES_PER_DRAINING
			? [`${row.hosts} hosts: ${row.messagesPerDraining} messages for one draining.`]
			: [],
		...row.drainingMilliseconds > MAX_DRAINING_MILLISECONDS
			? [`${row.hosts} hosts: a draining takes ${row.drainingMilliseconds} ms.`]
			: [],
	]);
}

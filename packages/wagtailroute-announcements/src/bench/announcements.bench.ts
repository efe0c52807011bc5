/**
Measures announcements: bytes between hosts and CPU time per host while upstreams renew, and the messages and time that
one draining takes. It runs many state machines in one process, with simulated time and a fixed seed.

Run it with `npm run bench -- announcements`. All but the CPU time is deterministic.
*/
import * as process from 'node:process';
import * as utils from 'wagtailroute-utils';
import * as announcements from '../index.ts';

/**
Results for one size of the fleet.
*/
export type AnnouncementRow = {
	readonly hosts: number;
	readonly services: number;
	/**
	Means per host: services carried, leases held and known, peers, and renewals per second.
	*/
	readonly servicesCarried: number;
	readonly leasesHeld: number;
	readonly leasesKnown: number;
	readonly peers: number;
	readonly renewalsPerSecond: number;
	/**
	Messages and bytes (JSON with the JSON-RPC envelope) that a host sends per second, and its CPU time, while nothing
	changes.
	*/
	readonly messagesPerSecond: number;
	readonly bytesPerSecond: number;
	readonly cpuMicrosecondsPerSecond: number;
	/**
	Mean messages and bytes of all hosts for one draining, and the longest time until the last carrier knows it.
	*/
	readonly messagesPerDraining: number;
	readonly bytesPerDraining: number;
	readonly drainingMilliseconds: number;
};

/**
Size of a fleet; `carriers` and `upstreams` are per service.
*/
export type FleetSize = {readonly hosts: number; readonly services: number; readonly carriers: number; readonly upstreams: number};

/**
The state machines of a fleet, the messages in flight by the time of their delivery, and the totals sent.
*/
export type SimulatedFleet = {
	readonly size: FleetSize;
	readonly states: readonly announcements.AnnouncementState[];
	readonly carriers: ReadonlyArray<readonly number[]>;
	readonly random: utils.Random;
	readonly inFlight: Map<number, Array<{readonly from: string; readonly to: string; readonly message: announcements.Message}>>;
	now: number;
	messages: number;
	bytes: number;
};

const FLEET_SIZES: readonly FleetSize[] = [
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
const NETWORK_DELAY_MILLISECONDS = 2;
const RENEWAL_INTERVAL_MILLISECONDS = announcements.RENEW_SECONDS * 1000;
const WARM_UP_MILLISECONDS = 20_000;
const MEASURED_MILLISECONDS = 20_000;
const MEASURED_DRAININGS = 20;
// Size of the JSON-RPC notification around a message, without TLS and HTTP headers, which a batch shares.
const ENVELOPE_BYTES = 60;

/**
Measures all sizes of the fleet.
*/
export function measureAnnouncements(): readonly AnnouncementRow[] {
	return FLEET_SIZES.map(size => measureSize(size));
}

function measureSize(size: FleetSize): AnnouncementRow {
	const fleet = createFleet(size);
	advanceTime(fleet, WARM_UP_MILLISECONDS);
	const {messages, bytes} = fleet;
	const start = process.cpuUsage();
	advanceTime(fleet, MEASURED_MILLISECONDS);
	const used = process.cpuUsage(start);
	const hostSeconds = size.hosts * MEASURED_MILLISECONDS / 1000;
	const steadyRates = {
		messagesPerSecond: (fleet.messages - messages) / hostSeconds,
		bytesPerSecond: (fleet.bytes - bytes) / hostSeconds,
		cpuMicrosecondsPerSecond: (used.user + used.system) / hostSeconds,
	};
	const servicesCarried = size.services * size.carriers / size.hosts;
	const leases = size.services * size.upstreams;
	return {
		hosts: size.hosts,
		services: size.services,
		servicesCarried,
		leasesHeld: leases / size.hosts,
		leasesKnown: servicesCarried * size.upstreams,
		peers: countPeers(fleet),
		renewalsPerSecond: leases / size.hosts / announcements.RENEW_SECONDS,
		...steadyRates,
		...measureDraining(fleet),
	};
}

/**
Creates the hosts and sets the carriers of their services.
*/
export function createFleet(size: FleetSize): SimulatedFleet {
	const random = utils.createRandom(SEED);
	const indexes = Array.from({length: size.hosts}, (_, index) => index);
	const fleet: SimulatedFleet = {
		size,
		states: indexes.map(index => announcements.createAnnouncements(`host-${index}`)),
		carriers: Array.from({length: size.services}, () => utils.shuffle(random, indexes).slice(0, size.carriers)),
		random,
		inFlight: new Map(),
		now: 0,
		messages: 0,
		bytes: 0,
	};
	for (const [service, carriers] of fleet.carriers.entries()) {
		for (const host of carriers) {
			handleEvent(fleet, host, {
				kind: 'carriers',
				service: `service-${service}`,
				carriers: carriers.map(index => `host-${index}`),
			});
		}
	}

	return fleet;
}

/**
Returns the mean number of other hosts that share a carried service with a host.
*/
export function countPeers(fleet: SimulatedFleet): number {
	const counts = fleet.states.map((_, host) => {
		const shared = fleet.carriers.filter(carriers => carriers.includes(host));
		return new Set(shared.flat()).size - Math.min(1, shared.length);
	});
	let sum = 0;
	for (const count of counts) {
		sum += count;
	}

	return sum / counts.length;
}

/**
Passes an event to a host, and puts the messages that it sends in flight.
*/
export function handleEvent(fleet: SimulatedFleet, host: number, event: announcements.Event): void {
	const state = fleet.states[host]!;
	const {effects} = announcements.stepAnnouncements(state, event, {now: fleet.now, random: fleet.random});
	for (const effect of effects) {
		if (effect.kind !== 'send') {
			continue;
		}

		fleet.messages++;
		fleet.bytes += JSON.stringify(effect.message).length + ENVELOPE_BYTES;
		const at = fleet.now + NETWORK_DELAY_MILLISECONDS;
		const messages = fleet.inFlight.get(at) ?? [];
		messages.push({from: `host-${host}`, to: effect.to, message: effect.message});
		fleet.inFlight.set(at, messages);
	}
}

/**
Advances the time in steps of a millisecond; messages are delivered, upstreams renew and hosts tick.
*/
export function advanceTime(fleet: SimulatedFleet, milliseconds: number): void {
	const end = fleet.now + milliseconds;
	while (fleet.now < end) {
		fleet.now++;
		const messages = fleet.inFlight.get(fleet.now) ?? [];
		fleet.inFlight.delete(fleet.now);
		for (const {from, to, message} of messages) {
			handleEvent(fleet, Number(to.slice('host-'.length)), {kind: 'receive', from, message});
		}

		renewDueLeases(fleet);
		for (let host = fleet.now % TICK_MILLISECONDS; host < fleet.size.hosts; host += TICK_MILLISECONDS) {
			handleEvent(fleet, host, {kind: 'tick'});
		}
	}
}

// Each upstream renews at one carrier; the renewals are spread evenly over time.
function renewDueLeases(fleet: SimulatedFleet): void {
	const {services, upstreams} = fleet.size;
	const total = services * upstreams;
	for (let index = fleet.now % RENEWAL_INTERVAL_MILLISECONDS; index < total; index += RENEWAL_INTERVAL_MILLISECONDS) {
		announce(fleet, index % services, Math.floor(index / services), 'serving');
	}
}

function announce(fleet: SimulatedFleet, service: number, upstream: number, state: announcements.UpstreamState): void {
	const carriers = fleet.carriers[service]!;
	handleEvent(fleet, carriers[upstream % carriers.length]!, {
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

// No upstream renews and no host ticks during the measurement: apart from answers to messages that were already in
// flight, all messages are caused by the draining.
function measureDraining(fleet: SimulatedFleet): Pick<
	AnnouncementRow,
	'messagesPerDraining' | 'bytesPerDraining' | 'drainingMilliseconds'
> {
	let messages = 0;
	let bytes = 0;
	let slowest = 0;
	for (let service = 0; service < Math.min(MEASURED_DRAININGS, fleet.size.services); service++) {
		const before = {messages: fleet.messages, bytes: fleet.bytes};
		const start = fleet.now;
		announce(fleet, service, 0, 'draining');
		deliverAllMessages(fleet);
		slowest = Math.max(slowest, isDrainingKnown(fleet, service) ? fleet.now - start : Infinity);
		messages += fleet.messages - before.messages;
		bytes += fleet.bytes - before.bytes;
	}

	const count = Math.min(MEASURED_DRAININGS, fleet.size.services);
	return {
		messagesPerDraining: messages / count,
		bytesPerDraining: bytes / count,
		drainingMilliseconds: slowest,
	};
}

// Delivers the messages in flight and those sent in answer, without ticks and renewals.
function deliverAllMessages(fleet: SimulatedFleet): void {
	while (fleet.inFlight.size > 0) {
		fleet.now++;
		const messages = fleet.inFlight.get(fleet.now) ?? [];
		fleet.inFlight.delete(fleet.now);
		for (const {from, to, message} of messages) {
			handleEvent(fleet, Number(to.slice('host-'.length)), {kind: 'receive', from, message});
		}
	}
}

function isDrainingKnown(fleet: SimulatedFleet, service: number): boolean {
	return fleet.carriers[service]!.every(host => announcements
		.getUpstreams(fleet.states[host]!, `service-${service}`)
		.some(upstream => upstream.id === 'upstream-0' && upstream.state === 'draining'));
}

/**
Entry point for `scripts/bench.ts`: returns the rows, and a sentence for each exceeded bound.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Readonly<Record<string, string | number>>>;
	readonly broken: readonly string[];
}> {
	const rows = measureAnnouncements();
	return {title: 'Announcements: bytes and CPU a host, one draining', rows, broken: findExceededBounds(rows)};
}

// All bounded figures are deterministic.
const MAX_BYTES_PER_SECOND = 1000;
const MAX_MESSAGES_PER_DRAINING = 60;
const MAX_DRAINING_MILLISECONDS = 10;

function findExceededBounds(rows: readonly AnnouncementRow[]): readonly string[] {
	return rows.flatMap(row => [
		...row.bytesPerSecond > MAX_BYTES_PER_SECOND ? [`${row.hosts} hosts: ${row.bytesPerSecond} bytes per second per host.`] : [],
		...row.messagesPerDraining > MAX_MESSAGES_PER_DRAINING
			? [`${row.hosts} hosts: ${row.messagesPerDraining} messages for one draining.`]
			: [],
		...row.drainingMilliseconds > MAX_DRAINING_MILLISECONDS
			? [`${row.hosts} hosts: a draining takes ${row.drainingMilliseconds} ms.`]
			: [],
	]);
}

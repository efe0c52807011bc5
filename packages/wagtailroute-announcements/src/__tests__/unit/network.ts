/**
A fake network of a few lines for the tests: machines by host name, and messages in flight that a test delivers, loses,
repeats or reorders.
*/
import * as utils from 'wagtailroute-utils';
import * as announcements from '../../index.ts';

/**
A message on its way.
*/
export type Flight = {readonly from: string; readonly to: string; readonly message: announcements.Message};

/**
Machines and their messages.
*/
export type Network = {
	readonly hosts: Map<string, announcements.AnnouncementState>;
	readonly flights: Flight[];
	/**
	Links `from>to` that lose everything.
	*/
	readonly cut: Set<string>;
	readonly random: utils.Random;
	now: number;
	/**
	Effects other than messages, with the host's name.
	*/
	readonly seen: Array<{readonly host: string; readonly effect: announcements.Effect}>;
};

/**
The service of all tests.
*/
export const SERVICE = 'archive';

/**
Creates hosts that all carry the service.
*/
export function createNetwork(ids: readonly string[], seed: number): Network {
	const network: Network = {
		hosts: new Map(),
		flights: [],
		cut: new Set(),
		random: utils.createRandom(seed),
		now: 0,
		seen: [],
	};
	for (const id of ids) {
		startHost(network, id, ids);
	}

	return network;
}

/**
Starts a host without memory.
*/
export function startHost(network: Network, id: string, carriers: readonly string[]): void {
	network.hosts.set(id, announcements.createAnnouncements(id));
	handle(network, id, {kind: 'carriers', service: SERVICE, carriers});
}

/**
Gives a host an event and puts its messages in flight.
*/
export function handle(network: Network, id: string, event: announcements.Event): readonly announcements.Effect[] {
	const state = network.hosts.get(id);
	if (!state) {
		return [];
	}

	const {effects} = announcements.stepAnnouncements(state, event, {now: network.now, random: network.random});
	for (const effect of effects) {
		if (effect.kind === 'send') {
			network.flights.push({from: id, to: effect.to, message: effect.message});
		} else {
			network.seen.push({host: id, effect});
		}
	}

	return effects;
}

/**
Delivers the message at a place of the queue, unless its link is cut.
*/
export function deliver(network: Network, index: number, isRepeated = false): void {
	const flight = network.flights[index];
	if (!flight) {
		return;
	}

	if (!isRepeated) {
		network.flights.splice(index, 1);
	}

	if (!network.cut.has(`${flight.from}>${flight.to}`)) {
		handle(network, flight.to, {kind: 'receive', from: flight.from, message: structuredClone(flight.message)});
	}
}

/**
Delivers all messages, and those they cause.
*/
export function deliverAll(network: Network): void {
	for (let left = 100_000; network.flights.length > 0; left--) {
		utils.invariant(left > 0, 'messages come to an end');
		deliver(network, 0);
	}
}

/**
Lets time pass in steps of 100 ms; `each` runs at every step.
*/
export function pass(network: Network, milliseconds: number, each: () => void = () => undefined): void {
	const end = network.now + milliseconds;
	while (network.now < end) {
		network.now += 100;
		for (const id of network.hosts.keys()) {
			handle(network, id, {kind: 'tick'});
		}

		each();
		deliverAll(network);
	}
}

/**
Upstreams of a host as text: name, port and state.
*/
export function formatUpstreams(network: Network, id: string): string {
	const upstreams = announcements.getUpstreams(network.hosts.get(id)!, SERVICE);
	return upstreams.map(upstream => `${upstream.id}:${upstream.port}:${upstream.state}`).join(' ');
}

/**
An announcement event.
*/
export function announce(
	id: string,
	state: announcements.UpstreamState,
	port = 80,
): announcements.Event {
	return {
		kind: 'announce',
		service: SERVICE,
		id,
		announcement: {
			ip: '10.0.0.1',
			port,
			failureDomain: 'north',
			slots: 4,
			connections: 400,
			state,
		},
	};
}

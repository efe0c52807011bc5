/**
A simulated network for the tests: state machines by host id, and messages in flight that a test delivers, loses, repeats
or reorders.
*/
import * as utils from 'wagtailroute-utils';
import * as announcements from '../../index.ts';

/**
A message that is sent but not yet delivered.
*/
export type InFlightMessage = {readonly from: string; readonly to: string; readonly message: announcements.Message};

/**
Hosts with their state machines and the messages between them.
*/
export type Network = {
	readonly hosts: Map<string, announcements.AnnouncementState>;
	readonly inFlight: InFlightMessage[];
	/**
	Links, written as `from>to`, that lose all messages.
	*/
	readonly cutLinks: Set<string>;
	readonly random: utils.Random;
	now: number;
	/**
	Effects other than messages, with the host's id.
	*/
	readonly effects: Array<{readonly host: string; readonly effect: announcements.Effect}>;
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
		inFlight: [],
		cutLinks: new Set(),
		random: utils.createRandom(seed),
		now: 0,
		effects: [],
	};
	for (const id of ids) {
		startHost(network, id, ids);
	}

	return network;
}

/**
Starts or restarts a host with an empty state.
*/
export function startHost(network: Network, id: string, carriers: readonly string[]): void {
	network.hosts.set(id, announcements.createAnnouncements(id));
	handleEvent(network, id, {kind: 'carriers', service: SERVICE, carriers});
}

/**
Passes an event to a host and puts the messages that it sends in flight.
*/
export function handleEvent(network: Network, id: string, event: announcements.Event): readonly announcements.Effect[] {
	const state = network.hosts.get(id);
	if (!state) {
		return [];
	}

	const {effects} = announcements.stepAnnouncements(state, event, {now: network.now, random: network.random});
	for (const effect of effects) {
		if (effect.kind === 'send') {
			network.inFlight.push({from: id, to: effect.to, message: effect.message});
		} else {
			network.effects.push({host: id, effect});
		}
	}

	return effects;
}

/**
Delivers the message at the given index, unless its link is cut. A repeated message stays in flight.
*/
export function deliverMessage(network: Network, index: number, isRepeated = false): void {
	const sent = network.inFlight[index];
	if (!sent) {
		return;
	}

	if (!isRepeated) {
		network.inFlight.splice(index, 1);
	}

	if (!network.cutLinks.has(`${sent.from}>${sent.to}`)) {
		handleEvent(network, sent.to, {kind: 'receive', from: sent.from, message: structuredClone(sent.message)});
	}
}

/**
Delivers all messages, including those sent in answer.
*/
export function deliverAllMessages(network: Network): void {
	for (let left = 100_000; network.inFlight.length > 0; left--) {
		utils.invariant(left > 0, 'messages come to an end');
		deliverMessage(network, 0);
	}
}

/**
Advances the time in steps of 100 ms with a tick on every host; `each` runs at every step.
*/
export function advanceTime(network: Network, milliseconds: number, each: () => void = () => undefined): void {
	const end = network.now + milliseconds;
	while (network.now < end) {
		network.now += 100;
		for (const id of network.hosts.keys()) {
			handleEvent(network, id, {kind: 'tick'});
		}

		each();
		deliverAllMessages(network);
	}
}

/**
Formats the upstreams that a host knows: id, port and state of each.
*/
export function formatUpstreams(network: Network, id: string): string {
	const upstreams = announcements.getUpstreams(network.hosts.get(id)!, SERVICE);
	return upstreams.map(upstream => `${upstream.id}:${upstream.port}:${upstream.state}`).join(' ');
}

/**
Creates an event in which an upstream announces itself.
*/
export function createAnnounceEvent(
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

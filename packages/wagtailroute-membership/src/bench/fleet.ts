/**
Simulated fleet for the benchmarks and tests of membership: state machines in one process, simulated time, and a network
that delays, loses and blocks messages.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import * as membership from '../index.ts';

/**
Milliseconds between two ticks of a host.
*/
export const TICK_MILLISECONDS = 50;

/**
Bytes around a message's JSON: IP and UDP headers, authentication tag, and the JSON-RPC envelope.
*/
export const ENVELOPE_BYTES = 28 + 16 + 60;

const MESSAGE_DELAY_MILLISECONDS = 2;

/**
Settings of a simulated fleet.
*/
export type FleetSettings = {
	readonly hosts: number;
	readonly domains: number;
	readonly seed: number;
	/**
	Fraction of the messages that are lost, 0 to 1.
	*/
	readonly loss: number;
	/**
	Whether all hosts know each other at the start; otherwise they join through the first two.
	*/
	readonly isJoined: boolean;
};

/**
A changed record at a host, in simulated milliseconds.
*/
export type Observation = {readonly at: number; readonly observer: string; readonly member: membership.Member};

/**
A simulated fleet and the traffic on its network.
*/
export type Fleet = {
	readonly settings: FleetSettings;
	readonly hosts: Map<string, membership.MembershipState>;
	readonly random: utils.Random;
	/**
	Returns whether the network blocks messages from one host to another.
	*/
	isBlocked: (from: string, to: string) => boolean;
	loss: number;
	now: number;
	readonly observations: Observation[];
	messages: number;
	bytes: number;
	largestMessageBytes: number;
	/**
	Whether the bytes of each message are counted, which takes time to write its JSON.
	*/
	isCountingBytes: boolean;
	/**
	Messages on their way, by the simulated millisecond of their arrival.
	*/
	readonly inFlight: Map<number, InFlightMessage[]>;
};

type InFlightMessage = {readonly from: string; readonly to: string; readonly message: membership.Message};

/**
Creates a fleet. Each host ticks at a phase given by its number.
*/
export function createFleet(settings: FleetSettings): Fleet {
	const fleet: Fleet = {
		settings,
		hosts: new Map(),
		random: utils.createRandom(settings.seed),
		isBlocked: () => false,
		loss: settings.loss,
		now: 0,
		observations: [],
		messages: 0,
		bytes: 0,
		largestMessageBytes: 0,
		isCountingBytes: true,
		inFlight: new Map(),
	};
	const descriptions = Array.from({length: settings.hosts}, (_, index) => describeHost(settings, index, 'first'));
	const members = settings.isJoined ? descriptions.map(description => createAliveMember(description)) : [];
	for (const description of descriptions) {
		startHost(fleet, description, members);
	}

	return fleet;
}

/**
Creates the description of a host from its number. Its port is its number plus 1, so that an address identifies its host.
*/
export function describeHost(settings: FleetSettings, index: number, boot: string): membership.HostDescription {
	const address = {ip: '10.0.0.1', port: index + 1};
	return {
		id: `host-${index}`,
		boot,
		peerAddress: address,
		trafficAddress: address,
		adminAddress: address,
		failureDomain: `domain-${index % settings.domains}`,
		region: 'region-0',
		roles: ['entry'],
	};
}

/**
Starts a host, or restarts it without its earlier state.
*/
export function startHost(
	fleet: Fleet,
	self: membership.HostDescription,
	members: readonly membership.Member[] = [],
): void {
	fleet.hosts.set(self.id, membership.createMembership({
		self,
		seeds: [{ip: '10.0.0.1', port: 1}, {ip: '10.0.0.1', port: 2}],
		members,
		firstSequence: utils.pickIndex(fleet.random, 2 ** 30),
	}));
}

/**
Passes an event to a host, sends its messages and records its changes.
*/
export function handleEvent(fleet: Fleet, id: string, event: membership.Event): void {
	const state = fleet.hosts.get(id);
	if (!state) {
		return;
	}

	const {effects} = membership.stepMembership(state, event, {now: fleet.now, random: fleet.random});
	for (const effect of effects) {
		if (effect.kind === 'send') {
			send(fleet, id, effect);
		} else if (effect.kind === 'changed') {
			fleet.observations.push({at: fleet.now, observer: id, member: effect.member});
		}
	}
}

/**
Advances the simulated time by steps of one millisecond; each host ticks every `TICK_MILLISECONDS`.
*/
export function advanceTime(fleet: Fleet, milliseconds: number): void {
	const end = fleet.now + milliseconds;
	const hostsByPhase = Map.groupBy(fleet.hosts.keys(), id => Number(id.slice(id.indexOf('-') + 1)) % TICK_MILLISECONDS);
	while (fleet.now < end) {
		fleet.now++;
		const arrivals = fleet.inFlight.get(fleet.now) ?? [];
		fleet.inFlight.delete(fleet.now);
		for (const {to, message} of arrivals) {
			handleEvent(fleet, to, {kind: 'receive', message});
		}

		for (const id of hostsByPhase.get(fleet.now % TICK_MILLISECONDS) ?? []) {
			handleEvent(fleet, id, {kind: 'tick'});
		}
	}
}

/**
Creates the record of a host that all hosts know from the start.
*/
function createAliveMember(description: membership.HostDescription): membership.Member {
	return {
		...description,
		incarnation: 0,
		state: 'alive',
		draining: false,
		catalogueRevision: 0,
	};
}

function send(fleet: Fleet, from: string, effect: {readonly to: core.Address; readonly message: membership.Message}): void {
	fleet.messages++;
	if (fleet.isCountingBytes) {
		const bytes = JSON.stringify(effect.message).length;
		fleet.bytes += bytes + ENVELOPE_BYTES;
		fleet.largestMessageBytes = Math.max(fleet.largestMessageBytes, bytes);
	}

	const to = `host-${effect.to.port - 1}`;
	if (fleet.isBlocked(from, to) || fleet.random() < fleet.loss) {
		return;
	}

	const arrivesAt = fleet.now + MESSAGE_DELAY_MILLISECONDS;
	const deliveries = fleet.inFlight.get(arrivesAt) ?? [];
	deliveries.push({from, to, message: effect.message});
	fleet.inFlight.set(arrivesAt, deliveries);
}

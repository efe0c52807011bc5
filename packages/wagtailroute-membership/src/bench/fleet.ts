/**
A fake network of a few lines for the figures and tests of membership: machines in one process, simulated time, and
messages that are delayed, lost or cut off.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import * as membership from '../index.ts';

/**
Milliseconds between two ticks of a host.
*/
export const TICK_MILLISECONDS = 50;

/**
Bytes around a message's JSON: IP and UDP heads, authentication tag, and the JSON-RPC envelope.
*/
export const ENVELOPE_BYTES = 28 + 16 + 60;

const MESSAGE_DELAY_MILLISECONDS = 2;

/**
Settings of a fleet.
*/
export type FleetSettings = {
	readonly hosts: number;
	readonly domains: number;
	readonly seed: number;
	/**
	Share of the messages that are lost.
	*/
	readonly loss: number;
	/**
	Start with all hosts known to all; otherwise they join by the first one.
	*/
	readonly isJoined: boolean;
};

/**
A change that a host noticed.
*/
export type Observation = {readonly at: number; readonly observer: string; readonly member: membership.Member};

/**
A fleet and what went over its network.
*/
export type Fleet = {
	readonly settings: FleetSettings;
	readonly hosts: Map<string, membership.MembershipState>;
	readonly random: utils.Random;
	/**
	Says whether a message from one host to another is cut off.
	*/
	isBlocked: (from: string, to: string) => boolean;
	loss: number;
	now: number;
	readonly observations: Observation[];
	messages: number;
	bytes: number;
	largestMessageBytes: number;
	/**
	Measuring each message's JSON costs time; set when bytes are wanted.
	*/
	isCountingBytes: boolean;
	readonly inFlight: Map<number, InFlightMessage[]>;
};

type InFlightMessage = {readonly from: string; readonly to: string; readonly message: membership.Message};

/**
Creates a fleet; each host ticks at its own phase.
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
Describes the host of a number. Its port is its number, so that addresses lead back to hosts.
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
Starts or restarts a host.
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
Gives a host an event and sends what it sends.
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
Lets time pass, a millisecond at a time; a host ticks every 50 ms.
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
A record as all know it from the start.
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

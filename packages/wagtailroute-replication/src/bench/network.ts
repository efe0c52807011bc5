/**
Replicas in one process on a simulated clock: messages arrive after a millisecond, writes are durable at once.
*/
import * as utils from 'wagtailroute-utils';
import * as replication from '../index.ts';

/**
Messages, bytes and processing time, of all replicas and of the leader. `applied` counts commands proposed by the benchmark.
*/
export type Traffic = {
	messages: number;
	bytes: number;
	leaderBytes: number;
	steps: number;
	milliseconds: number;
	leaderMilliseconds: number;
	applied: number;
};

/**
The replicas of one group by identity, and the messages in flight.
*/
export type Network = {
	readonly replicas: Map<string, replication.Replica>;
	readonly traffic: Traffic;
	/**
	Whether the size of each message is counted. Serialization takes time, so bytes and times are measured in separate runs.
	*/
	isCountingBytes: boolean;
	now: number;
	inFlight: replication.Message[];
	readonly random: utils.Random;
};

const SEED = 5;

/**
Creates a group whose first `voters` members vote, and advances the clock until it has elected a leader.
*/
export function createNetwork(members: number, voters: number, seed = SEED): Network {
	const initialMembers = Array.from({length: members}, (_, at): replication.Member => ({
		id: replication.createMemberId(`control-${at}`, 'a1b2c3d4e5f6'), role: at < voters ? 'voter' : 'learner',
	}));
	const network: Network = {
		replicas: new Map(),
		traffic: createTraffic(),
		isCountingBytes: false,
		now: 0,
		inFlight: [],
		random: utils.createRandom(seed),
	};
	for (const {id} of initialMembers) {
		const settings = replication.createSettings({group: 'catalogue', self: id});
		network.replicas.set(id, replication.createReplica(settings, replication.createDurableState(id, initialMembers), network));
	}

	advanceTime(network, 5000);
	return network;
}

function createTraffic(): Traffic {
	return {
		messages: 0, bytes: 0, leaderBytes: 0, steps: 0, milliseconds: 0, leaderMilliseconds: 0, applied: 0,
	};
}

/**
Resets all counters to zero.
*/
export function resetTraffic(network: Network): void {
	Object.assign(network.traffic, createTraffic());
}

/**
Returns the identity of the leader; throws if there is none.
*/
export function getLeader(network: Network): replication.MemberId {
	const leader = network.replicas.values().find(replica => replica.role === 'leader');
	utils.invariant(leader !== undefined, 'no leader was elected');
	return leader.settings.self;
}

/**
Handles an event on a replica, and the events that its effects cause at once.
*/
export function run(network: Network, id: replication.MemberId, event: replication.ReplicaEvent): void {
	const before = network.replicas.get(id);
	if (before === undefined) {
		return;
	}

	const startedAt = performance.now();
	const {state, effects} = replication.stepReplica(before, event, network);
	const milliseconds = performance.now() - startedAt;
	network.replicas.set(id, state);
	network.traffic.steps++;
	network.traffic.milliseconds += milliseconds;
	network.traffic.leaderMilliseconds += state.role === 'leader' ? milliseconds : 0;
	for (const effect of effects) {
		HANDLERS[effect.kind]?.(network, id, effect as never);
	}
}

type Handlers = {
	readonly [Kind in replication.ReplicaEffect['kind']]?: (
		network: Network,
		id: replication.MemberId,
		effect: Extract<replication.ReplicaEffect, {kind: Kind}>,
	) => void;
};

const HANDLERS: Handlers = {
	send(network, id, {message}) {
		send(network, id, message);
	},
	apply(network, _id, {id}) {
		network.traffic.applied += id === null ? 0 : 1;
	},
	persist(network, id, {write}) {
		run(network, id, {kind: 'persisted', sequence: write.sequence});
	},
	'take-snapshot'(network, id, {index}) {
		run(network, id, {
			kind: 'snapshot-taken', index, state: null, bytes: 4,
		});
	},
};

function send(network: Network, from: replication.MemberId, message: replication.Message): void {
	network.inFlight.push(message);
	network.traffic.messages++;
	if (!network.isCountingBytes) {
		return;
	}

	const bytes = JSON.stringify(message).length;
	network.traffic.bytes += bytes;
	network.traffic.leaderBytes += network.replicas.get(from)!.role === 'leader' ? bytes : 0;
}

/**
Advances the clock by milliseconds, delivering messages and ticks.
*/
export function advanceTime(network: Network, milliseconds: number): void {
	const end = network.now + milliseconds;
	while (network.now < end) {
		network.now++;
		const arrived = network.inFlight;
		network.inFlight = [];
		for (const message of arrived) {
			run(network, message.to, {kind: 'receive', message});
		}

		const due = network.replicas.values().filter(replica => replication.getNextTick(replica) <= network.now);
		for (const replica of due) {
			run(network, replica.settings.self, {kind: 'tick'});
		}
	}
}

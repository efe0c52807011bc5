/**
Replicas in simulated time on hosts with little processor time: sending and receiving a message, writing and taking a snapshot take time by their size, and a host does one
thing at a time. As in an event loop, due timers run before messages that wait, and messages leave once their step has ended.
*/
import * as utils from 'wagtailroute-utils';
import * as replication from '../../index.ts';

/**
The hosts and their speed.
*/
export type BusyClusterOptions = {
	readonly seed: number;
	readonly voters: number;
	readonly learners: number;
	/**
	Milliseconds of processor time for a megabyte that is sent, received, or written and included in a snapshot.
	*/
	readonly processorMillisecondsPerMegabyte: number;
	/**
	Milliseconds that the disk of the host with this number takes for a megabyte.
	*/
	readonly getDiskMillisecondsPerMegabyte: (host: number) => number;
};

/**
A running cluster.
*/
export type BusyCluster = {
	/**
	Simulated time in milliseconds.
	*/
	readonly getTime: () => number;
	readonly advance: (milliseconds: number) => void;
	/**
	Number of the host that leads in the highest term; undefined without a leader.
	*/
	readonly getLeader: () => number | undefined;
	/**
	Proposes a command of a size to the leader. The callback is called once it is applied there.
	*/
	readonly propose: (bytes: number, onApplied: () => void) => void;
	/**
	Requests a linearizable read of the leader. The callback is called once it may be answered.
	*/
	readonly read: (onAnswered: () => void) => void;
	/**
	Bytes of the entries and snapshots that all hosts have sent.
	*/
	readonly getSentBytes: () => number;
	/**
	Bytes of the entries that the host which holds most keeps in memory.
	*/
	readonly getRetainedBytes: () => number;
};

const NETWORK_DELAY_MILLISECONDS = 1.4;
const MIN_STEP_MILLISECONDS = 0.1;
const MIN_SYNC_MILLISECONDS = 1;
const BYTES_PER_MEGABYTE = 1_000_000;

type Host = {
	readonly number: number;
	replica: replication.Replica;
	/**
	Events that wait for the processor, oldest first.
	*/
	readonly inbox: replication.ReplicaEvent[];
	busyUntil: number;
	diskBusyUntil: number;
};

type EffectHandlers = {
	readonly [Kind in replication.ReplicaEffect['kind']]: (effect: Extract<replication.ReplicaEffect, {kind: Kind}>) => void;
};

type Arrival = {
	readonly at: number;
	readonly host: Host;
	readonly event: replication.ReplicaEvent;
};

/**
Starts a cluster whose hosts know each other as members.
*/
export function startBusyCluster(options: BusyClusterOptions): BusyCluster {
	const random = utils.createRandom(options.seed);
	const members = Array.from({length: options.voters + options.learners}, (_, number) => ({
		id: `h${number}~1`, role: number < options.voters ? 'voter' as const : 'learner' as const,
	}));
	const callbacks = new Map<string, () => void>();
	let arrivals: Arrival[] = [];
	let now = 0;
	let sentBytes = 0;
	let nextId = 0;
	const hosts: readonly Host[] = members.map(({id}, number) => ({
		number,
		replica: replication.createReplica(
			replication.createSettings({group: 'g', self: id, maxCommandBytes: Infinity}),
			replication.createDurableState(id, members),
			{now, random},
		),
		inbox: [],
		busyUntil: 0,
		diskBusyUntil: 0,
	}));
	const findHost = (id: replication.MemberId) => hosts.find(host => members[host.number]!.id === id)!;
	const getProcessorTime = (bytes: number) => bytes / BYTES_PER_MEGABYTE * options.processorMillisecondsPerMegabyte;

	const complete = (id: string | null) => {
		const callback = id === null ? undefined : callbacks.get(id);
		callbacks.delete(id ?? '');
		callback?.();
	};

	const runStep = (host: Host, event: replication.ReplicaEvent) => {
		const startedAt = now;
		let processorTime = MIN_STEP_MILLISECONDS + (event.kind === 'receive' ? getProcessorTime(getBytes(event.message)) : 0);
		const transition = replication.stepReplica(host.replica, event, {now: startedAt, random});
		host.replica = transition.state;
		const sent: replication.Message[] = [];
		const handlers: EffectHandlers = {
			send({message}) {
				sent.push(message);
				sentBytes += getBytes(message);
				processorTime += getProcessorTime(getBytes(message));
			},
			persist({write}) {
				const bytes = getWrittenBytes(write);
				processorTime += getProcessorTime(bytes);
				const diskTime = bytes / BYTES_PER_MEGABYTE * options.getDiskMillisecondsPerMegabyte(host.number);
				host.diskBusyUntil = Math.max(host.diskBusyUntil, startedAt + processorTime) + MIN_SYNC_MILLISECONDS + diskTime;
				arrivals.push({at: host.diskBusyUntil, host, event: {kind: 'persisted', sequence: write.sequence}});
			},
			apply({id}) {
				complete(id);
			},
			answer({id}) {
				complete(id);
			},
			'take-snapshot'({index}) {
				const bytes = host.replica.log.at(-1)?.bytes ?? 0;
				processorTime += getProcessorTime(bytes);
				host.inbox.unshift({
					kind: 'snapshot-taken', index, state: null, bytes,
				});
			},
			restore: () => undefined,
			stopped: () => undefined,
		};
		for (const effect of transition.effects) {
			handlers[effect.kind](effect as never);
		}

		host.busyUntil = startedAt + processorTime;
		for (const message of sent) {
			arrivals.push({at: host.busyUntil + NETWORK_DELAY_MILLISECONDS, host: findHost(message.to), event: {kind: 'receive', message}});
		}
	};

	const runHost = (host: Host) => {
		if (host.busyUntil > now) {
			return;
		}

		if (replication.getNextTick(host.replica) <= now) {
			runStep(host, {kind: 'tick'});
			return;
		}

		const event = host.inbox.shift();
		if (event !== undefined) {
			runStep(host, event);
		}
	};

	const deliverDue = () => {
		const due = arrivals.filter(({at}) => at <= now);
		if (due.length === 0) {
			return;
		}

		arrivals = arrivals.filter(({at}) => at > now);
		for (const {host, event} of due.toSorted((left, right) => left.at - right.at)) {
			host.inbox.push(event);
		}
	};

	const advance = (milliseconds: number) => {
		const end = now + milliseconds;
		while (now < end) {
			now += MIN_STEP_MILLISECONDS;
			deliverDue();
			for (const host of hosts) {
				runHost(host);
			}
		}
	};

	const getLeader = () => hosts
		.filter(({replica}) => replica.role === 'leader')
		.toSorted((left, right) => right.replica.term - left.replica.term)[0];

	const request = (callback: () => void, createEvent: (id: string) => replication.ReplicaEvent) => {
		const id = String(nextId++);
		callbacks.set(id, callback);
		getLeader()?.inbox.push(createEvent(id));
	};

	return {
		getTime: () => now,
		advance,
		getLeader: () => getLeader()?.number,
		propose(bytes, onApplied) {
			request(onApplied, id => ({kind: 'propose', proposals: [{id, command: id, bytes}]}));
		},
		read(onAnswered) {
			request(onAnswered, id => ({kind: 'read', ids: [id]}));
		},
		getSentBytes: () => sentBytes,
		getRetainedBytes: () => Math.max(...hosts.map(({replica}) => sumBytes(replica.log))),
	};
}

function sumBytes(entries: readonly replication.Entry[]): number {
	return entries.reduce((sum, entry) => sum + entry.bytes, 0);
}

function getBytes(message: replication.Message): number {
	if (message.kind === 'append') {
		return sumBytes(message.entries);
	}

	return message.kind === 'install' ? message.snapshot.bytes : 0;
}

function getWrittenBytes({entries, snapshot}: replication.Write): number {
	return sumBytes(entries) + (snapshot?.bytes ?? 0);
}

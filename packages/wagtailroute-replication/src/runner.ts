/**
Runs a replica: connects the engine to timers, messages, the store and the state machine.
*/
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import * as engine from './engine.ts';
import * as formations from './formation.ts';
import type * as group from './group.ts';
import * as members from './members.ts';
import * as observation from './observation.ts';
import * as repair from './repair.ts';
import type * as replica from './replica.ts';
import type * as stores from './store.ts';
import * as timers from './timer.ts';
import * as waiters from './waiters.ts';
import * as writers from './writer.ts';

type Effects = {
	readonly [Kind in replica.ReplicaEffect['kind']]: (effect: Extract<replica.ReplicaEffect, {kind: Kind}>) => void;
};

/**
Passes events to the engine and carries out its effects.
*/
export type ReplicaLoop = {
	readonly getState: () => replica.Replica;
	readonly dispatch: (event: replica.ReplicaEvent) => void;
	/**
	Ends the replica without waiting for its writes.
	*/
	readonly stop: () => void;
	readonly close: () => Promise<void>;
};

/**
Starts a replica from its durable state and returns its public interface.
*/
export function runReplica(options: group.GroupOptions, restored: replica.DurableState): group.Group {
	const {clock} = options;
	const {self} = restored;
	const announcements = observation.createAnnouncements();
	const pendingRequests = waiters.createWaiters();
	const loop = createReplicaLoop(options, restored, pendingRequests);
	const batches = createBatches(loop.dispatch);
	const formation = startFormation(options, announcements, loop);
	let isClosed = false;

	const request = async (start: (id: string) => void) => isClosed
		? results.Err(core.createFailure('closed', 'The group is closed.'))
		: pendingRequests.add(start);

	const changeMembers: group.Group['changeMembers'] = async change => {
		const changed = await request(id => {
			loop.dispatch({kind: 'change-members', id, change});
		});
		return changed.map(applied => applied.token);
	};

	const planChange = (wanted: Parameters<group.Group['reconcile']>[0]) => {
		const state = loop.getState();
		const hosts = announcements.resolveMembers(state, wanted, clock());
		return state.role === 'leader' ? repair.planRepair(observation.observeMembers(state, clock()), hosts) : undefined;
	};

	return {
		receive(message) {
			if (message.kind === 'announce') {
				formation.receive(message);
			} else {
				loop.dispatch({kind: 'receive', message});
			}
		},
		propose: async command => request(id => {
			batches.propose({id, command, bytes: JSON.stringify(command).length});
		}),
		async readBarrier() {
			const done = await request(batches.read);
			return done.map(applied => applied.token);
		},
		changeMembers,
		async reconcile(wanted) {
			const change = planChange(wanted);
			if (change === undefined) {
				return results.Ok(undefined);
			}

			const changed = await changeMembers(change);
			return changed.map(() => change);
		},
		getStatus: () => getStatus(self, loop.getState(), clock()),
		async close() {
			isClosed = true;
			formation.close();
			pendingRequests.close();
			await loop.close();
		},
	};
}

/**
Starts the formation, and ends the replica if that fails: its owner has no means to close it, and may run another one from the same store.
*/
function startFormation(options: group.GroupOptions, announcements: observation.Announcements, loop: ReplicaLoop): formations.Formation {
	try {
		return formations.createFormation(options, announcements, loop);
	} catch (error) {
		loop.stop();
		throw error;
	}
}

/**
Creates the loop of a replica. Events raised while effects are carried out are queued until all effects of the step are done.
*/
function createReplicaLoop(options: group.GroupOptions, restored: replica.DurableState, pendingRequests: waiters.Waiters): ReplicaLoop {
	const {clock, random, stateMachine, store} = options;
	const settings = engine.createSettings({...options.settings, group: options.group, self: restored.self});
	const events: replica.ReplicaEvent[] = [];
	let state = engine.createReplica(settings, restored, {now: clock(), random});
	let isStepping = false;
	let isClosed = false;
	let storeFailure: stores.StoreFailure | undefined;
	if (restored.snapshot.index > 0) {
		stateMachine.restoreSnapshot(restored.snapshot.state);
	}

	const dispatch = (event: replica.ReplicaEvent) => {
		events.push(event);
		if (isStepping || isClosed) {
			return;
		}

		isStepping = true;
		for (let next = events.shift(); next !== undefined; next = events.shift()) {
			const transition = engine.stepReplica(state, next, {now: clock(), random});
			state = transition.state;
			for (const effect of transition.effects) {
				effects[effect.kind](effect as never);
			}
		}

		isStepping = false;
		setTimer();
	};

	const timer = timers.createTimer(clock, options.schedule, () => {
		if (engine.getNextTick(state) <= clock()) {
			dispatch({kind: 'tick'});
		} else {
			setTimer();
		}
	});
	const setTimer = () => {
		if (!isClosed) {
			timer.set(engine.getNextTick(state));
		}
	};

	const writer = writers.createWriter(
		store,
		sequence => {
			dispatch({kind: 'persisted', sequence});
		},
		failure => {
			storeFailure = failure;
			dispatch({kind: 'persist-failed'});
		},
	);
	const effects: Effects = {
		send({message}) {
			options.send(members.getMemberHost(message.to), message);
		},
		persist({write}) {
			writer.add(write);
		},
		apply({token, command, id}) {
			const value = stateMachine.apply(command, token);
			if (id !== null) {
				pendingRequests.complete(id, {value, token});
			}
		},
		restore({snapshot}) {
			stateMachine.restoreSnapshot(snapshot.state);
		},
		answer({id, answer}) {
			pendingRequests.answer(id, answer);
		},
		'take-snapshot'({index}) {
			const snapshot = stateMachine.takeSnapshot();
			const bytes = JSON.stringify(snapshot).length;
			events.push({
				kind: 'snapshot-taken', index, state: snapshot, bytes,
			});
		},
		stopped() {
			options.onStopped?.(storeFailure!);
		},
	};

	const stop = () => {
		isClosed = true;
		timer.cancel();
	};

	dispatch({kind: 'tick'});
	return {
		getState: () => state,
		dispatch,
		stop,
		async close() {
			stop();
			await writer.wait();
			await store.close();
		},
	};
}

type Batches = {
	readonly propose: (proposal: replica.Proposal) => void;
	readonly read: (id: string) => void;
};

/**
Batches the requests of one event loop turn into one event.
*/
function createBatches(dispatch: ReplicaLoop['dispatch']): Batches {
	let proposals: replica.Proposal[] = [];
	let reads: string[] = [];
	let isScheduled = false;
	const flush = () => {
		const batch = {proposals, reads};
		isScheduled = false;
		proposals = [];
		reads = [];
		if (batch.proposals.length > 0) {
			dispatch({kind: 'propose', proposals: batch.proposals});
		}

		if (batch.reads.length > 0) {
			dispatch({kind: 'read', ids: batch.reads});
		}
	};

	const schedule = () => {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		queueMicrotask(flush);
	};

	return {
		propose(proposal) {
			proposals.push(proposal);
			schedule();
		},
		read(id) {
			reads.push(id);
			schedule();
		},
	};
}

function getStatus(self: members.MemberId, state: replica.Replica, now: number): group.GroupStatus {
	return {
		self,
		role: state.role,
		term: state.term,
		leader: state.leader === null ? null : members.getMemberHost(state.leader),
		members: observation.observeMembers(state, now),
		commit: state.commit,
		applied: state.applied,
	};
}

/**
The replicated group of the control hosts, which stores the generation and the retirements.

A replica whose store failed stops for good, since the content of its disk is uncertain. After a delay a new replica is opened from that disk: a
full disk has room again after a while, and the other parts of the host work meanwhile. The same happens after an unexpected error: an event that a
replica has handled in part leaves it in no known state, but what is on its disk is as after a crash.
*/
import * as path from 'node:path';
import type * as core from 'wagtailroute-core';
import * as generations from 'wagtailroute-generations';
import * as replication from 'wagtailroute-replication';
import type * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import {
	MAX_COMMAND_BYTES,
	MAX_VOTERS,
	RECONCILE_INTERVAL_MILLISECONDS,
	REOPEN_DELAY_MILLISECONDS,
	REPLACE_MEMBER_DELAY_MILLISECONDS,
	SLOW_PROPOSAL_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import type {
	GroupMessage,
	ProposalAnswer,
	ReadAnswer,
	RetirementChanges,
} from './messages.ts';
import {createPendingProposals} from './pending-proposals.ts';
import type {ControlHost, ControlSettings} from './settings.ts';

/**
This host's replica of the group.
*/
export type ControlGroup = {
	readonly receive: (message: GroupMessage) => void;
	/**
	Proposes a command if this host is the leader.
	*/
	readonly propose: (command: generations.GenerationCommand) => Promise<ProposalAnswer>;
	/**
	Reads the newest generation if this host is the leader.
	*/
	readonly read: () => Promise<ReadAnswer>;
	readonly getLeader: () => core.HostId | null;
	/**
	Returns the newest generation that this replica has applied.
	*/
	readonly getStored: () => generations.StoredGeneration | undefined;
	readonly getRetirement: (upstream: core.UpstreamId) => generations.RetirementState | undefined;
	/**
	Returns the log index of the last retirement that this replica has applied, 0 before the first.
	*/
	readonly getRetirementIndex: () => number;
	/**
	Returns the retirements that this replica has applied after a log index.
	*/
	readonly listRetirements: (after: number) => RetirementChanges;
	readonly getStatus: () => replication.GroupStatus | undefined;
	readonly close: () => Promise<void>;
};

/**
What the replica needs of its host.
*/
export type ControlGroupOptions = {
	readonly settings: ControlSettings;
	readonly send: (to: core.HostId, message: GroupMessage) => void;
	/**
	Returns the other control hosts that have a link to this one.
	*/
	readonly listLinkedHosts: () => readonly ControlHost[];
	/**
	Returns the control hosts that the replica announces itself to while it is not a member.
	*/
	readonly listSeeds: () => readonly core.HostId[];
	readonly onGeneration: (generation: generations.Generation) => void;
	readonly onRetired: (changes: RetirementChanges) => void;
};

const GROUP_NAME = 'generations';

/**
Opens this host's replica, and lets the leader adapt the group's members to the control hosts that run.
*/
export function startControlGroup(context: FleetContext, options: ControlGroupOptions): ControlGroup {
	const {settings} = options;
	const log = context.logs('group');
	const onDefect = createDefectHandler(context, 'control-group');
	const unreachableSince = new Map<core.HostId, number>();
	let replicated = generations.createReplicatedGenerations();
	let group: replication.Group | undefined;
	let isClosed = false;
	let loggedRole = '';

	/**
	Logs a change of the replica's role. The role is polled: a leader that lasts shorter than the interval has led nobody.
	*/
	const logRole = () => {
		const status = group?.getStatus();
		if (status === undefined) {
			return;
		}

		const {role, term, leader} = status;
		const text = `${role} ${term} ${leader}`;
		if (text === loggedRole) {
			return;
		}

		loggedRole = text;
		log.info('The role in the control group changed.', {role, term, leader});
	};

	const countSent = (message: GroupMessage) => {
		const {entries, bytes} = measureMessage(message);
		if (entries === 0) {
			return;
		}

		context.metrics.count('group_sent_entries', {kind: message.kind}, entries);
		context.metrics.count('group_sent_bytes', {kind: message.kind}, bytes);
	};

	const notifyGeneration = () => {
		const stored = replicated.getStored();
		if (stored !== undefined) {
			options.onGeneration(stored.generation);
		}
	};

	const listRetirements = (after: number): RetirementChanges => ({
		retirements: replicated.listRetirements(after), after, index: replicated.getRetirementIndex(),
	});

	const createStateMachine = (): replication.StateMachine => {
		replicated = generations.createReplicatedGenerations();
		return {
			apply(command, {index}) {
				const before = replicated.getStored();
				const retirementIndex = replicated.getRetirementIndex();
				const answer = replicated.apply(command as generations.GenerationCommand, index);
				if (replicated.getStored() !== before) {
					notifyGeneration();
				}

				if (replicated.getRetirementIndex() > retirementIndex) {
					options.onRetired(listRetirements(retirementIndex));
				}

				return answer;
			},
			takeSnapshot: () => replicated.takeSnapshot(),
			restoreSnapshot(state) {
				const snapshot = state as generations.GenerationSnapshot;
				replicated.restoreSnapshot(snapshot);
				notifyGeneration();
				options.onRetired(listRetirements(0));
			},
		};
	};

	const closeFailed = async (failed: Pick<replication.Store, 'close'> | undefined) => {
		try {
			await failed?.close();
		} catch (error) {
			// A disk that failed may also fail at the close of a file.
			log.warn('The failed replica could not be closed.', {error: (error as Error).stack});
		}
	};

	let closing: Promise<void> = Promise.resolve();
	let opening: Promise<void> = Promise.resolve();

	/**
	Closes the replica at once, so that it doesn't run beside its successor, and opens that one after a delay.
	*/
	const scheduleReopen = () => {
		closing = closeFailed(group);
		group = undefined;
		context.schedule(REOPEN_DELAY_MILLISECONDS, startOpening);
	};

	/**
	Replaces the replica in which an unexpected error occurred, unless that has been done.
	*/
	const replace = (faulty: replication.Group | undefined, error: Error) => {
		onDefect(error);
		if (group === faulty) {
			scheduleReopen();
		}
	};

	const reopen = (reason: string) => {
		log.error('The store failed, the replica will be reopened.', {reason});
		scheduleReopen();
	};

	const open = async () => {
		if (isClosed) {
			return;
		}

		const store = replication.createDurableStore(path.join(settings.dataFolder, GROUP_NAME));
		try {
			await openFrom(store);
		} catch (error) {
			await closeFailed(store);
			throw error;
		}
	};

	const openAfterClosing = async () => {
		try {
			await closing;
			await open();
		} catch (error) {
			replace(undefined, error as Error);
		}
	};

	const startOpening = () => {
		opening = openAfterClosing();
	};

	const openFrom = async (store: replication.Store) => {
		const opened = await replication.createGroup({
			group: GROUP_NAME,
			host: settings.hostId,
			store,
			stateMachine: createStateMachine(),
			send(to, message) {
				countSent(message);
				options.send(to, message);
			},
			clock: context.now,
			random: context.random,
			schedule: context.schedule,
			// A host that starts with an empty disk later on joins the group; it must not create a second one.
			...settings.isFirstStart && {initialMembers: {hosts: settings.seeds.map(seed => seed.id)}},
			getSeeds: () => options.listSeeds(),
			settings: {maxCommandBytes: MAX_COMMAND_BYTES},
			onStopped(failure) {
				reopen(failure.message);
			},
		});
		if (opened.isErr()) {
			reopen(opened.error.message);
			return;
		}

		if (isClosed) {
			await opened.value.close();
			return;
		}

		group = opened.value;
		log.info('The replica is open.', {member: group.getStatus().self, version: replicated.getStored()?.generation.version ?? 0});
	};

	const reconcile = async () => {
		const status = group?.getStatus();
		if (status?.role !== 'leader') {
			return;
		}

		const running = [{host: settings.hostId, failureDomain: settings.failureDomain}, ...options.listLinkedHosts()
			.map(({id, failureDomain = ''}) => ({host: id, failureDomain}))];
		updateUnreachable(unreachableSince, status, {running: running.map(({host}) => host), now: context.now()});
		const wanted = replication.chooseMembers({
			members: status.members,
			runningHosts: running,
			isReplaceable: host => context.now() - (unreachableSince.get(host) ?? Infinity) > REPLACE_MEMBER_DELAY_MILLISECONDS,
			maxVoters: MAX_VOTERS,
		});
		const changed = await group!.reconcile(wanted);
		if (changed.isOk() && changed.value !== undefined) {
			log.info('The members of the control group changed.', {change: changed.value, running: running.length});
		}
	};

	startOpening();
	const stopReconciling = context.repeat(RECONCILE_INTERVAL_MILLISECONDS, () => {
		logRole();
		const reconciled = group;
		utils.runDetached(reconcile, error => {
			replace(reconciled, error);
		});
	});
	const createNotLeaderAnswer = (leader: core.HostId | null) => ({kind: 'not-leader', leader} as const);
	const append = async (command: generations.GenerationCommand): Promise<ProposalAnswer> => {
		if (group === undefined) {
			return createNotLeaderAnswer(null);
		}

		const startedAt = context.now();
		const proposed: results.Result<replication.Applied, replication.GroupFailure> = await group.propose(command);
		const milliseconds = Math.round(context.now() - startedAt);
		if (milliseconds >= SLOW_PROPOSAL_MILLISECONDS) {
			log.warn('A proposal of this leader took long.', {command: command.name, milliseconds, isCommitted: proposed.isOk()});
		}

		if (proposed.isOk()) {
			return {kind: 'applied', version: (proposed.value.value as generations.GenerationAnswer).version};
		}

		return proposed.error.kind === 'not-leader' ? createNotLeaderAnswer(proposed.error.leader ?? null) : {kind: 'unknown'};
	};

	const pendingProposals = createPendingProposals(append);
	return {
		receive(message) {
			const receiving = group;
			try {
				receiving?.receive(message);
			} catch (error) {
				replace(receiving, error as Error);
			}
		},
		propose: pendingProposals.propose,
		async read() {
			if (group === undefined) {
				return createNotLeaderAnswer(null);
			}

			const barrier = await group.readBarrier();
			return barrier.isOk()
				? {kind: 'read', encodedDocument: replicated.getStored()?.encoded.document ?? null}
				: createNotLeaderAnswer(barrier.error.leader ?? null);
		},
		getLeader: () => group?.getStatus().leader ?? null,
		getStored: () => replicated.getStored(),
		getRetirement: upstream => replicated.getRetirement(upstream),
		getRetirementIndex: () => replicated.getRetirementIndex(),
		listRetirements,
		getStatus: () => group?.getStatus(),
		async close() {
			isClosed = true;
			stopReconciling();
			await Promise.all([opening, closing]);
			await group?.close();
		},
	};
}

/**
Records since when each member's host has had no link, and removes hosts that have one again or are no members any more.
*/
function updateUnreachable(
	unreachableSince: Map<core.HostId, number>,
	status: replication.GroupStatus,
	{running, now}: {readonly running: readonly core.HostId[]; readonly now: number},
): void {
	const members = status.members.map(member => replication.getMemberHost(member.id));
	for (const host of unreachableSince.keys()) {
		if (running.includes(host) || !members.includes(host)) {
			unreachableSince.delete(host);
		}
	}

	for (const host of members) {
		if (!running.includes(host) && !unreachableSince.has(host)) {
			unreachableSince.set(host, now);
		}
	}
}

/**
Returns the number and the size, in bytes of JSON, of the entries in a message; a snapshot counts as one.
*/
function measureMessage(message: GroupMessage): {readonly entries: number; readonly bytes: number} {
	if (message.kind === 'append') {
		return {entries: message.entries.length, bytes: message.entries.reduce((sum, entry) => sum + entry.bytes, 0)};
	}

	return message.kind === 'install' ? {entries: 1, bytes: message.snapshot.bytes} : {entries: 0, bytes: 0};
}

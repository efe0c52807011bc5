/**
The control role: this host's replicas of the catalogue and of the records, on its disk.
*/
import * as path from 'node:path';
import * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import * as replication from 'wagtailroute-replication';
import * as utils from 'wagtailroute-utils';
import {GROUP_TIME_INTERVAL_MILLISECONDS, LOST_HOSTS_CHECK_INTERVAL_MILLISECONDS, RECONCILE_INTERVAL_MILLISECONDS} from './constants.ts';
import {findPeerAddress, type HostContext} from './context.ts';
import {applyView} from './distribution.ts';
import {notifyEjectionChanges, registerEjectionTables} from './ejection-tables.ts';
import {createLostHostDetector, type LostHostDetector} from './lost-hosts.ts';
import type {GroupName, ProposalAnswer} from './proposals.ts';
import {
	listSuspects,
	notifySuspectChanges,
	SUSPECTS_METHOD,
	type SuspectsRequest,
} from './quarantine-updates.ts';
import {createRecordsMachine, type RecordsMachine} from './records-machine.ts';
import {chooseControlMembers} from './control-members.ts';

/**
A running control role.
*/
export type Control = {
	readonly getStatus: () => Readonly<Partial<Record<GroupName, replication.GroupStatus>>>;
	/**
	Groups that this host can't take part in, with the reason: its store is damaged, or its disk failed.
	*/
	readonly getFailures: () => Readonly<Partial<Record<GroupName, string>>>;
	readonly getHistory: (name: core.ServiceName) => readonly catalogue.HistoryItem[];
	readonly close: () => Promise<void>;
};

type Proposal = {
	readonly group: GroupName;
	readonly command: unknown;
};

type Groups = Partial<Record<GroupName, replication.Group>>;

/**
Starts the role. It returns at once; the groups join or are created in the background, as that may need other hosts.
*/
export function startControl(context: HostContext): Control {
	const {peer} = context;
	const log = context.log('control');
	const replicated = catalogue.createReplicatedCatalogue();
	const groups: Groups = {};
	const failures: Partial<Record<GroupName, string>> = {};
	const recordsMachine = createRecordsMachine(context.now, notices => {
		if (groups.records?.getStatus().role !== 'leader') {
			return;
		}

		notifySuspectChanges(context, recordsMachine.records, notices);
		notifyEjectionChanges(context, notices);
	});
	const lostHostDetector = createLostHostDetector();

	const teardown = utils.mergeTeardowns(
		peer.registerMethod('control.message', (message: replication.GroupMessage) => {
			groups[message.group as GroupName]?.receive(message);
		}),
		peer.registerMethod('control.propose', async (proposal: Proposal) => propose(groups, recordsMachine, proposal)),
		peer.registerMethod('catalogue.history', ({name}: {name: core.ServiceName}) => replicated.getHistory(name)),
		context.repeat(RECONCILE_INTERVAL_MILLISECONDS, () => {
			void reconcile(context, groups);
		}),
		registerEjectionTables(context, recordsMachine.records, () => groups.records),
		peer.registerMethod(SUSPECTS_METHOD, (request: SuspectsRequest) => listSuspects(recordsMachine.records, request)),
		context.repeat(LOST_HOSTS_CHECK_INTERVAL_MILLISECONDS, () => {
			void proposeLostHostCommands(context, groups, {recordsMachine, lostHostDetector});
		}),
		context.repeat(GROUP_TIME_INTERVAL_MILLISECONDS, () => {
			void advanceGroupTime(groups, recordsMachine);
		}),
	);

	const open = async () => {
		const machines: Readonly<Record<GroupName, replication.StateMachine>> = {
			catalogue: createCatalogueMachine(context, replicated),
			records: recordsMachine.stateMachine,
		};
		for (const name of ['catalogue', 'records'] as const) {
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			const group = await openGroup(context, name, machines[name], failures);
			if (group === undefined) {
				continue;
			}

			groups[name] = group;
			log.info('Group opened.', {group: name});
		}
	};

	void open();
	return {
		getStatus: () => Object.fromEntries(Object.entries(groups).map(([name, group]) => [name, group.getStatus()])),
		getFailures: () => failures,
		getHistory: name => replicated.getHistory(name),
		async close() {
			teardown();
			await Promise.all(Object.values(groups).map(async group => group.close()));
		},
	};
}

function getFolder(context: HostContext, name: GroupName): string {
	return path.join(context.settings.dataFolder!, name);
}

async function openGroup(
	context: HostContext,
	name: GroupName,
	stateMachine: replication.StateMachine,
	failures: Partial<Record<GroupName, string>>,
): Promise<replication.Group | undefined> {
	const log = context.log('control');
	const {initialControl, hostId} = context.settings;
	const opened = await replication.createGroup({
		group: name,
		host: hostId,
		store: replication.createDurableStore(getFolder(context, name), context.disk),
		stateMachine,
		send(to, message) {
			const address = findPeerAddress(context, to);
			if (address !== undefined) {
				context.peer.notify(address, 'control.message', message);
			}
		},
		clock: context.now,
		random: context.random,
		schedule: context.schedule,
		// Given at every start: the group creates itself once, and a wiped host joins as a new member.
		initialMembers: {hosts: initialControl.map(initial => initial.id)},
		getSeeds: () => getControlHosts(context),
		onStopped(failure) {
			failures[name] = failure.message;
			log.error('Store failed, the replica stopped.', {group: name, failure: failure.message});
		},
	});
	if (opened.isErr()) {
		failures[name] = opened.error.message;
		log.error('Group could not be opened.', {group: name, failure: opened.error.message});
		return undefined;
	}

	return opened.value;
}

function getControlHosts(context: HostContext): readonly core.HostId[] {
	const {hostId, initialControl} = context.settings;
	const members = context.store.read(state => state.members.values()
		.filter(member => member.roles.includes('control'))
		.map(member => member.id)
		.toArray());
	const all = new Set([...members, ...initialControl.map(initial => initial.id)]);
	all.delete(hostId);
	return [...all];
}

function createCatalogueMachine(
	context: HostContext,
	replicated: catalogue.ReplicatedCatalogue,
): replication.StateMachine {
	return {
		apply(command) {
			const answer = replicated.apply(command as catalogue.Change);
			applyView(context, replicated.getView());
			return answer;
		},
		takeSnapshot: () => replicated.takeSnapshot(),
		restoreSnapshot(snapshot) {
			replicated.restoreSnapshot(snapshot as catalogue.CatalogueSnapshot);
			applyView(context, replicated.getView());
		},
	};
}

async function propose(groups: Groups, recordsMachine: RecordsMachine, proposal: Proposal): Promise<ProposalAnswer> {
	const group = groups[proposal.group];
	if (group === undefined) {
		return {kind: 'not-leader'};
	}

	const {role, leader} = group.getStatus();
	if (role !== 'leader') {
		return {kind: 'not-leader', leader: leader ?? undefined};
	}

	const commands = proposal.group === 'records'
		? recordsMachine.prepare(proposal.command as records.Command)
		: [proposal.command];
	const answers = await Promise.all(commands.map(async command => group.propose(command)));
	const answer = answers.at(-1)!;
	if (answer.isOk()) {
		return {kind: 'applied', value: answer.value.value};
	}

	return answer.error.kind === 'not-leader'
		? {kind: 'not-leader', leader: answer.error.leader}
		: {kind: 'failed', isPossiblyTaken: answer.error.kind !== 'refused'};
}

/**
Group time moves with the commands; without any, records and leases would never end.
*/
async function advanceGroupTime(groups: Groups, recordsMachine: RecordsMachine): Promise<void> {
	if (recordsMachine.records.getServices().length > 0) {
		await propose(groups, recordsMachine, {group: 'records', command: {name: 'tick', stampedAt: 0, payload: {}}});
	}
}

async function proposeLostHostCommands(
	context: HostContext,
	groups: Groups,
	{recordsMachine, lostHostDetector}: {readonly recordsMachine: RecordsMachine; readonly lostHostDetector: LostHostDetector},
): Promise<void> {
	if (groups.records?.getStatus().role !== 'leader') {
		return;
	}

	const members = context.store.read(state => state.members);
	for (const command of lostHostDetector.findCommands(members, recordsMachine.records.getHolders())) {
		context.log('control').info('Host lost.', {command: command.name, host: command.payload.host});
		// eslint-disable-next-line no-await-in-loop -- A handful, one after the other.
		await propose(groups, recordsMachine, {group: 'records', command});
	}
}

async function reconcile(context: HostContext, groups: Groups): Promise<void> {
	const log = context.log('control');
	for (const [name, group] of Object.entries(groups)) {
		const status = group.getStatus();
		if (status.role !== 'leader') {
			continue;
		}

		const wantedMembers = chooseControlMembers(context, status);
		// eslint-disable-next-line no-await-in-loop -- One step at a time keeps each safe.
		const change = await group.reconcile(wantedMembers);
		if (change.isOk() && change.value !== undefined) {
			log.info('Members of a group changed.', {group: name, change: JSON.stringify(change.value)});
		}
	}
}

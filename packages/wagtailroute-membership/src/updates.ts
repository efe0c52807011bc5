/**
Membership updates: how an update changes the table, and how this host refutes false updates about itself.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {OWN_SUSPICION_CHECK_DELAY_MILLISECONDS, SUSPICION_CHECK_INTERVAL_MILLISECONDS, SUSPICION_NOTIFIERS} from './constants.ts';
import {queueUpdate} from './dissemination.ts';
import {isNewer, isPresent, type Member} from './members.ts';
import type {Effect, Update} from './messages.ts';
import {sendMessage} from './sending.ts';
import type {MembershipState, Suspicion} from './state.ts';
import {storeMember} from './table.ts';
import {
	decodeRecord,
	encodeRecord,
	encodeUpdate,
} from './wire.ts';

type UpdateHandlers = {
	readonly [Kind in Update['kind']]: (
		state: MembershipState,
		update: Extract<Update, {readonly kind: Kind}>,
		circumstances: core.Circumstances,
	) => readonly Effect[];
};

const UPDATE_HANDLERS: UpdateHandlers = {
	alive: (state, update, circumstances) => applyAlive(state, decodeRecord(update.record), circumstances),
	suspect: applySuspicion,
	dead: (state, update, circumstances) => applyEnd(state, update, circumstances),
	left: (state, update, circumstances) => applyEnd(state, update, circumstances),
};

/**
Applies updates received from another host.
*/
export function applyUpdates(
	state: MembershipState,
	updates: readonly Update[],
	circumstances: core.Circumstances,
): readonly Effect[] {
	return updates.flatMap(update => {
		const handler = UPDATE_HANDLERS[update.kind];
		return isAboutSelf(state, update) ? refuteUpdate(state, update) : handler(state, update as never, circumstances);
	});
}

/**
Stores a record, queues it as an update for other hosts, and returns the effect that reports the change.
*/
export function updateMember(state: MembershipState, member: Member, circumstances: core.Circumstances): Effect {
	const known = state.table.members.get(member.id);
	storeMember(state.table, member, circumstances.now);
	queueUpdate(state.updateQueue, member.id, encodeUpdate(member, state.self.id));
	if (member.state !== 'suspect') {
		state.suspicions.delete(member.id);
	}

	if (!isPresent(member)) {
		state.pathFaults.delete(member.id);
	}

	if (member.id !== state.self.id && isPresent(member) && (!known || !isPresent(known))) {
		insertIntoProbeOrder(state, member, circumstances);
	}

	return {kind: 'changed', member};
}

/**
Starts a suspicion, or adds a confirmation to the one in progress. Ignores other incarnations than the known one.
*/
export function applySuspicion(
	state: MembershipState,
	suspected: {readonly id: core.HostId; readonly incarnation: number; readonly by: core.HostId},
	{now, random}: core.Circumstances,
): readonly Effect[] {
	const known = state.table.members.get(suspected.id);
	if (known?.incarnation !== suspected.incarnation || !isPresent(known)) {
		return [];
	}

	const suspicion = state.suspicions.get(suspected.id);
	const update: Update = {
		kind: 'suspect',
		id: suspected.id,
		incarnation: suspected.incarnation,
		by: suspected.by,
	};
	if (suspicion) {
		confirmSuspicion(state, suspicion, update, now);
		return [];
	}

	const member: Member = {...known, state: 'suspect'};
	state.suspicions.set(known.id, {
		incarnation: known.incarnation,
		startedAt: now,
		suspectedBy: new Set([suspected.by]),
		...getCheckTimes(suspected.by === state.self.id, now),
	});
	storeMember(state.table, member, now);
	queueUpdate(state.updateQueue, known.id, update);
	const isNotifier = random() * state.table.members.size < SUSPICION_NOTIFIERS;
	const notifications = isNotifier ? [sendMessage(state, member.peerAddress, {kind: 'gossip'}, [update])] : [];
	return [{kind: 'changed', member}, ...notifications];
}

/**
Changes this host's own record, raises its incarnation, and queues it as an update.
*/
export function updateOwnRecord(state: MembershipState, change: Partial<Member>): Effect {
	state.self = {...state.self, ...change, incarnation: state.self.incarnation + 1};
	storeMember(state.table, state.self, 0);
	queueUpdate(state.updateQueue, state.self.id, encodeUpdate(state.self, state.self.id));
	return {kind: 'changed', member: state.self};
}

function isAboutSelf(state: MembershipState, update: Update): boolean {
	return (update.kind === 'alive' ? update.record.id : update.id) === state.self.id;
}

/**
Refutes a false update about this host with a higher incarnation: that it is suspected, dead or left, or a record of an
earlier process with the same host id.
*/
function refuteUpdate(state: MembershipState, update: Update): readonly Effect[] {
	const {incarnation} = update.kind === 'alive' ? update.record : update;
	const isTrue = update.kind === 'alive' && update.record.boot === state.self.boot;
	if (isTrue || incarnation < state.self.incarnation || state.self.state === 'left') {
		return [];
	}

	state.self = {...state.self, incarnation};
	return [updateOwnRecord(state, {})];
}

function applyAlive(
	state: MembershipState,
	received: Member,
	circumstances: core.Circumstances,
): readonly Effect[] {
	const known = state.table.members.get(received.id);
	const tombstone = state.table.tombstones.get(received.id);
	if (known ? !isNewer(received, known) : tombstone && tombstone.incarnation >= received.incarnation) {
		return [];
	}

	const catalogueRevision = known?.boot === received.boot
		? Math.max(known.catalogueRevision, received.catalogueRevision)
		: received.catalogueRevision;
	return [updateMember(state, {...received, catalogueRevision}, circumstances)];
}

function applyEnd(
	state: MembershipState,
	update: {readonly kind: 'dead' | 'left'; readonly id: core.HostId; readonly incarnation: number},
	circumstances: core.Circumstances,
): readonly Effect[] {
	const known = state.table.members.get(update.id);
	const ended = {state: update.kind, incarnation: update.incarnation};
	return known && isNewer(ended, known) ? [updateMember(state, {...known, ...ended}, circumstances)] : [];
}

function confirmSuspicion(
	state: MembershipState,
	suspicion: Suspicion,
	update: Extract<Update, {readonly kind: 'suspect'}>,
	now: number,
): void {
	if (update.by === state.self.id && suspicion.ownProbeFailedAt === undefined) {
		Object.assign(suspicion, getCheckTimes(true, now));
	}

	const isNewConfirmation = !suspicion.suspectedBy.has(update.by);
	suspicion.suspectedBy.add(update.by);
	if (isNewConfirmation) {
		queueUpdate(state.updateQueue, update.id, update);
	}
}

function getCheckTimes(isOwn: boolean, now: number): Pick<Suspicion, 'ownProbeFailedAt' | 'nextCheckAt'> {
	return {
		ownProbeFailedAt: isOwn ? now : undefined,
		nextCheckAt: now + (isOwn ? OWN_SUSPICION_CHECK_DELAY_MILLISECONDS : SUSPICION_CHECK_INTERVAL_MILLISECONDS),
	};
}

// A new host is probed within the current pass, so that its death right after the join is detected as soon as any other.
function insertIntoProbeOrder(state: MembershipState, member: Member, {random}: core.Circumstances): void {
	const order = member.failureDomain === state.self.failureDomain ? state.probeOrders.local : state.probeOrders.remote;
	order.splice(utils.pickIndex(random, order.length + 1), 0, member.id);
}

/**
Creates the update that carries this host's own record, or that it has left.
*/
export function createOwnUpdate(state: MembershipState): Update {
	return state.self.state === 'left'
		? {kind: 'left', id: state.self.id, incarnation: state.self.incarnation}
		: {kind: 'alive', record: encodeRecord(state.self)};
}

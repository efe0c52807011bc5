/**
News of hosts: what an update changes in the table, and what this host says to news of itself.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {CHECK_MILLISECONDS, HEARSAY_CHECK_MILLISECONDS, SUSPICION_MESSENGERS} from './constants.ts';
import {queueUpdate} from './dissemination.ts';
import {isNewer, isPresent, type Member} from './members.ts';
import type {Effect, Update} from './messages.ts';
import {sendWith} from './sending.ts';
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

const HANDLERS: UpdateHandlers = {
	alive: (state, update, circumstances) => takeAlive(state, decodeRecord(update.record), circumstances),
	suspect: takeSuspicion,
	dead: (state, update, circumstances) => takeEnd(state, update, circumstances),
	left: (state, update, circumstances) => takeEnd(state, update, circumstances),
};

/**
Takes updates from another host.
*/
export function takeNews(
	state: MembershipState,
	updates: readonly Update[],
	circumstances: core.Circumstances,
): readonly Effect[] {
	return updates.flatMap(update => {
		const handler = HANDLERS[update.kind];
		return isAboutSelf(state, update) ? refuteUpdate(state, update) : handler(state, update as never, circumstances);
	});
}

/**
Stores a record, queues it as news, and says so.
*/
export function changeMember(state: MembershipState, member: Member, circumstances: core.Circumstances): Effect {
	const known = state.table.members.get(member.id);
	storeMember(state.table, member, circumstances.now);
	queueUpdate(state.updates, member.id, encodeUpdate(member, state.self.id));
	if (member.state !== 'suspect') {
		state.suspicions.delete(member.id);
	}

	if (!isPresent(member)) {
		state.faults.delete(member.id);
	}

	if (member.id !== state.self.id && isPresent(member) && (!known || !isPresent(known))) {
		insertIntoOrder(state, member, circumstances);
	}

	return {kind: 'changed', member};
}

/**
Suspects a host, or counts one more host that does.
*/
export function takeSuspicion(
	state: MembershipState,
	suspicion: {readonly id: core.HostId; readonly incarnation: number; readonly by: core.HostId},
	{now, random}: core.Circumstances,
): readonly Effect[] {
	const known = state.table.members.get(suspicion.id);
	if (known?.incarnation !== suspicion.incarnation || !isPresent(known)) {
		return [];
	}

	const running = state.suspicions.get(suspicion.id);
	const update: Update = {
		kind: 'suspect',
		id: suspicion.id,
		incarnation: suspicion.incarnation,
		by: suspicion.by,
	};
	if (running) {
		confirmSuspicion(state, running, update, now);
		return [];
	}

	const member: Member = {...known, state: 'suspect'};
	state.suspicions.set(known.id, {
		incarnation: known.incarnation,
		startedAt: now,
		confirmers: new Set([suspicion.by]),
		...getOwnTimes(suspicion.by === state.self.id, now),
	});
	storeMember(state.table, member, now);
	queueUpdate(state.updates, known.id, update);
	const isMessenger = random() * state.table.members.size < SUSPICION_MESSENGERS;
	const told = isMessenger ? [sendWith(state, member.peerAddress, {kind: 'gossip'}, [update])] : [];
	return [{kind: 'changed', member}, ...told];
}

/**
Changes this host's own record under a new incarnation.
*/
export function changeSelf(state: MembershipState, change: Partial<Member>): Effect {
	state.self = {...state.self, ...change, incarnation: state.self.incarnation + 1};
	storeMember(state.table, state.self, 0);
	queueUpdate(state.updates, state.self.id, encodeUpdate(state.self, state.self.id));
	return {kind: 'changed', member: state.self};
}

function isAboutSelf(state: MembershipState, update: Update): boolean {
	return (update.kind === 'alive' ? update.record.id : update.id) === state.self.id;
}

/**
Objects to news of this host that aren't true, by a higher incarnation: that it is suspected, dead or left, or a record
of an earlier process of the same name.
*/
function refuteUpdate(state: MembershipState, update: Update): readonly Effect[] {
	const {incarnation} = update.kind === 'alive' ? update.record : update;
	const isTrue = update.kind === 'alive' && update.record.boot === state.self.boot;
	if (isTrue || incarnation < state.self.incarnation || state.self.state === 'left') {
		return [];
	}

	state.self = {...state.self, incarnation};
	return [changeSelf(state, {})];
}

function takeAlive(
	state: MembershipState,
	heard: Member,
	circumstances: core.Circumstances,
): readonly Effect[] {
	const known = state.table.members.get(heard.id);
	const tombstone = state.table.tombstones.get(heard.id);
	if (known ? !isNewer(heard, known) : tombstone && tombstone.incarnation >= heard.incarnation) {
		return [];
	}

	const catalogueRevision = known?.boot === heard.boot
		? Math.max(known.catalogueRevision, heard.catalogueRevision)
		: heard.catalogueRevision;
	return [changeMember(state, {...heard, catalogueRevision}, circumstances)];
}

function takeEnd(
	state: MembershipState,
	update: {readonly kind: 'dead' | 'left'; readonly id: core.HostId; readonly incarnation: number},
	circumstances: core.Circumstances,
): readonly Effect[] {
	const known = state.table.members.get(update.id);
	const ended = {state: update.kind, incarnation: update.incarnation};
	return known && isNewer(ended, known) ? [changeMember(state, {...known, ...ended}, circumstances)] : [];
}

function confirmSuspicion(
	state: MembershipState,
	running: Suspicion,
	update: Extract<Update, {readonly kind: 'suspect'}>,
	now: number,
): void {
	if (update.by === state.self.id && running.ownSince === undefined) {
		Object.assign(running, getOwnTimes(true, now));
	}

	const isNews = !running.confirmers.has(update.by);
	running.confirmers.add(update.by);
	if (isNews) {
		queueUpdate(state.updates, update.id, update);
	}
}

function getOwnTimes(isOwn: boolean, now: number): Pick<Suspicion, 'ownSince' | 'nextCheckAt'> {
	return {
		ownSince: isOwn ? now : undefined,
		nextCheckAt: now + (isOwn ? CHECK_MILLISECONDS : HEARSAY_CHECK_MILLISECONDS),
	};
}

// A host that comes is probed within this pass, like all others: one that dies right after it came is noticed as soon.
function insertIntoOrder(state: MembershipState, member: Member, {random}: core.Circumstances): void {
	const order = member.failureDomain === state.self.failureDomain ? state.orders.local : state.orders.remote;
	order.splice(utils.pickIndex(random, order.length + 1), 0, member.id);
}

/**
The news of this host itself.
*/
export function describeSelf(state: MembershipState): Update {
	return state.self.state === 'left'
		? {kind: 'left', id: state.self.id, incarnation: state.self.incarnation}
		: {kind: 'alive', record: encodeRecord(state.self)};
}

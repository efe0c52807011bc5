/**
The state machine of announcements: maps events to effects by a table of handlers.
*/
import type * as core from 'wagtailroute-core';
import {applyAnnouncement, applyLeave, expireLease} from './announcing.ts';
import {LOST_HOLDER_GRACE_MILLISECONDS, MIN_PAUSE_MILLISECONDS, SCAN_INTERVAL_MILLISECONDS} from './constants.ts';
import {applyAcknowledgement, resendDeltas} from './deltas.ts';
import {isTombstone, type Lease} from './leases.ts';
import {answerQuery, applyList, queryUnconfirmedHolders} from './lists.ts';
import {mergeLease} from './merging.ts';
import type {Effect, Event, Message} from './messages.ts';
import type {AnnouncementState, ServiceTable} from './state.ts';
import {removeEntry} from './table.ts';
import {applyDigests, sendDigests, setCarriers} from './digests.ts';

type EventHandlers = {
	readonly [Kind in Event['kind']]: (
		state: AnnouncementState,
		event: Extract<Event, {readonly kind: Kind}>,
		circumstances: core.Circumstances,
	) => readonly Effect[];
};

type MessageHandlers = {
	readonly [Kind in Message['kind']]: (
		state: AnnouncementState,
		from: core.HostId,
		message: Extract<Message, {readonly kind: Kind}>,
		now: number,
	) => readonly Effect[];
};

const MESSAGE_HANDLERS: MessageHandlers = {
	delta: (state, from, message, now) => applyDelta(state, from, message.leases, now),
	acknowledge(state, from, message) {
		applyAcknowledgement(state, from, message.versions);
		return [];
	},
	digest: (state, from, message, now) => applyDigests(state, from, message.digests, now),
	query: (state, from, message, now) => answerQuery(state, from, message, now),
	list: (state, from, message, now) => applyList(state, from, message, now),
};

const EVENT_HANDLERS: EventHandlers = {
	announce: (state, event, {now}) => applyAnnouncement(
		state,
		{service: event.service, id: event.id},
		event.announcement,
		now,
	),
	leave: (state, event, {now}) => applyLeave(state, {service: event.service, id: event.id}, now),
	receive(state, {from, message}, {now}) {
		const handler = MESSAGE_HANDLERS[message.kind];
		return handler(state, from, message as never, now);
	},
	carriers: (state, event, circumstances) => setCarriers(state, event.service, event.carriers, circumstances),
	'holder-lost'(state, event, {now}) {
		shortenConfirmations(state, event.id, now + LOST_HOLDER_GRACE_MILLISECONDS);
		return [];
	},
	tick(state, _event, circumstances) {
		extendLeasesByPause(state, circumstances.now);
		return [
			...resendDeltas(state, circumstances.now),
			...sendDigests(state, circumstances.now),
			...scanLeases(state, circumstances),
		];
	},
};

/**
Handles an event. The returned state is the given object, changed in place (see state.ts).
*/
export const stepAnnouncements: core.Step<AnnouncementState, Event, Effect> = (state, event, circumstances) => {
	const handler = EVENT_HANDLERS[event.kind];
	return {state, effects: deduplicateChanges(handler(state, event as never, circumstances))};
};

function applyDelta(
	state: AnnouncementState,
	from: core.HostId,
	leases: readonly Lease[],
	now: number,
): readonly Effect[] {
	const effects: Effect[] = [];
	const newer: Lease[] = [];
	for (const lease of leases) {
		const merge = mergeLease(state, lease, from, now);
		effects.push(...merge.effects);
		if (merge.newer) {
			newer.push(merge.newer);
		}
	}

	if (newer.length > 0) {
		effects.push({kind: 'send', to: from, message: {kind: 'delta', leases: newer}});
	}

	const versions = leases.map(({service, id, version}) => ({service, id, version}));
	return [...effects, {kind: 'send', to: from, message: {kind: 'acknowledge', versions}}];
}

/**
Extends all leases by the time for which this process was paused (a long garbage collection, a stopped virtual machine).
Renewals that arrived meanwhile still wait in the sockets. Without this, the first tick would expire every lease that this
host holds, and running upstreams would get no work from any host until they renew.
*/
function extendLeasesByPause(state: AnnouncementState, now: number): void {
	const pause = now - (state.lastTickAt ?? now);
	state.lastTickAt = now;
	if (pause < MIN_PAUSE_MILLISECONDS) {
		return;
	}

	for (const table of state.services.values()) {
		for (const entry of table.entries.values()) {
			entry.until += pause;
		}
	}
}

function shortenConfirmations(state: AnnouncementState, holder: core.HostId, until: number): void {
	for (const table of state.services.values()) {
		for (const entry of table.entries.values()) {
			if (entry.lease.holder === holder && !isTombstone(entry.lease)) {
				entry.until = Math.min(entry.until, until);
			}
		}
	}
}

function scanLeases(state: AnnouncementState, circumstances: core.Circumstances): readonly Effect[] {
	if (state.nextScanAt > circumstances.now) {
		return [];
	}

	state.nextScanAt = circumstances.now + SCAN_INTERVAL_MILLISECONDS;
	const effects: Effect[] = [];
	for (const table of state.services.values()) {
		effects.push(
			...queryUnconfirmedHolders(state, table, circumstances),
			...removeExpiredLeases(state, table, circumstances.now),
		);
	}

	return effects;
}

function removeExpiredLeases(state: AnnouncementState, table: ServiceTable, now: number): readonly Effect[] {
	const effects: Effect[] = [];
	for (const entry of table.entries.values()) {
		if (entry.until > now) {
			continue;
		}

		if (entry.lease.holder === state.self && !isTombstone(entry.lease)) {
			effects.push(...expireLease(state, table, entry, now));
		} else if (removeEntry(table, entry.lease.id)) {
			effects.push({kind: 'changed', service: table.name});
		}
	}

	if (table.entries.size === 0 && table.carriers.length === 0) {
		state.services.delete(table.name);
	}

	return effects;
}

function deduplicateChanges(effects: readonly Effect[]): readonly Effect[] {
	const seen = new Set<core.ServiceName>();
	return effects.filter(effect => {
		const isRepeated = effect.kind === 'changed' && seen.has(effect.service);
		if (effect.kind === 'changed') {
			seen.add(effect.service);
		}

		return !isRepeated;
	});
}

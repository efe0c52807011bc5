/**
Lists of leases: the answer to a carrier whose leases differ from a holder's digest, that starts to carry a service, or
that has received nothing from a holder for long (a one-way partition). Each lease is sent with the remaining time for
which the sender considers it confirmed, so that two carriers never keep a lease alive by confirming it to each other.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	CONFIRMATION_QUERY_LEAD_MILLISECONDS,
	CONFIRMATION_VALIDITY_MILLISECONDS,
	MAX_LEASES_PER_MESSAGE,
	QUERY_INTERVAL_MILLISECONDS,
} from './constants.ts';
import {compareLeases, isTombstone} from './leases.ts';
import {mergeLease} from './merging.ts';
import type {ConfirmedLease, Effect} from './messages.ts';
import type {AnnouncementState, LeaseEntry, ServiceTable} from './state.ts';

/**
Answers a query with the leases that this host knows, including tombstones.
*/
export function answerQuery(
	state: AnnouncementState,
	from: core.HostId,
	query: {readonly service: core.ServiceName; readonly holder?: core.HostId},
	now: number,
): readonly Effect[] {
	const entries = state.services.get(query.service)?.entries.values().toArray() ?? [];
	const leases = entries
		.filter(entry => query.holder === undefined || entry.lease.holder === query.holder)
		.map((entry): ConfirmedLease => ({
			lease: entry.lease,
			milliseconds: entry.lease.holder === state.self ? CONFIRMATION_VALIDITY_MILLISECONDS : Math.max(0, entry.until - now),
		}));
	const effects: Effect[] = [];
	for (let start = 0; start < leases.length; start += MAX_LEASES_PER_MESSAGE) {
		const page = leases.slice(start, start + MAX_LEASES_PER_MESSAGE);
		effects.push({kind: 'send', to: from, message: {kind: 'list', service: query.service, leases: page}});
	}

	return effects;
}

/**
Merges the leases of a list, extends their confirmations, and answers with the leases that are newer on this host.
*/
export function applyList(
	state: AnnouncementState,
	from: core.HostId,
	list: {readonly service: core.ServiceName; readonly leases: readonly ConfirmedLease[]},
	now: number,
): readonly Effect[] {
	const effects: Effect[] = [];
	const newer = [];
	for (const {lease, milliseconds} of list.leases) {
		const merge = mergeLease(state, lease, from, now);
		effects.push(...merge.effects);
		if (merge.newer) {
			newer.push(merge.newer);
		}

		extendConfirmation(state, {lease, milliseconds}, from, now);
	}

	return newer.length > 0
		? [...effects, {kind: 'send', to: from, message: {kind: 'delta', leases: newer}}]
		: effects;
}

/**
Queries another carrier when confirmations of holders are about to end, preferably one that isn't such a holder itself.
*/
export function queryUnconfirmedHolders(
	state: AnnouncementState,
	table: ServiceTable,
	{now, random}: core.Circumstances,
): readonly Effect[] {
	if (table.nextQueryAt > now || !table.carriers.includes(state.self)) {
		return [];
	}

	const isUnconfirmed = ({lease, until}: LeaseEntry): boolean => !isTombstone(lease)
		&& lease.holder !== state.self
		&& until - now < CONFIRMATION_QUERY_LEAD_MILLISECONDS;
	const unconfirmedHolders = new Set(table.entries.values().filter(entry => isUnconfirmed(entry)).map(entry => entry.lease.holder));
	if (unconfirmedHolders.size === 0) {
		return [];
	}

	table.nextQueryAt = now + QUERY_INTERVAL_MILLISECONDS;
	const others = table.carriers.filter(id => id !== state.self);
	const preferredPeers = others.filter(id => !unconfirmedHolders.has(id));
	const candidates = preferredPeers.length > 0 ? preferredPeers : others;
	const to = candidates[utils.pickIndex(random, candidates.length)];
	return to === undefined ? [] : [{kind: 'send', to, message: {kind: 'query', service: table.name}}];
}

function extendConfirmation(state: AnnouncementState, confirmed: ConfirmedLease, from: core.HostId, now: number): void {
	const {lease, milliseconds} = confirmed;
	const entry = state.services.get(lease.service)?.entries.get(lease.id);
	if (!entry || lease.holder === state.self || isTombstone(lease) || compareLeases(entry.lease, lease) !== 0) {
		return;
	}

	const until = now + Math.min(milliseconds, CONFIRMATION_VALIDITY_MILLISECONDS);
	entry.until = from === lease.holder ? until : Math.max(entry.until, until);
}

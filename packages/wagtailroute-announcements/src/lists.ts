/**
Lists of leases: the answer to a carrier whose records differ from a holder's digest, that starts to carry a service, or
that hasn't heard a holder for long (a one-way partition). Each lease comes with what remains of the time for which the
sender takes it as vouched for, so that two carriers never keep a lease alive by each other's word.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	MAX_LEASES_PER_MESSAGE,
	QUERY_INTERVAL_MILLISECONDS,
	VOUCH_MILLISECONDS,
	VOUCH_QUERY_MILLISECONDS,
} from './constants.ts';
import {compareLeases, isTombstone} from './leases.ts';
import {mergeLease} from './merging.ts';
import type {Effect, VouchedLease} from './messages.ts';
import type {AnnouncementState, Entry, ServiceTable} from './state.ts';

/**
Answers a query with what this host knows, tombstones included.
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
		.map((entry): VouchedLease => ({
			lease: entry.lease,
			milliseconds: entry.lease.holder === state.self ? VOUCH_MILLISECONDS : Math.max(0, entry.until - now),
		}));
	const effects: Effect[] = [];
	for (let start = 0; start < leases.length; start += MAX_LEASES_PER_MESSAGE) {
		const part = leases.slice(start, start + MAX_LEASES_PER_MESSAGE);
		effects.push({kind: 'send', to: from, message: {kind: 'list', service: query.service, leases: part}});
	}

	return effects;
}

/**
Takes a list: merges its records, extends the vouches, and answers with records that are newer here.
*/
export function receiveList(
	state: AnnouncementState,
	from: core.HostId,
	list: {readonly service: core.ServiceName; readonly leases: readonly VouchedLease[]},
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

		extendVouch(state, {lease, milliseconds}, from, now);
	}

	return newer.length > 0
		? [...effects, {kind: 'send', to: from, message: {kind: 'delta', leases: newer}}]
		: effects;
}

/**
Asks another carrier about holders that haven't vouched for some time.
*/
export function queryStaleHolders(
	state: AnnouncementState,
	table: ServiceTable,
	{now, random}: core.Circumstances,
): readonly Effect[] {
	if (table.nextQueryAt > now || !table.carriers.includes(state.self)) {
		return [];
	}

	const isStale = ({lease, until}: Entry): boolean => !isTombstone(lease)
		&& lease.holder !== state.self
		&& until - now < VOUCH_QUERY_MILLISECONDS;
	const stale = new Set(table.entries.values().filter(entry => isStale(entry)).map(entry => entry.lease.holder));
	if (stale.size === 0) {
		return [];
	}

	table.nextQueryAt = now + QUERY_INTERVAL_MILLISECONDS;
	const others = table.carriers.filter(id => id !== state.self);
	const heard = others.filter(id => !stale.has(id));
	const asked = heard.length > 0 ? heard : others;
	const to = asked[utils.pickIndex(random, asked.length)];
	return to === undefined ? [] : [{kind: 'send', to, message: {kind: 'query', service: table.name}}];
}

function extendVouch(state: AnnouncementState, vouched: VouchedLease, from: core.HostId, now: number): void {
	const {lease, milliseconds} = vouched;
	const entry = state.services.get(lease.service)?.entries.get(lease.id);
	if (!entry || lease.holder === state.self || isTombstone(lease) || compareLeases(entry.lease, lease) !== 0) {
		return;
	}

	const until = now + Math.min(milliseconds, VOUCH_MILLISECONDS);
	entry.until = from === lease.holder ? until : Math.max(entry.until, until);
}

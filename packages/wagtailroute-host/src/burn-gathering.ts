/**
Gathers the counts of all hosts for one report.
*/
import type * as core from 'wagtailroute-core';
import * as report from 'wagtailroute-report';
import * as utils from 'wagtailroute-utils';
import type {HeldCopies} from './burn-held-copies.ts';
import {BURN_CONCURRENCY, CALL_TIMEOUT_MILLISECONDS} from './constants.ts';
import {getOtherMembers, type HostContext, type Member} from './context.ts';

/**
The counts that this host has.
*/
export type BurnSources = {
	readonly counters: report.BurnCounters;
	readonly held: HeldCopies;
};

type CountersResponse = {
	readonly summary: report.Summary;
	/**
	The hosts of which the answering host holds copies, with the number of requests in each.
	*/
	readonly held: ReadonlyArray<readonly [host: core.HostId, total: number]>;
};

const EMPTY_SUMMARY: report.Summary = {services: [], untracked: 0};

/**
Registers the methods `report.counters`, which returns a host's own summary, and `report.held`, which returns that of a copy.
*/
export function registerBurnMethods(context: HostContext, sources: BurnSources): utils.Teardown {
	const {peer, now} = context;
	return utils.mergeTeardowns(
		peer.registerMethod('report.counters', ({span}: {span: number}) => answerCounters(context, sources, span)),
		peer.registerMethod('report.held', ({host, span}: {host: core.HostId; span: number}) => (
			sources.held.find(host)?.counters.summarize(span, now()) ?? EMPTY_SUMMARY
		)),
	);
}

function answerCounters(context: HostContext, {counters, held}: BurnSources, span: number): CountersResponse {
	const now = context.now();
	return {
		summary: counters.summarize(span, now),
		held: held.list().map(copy => [copy.subject.id, copy.counters.getTotal(now)]),
	};
}

/**
A holder and how much it holds.
*/
type BestCopy = {
	readonly total: number;
	/**
	Undefined for this host.
	*/
	readonly holder: Member | undefined;
};

/**
Asks all running hosts for their counts, and the best holder for those of each host that gave none.
*/
export async function gatherBurn(context: HostContext, sources: BurnSources, span: number): Promise<report.BurnReport> {
	const merging = report.createMerging();
	const answered = new Set<core.HostId>();
	const copies = new Map<core.HostId, BestCopy>();

	const addAnswer = (host: core.HostId, holder: Member | undefined, {summary, held}: CountersResponse) => {
		merging.add(summary);
		answered.add(host);
		for (const [subject, total] of held) {
			if (total > (copies.get(subject)?.total ?? 0)) {
				copies.set(subject, {total, holder});
			}
		}
	};

	const others = getOtherMembers(context);
	addAnswer(context.settings.hostId, undefined, answerCounters(context, sources, span));
	await runConcurrently(others, async member => {
		const answer = await context.peer.call(member.peerAddress, 'report.counters', {span}, CALL_TIMEOUT_MILLISECONDS);
		if (answer.isOk()) {
			addAnswer(member.id, member, answer.value as CountersResponse);
		}
	});

	const hostsFromCopies = new Set<core.HostId>();
	const unansweredCopies = [...copies].filter(([host]) => !answered.has(host));
	await runConcurrently(unansweredCopies, async ([host, {holder}]) => {
		const summary = await fetchCopySummary(context, sources, {host, holder, span});
		if (summary === undefined) {
			return;
		}

		merging.add(summary);
		hostsFromCopies.add(host);
	});

	const hostsWithoutAnswer = new Set([...others.map(({id}) => id), ...unansweredCopies.map(([host]) => host)]).difference(answered);
	const hosts = {
		answered: answered.size,
		copied: [...hostsFromCopies].toSorted(),
		missing: [...hostsWithoutAnswer.difference(hostsFromCopies)].toSorted(),
	};
	const entries = context.store.read(({view}) => view.entries.values().map(({entry}) => entry).toArray());
	return report.createReport({host: context.settings.hostId, windowMilliseconds: span, hosts}, merging.read(), entries);
}

async function fetchCopySummary(
	context: HostContext,
	{held}: BurnSources,
	{host, holder, span}: {host: core.HostId; holder: Member | undefined; span: number},
): Promise<report.Summary | undefined> {
	if (holder === undefined) {
		return held.find(host)?.counters.summarize(span, context.now());
	}

	const answer = await context.peer.call(holder.peerAddress, 'report.held', {host, span}, CALL_TIMEOUT_MILLISECONDS);
	return answer.isOk() ? answer.value as report.Summary : undefined;
}

/**
Asks a bounded number at a time.
*/
async function runConcurrently<Item>(items: readonly Item[], run: (item: Item) => Promise<void>): Promise<void> {
	const remaining = [...items];
	const runNext = async () => {
		for (let item = remaining.pop(); item !== undefined; item = remaining.pop()) {
			// eslint-disable-next-line no-await-in-loop -- Each of the askers takes one after the other.
			await run(item);
		}
	};

	await Promise.all(Array.from({length: BURN_CONCURRENCY}, runNext));
}

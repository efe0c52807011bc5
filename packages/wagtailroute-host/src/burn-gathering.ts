/**
Gathers the request counts of all hosts for one report.
*/
import type * as core from 'wagtailroute-core';
import * as report from 'wagtailroute-report';
import * as utils from 'wagtailroute-utils';
import type {HeldCopies} from './burn-held-copies.ts';
import {BURN_CONCURRENCY, CALL_TIMEOUT_MILLISECONDS} from './constants.ts';
import {getOtherMembers, type HostContext, type Member} from './context.ts';

/**
Counts on this host: its own, and the copies that it holds for others.
*/
export type BurnSources = {
	readonly counters: report.BurnCounters;
	readonly held: HeldCopies;
};

/**
Answer of `report.counters`.
*/
type CountersResponse = {
	readonly summary: report.Summary;
	/**
	Hosts whose copies the answering host holds, with the number of requests in each copy.
	*/
	readonly held: ReadonlyArray<readonly [host: core.HostId, total: number]>;
};

const EMPTY_SUMMARY: report.Summary = {services: [], untracked: 0};

/**
Registers the methods `report.counters`, which returns the summary of a host's own counts, and `report.held`, which returns
that of a held copy. `span` is in milliseconds.
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
Copy of a host's counts with the most requests found, and its holder.
*/
type BestCopy = {
	readonly total: number;
	/**
	Undefined for this host.
	*/
	readonly holder: Member | undefined;
};

/**
Asks all running hosts for their counts; for each host that did not answer, asks the holder whose copy has the most requests.
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
Runs a function for each item, at most `BURN_CONCURRENCY` at a time.
*/
async function runConcurrently<Item>(items: readonly Item[], run: (item: Item) => Promise<void>): Promise<void> {
	const remaining = [...items];
	const runNext = async () => {
		for (let item = remaining.pop(); item !== undefined; item = remaining.pop()) {
			// eslint-disable-next-line no-await-in-loop -- Each of the concurrent runs processes one item after the other.
			await run(item);
		}
	};

	await Promise.all(Array.from({length: BURN_CONCURRENCY}, runNext));
}

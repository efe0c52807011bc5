/**
Copies this host's request counts to other hosts, and fetches them back after a restart.

Counts are in memory, and processes restart many times a day: without copies, an error budget over weeks would cover the last
hours only, and would seem to be full again after each restart.
*/
import * as report from 'wagtailroute-report';
import type * as utils from 'wagtailroute-utils';
import type {CopyMessage, HeldCopies} from './burn-held-copies.ts';
import {
	BURN_COPY_HOLDERS,
	MAX_BURN_RECALL_ATTEMPTS,
	BURN_RECALL_CANDIDATES,
	BURN_TICK_INTERVAL_MILLISECONDS,
	CALL_TIMEOUT_MILLISECONDS,
} from './constants.ts';
import {getOtherMembers, type HostContext, type Member} from './context.ts';

/**
Sends copies of this host's counts to their holders at an interval.
*/
export type BurnCopySender = {
	/**
	Sends everything counted up to now, once; later counts are not sent.
	*/
	readonly handOver: () => Promise<void>;
	readonly teardown: utils.Teardown;
};

/**
Starts to send copies once the counts of an earlier process are fetched back: a copy sent before that would replace them.
*/
export function startBurnCopySender(context: HostContext, ownCounters: report.BurnCounters, held: HeldCopies): BurnCopySender {
	const sender = createSender(context);
	const ownHolder: report.Holder = {id: context.settings.hostId, failureDomain: context.settings.failureDomain};
	const restoreCounts = createCountsRestore(context, ownCounters, ownHolder);
	let activeRun: Promise<void> | undefined;

	const sendAll = async () => {
		await sender.send({subject: ownHolder, counters: ownCounters}, true);
		const running = new Set(getOtherMembers(context).map(({id}) => id));
		// No host renews the copies of a host that is gone, so every holder sends its copy to the present holders.
		const orphans = held.list().filter(({subject}) => !running.has(subject.id));
		for (const orphan of orphans) {
			// eslint-disable-next-line no-await-in-loop -- One after the other, so that only one large copy is in flight.
			await sender.send(orphan, false);
		}
	};

	const run = async () => {
		if (await restoreCounts()) {
			await sendAll();
		}
	};

	const tick = () => {
		// One run at a time: two would send the same buckets, which would count twice.
		activeRun ??= run().finally(() => {
			activeRun = undefined;
		});
	};

	const stop = context.repeat(BURN_TICK_INTERVAL_MILLISECONDS, tick);
	return {
		async handOver() {
			stop();
			await activeRun;
			if (!await restoreCounts()) {
				return;
			}

			await sender.send({subject: ownHolder, counters: ownCounters}, true);
			await sender.sendLast({subject: ownHolder, counters: ownCounters});
		},
		teardown: stop,
	};
}

/**
Counts to copy, and the host that counted them.
*/
type HostCounters = {
	readonly subject: report.Holder;
	readonly counters: report.BurnCounters;
};

/**
Sends copies to the holders chosen from the running hosts. The process of a holder gets all buckets once and closed buckets
from then on; after its restart it gets all again, since its copies are lost.
*/
function createSender(context: HostContext) {
	const {now, peer} = context;
	// By host that counted and by process of a holder: the first bucket that the holder lacks.
	const sentBuckets = new Map<string, Map<string, number>>();

	const findHolders = (subject: report.Holder) => report.chooseHolders(subject, getOtherMembers(context), BURN_COPY_HOLDERS);

	const sendCopy = async (holder: Member, message: CopyMessage): Promise<boolean> => {
		const answer = await peer.call(holder.peerAddress, 'report.copy', message, CALL_TIMEOUT_MILLISECONDS);
		return answer.isOk() && answer.value === true;
	};

	const sendTo = async ({subject, counters}: HostCounters, isOwn: boolean, holder: Member, from: number | undefined): Promise<number | undefined> => {
		const present = counters.getBucket(now());
		const isWhole = from === undefined || !counters.canCopyFrom(from, now());
		if (from === present || !(isOwn || isWhole)) {
			return from;
		}

		const copy = counters.copy(now(), isWhole ? undefined : from);
		const isAccepted = copy.length === 0 || await sendCopy(holder, {
			subject, isOwn, isWhole, copy,
		});
		// A copy without an answer may have been added, and sent again it would count twice. Sending all buckets replaces it.
		return isAccepted && !(isWhole && copy.length === 0) ? present : undefined;
	};

	const send = async (source: HostCounters, isOwn: boolean) => {
		const before = sentBuckets.get(source.subject.id);
		const after = new Map<string, number>();
		for (const holder of findHolders(source.subject)) {
			const key = `${holder.id} ${holder.boot}`;
			// eslint-disable-next-line no-await-in-loop -- One after the other, so that only one large copy is in flight.
			const next = await sendTo(source, isOwn, holder, before?.get(key));
			if (next !== undefined) {
				after.set(key, next);
			}
		}

		sentBuckets.set(source.subject.id, after);
	};

	const sendLast = async ({subject, counters}: HostCounters) => {
		const copy = counters.copyLast(now());
		const isWhole = counters.copy(now()).length === 0;
		const holders = findHolders(subject).filter(({id, boot}) => isWhole || sentBuckets.get(subject.id)?.has(`${id} ${boot}`));
		await Promise.all(holders.map(async holder => copy.length === 0 || sendCopy(holder, {
			subject, isOwn: true, isWhole, copy,
		})));
	};

	return {send, sendLast};
}

/**
Returns a function that fetches the counts of an earlier process back, once. It resolves to true when that is done or given
up after `MAX_BURN_RECALL_ATTEMPTS`.
*/
function createCountsRestore(context: HostContext, ownCounters: report.BurnCounters, ownHolder: report.Holder): () => Promise<boolean> {
	let isDone = false;
	let attempts = 0;

	return async () => {
		const candidates = report.chooseHolders(ownHolder, getOtherMembers(context), BURN_RECALL_CANDIDATES);
		if (isDone || candidates.length === 0) {
			return isDone;
		}

		attempts++;
		const sizes = await fetchCopySizes(context, candidates);
		const best = sizes.toSorted((left, right) => right.total - left.total)[0];
		const copy = best === undefined || best.total === 0 ? undefined : await fetchCopy(context, best.holder);
		if (copy !== undefined && !isDone) {
			ownCounters.add(copy, context.now());
		}

		const hasNoCopy = sizes.length === candidates.length && best?.total === 0;
		isDone ||= copy !== undefined || hasNoCopy || attempts >= MAX_BURN_RECALL_ATTEMPTS;
		return isDone;
	};
}

/**
Holder, and the number of requests in its copy of this host's counts.
*/
type CopySize = {
	readonly holder: Member;
	readonly total: number;
};

/**
Asks each candidate for the size of its copy: copies are large, and only the largest is fetched.
*/
async function fetchCopySizes(context: HostContext, candidates: readonly Member[]): Promise<readonly CopySize[]> {
	const host = context.settings.hostId;
	const sizes = await Promise.all(candidates.map(async holder => {
		const answer = await context.peer.call(holder.peerAddress, 'report.total', {host}, CALL_TIMEOUT_MILLISECONDS);
		return answer.isOk() ? [{holder, total: answer.value as number}] : [];
	}));
	return sizes.flat();
}

async function fetchCopy(context: HostContext, holder: Member): Promise<report.Copy | undefined> {
	const host = context.settings.hostId;
	const answer = await context.peer.call(holder.peerAddress, 'report.recall', {host}, CALL_TIMEOUT_MILLISECONDS);
	return answer.isOk() ? answer.value as report.Copy : undefined;
}

/**
Copies of the request counts of other hosts, held in memory for them.
*/
import type * as core from 'wagtailroute-core';
import * as report from 'wagtailroute-report';
import * as utils from 'wagtailroute-utils';
import {MAX_BURN_HELD_HOSTS} from './constants.ts';
import type {HostContext} from './context.ts';

/**
Sent as `report.copy`: all buckets of a host's counts, or only those closed since the last message.
*/
export type CopyMessage = {
	readonly subject: report.Holder;
	/**
	The sender is the host that counted; its message replaces any copy made by another holder.
	*/
	readonly isOwn: boolean;
	readonly isWhole: boolean;
	readonly copy: report.Copy;
};

/**
Counts of another host.
*/
export type HeldCopy = {
	readonly subject: report.Holder;
	readonly counters: report.BurnCounters;
};

/**
Copies that this host holds, by the host that counted.
*/
export type HeldCopies = {
	readonly list: () => readonly HeldCopy[];
	readonly find: (host: core.HostId) => HeldCopy | undefined;
	readonly teardown: utils.Teardown;
};

/**
Registers the methods `report.copy`, which receives a copy and returns whether it was usable, `report.total`, which returns the
number of requests in the copy of a host, and `report.recall`, which returns that copy.
*/
export function registerHeldCopies(context: HostContext): HeldCopies {
	const {now, peer, settings} = context;
	const held = new Map<core.HostId, HeldCopy>();

	const store = (copy: HeldCopy) => {
		// The map is in the order of the last renewal, so its first copy is the one not renewed for longest.
		held.delete(copy.subject.id);
		held.set(copy.subject.id, copy);
		if (held.size > MAX_BURN_HELD_HOSTS) {
			held.delete(held.keys().next().value!);
		}
	};

	const receiveCopy = ({subject, isOwn, isWhole, copy}: CopyMessage): boolean => {
		const known = held.get(subject.id);
		const counters = isWhole ? report.createBurnCounters() : known?.counters;
		if (counters === undefined || subject.id === settings.hostId) {
			return false;
		}

		counters.add(copy, now());
		// Of two copies from other holders, the one with fewer requests is incomplete.
		if (isOwn || known === undefined || counters.getTotal(now()) > known.counters.getTotal(now())) {
			store({subject, counters});
		}

		return true;
	};

	type HostParameters = {readonly host: core.HostId};
	const getTotal = ({host}: HostParameters): number => held.get(host)?.counters.getTotal(now()) ?? 0;
	const recall = ({host}: HostParameters): report.Copy => held.get(host)?.counters.copy(now()) ?? [];

	return {
		list: () => held.values().toArray(),
		find: host => held.get(host),
		teardown: utils.mergeTeardowns(
			peer.registerMethod('report.copy', receiveCopy),
			peer.registerMethod('report.total', getTotal),
			peer.registerMethod('report.recall', recall),
		),
	};
}

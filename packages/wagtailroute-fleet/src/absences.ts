/**
Tracks absent entry hosts: those from which this control host no longer receives messages, and that may still serve callers.

They may have failed, or be cut off from all control hosts while callers still reach them; this control host cannot tell the difference. Entry hosts that are cut off
dispatch among themselves and admit their share of every allotment. An entry host whose link closes without a preceding silence has stopped, and is not absent.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import {
	ABSENCE_CHECK_INTERVAL_MILLISECONDS,
	ABSENCE_GROUP_MILLISECONDS,
	MAX_ABSENCE_MILLISECONDS,
	MIN_ABSENCE_CHECK_MILLISECONDS,
	MIN_PAUSE_MILLISECONDS,
	REQUESTING_HOST_EXPIRY_MILLISECONDS,
	SILENT_FAR_ENTRY_MILLISECONDS,
	SILENT_REQUESTING_HOST_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
State of an entry host with a link to this control host.
*/
export type EntryHostStatus = {
	readonly id: core.HostId;
	/**
	It serves callers, according to its last message.
	*/
	readonly isReady: boolean;
	/**
	Milliseconds since the last message was received from it.
	*/
	readonly silenceMilliseconds: number;
};

/**
Tracks absent entry hosts.
*/
export type AbsenceTracker = {
	/**
	Records that a host opened a link. If its process started after the host became absent, it has used nothing meanwhile and is no longer absent.
	*/
	readonly recordHello: (host: core.HostId, runningMilliseconds: number) => void;
	/**
	Records that a host requested a slot from this control host's dispatcher.
	*/
	readonly recordSlotRequest: (host: core.HostId) => void;
	/**
	Records that a link of a host was closed.
	*/
	readonly recordLinkClosed: (host: EntryHostStatus) => void;
	/**
	Returns when the last message was received from an absent host; undefined if it is not absent.
	*/
	readonly findAbsentSince: (host: core.HostId) => number | undefined;
	/**
	Ends the absence of a host that reported its usage meanwhile.
	*/
	readonly endAbsence: (host: core.HostId) => void;
	/**
	Returns the absent hosts, grouped by when the last message was received from them; the same array as long as nothing changes.
	*/
	readonly list: () => readonly allotments.Absence[];
	readonly teardown: utils.Teardown;
};

/**
What the tracker needs of its host.
*/
export type AbsenceTrackerOptions = {
	readonly listHosts: () => Iterable<EntryHostStatus>;
	/**
	Returns the share of one entry host, 0 to 1.
	*/
	readonly getHostShare: () => number;
	/**
	Milliseconds after which the usage of a host no longer counts.
	*/
	readonly windowMilliseconds: number;
};

type AbsentHost = allotments.Absence & {
	/**
	When messages arrived again; undefined while there are none.
	*/
	recoveredAt?: number;
};

/**
Starts a tracker without absent hosts.

It also checks periodically: while no slots are requested here, nothing else would detect a silence that ends before the link is closed.
*/
export function startAbsenceTracker({now, repeat}: Pick<FleetContext, 'now' | 'repeat'>, options: AbsenceTrackerOptions): AbsenceTracker {
	const requestedAt = new Map<core.HostId, number>();
	const absent = new Map<core.HostId, AbsentHost>();
	let listedAbsences: readonly allotments.Absence[] = [];
	let checkedAt = now();
	let processResumedAt = -Infinity;

	const isSilent = ({id, silenceMilliseconds}: EntryHostStatus) => {
		const isRequestingHost = now() - (requestedAt.get(id) ?? -Infinity) < REQUESTING_HOST_EXPIRY_MILLISECONDS;
		return Math.min(silenceMilliseconds, now() - processResumedAt) > (isRequestingHost ? SILENT_REQUESTING_HOST_MILLISECONDS : SILENT_FAR_ENTRY_MILLISECONDS);
	};

	const markAbsent = ({id, silenceMilliseconds}: EntryHostStatus) => {
		const known = absent.get(id);
		if (known === undefined) {
			absent.set(id, {since: now() - silenceMilliseconds, share: options.getHostShare()});
		} else {
			known.recoveredAt = undefined;
		}
	};

	/**
	A host whose messages arrive again stays absent until it has reported its usage meanwhile, or that usage no longer counts. Slot requests that arrive may be
	delayed ones.
	*/
	const recordRecovery = (id: core.HostId, known: AbsentHost) => {
		known.recoveredAt ??= now();
		if (now() - known.recoveredAt > options.windowMilliseconds) {
			absent.delete(id);
		}
	};

	const checkHost = (host: EntryHostStatus) => {
		const known = absent.get(host.id);
		if (!host.isReady) {
			absent.delete(host.id);
		} else if (isSilent(host)) {
			markAbsent(host);
		} else if (known !== undefined) {
			recordRecovery(host.id, known);
		}
	};

	const evictExpired = () => {
		for (const [id, {since}] of absent) {
			if (now() - since > MAX_ABSENCE_MILLISECONDS) {
				absent.delete(id);
			}
		}
	};

	/**
	Groups the hosts: half of them may be absent at once, and each admission reads the whole list.
	*/
	const updateList = () => {
		const groups = Map.groupBy(absent.values(), ({since}) => Math.floor(since / ABSENCE_GROUP_MILLISECONDS) * ABSENCE_GROUP_MILLISECONDS);
		const shares = groups.entries().map(([since, hosts]): allotments.Absence => ({since, share: hosts.reduce((sum, {share}) => sum + share, 0)})).toArray();
		const isSame = shares.length === listedAbsences.length && shares.every(({since, share}, index) => since === listedAbsences[index]!.since && share === listedAbsences[index]!.share);
		listedAbsences = isSame ? listedAbsences : shares;
	};

	const checkHosts = () => {
		// After a pause of the process this check runs before the messages that arrived meanwhile are read.
		processResumedAt = now() - checkedAt > ABSENCE_CHECK_INTERVAL_MILLISECONDS + MIN_PAUSE_MILLISECONDS ? now() : processResumedAt;
		checkedAt = now();
		for (const host of options.listHosts()) {
			checkHost(host);
		}

		evictExpired();
		updateList();
	};

	const endAbsence = (host: core.HostId) => {
		if (absent.delete(host)) {
			updateList();
		}
	};

	return {
		teardown: repeat(ABSENCE_CHECK_INTERVAL_MILLISECONDS, checkHosts),
		recordHello(host, runningMilliseconds) {
			if (now() - runningMilliseconds > (absent.get(host)?.since ?? Infinity)) {
				endAbsence(host);
			}
		},
		recordSlotRequest(host) {
			requestedAt.set(host, now());
		},
		endAbsence,
		recordLinkClosed(host) {
			// The host has opened another link: a connection can be stuck while new ones work.
			if (Iterator.from(options.listHosts()).some(({id}) => id === host.id)) {
				return;
			}

			requestedAt.delete(host.id);
			if (host.isReady && isSilent(host)) {
				markAbsent(host);
			} else {
				absent.delete(host.id);
			}

			updateList();
		},
		findAbsentSince: host => absent.get(host)?.since,
		list() {
			if (now() - checkedAt >= MIN_ABSENCE_CHECK_MILLISECONDS) {
				checkHosts();
			}

			return listedAbsences;
		},
	};
}

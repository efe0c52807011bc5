/**
The entry hosts that a control host no longer hears, and that may go on to serve callers.

They can be without power, or cut off from all control hosts while callers still reach them: from here this looks the same. Cut off, they dispatch among
themselves and give out their share of every allotment. A host whose connection ends while it is heard has ended by itself, and counts no longer.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import {
	MIN_ABSENCE_CHECK_MILLISECONDS,
	MAX_ABSENCE_MILLISECONDS,
	ABSENCE_CHECK_INTERVAL_MILLISECONDS,
	ABSENCE_GROUP_MILLISECONDS,
	REQUESTING_HOST_EXPIRY_MILLISECONDS,
	PAUSE_MILLISECONDS,
	SILENT_REQUESTING_HOST_MILLISECONDS,
	SILENT_FAR_ENTRY_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
An entry host with a link here.
*/
export type LinkedHost = {
	readonly id: core.HostId;
	/**
	It serves callers, as far as it has told.
	*/
	readonly isReady: boolean;
	/**
	Milliseconds since it was last heard.
	*/
	readonly silenceMilliseconds: number;
};

/**
The absent hosts.
*/
export type AbsenceTracker = {
	/**
	A host has opened a link. A process that has started since the host was last heard has used nothing meanwhile.
	*/
	readonly recordHello: (host: core.HostId, runningMilliseconds: number) => void;
	/**
	A host has asked this host's dispatcher.
	*/
	readonly recordSlotRequest: (host: core.HostId) => void;
	/**
	The link of a host is closed.
	*/
	readonly recordLinkClosed: (host: LinkedHost) => void;
	/**
	Returns when an absent host was last heard; undefined for one that is not absent.
	*/
	readonly findAbsentSince: (host: core.HostId) => number | undefined;
	/**
	A host has told what it used meanwhile.
	*/
	readonly endAbsence: (host: core.HostId) => void;
	/**
	Returns the absent hosts together with those that were last heard at about the same time; the same list for as long as nothing changes.
	*/
	readonly list: () => readonly allotments.Absence[];
	readonly teardown: utils.Teardown;
};

/**
What absences are found by.
*/
export type AbsenceTrackerOptions = {
	readonly listHosts: () => Iterable<LinkedHost>;
	/**
	Returns the share of the entry hosts that one of them is.
	*/
	readonly getHostShare: () => number;
	/**
	Milliseconds after which what a host used meanwhile no longer counts.
	*/
	readonly windowMilliseconds: number;
};

type AbsentHost = allotments.Absence & {
	/**
	Since when its link is heard again.
	*/
	recoveredAt?: number;
};

/**
Starts without absent hosts.

Looks for them now and then, too: while nobody asks here, nothing else would notice a silence that ends before its link does.
*/
export function startAbsenceTracker({now, repeat}: Pick<FleetContext, 'now' | 'repeat'>, options: AbsenceTrackerOptions): AbsenceTracker {
	const requestedAt = new Map<core.HostId, number>();
	const absent = new Map<core.HostId, AbsentHost>();
	let listedAbsences: readonly allotments.Absence[] = [];
	let checkedAt = now();
	let processResumedAt = -Infinity;

	const isSilent = ({id, silenceMilliseconds}: LinkedHost) => {
		const isRequestingHost = now() - (requestedAt.get(id) ?? -Infinity) < REQUESTING_HOST_EXPIRY_MILLISECONDS;
		return Math.min(silenceMilliseconds, now() - processResumedAt) > (isRequestingHost ? SILENT_REQUESTING_HOST_MILLISECONDS : SILENT_FAR_ENTRY_MILLISECONDS);
	};

	const markAbsent = ({id, silenceMilliseconds}: LinkedHost) => {
		const known = absent.get(id);
		if (known === undefined) {
			absent.set(id, {since: now() - silenceMilliseconds, share: options.getHostShare()});
		} else {
			known.recoveredAt = undefined;
		}
	};

	/**
	One that is heard again stays absent until it has told what it used meanwhile, or that no longer counts. Asks that arrive may have been held up.
	*/
	const recordRecovery = (id: core.HostId, known: AbsentHost) => {
		known.recoveredAt ??= now();
		if (now() - known.recoveredAt > options.windowMilliseconds) {
			absent.delete(id);
		}
	};

	const checkHost = (host: LinkedHost) => {
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
	Half of the hosts may be absent at once, and each admission looks at all entries of the list.
	*/
	const updateList = () => {
		const groups = Map.groupBy(absent.values(), ({since}) => Math.floor(since / ABSENCE_GROUP_MILLISECONDS) * ABSENCE_GROUP_MILLISECONDS);
		const shares = groups.entries().map(([since, hosts]): allotments.Absence => ({since, share: hosts.reduce((sum, {share}) => sum + share, 0)})).toArray();
		const isSame = shares.length === listedAbsences.length && shares.every(({since, share}, index) => since === listedAbsences[index]!.since && share === listedAbsences[index]!.share);
		listedAbsences = isSame ? listedAbsences : shares;
	};

	const checkHosts = () => {
		// A process that was paused looks before it reads what has come meanwhile.
		processResumedAt = now() - checkedAt > ABSENCE_CHECK_INTERVAL_MILLISECONDS + PAUSE_MILLISECONDS ? now() : processResumedAt;
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
			// It has opened another link: connections can go silent for good while new ones work.
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

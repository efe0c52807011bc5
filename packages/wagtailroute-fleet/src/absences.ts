/**
The entry hosts that a control host no longer hears, and that may go on to serve callers.

They can be without power, or cut off from all control hosts while callers still reach them: from here this looks the same. Cut off, they dispatch among
themselves and give out their share of every allotment. A host whose connection ends while it is heard has ended by itself, and counts no longer.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import {
	ABSENCE_LOOK_MILLISECONDS,
	ABSENCE_MOST_MILLISECONDS,
	ABSENCE_REPEAT_MILLISECONDS,
	ABSENCE_SLICE_MILLISECONDS,
	REQUESTING_HOST_EXPIRY_MILLISECONDS,
	PAUSE_MILLISECONDS,
	SILENT_ASKER_MILLISECONDS,
	SILENT_FAR_ENTRY_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
An entry host with a link here.
*/
export type HeardHost = {
	readonly id: core.HostId;
	/**
	It serves callers, as far as it has told.
	*/
	readonly isReady: boolean;
	/**
	Milliseconds since it was last heard.
	*/
	readonly silence: number;
};

/**
The absent hosts.
*/
export type Absences = {
	/**
	A host has opened a link. A process that has started since the host was last heard has used nothing meanwhile.
	*/
	readonly recordHello: (host: core.HostId, runningMilliseconds: number) => void;
	/**
	A host has asked this host's dispatcher.
	*/
	readonly recordAsk: (host: core.HostId) => void;
	/**
	The link of a host is closed.
	*/
	readonly recordClosed: (host: HeardHost) => void;
	/**
	Returns when an absent host was last heard; undefined for one that is not absent.
	*/
	readonly findStart: (host: core.HostId) => number | undefined;
	/**
	A host has told what it used meanwhile.
	*/
	readonly end: (host: core.HostId) => void;
	/**
	Returns the absent hosts together with those that were last heard at about the same time; the same list for as long as nothing changes.
	*/
	readonly list: () => readonly allotments.Absence[];
	readonly teardown: utils.Teardown;
};

/**
What absences are found by.
*/
export type AbsencesPlan = {
	readonly listHosts: () => Iterable<HeardHost>;
	/**
	Returns the share of the entry hosts that one of them is.
	*/
	readonly getOneShare: () => number;
	/**
	Milliseconds after which what a host used meanwhile no longer counts.
	*/
	readonly windowMilliseconds: number;
};

type Absent = allotments.Absence & {
	/**
	Since when its link is heard again.
	*/
	heardAgainAt?: number;
};

/**
Starts without absent hosts.

Looks for them now and then, too: while nobody asks here, nothing else would notice a silence that ends before its link does.
*/
export function startAbsences({now, repeat}: Pick<FleetContext, 'now' | 'repeat'>, plan: AbsencesPlan): Absences {
	const askedAt = new Map<core.HostId, number>();
	const absent = new Map<core.HostId, Absent>();
	let listed: readonly allotments.Absence[] = [];
	let lookedAt = now();
	let resumedAt = -Infinity;

	const isSilent = ({id, silence}: HeardHost) => {
		const isAsker = now() - (askedAt.get(id) ?? -Infinity) < REQUESTING_HOST_EXPIRY_MILLISECONDS;
		return Math.min(silence, now() - resumedAt) > (isAsker ? SILENT_ASKER_MILLISECONDS : SILENT_FAR_ENTRY_MILLISECONDS);
	};

	const add = ({id, silence}: HeardHost) => {
		const known = absent.get(id);
		if (known === undefined) {
			absent.set(id, {since: now() - silence, share: plan.getOneShare()});
		} else {
			known.heardAgainAt = undefined;
		}
	};

	/**
	One that is heard again stays absent until it has told what it used meanwhile, or that no longer counts. Asks that arrive may have been held up.
	*/
	const noteHeard = (id: core.HostId, known: Absent) => {
		known.heardAgainAt ??= now();
		if (now() - known.heardAgainAt > plan.windowMilliseconds) {
			absent.delete(id);
		}
	};

	const lookAt = (host: HeardHost) => {
		const known = absent.get(host.id);
		if (!host.isReady) {
			absent.delete(host.id);
		} else if (isSilent(host)) {
			add(host);
		} else if (known !== undefined) {
			noteHeard(host.id, known);
		}
	};

	const forget = () => {
		for (const [id, {since}] of absent) {
			if (now() - since > ABSENCE_MOST_MILLISECONDS) {
				absent.delete(id);
			}
		}
	};

	/**
	Half of the hosts may be absent at once, and each admission looks at all entries of the list.
	*/
	const renew = () => {
		const groups = Map.groupBy(absent.values(), ({since}) => Math.floor(since / ABSENCE_SLICE_MILLISECONDS) * ABSENCE_SLICE_MILLISECONDS);
		const shares = groups.entries().map(([since, hosts]): allotments.Absence => ({since, share: hosts.reduce((sum, {share}) => sum + share, 0)})).toArray();
		const isSame = shares.length === listed.length && shares.every(({since, share}, index) => since === listed[index]!.since && share === listed[index]!.share);
		listed = isSame ? listed : shares;
	};

	const look = () => {
		// A process that was paused looks before it reads what has come meanwhile.
		resumedAt = now() - lookedAt > ABSENCE_REPEAT_MILLISECONDS + PAUSE_MILLISECONDS ? now() : resumedAt;
		lookedAt = now();
		for (const host of plan.listHosts()) {
			lookAt(host);
		}

		forget();
		renew();
	};

	const end = (host: core.HostId) => {
		if (absent.delete(host)) {
			renew();
		}
	};

	return {
		teardown: repeat(ABSENCE_REPEAT_MILLISECONDS, look),
		recordHello(host, runningMilliseconds) {
			if (now() - runningMilliseconds > (absent.get(host)?.since ?? Infinity)) {
				end(host);
			}
		},
		recordAsk(host) {
			askedAt.set(host, now());
		},
		end,
		recordClosed(host) {
			// It has opened another link: connections can go silent for good while new ones work.
			if (Iterator.from(plan.listHosts()).some(({id}) => id === host.id)) {
				return;
			}

			askedAt.delete(host.id);
			if (host.isReady && isSilent(host)) {
				add(host);
			} else {
				absent.delete(host.id);
			}

			renew();
		},
		findStart: host => absent.get(host)?.since,
		list() {
			if (now() - lookedAt >= ABSENCE_LOOK_MILLISECONDS) {
				look();
			}

			return listed;
		},
	};
}

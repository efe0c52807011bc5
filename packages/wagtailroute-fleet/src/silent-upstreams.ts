/**
Decides, on a control host, whether upstreams have crashed that entry hosts found silent after they lost a request.

An entry host cannot distinguish a crashed server from one that is overloaded, hangs, or is out of its reach. Heartbeats tell: an upstream that sent them until
the loss and none since has crashed, and so has one whose name or address another instance has taken.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	LOSS_CHECK_INTERVAL_MILLISECONDS,
	MAX_CRASH_RECORDS,
	MAX_LOSS_AGE_MILLISECONDS,
	MISSED_HEARTBEAT_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import type {LossReport} from './messages.ts';

/**
What the heartbeats of an upstream show.
*/
export type HeartbeatStatus = {
	/**
	Monotonic milliseconds of the last heartbeat.
	*/
	readonly heardAt: number;
	/**
	Whether another instance has taken the upstream's name or address.
	*/
	readonly isReplaced: boolean;
};

/**
A request that an upstream lost.
*/
export type LostRequest = Pick<LossReport, 'fingerprint' | 'upstream'> & {readonly lostAt: number};

/**
The losses at silent upstreams that a control host looks into.
*/
export type SilentUpstreams = {
	readonly add: (report: LossReport) => void;
};

/**
Collaborators of the decision.
*/
export type SilentUpstreamsOptions = {
	/**
	Returns undefined for an upstream that is unknown or was retired.
	*/
	readonly findHeartbeatStatus: (upstream: core.UpstreamId) => HeartbeatStatus | undefined;
	readonly onCrash: (lost: LostRequest) => void;
	/**
	Called when an upstream that was considered crashed has sent a heartbeat after all.
	*/
	readonly onSurvival: (lost: LostRequest) => void;
};

type Entry = LostRequest & {isPresumed: boolean};

/**
Starts without any losses.
*/
export function createSilentUpstreams(context: FleetContext, {findHeartbeatStatus, onCrash, onSurvival}: SilentUpstreamsOptions): SilentUpstreams {
	const {now} = context;
	const entries = new Map<string, Entry>();

	/**
	Returns whether the loss is decided.
	*/
	const decide = (entry: Entry): boolean => {
		const status = findHeartbeatStatus(entry.upstream);
		if (status === undefined || now() - entry.lostAt > MAX_LOSS_AGE_MILLISECONDS) {
			return true;
		}

		if (status.isReplaced) {
			if (!entry.isPresumed) {
				onCrash(entry);
			}

			return true;
		}

		if (status.heardAt > entry.lostAt) {
			if (entry.isPresumed) {
				onSurvival(entry);
			}

			return true;
		}

		// Without a heartbeat shortly before the loss, its absence since then proves nothing.
		const hasMissedHeartbeat = now() - entry.lostAt > MISSED_HEARTBEAT_MILLISECONDS && entry.lostAt - status.heardAt < MISSED_HEARTBEAT_MILLISECONDS;
		if (hasMissedHeartbeat && !entry.isPresumed) {
			entry.isPresumed = true;
			onCrash(entry);
		}

		return false;
	};

	const check = utils.coalesce(context.schedule, LOSS_CHECK_INTERVAL_MILLISECONDS, () => {
		for (const [key, entry] of entries) {
			if (decide(entry)) {
				entries.delete(key);
			}
		}

		if (entries.size > 0) {
			check();
		}
	});

	return {
		add({fingerprint, upstream, ageMilliseconds}) {
			const key = `${upstream} ${fingerprint}`;
			if (!entries.has(key)) {
				utils.setBounded(entries, key, {
					fingerprint, upstream, lostAt: now() - ageMilliseconds, isPresumed: false,
				}, MAX_CRASH_RECORDS);
			}

			check();
		},
	};
}

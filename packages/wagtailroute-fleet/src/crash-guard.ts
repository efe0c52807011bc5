/**
Protects backend servers from requests that crash them, on an entry host: reports crashes to the control hosts, and refuses what is quarantined.

Without it, a caller that sends a crashing request again takes down one backend server after the other, through any entry host. A lost connection alone is
no crash: its upstream is checked ({@link createCrashInquiries}). A request that completes was not the cause of earlier crashes; all hosts are told of that too.
*/
import type * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {CRASH_PROBE_TIMEOUT_MILLISECONDS, MAX_SURVIVALS, PROBED_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createCrashInquiries, type Loss} from './crash-inquiries.ts';
import {
	countCrashes,
	createCrashRecords,
	type CrashRecord,
	isQuarantined,
} from './crash-records.ts';
import {type LossReport, METHODS} from './messages.ts';

/**
The crash guard of an entry host.
*/
export type EntryCrashGuard = {
	readonly guard: proxy.CrashGuard;
	/**
	Applies what a control host reports.
	*/
	readonly applyRecords: (records: readonly CrashRecord[]) => void;
	/**
	Returns all records, for a control host that this host has just reached.
	*/
	readonly listRecords: () => readonly CrashRecord[];
};

/**
Collaborators of the guard.
*/
export type EntryCrashGuardOptions = {
	/**
	Sends a notification to all control hosts that this host reaches.
	*/
	readonly notifyControlHosts: (method: string, parameters: unknown) => void;
	/**
	Returns whether an address refuses connections.
	*/
	readonly isRefusing?: (address: core.Address) => Promise<boolean>;
	/**
	Sends a health check to the upstream that lost a request.
	*/
	readonly probe: (loss: Loss) => Promise<proxy.ProbeResult>;
	/**
	Resolves with whether this host reaches other upstreams than the one that failed.
	*/
	readonly confirmReach: (failed: core.UpstreamId) => Promise<boolean>;
	/**
	Returns whether another instance has taken the upstream's name or address.
	*/
	readonly isReplaced: (upstream: core.UpstreamId) => boolean;
};

const QUARANTINED = proxy.createRequestFailure('quarantined', 'This request crashed several backend servers and is not sent to another one.');

/**
The connection attempted to an upstream that has lost a request, and whether it was refused.
*/
type Connecting = {
	readonly startedAt: number;
	readonly isRefused: Promise<boolean>;
};

/**
Starts the guard without any records.
*/
export function createEntryCrashGuard(context: FleetContext, options: EntryCrashGuardOptions): EntryCrashGuard {
	const {now, metrics} = context;
	const log = context.logs('crashes');
	const records = createCrashRecords(now);
	/**
	When requests last completed, by fingerprint.
	*/
	const survivals = new Map<string, number>();
	const connecting = new Map<core.UpstreamId, Connecting>();
	const isRefusing = options.isRefusing ?? (async (address: core.Address) => utils.isRefusing(address, {timeoutMilliseconds: CRASH_PROBE_TIMEOUT_MILLISECONDS}));

	/**
	Connects to an upstream at most once in a while: one that resets its connections in a failure period would be connected to for each request that it loses.
	*/
	const isUpstreamRefusing = async ({id, address}: proxy.Target): Promise<boolean> => {
		const recent = connecting.get(id);
		if (recent !== undefined && now() - recent.startedAt < PROBED_MILLISECONDS) {
			return recent.isRefused;
		}

		const started: Connecting = {startedAt: now(), isRefused: isRefusing(address)};
		utils.setBounded(connecting, id, started, MAX_SURVIVALS);
		return started.isRefused;
	};

	/**
	Tells all hosts of a completion, if the request is known to have been in flight at crashes.
	*/
	const reportCompletion = (fingerprint: string) => {
		const crashes = countCrashes(records.find(fingerprint));
		const completedAt = survivals.get(fingerprint);
		if (crashes === 0 || completedAt === undefined) {
			return;
		}

		const completion: CrashRecord = {fingerprint, crashes: [], completedAgeMilliseconds: now() - completedAt};
		if (records.merge(completion) === undefined) {
			return;
		}

		log.info('A request that was in flight at crashes has completed.', {fingerprint, crashes});
		options.notifyControlHosts(METHODS.crashes, [completion]);
	};

	const reportCrash = ({
		service, upstream, fingerprint, lostAt,
	}: Loss) => {
		// As of the loss: the request may have completed elsewhere before the checks ended.
		const crash: CrashRecord = {fingerprint, crashes: [[upstream, now() - lostAt]]};
		records.merge(crash);
		const merged = records.find(fingerprint);
		metrics.count('crashes', {service});
		log.warn('An upstream crashed with a request in flight.', {
			service, upstream, fingerprint, crashes: countCrashes(merged), isQuarantined: isQuarantined(merged),
		});
		options.notifyControlHosts(METHODS.crashes, [crash]);
		reportCompletion(fingerprint);
	};

	const inquiries = createCrashInquiries(context, {
		probe: options.probe,
		confirmReach: options.confirmReach,
		isReplaced: options.isReplaced,
		onCrash: reportCrash,
		onSilent(losses) {
			log.info('An upstream with lost or unanswered requests does not answer a health check.', {upstream: losses[0]!.upstream, requests: losses.length});
			options.notifyControlHosts(METHODS.losses, losses.map(({fingerprint, upstream, lostAt}): LossReport => ({
				fingerprint, upstream, ageMilliseconds: Math.round(now() - lostAt),
			})));
		},
	});

	return {
		guard: {
			getQuarantineStatus: (_service, fingerprint) => isQuarantined(records.find(fingerprint)) ? 'quarantined' : 'free',
			// Asked for only when a request is quarantined between two of its attempts.
			requestTrial: async () => ({kind: 'refused', failure: QUARANTINED}),
			async detectCrash({service, target, fingerprint}) {
				const loss: Loss = {
					service, upstream: target.id, address: target.address, fingerprint, lostAt: now(),
				};
				const hasCrashed = await isUpstreamRefusing(target) && await options.confirmReach(target.id);
				if (hasCrashed) {
					reportCrash(loss);
				} else {
					inquiries.add(loss);
				}

				return hasCrashed;
			},
			inquire({
				service, target, fingerprint, sentAt, onCrash,
			}) {
				const loss: Loss = {
					service, upstream: target.id, address: target.address, fingerprint, lostAt: sentAt, onCrash,
				};
				inquiries.add(loss);
				return () => {
					inquiries.withdraw(loss);
				};
			},
			recordSurvival(_service, fingerprint) {
				utils.setBounded(survivals, fingerprint, now(), MAX_SURVIVALS);
				reportCompletion(fingerprint);
			},
		},
		applyRecords(received) {
			for (const record of received) {
				records.merge(record);
				reportCompletion(record.fingerprint);
			}
		},
		listRecords: records.list,
	};
}

/**
Protects backend servers from requests that crash them, on an entry host: reports crashes to the control hosts, and refuses what is quarantined.

Without it, a caller that sends a crashing request again takes down one backend server after the other, through any entry host. A lost connection alone is
no crash; a server that then refuses a new connection has crashed. A request that completes was not the cause of earlier crashes; all hosts are told of that too.
*/
import type * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {
	CRASH_PROBE_TIMEOUT_MILLISECONDS,
	MAX_SURVIVALS,
	PROBE_OPEN_MILLISECONDS,
	PROBED_MILLISECONDS,
	SECOND_PROBE_DELAY_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {
	countCrashes,
	createCrashRecords,
	type CrashRecord,
	isQuarantined,
} from './crash-records.ts';
import {METHODS} from './messages.ts';

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
	Returns whether an address refuses connections, or closes them within a time.
	*/
	readonly isRefusing?: (address: core.Address, openMilliseconds: number) => Promise<boolean>;
};

const QUARANTINED = proxy.createRequestFailure('quarantined', 'This request crashed several backend servers and is not sent to another one.');

/**
A probe of an upstream that has lost a request.
*/
type Probe = {
	readonly startedAt: number;
	/**
	Whether the upstream refused a connection at once.
	*/
	readonly first: Promise<boolean>;
	/**
	Whether it refused one then, or a little later. A server that is going down may still accept connections, or accept and close them.
	*/
	readonly second: Promise<boolean>;
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
	const probes = new Map<core.UpstreamId, Probe>();
	const isRefusing = options.isRefusing ?? (async (address: core.Address, openMilliseconds: number) =>
		utils.isRefusing(address, {timeoutMilliseconds: CRASH_PROBE_TIMEOUT_MILLISECONDS, openMilliseconds}));

	/**
	Probes an upstream at most once in a while: one that resets its connections in a failure period would be probed for each request that it loses.
	*/
	const probe = ({id, address}: proxy.Target): Probe => {
		const recent = probes.get(id);
		if (recent !== undefined && now() - recent.startedAt < PROBED_MILLISECONDS) {
			return recent;
		}

		const first = isRefusing(address, 0);
		const started: Probe = {startedAt: now(), first, second: probeAgain(address, first)};
		utils.setBounded(probes, id, started, MAX_SURVIVALS);
		return started;
	};

	const probeAgain = async (address: core.Address, first: Promise<boolean>): Promise<boolean> => {
		if (await first) {
			return true;
		}

		await new Promise<void>(resolve => {
			context.schedule(SECOND_PROBE_DELAY_MILLISECONDS, resolve);
		});
		return isRefusing(address, PROBE_OPEN_MILLISECONDS);
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

	const reportCrash = ({service, target, fingerprint}: proxy.LostAttempt, lostAt: number) => {
		// As of the loss: the request may have completed elsewhere before the probes ended.
		const crash: CrashRecord = {fingerprint, crashes: [[target.id, now() - lostAt]]};
		records.merge(crash);
		const merged = records.find(fingerprint);
		metrics.count('crashes', {service});
		log.warn('An upstream crashed with a request in flight.', {
			service, upstream: target.id, fingerprint, crashes: countCrashes(merged), isQuarantined: isQuarantined(merged),
		});
		options.notifyControlHosts(METHODS.crashes, [crash]);
		reportCompletion(fingerprint);
	};

	/**
	Reports a crash that only the second probe finds. The caller does not wait for it.
	*/
	const reportLateCrash = async (loss: proxy.LostAttempt, lostAt: number, second: Promise<boolean>) => {
		if (await second) {
			reportCrash(loss, lostAt);
		}
	};

	return {
		guard: {
			getQuarantineStatus: (_service, fingerprint) => isQuarantined(records.find(fingerprint)) ? 'quarantined' : 'free',
			// Asked for only when a request is quarantined between two of its attempts.
			requestTrial: async () => ({kind: 'refused', failure: QUARANTINED}),
			async detectCrash(loss) {
				const lostAt = now();
				const {first, second} = probe(loss.target);
				const hasCrashed = await first;
				if (hasCrashed) {
					reportCrash(loss, lostAt);
				} else {
					void reportLateCrash(loss, lostAt, second);
				}

				return hasCrashed;
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

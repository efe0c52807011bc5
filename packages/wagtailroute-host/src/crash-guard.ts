/**
Protects backend servers from requests that crash them, on a host that carries the service: reports crashes with the
requests that were in flight, sends suspect requests only as trials, and refuses quarantined ones.

Without it, a request that crashes a backend server is sent again by the fleet, or by its caller through any host, and
crashes one server after the other. A lost connection alone is no crash; a server that then refuses a new connection has
crashed. The answers to the requests that were in flight are delayed until all carriers know the suspects.
*/
import * as crypto from 'node:crypto';
import type * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import type * as records from 'wagtailroute-records';
import * as utils from 'wagtailroute-utils';
import {
	CALL_TIMEOUT_MILLISECONDS,
	CRASH_COLLECTION_MILLISECONDS,
	CRASH_ANSWER_DELAY_MILLISECONDS,
	CRASH_PROBE_TIMEOUT_MILLISECONDS,
	CRASH_REPORT_TIMEOUT_MILLISECONDS,
	LOCAL_SUSPICION_MILLISECONDS,
	SETTLE_TIMEOUT_MILLISECONDS,
	SURVIVALS_ROTATION_MILLISECONDS,
	SUSPECT_POLL_INTERVAL_MILLISECONDS,
	TRIAL_REQUEST_TIMEOUT_MILLISECONDS,
} from './constants.ts';
import type {HostContext} from './context.ts';
import {chooseControlHost, proposeCommand} from './proposals.ts';
import {
	SUSPECT_CHANGE_METHOD,
	SUSPECTS_METHOD,
	type SuspectsAnswer,
	type SuspectChange,
	type SuspectsRequest,
} from './quarantine-updates.ts';
import {createSuspects, type Suspects} from './suspects.ts';

/**
The crash guard of a host.
*/
export type HostCrashGuard = {
	readonly guard: proxy.CrashGuard;
	readonly teardown: utils.Teardown;
};

/**
Replacements for tests.
*/
export type CrashGuardFakes = {
	readonly propose?: typeof proposeCommand;
	readonly isRefusing?: (address: core.Address) => Promise<boolean>;
};

/**
Attempts that one upstream lost at the same moment. `result` is whether it crashed.
*/
type LossGroup = {
	readonly fingerprints: Set<string>;
	isOnTrial: boolean;
	readonly result: Promise<boolean>;
};

/**
Starts the crash guard.
*/
export function startCrashGuard(context: HostContext, fakes: CrashGuardFakes = {}): HostCrashGuard {
	const {now, peer} = context;
	const log = context.log('host');
	const propose = fakes.propose ?? proposeCommand;
	const isRefusing = fakes.isRefusing ?? (async address => utils.isRefusing(address, {timeoutMilliseconds: CRASH_PROBE_TIMEOUT_MILLISECONDS}));
	const suspects = createSuspects();
	const lossGroups = new Map<string, LossGroup>();

	const examineLoss = async (loss: proxy.LostAttempt, upstreamKey: string): Promise<boolean> => {
		const incarnation = `${suspects.getVersion(loss.service)}`;
		const isServerRefusing = await isRefusing(loss.target.address);
		// The other requests in flight at this upstream are lost at the same moment, but reported one after the other.
		await wait(context, CRASH_COLLECTION_MILLISECONDS);
		const group = lossGroups.get(upstreamKey)!;
		lossGroups.delete(upstreamKey);
		// A server that restarts at once refuses no connection. The loss of a suspect on trial is reported even then.
		if (!isServerRefusing && !group.isOnTrial) {
			return false;
		}

		log.warn('Upstream crashed; the requests in flight are reported.', {service: loss.service, upstream: loss.target.id, inFlight: group.fingerprints.size});
		await reportCrash(loss, incarnation, group.fingerprints);
		await wait(context, CRASH_ANSWER_DELAY_MILLISECONDS);
		return true;
	};

	const reportCrash = async ({service, target}: proxy.LostAttempt, incarnation: string, fingerprints: ReadonlySet<string>) => {
		const inFlight = [...fingerprints].map(fingerprint => ({
			fingerprint, hasCompleted: suspects.consumeSurvival(service, fingerprint),
		}));
		for (const {fingerprint, hasCompleted} of inFlight) {
			if (!hasCompleted) {
				suspects.addLocalSuspect(service, fingerprint, now() + LOCAL_SUSPICION_MILLISECONDS);
			}
		}

		const payload: records.CommandPayloads['report-crash'] = {
			service, upstream: target.id, incarnation, inFlight,
		};
		await propose(context, 'records', {name: 'report-crash', stampedAt: 0, payload}, {
			timeoutMilliseconds: CRASH_REPORT_TIMEOUT_MILLISECONDS,
			isRepeatable: true,
		});
	};

	const poll = async () => {
		const versions = suspects.getVersions();
		const address = chooseControlHost(context);
		if (address === undefined || Object.keys(versions).length === 0) {
			return;
		}

		const answer = await peer.call(address, SUSPECTS_METHOD, {versions} satisfies SuspectsRequest, CALL_TIMEOUT_MILLISECONDS);
		if (answer.isOk()) {
			suspects.replaceSuspects(answer.value as SuspectsAnswer, now());
		}
	};

	return {
		guard: {
			getQuarantineStatus: (service, fingerprint) => suspects.getQuarantineStatus(service, fingerprint, now()),
			requestTrial: async request => requestTrial({context, propose, suspects}, request),
			async detectCrash(loss) {
				const upstreamKey = JSON.stringify([loss.service, loss.target.id]);
				const group = lossGroups.get(upstreamKey) ?? {fingerprints: new Set<string>(), isOnTrial: false, result: examineLoss(loss, upstreamKey)};
				lossGroups.set(upstreamKey, group);
				group.fingerprints.add(loss.fingerprint);
				group.isOnTrial ||= loss.isOnTrial;
				return group.result;
			},
			recordSurvival: suspects.recordSurvival,
		},
		teardown: utils.mergeTeardowns(
			peer.registerMethod(SUSPECT_CHANGE_METHOD, (change: SuspectChange) => {
				suspects.applyChange(change, now());
			}),
			context.repeat(SUSPECT_POLL_INTERVAL_MILLISECONDS, () => {
				void poll();
			}),
			context.repeat(SURVIVALS_ROTATION_MILLISECONDS, suspects.rotateSurvivals),
			context.store.registerUpdateListener((state, previous, dirty) => {
				if (dirty.has('view')) {
					for (const service of previous.view.entries.keys().filter(known => !state.view.entries.has(known))) {
						suspects.removeService(service);
					}
				}
			}),
		),
	};
}

type TrialContext = {
	readonly context: HostContext;
	readonly propose: typeof proposeCommand;
	readonly suspects: Suspects;
};

async function requestTrial({context, propose, suspects}: TrialContext, request: proxy.TrialRequest): Promise<proxy.TrialAnswer> {
	const {service, fingerprint} = request;
	const attempt = crypto.randomUUID();
	const requestedAt = context.now();
	const end = (ending: records.TrialEnding['ending']) => {
		const payload: records.CommandPayloads['end-trial'] = {service, attempt, ending};
		void propose(context, 'records', {name: 'end-trial', stampedAt: 0, payload}, {
			timeoutMilliseconds: SETTLE_TIMEOUT_MILLISECONDS,
			isRepeatable: true,
		});
	};

	const payload: records.CommandPayloads['request-trial'] = {...request, attempt};
	const proposed = await propose(context, 'records', {name: 'request-trial', stampedAt: 0, payload}, {
		timeoutMilliseconds: Math.min(TRIAL_REQUEST_TIMEOUT_MILLISECONDS, request.budgetMilliseconds),
		isRepeatable: true,
	});
	if (proposed.isErr()) {
		if (proposed.error.isPossiblyTaken) {
			end('not-sent');
		}

		return refuse('trial-busy', `The request may crash backend servers, and no trial can be granted. ${proposed.error.message}`);
	}

	return TRIAL_ANSWERS[(proposed.value as TrialResult).kind]({
		result: proposed.value as never,
		isUsable: milliseconds => context.now() - requestedAt < milliseconds,
		end,
		clear() {
			suspects.clear(service, fingerprint);
		},
	});
}

type TrialResult = records.CommandResults['request-trial'];

type TrialResultOptions<Kind extends TrialResult['kind']> = {
	readonly result: Extract<TrialResult, {readonly kind: Kind}>;
	readonly isUsable: (milliseconds: number) => boolean;
	readonly end: (ending: records.TrialEnding['ending']) => void;
	readonly clear: () => void;
};

const TRIAL_ANSWERS: {readonly [Kind in TrialResult['kind']]: (options: TrialResultOptions<Kind>) => proxy.TrialAnswer} = {
	clear({clear}) {
		clear();
		return {kind: 'free'};
	},
	granted: ({result, isUsable, end}) => ({
		kind: 'granted',
		isUsable: () => isUsable(result.validityMilliseconds),
		end(ending) {
			// It is unknown whether the server survives. The trial lasts until it expires, so that no other copy runs meanwhile.
			if (ending !== 'lost') {
				end(ending);
			}
		},
	}),
	wait: () => refuse('trial-busy', 'The request may crash backend servers, and another copy of it is on trial.'),
	'upstream-busy': () => ({kind: 'busy'}),
	quarantined: ({result}) => refuse('quarantined', 'This request crashed two backend servers and is not sent to another one.', result.milliseconds),
	'not-held': () => refuse('trial-busy', 'The records of the service are not at hand.'),
};

function refuse(kind: proxy.RequestFailureKind, message: string, retryAfterMilliseconds?: number): proxy.TrialAnswer {
	return {kind: 'refused', failure: proxy.createRequestFailure(kind, message, retryAfterMilliseconds)};
}

async function wait(context: HostContext, milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		context.schedule(milliseconds, resolve);
	});
}

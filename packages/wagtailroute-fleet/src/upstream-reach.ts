/**
Finds out whether this entry host reaches any upstream at all.

A host that has lost its paths to all upstreams sees each of them fail. Without this, it would refuse every request although other hosts could serve it, and its
reports would have working upstreams suspended for the whole fleet. So a failure counts against its upstream only if another upstream answers at about the same time.

Where connections hang, no attempt fails before its deadline. So a host that gets no answer at all for a while, from several upstreams, checks its paths as well.
*/
import type * as core from 'wagtailroute-core';
import type * as instances from 'wagtailroute-instances';
import type * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {
	FIRST_REACH_CHECKS,
	FURTHER_REACH_CHECKS,
	ISOLATION_CHECK_INTERVAL_MILLISECONDS,
	ISOLATION_CHECKS,
	MAX_ANSWERING,
	MIN_SILENT_UPSTREAMS,
	MIN_UNREACHED_UPSTREAMS,
	REACHED_MILLISECONDS,
	RECENT_ANSWER_MILLISECONDS,
	SILENT_UPSTREAMS_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';

/**
What a host knows of its paths to upstreams.
*/
export type UpstreamReach = {
	/**
	Returns whether no upstream answers this host.
	*/
	readonly isIsolated: () => boolean;
	/**
	Records that a request is sent to an upstream.
	*/
	readonly recordSent: (upstream: core.UpstreamId) => void;
	/**
	Records that an upstream has answered a request, in whatever way.
	*/
	readonly recordAnswer: (upstream: core.UpstreamId) => void;
	/**
	Resolves with whether this host reaches other upstreams than the one that failed: at once for the first failure after a recent answer, and after a recent check,
	otherwise after health checks.
	*/
	readonly confirm: (failed: core.UpstreamId) => Promise<boolean>;
	readonly teardown: utils.Teardown;
};

/**
What upstreams there are, and how they are checked.
*/
export type UpstreamReachOptions = {
	/**
	Returns the upstreams in service, over all services.
	*/
	readonly listInstances: () => readonly instances.Instance[];
	readonly probe: (instance: instances.Instance) => Promise<proxy.ProbeResult>;
	readonly onChanged: (isIsolated: boolean) => void;
};

/**
The result of one upstream's health check.
*/
type Check = {
	readonly upstream: core.UpstreamId;
	readonly result: proxy.ProbeResult;
};

/**
Starts with a host that reaches upstreams.
*/
export function createUpstreamReach(context: FleetContext, options: UpstreamReachOptions): UpstreamReach {
	const {now, random} = context;
	const log = context.logs('reach');
	const onDefect = createDefectHandler(context, 'reach');
	let isIsolated = false;
	/**
	Upstreams that have answered, the latest last.
	*/
	const answering = new Map<core.UpstreamId, true>();
	let answeredAt = -Infinity;
	let checkedAt = -Infinity;
	let hasFailedSinceAnswer = false;
	/**
	Upstreams with requests that were sent since the last answer, and when the first of them was sent.
	*/
	const unanswered = new Set<core.UpstreamId>();
	let unansweredSince = 0;
	let running: Promise<boolean> | undefined;
	let cancelCheck: utils.Teardown = () => undefined;
	let cancelSilenceCheck: utils.Teardown | undefined;

	const setIsolated = (value: boolean, checks: readonly Check[]) => {
		if (value === isIsolated) {
			return;
		}

		isIsolated = value;
		log.warn(value ? 'This host reaches no upstream; it forwards requests to other entry hosts.' : 'This host reaches upstreams again.', {
			checks, ...Number.isFinite(answeredAt) && {answeredMillisecondsAgo: Math.round(now() - answeredAt)},
		});
		options.onChanged(value);
		if (value) {
			scheduleCheck();
		}
	};

	/**
	Lists the upstreams to check, those that answered last first: others may have ended long before they are removed from the list.
	*/
	const listChecked = (failed?: core.UpstreamId): readonly instances.Instance[] => {
		const others = utils.shuffle(random, options.listInstances().filter(({upstream}) => upstream !== failed));
		const byId = new Map(others.map(instance => [instance.upstream, instance]));
		const latest = answering.keys().toArray().toReversed().map(upstream => byId.get(upstream)).filter(instance => instance !== undefined);
		return [...new Set([...latest, ...others])];
	};

	/**
	One upstream that can't be checked must not end the check of the others.
	*/
	const probeInstance = async (instance: instances.Instance): Promise<proxy.ProbeResult> => {
		try {
			return await options.probe(instance);
		} catch (error) {
			onDefect(error as Error);
			return 'silent';
		}
	};

	/**
	Checks several upstreams at once. Resolves with their results, or with those so far as soon as one has answered.
	*/
	const probeUntilAnswer = async (checked: readonly instances.Instance[]): Promise<readonly Check[]> => {
		const checks: Check[] = [];
		const {promise, resolve} = Promise.withResolvers<void>();
		const probe = async (instance: instances.Instance) => {
			const result = await probeInstance(instance);
			checks.push({upstream: instance.upstream, result});
			if (result === 'answered') {
				resolve();
			}
		};

		await Promise.race([promise, Promise.all(checked.map(async instance => probe(instance)))]);
		return [...checks];
	};

	/**
	Returns whether checks, or a request that was answered meanwhile, show that this host reaches upstreams. Upstreams that are too busy for health checks still answer
	requests. Where new connections are refused, open ones may live on for a while.
	*/
	const isReachShown = (checks: readonly Check[], startedAt: number): boolean =>
		hasResult(checks, 'answered') || (hasResult(checks, 'silent') && answeredAt > startedAt);

	const scheduleCheck = () => {
		cancelCheck = context.schedule(ISOLATION_CHECK_INTERVAL_MILLISECONDS, () => {
			utils.runDetached(checkIsolation, onDefect);
		});
	};

	const checkIsolation = async () => {
		const latest = utils.shuffle(random, listChecked().slice(0, MAX_ANSWERING)).slice(0, ISOLATION_CHECKS);
		// Where the upstreams that answered last have ended, others have taken their place.
		const newest = options.listInstances().slice(-ISOLATION_CHECKS);
		const startedAt = now();
		const checks = await probeUntilAnswer([...new Set([...latest, ...newest])]);
		if (checks.length === 0 || isReachShown(checks, startedAt)) {
			setIsolated(false, checks);
		} else if (isIsolated) {
			scheduleCheck();
		}
	};

	/**
	Resolves with the checks that show that no upstream answers; undefined when this host reaches upstreams.
	*/
	const findFailedChecks = async (failed?: core.UpstreamId): Promise<readonly Check[] | undefined> => {
		const startedAt = now();
		const others = listChecked(failed);
		const firstCount = failed === undefined ? FIRST_REACH_CHECKS + FURTHER_REACH_CHECKS : FIRST_REACH_CHECKS;
		const first = others.slice(0, firstCount);
		const further = others.slice(firstCount, FIRST_REACH_CHECKS + FURTHER_REACH_CHECKS);
		if (others.length < MIN_UNREACHED_UPSTREAMS) {
			return undefined;
		}

		const firstChecks = await probeUntilAnswer(first);
		const checks = hasResult(firstChecks, 'answered') ? firstChecks : [...firstChecks, ...await probeUntilAnswer(further)];
		return isReachShown(checks, startedAt) ? undefined : checks;
	};

	const startCheck = async (failed?: core.UpstreamId): Promise<boolean> => {
		const failedChecks = await findFailedChecks(failed);
		running = undefined;
		if (failedChecks === undefined) {
			checkedAt = now();
		} else {
			setIsolated(true, failedChecks);
		}

		return failedChecks === undefined;
	};

	/**
	Checks the paths if several upstreams have not answered for a while, and no other one has.
	*/
	const checkSilence = () => {
		cancelSilenceCheck = undefined;
		if (isIsolated || unanswered.size === 0) {
			return;
		}

		const remaining = unansweredSince + SILENT_UPSTREAMS_MILLISECONDS - now();
		if (remaining > 0) {
			scheduleSilenceCheck(remaining);
		} else if (unanswered.size >= MIN_SILENT_UPSTREAMS) {
			unanswered.clear();
			running ??= startCheck();
		}
	};

	const scheduleSilenceCheck = (milliseconds: number) => {
		cancelSilenceCheck ??= context.schedule(milliseconds, checkSilence);
	};

	return {
		isIsolated: () => isIsolated,
		recordSent(upstream) {
			unansweredSince = unanswered.size === 0 ? now() : unansweredSince;
			unanswered.add(upstream);
			scheduleSilenceCheck(Math.max(0, unansweredSince + SILENT_UPSTREAMS_MILLISECONDS - now()));
		},
		recordAnswer(upstream) {
			unanswered.clear();
			utils.setBounded(answering, upstream, true, MAX_ANSWERING);
			answeredAt = now();
			hasFailedSinceAnswer = false;
		},
		async confirm(failed) {
			if (isIsolated || now() - checkedAt < REACHED_MILLISECONDS) {
				return !isIsolated;
			}

			running ??= startCheck(failed);
			// A single failure is reported without delay: in a failure period each later report costs requests.
			const isSingle = !hasFailedSinceAnswer && now() - answeredAt < RECENT_ANSWER_MILLISECONDS;
			hasFailedSinceAnswer = true;
			return isSingle || running;
		},
		teardown() {
			cancelCheck();
			cancelSilenceCheck?.();
		},
	};
}

function hasResult(checks: readonly Check[], wanted: proxy.ProbeResult): boolean {
	return checks.some(({result}) => result === wanted);
}

/**
The policies that the bench compares: detection at its two operating points, and two baselines as commonly run on each host
alone.
*/
import * as utils from 'wagtailroute-utils';
import * as detection from '../index.ts';
import type * as simulation from './simulation.ts';

/**
A policy with its recorded decisions.
*/
export type PolicyUnderTest = {
	readonly policy: simulation.Policy;
	/**
	Ejections so far. `weight` is 1 for an ejection by all hosts, and one host's share for a local ejection.
	*/
	readonly getEjections: () => ReadonlyArray<{readonly upstream: number; readonly at: number; readonly weight: number}>;
	/**
	Hosts that reported their own network to be at fault.
	*/
	readonly getSelfReports: () => ReadonlySet<number>;
};

/**
Name of a policy.
*/
export type PolicyName = 'consecutive' | 'outliers' | 'fast' | 'careful';

const NO_REPORTS: ReadonlySet<number> = new Set();

// The usual defaults of such detectors: ejection after five consecutive failures, for 30 s times the number of ejections, of
// at most half of the upstreams.
const CONSECUTIVE_FAILURES = 5;
const LOCAL_EJECTION_MILLISECONDS = 30_000;
const MAX_LOCAL_EJECTED_FRACTION = 0.5;

// The usual defaults of success-rate outlier detection, except for the minimum number of requests: the default of 100 is never
// reached at these sizes.
const OUTLIER_INTERVAL_MILLISECONDS = 10_000;
const OUTLIER_DEVIATIONS = 1.9;
const MIN_OUTLIER_REQUESTS = 20;
const MIN_OUTLIER_UPSTREAMS = 5;

/**
Functions that create a policy, by name.
*/
export const POLICIES: Readonly<Record<PolicyName, (size: simulation.ServiceSize, seed: number) => PolicyUnderTest>> = {
	consecutive: size => createConsecutive(size),
	outliers: size => createOutliers(size),
	fast: (size, seed) => createPooledDetection(size, seed, 'fast'),
	careful: (size, seed) => createPooledDetection(size, seed, 'careful'),
};

type LocalTable = {
	readonly getTrafficFraction: simulation.Policy['getTrafficFraction'];
	readonly eject: (host: number, upstream: number, now: number) => void;
	readonly getEjections: PolicyUnderTest['getEjections'];
};

function createLocalTable(size: simulation.ServiceSize): LocalTable {
	const ejectedUntil = createHostUpstreamTable(size, () => -1);
	const ejectionCounts = createHostUpstreamTable(size, () => 0);
	const ejections: Array<{upstream: number; at: number; weight: number}> = [];
	return {
		getTrafficFraction: (host, upstream, now) => now < ejectedUntil[host]![upstream]! ? 0 : 1,
		eject(host, upstream, now) {
			const ejected = ejectedUntil[host]!.filter(time => now < time).length;
			if (now < ejectedUntil[host]![upstream]! || ejected + 1 > size.upstreams * MAX_LOCAL_EJECTED_FRACTION) {
				return;
			}

			ejectionCounts[host]![upstream]!++;
			ejectedUntil[host]![upstream] = now + (LOCAL_EJECTION_MILLISECONDS * ejectionCounts[host]![upstream]!);
			ejections.push({upstream, at: now, weight: 1 / size.hosts});
		},
		getEjections: () => ejections,
	};
}

function createConsecutive(size: simulation.ServiceSize): PolicyUnderTest {
	const local = createLocalTable(size);
	const consecutiveFailures = createHostUpstreamTable(size, () => 0);
	return {
		policy: {
			getTrafficFraction: local.getTrafficFraction,
			begin: () => undefined,
			end(_handle, {host, upstream, result, now}) {
				consecutiveFailures[host]![upstream] = result === 'success' ? 0 : consecutiveFailures[host]![upstream]! + 1;
				if (!(consecutiveFailures[host]![upstream] >= CONSECUTIVE_FAILURES)) {
					return;
				}

				consecutiveFailures[host]![upstream] = 0;
				local.eject(host, upstream, now);
			},
			step() {
				// This policy decides at the end of each request.
			},
		},
		getEjections: local.getEjections,
		getSelfReports: () => NO_REPORTS,
	};
}

function createOutliers(size: simulation.ServiceSize): PolicyUnderTest {
	const local = createLocalTable(size);
	const successes = createHostUpstreamTable(size, () => 0);
	const requests = createHostUpstreamTable(size, () => 0);
	const ejectOutliers = (host: number, now: number): void => {
		const rates = requests[host]!
			.map((count, upstream) => ({upstream, count, rate: successes[host]![upstream]! / count}))
			.filter(({count}) => count >= MIN_OUTLIER_REQUESTS);
		requests[host]!.fill(0);
		successes[host]!.fill(0);
		if (rates.length < MIN_OUTLIER_UPSTREAMS) {
			return;
		}

		const mean = getMean(rates.map(({rate}) => rate));
		const deviation = Math.sqrt(getMean(rates.map(({rate}) => (rate - mean) ** 2)));
		for (const {upstream, rate} of rates) {
			if (rate < mean - (OUTLIER_DEVIATIONS * deviation)) {
				local.eject(host, upstream, now);
			}
		}
	};

	return {
		policy: {
			getTrafficFraction: local.getTrafficFraction,
			begin: () => undefined,
			end(_handle, {host, upstream, result}) {
				requests[host]![upstream]!++;
				successes[host]![upstream]! += result === 'success' ? 1 : 0;
			},
			step(now) {
				for (let host = 0; host < size.hosts; host++) {
					// Hosts started at different times, so their intervals are offset.
					const offset = (host * OUTLIER_INTERVAL_MILLISECONDS) / size.hosts;
					const phase = Math.round((now + offset) / 5) * 5;
					if (phase % OUTLIER_INTERVAL_MILLISECONDS === 0) {
						ejectOutliers(host, now);
					}
				}
			},
		},
		getEjections: local.getEjections,
		getSelfReports: () => NO_REPORTS,
	};
}

// Number of hosts that run detection. All hosts would reach the same decisions from the same summaries; a few show as much and
// keep the bench short. Host 0 is the one with path faults.
const DETECTING_HOSTS = 3;
const MESSAGE_DELAY_MILLISECONDS = 2;
const GRANT_DELAY_MILLISECONDS = 10;
const TRIAL_TRAFFIC_FRACTION = 0.1;

// A host that steers away from an upstream still uses it when the others are full, which is rare in this simulation.
const STEERED_TRAFFIC_FRACTION = 0;

function createPooledDetection(size: simulation.ServiceSize, seed: number, operatingPoint: detection.OperatingPointName): PolicyUnderTest {
	const random = utils.createRandom(seed + 3);
	const collectors = Array.from({length: size.hosts}, (_, host) => detection.createEvidenceCollector({
		host: `host ${host}`,
		failureDomain: `domain ${host % size.failureDomains}`,
		epoch: 1,
	}));
	const upstreams = Array.from({length: size.upstreams}, (_, upstream): detection.Upstream => ({
		id: String(upstream),
		state: 'serving',
	}));
	const states = Array.from({length: Math.min(DETECTING_HOSTS, size.hosts)}, (_, host) =>
		detection.createDetectionState({host: `host ${host}`, operatingPoint}));
	const ejected = new Set<string>();
	const trials = new Set<string>();
	const steered = createHostUpstreamTable(size, () => -1);
	const ejections: Array<{upstream: number; at: number; weight: number}> = [];
	const selfReports = new Set<number>();
	let messages: Array<{at: number; to: number; event: detection.Event}> = [];
	// Hosts started at different times, so their clocks are offset.
	const getHostTime = (host: number, now: number): number => now + ((host * detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS) / size.hosts);
	const lastTickAt = Array.from({length: states.length}, () => -Infinity);

	const sendToAll = (at: number, event: detection.Event): void => {
		for (const to of states.keys()) {
			messages.push({at, to, event});
		}
	};

	const handleEjection = (upstream: string, now: number): void => {
		const counts = {
			healthyFloor: {kind: 'percent', value: 50} as const,
			serving: size.upstreams - ejected.size,
			ejected: ejected.size,
			draining: 0,
		};
		if (ejected.has(upstream)) {
			return;
		}

		if (!detection.isEjectionAllowed(counts)) {
			sendToAll(now + GRANT_DELAY_MILLISECONDS, {kind: 'refused', upstream, reason: 'floor'});
			return;
		}

		ejected.add(upstream);
		ejections.push({upstream: Number(upstream), at: now + GRANT_DELAY_MILLISECONDS, weight: 1});
		sendToAll(now + GRANT_DELAY_MILLISECONDS, {kind: 'ejected', upstream});
	};

	const applyEffect = (host: number, effect: detection.Effect, now: number): void => {
		const handlers: {readonly [Kind in detection.Effect['kind']]: (
			effect: Extract<detection.Effect, {kind: Kind}>,
		) => void} = {
			'request-ejection'({upstream}) {
				handleEjection(upstream, now);
			},
			'request-readmission'({upstream}) {
				ejected.delete(upstream);
				sendToAll(now + GRANT_DELAY_MILLISECONDS, {kind: 'readmitted', upstream});
			},
			'start-trial'({upstream}) {
				trials.add(upstream);
			},
			'end-trial'({upstream}) {
				trials.delete(upstream);
			},
			'steer-away'({upstream, until}) {
				steered[host]![Number(upstream)] = until;
			},
			'report-shared'() {
				// This effect is only for operators.
			},
			'report-self'() {
				selfReports.add(host);
			},
		};
		(handlers[effect.kind] as (effect: detection.Effect) => void)(effect);
	};

	const step = (host: number, event: detection.Event, now: number): void => {
		const {state, effects} = detection.stepDetection(states[host]!, event, {now, random});
		states[host] = state;
		for (const effect of effects) {
			applyEffect(host, effect, now);
		}
	};

	for (const host of states.keys()) {
		step(host, {kind: 'upstreams-changed', upstreams}, 0);
	}

	return {
		policy: {
			getTrafficFraction(host, upstream, now) {
				const id = String(upstream);
				if (ejected.has(id)) {
					return trials.has(id) ? TRIAL_TRAFFIC_FRACTION : 0;
				}

				return now < steered[host]![upstream]! ? STEERED_TRAFFIC_FRACTION : 1;
			},
			begin: (host, upstream, now) => collectors[host]!.begin(String(upstream), getHostTime(host, now)),
			end(handle, {host, result, now}) {
				collectors[host]!.end(handle as detection.InFlightRequest, result, getHostTime(host, now));
			},
			step(now) {
				const due = messages.filter(({at}) => at <= now);
				messages = messages.filter(({at}) => at > now);
				for (const {to, event} of due) {
					step(to, event, now);
				}

				for (let host = 0; host < size.hosts; host++) {
					const summary = collectors[host]!.collectDueSummary(getHostTime(host, now), detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS);
					if (summary === undefined) {
						continue;
					}

					sendToAll(now + MESSAGE_DELAY_MILLISECONDS, {kind: 'summary', summary});
					for (const [other, collector] of collectors.entries()) {
						if (other !== host) {
							collector.applySummary(summary, getHostTime(other, now));
						}
					}
				}

				for (const host of states.keys()) {
					const isTickSlot = now % detection.TICK_INTERVAL_MILLISECONDS === (host * 25) % detection.TICK_INTERVAL_MILLISECONDS;
					if (!(isTickSlot && now - lastTickAt[host]! >= detection.getTickIntervalMilliseconds(states[host]!))) {
						continue;
					}

					lastTickAt[host] = now;
					step(host, {kind: 'tick'}, now);
				}
			},
		},
		getEjections: () => ejections,
		getSelfReports: () => selfReports,
	};
}

function createHostUpstreamTable<Cell>(size: simulation.ServiceSize, create: () => Cell): Cell[][] {
	return Array.from({length: size.hosts}, () => Array.from({length: size.upstreams}, () => create()));
}

function getMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
